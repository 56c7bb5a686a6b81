"""Compares methods of limiting the concurrency of an endpoint.

Run with ``python -m lab.grant_bench``. Hosts and endpoints are simulated
in one process; messages take approximately a millisecond.
"""

import abc
import heapq
import itertools
import random

import msgspec

from chervilshore.decisions import clusterview
from tests import grants_helpers

ENDPOINTS = ("e1", "e2")
ATTEMPT_RANGE_MS = (150.0, 250.0)
"""Range of the duration of an attempt."""

HOP_RANGE_MS = (0.3, 1.5)
"""Range of the latency of a message."""

RETRY_INTERVAL_MS = 5.0
COLD_START_MS = 6000.0
WARM_UP_MS = 8000.0
LOAD_MS = 10_000.0
DEADLINE_MS = 1000.0
SEED = 1


class Result(msgspec.Struct):
    """The result of one method under one load.

    Parameters
    ----------
    max_in_flight : int
        Most attempts in flight at one endpoint.
    started_over_limit : int
        Attempts that were started while the endpoint was at its limit.
    started : int
        Attempts that were started.
    offered : int
        Requests.
    busy_ms : float
        Total duration of all attempts.
    messages : int
        Grant messages, or probes and their replies.
    """

    max_in_flight: int = 0
    started_over_limit: int = 0
    started: int = 0
    offered: int = 0
    busy_ms: float = 0.0
    messages: int = 0


class Simulation(abc.ABC):
    """Base class of methods without grants.

    Parameters
    ----------
    hosts : int
        Number of hosts.
    limit : int
        Concurrency limit of each endpoint.
    """

    def __init__(self, hosts: int, limit: int) -> None:
        self.hosts = hosts
        self.limit = limit
        self.rng = random.Random(SEED)
        self.now = 0.0
        self.in_flight = dict.fromkeys(ENDPOINTS, 0)
        self.in_flight_by_host: dict[tuple[int, str], int] = {}
        self.result = Result()
        self._events: list[tuple] = []
        self._order = itertools.count()

    def after(self, delay_ms, function, *args) -> None:
        """Schedule a function call."""
        entry = (self.now + delay_ms, next(self._order), function, args)
        heapq.heappush(self._events, entry)

    def run(self, until: float) -> None:
        """Run until a time in milliseconds."""
        while self._events and self._events[0][0] <= until:
            self.now, _, function, args = heapq.heappop(self._events)
            function(*args)

    def start(self, host: int, endpoint: str) -> None:
        """Start an attempt."""
        self.in_flight[endpoint] += 1
        self.in_flight_by_host[host, endpoint] = (
            self.in_flight_by_host.get((host, endpoint), 0) + 1
        )
        result = self.result
        result.started += 1
        result.started_over_limit += self.in_flight[endpoint] > self.limit
        result.max_in_flight = max(
            result.max_in_flight, self.in_flight[endpoint]
        )
        duration_ms = self.rng.uniform(*ATTEMPT_RANGE_MS)
        result.busy_ms += duration_ms
        self.after(duration_ms, self._end, host, endpoint)

    def _end(self, host: int, endpoint: str) -> None:
        self.in_flight[endpoint] -= 1
        self.in_flight_by_host[host, endpoint] -= 1

    def request(self, host: int) -> None:
        """Handle a request, which is attempted until its deadline."""
        self.result.offered += 1
        self.attempt(host, self.now + DEADLINE_MS)

    def retry(self, host: int, deadline: float) -> None:
        """Attempt again after `RETRY_INTERVAL_MS` if the deadline allows."""
        if self.now + RETRY_INTERVAL_MS < deadline:
            self.after(RETRY_INTERVAL_MS, self.attempt, host, deadline)

    @abc.abstractmethod
    def attempt(self, host: int, deadline: float) -> None:
        """Start an attempt if the method allows one, or else retry."""


