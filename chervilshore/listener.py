"""A web server that limits the time for the head of a request."""

import asyncio
from collections import abc as collections_abc
import logging

from aiohttp import web

from chervilshore.clients import sockets
from chervilshore import events

HEAD_GRACE_SECONDS = 0.1
"""Seconds between the expiry of the timer and the 408 answer. After a stall
of the host the timer and the bytes of a head become due together, and the
head still has to be parsed."""

HEAD_TIMEOUT_RESPONSE = (
    b"HTTP/1.1 408 Request Timeout\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)
"""Sent before the connection of a caller with a late head is closed."""

SHUTDOWN_SECONDS = 0.5
"""Seconds that the web server waits for answers that are being written."""

READ_CHECK_SECONDS = 10.0
"""Seconds between two checks whether callers read their answers."""

MIN_READ_BYTES = 16_384
"""Bytes that a caller must read in that time, as long as this process still
buffers a part of its answer."""

SENT_CHECK_SECONDS = 0.05
"""Seconds between two checks whether answers are being sent."""

KEEPALIVE_SECONDS = 75.0
"""Seconds for which an idle connection of a caller is kept open; longer than
operators let callers be idle."""

MAX_FIELD_BYTES = 65_536
"""Size of a request line or header in bytes, beyond which the web server
rejects the request."""

_LOGGER = logging.getLogger(__name__)


class Connection(web.RequestHandler):
    """A caller's connection.

    Parameters
    ----------
    server : Listener
        The server that accepted the connection.
    get_head_timeout : callable
        Returns the seconds that a caller has to send a head, counted from
        its first byte.
    loop : AbstractEventLoop
        Runs the timers.
    **options
        Options of the web server.

    Attributes
    ----------
    unwritten_bytes : int
        Bytes of an answer that have not been written to the transport yet.
    """

    def __init__(
        self,
        server: "Listener",
        get_head_timeout: collections_abc.Callable[[], float],
        loop: asyncio.AbstractEventLoop,
        **options,
    ) -> None:
        super().__init__(server, loop=loop, **options)
        self.unwritten_bytes = 0
        self._get_head_timeout = get_head_timeout
        self._timer_loop = loop
        self._head_timer: asyncio.TimerHandle | None = None
        self._serving = False
        self._answering = False
        self._checked_bytes = 0
        self._written_to: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport, which the web server forgets at its close."""
        super().connection_made(transport)
        self._written_to = transport

    @property
    def unsent_bytes(self) -> int:
        """Bytes of answers that this process still buffers."""
        if self._written_to is None:
            return 0
        return self._written_to.get_write_buffer_size() + self.unwritten_bytes

    def data_received(self, data: bytes) -> None:
        """Handle received bytes; the first byte of a head starts its timer."""
        super().data_received(data)
        if self._head_timer is None and not self._serving:
            self._head_timer = self._timer_loop.call_later(
                self._get_head_timeout(), self._start_grace_period
            )

    def begin_request(self) -> None:
        """Stop the timer, as a complete head has been parsed."""
        self._serving = True
        self._answering = True
        self._cancel_timer()

    def end_request(self, request: web.BaseRequest) -> None:
        """Record that a request is answered.

        The unread rest of its body does not start the timer of the next
        head.
        """
        self._serving = not request.content.is_eof()
        self._answering = False

    def _count_unread(self) -> int:
        """Return the bytes of answers that the caller has not acknowledged.

        The kernel takes more of them only when much of its buffer is free.
        """
        if not self.unsent_bytes:
            return 0
        return sockets.count_unsent(self._written_to) + self.unwritten_bytes

    def check_reading(self) -> None:
        """Close the connection of a caller that reads its answer too slowly.

        Called at equal intervals. While a stream of events is being written,
        its writer has a limit of its own.
        """
        before = self._checked_bytes
        self._checked_bytes = 0 if self._answering else self._count_unread()
        if not before or not self._checked_bytes:
            return
        if self._checked_bytes > before - MIN_READ_BYTES:
            events.log_event(
                _LOGGER,
                events.Event.ANSWER_UNREAD,
                unread_bytes=self._checked_bytes,
            )
            self._written_to.abort()

    async def shutdown(self, timeout: float | None = None) -> None:
        """Close the connection, at once if there is no request on it.

        On one that was just accepted the web server would read requests until
        the timeout, and ignore them.
        """
        if not self._answering and not self._messages:
            self.force_close()
        await super().shutdown(timeout)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop the timer, as the connection has closed."""
        self._cancel_timer()
        self._written_to = None
        super().connection_lost(exc)

    def _start_grace_period(self) -> None:
        self._head_timer = self._timer_loop.call_later(
            HEAD_GRACE_SECONDS, self._time_out_head
        )

    def _time_out_head(self) -> None:
        self._head_timer = None
        if self.transport is None or self.transport.is_closing():
            return
        if self._messages:
            # The head was read in this round of the event loop, and its
            # request will be served.
            return
        caller = self.transport.get_extra_info("peername")
        events.log_event(
            _LOGGER,
            events.Event.HEAD_LATE,
            caller=caller and f"{caller[0]}:{caller[1]}",
        )
        self.transport.write(HEAD_TIMEOUT_RESPONSE)
        self.force_close()

    def _cancel_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None


class Listener(web.Server):
    """Creates a `Connection` for each caller.

    Parameters
    ----------
    handle : callable
        Serves one request.
    get_head_timeout : callable
        Returns the seconds that a caller has to send a head.
    **options
        Options of each connection.
    """

    def __init__(
        self,
        handle: collections_abc.Callable,
        get_head_timeout: collections_abc.Callable[[], float],
        **options,
    ) -> None:
        super().__init__(
            self._serve,
            request_factory=self._create_request,
            handler_cancellation=True,
        )
        self._handle = handle
        self._get_head_timeout = get_head_timeout
        self._options = options
        self._timer_loop = asyncio.get_running_loop()

    def __call__(self) -> Connection:
        """Create the protocol of a new connection."""
        return Connection(
            self, self._get_head_timeout, self._timer_loop, **self._options
        )

    def _create_request(
        self, message, payload, protocol: Connection, writer, task
    ) -> web.BaseRequest:
        protocol.begin_request()
        return web.BaseRequest(
            message, payload, protocol, writer, task, self._timer_loop
        )

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        connection = request.protocol
        try:
            return await self._handle(request)
        finally:
            connection.end_request(request)


class Listeners:
    """The addresses at which a host serves HTTP.

    Parameters
    ----------
    get_head_timeout : callable
        Returns the seconds that a caller has to send a head.
    """

    def __init__(
        self, get_head_timeout: collections_abc.Callable[[], float]
    ) -> None:
        self._get_head_timeout = get_head_timeout
        self._runners: list[web.ServerRunner] = []
        self._checking: asyncio.Task | None = None

    async def listen(self, handler, address: str) -> None:
        """Serve requests at an address by a handler."""
        runner = web.ServerRunner(
            Listener(
                handler,
                self._get_head_timeout,
                keepalive_timeout=KEEPALIVE_SECONDS,
                access_log=None,
                max_field_size=MAX_FIELD_BYTES,
                max_line_size=MAX_FIELD_BYTES,
                auto_decompress=False,
            ),
            shutdown_timeout=SHUTDOWN_SECONDS,
        )
        await runner.setup()
        host, _, port = address.rpartition(":")
        await web.TCPSite(runner, host, int(port)).start()
        self._runners.append(runner)
        if self._checking is None:
            self._checking = asyncio.ensure_future(self._check_reading())

    def _list_connections(self) -> list[Connection]:
        return [
            connection
            for runner in self._runners
            for connection in runner.server.connections
        ]

    async def _check_reading(self) -> None:
        while True:
            await asyncio.sleep(READ_CHECK_SECONDS)
            for connection in self._list_connections():
                connection.check_reading()

    async def wait_sent(self) -> None:
        """Wait until all answers have been handed to the kernel.

        It sends them on when the process has ended.
        """
        while any(one.unsent_bytes for one in self._list_connections()):
            await asyncio.sleep(SENT_CHECK_SECONDS)

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._checking is not None:
            self._checking.cancel()
        for runner in self._runners:
            await runner.cleanup()
