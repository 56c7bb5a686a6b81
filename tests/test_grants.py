"""Grants of a simulated cluster under random faults."""

import random

import pytest
from testtools import assertions
from testtools import matchers

from chervilshore.decisions import clusterview
from tests import grants_helpers

HOMES = {"a1": "a", "a2": "a", "a3": "a", "b1": "b"}
SEEDS = 1000
SEEDS_PER_TEST = 100


def _make_cluster(rng):
    placements = {
        "e1": clusterview.EndpointPlacement("a", rng.choice((1, 2)), 16),
    }
    return grants_helpers.Cluster(rng, HOMES, placements)


def _plan_load(cluster, rng, until):
    time_ms = 0.0
    while time_ms < until:
        time_ms += rng.expovariate(1 / 60.0)
        cluster.after(
            time_ms,
            cluster.request,
            rng.choice(list(HOMES)),
            rng.choice(list(cluster.placements)),
            rng.uniform(100, grants_helpers.MAX_ATTEMPT_MS),
        )


def _plan_faults(cluster, rng, until):
    time_ms = 1000.0
    while time_ms < until:
        time_ms += rng.uniform(100, 900)
        name = rng.choice(list(HOMES))
        kind = rng.choice(("pause", "kill", "leave", "partition", "suspect"))
        if kind == "pause":
            cluster.after(time_ms, cluster.pause, name, rng.uniform(50, 4000))
        elif kind == "kill":
            cluster.after(time_ms, cluster.kill, name)
            cluster.after(time_ms + rng.uniform(5, 2500), cluster.start, name)
        elif kind == "leave":
            cluster.after(time_ms, cluster.leave, name)
            cluster.after(time_ms + 2500, cluster.kill, name)
            cluster.after(
                time_ms + rng.uniform(2600, 4000), cluster.start, name
            )
        elif kind == "partition":
            cluster.after(time_ms, _partition, cluster, {"b"})
            cluster.after(
                time_ms + rng.uniform(100, 3000), _partition, cluster, set()
            )
        else:
            other = rng.choice(list(HOMES))
            cluster.after(
                time_ms, cluster.suspect, other, name, rng.uniform(50, 3000)
            )


def _partition(cluster, domains):
    cluster.partitioned = domains
    cluster.announce()


def run_schedule(seed):
    rng = random.Random(seed)
    cluster = _make_cluster(rng)
    cluster.loss_rate = rng.choice((0.0, 0.02, 0.2))
    cluster.duplicate_rate = rng.choice((0.0, 0.1))
    cluster.delay_rate = rng.choice((0.0, 0.05, 0.3))
    until = 8000.0
    _plan_load(cluster, rng, until)
    _plan_faults(cluster, rng, until)
    cluster.run(until)
    return cluster


@pytest.mark.parametrize("first", range(0, SEEDS, SEEDS_PER_TEST))
def test_a_cold_endpoint_never_exceeds_its_cold_bound(first):
    exceeded = {}
    for seed in range(first, first + SEEDS_PER_TEST):
        cluster = run_schedule(seed)
        for endpoint, placement in cluster.placements.items():
            if cluster.worst[endpoint] > placement.cold_bound:
                exceeded[seed, endpoint] = cluster.worst[endpoint]
    assertions.assert_that(exceeded, matchers.Equals({}))
