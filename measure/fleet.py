"""Drive the membership decisions of a whole fleet in one process."""

from collections import abc
import heapq
import itertools
import random

import msgspec

from chervilshore.decisions import membership
from chervilshore.decisions import probes
from chervilshore import ids
from chervilshore import messages
from chervilshore import records
from chervilshore import wire

DELAY_MS = 1.0
HELP_MS = 150.0
DOMAINS = 6
JITTER = 0.1
START_INCARNATION = 1000


def make_record(number: int) -> records.HostRecord:
    """Make the record of a host with addresses of ordinary length."""
    address = f"10.20.{number // 250}.{number % 250 + 1}"
    return records.HostRecord(
        host=ids.HostId(f"entry-{number:03d}"),
        domain=ids.DomainId(f"domain-{number % DOMAINS}"),
        peer_address=ids.Address(f"{address}:7000"),
        http_address=ids.Address(f"{address}:8000"),
        incarnation=ids.Incarnation(START_INCARNATION),
    )


class Node:
    """One host of the fleet and what it has sent."""

    def __init__(
        self, number: int, numbers: probes.ProbeSettings, rng: random.Random
    ) -> None:
        record = make_record(number)
        self.address = record.peer_address
        self.host = record.host
        self.members = membership.Members(record, numbers, rng)
        self.rng = rng
        self.alive = True
        self.paused_until = 0.0
        self.messages = 0
        self.bytes = 0


