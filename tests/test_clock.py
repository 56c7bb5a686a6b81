"""Tests of the clocks."""

import asyncio

import pytest
from testtools import assertions
from testtools import matchers

from chervilshore import clock as clocks


async def test_manual_clock_wakes_sleepers_in_order_of_time(clock):
    woken = []

    async def sleep(millis):
        await clock.sleep(millis)
        woken.append((millis, clock.now()))

    tasks = [asyncio.ensure_future(sleep(ms)) for ms in (30, 10, 20)]
    await clock.advance(25)
    assertions.assert_that(woken, matchers.Equals([(10, 10), (20, 20)]))
    await clock.advance(5)
    await asyncio.gather(*tasks)
    assertions.assert_that(woken[-1], matchers.Equals((30, 30)))


async def test_wait_for_raises_and_cancels_on_timeout(clock):
    never = asyncio.get_running_loop().create_future()
    task = asyncio.ensure_future(clocks.wait_for(clock, never, 50))
    await clock.advance(50)
    with pytest.raises(TimeoutError):
        await task
    assertions.assert_that(never.cancelled(), matchers.Is(True))