class Shares(Simulation):
    """Each host may use an equal share of the limit, but at least one."""

    def attempt(self, host: int, deadline: float) -> None:
        """Start an attempt when this host is below its share."""
        share = max(1, self.limit // self.hosts)
        for endpoint in ENDPOINTS:
            if self.in_flight_by_host.get((host, endpoint), 0) < share:
                self.start(host, endpoint)
                return
        self.retry(host, deadline)


class TwoChoices(Simulation):
    """Each request probes two endpoints and uses the less loaded one."""

    def attempt(self, host: int, deadline: float) -> None:
        """Probe; the replies are one hop old when they are used."""
        self.result.messages += 2 * len(ENDPOINTS)
        self.after(self.rng.uniform(*HOP_RANGE_MS), self._read, host, deadline)

    def _read(self, host: int, deadline: float) -> None:
        seen = dict(self.in_flight)
        delay = self.rng.uniform(*HOP_RANGE_MS)
        self.after(delay, self._choose, host, deadline, seen)

    def _choose(self, host: int, deadline: float, seen: dict) -> None:
        endpoint = min(ENDPOINTS, key=seen.get)
        if seen[endpoint] < self.limit:
            self.start(host, endpoint)
        else:
            self.retry(host, deadline)


class Grants:
    """Grants by an owner of each endpoint.

    Parameters
    ----------
    hosts : int
        Number of hosts.
    limit : int
        Concurrency limit of each endpoint.
    is_cold : bool
        Whether the endpoints report that they are cold.
    """

    def __init__(self, hosts: int, limit: int, is_cold: bool) -> None:
        cold = limit if is_cold else 2
        placement = clusterview.EndpointPlacement("a", cold, limit)
        homes = {f"h{number}": "a" for number in range(hosts)}
        placements = dict.fromkeys(ENDPOINTS, placement)
        self.limit = limit
        self.offered = 0
        self.cluster = grants_helpers.Cluster(
            random.Random(SEED), homes, placements, is_cold
        )
        self.cluster.min_budget_ms = ATTEMPT_RANGE_MS[1]
        self.cluster.millis = lambda name: self.cluster.rng.uniform(
            *ATTEMPT_RANGE_MS
        )

    @property
    def result(self) -> Result:
        """The result so far."""
        cluster = self.cluster
        started = sum(cluster.done.values())
        max_in_flight = max(cluster.worst.values())
        mean = sum(ATTEMPT_RANGE_MS) / 2
        started_over_limit = max(0, max_in_flight - self.limit)
        return Result(
            max_in_flight,
            started_over_limit,
            started,
            self.offered,
            started * mean,
            cluster.sent,
        )

    def after(self, delay_ms, function, *args) -> None:
        """Schedule a function call."""
        self.cluster.after(delay_ms, function, *args)

    def run(self, until: float) -> None:
        """Run until a time in milliseconds."""
        self.cluster.run(until)

    def request(self, host: int) -> None:
        """Request an endpoint with a free slot, or else the least loaded."""
        self.offered += 1
        name = f"h{host}"
        node = self.cluster.hosts[name].node
        now = self.cluster.now

        def rank(endpoint):
            holder = node.holders.get(endpoint)
            running = len(holder.running) + holder.wanted if holder else 0
            return -min(1, node.count_free(endpoint, now)), running

        endpoint = min(ENDPOINTS, key=rank)
        self.cluster.request(name, endpoint, DEADLINE_MS + ATTEMPT_RANGE_MS[1])


def _offer(
    simulation, hosts: int, rate: float, start: float, end: float
) -> None:
    """Schedule requests; 80 % of them go to two of the hosts."""
    rng = random.Random(SEED + 1)
    time_ms = start
    while time_ms < end:
        time_ms += rng.expovariate(rate / 1000.0)
        to_busy_hosts = rng.random() < 0.8
        host = rng.randrange(2 if to_busy_hosts else hosts)
        simulation.after(time_ms, simulation.request, host)


def _run_cold(simulation, hosts: int) -> Result:
    for number in range(4 * hosts):
        simulation.after(COLD_START_MS, simulation.request, number % hosts)
    simulation.run(COLD_START_MS + 3000.0)
    return simulation.result


def _run_warm(
    simulation, hosts: int, limit: int, load_fraction: float
) -> tuple:
    mean = sum(ATTEMPT_RANGE_MS) / 2
    rate = load_fraction * len(ENDPOINTS) * limit * 1000.0 / mean
    _offer(simulation, hosts, rate, 0.0, WARM_UP_MS + LOAD_MS)
    simulation.run(WARM_UP_MS)
    before = msgspec.structs.astuple(simulation.result)
    simulation.run(WARM_UP_MS + LOAD_MS)
    after = msgspec.structs.astuple(simulation.result)
    change = Result(
        after[0], *(one - two for one, two in zip(after[1:], before[1:]))
    )
    used = change.busy_ms / (LOAD_MS * len(ENDPOINTS) * limit)
    return change, used


def main() -> None:
    """Print the two tables of docs/design/grants.md."""
    print("all hosts use two cold endpoints with a limit of 2")
    print("| hosts | way | worst in flight | begun over the bound | begun |")
    print("| --- | --- | --- | --- | --- |")
    for hosts in (9, 62):
        simulations = (
            Shares(hosts, 2),
            TwoChoices(hosts, 2),
            Grants(hosts, 2, True),
        )
        for simulation in simulations:
            result = _run_cold(simulation, hosts)
            print(
                f"| {hosts} | {type(simulation).__name__} |"
                f" {result.max_in_flight} | {result.started_over_limit} |"
                f" {result.started} of {result.offered} |"
            )
    print("two warm endpoints with a limit of 64, two of nine hosts get 80%")
    print("| load | way | served | used | worst | messages a request |")
    print("| --- | --- | --- | --- | --- | --- |")
    for load_fraction in (0.5, 0.8, 1.2):
        simulations = (Shares(9, 64), TwoChoices(9, 64), Grants(9, 64, False))
        for simulation in simulations:
            result, used = _run_warm(simulation, 9, 64, load_fraction)
            print(
                f"| {load_fraction} | {type(simulation).__name__} |"
                f" {result.started / result.offered:.1%} | {used:.1%} |"
                f" {result.max_in_flight} |"
                f" {result.messages / result.offered:.2f} |"
            )


if __name__ == "__main__":
    main()
