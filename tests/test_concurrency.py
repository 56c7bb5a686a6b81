"""The limit of an endpoint."""

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
        limit.note(sample, used, now)


def _warm(limit, now=2000.0):
    _feed(limit, 1000, now)
    assertions.assert_that(limit.warmth, matchers.Is(records.Warmth.WARM))


def test_it_rises_in_steps_and_only_under_use(limit):
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
def test_a_sign_of_a_cold_start_brings_the_cold_bound(limit, sample):
    _warm(limit)
    assertions.assert_that(limit.note(sample, 32, 3000.0), matchers.Is(True))
    assertions.assert_that(limit.value, matchers.Equals(2))
    assertions.assert_that(limit.warmth, matchers.Is(records.Warmth.COLD))


def test_one_slow_attempt_is_no_sign(limit):
    _warm(limit)
    _feed(limit, 4, 3000.0, millis=100.0)
    _feed(limit, 1, 3000.0)
    _feed(limit, 4, 3000.0, millis=100.0)
    assertions.assert_that(limit.value, matchers.GreaterThan(16))


def test_a_late_word_of_a_former_process_is_no_restart(limit):
    _warm(limit)
    _feed(limit, 1, 3000.0, instance="two")
    _feed(limit, 1000, 5000.0, instance="two")
    _feed(limit, 1, 5000.0, instance="one")
    assertions.assert_that(limit.value, matchers.Equals(32))


def _find_rest(limit, now):
    """Tell for how long the limit does not rise."""
    begun = now
    while limit.value == 2:
        now += 100.0
        _feed(limit, 4, now)
    return now - begun


def test_a_flapping_endpoint_rests_longer_each_time(limit):
    now = 2000.0
    rests = []
    for _ in range(4):
        _feed(limit, 1000, now)
        limit.note(concurrency.Sample(cold=True), 32, now)
        rests.append(_find_rest(limit, now))
        now += rests[-1]
    for before, after in zip(rests, rests[1:]):
        assertions.assert_that(after, matchers.GreaterThan(1.5 * before))


def test_a_broken_call_to_the_same_process_costs_no_rest(limit):
    _warm(limit)
    broken = ((records.Outcome.BROKEN, 1.0),)
    limit.note(concurrency.Sample(broken, "one"), 32, 3000.0)
    assertions.assert_that(limit.value, matchers.Equals(2))
    _feed(limit, 4, 3001.0)
    assertions.assert_that(limit.value, matchers.GreaterThan(2))


def test_strained_latencies_make_it_give_way(limit):
    _warm(limit)
    _feed(limit, 200, 3000.0, millis=30.0)
    assertions.assert_that(limit.value, matchers.LessThan(32))


def test_an_unused_endpoint_loses_its_limit(limit):
    _warm(limit)
    _feed(limit, 1, 2000.0 + 10 * concurrency.IDLE_MS, in_use=1)
    assertions.assert_that(limit.value, matchers.Equals(2))
