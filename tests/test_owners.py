"""Owners are chosen among the hosts of high capacity."""

from testtools import assertions
from testtools import matchers

from chervilshore.decisions import owners
from chervilshore import ids
from chervilshore import records


def make_hosts(*capacities):
    return [
        records.HostRecord(
            host=ids.HostId(f"h{number}"),
            domain=ids.DomainId("a"),
            peer_address=ids.Address(""),
            http_address=ids.Address(""),
            capacity=capacity,
        )
        for number, capacity in enumerate(capacities)
    ]


def test_hosts_of_low_capacity_are_not_chosen():
    """Case: two hosts with 200 Mbit/s among twenty with 10."""
    hosts = make_hosts(*[10.0] * 20, 200.0, 200.0)
    chosen = {
        owners.choose_by_capacity(hosts, f"p{i}").host for i in range(50)
    }
    assertions.assert_that(chosen, matchers.Equals({"h20", "h21"}))


def test_hosts_of_equal_capacity_share_the_ownership():
    hosts = make_hosts(*[10.0] * 6)
    chosen = {
        owners.choose_by_capacity(hosts, f"p{i}").host for i in range(99)
    }
    assertions.assert_that(len(chosen), matchers.Equals(6))


def test_no_owner_is_chosen_without_hosts():
    assertions.assert_that(
        owners.choose_by_capacity([], "p"), matchers.Is(None)
    )
