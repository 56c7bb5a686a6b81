"""Roll-outs of batch pools, whose owner makes the calls of all hosts."""

import asyncio
import collections

from testtools import assertions
from testtools import matchers

from chervilshore.clients import batches
from chervilshore.controllers import batchevidence
from chervilshore.controllers import versions
from chervilshore.decisions import batchjobs
from chervilshore import exceptions
from chervilshore import records
from chervilshore.rules import model
from standins import workerfaults
from tests import gateway_helpers as helpers
from tests import rollout_helpers

DURATION_SECONDS = 20.0
CALLERS = 12
WARM_UP_SECONDS = 1.5


class Counts(versions.AnyVersion):
    """Keeps what it is told."""

    def __init__(self):
        self.sent = 0
        self.ended = []
        self.held = {}

    def record_sent(self, record, sent, now):
        self.sent += 1

    def record_end(self, record, sent, outcome, millis, now):
        self.ended.append(outcome)

    def hold(self, record, handles, now, until):
        self.held |= dict.fromkeys(handles, until)


def make_call(items):
    """Return a call with the items of one job."""
    job = batchjobs.Job(
        name="j",
        request="r",
        stage=0,
        count=items,
        key="k",
    )
    record = records.EndpointRecord("e", "cut", "a", "127.0.0.1:1")
    return batchjobs.BatchCall(
        record, [batchjobs.CallPart(job, tuple(range(items)))], 0.0, 5.0
    )


def end_call(record_outcome):
    """Make a call of three items; return what is counted."""
    counts = Counts()
    evidence = batchevidence.CallEvidence(counts, make_call(3), 0.0)
    record_outcome(evidence)
    evidence.end(10.0, model.Batching(result_ttl_ms=4000.0))
    assertions.assert_that(counts.sent, matchers.Equals(3))
    return counts


def test_each_item_of_a_call_counts_and_its_result_is_held():
    failures = batches.Failure
    counts = end_call(
        lambda evidence: evidence.record_results(
            [
                batches.ItemResult("h"),
                batches.ItemResult(failure=failures.ERROR),
                batches.ItemResult(failure=failures.LATE),
            ]
        )
    )
    outcomes = records.Outcome
    assertions.assert_that(
        counts.ended,
        matchers.Equals([outcomes.OK, outcomes.REJECTED, outcomes.CANCELLED]),
    )
    assertions.assert_that(counts.held, matchers.Equals({"h": 4010.0}))


def test_items_of_a_failed_call_leave_no_results():
    counts = end_call(
        lambda evidence: evidence.record_error(
            exceptions.EndpointBroken("reset")
        )
    )
    assertions.assert_that(
        counts.ended, matchers.Equals([records.Outcome.BROKEN] * 3)
    )
    assertions.assert_that(counts.held, matchers.Equals({}))


async def serve(deployment):
    """Start a host and the endpoints of all stages."""
    await helpers.serve_stages(
        deployment, second_ms=20.0, host=rollout_helpers.BOUNDS
    )
    # A slow call of a pool's only endpoint stops the pool (KNOWN-RED, 6).
    for number in (1, 2):
        await deployment.add_worker(f"s{number}", "sew", millis=20.0)
    for number in (1, 2):
        await deployment.add_worker(f"c{number}", "cut", millis=5.0)


async def order(deployment, **faults):
    """Order a stage's move to a version, whose endpoints then start."""
    await deployment.store.write(
        "rollouts",
        "cut",
        {"service": "cut", "to": "v2", "duration_s": DURATION_SECONDS},
    )
    for number in range(3):
        worker = await deployment.add_worker(
            f"n{number}", "cut", millis=5.0, version="v2"
        )
        worker.version_faults = workerfaults.VersionFaults(**faults)


async def call_until(deployment, state, **faults):
    """Order while requests are sent; return their statuses until a state."""
    statuses = collections.Counter()

    async def call():
        while True:
            response, _ = await deployment.send(
                deployment.hosts[0],
                "/say/",
                headers={
                    "Chervilshore-Pieces": "4,1",
                    "Chervilshore-Piece-Key": "k",
                },
            )
            statuses[response.status] += 1

    callers = [asyncio.ensure_future(call()) for _ in range(CALLERS)]
    await asyncio.sleep(WARM_UP_SECONDS)
    statuses.clear()
    await order(deployment, **faults)
    try:
        async with asyncio.timeout(DURATION_SECONDS + 3.0):
            while True:
                status = deployment.store.read_status("rollouts", "cut")
                if status and status["state"] == state:
                    return statuses
                await asyncio.sleep(0.02)
    finally:
        for caller in callers:
            caller.cancel()
        await asyncio.gather(*callers, return_exceptions=True)


async def test_stage_moves_to_a_good_version(deployment):
    await serve(deployment)
    statuses = await call_until(deployment, "completed")
    assertions.assert_that(set(statuses), matchers.Equals({200}))


async def test_stage_gives_no_items_to_a_bad_version(deployment):
    await serve(deployment)
    await call_until(deployment, "rolled_back", fail_share=0.5)
    new = [deployment.workers[f"n{number}"] for number in range(3)]
    old = [deployment.workers[f"c{number}"] for number in range(3)]
    await asyncio.sleep(0.3)
    given = count_items(new)
    bound = 0.1 * (given + count_items(old)) + rollout_helpers.SLACK
    assertions.assert_that(given, matchers.Not(matchers.GreaterThan(bound)))


def count_items(endpoints):
    """Return how many items endpoints were given."""
    return sum(
        len(items) for worker in endpoints for items in worker.batch_calls
    )
