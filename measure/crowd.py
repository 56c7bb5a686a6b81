"""Simulates many peers of one real daemon in one process.

Each peer listens at its own address and answers probes; together they
probe the daemon as often as real peers would.
"""

import sys
import time

import msgspec
import zmq

from chervilshore import grantmessages
from chervilshore import ids
from chervilshore import messages
from chervilshore import records
from chervilshore import wire

PROBE_INTERVAL_S = 0.25
"""Seconds between two probes of the daemon by any of the peers."""

FIRST_PORT = 20_000
LAST_PORT = 30_000
"""The port range of the peers, below the ephemeral ports."""


def make_record(number: int, address: str) -> records.HostRecord:
    """Make the record of one peer, in another domain than the daemon."""
    return records.HostRecord(
        host=ids.HostId(f"crowd-{number:03d}"),
        domain=ids.DomainId(f"crowd-{number % 5}"),
        peer_address=ids.Address(address),
        http_address=ids.Address(address),
        incarnation=ids.Incarnation(1000),
    )


class SimulatedPeers:
    """The simulated peers.

    Parameters
    ----------
    count : int
        Number of peers.
    daemon : Address
        The peer address of the daemon.
    """

    def __init__(self, count: int, daemon: ids.Address) -> None:
        self._context = zmq.Context()
        self._context.set(zmq.MAX_SOCKETS, 4096)
        self._poller = zmq.Poller()
        self._peers: dict[zmq.Socket, records.HostRecord] = {}
        for number in range(count):
            router = self._context.socket(zmq.ROUTER)
            router.linger = 0
            port = router.bind_to_random_port(
                "tcp://127.0.0.1", FIRST_PORT, LAST_PORT
            )
            address = f"127.0.0.1:{port}"
            self._peers[router] = make_record(number, address)
            self._poller.register(router, zmq.POLLIN)
        self._members_sent = False
        self._daemon = f"tcp://{daemon}"
        self._senders: dict[ids.HostId, zmq.Socket] = {}

    @property
    def members(self) -> list[records.HostRecord]:
        """The host records of all peers."""
        return list(self._peers.values())

    def run(self) -> None:
        """Answer and send probes forever."""
        turn = 0
        due = time.monotonic() + PROBE_INTERVAL_S
        while True:
            remaining = max(0.0, due - time.monotonic())
            for router, _ in self._poller.poll(1e3 * remaining):
                self._answer(router)
            if time.monotonic() >= due:
                due += PROBE_INTERVAL_S
                record = self.members[turn % len(self._peers)]
                self._send(record, messages.Ping())
                turn += 1

    def _answer(self, router: zmq.Socket) -> None:
        identity, data = router.recv_multipart()
        envelope = wire.decode(data)
        record = self._peers[router]
        if isinstance(envelope.body, grantmessages.GrantRecall):
            self._send(record, self._make_report(record, envelope.body))
            return
        body = self._reply(record, envelope.body)
        if body is None:
            return
        reply = wire.Envelope(record.peer_address, envelope.number, True, body)
        router.send_multipart([identity, wire.encode(reply)])

    def _reply(
        self, record: records.HostRecord, body: messages.Message
    ) -> messages.Message | None:
        if isinstance(body, messages.MembersRequest):
            self._members_sent = True
            return messages.MembersReply(tuple(self.members))
        if not isinstance(body, messages.Ping):
            return None
        # A differing digest makes the daemon request all hosts once.
        digest = body.digest if self._members_sent else body.digest ^ 1
        return messages.Pong(record.host, (), body.generation, digest)

    def _make_report(
        self, record: records.HostRecord, request: grantmessages.GrantRecall
    ) -> grantmessages.GrantReport:
        holdings = tuple(
            grantmessages.Holding(endpoint, request.epoch)
            for endpoint in request.endpoints
        )
        return grantmessages.GrantReport(
            record.host, 1, request.epoch, holdings
        )

    def _send(
        self, record: records.HostRecord, body: messages.Message
    ) -> None:
        sender = self._senders.get(record.host)
        if sender is None:
            sender = self._context.socket(zmq.DEALER)
            sender.linger = 0
            sender.connect(self._daemon)
            self._senders[record.host] = sender
        envelope = wire.Envelope(record.peer_address, 1, False, body)
        sender.send(wire.encode(envelope), zmq.DONTWAIT)
        while sender.poll(0):
            sender.recv()


def main() -> None:
    """Print the records of the peers as JSON and run."""
    peers = SimulatedPeers(int(sys.argv[1]), ids.Address(sys.argv[2]))
    print(msgspec.json.encode(peers.members).decode(), flush=True)
    peers.run()


if __name__ == "__main__":
    main()
