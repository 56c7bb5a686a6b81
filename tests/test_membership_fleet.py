"""Membership decisions of a fleet over many seeds."""

import random

import msgspec
import pytest
from testtools import assertions
from testtools import matchers

from chervilshore.decisions import membership
from chervilshore.decisions import probes
from chervilshore import records
from measure import fleet

NUMBERS = probes.ProbeSettings()
DOWN = records.HostState.DOWN


def note_downs(made):
    downs = []

    def note(node, record):
        if record.state is DOWN:
            downs.append((node.host, record.host))

    made.on_change = note
    return downs


def count_downs(made):
    return sum(
        record.state is DOWN
        for node in made.nodes
        for record in node.members.list_all()
    )


@pytest.mark.parametrize("seed", range(15))
def test_a_dead_host_is_down_at_all_of_nine_within_three_seconds(seed):
    made = fleet.Fleet(9, NUMBERS, seed)
    made.run(1000)
    downs = note_downs(made)
    made.nodes[seed % 9].alive = False
    made.run(3000)
    expected = {node.host for node in made.nodes if node.alive}
    assertions.assert_that(
        {node for node, _ in downs}, matchers.Equals(expected)
    )
    assertions.assert_that(
        {host for _, host in downs},
        matchers.Equals({made.nodes[seed % 9].host}),
    )


@pytest.mark.parametrize("seed", range(5))
def test_a_fifth_of_messages_lost_takes_no_living_host_down(seed):
    made = fleet.Fleet(20, NUMBERS, seed)
    rng = random.Random(seed)
    made.loses = lambda one, two: rng.random() < 0.2
    downs = note_downs(made)
    made.run(15_000)
    assertions.assert_that(downs, matchers.Equals([]))


def test_a_paused_host_blames_nobody_and_is_back_when_it_wakes():
    made = fleet.Fleet(9, NUMBERS, 3)
    made.run(1000)
    downs = note_downs(made)
    sleeper = made.nodes[4]
    sleeper.paused_until = made.now + 8000
    made.run(7500)
    assertions.assert_that(downs, matchers.HasLength(8))
    made.run(4000)
    blamed = {host for _, host in downs}
    assertions.assert_that(blamed, matchers.Equals({sleeper.host}))
    assertions.assert_that(count_downs(made), matchers.Equals(0))


def test_half_a_fleet_cut_off_is_known_again_without_new_downs():
    made = fleet.Fleet(40, NUMBERS, 5)
    side = {node.host for node in made.nodes[:20]}
    made.loses = lambda one, two: (one.host in side) != (two.host in side)
    made.run(20_000)
    assertions.assert_that(count_downs(made), matchers.Equals(800))
    made.loses = lambda one, two: False
    downs = note_downs(made)
    made.run(15_000)
    assertions.assert_that(count_downs(made), matchers.Equals(0))
    same_side = [
        pair for pair in downs if (pair[0] in side) == (pair[1] in side)
    ]
    assertions.assert_that(same_side, matchers.Equals([]))


def test_a_restart_that_knows_one_host_is_known_by_all():
    made = fleet.Fleet(30, NUMBERS, 6)
    made.run(1000)
    node = made.nodes[7]
    node.alive = False
    made.run(6000)
    made.restart(node)
    made.run(6000)
    assertions.assert_that(count_downs(made), matchers.Equals(0))
    assertions.assert_that(
        node.members.hosts(), matchers.HasLength(len(made.nodes))
    )


def test_cost_of_a_host_does_not_grow_with_the_fleet():
    costs = []
    for size in (9, 60):
        made = fleet.Fleet(size, NUMBERS, 1)
        made.run(4000)
        costs.append(sum(node.bytes for node in made.nodes) / size)
    assertions.assert_that(costs[1], matchers.LessThan(1.2 * costs[0]))


def make_pair(numbers=NUMBERS):
    one, two = (fleet.make_record(number) for number in (1, 2))
    members = membership.Members(one, numbers, random.Random(1))
    members.merge([two], 0.0)
    return members, two


def put_state(record, state):
    return msgspec.structs.replace(record, state=state)


def test_a_pause_neither_ends_a_suspicion_nor_counts_as_silence():
    members, other = make_pair()
    (probe,) = members.begin_period(0.0)
    members.merge([put_state(other, records.HostState.SUSPECT)], 1.0)
    members.begin_period(10_000.0)
    state = members.get(other.host).state
    assertions.assert_that(state, matchers.Is(records.HostState.SUSPECT))
    members.merge([msgspec.structs.replace(other, incarnation=5000)], 10_001)
    for _ in range(NUMBERS.misses):
        members.record_failure(probe, 10_002.0)
    state = members.get(other.host).state
    assertions.assert_that(state, matchers.Is(records.HostState.ALIVE))


def test_the_word_of_one_that_was_cut_off_only_raises_suspicion():
    members, other = make_pair()
    members.merge([put_state(other, DOWN)], 1.0)
    state = members.get(other.host).state
    assertions.assert_that(state, matchers.Is(records.HostState.SUSPECT))
    members.merge([put_state(other, DOWN)], 2.0)
    assertions.assert_that(members.get(other.host).state, matchers.Is(DOWN))
