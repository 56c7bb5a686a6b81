"""Slots for which stages wait in a queue for each pool."""

import abc
import asyncio
from collections import abc as collections_abc

from chervilshore import clock as clocks
from chervilshore.controllers import configuration as configurations
from chervilshore.controllers import directory as directories
from chervilshore.controllers import slots
from chervilshore.controllers import waiting
from chervilshore.decisions import queues
from chervilshore.decisions import routing
from chervilshore import exceptions
from chervilshore import ids
from chervilshore import metrics as metrics_module
from chervilshore import records
from chervilshore import results

RETRY_AFTER_MS = 1000.0
"""Milliseconds after which it is worth asking for a slot again."""

LATENCY_WEIGHT = 0.2
"""Weight of one attempt in an endpoint's latency."""


class QueueingSlots(slots.Slots):
    """What all ways of giving out slots share: waiting and refusing.

    Parameters
    ----------
    clock : Clock
        The time.
    directory : Directory
        The endpoints.
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
        super().__init__()
        self._clock = clock
        self._directory = directory
        self._configuration = configuration
        self._make_router = make_router
        self._make_queue = make_queue
        self._metrics = metrics
        self._pools: dict[ids.PoolName, waiting.PoolWaiters] = {}
        self._latencies: dict[ids.EndpointId, float] = {}

    # What each way does for itself.

    @abc.abstractmethod
    def _chase(
        self, pool: waiting.PoolWaiters, waiter: waiting.Waiter
    ) -> None:
        """Look for a slot for a waiting stage."""

    @abc.abstractmethod
    def _settle(self) -> None:
        """Bring free slots to those that wait."""

    @abc.abstractmethod
    def _hold(
        self, record: records.EndpointRecord, grant: ids.GrantId
    ) -> bool:
        """Tell whether a taken slot still holds."""

    @abc.abstractmethod
    def _free(self, slot: slots.Slot, attempt: slots.AttemptResult) -> None:
        """Take a slot back."""

    def _want(
        self, pool: waiting.PoolWaiters, endpoint: ids.EndpointId
    ) -> None:
        """Note how many stages want an endpoint now."""

    # The interface.

    async def acquire(self, need: routing.Need) -> slots.Slot:
        """Wait for a slot; see `Slots.acquire`."""
        now = self._clock.now()
        if need.pool not in self._configuration.rules.pools:
            raise _refuse_endpoint(f"pool {need.pool} has no rule")
        if not self._list_records(need):
            raise _refuse_endpoint(f"pool {need.pool} has none")
        if now >= need.deadline:
            raise _refuse_deadline()
        pool = self._find_pool(need.pool)
        waiter = pool.add(need, now)
        try:
            self._chase(pool, waiter)
            self._settle()
            return await self._wait(waiter)
        except TimeoutError:
            raise _refuse_deadline() from None
        except asyncio.CancelledError:
            self._give_back(waiter)
            raise
        finally:
            self._forget(pool, waiter)

    async def _wait(self, waiter: waiting.Waiter) -> slots.Slot:
        if waiter.future.done():
            return waiter.future.result()
        left = waiter.ticket.need.deadline - self._clock.now()
        return await clocks.wait_for(self._clock, waiter.future, left)

    def _give_back(self, waiter: waiting.Waiter) -> None:
        future = waiter.future
        if not future.done() or future.cancelled() or future.exception():
            return
        cancelled = slots.AttemptResult(records.Outcome.CANCELLED)
        self.release(future.result(), cancelled)

    def _forget(
        self, pool: waiting.PoolWaiters, waiter: waiting.Waiter
    ) -> None:
        for endpoint in pool.remove(waiter):
            self._want(pool, endpoint)
        self._settle()

    def confirm(self, slot: slots.Slot) -> bool:
        """Check a slot right before the send; see `Slots.confirm`."""
        holds = self._is_open(slot.record) and self._hold(
            slot.record, slot.grant
        )
        if not holds and self._metrics is not None:
            self._metrics.count(
                metrics_module.Metric.SLOTS_VOID, slot.record.pool
            )
        return holds

    def release(self, slot: slots.Slot, attempt: slots.AttemptResult) -> None:
        """Give a slot back; see `Slots.release`."""
        now = self._clock.now()
        endpoint = slot.record.endpoint
        self._free(slot, attempt)
        router = self._find_pool(slot.record.pool).router
        router.note(endpoint, attempt.outcome, attempt.millis, now)
        if attempt.outcome is records.Outcome.OK:
            former = self._latencies.get(endpoint, attempt.millis)
            change = LATENCY_WEIGHT * (attempt.millis - former)
            self._latencies[endpoint] = former + change
        self._settle()

    # Endpoints.

    def _is_open(self, record: records.EndpointRecord) -> bool:
        found = self._directory.endpoint(record.endpoint)
        return found is not None and self._configuration.rules.is_open(found)

    def _list_records(
        self, need: routing.Need
    ) -> list[records.EndpointRecord]:
        rules = self._configuration.rules
        return [
            record
            for record in self._directory.endpoints(need.pool)
            if record.state is records.EndpointState.LIVE
            and not rules.is_out(record.domain)
            and need.allows(record)
        ]

    # Waiting stages.

    def _find_pool(self, name: ids.PoolName) -> waiting.PoolWaiters:
        pool = self._pools.get(name)
        if pool is None:
            pool = waiting.PoolWaiters(self._make_queue(), self._make_router())
            self._pools[name] = pool
        return pool

    def _expire(self, pool: waiting.PoolWaiters) -> None:
        """Refuse at once what cannot make its deadline any more."""
        for waiter in pool.expire(self._clock.now()):
            if not waiter.future.done():
                waiter.future.set_exception(_refuse_hopeless())

    def _review(self) -> None:
        """Look again after every waiting stage."""
        for pool in self._pools.values():
            self._expire(pool)
            for waiter in pool.list_idle():
                if not self._list_records(waiter.ticket.need):
                    waiter.future.set_exception(
                        _refuse_endpoint("none is left")
                    )
                else:
                    self._chase(pool, waiter)

    def _count_waiting(self) -> dict[str, int]:
        return {name: len(pool) for name, pool in self._pools.items()}


def _refuse_endpoint(detail: str) -> exceptions.RefusalError:
    return exceptions.RefusalError(
        results.Code.NO_ENDPOINT, detail, RETRY_AFTER_MS
    )


def _refuse_hopeless() -> exceptions.RefusalError:
    return exceptions.RefusalError(
        results.Code.DEADLINE_HOPELESS, "no slot in time", RETRY_AFTER_MS
    )


def _refuse_deadline() -> exceptions.RefusalError:
    return exceptions.RefusalError(
        results.Code.DEADLINE_PASSED, "no slot in time", RETRY_AFTER_MS
    )
