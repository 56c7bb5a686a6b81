"""Adaptive concurrency limits for the requests of a host."""

from testtools import assertions
from testtools import matchers

from chervilshore.decisions import adaptiveconcurrency
from lab import overload_bench
from lab import pool_model

POOLS = ("engines",)
OTHER = ("ledger",)


def admit_all(shed, count, pools=POOLS, priority=0, now=0.0):
    """Offer requests at the same time, and return how many are admitted."""
    return sum(not shed.admit(pools, priority, now) for _ in range(count))


def fill(shed, millis, carried, now=0.0, pools=POOLS, priority=5):
    """Overload a pool that serves `carried` requests at the same time."""
    running = 0
    waiting = 0
    for step in range(int(millis / 10.0)):
        now += 10.0
        # Each request takes 100 ms, so a tenth of them ends in each step.
        for _ in range(carried // 10 if running == carried else 0):
            shed.release(pools, priority, 100.0, now)
            running -= 1
        for _ in range(carried):
            if not shed.admit(pools, priority, now):
                shed.record_slot_request(pools[0], now)
                waiting += 1
        while waiting and running < carried:
            shed.record_slot_acquired(pools[0], 0.0, now)
            waiting -= 1
            running += 1
    return now, running, waiting


def test_the_queue_stays_short_and_the_pool_full():
    shed = adaptiveconcurrency.AdaptiveConcurrency()
    now, running, waiting = fill(shed, 5_000.0, carried=40)
    assertions.assert_that(running, matchers.Equals(40))
    # 40 are served in 100 ms, so 40 waiting stages wait for 100 ms.
    assertions.assert_that(waiting, matchers.GreaterThan(10))
    assertions.assert_that(waiting, matchers.LessThan(60))


def test_an_overloaded_pool_does_not_limit_other_pools():
    shed = adaptiveconcurrency.AdaptiveConcurrency()
    now, *_ = fill(shed, 5_000.0, carried=10)
    assertions.assert_that(
        shed.admit(POOLS, 5, now), matchers.GreaterThan(0.0)
    )
    assertions.assert_that(shed.admit(OTHER, 5, now), matchers.Equals(0.0))
    assertions.assert_that(
        shed.admit(POOLS + OTHER, 5, now), matchers.GreaterThan(0.0)
    )
    assertions.assert_that(
        shed.describe()["ledger"]["in_flight"], matchers.Equals(1)
    )


def test_urgent_requests_exceed_the_limit_before_others():
    shed = adaptiveconcurrency.AdaptiveConcurrency()
    now, *_ = fill(shed, 5_000.0, carried=40)
    first = admit_all(shed, 100, priority=0, now=now)
    last = admit_all(shed, 100, priority=9, now=now)
    assertions.assert_that(first, matchers.GreaterThan(39))
    # A small fraction of the limit is reserved for each class.
    assertions.assert_that(last, matchers.GreaterThan(0))
    assertions.assert_that(last, matchers.LessThan(10))


def test_refused_requests_get_successive_retry_times():
    shed = adaptiveconcurrency.AdaptiveConcurrency()
    now, *_ = fill(shed, 5_000.0, carried=10)
    waits = [shed.admit(POOLS, 5, now) for _ in range(5)]
    gaps = [later - sooner for sooner, later in zip(waits, waits[1:])]
    # 10 requests end in 100 ms, so a place becomes free every 10 ms.
    for gap in gaps:
        assertions.assert_that(gap, matchers.GreaterThan(8.0))
        assertions.assert_that(gap, matchers.LessThan(12.0))


def test_overload_is_shed_and_the_pool_stays_fully_used():
    settings = pool_model.ModelSettings(
        overload_bench.load, overload_bench.KINDS, endpoints=5, hosts=6
    )
    variant = overload_bench.make_variants()["fair, adaptive"]
    found = overload_bench.measure(
        settings, variant, overload_bench.OverloadPeriod()
    )
    assertions.assert_that(found.carried, matchers.GreaterThan(95.0))
    assertions.assert_that(found.late, matchers.LessThan(0.2))
    assertions.assert_that(found.prompt, matchers.GreaterThan(90.0))
    assertions.assert_that(found.after, matchers.GreaterThan(99.9))
