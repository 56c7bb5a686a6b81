"""Generations come into force on all hosts, whole and never lower."""

import pytest
from testtools import assertions
from testtools import matchers

from tests import configuration_helpers as helpers

DOMAINS = ("scot-a", "scot-b", "scot-c")


@pytest.fixture
async def fleet(clock, platform, network):
    fleet = helpers.Fleet(clock, platform, network, DOMAINS)
    yield fleet
    await fleet.stop()


def change_rate(text, rate, team="borders"):
    rows = text.splitlines()
    for index, row in enumerate(rows):
        if row.startswith(f"team {team} "):
            rows[index] = f"team {team} rate={rate}  # Morag, test"
    return "\n".join(rows) + "\n"


async def test_a_change_is_in_force_everywhere_within_a_second(fleet, clock):
    await fleet.start()
    head = await helpers.accept(fleet)
    await clock.advance(1000)
    assertions.assert_that(
        fleet.list_generations(), matchers.Equals([head.generation] * 9)
    )
    for service in fleet.services.values():
        assertions.assert_that(
            service.rules.pools, matchers.Contains("assistant")
        )


async def test_a_host_that_starts_in_an_outage_learns_from_peers(
    fleet, clock, platform
):
    first, *others = fleet.hosts
    await fleet.start(others)
    await helpers.accept(fleet)
    await clock.advance(1000)
    platform.faults = lambda call, key: helpers.DOWN
    service = await fleet.start_host(first)
    await clock.advance(1000)
    assertions.assert_that(service.rules.generation, matchers.Equals(1))
