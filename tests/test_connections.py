"""How connections to endpoints notice that the other side is gone.

The load: a sound endpoint that falls silent for a while, at any moment of an
idle connection or of one with bytes under way; one that never answers; and
one that closes an idle connection.
"""

import asyncio
import socket
import tracemalloc
from unittest import mock

import pytest
from testtools import assertions
from testtools import matchers

from chervilshore.clients import connections
from chervilshore.clients import sockets
from chervilshore.decisions import receivebudget

SILENCE_MS = 1500
"""The longest silence of a sound endpoint."""

FOUND_MS = 4000
"""Milliseconds in which a connection to nowhere must be found."""

FIRST_RETRANSMIT_MS = 200
STEP_MS = 10

READERS = 50
"""Connections whose bodies are read at once."""


@pytest.fixture
def options():
    """Return the options that a connection gets."""
    with socket.socket() as sock:
        sockets.set_tcp_options(sock)
        tcp = socket.IPPROTO_TCP
        return {
            "user_timeout_ms": sock.getsockopt(tcp, socket.TCP_USER_TIMEOUT),
            "idle_ms": sock.getsockopt(tcp, socket.TCP_KEEPIDLE) * 1000,
            "interval_ms": sock.getsockopt(tcp, socket.TCP_KEEPINTVL) * 1000,
        }


def end_of_idle(options, silent_from, silent_till):
    """Return when keepalive closes a connection that was last used at 0.

    As on Linux with a user timeout: at each probe time the connection is
    closed if a probe has been sent and nothing received for the timeout.
    """
    received_at, probes = 0, 0
    now = options["idle_ms"]
    while now < FOUND_MS * 3:
        if probes and now - received_at >= options["user_timeout_ms"]:
            return now
        if silent_from <= now < silent_till:
            probes += 1
            now += options["interval_ms"]
        else:
            received_at, probes = now, 0
            now += options["idle_ms"]
    return None


def end_of_send(options, silent_till):
    """Return when a connection is closed whose bytes were sent at 0.

    They are sent again after twice the time of before; the last time is
    brought forward to the user timeout.
    """
    now, wait = 0, FIRST_RETRANSMIT_MS
    while now < silent_till:
        now = min(now + wait, options["user_timeout_ms"])
        wait *= 2
        if now >= options["user_timeout_ms"]:
            return now
    return None


# A connection was closed on which a sound endpoint was silent for over a
# second: the user timeout decides when keepalive gives up, not the probes.
def test_silence_of_a_sound_endpoint_closes_no_connection(options):
    closed = [
        start
        for start in range(0, 3000, STEP_MS)
        if end_of_idle(options, start, start + SILENCE_MS)
    ]
    assertions.assert_that(closed, matchers.Equals([]))
    closed = [
        length
        for length in range(0, SILENCE_MS + 1, STEP_MS)
        if end_of_send(options, length)
    ]
    assertions.assert_that(closed, matchers.Equals([]))


def test_connection_to_nowhere_is_found(options):
    nowhere = FOUND_MS * 10
    ends = [end_of_idle(options, 0, nowhere), end_of_send(options, nowhere)]
    for end in ends:
        assertions.assert_that(
            end, matchers.Not(matchers.GreaterThan(FOUND_MS))
        )


class Transport(asyncio.Transport):
    """Records whether a connection is read."""

    def __init__(self):
        super().__init__()
        self.is_read = True

    def get_extra_info(self, name, default=None):
        """Return a socket that takes any option."""
        return mock.Mock()

    def write(self, data):
        """Take the request."""

    def get_write_buffer_size(self):
        """Return that all of it has been sent."""
        return 0

    def is_closing(self):
        """Return that the connection is open."""
        return False

    def pause_reading(self):
        """Record it."""
        self.is_read = False

    def resume_reading(self):
        """Record it."""
        self.is_read = True


# Guards against a request on a connection whose end nobody has noticed: it
# stayed paused after a response that had come at once.
async def test_connection_is_read_while_it_is_idle():
    connection = connections.Connection()
    transport = Transport()
    connection.connection_made(transport)
    connection.send(connections.Request("GET", "/", [("Host", "a")]))
    length = connections.MAX_PENDING_BYTES + 1
    start = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % length
    connection.data_received(start + bytes(length))
    assertions.assert_that(transport.is_read, matchers.Equals(False))
    head = await connection.read_head()
    body = await connection.read_whole_body(head, length)
    assertions.assert_that(len(body), matchers.Equals(length))
    assertions.assert_that(
        connection.prepare_reuse(head), matchers.Equals(True)
    )
    assertions.assert_that(transport.is_read, matchers.Equals(True))


# Guards against memory beside the budget: the blocks that were read last were
# held twice more, by the loops that read them.
async def test_parts_of_a_body_are_held_once():
    block = bytes(receivebudget.READ_BYTES)
    start = b"HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n"
    reading = []
    tracemalloc.start()
    try:
        for _ in range(READERS):
            connection = connections.Connection()
            connection.connection_made(Transport())
            connection.send(connections.Request("GET", "/", [("Host", "a")]))
            connection.data_received(start)
            head = await connection.read_head()
            reading.append(
                asyncio.ensure_future(
                    connection.read_whole_body(head, 1_000_000)
                )
            )
            await asyncio.sleep(0)
            connection.data_received(block)
            await asyncio.sleep(0)
        held, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
        for one in reading:
            one.cancel()
    most = READERS * len(block) * 1.5
    assertions.assert_that(held, matchers.LessThan(most))
