"""Old refusals that are taken for the answer to a request that runs.

The load: endpoints write a refusal once more on connections on which it is
not the second copy of the last answer: one of another connection, of a call
that names no request, or of an earlier send of the same request.
"""

import asyncio

import msgspec
import pytest
from testtools import assertions
from testtools import matchers

from chervilshore import exceptions
from chervilshore.platform import batches
from standins import workers
from tests import batch_helpers
from tests import gateway_helpers as helpers
from tests import repeater_helpers
from tests import test_late_answers as late_answers

HONEST = matchers.MatchesAny(*map(matchers.Equals, (200, 502)))
"""Statuses that are true of a request that has run once."""


@pytest.fixture
async def repeaters():
    both = [repeater_helpers.Repeater(), repeater_helpers.Repeater()]
    for worker in both:
        await worker.start()
    yield both
    for worker in both:
        worker.stop()


async def register(deployment, repeater, name, service):
    """List a repeater as an endpoint."""
    entry = workers.Worker(name).describe(service, "a", addr=repeater.address)
    await deployment.store.write("servers", name, entry)


async def serve(deployment, repeaters, kind="non_idempotent", **route):
    """Start a host with two endpoints."""
    await deployment.configure(
        [helpers.make_route("look", "ledger", kind=kind, **route)],
        [helpers.make_service("ledger")],
    )
    host = await deployment.add_host()
    for number, repeater in enumerate(repeaters):
        await register(deployment, repeater, f"w{number}", "ledger")
    await deployment.wait_ready(host, 2)
    return host


async def keep_connections(deployment, host, repeaters):
    """Send requests until the host has used each endpoint."""
    while not all(repeater.runs for repeater in repeaters):
        await asyncio.gather(
            *(deployment.send(host, "/look/") for _ in range(4))
        )


# Guards against REFUSED and TWICE by a refusal that names no request.
@pytest.mark.parametrize("is_kept", (True, False))
@pytest.mark.parametrize("status", (503, 429, 421))
async def test_refusal_of_another_connection_neither_denies_nor_repeats_a_run(
    deployment, repeaters, status, is_kept
):
    """All own answers on the connections name their requests."""
    host = await serve(deployment, repeaters)
    if is_kept:
        await keep_connections(deployment, host, repeaters)
    for repeater in repeaters:
        repeater.strays = [repeater_helpers.make_refusal(status=status)]
    response, _ = await deployment.send(host, "/look/")
    await asyncio.sleep(0.1)
    runs = [run for repeater in repeaters for run in repeater.runs]
    assertions.assert_that(runs.count(response.attempt), matchers.Equals(1))
    assertions.assert_that(response.status, HONEST)


# Guards against REFUSED by the refusal of a call that names no request.
async def test_copy_of_a_refused_batch_call_does_not_deny_a_run(
    deployment, repeater
):
    host = await late_answers.serve(
        deployment, repeater, kind="non_idempotent", max_attempts=1
    )
    repeater.copy = repeater_helpers.Copy.AFTER
    repeater.refusals = [repeater_helpers.make_refusal()]
    client = batches.BatchClient(host._connections, late_answers.ignore_notice)
    record = msgspec.structs.replace(
        batch_helpers.make_record("w0"), address=repeater.address
    )
    call = batches.batches.ItemCall("r0", 0, 0, 500.0, "k")
    with pytest.raises(exceptions.EndpointBusy):
        await client.run(record, [call], 500.0)
    await asyncio.sleep(0.05)
    response, _ = await deployment.send(host, "/look/")
    assertions.assert_that(repeater.runs, matchers.Equals([response.attempt]))
    assertions.assert_that(response.status, HONEST)


# Guards against REFUSED by the refusal of an earlier send of the request.
async def test_copy_of_the_refusal_of_its_first_send_does_not_deny_a_run(
    deployment, repeater
):
    """It goes to the endpoint again after its inputs were made again."""
    stages = [{"service": "cut", "after": [], "size_bytes": 1000}]
    await deployment.configure(
        [helpers.make_route("say", "llm", kind="stream", stages=stages)],
        [
            helpers.make_service("llm", engine={"slots": 8}),
            helpers.make_service("cut", pieces=helpers.make_batching()),
        ],
    )
    host = await deployment.add_host()
    await register(deployment, repeater, "m0", "llm")
    await deployment.add_worker("c0", "cut", millis=5.0)
    await deployment.wait_ready(host, 2)
    repeater.copy = repeater_helpers.Copy.AFTER
    repeater.refusals = [repeater_helpers.make_refusal("one", 409)]
    response, _ = await deployment.send(
        host,
        "/say/",
        headers={
            "Chervilshore-Attempt-Id": "one",
            "Chervilshore-Pieces": "1",
            "Chervilshore-Piece-Key": "k",
        },
    )
    await asyncio.sleep(0.1)
    assertions.assert_that(repeater.runs, matchers.Equals(["one"]))
    assertions.assert_that(response.status, HONEST)


# Guards against REFUSED by the refusal of a process that was called by the
# name of the endpoint that had its address before.
async def test_copy_of_a_refusal_by_another_endpoint_does_not_deny_a_run(
    deployment, repeater
):
    """Two endpoints are listed at one address."""
    host = await serve(deployment, [repeater, repeater], max_attempts=2)
    repeater.copy = repeater_helpers.Copy.AFTER
    repeater.refusals = [repeater_helpers.make_refusal("one", 421)]
    response, _ = await deployment.send(
        host, "/look/", headers={"Chervilshore-Attempt-Id": "one"}
    )
    await asyncio.sleep(0.1)
    assertions.assert_that(repeater.runs, matchers.Equals(["one"]))
    assertions.assert_that(response.status, HONEST)


# Guards against BUDGET and against NOT RUN for a request that may be repeated
# and runs: an old refusal made it run at more endpoints than its route allows.
async def test_old_refusals_do_not_exceed_the_attempts_of_a_route(
    deployment, repeaters
):
    host = await serve(
        deployment, repeaters, kind="idempotent", max_attempts=1
    )
    await keep_connections(deployment, host, repeaters)
    for repeater in repeaters:
        repeater.strays = [repeater_helpers.make_refusal()]
    response, _ = await deployment.send(host, "/look/")
    await asyncio.sleep(0.1)
    runs = [run for repeater in repeaters for run in repeater.runs]
    assertions.assert_that(
        (response.status, runs.count(response.attempt)),
        matchers.Equals((502, 1)),
    )
