"""The bound of a cold endpoint over all hosts, whole and cut apart."""

import pytest
from testtools import assertions
from testtools import matchers

from chervilshore.decisions import pace
from chervilshore import ids

COLD = ids.EndpointId("cold")


def count_most(sides, rate, seconds=5):
    """Count the most requests in any second, with every host asking."""
    moments = []
    for hosts in sides:
        for host in hosts:
            own = pace.ColdRate(host)
            moments += [
                now
                for now in range(0, seconds * 1000, 5)
                if own.admit(COLD, rate, hosts, float(now))
            ]
    return max(
        sum(begin <= one < begin + 1000 for one in moments)
        for begin in moments
    )


def name_hosts(count):
    return [ids.HostId(f"h{number}") for number in range(count)]


@pytest.mark.parametrize("count", [1, 6, 9, 68, 300])
def test_all_hosts_together_stay_within_the_bound(count):
    most = count_most([name_hosts(count)], rate=16.0)
    assertions.assert_that(most, matchers.LessThan(16.0 * 1.5 + 5))


def test_two_sides_of_a_cut_stay_within_the_bound():
    hosts = name_hosts(9)
    most = count_most([hosts[:4], hosts[4:]], rate=16.0)
    assertions.assert_that(most, matchers.LessThan(16.0 * 1.5 + 5))


def test_a_cold_endpoint_gets_some_requests():
    most = count_most([name_hosts(6)], rate=16.0)
    assertions.assert_that(most, matchers.GreaterThan(3))
