"""The slot allocator of an endpoint, and the holders of its slots.

Most tests guard against more attempts at an endpoint than its limit, after
lost, late or duplicated messages, pauses of hosts and changes of the owner.
"""

import random

import pytest
from testtools import assertions
from testtools import matchers

from chervilshore.decisions import allocators
from chervilshore.decisions import clusterview
from chervilshore.decisions import concurrency
from chervilshore.decisions import holders
from chervilshore.decisions import recovery
from chervilshore import grantmessages
from chervilshore import records
from tests import grants_helpers

WARM = records.Warmth.WARM
COLD = records.Warmth.COLD


def _make_allocator(hosts=(), cold=2, ends_at=5000.0):
    pending_recovery = recovery.Recovery(hosts, 0.0, ends_at)
    limit = concurrency.Limit(cold, 32, 0.0)
    return allocators.SlotAllocator("e", "k", 7, limit, pending_recovery)


def _make_request(
    holder, request_number, running=0, wanted=0, epoch=7, **more
):
    return grantmessages.GrantAsk(
        "e", holder, 1, request_number, epoch, running, wanted=wanted, **more
    )


def _make_holding(running=0, warmth=COLD, limit=2, limit_age_ms=0.0, **more):
    return grantmessages.Holding(
        "e",
        7,
        running=running,
        remaining_ms=900.0,
        limit=limit,
        warmth=warmth,
        limit_age_ms=limit_age_ms,
        **more,
    )


@pytest.fixture
def holder():
    made = holders.Holder("e", "h", 3)
    made.handle_recall("k", 7, 0.0)
    made.wanted = 1
    made.make_request("k", 500.0, 0.0)
    return made


def _make_reply(holder, slots=1, request_number=None, **more):
    fields = {
        "run_id": 3,
        "epoch": 7,
        "reply_number": 1,
        "warmth": COLD,
    } | more
    request_number = (
        holder._request_number if request_number is None else request_number
    )
    return grantmessages.GrantReply(
        "e",
        "k",
        request_number=request_number,
        slots=slots,
        lifetime_ms=1000.0,
        limit=2,
        **fields,
    )


@pytest.mark.parametrize(
    "change",
    [{"run_id": 2}, {"epoch": 6}, {"reply_number": 0}, {"request_number": 0}],
)
def test_a_holder_accepts_only_replies_to_its_latest_request(holder, change):
    accepted = holder.handle_reply(_make_reply(holder, **change), 1.0)
    assertions.assert_that(accepted, matchers.Is(False))
    assertions.assert_that(holder.count_free(1.0), matchers.Equals(0))


def test_a_slot_expires_one_lifetime_after_its_request(holder):
    holder.make_request("k", 5000.0, 100.0)
    holder.handle_reply(_make_reply(holder), 400.0)
    grant = holder.acquire(5000.0, 450.0)
    assertions.assert_that(holder.confirm(grant, 1099.0), matchers.Is(True))
    assertions.assert_that(holder.confirm(grant, 1100.0), matchers.Is(False))
    assertions.assert_that(holder.count_free(1100.0), matchers.Equals(0))


def test_a_slot_is_not_used_for_longer_than_requested(holder):
    holder.handle_reply(_make_reply(holder), 1.0)
    assertions.assert_that(holder.acquire(501.0, 1.0), matchers.Is(None))


def test_slots_not_started_are_revoked_when_the_endpoint_is_cold(holder):
    holder.handle_reply(_make_reply(holder, slots=3, warmth=WARM), 1.0)
    started, waiting = holder.acquire(400.0, 2.0), holder.acquire(400.0, 2.0)
    holder.confirm(started, 2.0)
    holder.handle_reply(_make_reply(holder, slots=0, reply_number=2), 3.0)
    assertions.assert_that(holder.confirm(waiting, 4.0), matchers.Is(False))
    assertions.assert_that(holder.confirm(started, 4.0), matchers.Is(True))


