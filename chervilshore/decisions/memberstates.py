"""What a host believes of another, and how news changes it."""

import math

import msgspec

from chervilshore import records

NO_DEADLINE = math.inf

_RANKS = {
    records.HostState.ALIVE: 0,
    records.HostState.SUSPECT: 1,
    records.HostState.LEAVING: 2,
    records.HostState.DOWN: 3,
}


class Member(msgspec.Struct):
    """What is known of another host.

    Parameters
    ----------
    record : HostRecord
        What is believed of it.
    deadline : float
        The moment at which a suspicion becomes certain, in milliseconds.
    changed : float
        The moment of the last change.
    accused : bool
        Whether this host itself suspected it first.
    misses : int
        Probes in a row without an answer.
    """

    record: records.HostRecord
    deadline: float = NO_DEADLINE
    changed: float = 0.0
    suspected_here: bool = False
    misses: int = 0


def merge_update(
    known: records.HostRecord, update: records.HostRecord
) -> records.HostRecord | None:
    """Decide what to believe of a host after news of it.

    A higher incarnation wins; within one, the worse state.

    Returns
    -------
    HostRecord or None
        What to believe now; nothing when that stays as it was.
    """
    if update.incarnation < known.incarnation:
        return None
    same = update.incarnation == known.incarnation
    if same and _RANKS[update.state] <= _RANKS[known.state]:
        return None
    state = update.state
    # One peer's word alone does not take a host down that this one believes
    # alive: that peer may be the one that was cut off.
    believed_alive = known.state is records.HostState.ALIVE
    if state is records.HostState.DOWN and believed_alive:
        state = records.HostState.SUSPECT
    # News of a host in doubt comes without its addresses.
    base = update if update.peer_address else known
    return msgspec.structs.replace(
        base, state=state, incarnation=update.incarnation
    )
