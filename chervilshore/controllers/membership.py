"""Tracks which entry hosts are alive, by probing and gossip."""

import asyncio
from collections import abc as collections_abc
import logging
import random

import mode
import msgspec

from chervilshore.clients import peers as peer_types
from chervilshore import clock as clocks
from chervilshore.decisions import membership
from chervilshore.decisions import probes
from chervilshore import events
from chervilshore import exceptions
from chervilshore import ids
from chervilshore import messages
from chervilshore import metrics as metric_types
from chervilshore import records

logger = logging.getLogger(__name__)

JITTER_FRACTION = 0.1
"""Fraction by which a probe period varies, to desynchronize the hosts."""

SYNC_TIMEOUT_MS = 1000.0
"""Milliseconds to wait for a peer's list of members."""

JOIN_INTERVAL_PERIODS = 5
"""Probe periods between two attempts to join through the seeds."""

MAX_REMOTE_LEAVE_NOTICES = 8
"""Hosts of other failure domains that a leaving host notifies directly."""

Listener = collections_abc.Callable[[records.HostRecord], None]
"""Called with the new record of each host that has changed."""

_STATE_EVENTS = {
    records.HostState.ALIVE: events.Event.HOST_ALIVE,
    records.HostState.SUSPECT: events.Event.HOST_SUSPECT,
    records.HostState.LEAVING: events.Event.HOST_LEAVING,
    records.HostState.DOWN: events.Event.HOST_DOWN,
}


def _return_generation_zero() -> ids.Generation:
    return ids.Generation(0)


def _ignore_generation(
    generation: ids.Generation, address: ids.Address
) -> None:
    """Do nothing (the default of `Membership.on_generation`)."""


