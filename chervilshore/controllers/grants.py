"""Slots under the grants of each endpoint's keeper."""

from collections import abc as collections_abc
import logging
import random

import mode

from chervilshore.clients import peers as peers_module
from chervilshore import clock as clocks
from chervilshore.controllers import configuration as configurations
from chervilshore.controllers import directory as directories
from chervilshore.controllers import queueing
from chervilshore.controllers import slots
from chervilshore.controllers import waiting
from chervilshore.decisions import concurrency
from chervilshore.decisions import grants
from chervilshore.decisions import outlook
from chervilshore.decisions import queues
from chervilshore.decisions import routing
from chervilshore import events
from chervilshore import grantmessages
from chervilshore import ids
from chervilshore import messages
from chervilshore import metrics as metrics_module
from chervilshore import records

LOGGER = logging.getLogger(__name__)

TICK_MS = 100.0
"""Milliseconds between two looks at what is due."""

LONGEST_MS = 60_000.0
"""Milliseconds that an attempt may take at most, unless told otherwise."""

KINDS = (
    grantmessages.GrantAsk,
    grantmessages.GrantReply,
    grantmessages.GrantRecall,
    grantmessages.GrantReport,
    grantmessages.GrantRetire,
)
"""The messages about grants."""


class Grants(queueing.QueueingSlots, mode.Service):
    """Gives out slots as the keepers of the endpoints allow.

    Parameters
    ----------
    host : HostId
        This host.
    clock : Clock
        The time.
    peers : PeerTransport
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
        peers: peers_module.PeerTransport,
        directory: directories.Directory,
        configuration: configurations.Configuration,
        make_router: collections_abc.Callable[[], routing.Router],
        make_queue: collections_abc.Callable[[], queues.WaitQueue],
        rng: random.Random,
        metrics: metrics_module.Metrics | None = None,
        longest_ms: float = LONGEST_MS,
    ) -> None:
        super().__init__(
            clock,
            directory,
            configuration,
            make_router,
            make_queue,
            metrics,
        )
        self._host = host
        self._peers = peers
        self._rng = rng
        self._node = grants.Grants(
            host, int(clock.wall()), longest_ms, clock.now()
        )
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
        self._review()
        self._settle()
        if self._metrics is not None:
            self._metrics.set(
                metrics_module.Metric.ENDPOINTS_KEPT,
                len(self._node.tenures.keepers),
            )

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
                places[record.endpoint] = outlook.Place(
                    record.domain,
                    pool.cold,
                    pool.most,
                    rules.is_out(record.domain),
                )
        self._node.set_view(outlook.View(known, places), self._clock.now())

    # Slots.

    def _hold(
        self, record: records.EndpointRecord, grant: ids.GrantId
    ) -> bool:
        return self._node.confirm(record.endpoint, grant, self._clock.now())

    def _free(self, slot: slots.Slot, attempt: slots.Attempt) -> None:
        sample = concurrency.Sample(
            ((attempt.outcome, attempt.millis),),
            attempt.instance,
            attempt.cold,
        )
        self._node.release(
            slot.record.endpoint, slot.grant, sample, self._clock.now()
        )

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

    # Waiting stages.

    def _want(
        self, pool: waiting.PoolWaiters, endpoint: ids.EndpointId
    ) -> None:
        now = self._clock.now()
        record = self._directory.endpoint(endpoint)
        wanted = 0
        # A slot that nobody here may use must go back and stay there.
        if record is not None and self._is_open(record):
            wanted = pool.count_wanted(endpoint)
        self._node.want(endpoint, wanted, pool.last_deadline, now)

    def _chase(
        self, pool: waiting.PoolWaiters, waiter: waiting.Waiter
    ) -> None:
        """Ask for a slot where the stage has not asked yet."""
        now = self._clock.now()
        need = waiter.ticket.need
        candidates = [
            self._make_candidate(record, now)
            for record in self._list_records(need)
            if self._node.is_reachable(record.endpoint, now)
        ]
        for candidate in pool.router.rank(need, candidates, now):
            endpoint = candidate.record.endpoint
            if endpoint in waiter.asked:
                continue
            pool.ask(waiter, endpoint)
            if candidate.free:
                # Whoever is next in the queue gets it, mostly this one.
                self._node.changed.add(endpoint)
                pool.expect(waiter, endpoint)
                return
            self._want(pool, endpoint)
            if not self._node.holders[endpoint].is_full():
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
                endpoint, need.ends, now
            )

        while self._is_open(record) and self._node.count_free(endpoint, now):
            waiter = pool.pop(now, is_eligible)
            self._expire(pool)
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
        grant = self._node.take(record.endpoint, need.ends, now)
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
        news, self._node.tenures.news = self._node.tenures.news, []
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
        state["waiting"] = self._count_waiting()
        return state


def _name_sender(message: messages.Message) -> ids.HostId:
    if isinstance(
        message, (grantmessages.GrantAsk, grantmessages.GrantReport)
    ):
        return message.holder
    return message.keeper
