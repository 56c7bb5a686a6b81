"""Slots under the grants of each endpoint's keeper."""

import asyncio
from collections import abc as collections_abc
import logging
import random

import mode

from chervilshore.clients import peers as peers_module
from chervilshore import clock as clocks
from chervilshore.controllers import configuration as configurations
from chervilshore.controllers import directory as directories
from chervilshore.controllers import slots
from chervilshore.controllers import waiting
from chervilshore.decisions import concurrency
from chervilshore.decisions import grants
from chervilshore.decisions import queues
from chervilshore.decisions import routing
from chervilshore import events
from chervilshore import exceptions
from chervilshore import ids
from chervilshore import messages
from chervilshore import metrics as metrics_module
from chervilshore import records
from chervilshore import results

LOGGER = logging.getLogger(__name__)

TICK_MS = 100.0
"""Milliseconds between two looks at what is due."""

LONGEST_MS = 60_000.0
"""Milliseconds that an attempt may take at most, unless told otherwise."""

RETRY_AFTER_MS = 1000.0
"""Milliseconds after which it is worth asking for a slot again."""

LATENCY_WEIGHT = 0.2
"""Weight of one attempt in an endpoint's latency."""

KINDS = (
    messages.GrantAsk,
    messages.GrantReply,
    messages.GrantRecall,
    messages.GrantReport,
    messages.GrantRetire,
)
"""The messages about grants."""


