"""Bodies that clients of the own interface read, many at once.

The load: responses that never end, fast and slow, beside sound ones.
"""

import asyncio

import aiohttp
import pytest
from testtools import assertions
from testtools import matchers

from chervilshore.clients import bodies
from chervilshore.clients import receiving
from standins import endless
from tests import receiving_helpers

TOTAL_BYTES = 20_000_000
"""Far less than what 20 bodies take, each up to its own bound."""

COUNT = 20
SOUND_BYTES = 4 * endless.BLOCK_BYTES


@pytest.fixture
def pool():
    return receiving.ReceivePool(TOTAL_BYTES)


@pytest.fixture
async def start_worker():
    """Yield a function that starts a worker and returns its URL."""
    found = []

    async def start(max_bytes=endless.MAX_SENT_BYTES):
        worker = endless.EndlessWorker("w", endless.Place.BODY, max_bytes)
        found.append(worker)
        return f"http://{await worker.start()}/"

    yield start
    for worker in found:
        await worker.stop()


async def read(session, url, pool):
    """Return the length of a body, or the error that it ended with."""
    try:
        async with session.get(url) as response:
            return len(await bodies.read_body(response, pool=pool))
    except aiohttp.ClientPayloadError as error:
        return type(error)


# Guards against a host that runs out of memory: many bodies without end, each
# within the bound of one.
async def test_bodies_are_bounded_together(pool, start_worker):
    url, sound_url = await start_worker(), await start_worker(SOUND_BYTES)
    most = []
    watching = asyncio.ensure_future(
        receiving_helpers.watch(pool.budget, most)
    )
    async with aiohttp.ClientSession() as session:
        odd = [
            asyncio.ensure_future(read(session, url, pool))
            for _ in range(COUNT)
        ]
        await asyncio.sleep(0)
        sound = await read(session, sound_url, pool)
        found = await asyncio.gather(*odd)
    watching.cancel()
    assertions.assert_that(sound, matchers.Equals(SOUND_BYTES))
    assertions.assert_that(
        found, matchers.Equals([aiohttp.ClientPayloadError] * COUNT)
    )
    assertions.assert_that(max(most), matchers.GreaterThan(SOUND_BYTES))
    assertions.assert_that(max(most) <= TOTAL_BYTES, matchers.Equals(True))
    assertions.assert_that(pool.budget.charged, matchers.Equals(0))


async def test_body_that_is_cut_ends_while_nothing_arrives(pool):
    ended = asyncio.Event()

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + bytes(endless.BLOCK_BYTES))
        await ended.wait()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    url = "http://127.0.0.1:%d/" % server.sockets[0].getsockname()[1]
    async with aiohttp.ClientSession() as session:
        reading = asyncio.ensure_future(read(session, url, pool))
        while not pool.budget.charged:
            await asyncio.sleep(0.01)
        (on_cut,) = pool.receipts.values()
        on_cut()("too much")
        found = await asyncio.wait_for(reading, 1.0)
    ended.set()
    server.close()
    assertions.assert_that(found, matchers.Is(aiohttp.ClientPayloadError))
    assertions.assert_that(pool.budget.charged, matchers.Equals(0))
