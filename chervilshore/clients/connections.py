"""HTTP/1.1 connections to endpoints and to the platform's store.

A connection returns to the pool only after a complete exchange that left
no unread bytes, so that no byte of one response can become part of another.
"""

import asyncio
from collections import abc as collections_abc

import h11
import msgspec

from chervilshore.clients import bodies
from chervilshore.clients import keepalive
from chervilshore.clients import receiving
from chervilshore.clients import sockets
from chervilshore.decisions import receivebudget
from chervilshore import exceptions
from chervilshore import ids

MAX_PENDING_BYTES = 262_144
"""Received bytes that are buffered before reading from the socket pauses."""

MAX_HEAD_BYTES = 262_144
"""Largest response head in bytes."""

MAX_INFORMATIONAL = 16
"""Largest number of 1xx heads before a response."""

TOO_LARGE_HINT = 431
"""Status that the parser suggests if a head, a trailer or the header of a
chunk is too large."""

# Read by one connection at a time, which copies what it has received.
_READ_BUFFER = memoryview(bytearray(receivebudget.READ_BYTES))

Headers = list[tuple[str, str]]


class Request(msgspec.Struct):
    """An HTTP request.

    Parameters
    ----------
    method, target : str
        The request line.
    headers : list of tuple
        Names and values; must include Content-Length if there is a body.
    body : bytes
        The complete body.
    """

    method: str
    target: str
    headers: Headers
    body: bytes = b""


