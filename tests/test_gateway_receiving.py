"""Responses that never end, many at once, beside sound ones.

The load: a service whose endpoints send without end, and callers who all want
it at once. What one response may take is bounded; this is about their sum.
"""

import asyncio
import gc
import tracemalloc
from unittest import mock

import pytest
from testtools import assertions
from testtools import matchers

from chervilshore.clients import connections
from chervilshore.clients import receiving
from standins import endless
from tests import gateway_helpers as helpers
from tests import receiving_helpers

REQUESTS = 40
TOTAL_BYTES = 4_000_000
"""Far less than what 40 responses take, each up to its own bound."""

SOUND_BYTES = 300_000

ANSWER_BYTES = 1_000_000
SHORT_BYTES = 3 * endless.BLOCK_BYTES
LARGE_BYTES = 96 * endless.BLOCK_BYTES
ROOM_BYTES = 20_000_000
"""A sum in which the largest response can be read to its end."""


@pytest.fixture
def budget(monkeypatch):
    """Give the process a small budget; return it."""
    budget = receiving.ENDPOINTS.budget
    monkeypatch.setattr(budget, "total", TOTAL_BYTES)
    return budget


async def start(deployment, place):
    """Start a host, and an endpoint for each of two services."""
    kind = "stream" if place is endless.Place.EVENT else "idempotent"
    await deployment.configure(
        [
            helpers.make_route("odd", "odd", kind=kind, max_attempts=1),
            helpers.make_route("sound", "sound", max_attempts=1),
        ],
        [
            helpers.make_service("odd", max_conns=100),
            helpers.make_service("sound", max_conns=100),
        ],
    )
    host = await deployment.add_host()
    sound = await deployment.add_worker("sound", "sound")
    sound.faults.body_bytes = SOUND_BYTES
    entry = sound.describe("odd", "a") | {"slots": 100}
    await receiving_helpers.add_endless(deployment, "endless", place, entry)
    await deployment.wait_ready(host, 2)
    return host


# Guards against a host that runs out of memory: it holds what many endpoints
# send without end, each within the bound of one response.
@pytest.mark.parametrize("place", endless.Place)
async def test_responses_without_end_are_bounded_together(
    deployment, budget, place
):
    host = await start(deployment, place)
    most = []
    watching = asyncio.ensure_future(receiving_helpers.watch(budget, most))
    odd = [
        asyncio.ensure_future(deployment.send(host, "/odd/"))
        for _ in range(REQUESTS)
    ]
    sound = []
    for _ in range(10):
        response, body = await deployment.send(host, "/sound/")
        sound.append((response.status, len(body) == SOUND_BYTES))
    found = [response.status for response, _ in await asyncio.gather(*odd)]
    watching.cancel()
    assertions.assert_that(sound, matchers.Equals([(200, True)] * 10))
    assertions.assert_that(
        set(found) <= {502, 503, 504}, matchers.Equals(True)
    )
    assertions.assert_that(max(most) <= TOTAL_BYTES, matchers.Equals(True))
    assertions.assert_that(budget.charged, matchers.Equals(0))


# Guards against a large sound answer that is cut to make room, because it
# does not say how long it is.
async def test_large_response_without_length_is_served_beside_endless_ones(
    deployment, budget, monkeypatch
):
    monkeypatch.setattr(budget, "total", ROOM_BYTES)
    host = await start(deployment, endless.Place.BODY)
    large = endless.EndlessWorker("large", endless.Place.BODY, LARGE_BYTES)
    deployment.workers["large"] = large
    await large.start()
    entry = deployment.workers["sound"].describe("sound", "a")
    await deployment.store.write(
        "servers", "sound", entry | {"addr": large.address}
    )
    await asyncio.sleep(1.0)
    odd = [
        asyncio.ensure_future(deployment.send(host, "/odd/"))
        for _ in range(REQUESTS)
    ]
    response, body = await deployment.send(host, "/sound/")
    await asyncio.gather(*odd)
    assertions.assert_that(response.status, matchers.Equals(200))
    assertions.assert_that(len(body), matchers.Equals(LARGE_BYTES))


