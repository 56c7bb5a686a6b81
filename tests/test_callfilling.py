"""Which jobs get the space for results, and a load that uses all of it."""

import heapq
import itertools
import random

import pytest
from testtools import assertions
from testtools import matchers

from chervilshore.decisions import batchplanner
from chervilshore import ids
from chervilshore.rules import model
from tests import batch_helpers

ENDPOINTS = 3
RESULT_BYTES = 3_000_000
LARGE = model.Batching(
    max_items=4,
    call_ms=150.0,
    per_item_ms=32.0,
    result_space_bytes=6.2 * RESULT_BYTES,
    result_ttl_ms=4000.0,
)
READ_MS = 350.0
"""Milliseconds from the end of a job until its results have been read."""

OVERLOAD = 1.5
BURST_MS = 8000.0
WAIT_MS = 3300.0
"""Milliseconds for which a job may wait."""


@pytest.fixture
def planner():
    found = batchplanner.BatchPlanner(batch_helpers.BATCHING)
    found.set_endpoints(
        [batch_helpers.make_record("w1"), batch_helpers.make_record("w2")]
    )
    return found


def test_a_job_is_split_among_endpoints_that_have_space_for_all_of_it(
    planner,
):
    planner.add(batch_helpers.make_job("large", count=8, result_bytes=300_000))
    sizes = [call.size for call in planner.plan(0.0)]
    assertions.assert_that(sizes, matchers.Equals([5, 3]))


def test_a_job_too_large_for_its_pool_ends_when_it_is_due(planner):
    """Its first results could never be read, but would use space."""
    planner.add(
        batch_helpers.make_job("large", count=12, result_bytes=300_000)
    )
    planner.add(
        batch_helpers.make_job("other", count=10, result_bytes=300_000)
    )
    calls = planner.plan(0.0)
    assertions.assert_that(
        [batch_helpers.list_jobs(call) for call in calls],
        matchers.Equals([["other"], ["other"]]),
    )
    assertions.assert_that(planner.expire(999.0), matchers.Equals([]))
    assertions.assert_that(
        planner.next_plan_time(999.0), matchers.Equals(1000.0)
    )
    assertions.assert_that(
        [job.name for job in planner.expire(1000.0)],
        matchers.Equals(["large"]),
    )


def test_a_job_does_not_take_space_that_a_begun_one_needs(planner):
    """Guards against jobs that each hold results and wait for more space.

    Neither of two jobs would ever be done, and nothing else could run until
    their results expired.
    """
    urgent = batch_helpers.make_job(
        "urgent", count=6, due=500.0, result_bytes=300_000
    )
    begun = batch_helpers.make_job(
        "begun", count=8, due=900.0, result_bytes=300_000
    )
    planner.add(batch_helpers.make_job("busy", count=15, due=100.0))
    planner.add(begun)
    planner.plan(0.0)
    planner.add(urgent)
    for call in [
        one.call for one in planner._endpoints.values() if one.call is not None
    ]:
        batch_helpers.end_call(planner, call, 400.0)
    while not begun.is_done:
        for call in planner.plan(400.0):
            assertions.assert_that(
                batch_helpers.list_jobs(call), matchers.Equals(["begun"])
            )
            batch_helpers.end_call(planner, call, 800.0)
    for handle in begun.handles:
        endpoint = ids.EndpointId(handle.partition("/")[0])
        planner.record_freed(endpoint, [handle])
    sizes = [call.size for call in planner.plan(800.0)]
    assertions.assert_that(sum(sizes), matchers.Equals(6))


class Burst:
    """Jobs of one to ten items that arrive at random, in virtual time."""

    def __init__(self, items_per_s, seed):
        self.asked = 0
        self.done = 0
        self._rng = random.Random(seed)
        self._planner = batchplanner.BatchPlanner(LARGE)
        self._planner.set_endpoints(
            batch_helpers.make_record(f"w{number}")
            for number in range(ENDPOINTS)
        )
        self._events = []
        self._numbers = itertools.count()
        arrived = 0.0
        while arrived < BURST_MS:
            count = min(10, max(1, round(self._rng.lognormvariate(0.75, 0.6))))
            gap_ms = count / items_per_s * 1000.0
            arrived += gap_ms * self._rng.expovariate(1.0)
            self._at(arrived, lambda now, count=count: self._add(count, now))

    def run(self):
        """Plan after each event until nothing is left."""
        while self._events:
            now, _, action = heapq.heappop(self._events)
            action(now)
            for job in self._planner.expire(now):
                self._free(job)
            for call in self._planner.plan(now):
                self._at(
                    now + call.expected_ms,
                    lambda time, call=call: self._end(call, time),
                )
            due = self._planner.next_plan_time(now)
            if due is not None and not self._events:
                self._at(due, lambda _: None)

    def _at(self, time, action):
        heapq.heappush(self._events, (time, next(self._numbers), action))

    def _add(self, count, now):
        self.asked += 1
        self._planner.add(
            batch_helpers.make_job(
                f"j{self.asked}",
                count,
                due=now + 450.0,
                deadline=now + WAIT_MS,
                result_bytes=RESULT_BYTES,
            )
        )

    def _end(self, call, now):
        done, _ = batch_helpers.end_call(self._planner, call, now)
        for job in done:
            self.done += 1
            self._at(now + READ_MS, lambda _, job=job: self._free(job))

    def _free(self, job):
        for handle in filter(None, job.handles):
            endpoint = ids.EndpointId(handle.partition("/")[0])
            self._planner.record_freed(endpoint, [handle])


def test_a_burst_of_jobs_with_large_results_is_served():
    """Guards against a standstill when unfinished jobs hold all space.

    Pattern: requests with large inputs come one and a half times as often as
    the space for results allows in the mean; each result uses space from the
    start of its call until it is read. Nine tenths of what the space allows
    must be served.
    """
    held_ms = LARGE.call_ms + LARGE.max_items * LARGE.per_item_ms + READ_MS
    results = ENDPOINTS * int(LARGE.result_space_bytes // RESULT_BYTES)
    possible_per_s = results / held_ms * 1000.0
    asked = done = 0
    for seed in range(6):
        burst = Burst(OVERLOAD * possible_per_s, seed)
        burst.run()
        asked += burst.asked
        done += burst.done
    assertions.assert_that(done, matchers.GreaterThan(0.9 * asked / OVERLOAD))