class ResponseHead(msgspec.Struct):
    """Status and headers of a response; header names are in lower case."""

    status: int
    headers: Headers

    def get_header(self, name: str) -> str | None:
        """Return the first header of this lower-case name, or None."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


class Connection(asyncio.BufferedProtocol):
    """An HTTP/1.1 client connection; carries one exchange at a time.

    Parameters
    ----------
    pool : ReceivePool
        Bounds what all connections hold together.

    Attributes
    ----------
    kept_bytes : int
        Bytes of the present body that its reader holds.
    idle_since : float
        Time in milliseconds at which its last exchange ended.
    idle_ms : float
        Milliseconds for which it may be kept idle.
    reused : bool
        Whether it has carried an exchange before.
    relay : HostId
        The peer that relays it; empty for a direct connection.
    process : InstanceId
        The process of the endpoint that it is known to have reached; empty
        if none was asked for.
    """

    def __init__(
        self, pool: receiving.ReceivePool = receiving.ENDPOINTS
    ) -> None:
        self.idle_since = 0.0
        self.kept_bytes = 0
        self.idle_ms = keepalive.DEFAULT_IDLE_MS
        self.reused = False
        self.relay = ids.HostId("")
        self.process = ids.InstanceId("")
        self._transport: asyncio.Transport | None = None
        self._parser = _make_parser()
        self._state_changed = asyncio.Event()
        self._pending_bytes = 0
        self._pool = pool
        self._receipt: receiving.Receipt | None = None
        self._cut_reason = ""
        self._busy = False
        self._usable = True
        self._ended = False
        self._error: Exception | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport and set TCP timeouts."""
        self._transport = transport
        sockets.set_tcp_options(transport.get_extra_info("socket"))

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return a buffer for as many bytes as may be received now."""
        size = receivebudget.READ_BYTES
        if self._receipt is not None:
            size = self._receipt.allow()
        return _READ_BUFFER[:size]

    def buffer_updated(self, nbytes: int) -> None:
        """Handle the received bytes in the buffer."""
        self.data_received(bytes(_READ_BUFFER[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Pass bytes to the parser; close if no request is in progress."""
        if not self._busy:
            self._usable = False
            self.close()
            return
        self._parse(data)
        self._pending_bytes += len(data)
        self._count_held()
        if self._pending_bytes > MAX_PENDING_BYTES or not self._has_room():
            self._transport.pause_reading()

    def _count_held(self) -> None:
        if self._receipt is not None:
            self._receipt.update(self.kept_bytes + self._pending_bytes)

    def _has_room(self) -> bool:
        return self._receipt is None or self._receipt.reserve()

    def _cut(self, reason: str) -> None:
        """End the response, as there is no room for more of it."""
        self._cut_reason = reason
        self._usable = False
        self._state_changed.set()

    def eof_received(self) -> None:
        """Handle the end of the server's data."""
        self._usable = False
        self._ended = True
        self._parse(b"")

    def connection_lost(self, error: Exception | None) -> None:
        """Handle the end of the connection, with or without an error."""
        self._usable = False
        self._ended = True
        if error is not None or self._error is None:
            self._error = error or ConnectionResetError("closed")
        self._state_changed.set()

    def _parse(self, data: bytes) -> None:
        try:
            self._parser.receive_data(data)
        except (h11.RemoteProtocolError, RuntimeError) as error:
            # Invalid data, or data after the end: the exchange has failed.
            self._usable = False
            self._error = error
        self._state_changed.set()

    def send(self, request: Request) -> None:
        """Write a complete request."""
        self._busy = True
        # Its head may announce the largest body.
        self._receipt = receiving.Receipt(
            self._pool, bodies.MAX_BODY_BYTES, self._cut
        )
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
        """Read the head of the response, skipping 1xx responses.

        Raises
        ------
        exceptions.EndpointLost
            The connection ended.
        exceptions.ResponseTooLarge
            The head, or those of 1xx responses before it, exceed a bound.
        exceptions.EndpointBroken
            Its data is not a response.
        """
        for _ in range(MAX_INFORMATIONAL + 1):
            event = await self._next_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise self.make_error("no valid response")
            headers = [
                (name.decode("latin-1"), value.decode("latin-1"))
                for name, value in event.headers
            ]
            return ResponseHead(event.status_code, headers)
        raise exceptions.ResponseTooLarge(
            f"over {MAX_INFORMATIONAL} informational responses"
        )

    def expect_body(self, head: ResponseHead, max_bytes: int) -> None:
        """Set the bound at which the reader of the body cuts it."""
        length = head.get_header("content-length")
        is_declared = length is not None and int(length) <= max_bytes
        limit = int(length) if is_declared else max_bytes
        self._receipt.expect(limit, is_declared)

    def hand_over(self) -> receiving.Receipt:
        """Return what is held of the whole body, for the reader to release."""
        receipt, self._receipt = self._receipt, None
        receipt.keep(self.kept_bytes)
        return receipt

    async def read_body(self) -> collections_abc.AsyncIterator[bytes]:
        """Yield the body as it arrives; raise `EndpointBroken` if cut.

        All of it counts as kept by the reader, which sets `kept_bytes` if it
        holds less.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                size = len(event.data)
                self.kept_bytes += size
                self._pending_bytes -= size
                data = bytes(event.data)
                # Nothing is held twice while more is awaited.
                del event
                yield data
                del data
            elif isinstance(event, h11.EndOfMessage):
                return
            else:
                raise self.make_error("incomplete response body")

    async def read_whole_body(
        self,
        head: ResponseHead,
        max_bytes: int,
        on_data: collections_abc.Callable[[], None] | None = None,
    ) -> bytes:
        """Read the whole body.

        Parameters
        ----------
        head : ResponseHead
            The head that came before it.
        max_bytes : int
            Its largest length.
        on_data : callable or None
            Called whenever a part of it has arrived.

        Raises
        ------
        exceptions.ResponseTooLarge
            It is, or says that it is, over `max_bytes`.
        exceptions.EndpointBroken
            It is not complete.
        """
        length = int(head.get_header("content-length") or 0)
        if length > max_bytes:
            raise exceptions.ResponseTooLarge(f"body of {length} bytes")
        self.expect_body(head, max_bytes)
        content = bytearray()
        try:
            async for data in self.read_body():
                content += data
                del data
                if on_data is not None:
                    on_data()
                if len(content) > max_bytes:
                    raise exceptions.ResponseTooLarge(
                        f"body of over {max_bytes} bytes"
                    )
            return bytes(content)
        finally:
            # The traceback of an error keeps this frame for a while.
            content.clear()

    async def _next_event(self):
        while True:
            if self._cut_reason:
                raise exceptions.ResponseTooLarge(self._cut_reason)
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                # Its traceback refers to the parser, and what that holds.
                error.__traceback__ = None
                if error.error_status_hint == TOO_LARGE_HINT:
                    raise exceptions.ResponseTooLarge(str(error)) from error
                raise self.make_error(str(error)) from error
            if event is not h11.NEED_DATA:
                return event
            if self._error is not None:
                raise self.make_error(
                    f"{type(self._error).__name__} {self._error}"
                )
            self._pending_bytes = len(self._parser.trailing_data[0])
            self._count_held()
            self._state_changed.clear()
            await self._resume_reading()
            await self._state_changed.wait()

    async def _resume_reading(self) -> None:
        """Read on once the process may hold more of the response."""
        began = asyncio.get_running_loop().time()
        while not self._state_changed.is_set():
            if self._has_room():
                self._transport.resume_reading()
                return
            self._transport.pause_reading()
            await self._receipt.wait_for_room(began)

    def make_error(self, text: str) -> exceptions.EndpointBroken:
        """Return the error of an incomplete response.

        The endpoint may have ended if it also closed the connection.
        """
        if self._ended:
            return exceptions.EndpointLost(text)
        return exceptions.EndpointBroken(text)

    def prepare_reuse(self, head: ResponseHead) -> bool:
        """Prepare the connection for another exchange.

        Returns
        -------
        bool
            Whether the connection can be reused.
        """
        parser = self._parser
        done = parser.our_state is h11.DONE and parser.their_state is h11.DONE
        left, _ = parser.trailing_data
        unsent = self._transport.get_write_buffer_size()
        if not done or left or unsent or not self.is_open():
            return False
        parser.start_next_cycle()
        # Only a connection that is read notices that the endpoint closes it.
        self._transport.resume_reading()
        self._busy = False
        self._pending_bytes = 0
        self._release()
        self.idle_ms = keepalive.read_idle_ms(head.get_header("keep-alive"))
        self.reused = True
        return self.idle_ms > 0

    @property
    def local_address(self) -> str:
        """The address of this end, which names a tunnel in logs."""
        host, port = self._transport.get_extra_info("sockname")[:2]
        return f"{host}:{port}"

    def is_open(self) -> bool:
        """Return whether a request can be sent on the connection."""
        return self._usable and not self._transport.is_closing()

    def close(self) -> None:
        """Close the connection without waiting for buffered data."""
        self._release()
        # The traceback of an error keeps the connection for a while.
        self._parser = _make_parser()
        if self._transport is not None:
            sockets.abort_transport(self._transport)

    def _release(self) -> None:
        self.kept_bytes = 0
        if self._receipt is not None:
            self._receipt.release()
            self._receipt = None


def _make_parser() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
