"""Tests of the admission filter: team limits and load shedding."""

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


class ShedEverything(shedding.NoShedding):
    """Refuses every request."""

    def admit(self, pools, priority, now):
        return 70.0


def make_exchange(clock, **limit):
    exchange = flow_helpers.make_exchange(clock.now())
    team = model.Team(exchange.team, **limit)
    exchange.rules = model.Rules(teams={team.name: team})
    return exchange


async def refuse(admission_filter, exchange):
    with pytest.raises(exceptions.RefusalError) as caught:
        await admission_filter.handle(exchange, flow_helpers.answer)
    return caught.value


async def test_rate_limit_refuses_with_time_of_the_next_token(clock):
    admission_filter = admission.AdmissionFilter(
        clock, limits.EqualSplitLimits(), shedding.NoShedding()
    )

    def make():
        return make_exchange(clock, rate=10.0, burst=2.0)

    for _ in range(2):
        await admission_filter.handle(make(), flow_helpers.answer)
    errors = [await refuse(admission_filter, make()) for _ in range(3)]
    assertions.assert_that(
        [error.code for error in errors],
        matchers.AllMatch(matchers.Is(results.Code.TEAM_LIMIT)),
    )
    waits = [error.retry_after_ms for error in errors]
    assertions.assert_that(waits, matchers.Equals([100.0, 200.0, 300.0]))
    for _ in waits:
        clock.set(clock.now() + 100.0)
        await admission_filter.handle(make(), flow_helpers.answer)


async def test_concurrency_limit_counts_requests_until_they_end(clock):
    admission_filter = admission.AdmissionFilter(
        clock, limits.EqualSplitLimits(), shedding.NoShedding()
    )
    ended = asyncio.Event()

    async def wait(exchange):
        await ended.wait()
        return await flow_helpers.answer(exchange)

    exchange = make_exchange(clock, concurrency=1)
    running = asyncio.ensure_future(admission_filter.handle(exchange, wait))
    await clock.advance(1)
    await refuse(admission_filter, make_exchange(clock, concurrency=1))
    ended.set()
    await running
    await admission_filter.handle(
        make_exchange(clock, concurrency=1), flow_helpers.answer
    )


async def test_shed_request_does_not_count_towards_team_limits(clock):
    team_limits = limits.EqualSplitLimits()
    full_filter = admission.AdmissionFilter(
        clock, team_limits, ShedEverything()
    )
    limit = {"rate": 0.0, "burst": 1.0, "concurrency": 1}
    error = await refuse(full_filter, make_exchange(clock, **limit))
    assertions.assert_that(error.code, matchers.Is(results.Code.OVERLOADED))
    assertions.assert_that(error.retry_after_ms, matchers.Equals(70.0))
    idle_filter = admission.AdmissionFilter(
        clock, team_limits, shedding.NoShedding()
    )
    await idle_filter.handle(
        make_exchange(clock, **limit), flow_helpers.answer
    )
