"""Admission: team limits and shedding in the filter."""

import asyncio

import pytest
from testtools import assertions
from testtools import matchers

from chervilshore.decisions import limits
from chervilshore.decisions import shedding
from chervilshore import exceptions
from chervilshore.filters import admission
from chervilshore import results
from chervilshore.rules import model
from tests import flow_helpers


class Full(shedding.NoShedding):
    """Takes nothing on."""

    def admit(self, pools, priority, now):
        return 70.0


def make_exchange(clock, **limit):
    exchange = flow_helpers.make_exchange(clock.now())
    team = model.Team(exchange.team, **limit)
    exchange.rules = model.Rules(teams={team.name: team})
    return exchange


async def refuse(step, exchange):
    with pytest.raises(exceptions.RefusalError) as caught:
        await step.handle(exchange, flow_helpers.answer)
    return caught.value


async def test_rate_is_refused_with_a_true_time(clock):
    step = admission.AdmissionFilter(
        clock, limits.EqualSplitLimits(), shedding.NoShedding()
    )

    def make():
        return make_exchange(clock, rate=10.0, burst=2.0)

    for _ in range(2):
        await step.handle(make(), flow_helpers.answer)
    errors = [await refuse(step, make()) for _ in range(3)]
    assertions.assert_that(
        [error.code for error in errors],
        matchers.AllMatch(matchers.Is(results.Code.TEAM_LIMIT)),
    )
    waits = [error.retry_after_ms for error in errors]
    assertions.assert_that(waits, matchers.Equals([100.0, 200.0, 300.0]))
    for _ in waits:
        clock.set(clock.now() + 100.0)
        await step.handle(make(), flow_helpers.answer)


async def test_concurrency_is_held_until_the_answer(clock):
    step = admission.AdmissionFilter(
        clock, limits.EqualSplitLimits(), shedding.NoShedding()
    )
    ended = asyncio.Event()

    async def wait(exchange):
        await ended.wait()
        return await flow_helpers.answer(exchange)

    exchange = make_exchange(clock, concurrency=1)
    running = asyncio.ensure_future(step.handle(exchange, wait))
    await clock.advance(1)
    await refuse(step, make_exchange(clock, concurrency=1))
    ended.set()
    await running
    await step.handle(make_exchange(clock, concurrency=1), flow_helpers.answer)


async def test_what_the_host_sheds_costs_the_team_nothing(clock):
    shares = limits.EqualSplitLimits()
    full = admission.AdmissionFilter(clock, shares, Full())
    limit = {"rate": 0.0, "burst": 1.0, "concurrency": 1}
    error = await refuse(full, make_exchange(clock, **limit))
    assertions.assert_that(error.code, matchers.Is(results.Code.OVERLOADED))
    assertions.assert_that(error.retry_after_ms, matchers.Equals(70.0))
    free = admission.AdmissionFilter(clock, shares, shedding.NoShedding())
    await free.handle(make_exchange(clock, **limit), flow_helpers.answer)
