"""Whether a version is found good or bad, by like requests."""

import math
import random

import pytest
from testtools import assertions
from testtools import matchers

from chervilshore.decisions.rollouts import evidence as evidences
from chervilshore.decisions.rollouts import records as rollout_records
from chervilshore.decisions.rollouts import trends
from chervilshore.decisions.rollouts import verdict as verdicts
from chervilshore import records

CANARY = rollout_records.Phase.CANARY
MOVING = rollout_records.Phase.MOVING
SWITCHED = rollout_records.Phase.SWITCHED
BAD = verdicts.Finding.BAD
GOOD = verdicts.Finding.GOOD
OLD_PER_S = 60
NEW_PER_S = 6
CELLS = 6

MAX_DELAY_SECONDS = 2
"""Seconds after the fiftieth bad answer; no host may send later than 5 s after
it, of which the reports and the hosts' own view need some."""


class Pool:
    """Responses of two versions; `spoil` tells how an attempt does worse."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.judge = verdicts.Judge()
        self.second = 0
        self.bad_answers = 0
        self.fiftieth_at = math.inf

    def play(self, seconds, spoil, phase=CANARY, old=OLD_PER_S, new=NEW_PER_S):
        """Return the verdict after some seconds, or as soon as it is bad.

        Parameters
        ----------
        seconds : int
            The seconds.
        spoil : callable
            Takes the key, and returns the chance of a failure and the factor
            of the latency.
        """
        verdict = verdicts.Verdict()
        for _ in range(seconds):
            self.second += 1
            own = evidences.OwnEvidence()
            for number in range(old + new):
                self.end_one(own, number < old, spoil)
            now = 1000.0 * self.second
            self.judge.add(own.list_tallies(), now)
            verdict = self.judge.judge(phase, now)
            if verdict.finding is BAD:
                break
        return verdict

    def end_one(self, own, is_old, spoil):
        cell = evidences.OLD_CELL if is_old else self.rng.randrange(CELLS)
        pipeline = self.rng.choice(("contract", "report", "suggest"))
        key = evidences.Key(pipeline, self.rng.choice("abc"), 0, cell)
        chance, factor = spoil(key)
        failed = self.rng.random() < chance
        self.bad_answers += not is_old and (failed or factor > 1.0)
        if self.bad_answers == 50:
            self.fiftieth_at = min(self.fiftieth_at, self.second)
        outcome = records.Outcome.REJECTED if failed else records.Outcome.OK
        millis = 200.0 * factor * self.rng.lognormvariate(0.0, 0.4)
        own.record_end(key, outcome, millis)


@pytest.fixture(params=range(5))
def pool(request):
    return Pool(request.param)


def spoil_none(key):
    return 0.002, 1.0


def make_spoil(chance=0.0, factor=1.0, pipelines=()):
    """Spoil the new version."""

    def spoil(key):
        if key.cell == evidences.OLD_CELL:
            return spoil_none(key)
        if pipelines and key.pipeline not in pipelines:
            return spoil_none(key)
        return max(0.002, chance), factor

    return spoil


def assert_finding(verdict, finding):
    assertions.assert_that(
        verdict.finding, matchers.Equals(finding), verdict.reason
    )


def test_a_good_version_is_found_good(pool):
    assert_finding(pool.play(120, spoil_none), GOOD)


@pytest.mark.parametrize(
    "spoil",
    [
        make_spoil(chance=0.1),
        make_spoil(chance=1.0),
        make_spoil(factor=2.0),
        make_spoil(chance=1.0, pipelines=["contract"]),
        make_spoil(factor=4.0, pipelines=["contract"]),
    ],
    ids=["fails", "fails always", "slow", "fails route", "slow route"],
)
def test_a_bad_version_is_found_soon_after_its_fiftieth_bad_answer(
    pool, spoil
):
    verdict = pool.play(120, spoil)
    assert_finding(verdict, BAD)
    assertions.assert_that(
        pool.second - pool.fiftieth_at,
        matchers.Not(matchers.GreaterThan(MAX_DELAY_SECONDS)),
    )


def test_a_version_that_fails_5_percent_is_found(pool):
    assert_finding(pool.play(120, make_spoil(chance=0.05)), BAD)


def test_a_version_that_turns_bad_later_is_found_soon(pool):
    assert_finding(pool.play(120, spoil_none), GOOD)
    verdict = pool.play(15, make_spoil(chance=0.5))
    assert_finding(verdict, BAD)


def test_a_version_that_turns_slow_under_the_moved_load_is_found(pool):
    pool.play(60, spoil_none)
    spoil = make_spoil(factor=6.0)
    assert_finding(pool.play(10, spoil, MOVING, old=6, new=54), BAD)


def test_a_version_that_turns_bad_after_the_switch_is_found(pool):
    pool.play(60, spoil_none)
    pool.play(10, spoil_none, MOVING, old=30, new=30)
    spoil = make_spoil(chance=0.5)
    assert_finding(pool.play(10, spoil, SWITCHED, old=0, new=60), BAD)


def test_errors_of_callers_after_the_switch_are_not_the_fault(pool):
    pool.play(20, spoil_none)
    verdict = pool.play(30, lambda key: (0.1, 1.0), SWITCHED, old=0, new=60)
    assertions.assert_that(verdict.finding, matchers.Not(matchers.Is(BAD)))


@pytest.mark.parametrize("phase", [CANARY, MOVING])
def test_errors_of_callers_are_not_the_fault_of_the_version(pool, phase):
    pool.play(20, spoil_none)
    verdict = pool.play(60, lambda key: (0.3, 1.0), phase)
    assertions.assert_that(verdict.finding, matchers.Not(matchers.Is(BAD)))


def test_an_outage_of_the_pool_is_not_the_fault_of_the_version(pool):
    pool.play(20, spoil_none)
    verdict = pool.play(30, lambda key: (1.0, 1.0))
    assertions.assert_that(verdict.finding, matchers.Not(matchers.Is(BAD)))


def test_a_bad_domain_is_not_the_fault_of_the_version(pool):
    pool.play(20, spoil_none)
    verdict = pool.play(
        60, lambda key: (0.6, 5.0) if key.domain == "b" else (0.0, 1.0)
    )
    assertions.assert_that(verdict.finding, matchers.Not(matchers.Is(BAD)))


def test_a_bad_domain_after_the_switch_is_not_the_fault(pool):
    pool.play(20, spoil_none)
    verdict = pool.play(
        15,
        lambda key: (0.8, 1.0) if key.domain == "b" else (0.0, 1.0),
        SWITCHED,
        old=0,
        new=60,
    )
    assertions.assert_that(verdict.finding, matchers.Not(matchers.Is(BAD)))


def test_one_bad_endpoint_is_not_the_fault_of_the_version(pool):
    verdict = pool.play(
        60, lambda key: (0.8, 1.0) if key.cell == 2 else (0.002, 1.0)
    )
    assertions.assert_that(verdict.finding, matchers.Not(matchers.Is(BAD)))


def test_one_slow_endpoint_is_not_the_fault_of_the_version(pool):
    verdict = pool.play(60, lambda key: (0.0, 6.0 if key.cell == 2 else 1.0))
    assertions.assert_that(verdict.finding, matchers.Not(matchers.Is(BAD)))


def test_more_load_for_all_is_not_the_fault_of_the_version(pool):
    pool.play(20, spoil_none)
    verdict = pool.play(30, lambda key: (0.0, 4.0), old=180, new=18)
    assertions.assert_that(verdict.finding, matchers.Not(matchers.Is(BAD)))


def test_more_load_after_the_switch_is_not_the_fault_of_the_version(pool):
    pool.play(20, spoil_none)
    verdict = pool.play(15, lambda key: (0.0, 6.0), SWITCHED, old=0, new=180)
    assertions.assert_that(verdict.finding, matchers.Not(matchers.Is(BAD)))


def test_surprise_bounds_the_chance_of_a_sum():
    rng = random.Random(2)
    number, chance = 60, 0.2
    sums = [
        sum(rng.random() < chance for _ in range(number))
        for _ in range(20_000)
    ]
    for limit in (1.0, 2.0, 4.0):
        above = sum(
            trends.measure_surprise(one, number * chance, number) >= limit
            for one in sums
        )
        assertions.assert_that(
            above / len(sums), matchers.LessThan(2.718281828**-limit)
        )
