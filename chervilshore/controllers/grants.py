"""Slots that are granted by the owner of each endpoint."""

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
from chervilshore.decisions import clusterview
from chervilshore.decisions import concurrency
from chervilshore.decisions import grants
from chervilshore.decisions import queues
from chervilshore.decisions import routing
from chervilshore import events
from chervilshore import grantmessages
from chervilshore import ids
from chervilshore import messages
from chervilshore import metrics as metrics_module
from chervilshore import records

_LOGGER = logging.getLogger(__name__)

TICK_MS = 100.0
"""Milliseconds between two runs of periodic work."""

MAX_ATTEMPT_MS = 60_000.0
"""Default of the maximum milliseconds of an attempt."""

MESSAGE_TYPES = (
    grantmessages.GrantAsk,
    grantmessages.GrantReply,
    grantmessages.GrantRecall,
    grantmessages.GrantReport,
    grantmessages.GrantRetire,
)
"""The types of messages about grants; a metric has their names as labels."""


class GrantedSlots(queueing.QueueingSlots, mode.Service):
    """Assigns slots that the owners of the endpoints grant.

    Parameters
    ----------
    host : HostId
        This host.
    clock : Clock
        The time.
    peers : PeerTransport
        Carries messages to and from the other hosts.
    directory : Directory
        The hosts and endpoints.
    configuration : Configuration
        The active rules.
    make_router, make_queue : callable
        Return a new router and a new wait queue for one pool.
    rng : random.Random
        Chooses the time of the first tick, to spread the hosts' ticks.
    metrics : Metrics or None
        Counts messages, cold starts and owned endpoints.
    max_attempt_ms : float
        Maximum milliseconds of an attempt; no request may have a longer
        deadline.
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
        max_attempt_ms: float = MAX_ATTEMPT_MS,
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
        self._host_grants = grants.Grants(
            host, int(clock.wall()), max_attempt_ms, clock.now()
        )
        self._addresses: dict[ids.HostId, ids.Address] = {}
        self._last_inputs: tuple = ()
        self._is_assigning = False

    # Start, stop and periodic work.

    async def on_start(self) -> None:
        """Register the handlers of messages and start the ticks."""
        for message_type in MESSAGE_TYPES:
            self._peers.handle(message_type, self._handle_message)
        self._refresh_topology()
        self.add_future(self._run())

    async def on_stop(self) -> None:
        """Announce to the other hosts that this host owns no endpoints."""
        self._host_grants.retire(self._clock.now())
        self._send_messages()

    async def _run(self) -> None:
        await self._clock.sleep(self._rng.uniform(0, TICK_MS))
        while not self.should_stop:
            self.tick()
            await self._clock.sleep(TICK_MS)

    def tick(self) -> None:
        """Do the periodic work of grants and waiting stages."""
        self._refresh_topology()
        self._host_grants.tick(self._clock.now())
        self._assign_slots()
        self._recheck_waiters()
        self._assign_slots()
        if self._metrics is not None:
            self._metrics.set(
                metrics_module.Metric.ENDPOINTS_OWNED,
                len(self._host_grants.ownerships.allocators),
            )

    # The topology.

    def _refresh_topology(self) -> None:
        """Update the hosts and endpoints when they or the rules changed."""
        rules = self._configuration.rules
        hosts = self._directory.hosts()
        endpoints = tuple(
            self._directory.endpoints(pool) for pool in rules.pools
        )
        inputs = (rules.generation, hosts, endpoints)
        if inputs == self._last_inputs:
            return
        self._last_inputs = inputs
        hosts_by_id = {}
        for record in hosts:
            self._addresses[record.host] = record.peer_address
            assignment = rules.assignments.get(record.host)
            domain = assignment.domain if assignment else record.domain
            hosts_by_id[record.host] = (domain, record.state)
        placements = {}
        for pool, pool_records in zip(
            rules.pools.values(), endpoints, strict=True
        ):
            for record in pool_records:
                placements[record.endpoint] = clusterview.EndpointPlacement(
                    record.domain,
                    pool.cold,
                    pool.most,
                    rules.is_out(record.domain),
                )
        self._host_grants.set_topology(
            clusterview.Topology(hosts_by_id, placements), self._clock.now()
        )

    # Slots.

    def _is_held(
        self, record: records.EndpointRecord, grant: ids.GrantId
    ) -> bool:
        return self._host_grants.confirm(
            record.endpoint, grant, self._clock.now()
        )

    def _release_slot(
        self, slot: slots.Slot, attempt: slots.AttemptResult
    ) -> None:
        sample = concurrency.Sample(
            ((attempt.outcome, attempt.millis),),
            attempt.instance,
            attempt.cold,
        )
        self._host_grants.release(
            slot.record.endpoint, slot.grant, sample, self._clock.now()
        )

    def _make_candidate(
        self, record: records.EndpointRecord, now: float
    ) -> routing.Candidate:
        holder = self._host_grants.holders.get(record.endpoint)
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

    def _update_wanted(
        self, pool: waiting.PoolWaiters, endpoint: ids.EndpointId
    ) -> None:
        now = self._clock.now()
        record = self._directory.endpoint(endpoint)
        wanted = 0
        # Slots of an endpoint that is not open must return to the owner, and
        # not be requested again.
        if record is not None and self._is_open(record):
            wanted = pool.count_wanted(endpoint)
        self._host_grants.set_wanted(endpoint, wanted, pool.last_deadline, now)

    def _request_slot(
        self, pool: waiting.PoolWaiters, waiter: waiting.Waiter
    ) -> None:
        """Request a slot at the best endpoint where none was requested yet.

        It goes on to the next endpoint as long as the owner of the last one
        is known to have no free slot.
        """
        now = self._clock.now()
        requirements = waiter.ticket.requirements
        candidates = [
            self._make_candidate(record, now)
            for record in self._list_usable(requirements)
            if self._host_grants.is_reachable(record.endpoint, now)
        ]
        for candidate in pool.router.rank(requirements, candidates, now):
            endpoint = candidate.record.endpoint
            if endpoint in waiter.requested:
                continue
            pool.add_request(waiter, endpoint)
            if candidate.free_slots:
                # The free slot goes to the next stage of the queue, which is
                # usually this one.
                self._host_grants.changed.add(endpoint)
                pool.set_pending(waiter, endpoint)
                return
            self._update_wanted(pool, endpoint)
            if not self._host_grants.holders[endpoint].has_unmet_request():
                pool.set_pending(waiter, endpoint)
                return

    def _match_waiters(self, endpoint: ids.EndpointId) -> None:
        """Assign an endpoint's free slots to the stages that are next.

        Stages that wait for its owner's reply request a slot elsewhere once
        no reply is outstanding, or one was lost.
        """
        record = self._directory.endpoint(endpoint)
        if record is None:
            return
        pool = self._find_pool(record.pool)
        now = self._clock.now()

        def is_eligible(requirements: routing.StageRequirements) -> bool:
            return requirements.allows(
                record
            ) and self._host_grants.has_slot_until(
                endpoint, requirements.latest_end, now
            )

        while self._is_open(record) and self._host_grants.count_free(
            endpoint, now
        ):
            waiter = pool.pop(now, is_eligible)
            self._expire(pool)
            if waiter is None:
                break
            if waiter.future.done():
                # It was refused or cancelled and will not use the slot.
                pool.remove(waiter)
            else:
                self._assign(pool, waiter, record, now)
        self._update_wanted(pool, endpoint)
        holder = self._host_grants.holders[endpoint]
        if not holder.awaits_reply or holder.missed_replies:
            for waiter in pool.pop_pending(endpoint):
                self._request_slot(pool, waiter)

    def _assign(
        self,
        pool: waiting.PoolWaiters,
        waiter: waiting.Waiter,
        record: records.EndpointRecord,
        now: float,
    ) -> None:
        requirements = waiter.ticket.requirements
        grant = self._host_grants.acquire(
            record.endpoint, requirements.latest_end, now
        )
        epoch = self._host_grants.holders[record.endpoint].promised_epoch
        for endpoint in pool.remove(waiter):
            if endpoint != record.endpoint:
                self._update_wanted(pool, endpoint)
        waiter.future.set_result(slots.Slot(record, grant, epoch))

    def _assign_slots(self) -> None:
        """Send messages and match changed endpoints until nothing changes."""
        if self._is_assigning:
            return
        self._is_assigning = True
        try:
            self._send_messages()
            while self._host_grants.changed:
                self._match_waiters(self._host_grants.changed.pop())
                self._send_messages()
        finally:
            self._is_assigning = False
        self._log_pending_events()

    def _log_pending_events(self) -> None:
        pending_events, self._host_grants.ownerships.pending_events = (
            self._host_grants.ownerships.pending_events,
            [],
        )
        for event, endpoint in pending_events:
            events.log_event(_LOGGER, event, endpoint=endpoint)
            is_cold = event is events.Event.ENDPOINT_COLD
            if is_cold and self._metrics is not None:
                self._metrics.count(metrics_module.Metric.COLD_STARTS)

    # Messages.

    def _handle_message(
        self, sender: ids.Address, message: messages.Message
    ) -> None:
        host = _find_sender(message)
        self._addresses[host] = sender
        self._host_grants.receive(host, message, self._clock.now())
        self._assign_slots()

    def _send_messages(self) -> None:
        for host, message in self._host_grants.drain(self._clock.now()):
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
        """Return a summary for operators."""
        state = self._host_grants.describe(self._clock.now())
        state["waiting"] = self._count_waiting()
        return state


def _find_sender(message: messages.Message) -> ids.HostId:
    """Return the host that a message names as its sender."""
    if isinstance(
        message, (grantmessages.GrantAsk, grantmessages.GrantReport)
    ):
        return message.holder
    return message.owner
