"""The completion router and outlier ejection."""

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


def make_router(ejector=None, is_out=lambda domain: False):
    return completion.CompletionRouter(
        "north",
        random.Random(7),
        ejector or ejection.OutlierEjection(),
        is_out,
    )


def make_candidates(count=3, **fields):
    fields = {"free_slots": 1, "limit": 8, **fields}
    return [
        routing.Candidate(
            flow_helpers.make_endpoint(f"e{index}", DOMAINS[index % 3]),
            **fields,
        )
        for index in range(count)
    ]


def rank(router, candidates, now=0.0, remaining_ms=10_000.0, **fields):
    requirements = flow_helpers.make_ticket(
        1, deadline=now + remaining_ms, **fields
    ).requirements
    ranked = router.rank(requirements, candidates, now)
    return [one.record.endpoint for one in ranked]


def record_attempt(router, endpoint, millis, now, outcome=records.Outcome.OK):
    router.record_attempt(endpoint, outcome, millis, now)


def record_calls(router, now, slow=(), count=10, names=("e0", "e1", "e2")):
    """Record some calls of each endpoint; slow ones take ten times as long."""
    for name in names:
        for _ in range(count):
            rank(router, make_candidates(len(names)), now)
            record_attempt(
                router, name, 1000.0 if name in slow else 100.0, now
            )


def test_own_domain_goes_first_unless_it_is_full():
    router = make_router()
    candidates = make_candidates()
    assertions.assert_that(rank(router, candidates)[0], matchers.Equals("e0"))
    candidates[0].free_slots = 0
    candidates[0].in_flight = 8
    assertions.assert_that(
        rank(router, candidates)[0], matchers.NotEquals("e0")
    )


def test_a_near_deadline_prefers_a_free_slot_in_another_domain():
    router = make_router()
    candidates = make_candidates()
    candidates[0].free_slots = 0
    candidates[0].in_flight = 1
    ample = rank(router, candidates, remaining_ms=10_000.0)
    short = rank(router, candidates, remaining_ms=110.0)
    assertions.assert_that(ample[0], matchers.Equals("e0"))
    assertions.assert_that(short[0], matchers.NotEquals("e0"))


def test_leaving_excluded_and_out_of_service_endpoints_are_not_ranked():
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


def test_a_prefix_stays_at_its_endpoint_until_that_is_overloaded():
    router = make_router()
    names = [f"p{index}" for index in range(40)]
    candidates = make_candidates(3, limit=64)
    for one in candidates:
        one.record = flow_helpers.make_endpoint(one.record.endpoint)
    homes = {name: rank(router, candidates, prefix=name)[0] for name in names}
    again = {name: rank(router, candidates, prefix=name)[0] for name in names}
    assertions.assert_that(again, matchers.Equals(homes))
    assertions.assert_that(set(homes.values()), matchers.HasLength(3))
    # The mean load is 2, so 6 attempts exceed the load that affinity allows.
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
        (records.Outcome.REJECTED, ejection.MIN_JUDGED_CALLS),
    ],
)
def test_a_failing_endpoint_is_ejected_and_comes_back(outcome, calls):
    router = make_router()
    for _ in range(calls):
        assertions.assert_that(
            rank(router, make_candidates()), matchers.Contains("e0")
        )
        record_attempt(router, "e0", 5.0, 10.0, outcome)
    assertions.assert_that(
        rank(router, make_candidates(), 10.0),
        matchers.Not(matchers.Contains("e0")),
    )
    due = 10.0 + ejection.FIRST_EJECTION_MS
    probes = [rank(router, make_candidates(), due)[0] for _ in range(3)]
    assertions.assert_that(probes.count("e0"), matchers.Equals(1))
    record_attempt(router, "e0", 5.0, due + 5.0, outcome)
    if outcome is records.Outcome.REJECTED:
        return
    later = due + 5.0 + ejection.FIRST_EJECTION_MS
    assertions.assert_that(
        rank(router, make_candidates(), later),
        matchers.Not(matchers.Contains("e0")),
    )
    later += ejection.FIRST_EJECTION_MS
    rank(router, make_candidates(), later)
    record_attempt(router, "e0", 5.0, later + 5.0)
    assertions.assert_that(
        rank(router, make_candidates(), later + 5.0),
        matchers.Contains("e0"),
    )


def test_a_slow_endpoint_is_ejected_and_short_deadlines_do_not_probe_it():
    router = make_router()
    record_calls(router, 0.0, slow=("e1",))
    assertions.assert_that(
        rank(router, make_candidates()), matchers.Not(matchers.Contains("e1"))
    )
    due = ejection.FIRST_EJECTION_MS
    short = rank(router, make_candidates(), due, remaining_ms=1500.0)
    ample = rank(router, make_candidates(), due, remaining_ms=7000.0)
    assertions.assert_that(short, matchers.Not(matchers.Contains("e1")))
    assertions.assert_that(ample[0], matchers.Equals("e1"))


def test_ejections_are_limited_to_a_fraction_of_the_pool():
    router = make_router()
    names = [f"e{index}" for index in range(6)]
    for name in names:
        for _ in range(ejection.MIN_JUDGED_CALLS):
            record_attempt(router, name, 5.0, 0.0, records.Outcome.BROKEN)
    ranked = rank(router, make_candidates(6), 0.0)
    assertions.assert_that(ranked, matchers.HasLength(3))


def test_an_endpoint_whose_attempts_do_not_end_counts_as_slow():
    router = make_router()
    record_calls(router, 0.0)
    busy = make_candidates()
    busy[0].in_flight = 1
    assertions.assert_that(rank(router, busy, 0.0)[0], matchers.Equals("e0"))
    assertions.assert_that(
        rank(router, busy, 1000.0), matchers.Not(matchers.Contains("e0"))
    )
