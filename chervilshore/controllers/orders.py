"""Carrying out orders to engines, one holder for each pool."""

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
from chervilshore.controllers import leases as lease_keepers
from chervilshore.controllers import orderbook
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
    """What the carrying out of orders goes by.

    Parameters
    ----------
    poll_ms : float
        Milliseconds between two readings of a pool's orders.
    busy_ms : float
        The same while there are open ones.
    load_ms : float
        Least milliseconds between two loads of weights in the fleet.
    lease : Terms
        What the leases go by; their work time is how long an engine may
        take to answer an order.
    """

    poll_ms: float = 2000.0
    busy_ms: float = 200.0
    load_ms: float = 2000.0
    lease: leases.Terms = leases.Terms()


class PoolOrders:
    """Carries out the orders of one pool while this host holds its lease.

    Parameters
    ----------
    pool : PoolName
        The pool.
    clock : Clock
        The clock.
    platform : Platform
        Where orders are.
    directory : Directory
        Tells which engines there are.
    engines : EngineClient
        Reaches them.
    lease : LeaseKeeper
        The lease of the pool.
    limit : LoadLimit
        Spaces loads of weights.
    terms : Terms
        What this goes by.
    metrics : Metrics or None
        Where steps are counted.
    """

    def __init__(
        self,
        pool: ids.PoolName,
        clock: clocks.Clock,
        platform: platforms.Platform,
        directory: directories.Directory,
        engines: engines_module.EngineClient,
        lease: lease_keepers.LeaseKeeper,
        limit: orderbook.LoadLimit,
        terms: Terms,
        metrics: metrics_module.Metrics | None = None,
    ) -> None:
        self.pool = pool
        self.lease = lease
        self.open = 0
        self._clock = clock
        self._platform = platform
        self._directory = directory
        self._engines = engines
        self._limit = limit
        self._terms = terms
        self._metrics = metrics
        self._sent: dict[tuple[str, str], float] = {}
        self._booked: dict[ids.OrderId, orderbook.Booked] = {}
        self._writing = asyncio.Lock()

    async def work(self) -> bool:
        """Do one round.

        Returns
        -------
        bool
            Whether orders are open.

        Raises
        ------
        exceptions.PlatformError
            The platform did not answer; the next round goes on.
        """
        booked = await orderbook.list_orders(self._platform, self.pool)
        self.open = sum(not found.order.is_over for found in booked)
        if not self.open:
            self._sent.clear()
            await self.lease.give_back()
            return False
        if not await self.lease.hold():
            return True
        # Another holder may have gone on since the list was read.
        booked = await orderbook.list_orders(self._platform, self.pool)
        self._booked = {found.order.order: found for found in booked}
        listed = {
            record.endpoint: record
            for record in self._directory.endpoints(self.pool)
            if record.state is records.EndpointState.LIVE
        }
        steps = orders.plan([found.order for found in booked], listed)
        results = await asyncio.gather(
            *(self._step(step, listed) for step in steps),
            return_exceptions=True,
        )
        await orderbook.forget_old(self._platform, booked)
        for result in results:
            if isinstance(result, exceptions.PlatformError):
                raise result
            if isinstance(result, BaseException):
                self._report_step(result)
        return True

    def _report_step(self, error: BaseException) -> None:
        if not isinstance(error, exceptions.ChervilshoreError):
            raise error
        events.log_event(
            _LOGGER,
            events.Event.ORDER_UNSETTLED,
            pool=self.pool,
            error=repr(error),
        )

    async def _step(
        self,
        step: orders.Step,
        listed: dict[ids.EndpointId, records.EndpointRecord],
    ) -> None:
        if step.kind is orders.StepKind.DROP:
            await self._drop(step)
            return
        record = listed[step.endpoint]
        if step.kind is orders.StepKind.SETTLE:
            await self._settle(step, record)
            return
        await self._send(step, record)

    async def _drop(self, step: orders.Step) -> None:
        order = self._booked[step.order].order
        detail = "the engine left before it was sent"
        if order.at(step.endpoint) is orders.Progress.SENT:
            self._check_token(order, step.endpoint)
            detail = "the engine left; whether it ran is unknown"
        await self._move(step, orders.Progress.GONE, detail)

    def _check_token(
        self, order: orders.Order, endpoint: ids.EndpointId
    ) -> None:
        if not order.may_judge(endpoint, self.lease.token):
            raise exceptions.LeaseLost(order.order)

    async def _settle(
        self, step: orders.Step, record: records.EndpointRecord
    ) -> None:
        # What this host has sent itself may still take effect for a while;
        # what an earlier holder sent may not, as the lease was waited for.
        order = self._booked[step.order].order
        self._check_token(order, step.endpoint)
        sent = self._sent.get((step.order, step.endpoint))
        work = self._terms.lease.work_ms
        if sent is not None and self._clock.now() < sent + work:
            return
        state = await self._engines.read(record, work)
        await self._move(step, orders.settle(order, state))

    async def _send(
        self, step: orders.Step, record: records.EndpointRecord
    ) -> None:
        order = self._booked[step.order].order
        if order.kind in orders.LOADING and not await self._limit.take():
            return
        token = self.lease.token
        await self._write(
            step, lambda found: found.intend(step.endpoint, token)
        )
        name = (step.order, step.endpoint)
        call = engines_module.OrderCall(
            order.order, order.kind, order.argument, token
        )
        work = self._terms.lease.work_ms

        def guard() -> bool:
            self._sent[name] = self._clock.now()
            return self.lease.holds() and self.lease.token == token

        try:
            await self._engines.send(record, call, guard, work)
        except exceptions.EndpointRejected as error:
            await self._move(step, orders.Progress.FAILED, str(error))
            return
        except exceptions.EndpointUnreached:
            await self._move(step, orders.Progress.WAITING)
            return
        await self._move(step, orders.Progress.DONE)

    async def _move(
        self,
        step: orders.Step,
        progress: orders.Progress,
        detail: str = "",
    ) -> None:
        await self._write(
            step, lambda found: found.move(step.endpoint, progress, detail)
        )

    async def _write(
        self,
        step: orders.Step,
        change: collections_abc.Callable[[orders.Order], orders.Order],
    ) -> None:
        async with self._writing:
            booked = self._booked[step.order]
            order = change(booked.order)
            self._booked[step.order] = await orderbook.rewrite(
                self._platform, booked, order
            )
        progress = order.at(step.endpoint)
        events.log_event(
            _LOGGER,
            events.Event.ORDER_MOVED,
            order=step.order,
            endpoint=step.endpoint,
            progress=progress.value,
        )
        if self._metrics is not None:
            self._metrics.count(
                metrics_module.Metric.ORDERS, self.pool, progress.value
            )


