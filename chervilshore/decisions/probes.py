"""How often hosts are probed, and what a probe is."""

import msgspec

from chervilshore import ids


class ProbeSettings(msgspec.Struct, frozen=True):
    """How a host probes.

    Parameters
    ----------
    period_ms : float
        Milliseconds between two probes.
    direct_ms : float
        Milliseconds that the probed host has to answer.
    indirect_ms : float
        Milliseconds that the helpers have after that.
    helpers : int
        Hosts that are asked to probe a host that did not answer.
    misses : int
        Probes in a row without an answer before a host is suspected.
    suspicion_ms : float
        Milliseconds of suspicion for each doubling of the number of hosts.
    most_updates : int
        News on one message.
    repeats : int
        Times that one piece of news is sent for each doubling.
    down_periods : int
        Periods between two probes of hosts that are down.
    rechecks : int
        Doubtful hosts that are probed in one period besides.
    mismatches : int
        Differing digests in a row before a peer is asked for its hosts.
    sync_ms : float
        Milliseconds between two such questions.
    forget_ms : float
        Milliseconds after which a host that is down is forgotten.
    """

    period_ms: float = 250.0
    direct_ms: float = 150.0
    indirect_ms: float = 200.0
    helpers: int = 3
    misses: int = 2
    suspicion_ms: float = 200.0
    most_updates: int = 6
    repeats: int = 2
    down_periods: int = 8
    rechecks: int = 3
    mismatches: int = 6
    sync_ms: float = 5000.0
    forget_ms: float = 600_000.0


class Probe(msgspec.Struct, frozen=True):
    """A host to probe.

    Parameters
    ----------
    host : HostId
        Its name.
    address : Address
        Its peer address.
    started : float
        The moment, in milliseconds.
    counts : bool
        Whether silence makes it suspect.
    """

    host: ids.HostId
    address: ids.Address
    started: float
    counts_misses: bool = True
