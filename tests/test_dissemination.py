"""How a generation spreads, and which generation becomes active."""

import collections
import random

import hypothesis
from hypothesis import strategies
import pytest
from testtools import assertions
from testtools import matchers

from chervilshore.decisions import dissemination
from chervilshore import ids
from chervilshore.rules import generations
from chervilshore.rules import lines
from tests import configuration_helpers as helpers

DOMAINS = ("a", "b", "c", "d", "e", "f")
MAX_SENDS = dissemination.FANOUT + dissemination.REMOTE_FANOUT * (
    len(DOMAINS) - 1
)


def simulate_spread(hosts, source, dead, generation):
    """Count the notices of each host until no host has one left to send."""
    by_address = {host.peer_address: host for host in hosts}
    sent = collections.Counter()
    known = {source.host}
    queue = [source]
    while queue:
        host = queue.pop(0)
        chosen = dissemination.choose_notify_targets(
            host.host, host.domain, hosts, generation, host is source
        )
        sent[host.host] = len(chosen)
        for address in chosen:
            other = by_address[address]
            if other.host not in known and other.host not in dead:
                known.add(other.host)
                queue.append(other)
    return known, sent


@pytest.mark.parametrize("per_domain", [1, 3, 62])
def test_a_generation_reaches_all_live_hosts_at_a_constant_cost(per_domain):
    generator = random.Random(7)
    hosts = [
        helpers.make_host(domain, number)
        for domain in DOMAINS
        for number in range(per_domain)
    ]
    for generation in range(1, 30):
        source = generator.choice(hosts)
        others = [host for host in hosts if host is not source]
        share = len(others) // 20 if per_domain > 3 else 0
        dead = {host.host for host in generator.sample(others, share)}
        known, sent = simulate_spread(
            hosts, source, dead, ids.Generation(generation)
        )
        assertions.assert_that(
            len(known), matchers.Equals(len(hosts) - len(dead))
        )
        assertions.assert_that(
            max(sent.values()), matchers.Not(matchers.GreaterThan(MAX_SENDS))
        )


def make_generation(number):
    document, _ = lines.parse(helpers.write_rules(number))
    packed = generations.pack(document)
    head = generations.Head(
        ids.Generation(number),
        ids.ChangeId(str(number)),
        ids.ChangeId(""),
        "A",
        "b",
        0.0,
        packed.main,
        packed.buckets,
    )
    return head, packed.chunks


GENERATIONS = {number: make_generation(number) for number in range(1, 5)}
STEPS = strategies.lists(
    strategies.one_of(
        strategies.tuples(strategies.just("head"), strategies.integers(1, 4)),
        strategies.tuples(strategies.just("hear"), strategies.integers(1, 9)),
        strategies.tuples(strategies.just("chunk"), strategies.integers(1, 4)),
        strategies.tuples(strategies.just("spoil"), strategies.integers(1, 4)),
        strategies.tuples(strategies.just("finish"), strategies.just(0)),
    ),
    max_size=40,
)


@hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=200
)
@hypothesis.given(STEPS)
def test_rules_change_as_a_whole_and_never_to_a_lower_generation(steps):
    state = dissemination.Dissemination()
    before = 0
    for step, number in steps:
        run_step(state, step, number)
        rules = state.rules
        assertions.assert_that(
            rules.generation, matchers.Not(matchers.LessThan(before))
        )
        before = rules.generation
        if before:
            assertions.assert_that(
                (
                    rules.teams["borders"].rate,
                    rules.pipelines["service-report"].deadline_ms,
                ),
                matchers.Equals((20 + before, 30_000 + before)),
            )


def run_step(state, step, number):
    if step == "head":
        state.offer(GENERATIONS[number][0])
    elif step == "hear":
        state.record_announced(ids.Generation(number))
    elif step == "finish":
        state.activate()
    else:
        spoiled = b"#" if step == "spoil" else b""
        for digest, content in GENERATIONS[number][1].items():
            state.add_chunk(digest, spoiled + content)
