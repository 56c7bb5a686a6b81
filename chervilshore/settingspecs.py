"""The catalogue of the daemon's settings."""

import msgspec

from chervilshore import settingkinds

VARIABLE_PREFIX = "CHERVILSHORE_"


class Setting(msgspec.Struct, frozen=True):
    """One setting.

    Parameters
    ----------
    name : str
        The name in code; the flag and the variable are derived from it.
    kind : Kind
        The values that are allowed.
    text : str
        The help text, with the unit.
    default : str or None
        The default as text; None when the setting is required.
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
        "address for callers and operators",
    ),
    Setting(
        "peer_address",
        settingkinds.ADDRESS,
        "address for other entry hosts",
    ),
    Setting(
        "platform",
        settingkinds.ADDRESS,
        "address of the platform's object API",
    ),
    Setting(
        "log_level",
        settingkinds.choice("debug", "info", "warning", "error"),
        "lowest level that is logged",
        "info",
    ),
    Setting(
        "source_ip",
        settingkinds.OPTIONAL_IP,
        "local IP address from which this host connects",
        "",
    ),
    Setting(
        "peer_listen",
        settingkinds.OPTIONAL_ADDRESS,
        "address on which to listen for other entry hosts, when it differs "
        "from the one that they connect to",
        "",
    ),
    Setting(
        "policies",
        settingkinds.choice("full", "baseline"),
        "set of policies; the baseline exists for comparison",
        "full",
    ),
    # Forwarding.
    Setting(
        "interface",
        settingkinds.choice("pipelines", "forward"),
        "interface for callers: the project's own interface for pipelines, or "
        "requests that are forwarded on the users' platform",
        "pipelines",
    ),
    Setting(
        "ready_address",
        settingkinds.OPTIONAL_ADDRESS,
        "address of the readiness check for load balancers and of the metrics "
        "of a forwarding host",
        "",
    ),
    Setting(
        "metrics_address",
        settingkinds.OPTIONAL_ADDRESS,
        "additional address of the metrics of a forwarding host, for clients "
        "that must not reach the readiness check",
        "",
    ),
    Setting(
        "relay_address",
        settingkinds.OPTIONAL_ADDRESS,
        "address at which a forwarding host relays connections to endpoints "
        "for peers that do not reach them; empty for none",
        "",
    ),
    Setting(
        "capacity",
        settingkinds.number(0.001, 1_000_000.0),
        "relative capacity of this host, in any unit that all hosts share; "
        "the hosts with the highest capacity own the batch pools",
        "1",
    ),
    Setting(
        "retry_ratio",
        settingkinds.number(0.0, 10.0),
        "retries per forwarded request that all hosts together may make at a "
        "pool",
        "0.1",
    ),
    Setting(
        "retry_slack",
        settingkinds.number(0.0, 100_000.0),
        "additional retries per window that all hosts together may make at a "
        "pool",
        "10",
    ),
    Setting(
        "retry_window_ms",
        settingkinds.duration(100, 600_000),
        "window in which retries are counted, in milliseconds",
        "10000",
    ),
    # Roll-outs of software versions.
    Setting(
        "exposure_share",
        settingkinds.optional_number(0.0, 1.0),
        "largest share of a pool's requests that all hosts together send to "
        "a version that is not proven; hosts carry out orders of roll-outs "
        "only if this and the next two are set",
        "",
    ),
    Setting(
        "exposure_slack",
        settingkinds.optional_number(0.0, 1_000_000.0),
        "requests that they may send it in addition",
        "",
    ),
    Setting(
        "rollback_ms",
        settingkinds.optional_number(100.0, 600_000.0),
        "time after which a version that has failed gets nothing more, in "
        "milliseconds",
        "",
    ),
    # Requests.
    Setting(
        "body_bytes",
        settingkinds.integer(1_000, 100_000_000),
        "largest body of a request, in bytes",
        "1000000",
    ),
    Setting(
        "deadline_ms",
        settingkinds.integer(10, 600_000),
        "longest deadline of a request, in milliseconds",
        "60000",
    ),
    Setting(
        "drain_ms",
        settingkinds.integer(0, 600_000),
        "longest wait for requests in flight on shutdown, in milliseconds",
        "60000",
    ),
    Setting(
        "connect_ms",
        settingkinds.integer(10, 60_000),
        "longest wait for a connection to an endpoint, in milliseconds",
        "500",
    ),
    # Membership and peers.
    Setting(
        "seeds",
        settingkinds.ADDRESSES,
        "peer addresses to contact before the host list is read",
        "",
    ),
    # Grants, routing and limits.
    Setting(
        "limit_report_ms",
        settingkinds.integer(50, 60_000),
        "interval between reports to the owners of team limits, in "
        "milliseconds",
        "500",
    ),
    Setting(
        "limit_share_ms",
        settingkinds.integer(200, 600_000),
        "time after which a share of a team's limits expires without a "
        "report, in milliseconds",
        "2000",
    ),
    # Claims.
    Setting(
        "claim_shards",
        settingkinds.integer(1, 4096),
        "number of claim logs, when the platform holds none yet",
        "16",
    ),
    Setting(
        "claim_retention_ms",
        settingkinds.integer(3_600_000, 2_000_000_000),
        "minimum time for which a used key is remembered, in milliseconds",
        "86400000",
    ),
    Setting(
        "claim_answer_bytes",
        settingkinds.integer(0, 500_000),
        "largest answer that is recorded for resent requests, in bytes",
        "16384",
    ),
    Setting(
        "claim_batch_ms",
        settingkinds.integer(0, 1000),
        "minimum interval between batches of a claim log, in milliseconds",
        "5",
    ),
    # Leases and orders.
    Setting(
        "lease_ms",
        settingkinds.integer(5000, 600_000),
        "duration of a lease, the same on all hosts, in milliseconds",
        "10000",
    ),
    Setting(
        "order_ms",
        settingkinds.integer(100, 600_000),
        "longest wait for an engine's answer to an order, the same on all "
        "hosts, in milliseconds",
        "5000",
    ),
    Setting(
        "load_interval_ms",
        settingkinds.integer(0, 600_000),
        "minimum interval between weight loads in the cluster, in "
        "milliseconds",
        "2000",
    ),
    # The platform.
    Setting(
        "platform_ms",
        settingkinds.integer(10, 60_000),
        "longest wait for an answer of the platform, in milliseconds",
        "1000",
    ),
    Setting(
        "store_readers",
        settingkinds.integer(0, 16),
        "hosts of a large failure domain that read the platform's store for "
        "the others of their domain; 0 lets each host read it",
        "0",
    ),
    Setting(
        "store_recovery_ms",
        settingkinds.duration(100, 600_000),
        "time after an outage of the platform's store within which the host "
        "must know what has changed there, in milliseconds",
        "3000",
    ),
    Setting(
        "hosts_poll_ms",
        settingkinds.integer(100, 600_000),
        "interval between reads of the host list, in milliseconds",
        "1000",
    ),
)
"""All settings of the daemon; docs/SETTINGS.md shows them as a table."""