def test_a_silent_holder_is_counted_until_its_last_attempt_has_ended():
    allocator = _make_allocator()
    allocator.handle_request(
        _make_request("a", 1, wanted=2, remaining_ms=3000.0), 0.0
    )
    replies = allocator.handle_request(_make_request("b", 1, wanted=1), 2900.0)
    assertions.assert_that(replies["b"].slots, matchers.Equals(0))
    allocator.handle_request(_make_request("b", 2, wanted=1), 3000.0)
    replies = allocator.tick(3051.0)
    assertions.assert_that(replies["b"].slots, matchers.Equals(1))


@pytest.mark.parametrize(
    "report",
    [
        {"other_hosts": ("x",)},
        {"previous_owner": "x"},
        {"discovery_ms": 900.0},
    ],
)
def test_a_new_owner_waits_for_hosts_that_reports_name(report):
    allocator = _make_allocator(("a",))
    other_hosts = report.pop("other_hosts", ())
    allocator.handle_report("a", 1, _make_holding(**report), other_hosts, 0.0)
    allocator.set_hosts(frozenset("a"), frozenset(), frozenset("x"), 0.0)
    replies = allocator.handle_request(_make_request("a", 1, wanted=1), 800.0)
    assertions.assert_that(replies["a"].slots, matchers.Equals(0))
    replies = allocator.handle_request(_make_request("a", 2, wanted=1), 5000.0)
    assertions.assert_that(replies["a"].slots, matchers.Equals(1))


def test_a_new_owner_counts_attempts_already_in_flight():
    allocator = _make_allocator(("a", "b"))
    allocator.handle_report("a", 1, _make_holding(running=2), (), 0.0)
    allocator.handle_report("b", 1, _make_holding(), (), 0.0)
    replies = allocator.handle_request(_make_request("b", 1, wanted=1), 10.0)
    assertions.assert_that(replies["b"].slots, matchers.Equals(0))


@pytest.mark.parametrize(
    ("limit_age_ms", "expected"), [(100.0, 12), (60_000.0, 0)]
)
def test_a_warm_endpoint_resumes_without_reports_of_down_hosts(
    limit_age_ms, expected
):
    allocator = _make_allocator(("a", "dead"))
    report = _make_holding(
        running=12, warmth=WARM, limit=30, limit_age_ms=limit_age_ms
    )
    allocator.handle_report("a", 1, report, (), 0.0)
    allocator.set_hosts(frozenset("a"), frozenset(("dead",)), frozenset(), 0.0)
    request = _make_request("a", 1, running=11, wanted=1, remaining_ms=900.0)
    replies = allocator.handle_request(request, 1.0)
    assertions.assert_that(replies["a"].slots, matchers.Equals(expected))


def test_the_latest_reported_warmth_counts():
    allocator = _make_allocator(("a", "b", "dead"))
    report = _make_holding(warmth=WARM, limit=30, limit_age_ms=900.0)
    allocator.handle_report("a", 1, report, (), 0.0)
    allocator.handle_report("b", 1, _make_holding(limit_age_ms=100.0), (), 0.0)
    allocator.set_hosts(
        frozenset("ab"), frozenset(("dead",)), frozenset(), 0.0
    )
    assertions.assert_that(allocator.is_recovered(10.0), matchers.Is(False))


def test_the_first_sign_of_a_cold_start_revokes_all_free_slots():
    allocator = _make_allocator()
    allocator.limit.resume(20, 32, 0.0)
    for name in "ab":
        allocator.handle_request(
            _make_request(name, 1, wanted=8, remaining_ms=900.0), 0.0
        )
    replies = allocator.handle_request(
        _make_request("a", 2, running=7, cold=True), 10.0
    )
    slots = {name: reply.slots for name, reply in replies.items()}
    assertions.assert_that(slots, matchers.Equals({"a": 0, "b": 0}))


def _make_pair(rng):
    placement = clusterview.EndpointPlacement("a", 1, 8)
    cluster = grants_helpers.Cluster(
        rng, {"h1": "a", "h2": "a"}, {"e": placement}
    )
    cluster.millis = lambda endpoint: 1400.0
    cluster.run(500.0)
    node = cluster.hosts["h1"].node
    owner = node.choose_owner("e", 500.0)
    other = "h2" if owner == "h1" else "h1"
    return cluster, owner, other


