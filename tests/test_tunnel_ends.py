"""How the ends of tunnels, peers and hosts reach callers and endpoints.

The load: peers that stop or are killed while they relay an answer, and hosts
that close a connection whose request the endpoint has not read.
"""

import asyncio
import enum
import select
import socket
import sys

import pytest

from chervilshore.clients import connections
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


async def wait_for_end(sock):
    """Wait until a connection has ended that nobody reads."""
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)
    while not poll.poll(0):
        await asyncio.sleep(0.01)


# Guards against TWICE by an endpoint that works on while the request goes on
# at another one.
@pytest.mark.parametrize("is_relayed", [False, True])
@pytest.mark.parametrize("body_bytes", [0, 1_000_000, 16_000_000])
async def test_close_reaches_an_endpoint_that_reads_no_more(
    start_server, is_relayed, body_bytes
):
    """It has read the head; kernels and the peer buffer a part of the rest."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        server.setblocking(False)
        address = "{}:{}".format(*server.getsockname())
        if is_relayed:
            relay = await start_server(test_tunnels.Directory([address]))
            connection = await tunnels.open_tunnel(
                relay.address, address, 500.0
            )
        else:
            connection = await connectors.DirectConnector().connect(
                address, 500.0
            )
        loop = asyncio.get_running_loop()
        sock, _ = await loop.sock_accept(server)
        headers = [("Host", "h"), ("Content-Length", str(body_bytes))]
        connection.send(
            connections.Request("POST", "/", headers, b"x" * body_bytes)
        )
        with sock:
            await loop.sock_recv(sock, 100)
            await asyncio.sleep(0.2)
            connection.close()
            async with asyncio.timeout(DROPPED_SECONDS):
                await wait_for_end(sock)
