"""Messages between entry hosts over ZeroMQ.

One ROUTER socket takes what peers send; one DEALER socket for each peer
is opened when something is first sent to it and closed when idle. A
reply goes back over the connection on which its question came.
"""

import asyncio
from collections import abc as collections_abc
import contextlib
import inspect
import logging

import mode
import msgspec
import zmq
from zmq.utils import monitor

from chervilshore.clients import peers
from chervilshore import clock as clocks
from chervilshore import events
from chervilshore import ids
from chervilshore import messages
from chervilshore import metrics as metric_types
from chervilshore import wire

logger = logging.getLogger(__name__)

SEND_QUEUE_MESSAGES = 1000
RECEIVE_QUEUE_MESSAGES = 10_000
MOST_MESSAGE_BYTES = 2_000_000
MOST_RUNNING_HANDLERS = 2000
MOST_SOCKETS = 4096
DRAIN_MESSAGES = 200
"""Messages taken in one turn, so that other work is not held up."""

CONNECT_TIMEOUT_MS = 2000
HANDSHAKE_TIMEOUT_MS = 2000
RECONNECT_MS = 100
RECONNECT_MOST_MS = 2000
UNACKNOWLEDGED_MS = 3000
"""Milliseconds after which the kernel gives up a silent connection."""

IDLE_MS = 180_000.0
"""Longer than a host takes to probe 370 others in turn, so that a probe
finds its connection open."""

SWEEP_MS = 1000.0

_HANDSHAKE_FAILURES = (
    zmq.EVENT_HANDSHAKE_FAILED_NO_DETAIL | zmq.EVENT_HANDSHAKE_FAILED_PROTOCOL
)


class PeerCounts(msgspec.Struct):
    """What one host has sent and received.

    Parameters
    ----------
    sent, received : int
        Messages.
    sent_bytes, received_bytes : int
        Bytes of messages, without the transport's own.
    dropped : int
        Messages that found a full queue.
    garbage : int
        Messages and connections that could not be used.
    """

    sent: int = 0
    received: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0
    dropped: int = 0
    garbage: int = 0


class _Link(msgspec.Struct):
    socket: zmq.Socket
    used: float


