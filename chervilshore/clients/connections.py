"""HTTP/1.1 connections to endpoints and to the platform's store.

A connection is kept only after a whole exchange that left nothing over,
so that no byte of one answer can be taken for a part of another.
"""

import asyncio
from collections import abc as collections_abc
import socket

import h11
import msgspec

from chervilshore import clock as clocks
from chervilshore import exceptions
from chervilshore import ids

PENDING_BYTES = 262_144
"""Bytes of an answer that are held before reading pauses."""

DEFAULT_IDLE_MS = 3000.0
"""Milliseconds for which an unused connection is kept when the other side
names no time; endpoints close silent ones after some seconds."""

IDLE_PART = 0.5
"""The part of the other side's idle time for which a connection is kept."""

UNACKNOWLEDGED_MS = 2000
"""Milliseconds after which the kernel gives up unacknowledged bytes."""

KEEPALIVE_SECONDS = 1
"""Seconds between probes of a connection on which nothing is sent."""

KEEPALIVE_PROBES = 2
"""Probes without an answer after which a connection counts as lost."""

MOST_EVENT_BYTES = 262_144
"""Bytes of an unfinished head that are held."""

Headers = list[tuple[str, str]]


class Request(msgspec.Struct):
    """A request as it goes over a connection.

    Parameters
    ----------
    method, target : str
        The request line.
    headers : list of tuple
        Names and values, with the body's length.
    body : bytes
        The whole body.
    """

    method: str
    target: str
    headers: Headers
    body: bytes = b""


class ResponseHead(msgspec.Struct):
    """The head of an answer.

    Parameters
    ----------
    status : int
        The status.
    headers : list of tuple
        Names in lower case, and values.
    """

    status: int
    headers: Headers

    def get_header(self, name: str) -> str | None:
        """Find a header by its name in lower case."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


class Connection(asyncio.Protocol):
    """One connection, which carries one exchange at a time.

    Attributes
    ----------
    idle_since : float
        The moment in milliseconds at which its last exchange ended.
    idle_ms : float
        Milliseconds for which it may be kept.
    reused : bool
        Whether an exchange went over it before.
    """

    def __init__(self) -> None:
        self.idle_since = 0.0
        self.idle_ms = DEFAULT_IDLE_MS
        self.reused = False
        self._transport: asyncio.Transport | None = None
        self._parser = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MOST_EVENT_BYTES
        )
        self._arrived = asyncio.Event()
        self._pending_bytes = 0
        self._busy = False
        self._usable = True
        self._error: Exception | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Note that the connection is open."""
        self._transport = transport
        tune_socket(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        """Take bytes; those that nobody asked for belong to no request."""
        if not self._busy:
            self._usable = False
            self.close()
            return
        self._feed(data)
        self._pending_bytes += len(data)
        if self._pending_bytes > PENDING_BYTES:
            self._transport.pause_reading()

    def eof_received(self) -> None:
        """Take the other side's orderly end."""
        self._usable = False
        self._feed(b"")

    def connection_lost(self, error: Exception | None) -> None:
        """Take the end of the connection, orderly or not."""
        self._usable = False
        if error is not None or self._error is None:
            self._error = error or ConnectionResetError("closed")
        self._arrived.set()

    def _feed(self, data: bytes) -> None:
        try:
            self._parser.receive_data(data)
        except (h11.RemoteProtocolError, RuntimeError) as error:
            # More bytes after an end; the exchange at hand is spoilt.
            self._usable = False
            self._error = error
        self._arrived.set()

    def send(self, request: Request) -> None:
        """Write a whole request."""
        self._busy = True
        line = h11.Request(
            method=request.method,
            target=request.target,
            headers=request.headers,
        )
        data = self._parser.send(line)
        if request.body:
            data += self._parser.send(h11.Data(data=request.body))
        data += self._parser.send(h11.EndOfMessage())
        self._transport.write(data)

    async def read_head(self) -> ResponseHead:
        """Read the head of the answer.

        Raises
        ------
        exceptions.EndpointBroken
            The connection ended or brought something else.
        """
        while True:
            event = await self._next()
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise exceptions.EndpointBroken("no answer")
            headers = [
                (name.decode("latin-1"), value.decode("latin-1"))
                for name, value in event.headers
            ]
            return ResponseHead(event.status_code, headers)

    async def read_body(self) -> collections_abc.AsyncIterator[bytes]:
        """Read the body as it comes; it ends only when it is whole."""
        while True:
            event = await self._next()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return
            else:
                raise exceptions.EndpointBroken("answer ends early")

    async def _next(self):
        while True:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                raise exceptions.EndpointBroken(str(error)) from error
            if event is not h11.NEED_DATA:
                return event
            if self._error is not None:
                raise exceptions.EndpointBroken(
                    f"{type(self._error).__name__} {self._error}"
                )
            if self._pending_bytes > PENDING_BYTES:
                self._transport.resume_reading()
            self._pending_bytes = 0
            self._arrived.clear()
            await self._arrived.wait()

    def finish(self, head: ResponseHead) -> bool:
        """Make ready for another exchange.

        Returns
        -------
        bool
            Whether there may be another one.
        """
        parser = self._parser
        done = parser.our_state is h11.DONE and parser.their_state is h11.DONE
        left, _ = parser.trailing_data
        unsent = self._transport.get_write_buffer_size()
        if not done or left or unsent or not self.is_open():
            return False
        parser.start_next_cycle()
        self._busy = False
        self._pending_bytes = 0
        self.idle_ms = _read_idle(head)
        self.reused = True
        return self.idle_ms > 0

    def is_open(self) -> bool:
        """Tell whether nothing speaks against sending on it."""
        return self._usable and not self._transport.is_closing()

    def close(self) -> None:
        """Close it at once."""
        if self._transport is not None:
            self._transport.abort()


def _read_idle(head: ResponseHead) -> float:
    for part in (head.get_header("keep-alive") or "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            seconds = float(value)
            return seconds * clocks.MILLIS_PER_SECOND * IDLE_PART
    return DEFAULT_IDLE_MS


def tune_socket(sock: socket.socket) -> None:
    """Let the kernel notice that the other side has gone silent."""
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_SECONDS)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_SECONDS)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)


