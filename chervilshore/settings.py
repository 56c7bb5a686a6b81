"""The daemon's settings, from flags and environment variables."""

import argparse
from collections import abc as collections_abc
import typing

import msgspec

from chervilshore import exceptions
from chervilshore import settingkinds

VARIABLE_PREFIX = "CHERVILSHORE_"

FILE_VARIABLE = VARIABLE_PREFIX + "SETTINGS"
"""The variable that holds the path of a settings file."""


class Setting(msgspec.Struct, frozen=True):
    """One setting.

    Parameters
    ----------
    name : str
        Its name in code; the flag and the variable follow from it.
    kind : Kind
        What values it takes.
    text : str
        What it does, with the unit.
    default : str or None
        The default as text; nothing when the setting is required.
    """

    name: str
    kind: settingkinds.Kind
    text: str
    default: str | None = None

    @property
    def flag(self) -> str:
        """The command-line flag."""
        return "--" + self.name.replace("_", "-")

    @property
    def variable(self) -> str:
        """The environment variable."""
        return VARIABLE_PREFIX + self.name.upper()


SETTINGS = (
    # The host.
    Setting("host", settingkinds.NAME, "name of this host"),
    Setting("domain", settingkinds.NAME, "failure domain of this host"),
    Setting(
        "http_address",
        settingkinds.ADDRESS,
        "where callers and operators connect",
    ),
    Setting(
        "peer_address", settingkinds.ADDRESS, "where other entry hosts connect"
    ),
    Setting(
        "platform", settingkinds.ADDRESS, "where the platform's object API is"
    ),
    Setting(
        "log_level",
        settingkinds.choice("debug", "info", "warning", "error"),
        "least level of what is logged",
        "info",
    ),
    Setting(
        "source_ip",
        settingkinds.OPTIONAL_NUMBER,
        "local IP number from which this host connects",
        "",
    ),
    Setting(
        "peer_listen",
        settingkinds.OPTIONAL_ADDRESS,
        "where to listen when peers reach it under another address",
        "",
    ),
    Setting(
        "policies",
        settingkinds.choice("full", "baseline"),
        "decisions to use; the baselines are there to compare with",
        "full",
    ),
    # Forwarding.
    Setting(
        "interface",
        settingkinds.choice("pipelines", "forward"),
        "what callers speak: the project's own interface for pipelines, or "
        "requests that are forwarded on the users' platform",
        "pipelines",
    ),
    Setting(
        "ready_address",
        settingkinds.OPTIONAL_ADDRESS,
        "where a forwarding host tells balancers whether it is ready, and "
        "its metrics",
        "",
    ),
    Setting(
        "metrics_address",
        settingkinds.OPTIONAL_ADDRESS,
        "where a forwarding host shows its metrics to those who must not "
        "reach the address for balancers",
        "",
    ),
    Setting(
        "capacity",
        settingkinds.real(0.001, 1_000_000.0),
        "how much this host can carry, in any unit that all hosts share; "
        "the strongest ones keep the pieces of work of all hosts",
        "1",
    ),
    Setting(
        "retry_ratio",
        settingkinds.real(0.0, 10.0),
        "retries for each forwarded request that all hosts may make",
        "0.1",
    ),
    Setting(
        "retry_slack",
        settingkinds.real(0.0, 100_000.0),
        "retries in a window that all hosts may make besides",
        "10",
    ),
    Setting(
        "retry_window_ms",
        settingkinds.whole(100, 600_000),
        "window in which retries are counted, in milliseconds",
        "10000",
    ),
    # Requests.
    Setting(
        "body_bytes",
        settingkinds.whole(1_000, 100_000_000),
        "largest body of a request, in bytes",
        "1000000",
    ),
    Setting(
        "deadline_ms",
        settingkinds.whole(10, 600_000),
        "longest deadline of a request, in milliseconds",
        "60000",
    ),
    Setting(
        "drain_ms",
        settingkinds.whole(0, 600_000),
        "longest wait for requests in flight on shutdown, in milliseconds",
        "60000",
    ),
    Setting(
        "connect_ms",
        settingkinds.whole(10, 60_000),
        "longest wait for a connection to an endpoint, in milliseconds",
        "500",
    ),
    # Configuration.
    # Membership and peers.
    Setting(
        "seeds",
        settingkinds.ADDRESSES,
        "peer addresses to ask before the host list is read",
        "",
    ),
    # Grants, routing and limits.
    Setting(
        "limit_report_ms",
        settingkinds.whole(50, 60_000),
        "time between two reports to the keepers of team limits, in "
        "milliseconds",
        "500",
    ),
    Setting(
        "limit_share_ms",
        settingkinds.whole(200, 600_000),
        "how long a share of a team's limits lasts without a report, in "
        "milliseconds",
        "2000",
    ),
    # Claims.
    Setting(
        "claim_shards",
        settingkinds.whole(1, 4096),
        "logs of claims, when the platform holds none yet",
        "16",
    ),
    Setting(
        "claim_retention_ms",
        settingkinds.whole(3_600_000, 2_000_000_000),
        "least time for which a used key is known, in milliseconds",
        "86400000",
    ),
    Setting(
        "claim_answer_bytes",
        settingkinds.whole(0, 500_000),
        "largest answer kept for repeats, in bytes",
        "16384",
    ),
    Setting(
        "claim_batch_ms",
        settingkinds.whole(0, 1000),
        "least time between two batches of a log, in milliseconds",
        "5",
    ),
    # Leases and orders.
    Setting(
        "lease_ms",
        settingkinds.whole(5000, 600_000),
        "time for which a lease lasts, alike on all hosts, in milliseconds",
        "10000",
    ),
    Setting(
        "order_ms",
        settingkinds.whole(100, 600_000),
        "longest wait for an engine's answer to an order, alike on all "
        "hosts, in milliseconds",
        "5000",
    ),
    Setting(
        "load_interval_ms",
        settingkinds.whole(0, 600_000),
        "least time between two weight loads in the fleet, in milliseconds",
        "2000",
    ),
    # The platform.
    Setting(
        "platform_ms",
        settingkinds.whole(10, 60_000),
        "longest wait for an answer of the platform, in milliseconds",
        "1000",
    ),
    Setting(
        "hosts_poll_ms",
        settingkinds.whole(100, 600_000),
        "time between two readings of the host list, in milliseconds",
        "1000",
    ),
)
"""Every setting of the daemon; docs/SETTINGS.md holds the same table."""


