"""Adaptive bounds on what a host takes on."""

from testtools import assertions
from testtools import matchers

from chervilshore.decisions import adaptiveconcurrency
from lab import overload_bench
from lab import pool_model

POOLS = ("engines",)
OTHER = ("ledger",)


def admit_all(shed, count, pools=POOLS, priority=0, now=0.0):
    """Offer requests at one moment, and count the admitted ones."""
    return sum(not shed.admit(pools, priority, now) for _ in range(count))


def fill(shed, millis, carried, now=0.0, pools=POOLS, priority=5):
    """Offer too much to a pool that carries some requests at a time."""
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
    # 40 a 100 ms are served, so 40 wait for 100 ms.
    assertions.assert_that(waiting, matchers.GreaterThan(10))
    assertions.assert_that(waiting, matchers.LessThan(60))


def test_one_overloaded_pool_leaves_the_others_alone():
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


def test_the_first_class_passes_the_last_one():
    shed = adaptiveconcurrency.AdaptiveConcurrency()
    now, *_ = fill(shed, 5_000.0, carried=40)
    first = admit_all(shed, 100, priority=0, now=now)
    last = admit_all(shed, 100, priority=9, now=now)
    assertions.assert_that(first, matchers.GreaterThan(39))
    # Each class keeps a small part, so none is shut out altogether.
    assertions.assert_that(last, matchers.GreaterThan(0))
    assertions.assert_that(last, matchers.LessThan(10))


def test_refused_requests_are_told_moments_one_after_the_other():
    shed = adaptiveconcurrency.AdaptiveConcurrency()
    now, *_ = fill(shed, 5_000.0, carried=10)
    waits = [shed.admit(POOLS, 5, now) for _ in range(5)]
    gaps = [later - sooner for sooner, later in zip(waits, waits[1:])]
    # 10 end in 100 ms, so a place is free every 10 ms.
    for gap in gaps:
        assertions.assert_that(gap, matchers.GreaterThan(8.0))
        assertions.assert_that(gap, matchers.LessThan(12.0))


def test_twice_the_capacity_is_carried_and_not_queued():
    shape = pool_model.Shape(
        overload_bench.load, overload_bench.KINDS, endpoints=5, hosts=6
    )
    way = overload_bench.make_ways()["fair, adaptive"]
    found = overload_bench.measure(shape, way, overload_bench.Span())
    assertions.assert_that(found.carried, matchers.GreaterThan(95.0))
    assertions.assert_that(found.late, matchers.LessThan(0.2))
    assertions.assert_that(found.prompt, matchers.GreaterThan(90.0))
    assertions.assert_that(found.after, matchers.GreaterThan(99.9))