class Orders(mode.Service):
    """Carries out orders of the pools that this host looks after.

    Parameters
    ----------
    host : HostId
        This host.
    clock : Clock
        The clock.
    platform : Platform
        Where leases and orders are.
    directory : Directory
        Tells which hosts share the work and which engines there are.
    configuration : Configuration
        Names the pools.
    engines : EngineClient
        Reaches the engines.
    rng : random.Random
        Makes names unique.
    terms : Terms
        What this goes by.
    metrics : Metrics or None
        Where steps are counted.
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
        self._limit = orderbook.LoadLimit(clock, platform, rng, terms.load_ms)
        self._pools: dict[ids.PoolName, PoolOrders] = {}
        self._workers: dict[ids.PoolName, asyncio.Future] = {}

    async def on_start(self) -> None:
        """Begin to look after pools."""
        self.add_future(self._assign())

    def describe(self) -> dict:
        """Summarise the state as JSON values."""
        return {
            pool: {
                "holds": worker.lease.holds(),
                "token": worker.lease.token,
                "open": worker.open,
            }
            for pool, worker in sorted(self._pools.items())
        }

    async def _assign(self) -> None:
        while True:
            for name, pool in self._configuration.rules.pools.items():
                if pool.kind is not records.EndpointKind.ENGINE:
                    continue
                if name in self._workers or not self._owns(name):
                    continue
                self._workers[name] = self.add_future(self._work(name))
            await self._clock.sleep(self._terms.poll_ms)

    def _owns(self, pool: ids.PoolName) -> bool:
        name = f"orders/{pool}"
        return owners.choose(self._directory, name) == self._host

    async def _work(self, pool: ids.PoolName) -> None:
        worker = self._make(pool)
        self._pools[pool] = worker
        try:
            while self._owns(pool):
                pause = await self._work_once(worker)
                await self._clock.sleep(pause)
        finally:
            del self._pools[pool]
            del self._workers[pool]

    async def _work_once(self, worker: PoolOrders) -> float:
        try:
            is_open = await worker.work()
        except exceptions.PlatformError as error:
            events.log_event(
                _LOGGER,
                events.Event.ORDERS_BLOCKED,
                pool=worker.pool,
                error=repr(error),
            )
            return self._terms.busy_ms
        return self._terms.busy_ms if is_open else self._terms.poll_ms

    def _make(self, pool: ids.PoolName) -> PoolOrders:
        lease = lease_keepers.LeaseKeeper(
            pool,
            self._host,
            self._clock,
            self._platform,
            self._rng,
            self._terms.lease,
        )
        return PoolOrders(
            pool,
            self._clock,
            self._platform,
            self._directory,
            self._engines,
            lease,
            self._limit,
            self._terms,
            self._metrics,
        )