class Membership(mode.Service):
    """Probes the other entry hosts and gossips the changes that it sees.

    Parameters
    ----------
    record : HostRecord
        This host; its incarnation is set from the time of day.
    clock : Clock
        Measures periods and timeouts.
    peers : PeerTransport
        Sends and receives the messages.
    rng : random.Random
        Chooses targets and jitter.
    seeds : tuple of Address
        Peer addresses to contact while no other host is known.
    probe_settings : ProbeSettings or None
        Periods, timeouts and limits of probing; None for the defaults.
    metrics : Metrics or None
        Receives the number of members by state.

    Attributes
    ----------
    generation_source : callable
        Returns the active generation, which is piggybacked on probes.
    on_generation : callable
        Called with the generation and the address of each host from which
        a probe or its answer arrives.
    """

    def __init__(
        self,
        record: records.HostRecord,
        clock: clocks.Clock,
        peers: peer_types.PeerTransport,
        rng: random.Random,
        seeds: tuple[ids.Address, ...] = (),
        probe_settings: probes.ProbeSettings | None = None,
        metrics: metric_types.Metrics | None = None,
    ) -> None:
        super().__init__()
        # Hosts have no disk to store the last incarnation, so a new process
        # run starts from the time of day. If peers still report a higher
        # incarnation of this host, it moves above that one.
        self._record = msgspec.structs.replace(
            record, incarnation=ids.Incarnation(int(clock.wall()))
        )
        self.generation_source = _return_generation_zero
        self.on_generation = _ignore_generation
        self._clock = clock
        self._peers = peers
        self._rng = rng
        self._seeds = seeds
        self._probe_settings = probe_settings or probes.ProbeSettings()
        self._metrics = metrics
        self._listeners: list[Listener] = []
        self._running_tasks: set[asyncio.Future] = set()
        self._members = membership.Members(
            self._record, self._probe_settings, rng
        )

    @property
    def me(self) -> records.HostRecord:
        """The record that this host publishes about itself."""
        return self._members.me

    def hosts(self) -> tuple[records.HostRecord, ...]:
        """List the hosts that are not down, this one first."""
        return self._members.hosts()

    def get(self, host: ids.HostId) -> records.HostRecord | None:
        """Return a host in whatever state, or None if it is not known."""
        return self._members.get(host)

    def listen(self, listener: Listener) -> None:
        """Register a function that is called on each change of a host."""
        self._listeners.append(listener)

    def propose(
        self, hosts: collections_abc.Iterable[records.HostRecord]
    ) -> None:
        """Probe hosts from the host list that are not known to be alive."""
        for host in hosts:
            self._members.propose(host)

    def describe(self) -> dict:
        """Return the state as JSON values, for operators."""
        return {
            "host": self.me.host,
            "incarnation": self.me.incarnation,
            "hosts": [
                {
                    "host": host.host,
                    "domain": host.domain,
                    "state": host.state.value,
                    "peer_address": host.peer_address,
                    "incarnation": host.incarnation,
                }
                for host in self._members.list_all()
            ],
        }

    def leave(self) -> None:
        """Announce immediately that this host is leaving.

        All hosts of its failure domain are notified directly, and some of
        other domains; gossip reaches the rest. Probing continues.
        """
        message = messages.Leave(self._members.leave())
        local, remote = [], []
        for host in self.hosts()[1:]:
            same = host.domain == self.me.domain
            (local if same else remote).append(host.peer_address)
        self._rng.shuffle(remote)
        for address in local + remote[:MAX_REMOTE_LEAVE_NOTICES]:
            self._peers.send(address, message)
        self._report_changes()

    async def on_start(self) -> None:
        """Register the message handlers and the address of this host."""
        self._peers.handle(messages.Ping, self._handle_ping)
        self._peers.handle(messages.PingRequest, self._handle_ping_request)
        self._peers.handle(messages.Leave, self._handle_leave)
        self._peers.handle(
            messages.MembersRequest, self._handle_members_request
        )
        # With port 0 the actual port is known only once the peers listen.
        self._members.set_address(self._peers.address)

    async def on_stop(self) -> None:
        """Cancel the probes that are running."""
        for task in tuple(self._running_tasks):
            task.cancel()

    @mode.Service.task
    async def _run(self) -> None:
        rounds = 0
        while not self.should_stop:
            if rounds % JOIN_INTERVAL_PERIODS == 0 and len(self.hosts()) == 1:
                self._contact_seeds()
            rounds += 1
            for probe in self._members.begin_period(self._clock.now()):
                self._start_task(self._probe(probe))
            self._report_changes()
            jitter = 1 + JITTER_FRACTION * (2 * self._rng.random() - 1)
            await self._clock.sleep(self._probe_settings.period_ms * jitter)

    def _contact_seeds(self) -> None:
        for address in self._seeds:
            if address != self._peers.address:
                self._start_task(self._synchronize(address))

    def _start_task(self, coroutine: collections_abc.Coroutine) -> None:
        task = asyncio.ensure_future(coroutine)
        self._running_tasks.add(task)
        task.add_done_callback(self._running_tasks.discard)

    async def _probe(self, probe: probes.Probe) -> None:
        probe_settings = self._probe_settings
        ping = self._make_ping(probe.host)
        pong = await self._send_request(
            probe.address, ping, probe_settings.direct_ms
        )
        if not self._is_answer(probe, pong) and probe.counts_misses:
            pong = await self._probe_through_helpers(probe)
        if self._is_answer(probe, pong):
            self._members.record_ack(probe)
            self._handle_updates(probe.address, pong)
        else:
            self._members.record_failure(probe, self._clock.now())
            self._disconnect_if_down(probe)
        self._report_changes()

    def _disconnect_if_down(self, probe: probes.Probe) -> None:
        # Messages queued for a dead host must not reach its next process
        # run. A slow host keeps its connection and its pending requests.
        known = self._members.get(probe.host)
        if known is None or known.state is records.HostState.DOWN:
            self._peers.disconnect(probe.address)

    async def _probe_through_helpers(
        self, probe: probes.Probe
    ) -> messages.Pong | None:
        request = messages.PingRequest(
            probe.host, probe.address, self._members.select_updates(probe.host)
        )
        replies = [
            self._send_request(
                helper, request, self._probe_settings.indirect_ms
            )
            for helper in self._members.choose_helpers(probe.host)
        ]
        for reply in asyncio.as_completed(replies):
            pong = await reply
            if self._is_answer(probe, pong):
                return pong
        return None

    async def _send_request(
        self,
        address: ids.Address,
        message: messages.Message,
        timeout_ms: float,
    ) -> messages.Message | None:
        try:
            return await self._peers.send_request(address, message, timeout_ms)
        except exceptions.PeerError:
            return None

    def _is_answer(
        self, probe: probes.Probe, pong: messages.Message | None
    ) -> bool:
        return isinstance(pong, messages.Pong) and pong.host == probe.host

    def _make_ping(self, receiver: ids.HostId | None) -> messages.Ping:
        return messages.Ping(
            updates=self._members.select_updates(receiver),
            generation=self.generation_source(),
            digest=self._members.digest,
        )

    def _make_pong(self) -> messages.Pong:
        return messages.Pong(
            host=self.me.host,
            updates=self._members.select_updates(),
            generation=self.generation_source(),
            digest=self._members.digest,
        )

    def _handle_ping(
        self, sender: ids.Address, ping: messages.Ping
    ) -> messages.Pong:
        self._handle_updates(sender, ping)
        return self._make_pong()

    async def _handle_ping_request(
        self, sender: ids.Address, request: messages.PingRequest
    ) -> messages.Pong | None:
        self._members.merge(request.updates, self._clock.now())
        self._report_changes()
        ping = self._make_ping(request.host)
        return await self._send_request(
            request.target, ping, self._probe_settings.direct_ms
        )

    def _handle_leave(
        self, sender: ids.Address, message: messages.Leave
    ) -> None:
        self._members.merge((message.record,), self._clock.now())
        self._report_changes()

    def _handle_members_request(
        self, sender: ids.Address, request: messages.MembersRequest
    ) -> messages.MembersReply:
        found = self._members.list_differing(request.digests)
        return messages.MembersReply(found)

    def _handle_updates(
        self, address: ids.Address, message: messages.Ping | messages.Pong
    ) -> None:
        self._members.merge(message.updates, self._clock.now())
        self._report_changes()
        self.on_generation(message.generation, address)
        if self._members.should_sync(message.digest, self._clock.now()):
            self._start_task(self._synchronize(address))

    async def _synchronize(self, address: ids.Address) -> None:
        request = messages.MembersRequest(self._members.digests)
        reply = await self._send_request(address, request, SYNC_TIMEOUT_MS)
        if isinstance(reply, messages.MembersReply):
            self._members.merge_members(reply.members, self._clock.now())
            self._report_changes()

    def _report_changes(self) -> None:
        changes = self._members.pop_changes()
        for record in changes:
            events.log_event(
                logger,
                _STATE_EVENTS[record.state],
                host=record.host,
                domain=record.domain,
                incarnation=record.incarnation,
            )
            for listener in self._listeners:
                listener(record)
        if changes and self._metrics is not None:
            for state, number in self._members.count_states().items():
                self._metrics.set(metric_types.Metric.MEMBERS, number, state)
