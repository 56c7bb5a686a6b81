"""Settings of the failure detector, and the probes that it sends."""

import msgspec

from chervilshore import ids


class ProbeSettings(msgspec.Struct, frozen=True):
    """Intervals, timeouts and limits of a host's probes.

    Parameters
    ----------
    period_ms : float
        Milliseconds between two probes.
    direct_ms : float
        Timeout in milliseconds of the direct probe.
    indirect_ms : float
        Timeout in milliseconds of the probes through helpers, which follow
        a direct probe without an answer.
    helpers : int
        Hosts that are asked to probe a host that did not answer.
    misses_before_suspect : int
        Consecutive probes without an answer before a host is suspected.
    suspicion_ms : float
        Milliseconds from suspected to down for each doubling of the number
        of hosts.
    max_updates : int
        Maximum number of updates in one message.
    sends_per_doubling : int
        Times that an update is sent for each doubling of the number of hosts.
    down_periods : int
        Periods between two probes of hosts that are down.
    rechecks : int
        Hosts of uncertain state that are additionally probed in one period.
    mismatches_before_sync : int
        Consecutive differing digests before a peer is asked for its hosts.
    sync_ms : float
        Minimum milliseconds between two requests for a peer's hosts.
    forget_ms : float
        Milliseconds after which a host that is down is removed.
    """

    period_ms: float = 250.0
    direct_ms: float = 150.0
    indirect_ms: float = 200.0
    helpers: int = 3
    misses_before_suspect: int = 2
    suspicion_ms: float = 200.0
    max_updates: int = 6
    sends_per_doubling: int = 2
    down_periods: int = 8
    rechecks: int = 3
    mismatches_before_sync: int = 6
    sync_ms: float = 5000.0
    forget_ms: float = 600_000.0


class Probe(msgspec.Struct, frozen=True):
    """One probe of a host.

    Parameters
    ----------
    host : HostId
        The probed host.
    address : Address
        Its peer address.
    started_at : float
        Start time in milliseconds.
    counts_misses : bool
        Whether a missing answer counts towards suspecting the host. If not,
        no helpers are asked either.
    """

    host: ids.HostId
    address: ids.Address
    started_at: float
    counts_misses: bool = True
