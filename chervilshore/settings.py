"""The daemon's settings, from flags and environment variables."""

import argparse
from collections import abc as collections_abc
import ipaddress
import re
import typing

import msgspec

from chervilshore import exceptions

VARIABLE_PREFIX = "CHERVILSHORE_"

FILE_VARIABLE = VARIABLE_PREFIX + "SETTINGS"
"""The variable that holds the path of a settings file."""


class Kind(msgspec.Struct, frozen=True):
    """A kind of value.

    Parameters
    ----------
    parse : callable
        Turns text into the value; raises ValueError.
    allowed : str
        What is allowed, for people.
    """

    parse: collections_abc.Callable[[str], typing.Any]
    allowed: str


def _parse_name(text: str) -> str:
    if not re.fullmatch(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}", text):
        raise ValueError(text)
    return text


def _parse_address(text: str) -> str:
    host, _, port = text.rpartition(":")
    ipaddress.ip_address(host.strip("[]"))
    if not 0 < int(port) < 65536:
        raise ValueError(text)
    return text


def _parse_addresses(text: str) -> tuple[str, ...]:
    parts = [part.strip() for part in text.split(",") if part.strip()]
    return tuple(_parse_address(part) for part in parts)


def _parse_number(text: str) -> str:
    return text and str(ipaddress.ip_address(text))


def _parse_optional_address(text: str) -> str:
    return text and _parse_address(text)


NAME = Kind(_parse_name, "1 to 63 letters, digits, dots, dashes, underlines")
ADDRESS = Kind(_parse_address, "an IP number and a port, as 127.0.0.1:7000")
ADDRESSES = Kind(_parse_addresses, "addresses separated by commas")
OPTIONAL_ADDRESS = Kind(
    _parse_optional_address, "nothing, or an IP number and a port"
)
OPTIONAL_NUMBER = Kind(_parse_number, "nothing, or an IP number")


def choice(*words: str) -> Kind:
    """Make the kind of some words."""

    def parse(text: str) -> str:
        if text not in words:
            raise ValueError(text)
        return text

    return Kind(parse, " or ".join(words))


def whole(least: int, most: int) -> Kind:
    """Make the kind of whole numbers in a range."""

    def parse(text: str) -> int:
        number = int(text)
        if not least <= number <= most:
            raise ValueError(text)
        return number

    return Kind(parse, f"a whole number from {least} to {most}")


def real(least: float, most: float) -> Kind:
    """Make the kind of numbers in a range."""

    def parse(text: str) -> float:
        number = float(text)
        if not least <= number <= most:
            raise ValueError(text)
        return number

    return Kind(parse, f"a number from {least:g} to {most:g}")


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
    kind: Kind
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
    Setting("host", NAME, "name of this host"),
    Setting("domain", NAME, "failure domain of this host"),
    Setting("http_address", ADDRESS, "where callers and operators connect"),
    Setting("peer_address", ADDRESS, "where other entry hosts connect"),
    Setting("platform", ADDRESS, "where the platform's object API is"),
    Setting(
        "log_level",
        choice("debug", "info", "warning", "error"),
        "least level of what is logged",
        "info",
    ),
    Setting(
        "source_ip",
        OPTIONAL_NUMBER,
        "local IP number from which this host connects",
        "",
    ),
    Setting(
        "peer_listen",
        OPTIONAL_ADDRESS,
        "where to listen when peers reach it under another address",
        "",
    ),
    Setting(
        "policies",
        choice("full", "baseline"),
        "decisions to use; the baselines are there to compare with",
        "full",
    ),
    # Forwarding.
    Setting(
        "interface",
        choice("pipelines", "forward"),
        "what callers speak: the project's own interface for pipelines, or "
        "requests that are forwarded on the users' platform",
        "pipelines",
    ),
    Setting(
        "ready_address",
        OPTIONAL_ADDRESS,
        "where a forwarding host tells balancers whether it is ready, and "
        "its metrics",
        "",
    ),
    Setting(
        "capacity",
        real(0.001, 1_000_000.0),
        "how much this host can carry, in any unit that all hosts share; "
        "the strongest ones keep the pieces of work of all hosts",
        "1",
    ),
    Setting(
        "retry_ratio",
        real(0.0, 10.0),
        "retries for each forwarded request that all hosts may make",
        "0.1",
    ),
    Setting(
        "retry_slack",
        real(0.0, 100_000.0),
        "retries in a window that all hosts may make besides",
        "10",
    ),
    Setting(
        "retry_window_ms",
        whole(100, 600_000),
        "window in which retries are counted, in milliseconds",
        "10000",
    ),
    # Requests.
    Setting(
        "body_bytes",
        whole(1_000, 100_000_000),
        "largest body of a request, in bytes",
        "1000000",
    ),
    Setting(
        "deadline_ms",
        whole(10, 600_000),
        "longest deadline of a request, in milliseconds",
        "60000",
    ),
    Setting(
        "drain_ms",
        whole(0, 600_000),
        "longest wait for requests in flight on shutdown, in milliseconds",
        "60000",
    ),
    Setting(
        "connect_ms",
        whole(10, 60_000),
        "longest wait for a connection to an endpoint, in milliseconds",
        "500",
    ),
    # Configuration.
    # Membership and peers.
    Setting(
        "seeds",
        ADDRESSES,
        "peer addresses to ask before the host list is read",
        "",
    ),
    # Grants, routing and limits.
    Setting(
        "limit_report_ms",
        whole(50, 60_000),
        "time between two reports to the keepers of team limits, in "
        "milliseconds",
        "500",
    ),
    Setting(
        "limit_share_ms",
        whole(200, 600_000),
        "how long a share of a team's limits lasts without a report, in "
        "milliseconds",
        "2000",
    ),
    # Claims.
    Setting(
        "claim_shards",
        whole(1, 4096),
        "logs of claims, when the platform holds none yet",
        "16",
    ),
    Setting(
        "claim_retention_ms",
        whole(3_600_000, 2_000_000_000),
        "least time for which a used key is known, in milliseconds",
        "86400000",
    ),
    Setting(
        "claim_answer_bytes",
        whole(0, 500_000),
        "largest answer kept for repeats, in bytes",
        "16384",
    ),
    Setting(
        "claim_batch_ms",
        whole(0, 1000),
        "least time between two batches of a log, in milliseconds",
        "5",
    ),
    # Leases and orders.
    Setting(
        "lease_ms",
        whole(5000, 600_000),
        "time for which a lease lasts, alike on all hosts, in milliseconds",
        "10000",
    ),
    Setting(
        "order_ms",
        whole(100, 600_000),
        "longest wait for an engine's answer to an order, alike on all "
        "hosts, in milliseconds",
        "5000",
    ),
    Setting(
        "load_interval_ms",
        whole(0, 600_000),
        "least time between two weight loads in the fleet, in milliseconds",
        "2000",
    ),
    # The platform.
    Setting(
        "platform_ms",
        whole(10, 60_000),
        "longest wait for an answer of the platform, in milliseconds",
        "1000",
    ),
    Setting(
        "hosts_poll_ms",
        whole(100, 600_000),
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
