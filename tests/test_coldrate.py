"""The request rate of a cold endpoint, with and without a partition."""

import pytest
from testtools import assertions
from testtools import matchers

from chervilshore.decisions import coldrate
from chervilshore import ids

COLD = ids.EndpointId("cold")


def count_max_per_second(sides, rate, seconds=5):
    """Return the most requests in any second, if every host sends often."""
    times = []
    for hosts in sides:
        for host in hosts:
            cold_rate = coldrate.ColdRate(host)
            times += [
                now
                for now in range(0, seconds * 1000, 5)
                if cold_rate.admit(COLD, rate, hosts, float(now))
            ]
    return max(
        sum(start <= time < start + 1000 for time in times) for start in times
    )


def make_hosts(count):
    return [ids.HostId(f"h{number}") for number in range(count)]


@pytest.mark.parametrize("count", [1, 6, 9, 68, 300])
def test_all_hosts_together_stay_within_the_rate(count):
    highest = count_max_per_second([make_hosts(count)], rate=16.0)
    assertions.assert_that(highest, matchers.LessThan(16.0 * 1.5 + 5))


def test_two_sides_of_a_partition_stay_within_the_rate():
    hosts = make_hosts(9)
    highest = count_max_per_second([hosts[:4], hosts[4:]], rate=16.0)
    assertions.assert_that(highest, matchers.LessThan(16.0 * 1.5 + 5))


def test_a_cold_endpoint_gets_some_requests():
    highest = count_max_per_second([make_hosts(6)], rate=16.0)
    assertions.assert_that(highest, matchers.GreaterThan(3))