class Cluster:
    """Hosts that probe each other over a network with faults.

    Parameters
    ----------
    size : int
        Hosts.
    numbers : probes.Numbers
        How they probe.
    seed : int
        Seeds all choices.
    joined : bool
        Whether all know each other from the start.

    Attributes
    ----------
    now : float
        Milliseconds since the start.
    loses : callable
        Takes two nodes and tells whether a message between them is lost.
    on_change : callable
        Is told a node and a record that has changed there.
    """

    def __init__(
        self,
        size: int,
        numbers: probes.ProbeSettings,
        seed: int,
        joined: bool = True,
    ) -> None:
        self.now = 0.0
        self.numbers = numbers
        self.rng = random.Random(seed)
        self.should_drop = lambda sender, receiver: False
        self.on_change = lambda node, record: None
        self._order = itertools.count()
        self._events: list = []
        self.nodes = [
            Node(number, numbers, random.Random(f"{seed}/{number}"))
            for number in range(size)
        ]
        self._places = {node.address: node for node in self.nodes}
        all_records = [node.members.me for node in self.nodes]
        for node in self.nodes:
            if joined:
                node.members.merge_members(all_records, 0.0)
                # All have told of themselves long ago.
                while node.members.select_updates():
                    pass
                node.members.pop_changes()
            self._at(self.rng.random() * numbers.period_ms, self._tick, node)

    def run(self, millis: float) -> None:
        """Let time pass."""
        end = self.now + millis
        while self._events and self._events[0][0] <= end:
            self.now, _, function, arguments = heapq.heappop(self._events)
            function(*arguments)
        self.now = end

    def restart(self, node: Node) -> None:
        """Begin a new life of a node that knows nobody but one host."""
        life = ids.Incarnation(node.members.me.incarnation + 1)
        record = msgspec.structs.replace(
            make_record(int(node.host[-3:])), incarnation=life
        )
        node.members = membership.Members(record, self.numbers, node.rng)
        node.alive = True
        living = [n for n in self.nodes if n.alive and n is not node]
        self._synchronize(node, self.rng.choice(living))

    def _at(self, moment: float, function, *arguments) -> None:
        entry = (moment, next(self._order), function, arguments)
        heapq.heappush(self._events, entry)

    def _send(
        self,
        sender: Node,
        to: ids.Address,
        message: messages.Message,
        receive: abc.Callable[[Node, messages.Message], None],
    ) -> None:
        if not sender.alive:
            return
        envelope = wire.Envelope(sender.address, 1, False, message)
        data = wire.encode(envelope)
        sender.messages += 1
        sender.bytes += len(data)
        receiver = self._places[to]
        if not self.should_drop(sender, receiver):
            delay = self.now + DELAY_MS
            self._at(delay, self._deliver, receiver, data, receive)

    def _deliver(self, receiver: Node, data: bytes, receive) -> None:
        if not receiver.alive:
            return
        if receiver.paused_until > self.now:
            moment = receiver.paused_until
            self._at(moment, self._deliver, receiver, data, receive)
            return
        receive(receiver, wire.decode(data).body)

    def _tick(self, node: Node) -> None:
        jitter = 1 + JITTER * (2 * self.rng.random() - 1)
        moment = self.now + self.numbers.period_ms * jitter
        self._at(max(moment, node.paused_until), self._tick, node)
        if not node.alive or node.paused_until > self.now:
            return
        for probe in node.members.begin_period(self.now):
            self._probe(node, probe)
        self._tell(node)

    def _probe(self, node: Node, probe: probes.Probe) -> None:
        answered = []

        def receive_pong(receiver: Node, pong: messages.Pong) -> None:
            if not answered and pong.host == probe.host:
                answered.append(True)
                receiver.members.record_ack(probe)
            self._hear(receiver, pong, probe.address)

        self._ping(node, probe.host, probe.address, receive_pong)
        direct = self.now + self.numbers.direct_ms
        self._at(direct, self._ask_helpers, node, probe, answered)

    def _ping(self, node: Node, host, address, receive_pong) -> None:
        members = node.members
        ping = messages.Ping(members.select_updates(host), 7, members.digest)

        def receive_ping(receiver: Node, message: messages.Ping) -> None:
            self._hear(receiver, message, node.address)
            mine = receiver.members
            pong = messages.Pong(
                mine.me.host, mine.select_updates(), 7, mine.digest
            )
            self._send(receiver, node.address, pong, receive_pong)

        self._send(node, address, ping, receive_ping)

    def _ask_helpers(self, node: Node, probe: probes.Probe, answered) -> None:
        if answered or not node.alive:
            return
        if not probe.counts_misses:
            node.members.record_failure(probe, self.now)
            return
        news = node.members.select_updates(probe.host)
        request = messages.PingRequest(probe.host, probe.address, news)

        def receive_pong(receiver: Node, pong: messages.Pong) -> None:
            if not answered:
                answered.append(True)
                receiver.members.record_ack(probe)
            self._hear(receiver, pong, probe.address)

        def pass_on(helper: Node, pong: messages.Pong) -> None:
            self._hear(helper, pong, probe.address)
            self._send(helper, node.address, pong, receive_pong)

        def help_out(helper: Node, message: messages.PingRequest) -> None:
            helper.members.merge(message.updates, self.now)
            self._ping(helper, probe.host, probe.address, pass_on)

        for address in node.members.choose_helpers(probe.host):
            self._send(node, address, request, help_out)
        end = self.now + self.numbers.indirect_ms
        self._at(end, self._finish, node, probe, answered)

    def _finish(self, node: Node, probe: probes.Probe, answered) -> None:
        if not answered and node.paused_until <= self.now:
            node.members.record_failure(probe, self.now)
            self._tell(node)

    def _hear(self, node: Node, message, address: ids.Address) -> None:
        node.members.merge(message.updates, self.now)
        if node.members.should_sync(message.digest, self.now):
            self._synchronize(node, self._places[address])
        self._tell(node)

    def _synchronize(self, node: Node, other: Node) -> None:
        request = messages.MembersRequest(node.members.digests)

        def receive_reply(receiver: Node, reply) -> None:
            receiver.members.merge_members(reply.members, self.now)
            self._tell(receiver)

        def receive_request(receiver: Node, message) -> None:
            found = receiver.members.list_differing(message.digests)
            reply = messages.MembersReply(found)
            self._send(receiver, node.address, reply, receive_reply)

        self._send(node, other.address, request, receive_request)

    def _tell(self, node: Node) -> None:
        for record in node.members.pop_changes():
            self.on_change(node, record)
