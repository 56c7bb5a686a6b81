"""Tests of the time limit for heads, with stalls at chosen moments."""

import asyncio
import re
import socket

from aiohttp import web
import pytest
from testtools import assertions
from testtools import matchers

from chervilshore import listener

HEAD_SECONDS = 1.0
SOCKET_BUFFER_BYTES = 4096
"""Requested size of the buffer between the listener and its caller."""

UNREAD_BYTES = 60_000
"""Size of an answer that this buffer does not take as a whole, but below the
65,536 bytes from which the writer of an answer waits."""

_STATUS_LINE = re.compile(rb"HTTP/1\.\d (\d{3}) ")


class StallingLoop(asyncio.SelectorEventLoop):
    """An event loop whose time jumps as after a stall of the process."""

    stalled_seconds = 0.0

    def time(self):
        return super().time() + self.stalled_seconds


async def pass_rounds(count=10):
    """Let the event loop handle what is due, including received bytes."""
    for _ in range(count):
        await asyncio.sleep(0)


class Caller:
    """A caller at the other end of a connection to a listener."""

    def __init__(self, loop):
        self.runs = []
        self.may_end = asyncio.Event()
        self._listener = None
        self._stopping = None
        self._loop = loop
        self._socket, self._served = socket.socketpair()
        self._served.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES
        )
        self._socket.setblocking(False)
        self._served.setblocking(False)

    async def connect(self, stops):
        """Connect; `stops` if the listener stops just after it accepted."""
        self._listener = listener.Listener(
            self._handle, lambda: HEAD_SECONDS, access_log=None
        )

        def accept():
            if stops:
                # Before the task that serves the connection begins.
                self._loop.call_soon(self._loop.call_soon, self.stop)
            return self._listener()

        await self._loop.create_connection(accept, sock=self._served)
        await pass_rounds()

    def stop(self):
        """Stop the listener as its runner does."""
        self._listener.pre_shutdown()
        self._stopping = self._loop.create_task(
            self._listener.shutdown(listener.SHUTDOWN_SECONDS)
        )

    async def _handle(self, request):
        self.runs.append(request.path)
        if request.path == "/slow":
            await self.may_end.wait()
        size = UNREAD_BYTES if request.path == "/large" else 2
        return web.Response(body=b"." * size)

    def write(self, data):
        self._socket.send(data)

    def is_closed(self):
        """Return whether the connection is closed; it must be quiet."""
        try:
            return not self._socket.recv(1)
        except BlockingIOError:
            return False

    async def read_statuses(self):
        """Return the statuses of all answers that have come."""
        received = b""
        while True:
            await pass_rounds()
            try:
                data = self._socket.recv(1_000_000)
            except BlockingIOError:
                break
            if not data:
                break
            received += data
        return [int(text) for text in _STATUS_LINE.findall(received)]


def run_in_stalling_loop(scenario, stops_at_connect=False):
    """Run a scenario with a caller; return the answers and what has run."""
    loop = StallingLoop()

    async def run():
        caller = Caller(loop)
        await caller.connect(stops_at_connect)
        await scenario(loop, caller)
        await pass_rounds()
        return await caller.read_statuses(), caller.runs

    try:
        return loop.run_until_complete(run())
    finally:
        loop.close()


# Guards against 408, which promises that a request has not run, for a request
# whose head has come: after a stall the head and its timer are due together.
@pytest.mark.parametrize("before", ((), ("/large",)))
def test_a_head_that_came_in_a_stall_is_not_late(before):
    """A 408 after a large answer waits in the buffer while requests run."""

    async def stall(loop, caller):
        for path in before:
            caller.write(f"GET {path} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
            await pass_rounds()
        caller.write(b"GET /late HTTP/1.1\r\n")
        await pass_rounds()
        loop.stalled_seconds += HEAD_SECONDS
        await pass_rounds()
        # The process stalls again, in the grace period.
        caller.write(b"Host: a\r\n\r\n")
        loop.stalled_seconds += HEAD_SECONDS

    statuses, runs = run_in_stalling_loop(stall)
    expected = [*before, "/late"]
    assertions.assert_that(
        (statuses, runs), matchers.Equals(([200] * len(expected), expected))
    )


def test_a_head_that_did_not_come_is_late():
    async def stall(loop, caller):
        caller.write(b"GET /late HTTP/1.1\r\n")
        for _ in range(2):
            await pass_rounds()
            loop.stalled_seconds += HEAD_SECONDS

    statuses, runs = run_in_stalling_loop(stall)
    assertions.assert_that((statuses, runs), matchers.Equals(([408], [])))


# Guards against a 408 or 400 that a caller takes for the answer to the request
# that runs on its connection.
@pytest.mark.parametrize(
    "rest, status", [(b"Host: a\r\n\r\n", 200), (b"\0\r\n\r\n", 400)]
)
def test_what_follows_a_request_is_answered_after_it(rest, status):
    async def pipeline(loop, caller):
        caller.write(b"GET /slow HTTP/1.1\r\nHost: a\r\n\r\n")
        await pass_rounds()
        caller.write(b"GET /next HTTP/1.1\r\n")
        for _ in range(3):
            await pass_rounds()
            loop.stalled_seconds += HEAD_SECONDS
        early = await caller.read_statuses()
        assertions.assert_that(early, matchers.Equals([]))
        caller.write(rest)
        early = await caller.read_statuses()
        assertions.assert_that(early, matchers.Equals([]))
        caller.may_end.set()

    statuses, runs = run_in_stalling_loop(pipeline)
    assertions.assert_that(statuses, matchers.Equals([200, status]))
    assertions.assert_that(runs[0], matchers.Equals("/slow"))


# Guards against LOST: a request on a connection that was accepted in the last
# moment before a stop was read, ignored, and cut half a second later.
def test_a_connection_accepted_at_a_stop_closes_at_once():
    async def stop(loop, caller):
        assertions.assert_that(caller.is_closed(), matchers.Is(True))

    run_in_stalling_loop(stop, stops_at_connect=True)


def test_an_idle_connection_closes_at_once_at_a_stop():
    async def stop(loop, caller):
        caller.write(b"GET /first HTTP/1.1\r\nHost: a\r\n\r\n")
        statuses = await caller.read_statuses()
        assertions.assert_that(statuses, matchers.Equals([200]))
        caller.stop()
        await pass_rounds()
        assertions.assert_that(caller.is_closed(), matchers.Is(True))

    run_in_stalling_loop(stop)


def test_a_request_in_flight_is_answered_at_a_stop():
    async def stop(loop, caller):
        caller.write(b"GET /slow HTTP/1.1\r\nHost: a\r\n\r\n")
        await pass_rounds()
        caller.stop()
        await pass_rounds()
        caller.may_end.set()

    statuses, runs = run_in_stalling_loop(stop)
    assertions.assert_that(statuses, matchers.Equals([200]))
