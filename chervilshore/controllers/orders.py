"""Executes the orders to engines; one lease holder works for each pool."""

import asyncio
from collections import abc as collections_abc
import logging
import random

import mode
import msgspec

from chervilshore.clients import engines as engines_module
from chervilshore.clients import platform as platforms
from chervilshore import clock as clocks
from chervilshore.controllers import configuration as configurations
from chervilshore.controllers import directory as directories
from chervilshore.controllers import leases as lease_holders
from chervilshore.controllers import orderstore
from chervilshore.controllers import owners
from chervilshore.decisions import leases
from chervilshore.decisions import orders
from chervilshore import events
from chervilshore import exceptions
from chervilshore import ids
from chervilshore import metrics as metrics_module
from chervilshore import records

_LOGGER = logging.getLogger(__name__)


class Terms(msgspec.Struct, frozen=True):
    """The intervals of order execution.

    Parameters
    ----------
    poll_ms : float
        Milliseconds between two reads of a pool's orders.
    active_poll_ms : float
        Milliseconds between two reads while the pool has open orders.
    load_spacing_ms : float
        Minimum milliseconds between two weight loads in the cluster.
    lease : Terms
        The durations of the leases; its `work_ms` is also the time that an
        engine has to answer an order.
    """

    poll_ms: float = 2000.0
    active_poll_ms: float = 200.0
    load_spacing_ms: float = 2000.0
    lease: leases.Terms = leases.Terms()