class ZeroPeers(mode.Service, peers.Peers):
    """Peers over ZeroMQ by IP number.

    Parameters
    ----------
    address : Address
        Where to listen; port 0 takes any free one.
    clock : Clock
        Measures timeouts and idle connections.
    metrics : Metrics or None
        Where to count.
    idle_ms : float
        Milliseconds without a message after which a connection is closed.
    listen : Address or str
        Where to listen when peers reach that place under another address.
    source : str
        The local IP number to connect from; empty lets the system choose.

    Attributes
    ----------
    counts : PeerCounts
        What was sent and received so far.
    """

    def __init__(
        self,
        address: ids.Address,
        clock: clocks.Clock,
        metrics: metric_types.Metrics | None = None,
        idle_ms: float = IDLE_MS,
        listen: ids.Address = ids.Address(""),
        source: str = "",
    ) -> None:
        super().__init__()
        self.counts = PeerCounts()
        self._published = PeerCounts()
        self._address = address
        self._clock = clock
        self._metrics = metrics
        self._idle_ms = idle_ms
        self._listen = listen
        self._source = source
        self._handlers: dict[type, peers.Handler] = {}
        self._questions = peers.Questions(clock)
        self._links: dict[ids.Address, _Link] = {}
        self._running: set[asyncio.Future] = set()
        self._logged_garbage = 0
        self._context: zmq.Context | None = None
        self._router: zmq.Socket | None = None
        self._monitor: zmq.Socket | None = None

    @property
    def address(self) -> ids.Address:
        """This host's own address."""
        return self._address

    @property
    def connections(self) -> int:
        """Peers to which this host holds a connection."""
        return len(self._links)

    def handle(self, kind: type, handler: peers.Handler) -> None:
        """Name the function for one type; see `Peers.handle`."""
        self._handlers[kind] = handler

    def send(self, to: ids.Address, message: messages.Message) -> None:
        """Send a message; see `Peers.send`."""
        self._carry(to, 0, message)

    async def ask(
        self, to: ids.Address, message: messages.Message, timeout_ms: float
    ) -> messages.Message:
        """Send a message and wait for the reply; see `Peers.ask`."""
        return await self._questions.ask(
            to, lambda number: self._carry(to, number, message), timeout_ms
        )

    def forget(self, address: ids.Address) -> None:
        """Close the connection to a peer and drop what waits for it."""
        link = self._links.pop(address, None)
        if link is not None:
            self._close(link.socket)

    async def on_start(self) -> None:
        """Listen for peers."""
        self._context = zmq.Context()
        self._context.set(zmq.MAX_SOCKETS, MOST_SOCKETS)
        self._router = self._make_socket(zmq.ROUTER)
        self._monitor = self._router.get_monitor_socket(_HANDSHAKE_FAILURES)
        self._router.bind(f"tcp://{self._listen or self._address}")
        if not self._listen:
            bound = self._router.get_string(zmq.LAST_ENDPOINT)
            self._address = ids.Address(bound.removeprefix("tcp://"))
        self._watch(self._monitor, self._drain_monitor)
        self._watch(self._router, self._drain_router)

    async def on_stop(self) -> None:
        """Close every connection and drop what waits."""
        for address in list(self._links):
            self.forget(address)
        for running in tuple(self._running):
            running.cancel()
        if self._context is None:
            return
        self._unwatch(self._monitor)
        self._router.disable_monitor()
        self._monitor.close(0)
        self._close(self._router)
        self._context.term()
        self._context = None

    @mode.Service.task
    async def _sweep(self) -> None:
        while not self.should_stop:
            await self._clock.sleep(SWEEP_MS)
            self._close_idle()
            self._publish()

    def _close_idle(self) -> None:
        oldest = self._clock.now() - self._idle_ms
        idle = [a for a, link in self._links.items() if link.used < oldest]
        for address in idle:
            self.forget(address)

    def _publish(self) -> None:
        if self._metrics is None:
            return
        for name in PeerCounts.__struct_fields__:
            value = getattr(self.counts, name)
            by = value - getattr(self._published, name)
            setattr(self._published, name, value)
            if by:
                self._metrics.count(
                    metric_types.Metric.PEER_TRAFFIC, name, by=by
                )

    def _make_socket(self, kind: int) -> zmq.Socket:
        socket = self._context.socket(kind)
        socket.linger = 0
        socket.sndhwm = SEND_QUEUE_MESSAGES
        socket.rcvhwm = RECEIVE_QUEUE_MESSAGES
        socket.set(zmq.MAXMSGSIZE, MOST_MESSAGE_BYTES)
        socket.set(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
        socket.set(zmq.HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS)
        socket.set(zmq.RECONNECT_IVL, RECONNECT_MS)
        socket.set(zmq.RECONNECT_IVL_MAX, RECONNECT_MOST_MS)
        socket.set(zmq.TCP_MAXRT, UNACKNOWLEDGED_MS)
        socket.set(zmq.IPV6, int(self._address.startswith("[")))
        return socket

    def _watch(
        self,
        socket: zmq.Socket,
        drain: collections_abc.Callable[[zmq.Socket], None],
    ) -> None:
        # The descriptor tells of changes only, so a drain takes all there
        # is, and everything that touches the socket drains it afterwards.
        loop = asyncio.get_running_loop()
        loop.add_reader(socket.get(zmq.FD), drain, socket)
        loop.call_soon(drain, socket)

    def _unwatch(self, socket: zmq.Socket) -> None:
        asyncio.get_running_loop().remove_reader(socket.get(zmq.FD))

    def _close(self, socket: zmq.Socket) -> None:
        self._unwatch(socket)
        socket.close(0)

    def _link(self, to: ids.Address) -> zmq.Socket:
        link = self._links.get(to)
        if link is None:
            socket = self._make_socket(zmq.DEALER)
            source = f"{self._source}:0;" if self._source else ""
            socket.connect(f"tcp://{source}{to}")
            self._watch(socket, self._drain_dealer)
            link = self._links[to] = _Link(socket, 0.0)
        link.used = self._clock.now()
        return link.socket

    def _carry(
        self, to: ids.Address, number: int, message: messages.Message
    ) -> None:
        if self._context is None:
            self.counts.dropped += 1
            return
        envelope = wire.Envelope(self._address, number, False, message)
        socket = self._link(to)
        self._put(socket, [wire.encode(envelope)])
        asyncio.get_running_loop().call_soon(self._drain_dealer, socket)

    def _put(self, socket: zmq.Socket, frames: list[bytes]) -> None:
        try:
            socket.send_multipart(frames, zmq.DONTWAIT)
        except zmq.ZMQError:
            self.counts.dropped += 1
            return
        self.counts.sent += 1
        self.counts.sent_bytes += len(frames[-1])

    def _drain_router(self, router: zmq.Socket) -> None:
        for frames in self._take(router, self._drain_router):
            if len(frames) != 2:
                self._count_garbage("frames")
                continue
            envelope = self._decode(frames[1])
            if envelope is not None:
                self._receive(frames[0], envelope)

    def _drain_dealer(self, dealer: zmq.Socket) -> None:
        for frames in self._take(dealer, self._drain_dealer):
            envelope = self._decode(frames[-1])
            if envelope is not None and envelope.reply:
                self._questions.answer(envelope)

    def _drain_monitor(self, socket: zmq.Socket) -> None:
        for frames in self._take(socket, self._drain_monitor):
            what = monitor.parse_monitor_message(frames)
            self._count_garbage(f"handshake {int(what['event'])}")

    def _take(
        self,
        socket: zmq.Socket,
        drain: collections_abc.Callable[[zmq.Socket], None],
    ) -> collections_abc.Iterator[list[bytes]]:
        for _ in range(DRAIN_MESSAGES):
            if socket.closed:
                return
            try:
                frames = socket.recv_multipart(zmq.DONTWAIT)
            except zmq.Again:
                return
            yield frames
        asyncio.get_running_loop().call_soon(drain, socket)

    def _decode(self, data: bytes) -> wire.Envelope | None:
        try:
            envelope = wire.decode(data)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            self._count_garbage("message")
            return None
        self.counts.received += 1
        self.counts.received_bytes += len(data)
        return envelope

    def _count_garbage(self, kind: str) -> None:
        self.counts.garbage += 1
        # A flood of garbage must not become a flood in the log.
        if self.counts.garbage >= 2 * self._logged_garbage:
            self._logged_garbage = self.counts.garbage
            events.log_event(
                logger,
                events.Event.INVALID_PEER_MESSAGE,
                kind=kind,
                count=self.counts.garbage,
            )

    def _receive(self, identity: bytes, envelope: wire.Envelope) -> None:
        handler = self._handlers.get(type(envelope.body))
        if handler is None or envelope.reply:
            return
        if len(self._running) >= MOST_RUNNING_HANDLERS:
            self.counts.dropped += 1
            return
        try:
            reply = handler(envelope.sender, envelope.body)
        except Exception as error:
            self._log_failure(envelope, error)
            return
        if inspect.isawaitable(reply):
            task = asyncio.ensure_future(
                self._finish(identity, envelope, reply)
            )
            self._running.add(task)
            task.add_done_callback(self._running.discard)
        else:
            self._reply(identity, envelope, reply)

    async def _finish(
        self,
        identity: bytes,
        envelope: wire.Envelope,
        awaitable: collections_abc.Awaitable[messages.Message | None],
    ) -> None:
        try:
            reply = await awaitable
        except Exception as error:
            self._log_failure(envelope, error)
            return
        self._reply(identity, envelope, reply)

    def _reply(
        self,
        identity: bytes,
        question: wire.Envelope,
        reply: messages.Message | None,
    ) -> None:
        if reply is None or not question.number or self._context is None:
            return
        envelope = wire.Envelope(self._address, question.number, True, reply)
        self._put(self._router, [identity, wire.encode(envelope)])
        asyncio.get_running_loop().call_soon(self._drain_router, self._router)

    def _log_failure(self, envelope: wire.Envelope, error: Exception) -> None:
        with contextlib.suppress(Exception):
            events.log_event(
                logger,
                events.Event.TASK_FAILED,
                task=type(envelope.body).__name__,
                peer=envelope.sender,
                error=repr(error),
            )
