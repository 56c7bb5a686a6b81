"""Simulates the membership protocol of a whole cluster in one process."""

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
"""Milliseconds that each message takes."""

HELP_MS = 150.0

DOMAINS = 6
"""Failure domains over which the hosts are spread."""

JITTER = 0.1
"""Largest relative deviation of a probe period, as a fraction."""

START_INCARNATION = 1000
"""Incarnation of every host at the start."""


def make_record(number: int) -> records.HostRecord:
    """Return the record of a host, with addresses of usual length."""
    address = f"10.20.{number // 250}.{number % 250 + 1}"
    return records.HostRecord(
        host=ids.HostId(f"entry-{number:03d}"),
        domain=ids.DomainId(f"domain-{number % DOMAINS}"),
        peer_address=ids.Address(f"{address}:7000"),
        http_address=ids.Address(f"{address}:8000"),
        incarnation=ids.Incarnation(START_INCARNATION),
    )


class Node:
    """A simulated host.

    Attributes
    ----------
    paused_until : float
        Time in milliseconds until which it neither probes nor handles
        messages; those that arrive before are delivered then.
    messages, bytes : int
        Messages it has sent and their encoded size, without headers.
    """

    def __init__(
        self,
        number: int,
        probe_settings: probes.ProbeSettings,
        rng: random.Random,
    ) -> None:
        record = make_record(number)
        self.address = record.peer_address
        self.host = record.host
        self.members = membership.Members(record, probe_settings, rng)
        self.rng = rng
        self.alive = True
        self.paused_until = 0.0
        self.messages = 0
        self.bytes = 0


