"""When the inputs of a batch call may be freed, as two owners take turns.

Pattern: hosts restart in turn. The old owner of a pool still finishes its
calls when the new one sends its first, which wait at the endpoints.
"""

import pytest
from testtools import assertions
from testtools import matchers

from chervilshore.decisions import batchplanner
from tests import batch_helpers

INPUTS = ("10.0.0.2:80/1",)


@pytest.fixture
def planner():
    found = batchplanner.BatchPlanner(batch_helpers.BATCHING)
    found.set_endpoints([batch_helpers.make_record("w1")])
    return found


def run_call(planner, name, now, delay_ms=0.0):
    """Run a job of one call; return the jobs whose inputs are released."""
    planner.add(
        batch_helpers.make_job(name, 15, due=1e9, deadline=1e9, inputs=INPUTS)
    )
    (call,) = planner.plan(now)
    read = planner.record_inputs_read(call)
    batch_helpers.end_call(planner, call, now + call.expected_ms + delay_ms)
    return [job.name for job in read]


def test_inputs_of_the_first_call_are_kept_until_it_ends(planner):
    """It may wait behind a call of the owner before."""
    assertions.assert_that(run_call(planner, "j1", 0.0), matchers.Equals([]))
    assertions.assert_that(
        run_call(planner, "j2", 1000.0), matchers.Equals(["j2"])
    )


def test_inputs_are_kept_after_a_call_that_waited(planner):
    """Two sides of a partition may both own the pool for a while."""
    batch_helpers.run_first_calls(planner)
    run_call(planner, "j1", 1000.0, delay_ms=200.0)
    assertions.assert_that(
        run_call(planner, "j2", 2000.0), matchers.Equals([])
    )


def test_inputs_are_kept_after_a_call_without_results(planner):
    """Its inputs were gone, so it ended early though it had waited."""
    batch_helpers.run_first_calls(planner)
    planner.add(batch_helpers.make_job("j1", 15, due=1e9, inputs=INPUTS))
    (call,) = planner.plan(1000.0)
    planner.finish(call, [""] * call.size, 1100.0)
    planner.drop("j1")
    assertions.assert_that(
        run_call(planner, "j2", 2000.0), matchers.Equals([])
    )


def test_a_leaving_owner_keeps_inputs_until_its_calls_end(planner):
    """The next owner already calls the same endpoints."""
    batch_helpers.run_first_calls(planner)
    job = batch_helpers.make_job("j1", 20, due=1e9, inputs=INPUTS)
    planner.add(job)
    (first,) = planner.plan(1000.0)
    planner.leave()
    batch_helpers.end_call(planner, first, 1000.0 + first.expected_ms)
    (second,) = planner.plan(2000.0)
    assertions.assert_that(
        planner.record_inputs_read(second), matchers.Equals([])
    )