class Settings:
    """Checked settings, as attributes by the names in `SETTINGS`."""

    def __init__(self, values: dict[str, typing.Any]) -> None:
        self.__dict__.update(values)

    def __getattr__(self, name: str) -> typing.Any:
        """Report a name that is not a setting."""
        raise AttributeError(f"there is no setting {name!r}")


def make_parser() -> argparse.ArgumentParser:
    """Make the daemon's command line."""
    parser = argparse.ArgumentParser(
        prog="chervilshored",
        description="Serve model pipelines on this entry host.",
        epilog="A flag goes before its environment variable.",
    )
    parser.add_argument(
        "--check",
        action="store_true",
        help="check the settings and exit",
    )
    parser.add_argument(
        "--file",
        metavar="PATH",
        help=f"a JSON file of settings by name ({FILE_VARIABLE})",
    )
    for setting in SETTINGS:
        default = "required"
        if setting.default is not None:
            default = f"default: {setting.default or 'none'}"
        parser.add_argument(
            setting.flag,
            dest=setting.name,
            metavar="VALUE",
            help=f"{setting.text}; {setting.kind.allowed} "
            f"({setting.variable}; {default})",
        )
    return parser


def read_file(path: str) -> dict[str, str]:
    """Read a settings file: a JSON object of names and texts.

    Raises
    ------
    exceptions.SettingsError
        The file cannot be read, or has another form.
    """
    try:
        with open(path, "rb") as source:
            return msgspec.json.decode(source.read(), type=dict[str, str])
    except (OSError, msgspec.DecodeError) as error:
        raise exceptions.SettingsError(f"{path}: {error}") from error


def load(
    flags: collections_abc.Mapping[str, str | None],
    environment: collections_abc.Mapping[str, str],
    file: collections_abc.Mapping[str, str] | None = None,
) -> Settings:
    """Check all settings.

    Parameters
    ----------
    flags : mapping
        The values given as flags, by the setting's name.
    environment : mapping
        The environment variables.
    file : mapping or None
        The values of a settings file; flags and variables go before them.

    Raises
    ------
    exceptions.SettingsError
        Names each wrong flag and variable, its value and what is allowed.
    """
    values = {}
    problems = []
    for setting in SETTINGS:
        text = flags.get(setting.name)
        if text is None:
            text = environment.get(setting.variable)
        if text is None:
            text = (file or {}).get(setting.name, setting.default)
        where = f"{setting.flag} ({setting.variable})"
        if text is None:
            problems.append(f"{where} is required: {setting.kind.allowed}")
            continue
        try:
            values[setting.name] = setting.kind.parse(text)
        except ValueError:
            problems.append(
                f"{where} is {text!r}, allowed is {setting.kind.allowed}"
            )
    if problems:
        raise exceptions.SettingsError("\n".join(problems))
    return Settings(values)
