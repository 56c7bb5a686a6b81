"""Failure detection in simulated clusters, with many seeds."""

import random

import msgspec
import pytest
from testtools import assertions
from testtools import matchers

from chervilshore.decisions import membership
from chervilshore.decisions import probes
from chervilshore import records
from measure import fleet

SETTINGS = probes.ProbeSettings()
DOWN = records.HostState.DOWN


def record_downs(cluster):
    downs = []

    def record_down(node, record):
        if record.state is DOWN:
            downs.append((node.host, record.host))

    cluster.on_change = record_down
    return downs


def count_downs(cluster):
    return sum(
        record.state is DOWN
        for node in cluster.nodes
        for record in node.members.list_all()
    )


@pytest.mark.parametrize("seed", range(15))
def test_all_nine_hosts_see_a_dead_host_as_down_within_three_seconds(seed):
    cluster = fleet.Cluster(9, SETTINGS, seed)
    cluster.run(1000)
    downs = record_downs(cluster)
    cluster.nodes[seed % 9].alive = False
    cluster.run(3000)
    expected = {node.host for node in cluster.nodes if node.alive}
    assertions.assert_that(
        {node for node, _ in downs}, matchers.Equals(expected)
    )
    assertions.assert_that(
        {host for _, host in downs},
        matchers.Equals({cluster.nodes[seed % 9].host}),
    )


@pytest.mark.parametrize("seed", range(5))
def test_losing_a_fifth_of_messages_takes_no_live_host_down(seed):
    cluster = fleet.Cluster(20, SETTINGS, seed)
    rng = random.Random(seed)
    cluster.should_drop = lambda one, two: rng.random() < 0.2
    downs = record_downs(cluster)
    cluster.run(15_000)
    assertions.assert_that(downs, matchers.Equals([]))


def test_a_paused_host_takes_no_other_down_and_is_alive_afterwards():
    cluster = fleet.Cluster(9, SETTINGS, 3)
    cluster.run(1000)
    downs = record_downs(cluster)
    paused = cluster.nodes[4]
    paused.paused_until = cluster.now + 8000
    cluster.run(7500)
    assertions.assert_that(downs, matchers.HasLength(8))
    cluster.run(4000)
    downed = {host for _, host in downs}
    assertions.assert_that(downed, matchers.Equals({paused.host}))
    assertions.assert_that(count_downs(cluster), matchers.Equals(0))


def test_two_halves_merge_after_a_partition_without_new_downs():
    cluster = fleet.Cluster(40, SETTINGS, 5)
    side = {node.host for node in cluster.nodes[:20]}
    cluster.should_drop = lambda one, two: (
        (one.host in side) != (two.host in side)
    )
    cluster.run(20_000)
    assertions.assert_that(count_downs(cluster), matchers.Equals(800))
    cluster.should_drop = lambda one, two: False
    downs = record_downs(cluster)
    cluster.run(15_000)
    assertions.assert_that(count_downs(cluster), matchers.Equals(0))
    same_side = [
        pair for pair in downs if (pair[0] in side) == (pair[1] in side)
    ]
    assertions.assert_that(same_side, matchers.Equals([]))


def test_a_restarted_host_that_knows_one_host_is_known_by_all():
    cluster = fleet.Cluster(30, SETTINGS, 6)
    cluster.run(1000)
    node = cluster.nodes[7]
    node.alive = False
    cluster.run(6000)
    cluster.restart(node)
    cluster.run(6000)
    assertions.assert_that(count_downs(cluster), matchers.Equals(0))
    assertions.assert_that(
        node.members.hosts(), matchers.HasLength(len(cluster.nodes))
    )


def test_bytes_sent_by_a_host_do_not_grow_with_the_cluster():
    costs = []
    for size in (9, 60):
        cluster = fleet.Cluster(size, SETTINGS, 1)
        cluster.run(4000)
        costs.append(sum(node.bytes for node in cluster.nodes) / size)
    assertions.assert_that(costs[1], matchers.LessThan(1.2 * costs[0]))


def make_pair(settings=SETTINGS):
    one, two = (fleet.make_record(number) for number in (1, 2))
    members = membership.Members(one, settings, random.Random(1))
    members.merge([two], 0.0)
    return members, two


def put_state(record, state):
    return msgspec.structs.replace(record, state=state)


def test_a_pause_neither_ends_a_suspicion_nor_counts_failed_probes():
    members, other = make_pair()
    (probe,) = members.begin_period(0.0)
    members.merge([put_state(other, records.HostState.SUSPECT)], 1.0)
    members.begin_period(10_000.0)
    state = members.get(other.host).state
    assertions.assert_that(state, matchers.Is(records.HostState.SUSPECT))
    members.merge([msgspec.structs.replace(other, incarnation=5000)], 10_001)
    for _ in range(SETTINGS.misses_before_suspect):
        members.record_failure(probe, 10_002.0)
    state = members.get(other.host).state
    assertions.assert_that(state, matchers.Is(records.HostState.ALIVE))


def test_a_first_down_update_only_makes_an_alive_host_suspected():
    members, other = make_pair()
    members.merge([put_state(other, DOWN)], 1.0)
    state = members.get(other.host).state
    assertions.assert_that(state, matchers.Is(records.HostState.SUSPECT))
    members.merge([put_state(other, DOWN)], 2.0)
    assertions.assert_that(members.get(other.host).state, matchers.Is(DOWN))
