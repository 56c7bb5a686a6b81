"""Keeps the list of live entry hosts by probing them."""

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

JITTER = 0.1
"""Part of a period by which it varies, so that hosts do not fall in step."""

SYNC_TIMEOUT_MS = 1000.0
JOIN_PERIODS = 5
LEAVE_HOSTS = 8
"""Hosts of other failure domains that hear of a leaving at once."""

Listener = collections_abc.Callable[[records.HostRecord], None]
"""Is told of each host whose state or address has changed."""

_EVENTS = {
    records.HostState.ALIVE: events.Event.HOST_ALIVE,
    records.HostState.SUSPECT: events.Event.HOST_SUSPECT,
    records.HostState.LEAVING: events.Event.HOST_LEAVING,
    records.HostState.DOWN: events.Event.HOST_DOWN,
}


def _read_no_generation() -> ids.Generation:
    return ids.Generation(0)


def _ignore_generation(
    generation: ids.Generation, address: ids.Address
) -> None:
    """Take no notice of a peer's generation."""


class Membership(mode.Service):
    """Probes the other entry hosts and spreads what it learns.

    Parameters
    ----------
    record : HostRecord
        This host; its incarnation is set from the time of day.
    clock : Clock
        Measures periods and timeouts.
    peers : PeerTransport
        Carries the messages.
    rng : random.Random
        Chooses targets and jitter.
    seeds : tuple of Address
        Peer addresses to ask while no other host is known.
    numbers : probes.Numbers
        How to probe.
    metrics : Metrics or None
        Where to count.

    Attributes
    ----------
    generation_source : callable
        Tells the generation in force, which probes carry.
    on_generation : callable
        Is told the generation and the address of each host that is heard.
    """

    def __init__(
        self,
        record: records.HostRecord,
        clock: clocks.Clock,
        peers: peer_types.PeerTransport,
        rng: random.Random,
        seeds: tuple[ids.Address, ...] = (),
        numbers: probes.Numbers | None = None,
        metrics: metric_types.Metrics | None = None,
    ) -> None:
        super().__init__()
        # Without a disk a new life can only count from the time of day; a
        # host that hears of a higher incarnation of itself goes above it.
        self._record = msgspec.structs.replace(
            record, incarnation=ids.Incarnation(int(clock.wall()))
        )
        self.generation_source = _read_no_generation
        self.on_generation = _ignore_generation
        self._clock = clock
        self._peers = peers
        self._rng = rng
        self._seeds = seeds
        self._numbers = numbers or probes.Numbers()
        self._metrics = metrics
        self._listeners: list[Listener] = []
        self._running: set[asyncio.Future] = set()
        self._members = membership.Members(self._record, self._numbers, rng)

    @property
    def me(self) -> records.HostRecord:
        """This host, as it tells of itself."""
        return self._members.me

    def hosts(self) -> tuple[records.HostRecord, ...]:
        """List the hosts that are not down, this one first."""
        return self._members.hosts()

    def get(self, host: ids.HostId) -> records.HostRecord | None:
        """Find a host, whatever its state."""
        return self._members.get(host)

    def listen(self, listener: Listener) -> None:
        """Call a function on each change of a host."""
        self._listeners.append(listener)

    def propose(
        self, hosts: collections_abc.Iterable[records.HostRecord]
    ) -> None:
        """Note hosts that the host list names, to be probed."""
        for host in hosts:
            self._members.propose(host)

    def describe(self) -> dict:
        """Describe the state for operators."""
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
        """Announce at once that this host is leaving; probing goes on."""
        message = messages.Leave(self._members.leave())
        near, far = [], []
        for host in self.hosts()[1:]:
            same = host.domain == self.me.domain
            (near if same else far).append(host.peer_address)
        self._rng.shuffle(far)
        for address in near + far[:LEAVE_HOSTS]:
            self._peers.send(address, message)
        self._tell_changes()

    async def on_start(self) -> None:
        """Begin to answer probes."""
        self._peers.handle(messages.Ping, self._answer_ping)
        self._peers.handle(messages.PingRequest, self._answer_request)
        self._peers.handle(messages.Leave, self._hear_leave)
        self._peers.handle(messages.MembersRequest, self._answer_members)
        # Port 0 is known only once the peers listen.
        self._members.set_address(self._peers.address)

    async def on_stop(self) -> None:
        """End the probes that are under way."""
        for task in tuple(self._running):
            task.cancel()

    @mode.Service.task
    async def _run(self) -> None:
        rounds = 0
        while not self.should_stop:
            if rounds % JOIN_PERIODS == 0 and len(self.hosts()) == 1:
                self._join()
            rounds += 1
            for probe in self._members.begin_period(self._clock.now()):
                self._start(self._probe(probe))
            self._tell_changes()
            jitter = 1 + JITTER * (2 * self._rng.random() - 1)
            await self._clock.sleep(self._numbers.period_ms * jitter)

    def _join(self) -> None:
        for address in self._seeds:
            if address != self._peers.address:
                self._start(self._synchronize(address))

    def _start(self, coroutine: collections_abc.Coroutine) -> None:
        task = asyncio.ensure_future(coroutine)
        self._running.add(task)
        task.add_done_callback(self._running.discard)

    async def _probe(self, probe: probes.Probe) -> None:
        numbers = self._numbers
        ping = self._make_ping(probe.host)
        pong = await self._ask(probe.address, ping, numbers.direct_ms)
        if not self._answers(probe, pong) and probe.counts:
            pong = await self._ask_helpers(probe)
        if self._answers(probe, pong):
            self._members.acknowledge(probe)
            self._hear(probe.address, pong)
        else:
            self._members.fail(probe, self._clock.now())
            self._forget_if_down(probe)
        self._tell_changes()

    def _forget_if_down(self, probe: probes.Probe) -> None:
        # What waits for a dead host must not reach its next life; a slow
        # host keeps its connection and what others ask it.
        known = self._members.get(probe.host)
        if known is None or known.state is records.HostState.DOWN:
            self._peers.disconnect(probe.address)

    async def _ask_helpers(self, probe: probes.Probe) -> messages.Pong | None:
        request = messages.PingRequest(
            probe.host, probe.address, self._members.take_news(probe.host)
        )
        asks = [
            self._ask(helper, request, self._numbers.indirect_ms)
            for helper in self._members.choose_helpers(probe.host)
        ]
        for send_request in asyncio.as_completed(asks):
            pong = await send_request
            if self._answers(probe, pong):
                return pong
        return None

    async def _ask(
        self,
        address: ids.Address,
        message: messages.Message,
        timeout_ms: float,
    ) -> messages.Message | None:
        try:
            return await self._peers.send_request(address, message, timeout_ms)
        except exceptions.PeerError:
            return None

    def _answers(
        self, probe: probes.Probe, pong: messages.Message | None
    ) -> bool:
        return isinstance(pong, messages.Pong) and pong.host == probe.host

    def _make_ping(self, about: ids.HostId | None) -> messages.Ping:
        return messages.Ping(
            updates=self._members.take_news(about),
            generation=self.generation_source(),
            digest=self._members.digest,
        )

    def _make_pong(self) -> messages.Pong:
        return messages.Pong(
            host=self.me.host,
            updates=self._members.take_news(),
            generation=self.generation_source(),
            digest=self._members.digest,
        )

    def _answer_ping(
        self, sender: ids.Address, ping: messages.Ping
    ) -> messages.Pong:
        self._hear(sender, ping)
        return self._make_pong()

    async def _answer_request(
        self, sender: ids.Address, request: messages.PingRequest
    ) -> messages.Pong | None:
        self._members.merge(request.updates, self._clock.now())
        self._tell_changes()
        ping = self._make_ping(request.host)
        return await self._ask(request.target, ping, self._numbers.direct_ms)

    def _hear_leave(
        self, sender: ids.Address, message: messages.Leave
    ) -> None:
        self._members.merge((message.record,), self._clock.now())
        self._tell_changes()

    def _answer_members(
        self, sender: ids.Address, request: messages.MembersRequest
    ) -> messages.MembersReply:
        found = self._members.list_differing(request.digests)
        return messages.MembersReply(found)

    def _hear(
        self, address: ids.Address, message: messages.Ping | messages.Pong
    ) -> None:
        self._members.merge(message.updates, self._clock.now())
        self._tell_changes()
        self.on_generation(message.generation, address)
        if self._members.differ(message.digest, self._clock.now()):
            self._start(self._synchronize(address))

    async def _synchronize(self, address: ids.Address) -> None:
        request = messages.MembersRequest(self._members.digests)
        reply = await self._ask(address, request, SYNC_TIMEOUT_MS)
        if isinstance(reply, messages.MembersReply):
            self._members.learn(reply.members, self._clock.now())
            self._tell_changes()

    def _tell_changes(self) -> None:
        changes = self._members.take_changes()
        for record in changes:
            events.log_event(
                logger,
                _EVENTS[record.state],
                host=record.host,
                domain=record.domain,
                incarnation=record.incarnation,
            )
            for listener in self._listeners:
                listener(record)
        if changes and self._metrics is not None:
            for state, number in self._members.count_states().items():
                self._metrics.set(metric_types.Metric.MEMBERS, number, state)
