"""The router and the ejection of endpoints."""

import random

import pytest
from testtools import assertions
from testtools import matchers

from chervilshore.decisions import completion
from chervilshore.decisions import ejection
from chervilshore.decisions import routing
from chervilshore import records
from tests import flow_helpers

DOMAINS = ("north", "south", "west")


def make_router(judge=None, is_out=lambda domain: False):
    return completion.CompletionRouter(
        "north",
        random.Random(7),
        judge or ejection.OutlierEjection(),
        is_out,
    )


def make_candidates(count=3, **fields):
    fields = {"free": 1, "limit": 8, **fields}
    return [
        routing.Candidate(
            flow_helpers.make_endpoint(f"e{index}", DOMAINS[index % 3]),
            **fields,
        )
        for index in range(count)
    ]


def rank(router, candidates, now=0.0, left=10_000.0, **fields):
    need = flow_helpers.make_ticket(1, deadline=now + left, **fields).need
    ranked = router.rank(need, candidates, now)
    return [one.record.endpoint for one in ranked]


def note(router, endpoint, millis, now, outcome=records.Outcome.OK):
    router.note(endpoint, outcome, millis, now)


def teach(router, now, slow=(), count=10, names=("e0", "e1", "e2")):
    """Let each endpoint do some calls, the slow ones ten times slower."""
    for name in names:
        for _ in range(count):
            rank(router, make_candidates(len(names)), now)
            note(router, name, 1000.0 if name in slow else 100.0, now)


def test_own_domain_first_then_spill_when_it_is_full():
    router = make_router()
    candidates = make_candidates()
    assertions.assert_that(rank(router, candidates)[0], matchers.Equals("e0"))
    candidates[0].free = 0
    candidates[0].in_flight = 8
    assertions.assert_that(
        rank(router, candidates)[0], matchers.NotEquals("e0")
    )


def test_little_time_left_makes_a_far_free_slot_worth_it():
    router = make_router()
    candidates = make_candidates()
    candidates[0].free = 0
    candidates[0].in_flight = 1
    ample = rank(router, candidates, left=10_000.0)
    short = rank(router, candidates, left=110.0)
    assertions.assert_that(ample[0], matchers.Equals("e0"))
    assertions.assert_that(short[0], matchers.NotEquals("e0"))


def test_leaving_out_and_excluded_endpoints_are_never_ranked():
    candidates = make_candidates(4)
    leaving = flow_helpers.make_endpoint("e3")
    candidates[3].record = records.EndpointRecord(
        leaving.endpoint,
        leaving.pool,
        leaving.domain,
        leaving.address,
        records.EndpointState.LEAVING,
    )
    router = make_router(is_out=lambda domain: domain == "south")
    found = rank(router, candidates, excluded=frozenset({"e0"}))
    assertions.assert_that(found, matchers.Equals(["e2"]))


def test_a_prefix_stays_at_one_endpoint_until_that_is_overloaded():
    router = make_router()
    names = [f"p{index}" for index in range(40)]
    candidates = make_candidates(3, limit=64)
    for one in candidates:
        one.record = flow_helpers.make_endpoint(one.record.endpoint)
    homes = {name: rank(router, candidates, prefix=name)[0] for name in names}
    again = {name: rank(router, candidates, prefix=name)[0] for name in names}
    assertions.assert_that(again, matchers.Equals(homes))
    assertions.assert_that(set(homes.values()), matchers.HasLength(3))
    # The mean load is 2, so 6 attempts are more than a hint is worth.
    candidates[0].in_flight = 6
    moved = {name: rank(router, candidates, prefix=name)[0] for name in names}
    assertions.assert_that(
        moved.values(), matchers.Not(matchers.Contains("e0"))
    )
    stayed = [name for name in names if homes[name] != "e0"]
    assertions.assert_that(
        [moved[name] for name in stayed],
        matchers.Equals([homes[name] for name in stayed]),
    )


@pytest.mark.parametrize(
    ("outcome", "calls"),
    [
        (records.Outcome.BROKEN, ejection.CONSECUTIVE_FAILURES),
        (records.Outcome.UNREACHED, ejection.CONSECUTIVE_FAILURES),
        (records.Outcome.REJECTED, ejection.JUDGED_CALLS),
    ],
)
def test_a_failing_endpoint_is_left_out_and_comes_back(outcome, calls):
    router = make_router()
    for _ in range(calls):
        assertions.assert_that(
            rank(router, make_candidates()), matchers.Contains("e0")
        )
        note(router, "e0", 5.0, 10.0, outcome)
    assertions.assert_that(
        rank(router, make_candidates(), 10.0),
        matchers.Not(matchers.Contains("e0")),
    )
    due = 10.0 + ejection.EJECT_MS
    probes = [rank(router, make_candidates(), due)[0] for _ in range(3)]
    assertions.assert_that(probes.count("e0"), matchers.Equals(1))
    note(router, "e0", 5.0, due + 5.0, outcome)
    if outcome is records.Outcome.REJECTED:
        return
    later = due + 5.0 + ejection.EJECT_MS
    assertions.assert_that(
        rank(router, make_candidates(), later),
        matchers.Not(matchers.Contains("e0")),
    )
    later += ejection.EJECT_MS
    rank(router, make_candidates(), later)
    note(router, "e0", 5.0, later + 5.0)
    assertions.assert_that(
        rank(router, make_candidates(), later + 5.0),
        matchers.Contains("e0"),
    )


def test_a_slow_endpoint_is_left_out_and_short_deadlines_never_probe_it():
    router = make_router()
    teach(router, 0.0, slow=("e1",))
    assertions.assert_that(
        rank(router, make_candidates()), matchers.Not(matchers.Contains("e1"))
    )
    due = ejection.EJECT_MS
    short = rank(router, make_candidates(), due, left=1500.0)
    ample = rank(router, make_candidates(), due, left=7000.0)
    assertions.assert_that(short, matchers.Not(matchers.Contains("e1")))
    assertions.assert_that(ample[0], matchers.Equals("e1"))


def test_no_more_than_the_cap_is_left_out_at_once():
    router = make_router()
    names = [f"e{index}" for index in range(6)]
    for name in names:
        for _ in range(ejection.JUDGED_CALLS):
            note(router, name, 5.0, 0.0, records.Outcome.BROKEN)
    ranked = rank(router, make_candidates(6), 0.0)
    assertions.assert_that(ranked, matchers.HasLength(3))


def test_silence_speaks_against_a_busy_endpoint():
    router = make_router()
    teach(router, 0.0)
    busy = make_candidates()
    busy[0].in_flight = 1
    assertions.assert_that(rank(router, busy, 0.0)[0], matchers.Equals("e0"))
    assertions.assert_that(
        rank(router, busy, 1000.0), matchers.Not(matchers.Contains("e0"))
    )