class ConnectionPool:
    """The connections of this host, by address.

    Parameters
    ----------
    clock : Clock
        Measures idle times and time limits.
    connect_ms : float
        Milliseconds to wait for a connection.

    Attributes
    ----------
    connect_ms : float
        The same; it may be changed.
    opened : int
        Connections opened so far.
    """

    def __init__(self, clock: clocks.Clock, connect_ms: float = 500.0) -> None:
        self._clock = clock
        self.connect_ms = connect_ms
        self._idle: dict[ids.Address, list[Connection]] = {}
        self.opened = 0

    async def acquire(
        self, address: ids.Address, most_idle_ms: float = DEFAULT_IDLE_MS
    ) -> Connection:
        """Take a kept connection, or open one.

        Parameters
        ----------
        address : Address
            The other side.
        most_idle_ms : float
            Milliseconds for which a kept one may have been idle.

        Raises
        ------
        exceptions.EndpointUnreached
            There is no connection in time.
        """
        kept = self._idle.get(address, [])
        now = self._clock.now()
        while kept:
            connection = kept.pop()
            idle = now - connection.idle_since
            if (
                idle <= min(most_idle_ms, connection.idle_ms)
                and connection.is_open()
            ):
                return connection
            connection.close()
        return await self._open(address)

    async def _open(self, address: ids.Address) -> Connection:
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(self.connect_ms / 1000.0):
                loop = asyncio.get_running_loop()
                _, connection = await loop.create_connection(
                    Connection, host, int(port)
                )
        except (OSError, TimeoutError, ValueError) as error:
            raise exceptions.EndpointUnreached(
                f"{address}: {type(error).__name__} {error}"
            ) from error
        self.opened += 1
        return connection

    def release(
        self, address: ids.Address, connection: Connection, head: ResponseHead
    ) -> None:
        """Keep a connection after a whole exchange, if it may be kept."""
        if not connection.finish(head):
            connection.close()
            return
        connection.idle_since = self._clock.now()
        self._idle.setdefault(address, []).append(connection)

    async def fetch(
        self,
        address: ids.Address,
        request: Request,
        limit_ms: float,
        most_bytes: int = 1_000_000,
    ) -> tuple[int, bytes]:
        """Make an exchange whose answer is read whole.

        Returns
        -------
        tuple of int and bytes
            The status and the body.

        Raises
        ------
        exceptions.EndpointUnreached
            No byte of the request went out.
        exceptions.EndpointBroken
            The answer was lost, short, too long or late.
        """
        connection = await self.acquire(address)
        try:
            async with asyncio.timeout(limit_ms / 1000.0):
                connection.send(request)
                head = await connection.read_head()
                content = bytearray()
                async for data in connection.read_body():
                    content += data
                    if len(content) > most_bytes:
                        raise exceptions.EndpointBroken("answer too long")
        except TimeoutError as error:
            connection.close()
            raise exceptions.EndpointBroken(f"{address}: late") from error
        except BaseException:
            connection.close()
            raise
        self.release(address, connection, head)
        return head.status, bytes(content)

    def drop(self, address: ids.Address) -> None:
        """Close the kept connections to an address."""
        for connection in self._idle.pop(address, []):
            connection.close()

    def close(self) -> None:
        """Close all kept connections."""
        for address in list(self._idle):
            self.drop(address)
