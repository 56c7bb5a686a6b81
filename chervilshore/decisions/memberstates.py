"""A host's view of another host, and how updates change it."""

import math

import msgspec

from chervilshore import records

NO_DEADLINE = math.inf
"""Deadline of a host that is not suspected."""

_RANKS = {
    records.HostState.ALIVE: 0,
    records.HostState.SUSPECT: 1,
    records.HostState.LEAVING: 2,
    records.HostState.DOWN: 3,
}


class Member(msgspec.Struct):
    """The state of another host as seen by this one.

    Parameters
    ----------
    record : HostRecord
        Its record with its state.
    deadline : float
        Time in milliseconds at which a suspected host is considered down.
    changed_at : float
        Time of the last change in milliseconds.
    suspected_here : bool
        Whether a failed probe of this host raised the suspicion.
    missed_probes : int
        Consecutive probes without an answer.
    """

    record: records.HostRecord
    deadline: float = NO_DEADLINE
    changed_at: float = 0.0
    suspected_here: bool = False
    missed_probes: int = 0


def merge_update(
    known: records.HostRecord, update: records.HostRecord
) -> records.HostRecord | None:
    """Merge an update into the known record of a host.

    A higher incarnation wins; within one incarnation, the worse state.

    Returns
    -------
    HostRecord or None
        The new record; None if the known one stays.
    """
    if update.incarnation < known.incarnation:
        return None
    same = update.incarnation == known.incarnation
    if same and _RANKS[update.state] <= _RANKS[known.state]:
        return None
    state = update.state
    # A single "down" update only makes a host suspected that is alive here,
    # as the peer that sent it may be the one that was cut off.
    alive_here = known.state is records.HostState.ALIVE
    if state is records.HostState.DOWN and alive_here:
        state = records.HostState.SUSPECT
    # Updates on suspected and down hosts omit their addresses.
    base = update if update.peer_address else known
    return msgspec.structs.replace(
        base, state=state, incarnation=update.incarnation
    )
