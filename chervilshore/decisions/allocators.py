"""The slot allocator, which the owner of an endpoint runs.

The owner never counts fewer attempts for a host than the host may have in
flight.  The slots of a host that went silent are counted until the last
attempt under them has ended.
"""

from collections import abc as collections_abc

from chervilshore.decisions import concurrency
from chervilshore.decisions import holderstates
from chervilshore.decisions import recovery
from chervilshore import grantmessages
from chervilshore import ids
from chervilshore import records

PUSH_INTERVAL_MS = 100.0
"""Milliseconds between replies that ask a holder to return slots."""

MAX_PREFETCH_FRACTION = 0.8
"""Fraction of the limit up to which slots are granted in advance."""


Replies = dict[ids.HostId, grantmessages.GrantReply]
"""Replies by the host that they go to."""


class SlotAllocator:
    """Grants the slots of one endpoint during one ownership.

    Parameters
    ----------
    endpoint : EndpointId
        The endpoint.
    host : HostId
        This host, the owner.
    epoch : Epoch
        The epoch of this ownership; it is higher than all known ones.
    limit : Limit
        The endpoint's concurrency limit, at its cold bound.
    pending_recovery : Recovery
        Tracks which hosts may still have attempts from earlier ownerships.

    Attributes
    ----------
    highest_epoch : Epoch
        The highest epoch of an owner of this endpoint seen in a message.
    """

    def __init__(
        self,
        endpoint: ids.EndpointId,
        host: ids.HostId,
        epoch: ids.Epoch,
        limit: concurrency.Limit,
        pending_recovery: recovery.Recovery,
    ) -> None:
        self.endpoint = endpoint
        self.epoch = epoch
        self.limit = limit
        self.recovery = pending_recovery
        self.holders = holderstates.HolderStates()
        self.highest_epoch = epoch
        self._host = host
        self._lost: frozenset[ids.HostId] = frozenset()

    def is_recovered(self, now: float) -> bool:
        """Return whether all attempts at the endpoint are accounted for."""
        return self.recovery.is_complete(now)

    def count_in_use(self, now: float) -> int:
        """Return the number of attempts that may be at the endpoint."""
        # Slots of lost hosts are granted again, unless the endpoint is
        # cold.
        is_cold = self.limit.warmth is records.Warmth.COLD
        return self.holders.count_granted(
            now, frozenset() if is_cold else self._lost
        )

    def set_hosts(
        self,
        alive: frozenset[ids.HostId],
        lost: frozenset[ids.HostId],
        left: frozenset[ids.HostId],
        now: float,
    ) -> None:
        """Update which hosts exist.

        Parameters
        ----------
        alive : frozenset of HostId
            Hosts that are alive, including leaving ones.
        lost : frozenset of HostId
            Hosts that recently vanished without leaving.
        left : frozenset of HostId
            Hosts that recently left with nothing in flight.
        now : float
            The time in milliseconds.
        """
        self._lost = lost
        self.recovery.set_hosts(alive, left)
        self._resume_if_warm(now)

    def handle_report(
        self,
        holder: ids.HostId,
        run_id: int,
        holding: grantmessages.Holding,
        other_hosts: collections_abc.Iterable[ids.HostId],
        now: float,
    ) -> None:
        """Record what a host still has in flight from earlier ownerships.

        Parameters
        ----------
        holder : HostId
            The host.
        run_id : int
            Its process run.
        holding : Holding
            What the host holds; it counts only if the host has promised
            itself to this epoch.
        other_hosts : iterable of HostId
            Further hosts that may have attempts there.
        now : float
            The time in milliseconds.
        """
        self.highest_epoch = max(self.highest_epoch, holding.promised_epoch)
        named = {holding.previous_owner, *holding.missing, *other_hosts}
        self.recovery.add_hosts(named - {self._host})
        if holding.promised_epoch != self.epoch:
            return
        if not self.holders.adopt(holder, run_id, holding, now):
            return
        self.recovery.record_report(holder, holding, now)
        self._resume_if_warm(now)

    def _resume_if_warm(self, now: float) -> None:
        # Slots of silent hosts matter only where the endpoint may be cold.
        limit = self.recovery.find_warm_limit()
        if not limit:
            return
        self.limit.resume(self.holders.count_granted(now), limit, now)
        self.recovery.mark_complete()

    def handle_request(
        self, request: grantmessages.GrantAsk, now: float
    ) -> Replies:
        """Return the replies to the sender and to other affected holders.

        An outdated request gets no reply.
        """
        self.highest_epoch = max(self.highest_epoch, request.epoch)
        if request.epoch != self.epoch:
            # The holder may still accept grants of another owner.  This
            # reply without slots makes it promise itself to this epoch.
            unknown = holderstates.HolderState(
                request.run_id, request.request_number, received_at=now
            )
            return {request.holder: self._make_reply(unknown, 0, now)}
        state = self.holders.find_or_add(request)
        if state is None:
            return {}
        was_in_use = self.count_in_use(now)
        was_warm = self.limit.warmth is not records.Warmth.COLD
        holderstates.renew(state, request, now)
        sample = concurrency.Sample(
            request.outcomes, request.instance, request.cold
        )
        self.limit.record(sample, was_in_use, now)
        replies = self._distribute_free(now)
        if was_warm and self.limit.warmth is records.Warmth.COLD:
            replies = self._revoke_all(now) | replies
        if request.holder not in replies:
            replies[request.holder] = self._reply_allowed(state, now)
        if request.prefetch:
            self._grant_prefetch(state, request, replies, now)
        return replies

    def _distribute_free(self, now: float) -> Replies:
        free = self._count_free(now) if self.holders.has_demand() else 0
        changed = self.holders.distribute(free)
        return {
            host: self._reply_allowed(state, now)
            for host, state in changed.items()
        }

    def _count_free(self, now: float) -> int:
        if not self.is_recovered(now):
            return 0
        return self.limit.value - self.count_in_use(now)

    def _grant_prefetch(
        self,
        state: holderstates.HolderState,
        request: grantmessages.GrantAsk,
        replies: Replies,
        now: float,
    ) -> None:
        if (
            self.limit.warmth is not records.Warmth.WARM
            or self.holders.has_demand()
        ):
            return
        available = int(
            MAX_PREFETCH_FRACTION * self.limit.value
        ) - self.count_in_use(now)
        added = min(request.prefetch, available)
        if added > 0 and self.is_recovered(now):
            state.granted += added
            replies[request.holder] = self._reply_allowed(state, now)

    def _revoke_all(self, now: float) -> Replies:
        """Return replies that forbid all holders to start attempts."""
        replies = {}
        for host, state in self.holders.items():
            if state.granted and now < state.ends_at:
                state.pushed_at = now
                replies[host] = self._make_reply(state, 0, now)
        return replies

    def _reply_allowed(
        self, state: holderstates.HolderState, now: float
    ) -> grantmessages.GrantReply:
        return self._make_reply(state, self._count_allowed(state, now), now)

    def _count_allowed(
        self, state: holderstates.HolderState, now: float
    ) -> int:
        is_over = self.count_in_use(now) > self.limit.value
        if is_over and self.limit.warmth is records.Warmth.COLD:
            return 0
        if is_over or self.holders.has_demand():
            share = self.holders.compute_fair_share(self.limit.value, now)
            return min(state.granted, share)
        return state.granted

    def _make_reply(
        self, state: holderstates.HolderState, slots: int, now: float
    ) -> grantmessages.GrantReply:
        state.reply_number += 1
        return grantmessages.GrantReply(
            self.endpoint,
            self._host,
            self.epoch,
            state.run_id,
            state.request_number,
            state.reply_number,
            slots,
            now - state.received_at + holderstates.GRANT_LIFETIME_MS,
            self.limit.value,
            self.limit.warmth,
            self.holders.has_demand(),
        )

    def tick(self, now: float) -> Replies:
        """Grant freed slots, and ask holders to return what others need.

        Must be called every `PUSH_INTERVAL_MS`.
        """
        self.holders.drop_expired(now)
        replies = self._distribute_free(now)
        is_over = self.count_in_use(now) > self.limit.value
        if not is_over and not self.holders.has_demand():
            return replies
        for host, state in self.holders.items():
            if host not in replies and self._is_push_due(state, now):
                state.pushed_at = now
                replies[host] = self._reply_allowed(state, now)
        return replies

    def _is_push_due(
        self, state: holderstates.HolderState, now: float
    ) -> bool:
        """Return whether a reply that makes a holder return slots is due."""
        if now >= state.ends_at or now < state.pushed_at + PUSH_INTERVAL_MS:
            return False
        if self.limit.warmth is records.Warmth.COLD:
            # Attempts in flight go on, and the holder reports the end of
            # each one immediately.
            return state.granted > state.running
        return state.granted > self._count_allowed(state, now)

    def describe(self, now: float) -> dict[str, object]:
        """Return a summary for operators."""
        return {
            "epoch": self.epoch,
            "limit": self.limit.value,
            "warmth": self.limit.warmth.value,
            "in_use": self.count_in_use(now),
            "settled": self.is_recovered(now),
            "unheard": sorted(self.recovery.missing),
            "holders": {
                host: state.granted
                for host, state in self.holders.items()
                if state.granted
            },
        }
