"""The plan of batch stages, and the wait estimates of their pools."""

import pytest
from testtools import assertions
from testtools import matchers

from chervilshore.decisions import backlog
from chervilshore.decisions import stageplanning
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
    return stageplanning.plan_batch_stages(
        CHAIN, POOLS, counts, 1000, lambda pool: waits.get(pool, 0.0)
    )


def test_critical_paths_count_back_from_the_first_event():
    stages = plan((1, 4, 6))
    first = (
        stageplanning.FIRST_EVENT_MS
        + 1000 / stageplanning.PROMPT_TOKENS_PER_MS
    )
    call = 200.0 + 10.0 * 6
    assertions.assert_that(
        [stage.critical_path_ms for stage in stages],
        matchers.Equals([first + 3 * call, first + 2 * call, first + call]),
    )


def test_waits_of_later_stages_lengthen_the_path_of_the_first():
    """The second of three stages is the bottleneck."""
    idle = plan((1, 4, 6))
    busy = plan((1, 4, 6), {DESK: 500.0})
    assertions.assert_that(
        busy[0].critical_path_ms - idle[0].critical_path_ms,
        matchers.Equals(500.0),
    )
    assertions.assert_that(
        stageplanning.estimate_start_ms(busy)
        - stageplanning.estimate_start_ms(idle),
        matchers.Equals(500.0),
    )


def test_a_stage_without_items_is_skipped():
    stages = plan((0, 4, 6))
    assertions.assert_that(
        [stage.stage for stage in stages], matchers.Equals([1, 2])
    )
    assertions.assert_that(stages[0].after, matchers.Equals(()))


def test_the_request_reads_the_results_of_the_final_stages():
    stages = plan((1, 4, 6))
    assertions.assert_that(
        stageplanning.find_final_stages(stages), matchers.Equals([2])
    )
    assertions.assert_that(
        stageplanning.find_readers(stages),
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
def test_the_start_limit_of_a_stream_depends_on_its_pipeline(
    objective, gap, expected
):
    pipeline = model.Pipeline(
        name=ids.PipelineName("p"),
        stages=(),
        objective_ms=objective,
        gap_ms=gap,
        streams=True,
    )
    assertions.assert_that(
        stageplanning.start_limit_ms(pipeline, 15_000.0),
        matchers.Equals(expected),
    )


def test_the_start_limit_of_other_requests_is_their_deadline():
    pipeline = model.Pipeline(name=ids.PipelineName("p"), stages=())
    assertions.assert_that(
        stageplanning.start_limit_ms(pipeline, 600.0), matchers.Equals(600.0)
    )


def test_wait_estimates_decrease_with_their_age():
    known = backlog.Backlog()
    known.record_waits(
        DESK, backlog.WaitEstimate(500.0, ((1, 800.0),), 2000.0), 0.0
    )
    assertions.assert_that(
        known.current_waits(DESK, 700.0),
        matchers.Equals(backlog.WaitEstimate(0.0, ((1, 100.0),), 1300.0)),
    )


def test_old_and_missing_wait_estimates_count_as_no_wait():
    known = backlog.Backlog()
    known.record_waits(DESK, backlog.WaitEstimate(500.0, (), 60_000.0), 0.0)
    assertions.assert_that(
        known.current_waits(DESK, backlog.MAX_ESTIMATE_AGE_MS + 1.0),
        matchers.Equals(backlog.WaitEstimate()),
    )
    assertions.assert_that(
        known.current_waits(PARTS, 0.0),
        matchers.Equals(backlog.WaitEstimate()),
    )
