"""Membership and directory of nine hosts during crashes and message loss."""

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
async def cluster(clock, network, platform):
    instance = helpers.Cluster(clock, network, platform)
    yield instance
    await instance.stop()


async def test_every_host_marks_a_dead_host_down_in_time(cluster, clock):
    await cluster.start_all()
    assertions.assert_that(cluster.views_agree(), matchers.Is(True))
    await cluster.kill(4)
    await clock.advance(DETECTION_MS)
    assertions.assert_that(cluster.views_agree(), matchers.Is(True))


async def test_hosts_join_through_a_seed_without_a_host_list(cluster, clock):
    cluster.platform.faults = lambda call, key: memory.Fault.DOWN
    cluster.seeds = (helpers.make_record(0).peer_address,)
    for number in range(5):
        await cluster.start(number)
    await clock.advance(8000)
    assertions.assert_that(cluster.views_agree(), matchers.Is(True))


async def test_every_host_sees_a_leaving_host_as_leaving(cluster, clock):
    await cluster.start_all()
    cluster.hosts[2].membership.leave()
    await clock.advance(1500)
    states = {
        host.state_of(cluster.hosts[2]) for host in cluster.hosts.values()
    }
    assertions.assert_that(
        states, matchers.Equals({records.HostState.LEAVING})
    )


async def test_a_restarted_host_rejoins_with_a_higher_incarnation(
    cluster, clock
):
    await cluster.start_all()
    old = await cluster.kill(3)
    await clock.advance(200)
    await cluster.start(3)
    await clock.advance(5000)
    assertions.assert_that(cluster.views_agree(), matchers.Is(True))
    known = cluster.hosts[0].membership.get("host-3")
    assertions.assert_that(
        known.incarnation, matchers.GreaterThan(old.membership.me.incarnation)
    )


async def test_another_host_at_its_address_does_not_keep_a_dead_host_alive(
    cluster, clock
):
    await cluster.start_all()
    old = await cluster.kill(5)
    other = cluster.network.join(old.address)
    other.handle(
        messages.Ping, lambda sender, ping: messages.Pong(host="host-50")
    )
    await clock.advance(DETECTION_MS)
    assertions.assert_that(cluster.views_agree(), matchers.Is(True))


async def test_a_partitioned_domain_rejoins_after_the_partition(
    cluster, clock
):
    await cluster.start_all()
    inside = {
        host.address
        for host in cluster.hosts.values()
        if host.record.domain == "domain-0"
    }
    cluster.network.should_drop = lambda one, two: (
        (one in inside) != (two in inside)
    )
    await clock.advance(20_000)
    sizes = sorted({len(view) for view in cluster.views().values()})
    assertions.assert_that(sizes, matchers.Equals([3, 6]))
    cluster.network.should_drop = lambda one, two: False
    await clock.advance(10_000)
    assertions.assert_that(cluster.views_agree(), matchers.Is(True))


async def test_one_way_loss_between_two_hosts_marks_no_host_down(
    cluster, clock
):
    await cluster.start_all()
    pair = cluster.hosts[0].address, cluster.hosts[1].address
    cluster.network.should_drop = lambda one, two: (one, two) == pair
    down_records = []
    for host in cluster.hosts.values():
        host.membership.listen(
            lambda record: (
                down_records.append(record) if record.state is DOWN else 0
            )
        )
    await clock.advance(30_000)
    assertions.assert_that(down_records, matchers.Equals([]))


async def test_losing_a_fifth_of_messages_leaves_no_host_down(cluster, clock):
    await cluster.start_all()
    rng = random.Random(7)
    cluster.network.should_drop = lambda one, two: rng.random() < 0.2
    await clock.advance(30_000)
    cluster.network.should_drop = lambda one, two: False
    await clock.advance(5000)
    assertions.assert_that(cluster.views_agree(), matchers.Is(True))


async def test_a_wrong_host_list_does_not_change_the_membership(
    cluster, clock
):
    await cluster.start_all()
    cluster.set_host_list([0, 1, 77], [helpers.make_endpoint(1)])
    await clock.advance(10_000)
    assertions.assert_that(cluster.views_agree(), matchers.Is(True))


async def test_every_host_sees_a_leaving_endpoint_within_two_seconds(
    cluster, clock
):
    before = [helpers.make_endpoint(number) for number in range(5)]
    await cluster.start_all(endpoints=before)
    after = [*before[:4], helpers.make_endpoint(4, LEAVING)]
    calls = cluster.platform.calls
    cluster.set_host_list(range(9), after)
    await clock.advance(2000)
    states = {
        host.directory.endpoint("endpoint-4").state
        for host in cluster.hosts.values()
    }
    assertions.assert_that(states, matchers.Equals({LEAVING}))
    # Each of three domains has one reader, which polls at most three times.
    assertions.assert_that(
        cluster.platform.calls - calls, matchers.LessThan(10)
    )


async def test_a_domain_without_the_platform_gets_updates_from_peers(
    cluster, clock
):
    before = [helpers.make_endpoint(number) for number in range(5)]
    await cluster.start_all(endpoints=before)
    isolated = cluster.hosts[0].directory
    isolated._platform = memory.MemoryPlatform(clock)
    isolated._platform.faults = lambda call, key: memory.Fault.DOWN
    for number in (3, 6):
        cluster.hosts[number].directory._platform = isolated._platform
    after = [*before[:4], helpers.make_endpoint(4, LEAVING)]
    cluster.set_host_list(range(9), after)
    await clock.advance(20_000)
    assertions.assert_that(
        isolated.endpoint("endpoint-4").state, matchers.Is(LEAVING)
    )


async def test_an_empty_host_list_removes_no_endpoint(cluster, clock):
    await cluster.start_all(endpoints=[helpers.make_endpoint(1)])
    cluster.set_host_list(range(9))
    await clock.advance(20_000)
    for host in cluster.hosts.values():
        found = host.directory.endpoints("assistant")
        assertions.assert_that(found, matchers.HasLength(1))


async def test_assignments_set_the_domain_of_hosts_and_endpoints(
    cluster, clock
):
    await cluster.start_all(endpoints=[helpers.make_endpoint(1)])
    host = cluster.hosts[0]
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
