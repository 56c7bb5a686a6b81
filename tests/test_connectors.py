"""Connections that are opened while the event loop is busy.

The load: many requests at once, so that each round of the event loop takes
longer than a connection may.
"""

import asyncio
import socket
import time

import pytest
from testtools import assertions
from testtools import matchers

from chervilshore.clients import connectors
from chervilshore import exceptions
from measure import deployment as deployments

TIMEOUT_MS = 20.0
ROUND_SECONDS = 0.05


@pytest.fixture
async def busy_loop():
    """Keep the event loop busy in each of its rounds."""
    loop = asyncio.get_running_loop()
    handles = []

    def work():
        time.sleep(ROUND_SECONDS)
        handles[:] = [loop.call_soon(work)]

    work()
    yield
    handles[0].cancel()


@pytest.fixture
async def listener():
    """Return the address of a server that accepts connections."""
    server = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
    yield "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
    server.close()


@pytest.fixture
def full_address():
    """Return an address that accepts no more connections."""
    with socket.socket() as server, socket.socket() as first:
        server.bind(("127.0.0.1", 0))
        server.listen(0)
        first.connect(server.getsockname())
        yield "127.0.0.1:%d" % server.getsockname()[1]


# Guards against sound requests that are refused beside many others: the
# endpoint had accepted the connection, and the timer was seen first.
async def test_connection_in_time_is_used_by_a_busy_loop(listener, busy_loop):
    connection = await connectors.DirectConnector().connect(
        listener, TIMEOUT_MS
    )
    assertions.assert_that(connection.is_open(), matchers.Equals(True))
    connection.close()


async def test_endpoint_that_does_not_accept_is_found(full_address):
    with pytest.raises(exceptions.EndpointUnreached) as found:
        await connectors.DirectConnector().connect(full_address, TIMEOUT_MS)
    assertions.assert_that(
        found.value.__cause__, matchers.IsInstance(TimeoutError)
    )


async def test_endpoint_that_is_gone_is_refused_by_a_busy_loop(busy_loop):
    (port,) = deployments.find_ports(1)
    with pytest.raises(exceptions.EndpointUnreached) as found:
        await connectors.DirectConnector().connect(
            f"127.0.0.1:{port}", TIMEOUT_MS
        )
    assertions.assert_that(
        found.value.__cause__, matchers.IsInstance(ConnectionRefusedError)
    )


async def test_names_are_resolved(listener):
    _, _, port = listener.rpartition(":")
    connection = await connectors.DirectConnector().connect(
        f"localhost:{port}", 1000.0
    )
    assertions.assert_that(connection.is_open(), matchers.Equals(True))
    connection.close()
