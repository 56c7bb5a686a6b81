"""Fixtures that the tests share."""

import pytest

from chervilshore.clients import memory
from chervilshore import clock as clocks


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def platform(clock):
    return memory.MemoryPlatform(clock)


@pytest.fixture
def network(clock):
    return memory.MemoryNetwork(clock)
