"""Baseline slots: each host uses a fixed share of every endpoint."""

from chervilshore.controllers import queueing
from chervilshore.controllers import slots
from chervilshore.controllers import waiting
from chervilshore.decisions import routing
from chervilshore import ids
from chervilshore import records


class LocalShares(queueing.QueueingSlots):
    """Limits this host to an equal share of each warm endpoint's limit.

    Hosts exchange no messages and no share is below one, so that many hosts
    together can exceed the limit of a small endpoint.

    Parameters
    ----------
    *parts
        The parameters of `QueueingSlots`.
    """

    def __init__(self, *parts) -> None:
        super().__init__(*parts)
        self._running: dict[ids.EndpointId, set[ids.GrantId]] = {}
        self._grant = 0

    def _count_free(self, record: records.EndpointRecord) -> int:
        """Return how many more attempts this host may start at an endpoint."""
        max_in_flight = self._configuration.rules.pools[record.pool].most
        share = max(1, max_in_flight // max(1, len(self._directory.hosts())))
        return share - len(self._running.get(record.endpoint, ()))

    def _request_slot(
        self, pool: waiting.PoolWaiters, waiter: waiting.Waiter
    ) -> None:
        self._match_waiters(pool)

    def _assign_slots(self) -> None:
        for pool in self._pools.values():
            self._match_waiters(pool)

    def _match_waiters(self, pool: waiting.PoolWaiters) -> None:
        """Assign free slots to the waiting stages of a pool in their order."""
        while len(pool):
            now = self._clock.now()
            waiter = pool.pop(
                now, lambda requirements: bool(self._rank(pool, requirements))
            )
            self._expire(pool)
            if waiter is None:
                return
            pool.remove(waiter)
            if waiter.future.done():
                continue
            ranked = self._rank(pool, waiter.ticket.requirements)
            self._assign(waiter, ranked[0].record)

    def _rank(
        self,
        pool: waiting.PoolWaiters,
        requirements: routing.StageRequirements,
    ) -> list[routing.Candidate]:
        candidates = [
            routing.Candidate(
                record,
                free,
                len(self._running.get(record.endpoint, ())),
                latency_ms=self._latencies.get(record.endpoint, 0.0),
            )
            for record in self._list_usable(requirements)
            if (free := self._count_free(record)) > 0
        ]
        return pool.router.rank(requirements, candidates, self._clock.now())

    def _assign(
        self, waiter: waiting.Waiter, record: records.EndpointRecord
    ) -> None:
        self._grant += 1
        grant = ids.GrantId(self._grant)
        self._running.setdefault(record.endpoint, set()).add(grant)
        waiter.future.set_result(slots.Slot(record, grant))

    def _is_held(
        self, record: records.EndpointRecord, grant: ids.GrantId
    ) -> bool:
        return grant in self._running.get(record.endpoint, ())

    def _release_slot(
        self, slot: slots.Slot, attempt: slots.AttemptResult
    ) -> None:
        self._running[slot.record.endpoint].discard(slot.grant)

    def describe(self) -> dict[str, object]:
        """Return a summary for operators."""
        return {
            "running": {
                endpoint: len(grants)
                for endpoint, grants in self._running.items()
                if grants
            },
            "waiting": self._count_waiting(),
        }