class PoolOrderWorker:
    """Executes the orders of one pool while this host holds its lease.

    Parameters
    ----------
    pool : PoolName
        The pool.
    clock : Clock
        Measures how long a sent order may still take effect.
    platform : Platform
        Stores the orders.
    directory : Directory
        Lists the engines.
    engines : EngineClient
        Sends orders to engines and reads their state.
    lease : LeaseHolder
        The lease of the pool.
    load_limiter : LoadRateLimiter
        Limits the rate of weight loads.
    terms : Terms
        The intervals and the durations of the lease.
    metrics : Metrics or None
        Counts the steps by their progress.
    """

    def __init__(
        self,
        pool: ids.PoolName,
        clock: clocks.Clock,
        platform: platforms.Platform,
        directory: directories.Directory,
        engines: engines_module.EngineClient,
        lease: lease_holders.LeaseHolder,
        load_limiter: orderstore.LoadRateLimiter,
        terms: Terms,
        metrics: metrics_module.Metrics | None = None,
    ) -> None:
        self.pool = pool
        self.lease = lease
        self.open_count = 0
        self._clock = clock
        self._platform = platform
        self._directory = directory
        self._engines = engines
        self._load_limiter = load_limiter
        self._terms = terms
        self._metrics = metrics
        self._sent_at: dict[tuple[str, str], float] = {}
        self._stored_orders: dict[ids.OrderId, orderstore.StoredOrder] = {}
        self._write_lock = asyncio.Lock()

    async def run_round(self) -> bool:
        """Execute the next step of the orders at each engine.

        Returns
        -------
        bool
            Whether the pool has open orders.

        Raises
        ------
        exceptions.PlatformError
            A call to the platform failed; call again to continue.
        """
        stored = await orderstore.list_orders(self._platform, self.pool)
        self.open_count = sum(not entry.order.is_finished for entry in stored)
        if not self.open_count:
            self._sent_at.clear()
            await self.lease.release()
            return False
        if not await self.lease.acquire_or_renew():
            return True
        # A former holder may have continued since the orders were read.
        stored = await orderstore.list_orders(self._platform, self.pool)
        self._stored_orders = {entry.order.order: entry for entry in stored}
        listed = {
            record.endpoint: record
            for record in self._directory.endpoints(self.pool)
            if record.state is records.EndpointState.LIVE
        }
        steps = orders.plan([entry.order for entry in stored], listed)
        results = await asyncio.gather(
            *(self._execute_step(step, listed) for step in steps),
            return_exceptions=True,
        )
        await orderstore.delete_finished(self._platform, stored)
        for result in results:
            if isinstance(result, exceptions.PlatformError):
                raise result
            if isinstance(result, BaseException):
                self._log_step_error(result)
        return True

    def _log_step_error(self, error: BaseException) -> None:
        if not isinstance(error, exceptions.ChervilshoreError):
            raise error
        events.log_event(
            _LOGGER,
            events.Event.ORDER_UNSETTLED,
            pool=self.pool,
            error=repr(error),
        )

    async def _execute_step(
        self,
        step: orders.Step,
        listed: dict[ids.EndpointId, records.EndpointRecord],
    ) -> None:
        if step.kind is orders.StepKind.DROP:
            await self._mark_gone(step)
            return
        record = listed[step.endpoint]
        if step.kind is orders.StepKind.SETTLE:
            await self._settle_sent(step, record)
            return
        await self._send(step, record)

    async def _mark_gone(self, step: orders.Step) -> None:
        order = self._stored_orders[step.order].order
        detail = "the engine left before it was sent"
        if order.progress_at(step.endpoint) is orders.Progress.SENT:
            self._check_token(order, step.endpoint)
            detail = "the engine left; whether it ran is unknown"
        await self._set_progress(step, orders.Progress.GONE, detail)

    def _check_token(
        self, order: orders.Order, endpoint: ids.EndpointId
    ) -> None:
        if not order.may_settle(endpoint, self.lease.token):
            raise exceptions.LeaseLost(order.order)

    async def _settle_sent(
        self, step: orders.Step, record: records.EndpointRecord
    ) -> None:
        # An order that this host sent may still take effect until `work_ms`
        # has passed. One that a former holder sent cannot, as this host
        # waited that long before it took the lease over.
        order = self._stored_orders[step.order].order
        self._check_token(order, step.endpoint)
        sent_at = self._sent_at.get((step.order, step.endpoint))
        work_ms = self._terms.lease.work_ms
        if sent_at is not None and self._clock.now() < sent_at + work_ms:
            return
        state = await self._engines.read(record, work_ms)
        await self._set_progress(step, orders.settle(order, state))

    async def _send(
        self, step: orders.Step, record: records.EndpointRecord
    ) -> None:
        order = self._stored_orders[step.order].order
        if (
            order.kind in orders.WEIGHT_READING_KINDS
            and not await self._load_limiter.acquire()
        ):
            return
        token = self.lease.token
        await self._update_order(
            step, lambda latest: latest.mark_sent(step.endpoint, token)
        )
        key = (step.order, step.endpoint)
        call = engines_module.OrderCall(
            order.order, order.kind, order.argument, token
        )
        work_ms = self._terms.lease.work_ms

        def guard() -> bool:
            self._sent_at[key] = self._clock.now()
            return self.lease.holds() and self.lease.token == token

        try:
            await self._engines.send(record, call, guard, work_ms)
        except exceptions.EndpointRejected as error:
            await self._set_progress(step, orders.Progress.FAILED, str(error))
            return
        except exceptions.EndpointUnreached:
            await self._set_progress(step, orders.Progress.WAITING)
            return
        await self._set_progress(step, orders.Progress.DONE)

    async def _set_progress(
        self,
        step: orders.Step,
        progress: orders.Progress,
        detail: str = "",
    ) -> None:
        await self._update_order(
            step,
            lambda latest: latest.with_progress(
                step.endpoint, progress, detail
            ),
        )

    async def _update_order(
        self,
        step: orders.Step,
        change: collections_abc.Callable[[orders.Order], orders.Order],
    ) -> None:
        async with self._write_lock:
            stored = self._stored_orders[step.order]
            order = change(stored.order)
            self._stored_orders[step.order] = await orderstore.update_order(
                self._platform, stored, order
            )
        progress = order.progress_at(step.endpoint)
        events.log_event(
            _LOGGER,
            events.Event.ORDER_PROGRESSED,
            order=step.order,
            endpoint=step.endpoint,
            progress=progress.value,
        )
        if self._metrics is not None:
            self._metrics.count(
                metrics_module.Metric.ORDERS, self.pool, progress.value
            )


