"""The baseline of fixed shares: each host sends a part, asking nobody."""

from chervilshore.controllers import queueing
from chervilshore.controllers import slots
from chervilshore.controllers import waiting
from chervilshore.decisions import routing
from chervilshore import ids
from chervilshore import records


class LocalShares(queueing.QueueingSlots):
    """Gives each host an equal share of what a warm endpoint bears.

    No share is below one, so that many hosts together overrun an endpoint
    that bears little, as no host knows of the others' attempts.

    Parameters
    ----------
    *parts
        The parts of `QueueingSlots`.
    """

    def __init__(self, *parts) -> None:
        super().__init__(*parts)
        self._running: dict[ids.EndpointId, set[ids.GrantId]] = {}
        self._grant = 0

    def _count_free(self, record: records.EndpointRecord) -> int:
        most = self._configuration.rules.pools[record.pool].most
        share = max(1, most // max(1, len(self._directory.hosts())))
        return share - len(self._running.get(record.endpoint, ()))

    def _chase(
        self, pool: waiting.PoolWaiters, waiter: waiting.Waiter
    ) -> None:
        self._match(pool)

    def _settle(self) -> None:
        for pool in self._pools.values():
            self._match(pool)

    def _match(self, pool: waiting.PoolWaiters) -> None:
        while len(pool):
            now = self._clock.now()
            waiter = pool.pop(now, lambda need: bool(self._rank(pool, need)))
            self._expire(pool)
            if waiter is None:
                return
            pool.remove(waiter)
            if waiter.future.done():
                continue
            ranked = self._rank(pool, waiter.ticket.need)
            self._hand_over(waiter, ranked[0].record)

    def _rank(
        self, pool: waiting.PoolWaiters, need: routing.Need
    ) -> list[routing.Candidate]:
        candidates = [
            routing.Candidate(
                record,
                free,
                len(self._running.get(record.endpoint, ())),
                latency_ms=self._latencies.get(record.endpoint, 0.0),
            )
            for record in self._list_records(need)
            if (free := self._count_free(record)) > 0
        ]
        return pool.router.rank(need, candidates, self._clock.now())

    def _hand_over(
        self, waiter: waiting.Waiter, record: records.EndpointRecord
    ) -> None:
        self._grant += 1
        grant = ids.GrantId(self._grant)
        self._running.setdefault(record.endpoint, set()).add(grant)
        waiter.future.set_result(slots.Slot(record, grant))

    def _hold(
        self, record: records.EndpointRecord, grant: ids.GrantId
    ) -> bool:
        return grant in self._running.get(record.endpoint, ())

    def _free(self, slot: slots.Slot, attempt: slots.AttemptResult) -> None:
        self._running[slot.record.endpoint].discard(slot.grant)

    def describe(self) -> dict[str, object]:
        """Write a summary for operators."""
        return {
            "running": {
                endpoint: len(grants)
                for endpoint, grants in self._running.items()
                if grants
            },
            "waiting": self._count_waiting(),
        }
