"""Team limits of a cluster, as shares that follow demand."""

import pytest
from testtools import assertions
from testtools import matchers

from chervilshore.decisions import rendezvous
from chervilshore.decisions import shared_limits
from chervilshore.decisions import shares
from chervilshore import messages
from chervilshore import records
from chervilshore.rules import model
from tests import limits_helpers


@pytest.fixture
async def cluster(clock, network):
    made = limits_helpers.LimitsCluster(
        clock, network, rate=100.0, burst=20.0, concurrency=18
    )
    await made.start()
    yield made
    await made.stop()


def owner_of(cluster):
    return rendezvous.choose([one.host for one in cluster.records], "vans")


def pop_admitted_count(cluster):
    """Return the admitted requests since the last call and reset them."""
    total = sum(cluster.admitted.values())
    cluster.admitted.clear()
    return total


def is_between(lowest, highest):
    return matchers.MatchesAll(
        matchers.GreaterThan(lowest - 1), matchers.LessThan(highest + 1)
    )


async def test_ten_times_the_limit_is_admitted_at_the_limit(cluster):
    await cluster.send(1000.0, 20_000.0)
    assertions.assert_that(pop_admitted_count(cluster), is_between(1900, 2200))


async def test_a_team_at_one_host_gets_its_whole_limit(cluster):
    await cluster.send(95.0, 3_000.0, ["h3"])
    pop_admitted_count(cluster)
    cluster.refused.clear()
    await cluster.send(95.0, 5_000.0, ["h3"])
    assertions.assert_that(pop_admitted_count(cluster), is_between(470, 475))
    # The share follows the load to another host.
    await cluster.send(95.0, 3_000.0, ["h7"])
    pop_admitted_count(cluster)
    await cluster.send(95.0, 5_000.0, ["h7"])
    assertions.assert_that(pop_admitted_count(cluster), is_between(470, 475))


async def test_the_concurrency_limit_holds_for_the_whole_cluster(cluster):
    peaks = []
    await cluster.send(80.0, 2_000.0, hold_ms=2_000.0)
    for _ in range(30):
        await cluster.send(80.0, 200.0, hold_ms=2_000.0)
        peaks.append(sum(cluster.running.values()))
    assertions.assert_that(max(peaks), is_between(15, 18))


async def test_a_dead_owner_never_raises_what_is_admitted(cluster):
    await cluster.send(1000.0, 3_000.0)
    pop_admitted_count(cluster)
    dead = owner_of(cluster)
    await cluster.kill(dead)
    # The failure is not detected for longer than the shares are valid.
    await cluster.send(1000.0, 3_000.0)
    assertions.assert_that(pop_admitted_count(cluster), is_between(250, 330))
    cluster.set_down_hosts(cluster.limits, {dead})
    await cluster.send(1000.0, 3_000.0)
    assertions.assert_that(pop_admitted_count(cluster), is_between(240, 330))
    await cluster.send(1000.0, 3_000.0)
    assertions.assert_that(pop_admitted_count(cluster), is_between(255, 330))


@pytest.mark.parametrize("detected", [True, False])
async def test_both_sides_of_a_partition_together_stay_within_the_limit(
    cluster, detected
):
    await cluster.send(1000.0, 3_000.0)
    pop_admitted_count(cluster)
    cut = {one.host for one in cluster.records if one.domain == "d0"}
    rest = set(cluster.limits) - cut
    addresses = {one.peer_address: one.host for one in cluster.records}
    cluster.network.should_drop = lambda sender, receiver: (
        (addresses[sender] in cut) != (addresses[receiver] in cut)
    )
    if detected:
        await cluster.send(1000.0, 2_000.0)
        cluster.set_down_hosts(cut, rest)
        cluster.set_down_hosts(rest, cut)
        pop_admitted_count(cluster)
    await cluster.send(1000.0, 9_000.0)
    assertions.assert_that(pop_admitted_count(cluster), is_between(800, 990))
    cluster.network.should_drop = lambda sender, receiver: False
    cluster.set_down_hosts(cluster.limits, set())
    await cluster.send(1000.0, 6_000.0)
    assertions.assert_that(pop_admitted_count(cluster), is_between(560, 660))


async def test_idle_teams_cause_no_messages(cluster):
    await cluster.send(90.0, 2_000.0)
    await cluster.send(0.0, 20_000.0)
    before = cluster.network.messages
    await cluster.send(0.0, 20_000.0)
    assertions.assert_that(cluster.network.messages, matchers.Equals(before))


TEAM = model.Team("vans", rate=90.0, burst=9.0, concurrency=90)


def test_a_share_expires_and_a_late_reply_is_ignored():
    held = shared_limits.SharedLimits(9)
    held.admit(TEAM, 0.0)
    held.collect_demands(0.0)
    held.update_shares({"vans": messages.Share(80.0, 80)}, 20.0, 1000.0)
    held.update_shares({"vans": messages.Share(20.0, 20)}, 10.0, 5000.0)
    during = held.compute_allowance(TEAM, 1000.0)
    after = held.compute_allowance(TEAM, 1020.0)
    assertions.assert_that(
        (during.rate, during.concurrency), matchers.Equals((80.0, 80))
    )
    assertions.assert_that(
        (after.rate, after.concurrency), matchers.Equals((10.0, 10))
    )


def test_a_new_owner_lets_no_share_grow_until_all_are_known():
    hosts = [records.HostRecord(name, "d", name, "") for name in "abc"]
    tracker = shares.HostTracker()
    tracker.observe(hosts, 0.0)
    owner = shares.ShareAllocator(2000.0)

    def report(host, now, held):
        demand = messages.Demand(100.0, 100, held, 0)
        given = owner.report(
            host, {"vans": demand}, lambda name: TEAM, tracker, now
        )
        return given["vans"].rate

    # An earlier owner allocated 80 of 90 to a host that reports last.
    rate = 0.0
    for step in range(4):
        rate = report("b", 100.0 * step, rate)
        assertions.assert_that(rate, matchers.Equals(30.0))
    # Both demand the whole limit, so each ends up with half.
    assertions.assert_that(report("a", 450.0, 80.0), matchers.Equals(45.0))
    assertions.assert_that(report("b", 2100.0, rate), matchers.Equals(45.0))


async def test_only_the_owner_of_a_team_allocates_shares(cluster):
    await cluster.send(0.0, 2_000.0)
    replies = []
    requester = cluster.network.join("requester")
    requester.handle(
        messages.ShareReply, lambda sender, reply: replies.append(sender)
    )
    demand = messages.Demand(5.0, 5)
    for record in cluster.records:
        requester.send(
            record.peer_address,
            messages.DemandReport("requester", 1.0, {"vans": demand}),
        )
    await cluster.clock.advance(10.0)
    owner = next(
        one.peer_address
        for one in cluster.records
        if one.host == owner_of(cluster)
    )
    assertions.assert_that(replies, matchers.Equals([owner]))