@pytest.mark.parametrize("seed", range(10))
def test_a_paused_owner_does_not_resume_its_grants(seed):
    cluster, owner, other = _make_pair(random.Random(seed))
    cluster.pause(owner, 5000.0)
    cluster.suspect(other, owner, 9000.0)
    # The other host has taken over during the pause, and has an attempt in
    # flight when the paused owner resumes.
    for time_ms in range(100, 6000, 100):
        cluster.after(time_ms, cluster.request, other, "e", 1500.0)
    cluster.after(4990.0, cluster.request, owner, "e", 1500.0)
    cluster.run(9000.0)
    assertions.assert_that(cluster.worst, matchers.Equals({"e": 1}))
    assertions.assert_that(cluster.done["e"], matchers.GreaterThan(2))


def _run_warm(cluster, names, until):
    for time_ms in range(0, until, 4):
        name = names[time_ms // 4 % len(names)]
        cluster.after(float(time_ms), cluster.request, name, "e", 1000.0)


def test_an_endpoint_that_turns_cold_is_limited_immediately():
    placement = clusterview.EndpointPlacement("a", 2, 32)
    names = ("h1", "h2", "h3")
    homes = dict.fromkeys(names, "a")
    cluster = grants_helpers.Cluster(
        random.Random(2), homes, {"e": placement}, False
    )
    cluster.millis = lambda endpoint: cluster.rng.uniform(40, 60)
    _run_warm(cluster, names, 9000)
    cluster.run(8000.0)
    assertions.assert_that(cluster.worst["e"], matchers.GreaterThan(8))
    cluster.is_cold = True
    # Attempts in flight end within 60 ms; messages take up to 1.5 ms.
    cluster.run(8075.0)
    cluster.worst["e"] = 0
    cluster.run(9000.0)
    assertions.assert_that(cluster.worst["e"], matchers.Equals(2))


def test_a_warm_endpoint_stays_in_use_when_its_owner_dies():
    placement = clusterview.EndpointPlacement("a", 2, 32)
    names = ("h1", "h2", "h3")
    homes = dict.fromkeys(names, "a")
    cluster = grants_helpers.Cluster(
        random.Random(3), homes, {"e": placement}, False
    )
    cluster.millis = lambda endpoint: cluster.rng.uniform(40, 60)
    _run_warm(cluster, names, 12_000)
    cluster.run(8000.0)
    cluster.kill(cluster.hosts["h1"].node.choose_owner("e", 8000.0))
    # The other hosts notice within two seconds.
    cluster.run(10_100.0)
    before = cluster.done["e"]
    cluster.run(11_100.0)
    done = cluster.done["e"] - before
    # Two of three hosts are left to send 250 requests per second.
    assertions.assert_that(done, matchers.GreaterThan(150))


def test_an_unreachable_owner_gets_another_request(holder):
    holder.handle_reply(_make_reply(holder, warmth=WARM), 1.0)
    holder.wanted = 0
    for time_ms in (2000.0, 2300.0):
        holder.make_request("k", 0.0, time_ms)
        holder.handle_reply_timeout()
    assertions.assert_that(holder.is_idle(2600.0), matchers.Is(False))
    assertions.assert_that(holder.is_request_due(3300.0), matchers.Is(True))


def test_a_new_waiting_stage_leads_to_a_new_request(holder):
    holder.handle_reply(_make_reply(holder), 1.0)
    holder.acquire(400.0, 1.0)
    # Another stage waits, so `wanted` is the same as in the last request.
    holder.wanted = 1
    assertions.assert_that(holder.wants_more(2.0), matchers.Is(True))


def test_recovery_reports_missing_hosts_and_the_discovery_time():
    pending_recovery = recovery.Recovery(
        {"h2"}, not_before=2000.0, ends_at=72_000.0
    )
    assertions.assert_that(
        pending_recovery.discovery_remaining_ms(500.0), matchers.Equals(1500.0)
    )
    assertions.assert_that(pending_recovery.missing, matchers.Equals({"h2"}))
