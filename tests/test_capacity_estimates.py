"""What is learnt of an endpoint: observations, speeds, limits, estimates."""

import math
import random

from testtools import assertions
from testtools import matchers

from chervilshore.decisions.capacity import estimates
from chervilshore.decisions.capacity import limits
from chervilshore.decisions.capacity import observations
from chervilshore.decisions.capacity import speeds
from tests import flow_helpers

INTERVAL_MS = 250.0
START_MS = 40.0
TOKEN_MS = 0.01
PAUSE_MS = 35.0


def make_flight(sent_at=0.0, read_tokens=1000, endpoint="e1"):
    return observations.Flight("r1", endpoint, read_tokens, 0, 100.0, sent_at)


def make_seen(endpoint, slowness=1.0, tokens=4000, **fields):
    """Return what is seen of an endpoint that reads and writes a little."""
    return observations.Observation(
        endpoint,
        running=2,
        pauses=12,
        pauses_ms=round(12 * PAUSE_MS * slowness),
        firsts=1,
        firsts_ms=round((START_MS + TOKEN_MS * tokens) * slowness),
        firsts_tokens=tokens,
        **fields,
    )


def test_flight_is_counted_once():
    flights = observations.Flights()
    flight = make_flight()
    flights.add(flight)
    (seen,) = flights.collect()
    assertions.assert_that(
        (seen.waiting, seen.waiting_tokens, seen.firsts),
        matchers.Equals((1, 1000, 0)),
    )
    flight.record_events(1, 80.0)
    flight.record_events(4, 200.0)
    (seen,) = flights.collect()
    assertions.assert_that(
        seen,
        matchers.Equals(
            observations.Observation(
                "e1",
                running=1,
                pauses=3,
                pauses_ms=120,
                firsts=1,
                firsts_ms=80,
                firsts_tokens=1000,
            )
        ),
    )
    flight.record_events(5, 230.0)
    flights.end(flight)
    (seen,) = flights.collect()
    assertions.assert_that(
        seen, matchers.Equals(observations.Observation("e1", 0, 0, 0, 1, 30))
    )
    assertions.assert_that(flights.collect(), matchers.Equals(()))
    assertions.assert_that(flight.longest_pause_ms, matchers.Equals(120.0))


def test_rejected_flight_is_reported():
    flights = observations.Flights()
    flight = make_flight()
    flights.add(flight)
    flights.end(flight, rejected=True)
    (seen,) = flights.collect()
    assertions.assert_that(
        seen, matchers.Equals(observations.Observation("e1", rejections=1))
    )


def test_reports_sum_sources_and_forget_silent_ones():
    reports = observations.Reports(2000.0)
    reports.record("a", [make_seen("e1")], 0.0)
    reports.record("b", [make_seen("e1"), make_seen("e2")], 1500.0)
    seen = {one.endpoint: one for one in reports.collect(1500.0)}
    assertions.assert_that(
        (seen["e1"].running, seen["e1"].pauses, seen["e2"].running),
        matchers.Equals((4, 24, 2)),
    )
    # Counts are handed out once; what is in flight lasts until it is old.
    seen = {one.endpoint: one for one in reports.collect(2500.0)}
    assertions.assert_that(
        (seen["e1"].running, seen["e1"].pauses), matchers.Equals((2, 0))
    )
    assertions.assert_that(reports.collect(4000.0), matchers.Equals(()))
    assertions.assert_that(reports.is_empty, matchers.Is(True))


def test_speeds_compare_prompts_of_different_sizes_fairly():
    """An endpoint with large prompts is no slower than one with small."""
    known = speeds.Speeds()
    rng = random.Random(3)
    for step in range(80):
        seen = tuple(
            make_seen(name, slowness, int(rng.expovariate(1.0 / mean)))
            for name, slowness, mean in (
                ("small", 1.0, 500),
                ("large", 1.0, 20_000),
                ("slow", 2.2, 4000),
            )
        )
        known.record(seen, step * INTERVAL_MS)
    now = 80 * INTERVAL_MS
    small, large, slow = (
        known.recent(name, now) for name in ("small", "large", "slow")
    )
    assertions.assert_that(
        large / small,
        matchers.MatchesAll(
            matchers.GreaterThan(0.8), matchers.LessThan(1.25)
        ),
    )
    assertions.assert_that(
        slow / small,
        matchers.MatchesAll(matchers.GreaterThan(1.7), matchers.LessThan(2.7)),
    )


