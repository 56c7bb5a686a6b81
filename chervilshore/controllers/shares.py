"""The baseline of fixed shares: each host sends a part, asking nobody."""

from collections import abc as collections_abc

from chervilshore import clock as clocks
from chervilshore.controllers import configuration as configurations
from chervilshore.controllers import directory as directories
from chervilshore.controllers import queueing
from chervilshore.controllers import slots
from chervilshore.controllers import waiting
from chervilshore.decisions import queues
from chervilshore.decisions import routing
from chervilshore import ids
from chervilshore import metrics as metrics_module
from chervilshore import records


class LocalShares(queueing.QueueingSlots):
    """Gives each host an equal share of what a warm endpoint bears.

    No share is below one, so that many hosts together overrun an endpoint
    that bears little, as no host knows of the others' attempts.

    Parameters
    ----------
    clock : Clock
        The time.
    directory : Directory
        The hosts and endpoints.
    configuration : Configuration
        The rules in force.
    make_router, make_queue : callable
        Make the router and the wait queue of one pool.
    metrics : Metrics or None
        Where to count.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        directory: directories.Directory,
        configuration: configurations.Configuration,
        make_router: collections_abc.Callable[[], routing.Router],
        make_queue: collections_abc.Callable[[], queues.WaitQueue],
        metrics: metrics_module.Metrics | None = None,
    ) -> None:
        super().__init__(
            clock,
            directory,
            configuration,
            make_router,
            make_queue,
            metrics,
        )
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

    def _free(self, slot: slots.Slot, attempt: slots.Attempt) -> None:
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
