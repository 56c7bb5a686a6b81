"""Strong hosts look after what all hosts share."""

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


def test_weak_hosts_keep_nothing_while_a_strong_one_lives():
    """Pattern: a few hosts with 200 Mbit/s among many with 10."""
    hosts = make_hosts(*[10.0] * 20, 200.0, 200.0)
    chosen = {owners.choose_strong(hosts, f"p{i}").host for i in range(50)}
    assertions.assert_that(chosen, matchers.Equals({"h20", "h21"}))


def test_equal_hosts_share_the_work():
    hosts = make_hosts(*[10.0] * 6)
    chosen = {owners.choose_strong(hosts, f"p{i}").host for i in range(99)}
    assertions.assert_that(len(chosen), matchers.Equals(6))


def test_there_may_be_nobody():
    assertions.assert_that(owners.choose_strong([], "p"), matchers.Is(None))
