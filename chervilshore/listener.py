"""A web server that does not wait without end for the head of a request."""

import asyncio
from collections import abc as collections_abc
import logging

from aiohttp import web

from chervilshore import events

RECHECK_SECONDS = 0.1
"""Seconds that a head which is there already gets to be taken up, as a host
that was stalled finds its timers and its bytes due together."""

LATE_HEAD = (
    b"HTTP/1.1 408 Request Timeout\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)

_LOGGER = logging.getLogger(__name__)


class Connection(web.RequestHandler):
    """A caller's connection.

    Parameters
    ----------
    server : Listener
        The server that took it.
    read_head_seconds : callable
        Tells the seconds that a caller has for a head, from its first byte.
    loop : AbstractEventLoop
        Runs the timers.
    **options
        Options of the web server.
    """

    def __init__(
        self,
        server: "Listener",
        read_head_seconds: collections_abc.Callable[[], float],
        loop: asyncio.AbstractEventLoop,
        **options,
    ) -> None:
        super().__init__(server, loop=loop, **options)
        self._read_head_seconds = read_head_seconds
        self._timers = loop
        self._timer: asyncio.TimerHandle | None = None
        self._serving = False

    def data_received(self, data: bytes) -> None:
        """Take bytes; the first ones of a head start its time."""
        super().data_received(data)
        if self._timer is None and not self._serving:
            self._timer = self._timers.call_later(
                self._read_head_seconds(), self._recheck
            )

    def begin_request(self) -> None:
        """Note that a whole head has been taken up."""
        self._serving = True
        self._stop_timer()

    def end_request(self, request: web.BaseRequest) -> None:
        """Note that a request is answered.

        What is left of its body is not the head of another request.
        """
        self._serving = not request.content.is_eof()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop the timer of a connection that has ended."""
        self._stop_timer()
        super().connection_lost(exc)

    def _recheck(self) -> None:
        self._timer = self._timers.call_later(RECHECK_SECONDS, self._give_up)

    def _give_up(self) -> None:
        self._timer = None
        if self.transport is None or self.transport.is_closing():
            return
        events.log_event(_LOGGER, events.Event.HEAD_LATE)
        self.transport.write(LATE_HEAD)
        self.force_close()

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


class Listener(web.Server):
    """Makes a `Connection` for each caller.

    Parameters
    ----------
    handle : callable
        Serves one request.
    read_head_seconds : callable
        Tells the seconds that a caller has for a head.
    **options
        Options of each connection.
    """

    def __init__(
        self,
        handle: collections_abc.Callable,
        read_head_seconds: collections_abc.Callable[[], float],
        **options,
    ) -> None:
        super().__init__(
            self._serve,
            request_factory=self._make_taken,
            handler_cancellation=True,
        )
        self._handle = handle
        self._read_head_seconds = read_head_seconds
        self._options = options
        self._timers = asyncio.get_running_loop()

    def __call__(self) -> Connection:
        """Make what serves a new connection."""
        return Connection(
            self, self._read_head_seconds, self._timers, **self._options
        )

    def _make_taken(
        self, message, payload, protocol: Connection, writer, task
    ) -> web.BaseRequest:
        protocol.begin_request()
        return web.BaseRequest(
            message, payload, protocol, writer, task, self._timers
        )

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        connection = request.protocol
        try:
            return await self._handle(request)
        finally:
            connection.end_request(request)
