"""Messages between entry hosts over ZeroMQ.

One ROUTER socket receives what peers send. One DEALER socket for each peer is
opened when a message is first sent to it and closed when idle. A reply
returns over the connection on which its request came.
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
RECEIVE_QUEUE_MESSAGES = 32
"""Messages of one peer that wait to be read; with the largest ones, they must
fit into the memory of a host."""
MAX_MESSAGE_BYTES = 2_000_000
MAX_RUNNING_HANDLERS = 2000
MAX_SOCKETS = 4096
MAX_MESSAGES_PER_DRAIN = 200
"""Messages read in one callback, so that the event loop is not blocked."""

CONNECT_TIMEOUT_MS = 2000
HANDSHAKE_TIMEOUT_MS = 2000
MIN_RECONNECT_MS = 100
MAX_RECONNECT_MS = 2000
TCP_RETRANSMIT_MS = 3000
"""Milliseconds after which the kernel closes an unresponsive connection."""

IDLE_MS = 180_000.0
"""Milliseconds after which an idle connection is closed; longer than a host
takes to probe 370 others in turn, so that a probe finds it open."""

SWEEP_INTERVAL_MS = 1000.0
"""Interval between closing idle connections and publishing counts."""

_HANDSHAKE_FAILURES = (
    zmq.EVENT_HANDSHAKE_FAILED_NO_DETAIL | zmq.EVENT_HANDSHAKE_FAILED_PROTOCOL
)


class _PeerConnection(msgspec.Struct):
    socket: zmq.Socket
    used_at: float


class ZeroMQTransport(mode.Service, peers.PeerTransport):
    """Messages between hosts over ZeroMQ and TCP.

    Parameters
    ----------
    address : Address
        Address at which peers reach this host; port 0 chooses a free one.
    clock : Clock
        Measures timeouts and idle connections.
    metrics : Metrics or None
        Where traffic is counted.
    idle_ms : float
        Milliseconds without a message after which a connection is closed.
    listen : Address or str
        Address to listen on if it differs from `address`; empty otherwise.
    source : str
        Local IP address to connect from; empty lets the system choose.

    Attributes
    ----------
    counts : peers.PeerCounts
        Traffic so far.
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
        self.counts = peers.PeerCounts()
        self._published = peers.PeerCounts()
        self._address = address
        self._clock = clock
        self._metrics = metrics
        self._idle_ms = idle_ms
        self._listen = listen
        self._source = source
        self._handlers: dict[type, peers.Handler] = {}
        self._pending_requests = peers.PendingRequests(clock)
        self._connections: dict[ids.Address, _PeerConnection] = {}
        self._handler_tasks: set[asyncio.Future] = set()
        self._last_logged_garbage = 0
        self._context: zmq.Context | None = None
        self._router: zmq.Socket | None = None
        self._monitor: zmq.Socket | None = None

    @property
    def address(self) -> ids.Address:
        """This host's own address."""
        return self._address

    @property
    def connections(self) -> int:
        """Number of open connections to peers."""
        return len(self._connections)

    def handle(self, kind: type, handler: peers.Handler) -> None:
        """See `PeerTransport.handle`."""
        self._handlers[kind] = handler

    def send(self, to: ids.Address, message: messages.Message) -> None:
        """See `PeerTransport.send`."""
        self._send_envelope(to, 0, message)

    async def send_request(
        self, to: ids.Address, message: messages.Message, timeout_ms: float
    ) -> messages.Message:
        """See `PeerTransport.send_request`."""
        return await self._pending_requests.send_request(
            to,
            lambda number: self._send_envelope(to, number, message),
            timeout_ms,
        )

    def disconnect(self, address: ids.Address) -> None:
        """Close the connection to a peer and discard queued messages."""
        connection = self._connections.pop(address, None)
        if connection is not None:
            self._close(connection.socket)

    async def on_start(self) -> None:
        """Listen for peers."""
        self._context = zmq.Context()
        self._context.set(zmq.MAX_SOCKETS, MAX_SOCKETS)
        self._router = self._make_socket(zmq.ROUTER)
        self._monitor = self._router.get_monitor_socket(_HANDSHAKE_FAILURES)
        self._router.bind(f"tcp://{self._listen or self._address}")
        if not self._listen:
            bound = self._router.get_string(zmq.LAST_ENDPOINT)
            self._address = ids.Address(bound.removeprefix("tcp://"))
        self._add_reader(self._monitor, self._drain_monitor)
        self._add_reader(self._router, self._drain_router)

    async def on_stop(self) -> None:
        """Close every connection; discard queued messages, cancel handlers."""
        for address in list(self._connections):
            self.disconnect(address)
        for task in tuple(self._handler_tasks):
            task.cancel()
        if self._context is None:
            return
        self._remove_reader(self._monitor)
        self._router.disable_monitor()
        self._monitor.close(0)
        self._close(self._router)
        self._context.term()
        self._context = None

    @mode.Service.task
    async def _sweep(self) -> None:
        while not self.should_stop:
            await self._clock.sleep(SWEEP_INTERVAL_MS)
            self._close_idle()
            self._publish()

    def _close_idle(self) -> None:
        cutoff = self._clock.now() - self._idle_ms
        idle = [a for a, c in self._connections.items() if c.used_at < cutoff]
        for address in idle:
            self.disconnect(address)

    def _publish(self) -> None:
        if self._metrics is None:
            return
        for name in peers.PeerCounts.__struct_fields__:
            value = getattr(self.counts, name)
            increase = value - getattr(self._published, name)
            setattr(self._published, name, value)
            if increase:
                self._metrics.count(
                    metric_types.Metric.PEER_TRAFFIC, name, by=increase
                )

    def _make_socket(self, kind: int) -> zmq.Socket:
        socket = self._context.socket(kind)
        socket.linger = 0
        socket.sndhwm = SEND_QUEUE_MESSAGES
        socket.rcvhwm = RECEIVE_QUEUE_MESSAGES
        socket.set(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        socket.set(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
        socket.set(zmq.HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS)
        socket.set(zmq.RECONNECT_IVL, MIN_RECONNECT_MS)
        socket.set(zmq.RECONNECT_IVL_MAX, MAX_RECONNECT_MS)
        socket.set(zmq.TCP_MAXRT, TCP_RETRANSMIT_MS)
        socket.set(zmq.IPV6, int(self._address.startswith("[")))
        return socket

    def _add_reader(
        self,
        socket: zmq.Socket,
        drain: collections_abc.Callable[[zmq.Socket], None],
    ) -> None:
        # The descriptor of a ZeroMQ socket is edge-triggered: a drain has to
        # read all messages, and each use of the socket has to schedule one.
        loop = asyncio.get_running_loop()
        loop.add_reader(socket.get(zmq.FD), drain, socket)
        loop.call_soon(drain, socket)

    def _remove_reader(self, socket: zmq.Socket) -> None:
        asyncio.get_running_loop().remove_reader(socket.get(zmq.FD))

    def _close(self, socket: zmq.Socket) -> None:
        self._remove_reader(socket)
        socket.close(0)

    def _connect(self, to: ids.Address) -> zmq.Socket:
        connection = self._connections.get(to)
        if connection is None:
            socket = self._make_socket(zmq.DEALER)
            source = f"{self._source}:0;" if self._source else ""
            try:
                socket.connect(f"tcp://{source}{to}")
            except zmq.ZMQError:
                socket.close(0)
                raise
            self._add_reader(socket, self._drain_dealer)
            connection = self._connections[to] = _PeerConnection(socket, 0.0)
        connection.used_at = self._clock.now()
        return connection.socket

    def _send_envelope(
        self, to: ids.Address, number: int, message: messages.Message
    ) -> None:
        if self._context is None:
            self.counts.dropped += 1
            return
        envelope = wire.Envelope(self._address, number, False, message)
        try:
            socket = self._connect(to)
        except zmq.ZMQError:
            # Addresses come from other hosts, and from entries of the store.
            self.counts.dropped += 1
            self._count_garbage("address")
            return
        self._send_frames(socket, [wire.encode(envelope)])
        asyncio.get_running_loop().call_soon(self._drain_dealer, socket)

    def _send_frames(self, socket: zmq.Socket, frames: list[bytes]) -> None:
        try:
            socket.send_multipart(frames, zmq.DONTWAIT)
        except zmq.ZMQError:
            self.counts.dropped += 1
            return
        self.counts.sent += 1
        self.counts.sent_bytes += len(frames[-1])

    def _drain_router(self, router: zmq.Socket) -> None:
        for frames in self._receive_frames(router, self._drain_router):
            if len(frames) != 2:
                self._count_garbage("frames")
                continue
            envelope = self._decode(frames[1])
            if envelope is not None:
                self._dispatch(frames[0], envelope)

    def _drain_dealer(self, dealer: zmq.Socket) -> None:
        for frames in self._receive_frames(dealer, self._drain_dealer):
            envelope = self._decode(frames[-1])
            if envelope is not None and envelope.reply:
                self._pending_requests.resolve(envelope)

    def _drain_monitor(self, socket: zmq.Socket) -> None:
        for frames in self._receive_frames(socket, self._drain_monitor):
            event = monitor.parse_monitor_message(frames)
            self._count_garbage(f"handshake {int(event['event'])}")

    def _receive_frames(
        self,
        socket: zmq.Socket,
        drain: collections_abc.Callable[[zmq.Socket], None],
    ) -> collections_abc.Iterator[list[bytes]]:
        for _ in range(MAX_MESSAGES_PER_DRAIN):
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
        # Logs only each time the count has doubled, to bound the log volume.
        if self.counts.garbage >= 2 * self._last_logged_garbage:
            self._last_logged_garbage = self.counts.garbage
            events.log_event(
                logger,
                events.Event.INVALID_PEER_MESSAGE,
                kind=kind,
                count=self.counts.garbage,
            )

    def _dispatch(self, identity: bytes, envelope: wire.Envelope) -> None:
        handler = self._handlers.get(type(envelope.body))
        if handler is None or envelope.reply:
            return
        if len(self._handler_tasks) >= MAX_RUNNING_HANDLERS:
            self.counts.dropped += 1
            return
        try:
            reply = handler(envelope.sender, envelope.body)
        except Exception as error:
            self._log_failure(envelope, error)
            return
        if inspect.isawaitable(reply):
            task = asyncio.ensure_future(
                self._await_reply(identity, envelope, reply)
            )
            self._handler_tasks.add(task)
            task.add_done_callback(self._handler_tasks.discard)
        else:
            self._send_reply(identity, envelope, reply)

    async def _await_reply(
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
        self._send_reply(identity, envelope, reply)

    def _send_reply(
        self,
        identity: bytes,
        request: wire.Envelope,
        reply: messages.Message | None,
    ) -> None:
        if reply is None or not request.number or self._context is None:
            return
        envelope = wire.Envelope(self._address, request.number, True, reply)
        self._send_frames(self._router, [identity, wire.encode(envelope)])
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
