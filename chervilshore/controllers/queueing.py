"""Base of the slots for which stages wait, with a queue for each pool."""

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
"""Milliseconds after which a refused caller may retry."""

LATENCY_WEIGHT = 0.2
"""Weight of the newest attempt in an endpoint's moving average of latency."""


class QueueingSlots(slots.Slots):
    """Base class that queues, refuses and expires waiting stages.

    Parameters
    ----------
    clock : Clock
        The time.
    directory : Directory
        The endpoints.
    configuration : Configuration
        The active rules.
    make_router, make_queue : callable
        Return a new router and a new wait queue for one pool.
    metrics : Metrics or None
        Counts slots that lapsed before their use.
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

    # Hooks of the subclasses.

    @abc.abstractmethod
    def _request_slot(
        self, pool: waiting.PoolWaiters, waiter: waiting.Waiter
    ) -> None:
        """Request a slot for a waiting stage."""

    @abc.abstractmethod
    def _assign_slots(self) -> None:
        """Assign free slots to waiting stages."""

    @abc.abstractmethod
    def _is_held(
        self, record: records.EndpointRecord, grant: ids.GrantId
    ) -> bool:
        """Return whether an acquired slot is still valid."""

    @abc.abstractmethod
    def _release_slot(
        self, slot: slots.Slot, attempt: slots.AttemptResult
    ) -> None:
        """Make the slot of a finished attempt free again."""

    def _update_wanted(
        self, pool: waiting.PoolWaiters, endpoint: ids.EndpointId
    ) -> None:
        """Update how many waiting stages want a slot of an endpoint.

        The base class does nothing.
        """

    # The interface of `Slots`.

    async def acquire(self, need: routing.Need) -> slots.Slot:
        """Wait for a slot; see `Slots.acquire`."""
        now = self._clock.now()
        if need.pool not in self._configuration.rules.pools:
            raise _make_no_endpoint_refusal(f"pool {need.pool} has no rule")
        if not self._list_usable(need):
            raise _make_no_endpoint_refusal(f"pool {need.pool} has none")
        if now >= need.deadline:
            raise _make_deadline_refusal()
        pool = self._find_pool(need.pool)
        waiter = pool.add(need, now)
        try:
            self._request_slot(pool, waiter)
            self._assign_slots()
            return await self._wait(waiter)
        except TimeoutError:
            raise _make_deadline_refusal() from None
        except asyncio.CancelledError:
            self._return_slot(waiter)
            raise
        finally:
            self._remove_waiter(pool, waiter)

    async def _wait(self, waiter: waiting.Waiter) -> slots.Slot:
        if waiter.future.done():
            return waiter.future.result()
        left = waiter.ticket.need.deadline - self._clock.now()
        return await clocks.wait_for(self._clock, waiter.future, left)

    def _return_slot(self, waiter: waiting.Waiter) -> None:
        """Return a slot that a cancelled stage received but can't use."""
        future = waiter.future
        if not future.done() or future.cancelled() or future.exception():
            return
        cancelled = slots.AttemptResult(records.Outcome.CANCELLED)
        self.release(future.result(), cancelled)

    def _remove_waiter(
        self, pool: waiting.PoolWaiters, waiter: waiting.Waiter
    ) -> None:
        for endpoint in pool.remove(waiter):
            self._update_wanted(pool, endpoint)
        self._assign_slots()

    def confirm(self, slot: slots.Slot) -> bool:
        """Check a slot right before it is used; see `Slots.confirm`."""
        is_valid = self._is_open(slot.record) and self._is_held(
            slot.record, slot.grant
        )
        if not is_valid and self._metrics is not None:
            self._metrics.count(
                metrics_module.Metric.SLOTS_VOID, slot.record.pool
            )
        return is_valid

    def release(self, slot: slots.Slot, attempt: slots.AttemptResult) -> None:
        """Return a slot; see `Slots.release`."""
        now = self._clock.now()
        endpoint = slot.record.endpoint
        self._release_slot(slot, attempt)
        router = self._find_pool(slot.record.pool).router
        router.note(endpoint, attempt.outcome, attempt.millis, now)
        if attempt.outcome is records.Outcome.OK:
            average = self._latencies.get(endpoint, attempt.millis)
            change = LATENCY_WEIGHT * (attempt.millis - average)
            self._latencies[endpoint] = average + change
        self._assign_slots()

    # Endpoints.

    def _is_open(self, record: records.EndpointRecord) -> bool:
        found = self._directory.endpoint(record.endpoint)
        return found is not None and self._configuration.rules.is_open(found)

    def _list_usable(self, need: routing.Need) -> list[records.EndpointRecord]:
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
        """Refuse stages that can no longer meet their deadlines."""
        for waiter in pool.expire(self._clock.now()):
            if not waiter.future.done():
                waiter.future.set_exception(_make_hopeless_refusal())

    def _recheck_waiters(self) -> None:
        """Expire waiting stages, and request slots again for idle ones."""
        for pool in self._pools.values():
            self._expire(pool)
            for waiter in pool.list_idle():
                if not self._list_usable(waiter.ticket.need):
                    waiter.future.set_exception(
                        _make_no_endpoint_refusal("none is left")
                    )
                else:
                    self._request_slot(pool, waiter)

    def _count_waiting(self) -> dict[str, int]:
        return {name: len(pool) for name, pool in self._pools.items()}


def _make_no_endpoint_refusal(detail: str) -> exceptions.RefusalError:
    return exceptions.RefusalError(
        results.Code.NO_ENDPOINT, detail, RETRY_AFTER_MS
    )


def _make_hopeless_refusal() -> exceptions.RefusalError:
    return exceptions.RefusalError(
        results.Code.DEADLINE_HOPELESS, "no slot in time", RETRY_AFTER_MS
    )


def _make_deadline_refusal() -> exceptions.RefusalError:
    return exceptions.RefusalError(
        results.Code.DEADLINE_PASSED, "no slot in time", RETRY_AFTER_MS
    )
