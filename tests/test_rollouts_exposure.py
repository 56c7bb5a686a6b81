"""How many requests all hosts send to a version that is not proven."""

import random

import pytest
from testtools import assertions
from testtools import matchers

from chervilshore.decisions.rollouts import exposure
from chervilshore.decisions.rollouts import records as rollout_records

LIMITS = rollout_records.ExposureLimits()
SEEDS = 20


class Fleet:
    """Hosts that send each request to the new version if they may."""

    def __init__(self, seed, count):
        self.rng = random.Random(seed)
        self.budgets = [
            exposure.ExposureBudget(LIMITS, count, True, self.rng)
            for _ in range(count)
        ]
        self.sent = 0
        self.exposed = 0

    def send(self, host, attempts=1, pipeline="report"):
        self.sent += 1
        for attempt in range(attempts):
            is_new = self.budgets[host].allows()
            self.budgets[host].record_sent(pipeline, is_new, attempt == 0)
            self.exposed += is_new

    def restart(self, host):
        self.budgets[host] = exposure.ExposureBudget(
            LIMITS, len(self.budgets), False, self.rng
        )

    def assert_within_limits(self):
        most = LIMITS.share * self.sent + LIMITS.slack
        assertions.assert_that(
            self.exposed, matchers.Not(matchers.GreaterThan(most))
        )


@pytest.fixture(params=[(3, 1), (84, 2), (370, 3)], ids=str)
def fleets(request):
    count, first = request.param
    return [Fleet(first * 1000 + seed, count) for seed in range(SEEDS)]


def test_hosts_with_a_request_a_second_stay_within_the_share(fleets):
    for fleet in fleets:
        for _ in range(60):
            for host in range(len(fleet.budgets)):
                fleet.send(host)
        fleet.assert_within_limits()


def test_hosts_with_few_requests_use_most_of_the_share():
    fleet = Fleet(1, 370)
    for _ in range(5):
        for host in range(370):
            fleet.send(host)
    assertions.assert_that(
        fleet.exposed, matchers.GreaterThan(0.7 * LIMITS.share * fleet.sent)
    )


def test_a_host_with_half_of_the_traffic_stays_within_the_share(fleets):
    for fleet in fleets:
        for _ in range(2000):
            fleet.send(0)
            fleet.send(fleet.rng.randrange(len(fleet.budgets)))
        fleet.assert_within_limits()


def test_hosts_that_start_anew_at_any_time_stay_within_the_share(fleets):
    for fleet in fleets:
        for number in range(6000):
            fleet.send(fleet.rng.randrange(len(fleet.budgets)))
            if number % 60 == 0:
                fleet.restart(fleet.rng.randrange(len(fleet.budgets)))
        fleet.assert_within_limits()


def test_all_hosts_that_start_anew_at_once_stay_within_the_share(fleets):
    for fleet in fleets:
        for _ in range(5):
            for _ in range(1000):
                fleet.send(fleet.rng.randrange(len(fleet.budgets)))
            for host in range(len(fleet.budgets)):
                fleet.restart(host)
        fleet.assert_within_limits()


def test_retries_count_but_earn_nothing(fleets):
    for fleet in fleets:
        for _ in range(2000):
            host = fleet.rng.randrange(len(fleet.budgets))
            fleet.send(host, attempts=3)
        fleet.assert_within_limits()


def test_a_rare_pipeline_gets_more_than_its_part_of_the_canary():
    rng = random.Random(5)
    budget = exposure.ExposureBudget(LIMITS, 3, True, rng)
    budget.fraction = 0.5
    used = {"common": 0, "rare": 0}
    for _ in range(5000):
        pipeline = "rare" if rng.random() < 0.1 else "common"
        is_new = budget.is_due(pipeline)
        budget.record_sent(pipeline, is_new, True)
        used[pipeline] += is_new
    assertions.assert_that(
        used["rare"] / budget.used, matchers.GreaterThan(0.3)
    )
    assertions.assert_that(used["rare"] / budget.used, matchers.LessThan(0.6))


def test_a_pipeline_without_requests_does_not_stop_the_canary():
    budget = exposure.ExposureBudget(LIMITS, 3, True, random.Random(5))
    budget.fraction = 0.5
    budget.record_sent("gone", False, True)
    for _ in range(1000):
        budget.record_sent("common", budget.is_due("common"), True)
    assertions.assert_that(budget.used, matchers.GreaterThan(45))


def test_a_rise_of_the_share_causes_no_burst():
    budget = exposure.ExposureBudget(LIMITS, 3, True, random.Random(5))
    used = 0
    for fraction, requests in ((0.1, 3000), (0.9, 100)):
        budget.fraction = fraction
        used = budget.used
        for _ in range(requests):
            budget.record_sent("common", budget.is_due("common"), True)
    assertions.assert_that(budget.used - used, matchers.LessThan(13))
