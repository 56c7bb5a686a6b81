"""Membership and directory of nine hosts, through faults."""

import random

import pytest
from testtools import assertions
from testtools import matchers

from chervilshore.clients import memory
from chervilshore import messages
from chervilshore import records
from chervilshore.rules import model
from tests import membership_helpers as helpers

DETECTION_MS = 3500
DOWN = records.HostState.DOWN
LEAVING = records.EndpointState.LEAVING


@pytest.fixture
async def hive(clock, network, platform):
    made = helpers.Hive(clock, network, platform)
    yield made
    await made.stop()


async def test_a_dead_host_is_down_everywhere_soon(hive, clock):
    await hive.form()
    assertions.assert_that(hive.agree(), matchers.Is(True))
    await hive.kill(4)
    await clock.advance(DETECTION_MS)
    assertions.assert_that(hive.agree(), matchers.Is(True))


async def test_hosts_join_through_a_seed_without_a_host_list(hive, clock):
    hive.platform.faults = lambda call, key: memory.Fault.DOWN
    hive.seeds = (helpers.make_record(0).peer_address,)
    for number in range(5):
        await hive.start(number)
    await clock.advance(8000)
    assertions.assert_that(hive.agree(), matchers.Is(True))


async def test_a_leaving_host_is_known_at_once_and_stays_reachable(
    hive, clock
):
    await hive.form()
    hive.hosts[2].membership.leave()
    await clock.advance(1500)
    states = {host.state_of(hive.hosts[2]) for host in hive.hosts.values()}
    assertions.assert_that(
        states, matchers.Equals({records.HostState.LEAVING})
    )


async def test_a_restart_at_the_same_address_is_a_new_life(hive, clock):
    await hive.form()
    old = await hive.kill(3)
    await clock.advance(200)
    await hive.start(3)
    await clock.advance(5000)
    assertions.assert_that(hive.agree(), matchers.Is(True))
    known = hive.hosts[0].membership.get("host-3")
    assertions.assert_that(
        known.incarnation, matchers.GreaterThan(old.membership.me.incarnation)
    )


async def test_another_host_at_the_address_does_not_keep_the_old_alive(
    hive, clock
):
    await hive.form()
    old = await hive.kill(5)
    impostor = hive.network.join(old.address)
    impostor.handle(
        messages.Ping, lambda sender, ping: messages.Pong(host="host-50")
    )
    await clock.advance(DETECTION_MS)
    assertions.assert_that(hive.agree(), matchers.Is(True))


async def test_a_domain_cut_off_joins_again(hive, clock):
    await hive.form()
    inside = {
        host.address
        for host in hive.hosts.values()
        if host.record.domain == "domain-0"
    }
    hive.network.should_drop = lambda one, two: (one in inside) != (two in inside)
    await clock.advance(20_000)
    sizes = sorted({len(view) for view in hive.views().values()})
    assertions.assert_that(sizes, matchers.Equals([3, 6]))
    hive.network.should_drop = lambda one, two: False
    await clock.advance(10_000)
    assertions.assert_that(hive.agree(), matchers.Is(True))


async def test_one_direction_between_two_hosts_lost_takes_nobody_down(
    hive, clock
):
    await hive.form()
    pair = hive.hosts[0].address, hive.hosts[1].address
    hive.network.should_drop = lambda one, two: (one, two) == pair
    downs = []
    for host in hive.hosts.values():
        host.membership.listen(
            lambda record: downs.append(record) if record.state is DOWN else 0
        )
    await clock.advance(30_000)
    assertions.assert_that(downs, matchers.Equals([]))


async def test_a_fifth_of_messages_lost_leaves_no_host_down(hive, clock):
    await hive.form()
    rng = random.Random(7)
    hive.network.should_drop = lambda one, two: rng.random() < 0.2
    await clock.advance(30_000)
    hive.network.should_drop = lambda one, two: False
    await clock.advance(5000)
    assertions.assert_that(hive.agree(), matchers.Is(True))


async def test_the_host_list_is_a_hint_only(hive, clock):
    await hive.form()
    hive.put_list([0, 1, 77], [helpers.make_endpoint(1)])
    await clock.advance(10_000)
    assertions.assert_that(hive.agree(), matchers.Is(True))


async def test_a_leaving_endpoint_is_known_everywhere_within_two_seconds(
    hive, clock
):
    before = [helpers.make_endpoint(number) for number in range(5)]
    await hive.form(endpoints=before)
    after = [*before[:4], helpers.make_endpoint(4, LEAVING)]
    calls = hive.platform.calls
    hive.put_list(range(9), after)
    await clock.advance(2000)
    states = {
        host.directory.endpoint("endpoint-4").state
        for host in hive.hosts.values()
    }
    assertions.assert_that(states, matchers.Equals({LEAVING}))
    # One reader for each of three domains, and at most three polls each.
    assertions.assert_that(hive.platform.calls - calls, matchers.LessThan(10))


async def test_a_domain_without_the_platform_hears_from_the_others(
    hive, clock
):
    before = [helpers.make_endpoint(number) for number in range(5)]
    await hive.form(endpoints=before)
    cut = hive.hosts[0].directory
    cut._platform = memory.MemoryPlatform(clock)
    cut._platform.faults = lambda call, key: memory.Fault.DOWN
    for number in (3, 6):
        hive.hosts[number].directory._platform = cut._platform
    after = [*before[:4], helpers.make_endpoint(4, LEAVING)]
    hive.put_list(range(9), after)
    await clock.advance(20_000)
    assertions.assert_that(
        cut.endpoint("endpoint-4").state, matchers.Is(LEAVING)
    )


async def test_an_empty_list_takes_no_endpoint_away(hive, clock):
    await hive.form(endpoints=[helpers.make_endpoint(1)])
    hive.put_list(range(9))
    await clock.advance(20_000)
    for host in hive.hosts.values():
        found = host.directory.endpoints("assistant")
        assertions.assert_that(found, matchers.HasLength(1))


async def test_assignments_move_hosts_and_endpoints(hive, clock):
    await hive.form(endpoints=[helpers.make_endpoint(1)])
    host = hive.hosts[0]
    rule = model.Assignment("endpoint-1", "domain-9")
    host.configuration.put(
        model.Rules(1, assignments={"endpoint-1": rule, "host-1": rule})
    )
    domains = {
        host.directory.endpoint("endpoint-1").domain,
        host.directory.endpoints("assistant")[0].domain,
        [h for h in host.directory.hosts() if h.host == "host-1"][0].domain,
    }
    assertions.assert_that(domains, matchers.Equals({"domain-9"}))