def test_speed_follows_a_change_within_two_seconds():
    known = speeds.Speeds()
    names = [f"e{index}" for index in range(9)]

    def play(start, end, slowness):
        for step in range(start, end):
            seen = [make_seen(name) for name in names]
            seen[0] = make_seen("e0", slowness)
            known.record(tuple(seen), step * INTERVAL_MS)
        return known.recent("e0", end * INTERVAL_MS)

    assertions.assert_that(play(0, 80, 1.0), matchers.LessThan(1.2))
    assertions.assert_that(play(80, 88, 3.0), matchers.GreaterThan(2.0))
    assertions.assert_that(play(88, 96, 1.0), matchers.LessThan(1.7))


def play_limit(limit, pause_of, steps, in_flight=None, start=0):
    """Let an endpoint run as many requests as its limit, or fewer."""
    for step in range(start, start + steps):
        running = round(limit.limit if in_flight is None else in_flight)
        seen = observations.Observation(
            "e1",
            running=running,
            pauses=4 * running,
            pauses_ms=round(4 * running * pause_of(running)),
        )
        limit.record(seen, 24, step * INTERVAL_MS)
    return limit.limit


def test_limit_grows_while_pauses_stay_short():
    limit = limits.EndpointLimit()
    found = play_limit(limit, lambda running: PAUSE_MS + running, 60)
    assertions.assert_that(found, matchers.Equals(24.0))


def test_limit_stays_where_an_endpoint_slows_down_before_it_is_full():
    limit = limits.EndpointLimit()
    found = play_limit(
        limit, lambda running: PAUSE_MS * (1 + max(0, running - 6)), 200
    )
    assertions.assert_that(
        found,
        matchers.MatchesAll(
            matchers.GreaterThan(4.0), matchers.LessThan(10.0)
        ),
    )


def test_limit_of_an_idle_endpoint_is_not_raised():
    limit = limits.EndpointLimit()
    found = play_limit(limit, lambda running: PAUSE_MS, 50, in_flight=1)
    assertions.assert_that(found, matchers.Equals(limits.FIRST_LIMIT))


def test_rejections_lower_the_limit():
    limit = limits.EndpointLimit()
    play_limit(limit, lambda running: PAUSE_MS, 60)
    limit.record(
        observations.Observation("e1", running=24, rejections=1), 24, 16_000.0
    )
    assertions.assert_that(limit.limit, matchers.LessThan(20.0))


def test_own_requests_are_not_counted_twice():
    known = estimates.Estimates()
    record = flow_helpers.make_endpoint("e1")
    mine = observations.Observation("e1", waiting=1, waiting_tokens=500)
    total = observations.Observation("e1", waiting=3, waiting_tokens=1500)
    known.record((total,), {"e1": mine}, {"e1": 24}, 0.0)
    found = known.find(record, mine, 0.0)
    assertions.assert_that(
        (found.in_flight, found.waiting_tokens), matchers.Equals((3, 1500))
    )
    # It has ended here since.
    found = known.find(record, None, 0.0)
    assertions.assert_that(found.waiting_tokens, matchers.Equals(1000))


def test_old_reports_count_no_more():
    known = estimates.Estimates()
    record = flow_helpers.make_endpoint("e1")
    total = observations.Observation("e1", waiting=30, waiting_tokens=90_000)
    known.record((total,), {}, {"e1": 24, "e2": 24}, 0.0)
    tokens = [
        known.find(record, None, age_ms).waiting_tokens
        for age_ms in (0.0, 800.0, estimates.TABLE_MAX_AGE_MS + 1.0)
    ]
    assertions.assert_that(tokens[0], matchers.Equals(90_000))
    assertions.assert_that(tokens[1], matchers.LessThan(90_000))
    # Others read the same report; the mean is likelier by then.
    assertions.assert_that(tokens[1], matchers.GreaterThan(45_000))
    assertions.assert_that(tokens[2], matchers.Equals(0))


def test_unlisted_endpoints_are_forgotten():
    known = estimates.Estimates()
    known.record((make_seen("e1"), make_seen("e2")), {}, {"e1": 24}, 0.0)
    assertions.assert_that(
        list(known.list_known(0.0)), matchers.Equals(["e1"])
    )
    known.record((make_seen("e3"),), {}, {"e3": 24}, 10_000.0)
    described = known.describe(10_000.0)
    assertions.assert_that(
        list(described["endpoints"]), matchers.Equals(["e3"])
    )


def test_nothing_is_known_at_first():
    known = estimates.Estimates()
    assertions.assert_that(known.age_ms(0.0), matchers.Equals(math.inf))
    assertions.assert_that(known.describe(0.0)["age_ms"], matchers.Is(None))
