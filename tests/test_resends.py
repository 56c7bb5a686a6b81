"""Sends of a request beyond the first, counted at stand-ins of endpoints."""

import asyncio
import collections
import logging

from testtools import assertions
from testtools import matchers

from tests import gateway_helpers as helpers

RATIO = 0.2
SLACK = 10
BUDGET = {
    "retry_ratio": str(RATIO),
    "retry_slack": str(SLACK),
    "retry_window_ms": "60000",
}
STAGE_HEADERS = {"Chervilshore-Pieces": "1,1", "Chervilshore-Piece-Key": "k"}


def count_repeats(workers):
    """Count the arrivals beyond the first of each request."""
    arrivals = collections.Counter(
        received["chervilshore-attempt-id"]
        for worker in workers
        for received in worker.received
    )
    return sum(arrivals.values()) - len(arrivals)


def is_event(record, number):
    return getattr(record, "event", None) == number


async def send_all(deployment, host, path, count, **options):
    """Send requests at once; return how many had each status."""
    answers = await asyncio.gather(
        *(deployment.send(host, path, **options) for _ in range(count))
    )
    return collections.Counter(response.status for response, _ in answers)


# Guards against requests that are sent again without the retry budget.
async def test_requests_whose_inputs_are_gone_use_the_retry_budget(
    deployment,
):
    host = await helpers.serve_stages(deployment, host=BUDGET)
    worker = deployment.workers["m0"]
    worker.faults.gone = 1000
    count = 60
    statuses = await send_all(
        deployment, host, "/say/", count, headers=STAGE_HEADERS
    )
    assertions.assert_that(
        count_repeats([worker]),
        matchers.Not(matchers.GreaterThan(RATIO * count + SLACK)),
    )
    # The host says that each of them was paid for.
    status = await deployment.read_status(host)
    assertions.assert_that(
        status["retries"]["llm"]["allowed"],
        matchers.Equals(count_repeats([worker])),
    )
    # None has run, and each caller is told so.
    assertions.assert_that(statuses, matchers.Equals({503: count}))
    assertions.assert_that(worker.runs, matchers.Equals([]))


async def test_each_send_beyond_the_first_and_each_denial_is_logged(
    deployment, caplog
):
    caplog.set_level(logging.INFO)
    host, (worker,) = await helpers.serve_plain(deployment, host=BUDGET)
    other = await deployment.add_worker("w1", "ledger")
    await deployment.wait_ready(host, 2)
    worker.faults.shed = other.faults.shed = 1000
    await send_all(deployment, host, "/look/", 10)
    repeats = count_repeats([worker, other])
    sent_again = [one for one in caplog.records if is_event(one, 4140)]
    denied = [one for one in caplog.records if is_event(one, 4141)]
    assertions.assert_that(repeats, matchers.GreaterThan(0))
    assertions.assert_that(len(sent_again), matchers.Equals(repeats))
    # Those that were sent again found no third endpoint.
    assertions.assert_that(len(denied), matchers.GreaterThan(0))


# Guards against retries at one pool that requests of another pool pay for.
async def test_requests_of_one_pool_pay_for_no_retry_of_another(deployment):
    await deployment.configure(
        [
            helpers.make_route("calm", "sound"),
            helpers.make_route("sad", "bad"),
        ],
        [helpers.make_service("sound"), helpers.make_service("bad")],
    )
    host = await deployment.add_host(**BUDGET)
    await deployment.add_worker("w0", "sound")
    refusing = [
        await deployment.add_worker(f"b{number}", "bad") for number in range(4)
    ]
    for worker in refusing:
        worker.faults.shed = 1000
    await deployment.wait_ready(host, 5)
    count = 40
    for _ in range(count):
        await send_all(deployment, host, "/calm/", 10)
        await send_all(deployment, host, "/sad/", 1)
    allowed = RATIO * count + SLACK
    assertions.assert_that(
        count_repeats(refusing), matchers.Not(matchers.GreaterThan(allowed))
    )
