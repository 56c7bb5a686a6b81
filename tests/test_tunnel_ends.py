"""How the ends of tunnels, peers and hosts reach callers and endpoints.

The load: peers that stop or are killed while they relay an answer, and hosts
that close a connection whose request the endpoint has not read.
"""

import asyncio
import enum
import sys
import time

import pytest
from testtools import assertions
from testtools import matchers

from chervilshore.clients import connectors
from chervilshore.clients import tunnels
from chervilshore import exceptions
from tests import test_tunnels

DROPPED_SECONDS = 0.4
"""Seconds after which an endpoint may no longer work on a request that goes on
elsewhere, by the users' rule."""

endpoint = test_tunnels.endpoint
start_server = test_tunnels.start_server


class PeerEnd(enum.Enum):
    """How a relaying peer ends."""

    STOPS = "after the time for its shutdown"
    KILLED = "without notice"


@pytest.fixture
async def start_process():
    """Yield a function that starts a peer as a process."""
    processes = []

    async def start(address):
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "tests.tunnel_process",
            address,
            stdout=asyncio.subprocess.PIPE,
        )
        processes.append(process)
        line = await process.stdout.readline()
        return process, line.decode().strip()

    yield start
    for process in processes:
        if process.returncode is None:
            process.kill()
        await process.wait()


# Guards against MIXED and ORDER by an answer without a length that looks
# complete when the peer that relays it ends.
@pytest.mark.parametrize("peer_end", PeerEnd)
async def test_answer_whose_relaying_peer_ends_is_not_complete(
    endpoint, start_server, start_process, peer_end
):
    address, scripts = endpoint
    if peer_end is PeerEnd.KILLED:
        process, relay = await start_process(address)
    else:
        server = await start_server(test_tunnels.Directory([address]))
        relay = server.address

    async def begin_answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\n\r\nsome")
        await is_over.wait()
        writer.close()

    is_over = asyncio.Event()
    await scripts.put(begin_answer)
    connection = await tunnels.open_tunnel(relay, address, 500.0)
    connection.send(test_tunnels.REQUEST)
    await connection.read_head()
    await asyncio.sleep(0.05)
    if peer_end is PeerEnd.KILLED:
        process.kill()
    else:
        await server.stop()
    try:
        with pytest.raises(exceptions.EndpointBroken):
            async with asyncio.timeout(1.0):
                async for _ in connection.read_body():
                    pass
    finally:
        is_over.set()
        connection.close()
        await asyncio.sleep(0.05)


class DeafWorker(asyncio.Protocol):
    """Reads the first bytes of a request and works until its caller leaves.

    Attributes
    ----------
    begun, ended : Future
        When it has begun, and when it has noticed that its caller has left.
    """

    def __init__(self):
        loop = asyncio.get_running_loop()
        self.begun = loop.create_future()
        self.ended = loop.create_future()
        self._transport = None

    def connection_made(self, transport):
        self._transport = transport

    def data_received(self, data):
        if not self.begun.done():
            self.begun.set_result(time.monotonic())

    def connection_lost(self, error):
        self.ended.set_result(time.monotonic())


# Guards against TWICE by an endpoint that works on while the request goes on
# at another one.
@pytest.mark.parametrize("is_relayed", [False, True])
async def test_close_ends_the_work_of_an_endpoint(start_server, is_relayed):
    worker = DeafWorker()
    server = await asyncio.get_running_loop().create_server(
        lambda: worker, "127.0.0.1", 0
    )
    host, port = server.sockets[0].getsockname()
    address = f"{host}:{port}"
    if is_relayed:
        relay = await start_server(test_tunnels.Directory([address]))
        connection = await tunnels.open_tunnel(relay.address, address, 500.0)
    else:
        connection = await connectors.DirectConnector().connect(address, 500.0)
    connection.send(test_tunnels.REQUEST)
    await worker.begun
    closed_at = time.monotonic()
    connection.close()
    async with asyncio.timeout(2.0):
        ended_at = await worker.ended
    server.close()
    assertions.assert_that(
        ended_at - closed_at, matchers.LessThan(DROPPED_SECONDS)
    )
