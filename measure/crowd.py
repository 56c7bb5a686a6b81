"""Many peers in one process, for one real daemon to live among.

Each listens at an address of its own and answers probes; together they
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

PERIOD_SECONDS = 0.25
FIRST_PORT = 20_000
LAST_PORT = 30_000
"""Below the ports that the machine hands out by itself."""


def make_record(number: int, address: str) -> records.HostRecord:
    """Make the record of one peer; none shares the daemon's domain."""
    return records.HostRecord(
        host=ids.HostId(f"crowd-{number:03d}"),
        domain=ids.DomainId(f"crowd-{number % 5}"),
        peer_address=ids.Address(address),
        http_address=ids.Address(address),
        incarnation=ids.Incarnation(1000),
    )


class Crowd:
    """The peers.

    Parameters
    ----------
    count : int
        How many there are.
    daemon : Address
        Where the daemon listens.
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
        self._told = False
        self._daemon = f"tcp://{daemon}"
        self._senders: dict[ids.HostId, zmq.Socket] = {}

    @property
    def members(self) -> list[records.HostRecord]:
        """The records of all peers."""
        return list(self._peers.values())

    def run(self) -> None:
        """Answer and probe for ever."""
        turn = 0
        due = time.monotonic() + PERIOD_SECONDS
        while True:
            left = max(0.0, due - time.monotonic())
            for router, _ in self._poller.poll(1e3 * left):
                self._answer(router)
            if time.monotonic() >= due:
                due += PERIOD_SECONDS
                record = self.members[turn % len(self._peers)]
                self._send(record, messages.Ping())
                turn += 1

    def _answer(self, router: zmq.Socket) -> None:
        identity, data = router.recv_multipart()
        envelope = wire.decode(data)
        record = self._peers[router]
        if isinstance(envelope.body, grantmessages.GrantRecall):
            self._send(record, self._report(record, envelope.body))
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
            self._told = True
            return messages.MembersReply(tuple(self.members))
        if not isinstance(body, messages.Ping):
            return None
        # A differing digest makes the daemon ask for all hosts once.
        digest = body.digest if self._told else body.digest ^ 1
        return messages.Pong(record.host, (), body.generation, digest)

    def _report(
        self, record: records.HostRecord, recall: grantmessages.GrantRecall
    ) -> grantmessages.GrantReport:
        holdings = tuple(
            grantmessages.Holding(endpoint, recall.epoch)
            for endpoint in recall.endpoints
        )
        return grantmessages.GrantReport(
            record.host, 1, recall.epoch, holdings
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
    """Print the peers' records and run."""
    crowd = Crowd(int(sys.argv[1]), ids.Address(sys.argv[2]))
    print(msgspec.json.encode(crowd.members).decode(), flush=True)
    crowd.run()


if __name__ == "__main__":
    main()
