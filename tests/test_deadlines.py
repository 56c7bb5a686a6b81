"""The deadline policy and the deadline filter."""

import pytest
from testtools import assertions
from testtools import matchers

from chervilshore.decisions import deadlines
from chervilshore import exceptions
from chervilshore.filters import deadline
from chervilshore import results
from tests import flow_helpers


def record_attempts(times, pool, millis, now=0.0):
    for _ in range(30):
        times.record_attempt(pool, millis, now)


async def expect_refusal(step, exchange):
    with pytest.raises(exceptions.RefusalError) as caught:
        await step.handle(exchange, flow_helpers.answer)
    return caught.value.code


@pytest.mark.parametrize(
    ("text", "code"),
    [
        ("0", results.Code.DEADLINE_PASSED),
        ("-5", results.Code.DEADLINE_PASSED),
        ("soon", results.Code.BAD_HEADER),
        ("nan", results.Code.BAD_HEADER),
        ("1_000", results.Code.BAD_HEADER),
        ("1e3", results.Code.BAD_HEADER),
        ("", results.Code.BAD_HEADER),
        ("60001", results.Code.BAD_HEADER),
    ],
)
async def test_invalid_time_budgets_are_refused(clock, text, code):
    step = deadline.DeadlineFilter(clock, deadlines.StageTimes(), 60_000)
    exchange = flow_helpers.make_exchange(
        headers={deadline.DEADLINE_HEADER: text}
    )
    found = await expect_refusal(step, exchange)
    assertions.assert_that(found, matchers.Is(code))


async def test_the_time_budget_starts_at_arrival(clock):
    step = deadline.DeadlineFilter(clock, deadlines.StageTimes(), 60_000)
    clock.set(40.0)
    headers = {deadline.DEADLINE_HEADER: "250"}
    exchange = flow_helpers.make_exchange(10.0, headers)
    await step.handle(exchange, flow_helpers.answer)
    assertions.assert_that(exchange.deadline, matchers.Equals(260.0))
    exchange = flow_helpers.make_exchange(10.0, deadline_ms=70)
    await step.handle(exchange, flow_helpers.answer)
    assertions.assert_that(exchange.deadline, matchers.Equals(80.0))


async def test_hopeless_deadlines_are_refused_except_for_probes(clock):
    times = deadlines.StageTimes()
    step = deadline.DeadlineFilter(clock, times, 60_000)
    record_attempts(times, flow_helpers.POOL, 500.0)

    def make(**rule):
        return flow_helpers.make_exchange(
            clock.now(), {deadline.DEADLINE_HEADER: "300"}, **rule
        )

    code = await expect_refusal(step, make())
    assertions.assert_that(code, matchers.Is(results.Code.DEADLINE_HOPELESS))
    clock.set(deadlines.PROBE_MS)
    await expect_refusal(step, make(repeatable=False))
    await step.handle(make(), flow_helpers.answer)
    # One probe is enough; other requests are still refused.
    await expect_refusal(step, make())


def test_time_is_reserved_for_later_stages():
    times = deadlines.StageTimes()
    record_attempts(times, "encode", 10.0)
    record_attempts(times, "generate", 600.0)
    stages = ("encode", "generate")
    assertions.assert_that(
        times.stage_deadline(stages, 1000.0, 0.0), matchers.Equals(400.0)
    )
    # With too little time for all, each stage gets time in proportion.
    assertions.assert_that(
        times.stage_deadline(stages, 305.0, 0.0), matchers.Equals(5.0)
    )
    assertions.assert_that(
        times.stage_deadline(stages[1:], 305.0, 0.0), matchers.Equals(305.0)
    )
