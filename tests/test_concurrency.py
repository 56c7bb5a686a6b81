"""The concurrency limit of an endpoint."""

import pytest
from testtools import assertions
from testtools import matchers

from chervilshore.decisions import concurrency
from chervilshore import records

OK = records.Outcome.OK


@pytest.fixture
def limit():
    return concurrency.Limit(2, 32, 0.0)


def _feed(limit, count, now, millis=10.0, in_use=None, instance="one"):
    for _ in range(count):
        used = limit.value if in_use is None else in_use
        sample = concurrency.Sample(((OK, millis),), instance)
        limit.record(sample, used, now)


def _warm(limit, now=2000.0):
    _feed(limit, 1000, now)
    assertions.assert_that(limit.warmth, matchers.Is(records.Warmth.WARM))


def test_the_limit_grows_in_steps_and_only_under_use(limit):
    _feed(limit, 1000, 2000.0, in_use=1)
    assertions.assert_that(limit.value, matchers.Equals(2))
    seen = []
    for _ in range(300):
        _feed(limit, 1, 2000.0)
        seen.append(limit.value)
    assertions.assert_that(seen, matchers.Equals(sorted(seen)))
    steps = [after / before for before, after in zip(seen, seen[1:])]
    assertions.assert_that(max(steps), matchers.LessThan(1.7))
    assertions.assert_that(seen[-1], matchers.Equals(32))


@pytest.mark.parametrize(
    "sample",
    [
        concurrency.Sample(cold=True),
        concurrency.Sample(((OK, 10.0),), "two"),
        concurrency.Sample(((records.Outcome.UNREACHED, 1.0),)),
        concurrency.Sample(((records.Outcome.BROKEN, 1.0),)),
        concurrency.Sample(((records.Outcome.BUSY, 1.0),) * 3),
        concurrency.Sample(((OK, 100.0),) * 5),
    ],
)
def test_a_sign_of_a_cold_start_resets_to_the_cold_bound(limit, sample):
    _warm(limit)
    assertions.assert_that(limit.record(sample, 32, 3000.0), matchers.Is(True))
    assertions.assert_that(limit.value, matchers.Equals(2))
    assertions.assert_that(limit.warmth, matchers.Is(records.Warmth.COLD))


def test_slow_attempts_with_a_fast_one_between_are_no_sign(limit):
    _warm(limit)
    _feed(limit, 4, 3000.0, millis=100.0)
    _feed(limit, 1, 3000.0)
    _feed(limit, 4, 3000.0, millis=100.0)
    assertions.assert_that(limit.value, matchers.GreaterThan(16))


def test_a_late_sample_of_an_earlier_process_is_no_restart(limit):
    _warm(limit)
    _feed(limit, 1, 3000.0, instance="two")
    _feed(limit, 1000, 5000.0, instance="two")
    _feed(limit, 1, 5000.0, instance="one")
    assertions.assert_that(limit.value, matchers.Equals(32))


def _measure_cold_period(limit, now):
    """Return the milliseconds until the limit grows."""
    start = now
    while limit.value == 2:
        now += 100.0
        _feed(limit, 4, now)
    return now - start


def test_each_cold_start_lengthens_the_period_without_growth(limit):
    now = 2000.0
    periods = []
    for _ in range(4):
        _feed(limit, 1000, now)
        limit.record(concurrency.Sample(cold=True), 32, now)
        periods.append(_measure_cold_period(limit, now))
        now += periods[-1]
    for before, after in zip(periods, periods[1:]):
        assertions.assert_that(after, matchers.GreaterThan(1.5 * before))


def test_a_broken_call_to_the_same_process_does_not_stop_growth(limit):
    _warm(limit)
    broken = ((records.Outcome.BROKEN, 1.0),)
    limit.record(concurrency.Sample(broken, "one"), 32, 3000.0)
    assertions.assert_that(limit.value, matchers.Equals(2))
    _feed(limit, 4, 3001.0)
    assertions.assert_that(limit.value, matchers.GreaterThan(2))


def test_elevated_latencies_decrease_the_limit(limit):
    _warm(limit)
    _feed(limit, 200, 3000.0, millis=30.0)
    assertions.assert_that(limit.value, matchers.LessThan(32))


def test_the_limit_falls_to_the_cold_bound_without_use(limit):
    _warm(limit)
    _feed(limit, 1, 2000.0 + 10 * concurrency.IDLE_HALVING_MS, in_use=1)
    assertions.assert_that(limit.value, matchers.Equals(2))