class OrderService(mode.Service):
    """Executes the orders of the pools that this host owns.

    Parameters
    ----------
    host : HostId
        This host.
    clock : Clock
        Measures intervals and leases.
    platform : Platform
        Stores the leases and the orders.
    directory : Directory
        Lists the hosts that share the work, and the engines.
    configuration : Configuration
        Lists the pools.
    engines : EngineClient
        Sends orders to engines and reads their state.
    rng : random.Random
        Draws the distinct values of leases and load permissions.
    terms : Terms
        The intervals and the durations of leases.
    metrics : Metrics or None
        Counts the steps by their progress.
    """

    def __init__(
        self,
        host: ids.HostId,
        clock: clocks.Clock,
        platform: platforms.Platform,
        directory: directories.Directory,
        configuration: configurations.Configuration,
        engines: engines_module.EngineClient,
        rng: random.Random,
        terms: Terms = Terms(),
        metrics: metrics_module.Metrics | None = None,
    ) -> None:
        super().__init__()
        self._host = host
        self._clock = clock
        self._platform = platform
        self._directory = directory
        self._configuration = configuration
        self._engines = engines
        self._rng = rng
        self._terms = terms
        self._metrics = metrics
        self._load_limiter = orderstore.LoadRateLimiter(
            clock, platform, rng, terms.load_spacing_ms
        )
        self._pools: dict[ids.PoolName, PoolOrderWorker] = {}
        self._workers: dict[ids.PoolName, asyncio.Future] = {}

    async def on_start(self) -> None:
        """Start to execute the orders of the pools that this host owns."""
        self.add_future(self._start_workers())

    def describe(self) -> dict:
        """Return the state by pool as JSON values, for operators."""
        return {
            pool: {
                "holds": worker.lease.holds(),
                "token": worker.lease.token,
                "open": worker.open_count,
            }
            for pool, worker in sorted(self._pools.items())
        }

    async def _start_workers(self) -> None:
        while True:
            for name, pool in self._configuration.rules.pools.items():
                if pool.kind is not records.EndpointKind.ENGINE:
                    continue
                if name in self._workers or not self._owns(name):
                    continue
                self._workers[name] = self.add_future(self._run_worker(name))
            await self._clock.sleep(self._terms.poll_ms)

    def _owns(self, pool: ids.PoolName) -> bool:
        name = f"orders/{pool}"
        return owners.choose_owner(self._directory, name) == self._host

    async def _run_worker(self, pool: ids.PoolName) -> None:
        worker = self._make_worker(pool)
        self._pools[pool] = worker
        try:
            while self._owns(pool):
                pause = await self._run_round(worker)
                await self._clock.sleep(pause)
        finally:
            del self._pools[pool]
            del self._workers[pool]

    async def _run_round(self, worker: PoolOrderWorker) -> float:
        try:
            is_open = await worker.run_round()
        except exceptions.PlatformError as error:
            events.log_event(
                _LOGGER,
                events.Event.ORDERS_BLOCKED,
                pool=worker.pool,
                error=repr(error),
            )
            return self._terms.active_poll_ms
        return self._terms.active_poll_ms if is_open else self._terms.poll_ms

    def _make_worker(self, pool: ids.PoolName) -> PoolOrderWorker:
        lease = lease_holders.LeaseHolder(
            pool,
            self._host,
            self._clock,
            self._platform,
            self._rng,
            self._terms.lease,
        )
        return PoolOrderWorker(
            pool,
            self._clock,
            self._platform,
            self._directory,
            self._engines,
            lease,
            self._load_limiter,
            self._terms,
            self._metrics,
        )
