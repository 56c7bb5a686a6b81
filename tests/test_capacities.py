"""How hosts learn the capacity of endpoints together, on virtual time."""

import contextlib

import pytest
from testtools import assertions
from testtools import matchers

from chervilshore import capacitymessages
from chervilshore.clients import memory
from chervilshore.controllers import capacities
from chervilshore.controllers import directory as directories
from chervilshore.decisions.capacity import observations
from chervilshore.decisions import routing
from chervilshore import messages
from chervilshore import metrics
from chervilshore import records
from chervilshore import wire
from tests import virtual

DOMAINS = ("a", "b")
ENDPOINT = records.EndpointRecord("e1", "llm", "a", "e1:1", slots=4)
LEARNT_SECONDS = 1.5
"""Seconds after which all hosts know what one of them saw."""


class Fleet:
    """Hosts of two domains with one endpoint."""

    def __init__(self, hosts):
        self.network = memory.MemoryNetwork(virtual.LoopClock())
        self.records = [
            records.HostRecord(
                f"h{number}",
                DOMAINS[number % 2],
                f"h{number}:1",
                f"h{number}:2",
                capacity=1.0 if number < 4 else 0.1,
            )
            for number in range(hosts)
        ]
        self.hosts = {}
        self.is_cut = {}
        self.network.should_drop = lambda sender, to: (
            self.is_cut.get(sender, False) != self.is_cut.get(to, False)
        )

    def list_living(self):
        return tuple(one for one in self.records if one.host in self.hosts)

    async def start(self):
        for record in self.records:
            directory = directories.StaticDirectory(records.HostList((), ()))
            directory.hosts = self.list_living
            directory.endpoints = lambda pool: (ENDPOINT,)
            directory.endpoint = {"e1": ENDPOINT}.get
            self.hosts[record.host] = capacities.Capacities(
                record.host,
                record.domain,
                virtual.LoopClock(),
                directory,
                self.network.join(record.peer_address),
                metrics.Metrics(),
            )
        for host in self.hosts.values():
            await host.start()

    async def stop(self, name):
        host = self.hosts.pop(name)
        self.network.remove_host(f"{name}:1")
        await host.stop()

    def send(self, name):
        """Let a host make an attempt at the endpoint."""
        requirements = routing.StageRequirements("r1", "t", 0, "llm", 1e9)
        candidate = routing.Candidate(
            ENDPOINT, read_tokens=1000, expected_ms=50.0
        )
        return self.hosts[name].begin(requirements, candidate)

    def list_in_flight(self):
        """Return what each host takes for the load of the endpoint."""
        now = virtual.LoopClock().now()
        return {
            name: host.find_estimates("llm")
            .find(ENDPOINT, host.list_mine().get("e1"), now)
            .in_flight
            for name, host in self.hosts.items()
        }


@contextlib.asynccontextmanager
async def run_fleet(hosts=8):
    fleet = Fleet(hosts)
    await fleet.start()
    try:
        yield fleet
    finally:
        for name in list(fleet.hosts):
            await fleet.stop(name)


async def pass_seconds(seconds):
    await virtual.LoopClock().sleep(1000.0 * seconds)


def test_all_hosts_know_the_load_of_an_endpoint():
    async def scenario():
        async with run_fleet() as fleet:
            flights = [fleet.send(name) for name in list(fleet.hosts)[:5]]
            await pass_seconds(LEARNT_SECONDS)
            assertions.assert_that(
                set(fleet.list_in_flight().values()), matchers.Equals({5})
            )
            for name, flight in zip(list(fleet.hosts), flights):
                flight.record_events(1, virtual.LoopClock().now())
                fleet.hosts[name].end(flight, records.Outcome.OK)
            await pass_seconds(LEARNT_SECONDS)
            assertions.assert_that(
                set(fleet.list_in_flight().values()), matchers.Equals({0})
            )
            first_ms = fleet.hosts["h7"].find_estimates("llm").speeds
            assertions.assert_that(
                first_ms.steady("e1", 0.0), matchers.GreaterThan(1.2)
            )

    virtual.run(scenario())


def test_idle_hosts_send_nothing():
    async def scenario():
        async with run_fleet() as fleet:
            await pass_seconds(20.0)
            assertions.assert_that(fleet.network.messages, matchers.Equals(0))

    virtual.run(scenario())


def test_aggregator_that_ends_is_replaced():
    async def scenario():
        async with run_fleet() as fleet:
            aggregators = capacities.choose_aggregators(fleet.records)
            lost = aggregators["a"].host
            sender = next(
                one.host
                for one in fleet.records
                if one.domain == "a" and one.host != lost
            )
            fleet.send(sender)
            await pass_seconds(LEARNT_SECONDS)
            await fleet.stop(lost)
            # What the lost one last told counts until it is too old.
            await pass_seconds(LEARNT_SECONDS + 2.0)
            assertions.assert_that(
                set(fleet.list_in_flight().values()), matchers.Equals({1})
            )

    virtual.run(scenario())


@pytest.mark.parametrize("cut_domain", DOMAINS)
def test_domain_that_is_cut_off_goes_on_with_its_own(cut_domain):
    async def scenario():
        async with run_fleet() as fleet:
            for name in list(fleet.hosts)[:6]:
                fleet.send(name)
            await pass_seconds(LEARNT_SECONDS)
            for record in fleet.records:
                if record.domain == cut_domain:
                    fleet.is_cut[record.peer_address] = True
            await pass_seconds(LEARNT_SECONDS + 2.0)
            assertions.assert_that(
                set(fleet.list_in_flight().values()), matchers.Equals({3})
            )
            fleet.is_cut.clear()
            await pass_seconds(LEARNT_SECONDS)
            assertions.assert_that(
                set(fleet.list_in_flight().values()), matchers.Equals({6})
            )

    virtual.run(scenario())


@pytest.mark.parametrize("hosts", (6, 84))
def test_messages_of_a_host_are_bounded(hosts):
    """The load: each host has a request in flight all the time."""

    async def scenario():
        async with run_fleet(hosts) as fleet:
            for name in fleet.hosts:
                fleet.send(name)
            await pass_seconds(10.0)
            per_host_second = fleet.network.messages / hosts / 10.0
            assertions.assert_that(per_host_second, matchers.LessThan(10.0))
            aggregators = capacities.choose_aggregators(fleet.records)
            assertions.assert_that(
                {one.capacity for one in aggregators.values()},
                matchers.Equals({1.0}),
            )

    virtual.run(scenario())


@pytest.mark.parametrize("endpoints", (45, 200))
def test_table_is_compact(endpoints):
    table = capacitymessages.CapacityTable(
        tuple(
            observations.Observation(
                f"i-{number:010x}", 3, 1, 12_000, 60, 3000, 1, 300, 12_000
            )
            for number in range(endpoints)
        ),
        300,
    )
    assertions.assert_that(table, matchers.IsInstance(messages.Message))
    size = len(wire.encode(wire.Envelope("10.0.0.1:9000", 0, False, table)))
    assertions.assert_that(size, matchers.LessThan(40 * endpoints + 60))


def test_choice_is_described_for_operators():
    candidate = routing.Candidate(ENDPOINT)
    assertions.assert_that(
        capacities.describe_choice(candidate), matchers.Equals({})
    )
    candidate.expected_ms = 81.4
    candidate.passed_over = "e2"
    candidate.passed_over_ms = 320.6
    assertions.assert_that(
        capacities.describe_choice(candidate),
        matchers.Equals(
            {
                "expected_ms": 81,
                "slowness": 1.0,
                "passed_over": "e2",
                "passed_over_ms": 321,
            }
        ),
    )
