"""Deadlines: the decision and its filter."""

import pytest
from testtools import assertions
from testtools import matchers

from chervilshore.decisions import deadlines
from chervilshore import exceptions
from chervilshore.filters import deadline
from chervilshore import results
from tests import flow_helpers


def teach(times, pool, millis, now=0.0):
    for _ in range(30):
        times.note(pool, millis, now)


async def refuse(step, exchange):
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
async def test_bad_budgets_are_refused(clock, text, code):
    step = deadline.DeadlineFilter(clock, deadlines.StageTimes(), 60_000)
    exchange = flow_helpers.make_exchange(headers={deadline.HEADER: text})
    found = await refuse(step, exchange)
    assertions.assert_that(found, matchers.Is(code))


async def test_the_budget_counts_from_arrival(clock):
    step = deadline.DeadlineFilter(clock, deadlines.StageTimes(), 60_000)
    clock.set(40.0)
    headers = {deadline.HEADER: "250"}
    exchange = flow_helpers.make_exchange(10.0, headers)
    await step.handle(exchange, flow_helpers.answer)
    assertions.assert_that(exchange.deadline, matchers.Equals(260.0))
    exchange = flow_helpers.make_exchange(10.0, deadline_ms=70)
    await step.handle(exchange, flow_helpers.answer)
    assertions.assert_that(exchange.deadline, matchers.Equals(80.0))


async def test_hopeless_is_refused_and_found_out_again(clock):
    times = deadlines.StageTimes()
    step = deadline.DeadlineFilter(clock, times, 60_000)
    teach(times, flow_helpers.POOL, 500.0)

    def make(**rule):
        return flow_helpers.make_exchange(
            clock.now(), {deadline.HEADER: "300"}, **rule
        )

    code = await refuse(step, make())
    assertions.assert_that(code, matchers.Is(results.Code.DEADLINE_HOPELESS))
    clock.set(deadlines.PROBE_MS)
    await refuse(step, make(repeatable=False))
    await step.handle(make(), flow_helpers.answer)
    # One request finds out; the others do not pay for it.
    await refuse(step, make())


def test_later_stages_keep_what_they_take():
    times = deadlines.StageTimes()
    teach(times, "encode", 10.0)
    teach(times, "generate", 600.0)
    stages = ("encode", "generate")
    assertions.assert_that(
        times.stage_deadline(stages, 1000.0, 0.0), matchers.Equals(400.0)
    )
    # With too little time for all, the first stage still gets its part.
    assertions.assert_that(
        times.stage_deadline(stages, 305.0, 0.0), matchers.Equals(5.0)
    )
    assertions.assert_that(
        times.stage_deadline(stages[1:], 305.0, 0.0), matchers.Equals(305.0)
    )