class Grants(mode.Service, slots.Slots):
    """Gives out slots as the keepers of the endpoints allow.

    Parameters
    ----------
    host : HostId
        This host.
    clock : Clock
        The time.
    peers : Peers
        Carries messages to the other hosts.
    directory : Directory
        The hosts and endpoints.
    configuration : Configuration
        The rules in force.
    make_router, make_queue : callable
        Make the router and the wait queue of one pool.
    rng : random.Random
        Spreads this host's ticks.
    metrics : Metrics or None
        Where to count.
    longest_ms : float
        Milliseconds that an attempt may take at most; no deadline of a
        request may be longer.
    """

    def __init__(
        self,
        host: ids.HostId,
        clock: clocks.Clock,
        peers: peers_module.Peers,
        directory: directories.Directory,
        configuration: configurations.Configuration,
        make_router: collections_abc.Callable[[], routing.Router],
        make_queue: collections_abc.Callable[[], queues.WaitQueue],
        rng: random.Random,
        metrics: metrics_module.Metrics | None = None,
        longest_ms: float = LONGEST_MS,
    ) -> None:
        super().__init__()
        self._host = host
        self._clock = clock
        self._peers = peers
        self._directory = directory
        self._configuration = configuration
        self._make_router = make_router
        self._make_queue = make_queue
        self._rng = rng
        self._metrics = metrics
        self._node = grants.Grants(
            host, int(clock.wall()), longest_ms, clock.now()
        )
        self._pools: dict[ids.PoolName, waiting.PoolWaiters] = {}
        self._latencies: dict[ids.EndpointId, float] = {}
        self._addresses: dict[ids.HostId, ids.Address] = {}
        self._seen: tuple = ()
        self._is_settling = False

    # Life.

    async def on_start(self) -> None:
        """Begin to answer peers and to look after what is due."""
        for kind in KINDS:
            self._peers.handle(kind, self._receive)
        self._refresh()
        self.add_future(self._run())

    async def on_stop(self) -> None:
        """Tell the others that this host keeps nothing any more."""
        self._node.retire(self._clock.now())
        self._transmit()

    async def _run(self) -> None:
        await self._clock.sleep(self._rng.uniform(0, TICK_MS))
        while not self.should_stop:
            self.tick()
            await self._clock.sleep(TICK_MS)

    def tick(self) -> None:
        """Do what is due."""
        self._refresh()
        self._node.tick(self._clock.now())
        self._settle()
        for pool in self._pools.values():
            for waiter in list(pool.waiters.values()):
                self._review(pool, waiter)
        self._settle()
        if self._metrics is not None:
            self._metrics.set(
                metrics_module.Metric.ENDPOINTS_KEPT, len(self._node.keepers)
            )

    def _review(
        self, pool: waiting.PoolWaiters, waiter: waiting.Waiter
    ) -> None:
        if waiter.future.done():
            return
        if not self._list_records(waiter.ticket.need):
            waiter.future.set_exception(_refuse_endpoint("none is left"))
        elif waiter.pending is None:
            self._chase(pool, waiter)

    # What this host believes.

    def _refresh(self) -> None:
        rules = self._configuration.rules
        hosts = self._directory.hosts()
        endpoints = tuple(
            self._directory.endpoints(pool) for pool in rules.pools
        )
        seen = (rules.generation, hosts, endpoints)
        if seen == self._seen:
            return
        self._seen = seen
        known = {}
        for record in hosts:
            self._addresses[record.host] = record.peer_address
            assignment = rules.assignments.get(record.host)
            domain = assignment.domain if assignment else record.domain
            known[record.host] = (domain, record.state)
        places = {}
        for pool, found in zip(rules.pools.values(), endpoints, strict=True):
            for record in found:
                places[record.endpoint] = grants.Place(
                    record.domain,
                    pool.cold,
                    pool.most,
                    rules.is_out(record.domain),
                )
        self._node.set_view(grants.View(known, places), self._clock.now())

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

    def _make_candidate(
        self, record: records.EndpointRecord, now: float
    ) -> routing.Candidate:
        holder = self._node.holders.get(record.endpoint)
        latency = self._latencies.get(record.endpoint, 0.0)
        if holder is None:
            return routing.Candidate(record, latency_ms=latency)
        return routing.Candidate(
            record,
            holder.count_free(now),
            len(holder.running),
            holder.limit,
            holder.warmth,
            latency,
        )

    # Slots.

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
        cancelled = slots.Attempt(records.Outcome.CANCELLED)
        self.release(future.result(), cancelled)

    def confirm(self, slot: slots.Slot) -> bool:
        """Check a slot right before the send; see `Slots.confirm`."""
        is_good = self._is_open(slot.record) and self._node.confirm(
            slot.record.endpoint, slot.grant, self._clock.now()
        )
        if not is_good and self._metrics is not None:
            self._metrics.count(
                metrics_module.Metric.SLOTS_VOID, slot.record.pool
            )
        return is_good

    def _is_open(self, record: records.EndpointRecord) -> bool:
        found = self._directory.endpoint(record.endpoint)
        if found is None or found.state is not records.EndpointState.LIVE:
            return False
        return not self._configuration.rules.is_out(found.domain)

    def release(self, slot: slots.Slot, attempt: slots.Attempt) -> None:
        """Give a slot back; see `Slots.release`."""
        now = self._clock.now()
        endpoint = slot.record.endpoint
        sample = concurrency.Sample(
            ((attempt.outcome, attempt.millis),),
            attempt.instance,
            attempt.cold,
        )
        self._node.release(endpoint, slot.grant, sample, now)
        router = self._find_pool(slot.record.pool).router
        router.note(endpoint, attempt.outcome, attempt.millis, now)
        if attempt.outcome is records.Outcome.OK:
            former = self._latencies.get(endpoint, attempt.millis)
            change = LATENCY_WEIGHT * (attempt.millis - former)
            self._latencies[endpoint] = former + change
        self._settle()

    # Waiting stages.

    def _find_pool(self, name: ids.PoolName) -> waiting.PoolWaiters:
        pool = self._pools.get(name)
        if pool is None:
            pool = waiting.PoolWaiters(self._make_queue(), self._make_router())
            self._pools[name] = pool
        return pool

    def _forget(
        self, pool: waiting.PoolWaiters, waiter: waiting.Waiter
    ) -> None:
        for endpoint in pool.remove(waiter):
            self._want(pool, endpoint)
        self._settle()

    def _want(
        self, pool: waiting.PoolWaiters, endpoint: ids.EndpointId
    ) -> None:
        now = self._clock.now()
        self._node.want(
            endpoint,
            pool.count_wanted(endpoint),
            pool.last_deadline,
            now,
        )

    def _chase(
        self, pool: waiting.PoolWaiters, waiter: waiting.Waiter
    ) -> None:
        """Ask for a slot where the stage has not asked yet."""
        now = self._clock.now()
        need = waiter.ticket.need
        candidates = [
            self._make_candidate(record, now)
            for record in self._list_records(need)
            if record.endpoint not in waiter.asked
            and self._node.is_reachable(record.endpoint, now)
        ]
        if not candidates:
            return
        for candidate in pool.router.rank(need, candidates, now):
            endpoint = candidate.record.endpoint
            pool.ask(waiter, endpoint)
            if candidate.free:
                # Whoever is next in the queue gets it, mostly this one.
                self._node.changed.add(endpoint)
                pool.expect(waiter, endpoint)
                return
            self._want(pool, endpoint)
            holder = self._node.holders[endpoint]
            if not holder.is_full():
                pool.expect(waiter, endpoint)
                return

    def _match(self, endpoint: ids.EndpointId) -> None:
        record = self._directory.endpoint(endpoint)
        if record is None:
            return
        pool = self._find_pool(record.pool)
        now = self._clock.now()

        def is_eligible(need: routing.Need) -> bool:
            return need.allows(record) and self._node.suits(
                endpoint, need.deadline, now
            )

        while self._is_open(record) and self._node.count_free(endpoint, now):
            waiter = pool.pop(now, is_eligible)
            if waiter is None:
                break
            if waiter.future.done():
                # It was refused or cancelled, and is about to be forgotten.
                pool.remove(waiter)
            else:
                self._hand_over(pool, waiter, record, now)
        self._want(pool, endpoint)
        holder = self._node.holders[endpoint]
        if not holder.is_asking or holder.misses:
            for waiter in pool.pop_pending(endpoint):
                self._chase(pool, waiter)

    def _hand_over(
        self,
        pool: waiting.PoolWaiters,
        waiter: waiting.Waiter,
        record: records.EndpointRecord,
        now: float,
    ) -> None:
        need = waiter.ticket.need
        grant = self._node.take(record.endpoint, need.deadline, now)
        epoch = self._node.holders[record.endpoint].promised
        for endpoint in pool.remove(waiter):
            if endpoint != record.endpoint:
                self._want(pool, endpoint)
        waiter.future.set_result(slots.Slot(record, grant, epoch))

    def _settle(self) -> None:
        """Bring all that has changed to those that wait for it."""
        if self._is_settling:
            return
        self._is_settling = True
        try:
            self._transmit()
            while self._node.changed:
                self._match(self._node.changed.pop())
                self._transmit()
        finally:
            self._is_settling = False
        self._tell_news()

    def _tell_news(self) -> None:
        news, self._node.news = self._node.news, []
        for event, endpoint in news:
            events.log_event(LOGGER, event, endpoint=endpoint)
            is_cold = event is events.Event.ENDPOINT_COLD
            if is_cold and self._metrics is not None:
                self._metrics.count(metrics_module.Metric.COLD_STARTS)

    # Messages.

    def _receive(self, sender: ids.Address, message: messages.Message) -> None:
        host = _name_sender(message)
        self._addresses[host] = sender
        self._node.receive(host, message, self._clock.now())
        self._settle()

    def _transmit(self) -> None:
        for host, message in self._node.drain(self._clock.now()):
            address = self._addresses.get(host)
            if address is None:
                continue
            self._peers.send(address, message)
            if self._metrics is not None:
                self._metrics.count(
                    metrics_module.Metric.GRANT_MESSAGES,
                    type(message).__name__,
                )

    def describe(self) -> dict[str, object]:
        """Write a summary for operators."""
        state = self._node.describe(self._clock.now())
        state["waiting"] = {
            name: len(pool) for name, pool in self._pools.items()
        }
        return state


def _name_sender(message: messages.Message) -> ids.HostId:
    if isinstance(message, (messages.GrantAsk, messages.GrantReport)):
        return message.holder
    return message.keeper


def _refuse_endpoint(detail: str) -> exceptions.RefusalError:
    return exceptions.RefusalError(
        results.Code.NO_ENDPOINT, detail, RETRY_AFTER_MS
    )


def _refuse_deadline() -> exceptions.RefusalError:
    return exceptions.RefusalError(
        results.Code.DEADLINE_PASSED, "no slot in time", RETRY_AFTER_MS
    )