async def test_connection_that_nobody_reads_is_not_held(budget):
    connection = connections.Connection()
    connection.connection_made(mock.Mock())
    connection.send(connections.Request("GET", "/", [("Host", "a")]))
    del connection
    gc.collect()
    assertions.assert_that(receiving.ENDPOINTS.receipts, matchers.Equals({}))


# Guards against memory beside the budget: an idle connection of a caller held
# the answer that had been sent on it.
async def test_idle_callers_hold_no_answers(deployment, budget, monkeypatch):
    monkeypatch.setattr(budget, "total", ROOM_BYTES)
    host = await start(deployment, endless.Place.BODY)
    deployment.workers["sound"].faults.body_bytes = ANSWER_BYTES
    tracemalloc.start()
    try:
        await asyncio.gather(
            *(deployment.send(host, "/sound/") for _ in range(10))
        )
        snapshot = tracemalloc.take_snapshot()
    finally:
        tracemalloc.stop()
    received = snapshot.filter_traces(
        [tracemalloc.Filter(True, connections.__file__)]
    )
    held = sum(one.size for one in received.statistics("filename"))
    assertions.assert_that(held, matchers.LessThan(ANSWER_BYTES))


# Guards against stage calls whose answers count against no budget.
@pytest.mark.parametrize(
    "place", [endless.Place.HEAD, endless.Place.BODY, endless.Place.TRAILER]
)
async def test_endless_answers_of_stage_calls_are_bounded_together(
    deployment, budget, monkeypatch, place
):
    monkeypatch.setattr(budget, "total", ROOM_BYTES)
    host = await helpers.serve_stages(deployment)
    entry = deployment.workers["c0"].describe("cut", "a")
    # The first takes the place of the sound one.
    deployment.workers["sound"] = deployment.workers.pop("c0")
    for number in range(4):
        await receiving_helpers.add_endless(
            deployment, f"c{number}", place, entry
        )
    await deployment.wait_ready(host, 6)
    most = []
    watching = asyncio.ensure_future(receiving_helpers.watch(budget, most))
    headers = {"Chervilshore-Pieces": "2,1", "Chervilshore-Piece-Key": "k"}
    found = await asyncio.gather(
        *(
            deployment.send(host, "/say/", headers=headers)
            for _ in range(REQUESTS)
        )
    )
    watching.cancel()
    statuses = {response.status for response, _ in found}
    assertions.assert_that(
        statuses <= {429, 502, 503, 504}, matchers.Equals(True)
    )
    assertions.assert_that(max(most), matchers.GreaterThan(0))
    assertions.assert_that(max(most) <= ROOM_BYTES, matchers.Equals(True))
    assertions.assert_that(budget.charged, matchers.Equals(0))


# Guards against sound answers that are cut while there is room: those that may
# go on were not woken, and all waited until one was cut.
async def test_many_answers_without_length_are_served_one_after_the_other(
    deployment, budget, monkeypatch
):
    monkeypatch.setattr(budget, "total", ROOM_BYTES)
    host = await start(deployment, endless.Place.BODY)
    short = endless.EndlessWorker("short", endless.Place.BODY, SHORT_BYTES)
    deployment.workers["short"] = short
    await short.start()
    entry = deployment.workers["sound"].describe("odd", "a")
    await deployment.store.write(
        "servers",
        "endless",
        entry | {"addr": short.address, "slots": 1000},
    )
    await asyncio.sleep(1.0)
    found = await asyncio.gather(
        *(deployment.send(host, "/odd/") for _ in range(100))
    )
    statuses = [response.status for response, _ in found]
    assertions.assert_that(statuses, matchers.Equals([200] * 100))
