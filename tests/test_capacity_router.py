"""Routing by learnt capacity, beside routing by a host's own counts.

Each test names the load that it answers. Hosts and engines are those of
capacity_helpers; bounds come from what callers need: nearly all prompts in
time while the engines together could serve them.
"""

import random
import statistics

import pytest
from testtools import assertions
from testtools import matchers

from tests import capacity_helpers as helpers

UNEVEN = 2.2
"""How much slower the slow quarter of the engines is."""

USUAL_RATE = 45.0
"""Prompts a second that come to each of four domains."""

DAY_MS = 11_000.0

SEEDS = (1, 2, 3)

TIMELY = 0.98
"""Share of prompts that must be timely while there is room for all."""


def slow_quarter(index, now, load):
    return UNEVEN if index % 4 == 0 else 1.0


def disturbed_by(changes_per_s):
    """Return engines whose neighbours slow them for a seventh of the time."""

    def slow(index, now, load):
        moment = int(now * changes_per_s / 1000.0)
        rng = random.Random(index * 100_003 + moment)
        disturbed = 2.5 if rng.random() < 0.15 else 1.0
        return disturbed * slow_quarter(index, now, load)

    return slow


def slow_when_half_full(index, now, load):
    """Return the slowness of engines that bear a quarter of their slots."""
    return 1.0 + 0.5 * max(0, load - 6) if index % 3 == 0 else 1.0


def constant(domain, now):
    return USUAL_RATE


def play(slow=slow_quarter, rate=constant, until_ms=DAY_MS, **options):
    return helpers.Fleet(slow, rate, **options).run(until_ms)


def compare(slow=slow_quarter, rate=constant, **options):
    """Return the share of timely large prompts before and now, and p99s."""
    before = play(slow, rate, learns=False, **options)
    now = play(slow, rate, **options)
    return before.judge(True), now.judge(True)


def test_uneven_speeds():
    earlier = play(learns=False)
    fleet = play()
    timely, p99 = fleet.judge(True)
    timely_before, p99_before = earlier.judge(True)
    assertions.assert_that(timely, matchers.GreaterThan(TIMELY))
    assertions.assert_that(timely, matchers.GreaterThan(timely_before))
    assertions.assert_that(p99, matchers.LessThan(p99_before))
    # Slow engines serve what still makes its objective there.
    by_slow = sum(
        engine.sent
        for name, engine in fleet.engines.items()
        if int(name[1:]) % 4 == 0
    )
    assertions.assert_that(
        by_slow / len(fleet.prompts), matchers.GreaterThan(0.25 / UNEVEN / 2)
    )


@pytest.mark.parametrize("changes_per_s", (1.7, 10.0))
def test_neighbours_that_change_many_times_a_second(changes_per_s):
    before, now = compare(disturbed_by(changes_per_s), rate=lambda *_: 28.0)
    assertions.assert_that(now[0], matchers.GreaterThan(0.95))
    assertions.assert_that(now[0], matchers.GreaterThan(before[0]))
    assertions.assert_that(now[1], matchers.LessThan(before[1]))


@pytest.mark.parametrize("hosts", (27, 81, 195, 370))
def test_any_number_of_hosts(hosts):
    before, now = compare(hosts=hosts, until_ms=8000.0)
    assertions.assert_that(now[0], matchers.GreaterThan(TIMELY))
    assertions.assert_that(now[0], matchers.GreaterThan(before[0]))


@pytest.mark.parametrize("hosts", (3, 9, 24))
def test_few_hosts_route_as_before(hosts):
    before = play(learns=False, hosts=hosts, until_ms=3000.0)
    now = play(hosts=hosts, until_ms=3000.0)
    assertions.assert_that(
        [engine.sent for engine in now.engines.values()],
        matchers.Equals([engine.sent for engine in before.engines.values()]),
    )


