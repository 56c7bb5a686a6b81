"""Team limits over a fleet."""

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
async def fleet(clock, network):
    made = limits_helpers.Fleet(
        clock, network, rate=100.0, burst=20.0, concurrency=18
    )
    await made.start()
    yield made
    await made.stop()


def keeper_of(fleet):
    return rendezvous.choose([one.host for one in fleet.records], "vans")


def count(fleet):
    """Take the admitted requests since the last count."""
    total = sum(fleet.admitted.values())
    fleet.admitted.clear()
    return total


def within(least, most):
    return matchers.MatchesAll(
        matchers.GreaterThan(least - 1), matchers.LessThan(most + 1)
    )


async def test_ten_times_the_limit_gets_the_limit(fleet):
    await fleet.send(1000.0, 20_000.0)
    assertions.assert_that(count(fleet), within(1900, 2200))


async def test_a_team_at_one_host_gets_its_whole_limit(fleet):
    await fleet.send(95.0, 3_000.0, ["h3"])
    count(fleet)
    fleet.refused.clear()
    await fleet.send(95.0, 5_000.0, ["h3"])
    assertions.assert_that(count(fleet), within(470, 475))
    # The whole moves on when the load does.
    await fleet.send(95.0, 3_000.0, ["h7"])
    count(fleet)
    await fleet.send(95.0, 5_000.0, ["h7"])
    assertions.assert_that(count(fleet), within(470, 475))


async def test_requests_in_flight_are_held_over_the_fleet(fleet):
    peaks = []
    await fleet.send(80.0, 2_000.0, hold_ms=2_000.0)
    for _ in range(30):
        await fleet.send(80.0, 200.0, hold_ms=2_000.0)
        peaks.append(sum(fleet.running.values()))
    assertions.assert_that(max(peaks), within(15, 18))


async def test_a_dead_keeper_never_lets_more_through(fleet):
    await fleet.send(1000.0, 3_000.0)
    count(fleet)
    dead = keeper_of(fleet)
    await fleet.kill(dead)
    # Nobody has noticed for longer than the shares last.
    await fleet.send(1000.0, 3_000.0)
    assertions.assert_that(count(fleet), within(250, 330))
    fleet.tell(fleet.limits, {dead})
    await fleet.send(1000.0, 3_000.0)
    assertions.assert_that(count(fleet), within(240, 330))
    await fleet.send(1000.0, 3_000.0)
    assertions.assert_that(count(fleet), within(255, 330))


@pytest.mark.parametrize("noticed", [True, False])
async def test_both_sides_of_a_cut_together_stay_within_the_limit(
    fleet, noticed
):
    await fleet.send(1000.0, 3_000.0)
    count(fleet)
    cut = {one.host for one in fleet.records if one.domain == "d0"}
    rest = set(fleet.limits) - cut
    addresses = {one.peer_address: one.host for one in fleet.records}
    fleet.network.should_drop = lambda sender, receiver: (
        (addresses[sender] in cut) != (addresses[receiver] in cut)
    )
    if noticed:
        await fleet.send(1000.0, 2_000.0)
        fleet.tell(cut, rest)
        fleet.tell(rest, cut)
        count(fleet)
    await fleet.send(1000.0, 9_000.0)
    assertions.assert_that(count(fleet), within(800, 990))
    fleet.network.should_drop = lambda sender, receiver: False
    fleet.tell(fleet.limits, set())
    await fleet.send(1000.0, 6_000.0)
    assertions.assert_that(count(fleet), within(560, 660))


async def test_only_active_teams_cost_messages(fleet):
    await fleet.send(90.0, 2_000.0)
    await fleet.send(0.0, 20_000.0)
    before = fleet.network.messages
    await fleet.send(0.0, 20_000.0)
    assertions.assert_that(fleet.network.messages, matchers.Equals(before))


TEAM = model.Team("vans", rate=90.0, burst=9.0, concurrency=90)


def test_a_share_lapses_and_an_overtaken_answer_says_nothing():
    held = shared_limits.SharedLimits(9)
    held.admit(TEAM, 0.0)
    held.collect(0.0)
    held.put({"vans": messages.Share(80.0, 80)}, 20.0, 1000.0)
    held.put({"vans": messages.Share(20.0, 20)}, 10.0, 5000.0)
    during = held.allow(TEAM, 1000.0)
    after = held.allow(TEAM, 1020.0)
    assertions.assert_that(
        (during.rate, during.concurrency), matchers.Equals((80.0, 80))
    )
    assertions.assert_that(
        (after.rate, after.concurrency), matchers.Equals((10.0, 10))
    )


def test_a_new_keeper_lets_nothing_grow_until_all_shares_are_known():
    hosts = [records.HostRecord(name, "d", name, "") for name in "abc"]
    fleet = shares.Fleet()
    fleet.observe(hosts, 0.0)
    keeper = shares.ShareKeeper(2000.0)

    def report(host, now, held):
        demand = messages.Demand(100.0, 100, held, 0)
        given = keeper.report(
            host, {"vans": demand}, lambda name: TEAM, fleet, now
        )
        return given["vans"].rate

    # An earlier keeper gave 80 of 90 to one host, which reports last.
    rate = 0.0
    for step in range(4):
        rate = report("b", 100.0 * step, rate)
        assertions.assert_that(rate, matchers.Equals(30.0))
    # Both want all of it, so each comes to have a half.
    assertions.assert_that(report("a", 450.0, 80.0), matchers.Equals(45.0))
    assertions.assert_that(report("b", 2100.0, rate), matchers.Equals(45.0))


async def test_only_the_keeper_of_a_team_gives_shares(fleet):
    await fleet.send(0.0, 2_000.0)
    replies = []
    asking = fleet.network.join("asking")
    asking.handle(
        messages.ShareReply, lambda sender, reply: replies.append(sender)
    )
    demand = messages.Demand(5.0, 5)
    for record in fleet.records:
        asking.send(
            record.peer_address,
            messages.DemandReport("asking", 1.0, {"vans": demand}),
        )
    await fleet.clock.advance(10.0)
    keeper = next(
        one.peer_address
        for one in fleet.records
        if one.host == keeper_of(fleet)
    )
    assertions.assert_that(replies, matchers.Equals([keeper]))
