"""What the owner of an endpoint records about the holders of its slots."""

from collections import abc as collections_abc
import math

import msgspec

from chervilshore import grantmessages
from chervilshore import ids

GRANT_LIFETIME_MS = 1000.0
"""Milliseconds in which attempts may start under a grant."""

END_MARGIN_MS = 50.0
"""Milliseconds added to a holder's time span, as the owner counts the same
span with another clock."""


class HolderState(msgspec.Struct):
    """What the owner knows about one holder.

    Parameters
    ----------
    run_id : int
        The holder's process run.
    request_number : int
        Its latest request.
    reply_number : int
        The latest reply to that request.
    received_at : float
        The time in milliseconds at which that request arrived.
    running : int
        Attempts that the holder had in flight then.
    granted : int
        Attempts that it may have at the endpoint.
    wanted : int
        Further slots that its waiting stages need.
    waiting_since : float
        The time in milliseconds since which it waits for slots.
    ends_at : float
        The time in milliseconds by which its last attempt has ended.
    pushed_at : float
        The time in milliseconds of the last reply that it had not
        requested.
    """

    run_id: int
    request_number: int = 0
    reply_number: int = 0
    received_at: float = 0.0
    running: int = 0
    granted: int = 0
    wanted: int = 0
    waiting_since: float = 0.0
    ends_at: float = 0.0
    pushed_at: float = float("-inf")


def renew(
    state: HolderState, request: grantmessages.GrantAsk, now: float
) -> None:
    """Replace the state of a holder by what its latest request reports."""
    if not state.wanted:
        state.waiting_since = now
    state.request_number = request.request_number
    state.reply_number = 0
    state.received_at = now
    state.running = request.running
    state.granted = request.running + request.free
    state.wanted = request.wanted
    state.ends_at = now + request.remaining_ms + END_MARGIN_MS


class HolderStates(dict[ids.HostId, HolderState]):
    """The holders of one endpoint's slots, by host."""

    def count_granted(
        self,
        now: float,
        excluded: collections_abc.Set[ids.HostId] = frozenset(),
    ) -> int:
        """Return the number of attempts that may be at the endpoint.

        Parameters
        ----------
        now : float
            The time in milliseconds.
        excluded : set of HostId
            Hosts whose attempts do not count.
        """
        return sum(
            state.granted
            for host, state in self.items()
            if now < state.ends_at and host not in excluded
        )

    def compute_fair_share(self, limit: int, now: float) -> int:
        """Return the most slots for each holder under max-min fairness.

        A holder that needs less than this share gets what it needs; the
        rest is divided evenly among the others.

        Parameters
        ----------
        limit : int
            Concurrent attempts over all holders.
        now : float
            The time in milliseconds.
        """
        demands = sorted(
            state.granted * (now < state.ends_at) + state.wanted
            for state in self.values()
        )
        remaining = float(limit)
        for index, demand in enumerate(demands):
            share = remaining / (len(demands) - index)
            if demand > share:
                return math.ceil(share)
            remaining -= demand
        return limit

    def has_demand(self) -> bool:
        """Return whether any holder waits for a slot."""
        return any(state.wanted for state in self.values())

    def find_or_add(
        self, request: grantmessages.GrantAsk
    ) -> HolderState | None:
        """Return the state of the sender of a request; None if outdated.

        A request of a later process run starts with an empty state.
        """
        state = self.get(request.holder)
        if state is not None:
            if request.run_id < state.run_id:
                return None
            if request.run_id == state.run_id:
                return (
                    state
                    if request.request_number > state.request_number
                    else None
                )
        # The connections of an earlier process run have closed.
        state = HolderState(request.run_id)
        self[request.holder] = state
        return state

    def adopt(
        self,
        holder: ids.HostId,
        run_id: int,
        holding: grantmessages.Holding,
        now: float,
    ) -> bool:
        """Add the attempts that a host started before this ownership.

        Returns
        -------
        bool
            False if the report comes from an earlier process run.
        """
        state = self.get(holder)
        if state is not None and run_id < state.run_id:
            return False
        if state is None or run_id > state.run_id:
            self[holder] = HolderState(
                run_id,
                received_at=now,
                running=holding.running,
                granted=holding.running,
                ends_at=now + holding.remaining_ms + END_MARGIN_MS,
            )
        return True

    def distribute(self, free: int) -> dict[ids.HostId, HolderState]:
        """Grant free slots to waiting holders, those with the fewest first.

        Returns
        -------
        dict
            The holders that received slots.
        """
        changed = {}
        waiting = [item for item in self.items() if item[1].wanted]
        while free > 0 and waiting:
            host, state = min(
                waiting,
                key=lambda item: (item[1].granted, item[1].waiting_since),
            )
            state.granted += 1
            state.wanted -= 1
            changed[host] = state
            free -= 1
            waiting = [item for item in waiting if item[1].wanted]
        return changed

    def drop_expired(self, now: float) -> None:
        """Remove holders that neither hold nor want slots any more."""
        for host, state in list(self.items()):
            # A holder with waiting stages repeats its request in that time.
            if now < state.received_at + GRANT_LIFETIME_MS:
                continue
            state.wanted = 0
            if now >= state.ends_at:
                del self[host]