class Cluster:
    """Simulated hosts that probe each other over a network with faults.

    Parameters
    ----------
    size : int
        Number of hosts.
    probe_settings : ProbeSettings
        Times and counts of the probes.
    seed : int
        Seed of all random choices.
    joined : bool
        Whether all hosts know each other from the start.

    Attributes
    ----------
    now : float
        Simulated time in milliseconds since the start.
    should_drop : callable
        Takes sender and receiver; returns whether a message is lost.
    on_change : callable
        Called with a node and a host record that has changed there.
    """

    def __init__(
        self,
        size: int,
        probe_settings: probes.ProbeSettings,
        seed: int,
        joined: bool = True,
    ) -> None:
        self.now = 0.0
        self.probe_settings = probe_settings
        self.rng = random.Random(seed)
        self.should_drop = lambda sender, receiver: False
        self.on_change = lambda node, record: None
        self._event_numbers = itertools.count()
        self._events: list = []
        self.nodes = [
            Node(number, probe_settings, random.Random(f"{seed}/{number}"))
            for number in range(size)
        ]
        self._nodes_by_address = {node.address: node for node in self.nodes}
        all_records = [node.members.me for node in self.nodes]
        for node in self.nodes:
            if joined:
                node.members.merge_members(all_records, 0.0)
                # The updates about the hosts themselves were sent long ago.
                while node.members.select_updates():
                    pass
                node.members.pop_changes()
            self._schedule(
                self.rng.random() * probe_settings.period_ms, self._tick, node
            )

    def run(self, duration_ms: float) -> None:
        """Advance the simulated time, and process the events due."""
        end = self.now + duration_ms
        while self._events and self._events[0][0] <= end:
            self.now, _, function, arguments = heapq.heappop(self._events)
            function(*arguments)
        self.now = end

    def restart(self, node: Node) -> None:
        """Restart a node; it synchronizes with one random live node."""
        incarnation = ids.Incarnation(node.members.me.incarnation + 1)
        record = msgspec.structs.replace(
            make_record(int(node.host[-3:])), incarnation=incarnation
        )
        node.members = membership.Members(
            record, self.probe_settings, node.rng
        )
        node.alive = True
        living = [n for n in self.nodes if n.alive and n is not node]
        self._synchronize(node, self.rng.choice(living))

    def _schedule(self, time_ms: float, function, *arguments) -> None:
        entry = (time_ms, next(self._event_numbers), function, arguments)
        heapq.heappush(self._events, entry)

    def _send(
        self,
        sender: Node,
        address: ids.Address,
        message: messages.Message,
        receive: abc.Callable[[Node, messages.Message], None],
    ) -> None:
        if not sender.alive:
            return
        envelope = wire.Envelope(sender.address, 1, False, message)
        data = wire.encode(envelope)
        sender.messages += 1
        sender.bytes += len(data)
        receiver = self._nodes_by_address[address]
        if not self.should_drop(sender, receiver):
            delivery_at = self.now + DELAY_MS
            self._schedule(delivery_at, self._deliver, receiver, data, receive)

    def _deliver(self, receiver: Node, data: bytes, receive) -> None:
        if not receiver.alive:
            return
        if receiver.paused_until > self.now:
            resumes_at = receiver.paused_until
            self._schedule(resumes_at, self._deliver, receiver, data, receive)
            return
        receive(receiver, wire.decode(data).body)

    def _tick(self, node: Node) -> None:
        jitter = 1 + JITTER * (2 * self.rng.random() - 1)
        next_tick = self.now + self.probe_settings.period_ms * jitter
        self._schedule(max(next_tick, node.paused_until), self._tick, node)
        if not node.alive or node.paused_until > self.now:
            return
        for probe in node.members.begin_period(self.now):
            self._probe(node, probe)
        self._report_changes(node)

    def _probe(self, node: Node, probe: probes.Probe) -> None:
        answers = []

        def receive_pong(receiver: Node, pong: messages.Pong) -> None:
            if not answers and pong.host == probe.host:
                answers.append(True)
                receiver.members.record_ack(probe)
            self._receive_updates(receiver, pong, probe.address)

        self._ping(node, probe.host, probe.address, receive_pong)
        timeout_at = self.now + self.probe_settings.direct_ms
        self._schedule(
            timeout_at, self._request_indirect_pings, node, probe, answers
        )

    def _ping(self, node: Node, host, address, receive_pong) -> None:
        members = node.members
        ping = messages.Ping(members.select_updates(host), 7, members.digest)

        def receive_ping(receiver: Node, message: messages.Ping) -> None:
            self._receive_updates(receiver, message, node.address)
            members_there = receiver.members
            pong = messages.Pong(
                members_there.me.host,
                members_there.select_updates(),
                7,
                members_there.digest,
            )
            self._send(receiver, node.address, pong, receive_pong)

        self._send(node, address, ping, receive_ping)

    def _request_indirect_pings(
        self, node: Node, probe: probes.Probe, answers
    ) -> None:
        if answers or not node.alive:
            return
        if not probe.counts_misses:
            node.members.record_failure(probe, self.now)
            return
        updates = node.members.select_updates(probe.host)
        request = messages.PingRequest(probe.host, probe.address, updates)

        def receive_pong(receiver: Node, pong: messages.Pong) -> None:
            if not answers:
                answers.append(True)
                receiver.members.record_ack(probe)
            self._receive_updates(receiver, pong, probe.address)

        def forward_pong(helper: Node, pong: messages.Pong) -> None:
            self._receive_updates(helper, pong, probe.address)
            self._send(helper, node.address, pong, receive_pong)

        def receive_ping_request(
            helper: Node, message: messages.PingRequest
        ) -> None:
            helper.members.merge(message.updates, self.now)
            self._ping(helper, probe.host, probe.address, forward_pong)

        for address in node.members.choose_helpers(probe.host):
            self._send(node, address, request, receive_ping_request)
        timeout_at = self.now + self.probe_settings.indirect_ms
        self._schedule(timeout_at, self._finish_probe, node, probe, answers)

    def _finish_probe(self, node: Node, probe: probes.Probe, answers) -> None:
        if not answers and node.paused_until <= self.now:
            node.members.record_failure(probe, self.now)
            self._report_changes(node)

    def _receive_updates(
        self, node: Node, message, address: ids.Address
    ) -> None:
        node.members.merge(message.updates, self.now)
        if node.members.should_sync(message.digest, self.now):
            self._synchronize(node, self._nodes_by_address[address])
        self._report_changes(node)

    def _synchronize(self, node: Node, other: Node) -> None:
        request = messages.MembersRequest(node.members.digests)

        def receive_reply(receiver: Node, reply) -> None:
            receiver.members.merge_members(reply.members, self.now)
            self._report_changes(receiver)

        def receive_request(receiver: Node, message) -> None:
            differing = receiver.members.list_differing(message.digests)
            reply = messages.MembersReply(differing)
            self._send(receiver, node.address, reply, receive_reply)

        self._send(node, other.address, request, receive_request)

    def _report_changes(self, node: Node) -> None:
        for record in node.members.pop_changes():
            self.on_change(node, record)