@pytest.mark.parametrize("report_ms", (100.0, 500.0, 1000.0))
def test_stale_reports(report_ms):
    before, now = compare(report_ms=report_ms)
    assertions.assert_that(now[0], matchers.GreaterThan(0.97))
    assertions.assert_that(now[0], matchers.GreaterThan(before[0]))


def test_domain_without_reports():
    """It goes on with what it saw itself, at least as well as before."""

    def is_cut(domain, now):
        return domain == "north" and now > 3000.0

    shares = []
    for learns in (False, True):
        fleet = play(learns=learns, is_cut=is_cut)
        of_domain = [
            one.is_timely
            for one in fleet.prompts
            if one.host.domain == "north" and 4000.0 < one.sent_at < 8000.0
        ]
        shares.append(statistics.mean(of_domain))
    assertions.assert_that(shares[1], matchers.GreaterThan(shares[0]))


def test_burst_of_large_prompts():
    def burst(domain, now):
        return USUAL_RATE * (1.6 if 4000.0 < now < 6000.0 else 0.8)

    pairs = [compare(rate=burst, large_share=0.5, seed=seed) for seed in SEEDS]
    before = statistics.mean(timely for (timely, _), _ in pairs)
    now = statistics.mean(timely for _, (timely, _) in pairs)
    assertions.assert_that(now, matchers.GreaterThan(0.95))
    assertions.assert_that(now, matchers.GreaterThan(before))


def test_engines_that_slow_down_long_before_they_are_full():
    before, now = compare(slow_when_half_full)
    assertions.assert_that(now[0], matchers.GreaterThan(0.95))
    assertions.assert_that(now[0], matchers.GreaterThan(before[0]))


def measure_swings(fleet):
    """Return the mean deviation of engines' loads while the fleet runs."""
    loads = [
        len(engine.waiting) + len(engine.running)
        for engine in fleet.engines.values()
    ]
    fleet.swings.append(statistics.pstdev(loads))


@pytest.mark.parametrize("report_ms", (100.0, 1000.0))
def test_demand_in_antiphase_does_not_oscillate(report_ms):
    """Two domains, each busy while the other one is not."""

    def antiphase(domain, now):
        busy = (now // 1500.0) % 2 == domain
        return USUAL_RATE * (3.0 if busy else 1.0)

    swings = []
    for learns in (False, True):
        fleet = helpers.Fleet(
            slow_quarter,
            antiphase,
            learns=learns,
            domains=2,
            report_ms=report_ms,
        )
        fleet.swings = []
        fleet.run(DAY_MS, measure_swings)
        swings.append(statistics.mean(fleet.swings))
    assertions.assert_that(swings[1], matchers.LessThan(swings[0]))


def test_new_engine_is_found_out_without_a_stampede():
    fleet = helpers.Fleet(slow_quarter, constant)
    fleet.run(5000.0)
    added = fleet.add_engine(45, lambda now, load: 1.0)
    fair = 4 * USUAL_RATE / len(fleet.engines)
    fleet.run(6000.0)
    assertions.assert_that(added.sent, matchers.LessThan(3.0 * fair))
    fleet.run(9000.0)
    assertions.assert_that(added.sent, matchers.GreaterThan(1.5 * fair))


@pytest.mark.parametrize("index", (1, 2))
def test_engine_that_becomes_slow_and_recovers(index):
    """It is left within two seconds and used again after as many."""

    def slow(number, now, load):
        return 5.0 if number == index and 4000.0 < now < 8000.0 else 1.0

    fleet = helpers.Fleet(slow, constant)
    engine = fleet.engines[f"e{index}"]
    sent = {}
    for second in (4, 6, 8, 10, 14):
        fleet.run(1000.0 * second)
        sent[second] = engine.sent
    usual = 4 * USUAL_RATE / len(fleet.engines)
    assertions.assert_that(
        (sent[8] - sent[6]) / 2.0, matchers.LessThan(0.5 * usual)
    )
    assertions.assert_that(
        (sent[14] - sent[10]) / 4.0, matchers.GreaterThan(0.5 * usual)
    )
