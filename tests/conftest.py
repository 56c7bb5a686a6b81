"""Fixtures shared by the tests."""

import pytest

from chervilshore.clients import memory
from chervilshore import clock as clocks
from tests import gateway_helpers


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def platform(clock):
    return memory.MemoryPlatform(clock)


@pytest.fixture
def network(clock):
    return memory.MemoryNetwork(clock)


@pytest.fixture
async def deployment():
    new_deployment = gateway_helpers.Deployment()
    await new_deployment.start()
    yield new_deployment
    await new_deployment.stop()
