"""The grants of a fleet under faults."""

import random

import pytest
from testtools import assertions
from testtools import matchers

from chervilshore.decisions import outlook
from tests import grants_helpers

HOMES = {"a1": "a", "a2": "a", "a3": "a", "b1": "b"}
SEEDS = 1000
BATCH = 100


def _make_fleet(rng):
    places = {
        "e1": outlook.Place("a", rng.choice((1, 2)), 16),
    }
    return grants_helpers.Fleet(rng, HOMES, places)


def _plan_load(fleet, rng, until):
    moment = 0.0
    while moment < until:
        moment += rng.expovariate(1 / 60.0)
        fleet.after(
            moment,
            fleet.request,
            rng.choice(list(HOMES)),
            rng.choice(list(fleet.places)),
            rng.uniform(100, grants_helpers.LONGEST_MS),
        )


def _plan_faults(fleet, rng, until):
    moment = 1000.0
    while moment < until:
        moment += rng.uniform(100, 900)
        name = rng.choice(list(HOMES))
        kind = rng.choice(("pause", "kill", "leave", "cut", "doubt"))
        if kind == "pause":
            fleet.after(moment, fleet.pause, name, rng.uniform(50, 4000))
        elif kind == "kill":
            fleet.after(moment, fleet.kill, name)
            fleet.after(moment + rng.uniform(5, 2500), fleet.start, name)
        elif kind == "leave":
            fleet.after(moment, fleet.leave, name)
            fleet.after(moment + 2500, fleet.kill, name)
            fleet.after(moment + rng.uniform(2600, 4000), fleet.start, name)
        elif kind == "cut":
            fleet.after(moment, _cut, fleet, {"b"})
            fleet.after(moment + rng.uniform(100, 3000), _cut, fleet, set())
        else:
            other = rng.choice(list(HOMES))
            fleet.after(
                moment, fleet.doubt, other, name, rng.uniform(50, 3000)
            )


def _cut(fleet, domains):
    fleet.cut = domains
    fleet.spread()


def run_schedule(seed):
    rng = random.Random(seed)
    fleet = _make_fleet(rng)
    fleet.loss = rng.choice((0.0, 0.02, 0.2))
    fleet.double = rng.choice((0.0, 0.1))
    fleet.late = rng.choice((0.0, 0.05, 0.3))
    until = 8000.0
    _plan_load(fleet, rng, until)
    _plan_faults(fleet, rng, until)
    fleet.run(until)
    return fleet


@pytest.mark.parametrize("first", range(0, SEEDS, BATCH))
def test_a_cold_endpoint_is_never_overrun(first):
    overrun = {}
    for seed in range(first, first + BATCH):
        fleet = run_schedule(seed)
        for endpoint, place in fleet.places.items():
            if fleet.worst[endpoint] > place.cold:
                overrun[seed, endpoint] = fleet.worst[endpoint]
    assertions.assert_that(overrun, matchers.Equals({}))
