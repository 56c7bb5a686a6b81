"""When the steps before a request must begin."""

import pytest
from testtools import assertions
from testtools import matchers

from chervilshore.decisions import backlog
from chervilshore.decisions import schedule
from chervilshore import ids
from chervilshore import records
from chervilshore.rules import model

PARTS, DESK, VENUE = (ids.PoolName(one) for one in ("parts", "desk", "venue"))


def make_pool(name, call_ms=200.0):
    return model.Pool(
        name=name,
        kind=records.EndpointKind.PLAIN,
        batching=model.Batching(
            max_items=10, call_ms=call_ms, per_item_ms=10.0
        ),
    )


POOLS = {name: make_pool(name) for name in (PARTS, DESK, VENUE)}

CHAIN = model.Pipeline(
    name=ids.PipelineName("report"),
    stages=(),
    batch_stages=(
        model.BatchStage(PARTS),
        model.BatchStage(DESK, (0,)),
        model.BatchStage(VENUE, (1,)),
    ),
    objective_ms=2000.0,
    gap_ms=400.0,
    streams=True,
)


def plan(counts, waits=None):
    waits = waits or {}
    return schedule.plan_steps(
        CHAIN, POOLS, counts, 1000, lambda pool: waits.get(pool, 0.0)
    )


def test_a_chain_is_planned_back_from_the_first_event():
    steps = plan((1, 4, 6))
    first = schedule.FIRST_EVENT_MS + 1000 / schedule.TOKENS_PER_MS
    call = 200.0 + 10.0 * 6
    assertions.assert_that(
        [step.path_ms for step in steps],
        matchers.Equals([first + 3 * call, first + 2 * call, first + call]),
    )


def test_waits_at_later_steps_move_the_first_one_forward():
    """Pattern: the second of three steps is the bottleneck."""
    calm = plan((1, 4, 6))
    busy = plan((1, 4, 6), {DESK: 500.0})
    assertions.assert_that(
        busy[0].path_ms - calm[0].path_ms, matchers.Equals(500.0)
    )
    assertions.assert_that(
        schedule.expect_start(busy) - schedule.expect_start(calm),
        matchers.Equals(500.0),
    )


def test_a_step_without_pieces_is_left_out():
    steps = plan((0, 4, 6))
    assertions.assert_that(
        [step.stage for step in steps], matchers.Equals([1, 2])
    )
    assertions.assert_that(steps[0].after, matchers.Equals(()))


def test_the_request_reads_what_no_other_step_reads():
    steps = plan((1, 4, 6))
    assertions.assert_that(schedule.find_last(steps), matchers.Equals([2]))
    assertions.assert_that(
        schedule.find_readers(steps),
        matchers.Equals({0: {1}, 1: {2}, 2: set()}),
    )


@pytest.mark.parametrize(
    ("objective", "gap", "expected"),
    [
        (2000.0, 400.0, 8000.0),
        (100.0, 100.0, 2000.0),
        (300.0, 400.0, 3200.0),
        (9000.0, 0.0, 15_000.0),
    ],
)
def test_callers_leave_a_stream_that_does_not_begin(objective, gap, expected):
    pipeline = model.Pipeline(
        name=ids.PipelineName("p"),
        stages=(),
        objective_ms=objective,
        gap_ms=gap,
        streams=True,
    )
    assertions.assert_that(
        schedule.find_start_limit(pipeline, 15_000.0),
        matchers.Equals(expected),
    )


def test_a_plain_request_has_its_whole_time():
    pipeline = model.Pipeline(name=ids.PipelineName("p"), stages=())
    assertions.assert_that(
        schedule.find_start_limit(pipeline, 600.0), matchers.Equals(600.0)
    )


def test_queues_are_taken_to_drain_until_more_is_heard():
    known = backlog.Backlog()
    known.note(DESK, backlog.Waits(500.0, ((1, 800.0),), 2000.0), 0.0)
    assertions.assert_that(
        known.find(DESK, 700.0),
        matchers.Equals(backlog.Waits(0.0, ((1, 100.0),), 1300.0)),
    )


def test_old_word_of_a_queue_says_nothing():
    known = backlog.Backlog()
    known.note(DESK, backlog.Waits(500.0, (), 60_000.0), 0.0)
    assertions.assert_that(
        known.find(DESK, backlog.KNOWN_MS + 1.0),
        matchers.Equals(backlog.Waits()),
    )
    assertions.assert_that(
        known.find(PARTS, 0.0), matchers.Equals(backlog.Waits())
    )
