"""Compare ways to bound what many hosts send to an endpoint.

Run with ``python -m lab.grant_bench``. Hosts and endpoints are simulated
in one process; messages take about a millisecond.
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
HOP_RANGE_MS = (0.3, 1.5)
RETRY_INTERVAL_MS = 5.0
START_MS = 6000.0
WARM_UP_MS = 8000.0
LOAD_MS = 10_000.0
DEADLINE_MS = 1000.0
SEED = 1


class Result(msgspec.Struct):
    """What one way made of a load.

    Parameters
    ----------
    worst : int
        Most attempts in flight at one endpoint.
    over : int
        Attempts that began over the bound.
    begun : int
        Attempts that began.
    offered : int
        Requests.
    busy_ms : float
        Milliseconds of attempts.
    messages : int
        Messages about grants, or probes and their answers.
    """

    worst: int = 0
    started_over_limit: int = 0
    started: int = 0
    offered: int = 0
    busy_ms: float = 0.0
    messages: int = 0


class Simulation(abc.ABC):
    """Hosts that send to endpoints by some rule, without grants.

    Parameters
    ----------
    hosts : int
        How many hosts there are.
    bound : int
        What each endpoint bears.
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

    def after(self, millis, function, *args) -> None:
        """Call a function later."""
        entry = (self.now + millis, next(self._order), function, args)
        heapq.heappush(self._events, entry)

    def run(self, until: float) -> None:
        """Let time pass."""
        while self._events and self._events[0][0] <= until:
            self.now, _, function, args = heapq.heappop(self._events)
            function(*args)

    def start(self, host: int, endpoint: str) -> None:
        """Begin an attempt."""
        self.in_flight[endpoint] += 1
        self.in_flight_by_host[host, endpoint] = (
            self.in_flight_by_host.get((host, endpoint), 0) + 1
        )
        result = self.result
        result.started += 1
        result.started_over_limit += self.in_flight[endpoint] > self.limit
        result.worst = max(result.worst, self.in_flight[endpoint])
        millis = self.rng.uniform(*ATTEMPT_RANGE_MS)
        result.busy_ms += millis
        self.after(millis, self._end, host, endpoint)

    def _end(self, host: int, endpoint: str) -> None:
        self.in_flight[endpoint] -= 1
        self.in_flight_by_host[host, endpoint] -= 1

    def request(self, host: int) -> None:
        """Take a request, which tries until its deadline."""
        self.result.offered += 1
        self.attempt(host, self.now + DEADLINE_MS)

    def retry(self, host: int, deadline: float) -> None:
        """Try again a little later."""
        if self.now + RETRY_INTERVAL_MS < deadline:
            self.after(RETRY_INTERVAL_MS, self.attempt, host, deadline)

    @abc.abstractmethod
    def attempt(self, host: int, deadline: float) -> None:
        """Try once; each way does it differently."""


class Shares(Simulation):
    """Each host sends a fixed part of the bound, but at least one."""

    def attempt(self, host: int, deadline: float) -> None:
        """Send when this host's share has room."""
        share = max(1, self.limit // self.hosts)
        for endpoint in ENDPOINTS:
            if self.in_flight_by_host.get((host, endpoint), 0) < share:
                self.start(host, endpoint)
                return
        self.retry(host, deadline)


class TwoChoices(Simulation):
    """Each request asks two endpoints for their load, and takes the less."""

    def attempt(self, host: int, deadline: float) -> None:
        """Probe; the answers are one hop old when they are used."""
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
    """Grants of one keeper for each endpoint.

    Parameters
    ----------
    hosts : int
        How many hosts there are.
    bound : int
        What each endpoint bears.
    is_cold : bool
        Whether the endpoints say that they are cold.
    """

    def __init__(self, hosts: int, limit: int, is_cold: bool) -> None:
        cold = limit if is_cold else 2
        place = clusterview.EndpointPlacement("a", cold, limit)
        homes = {f"h{number}": "a" for number in range(hosts)}
        places = dict.fromkeys(ENDPOINTS, place)
        self.limit = limit
        self.offered = 0
        self.cluster = grants_helpers.Cluster(
            random.Random(SEED), homes, places, is_cold
        )
        self.cluster.min_budget_ms = ATTEMPT_RANGE_MS[1]
        self.cluster.millis = lambda name: self.cluster.rng.uniform(
            *ATTEMPT_RANGE_MS
        )

    @property
    def result(self) -> Result:
        """What came of it."""
        cluster = self.cluster
        started = sum(cluster.done.values())
        worst = max(cluster.worst.values())
        mean = sum(ATTEMPT_RANGE_MS) / 2
        started_over_limit = max(0, worst - self.limit)
        return Result(
            worst,
            started_over_limit,
            started,
            self.offered,
            started * mean,
            cluster.sent,
        )

    def after(self, millis, function, *args) -> None:
        """Call a function later."""
        self.cluster.after(millis, function, *args)

    def run(self, until: float) -> None:
        """Let time pass."""
        self.cluster.run(until)

    def request(self, host: int) -> None:
        """Ask where this host has a free slot, or else the fewest."""
        self.offered += 1
        name = f"h{host}"
        held = self.cluster.hosts[name].node
        now = self.cluster.now

        def load(endpoint):
            holder = held.holders.get(endpoint)
            running = len(holder.running) + holder.wanted if holder else 0
            return -min(1, held.count_free(endpoint, now)), running

        endpoint = min(ENDPOINTS, key=load)
        self.cluster.request(name, endpoint, DEADLINE_MS + ATTEMPT_RANGE_MS[1])


def _offer(
    simulation, hosts: int, rate: float, start: float, end: float
) -> None:
    """Offer requests; four of five come to two of the hosts."""
    rng = random.Random(SEED + 1)
    time_ms = start
    while time_ms < end:
        time_ms += rng.expovariate(rate / 1000.0)
        busy = rng.random() < 0.8
        host = rng.randrange(2 if busy else hosts)
        simulation.after(time_ms, simulation.request, host)


def _run_cold(simulation, hosts: int) -> Result:
    for number in range(4 * hosts):
        simulation.after(START_MS, simulation.request, number % hosts)
    simulation.run(START_MS + 3000.0)
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
    spent = Result(
        after[0], *(one - two for one, two in zip(after[1:], before[1:]))
    )
    used = spent.busy_ms / (LOAD_MS * len(ENDPOINTS) * limit)
    return spent, used


def main() -> None:
    """Print the two tables of docs/design/grants.md."""
    print("all hosts meet two cold endpoints that bear 2 at once")
    print("| hosts | way | worst in flight | begun over the bound | begun |")
    print("| --- | --- | --- | --- | --- |")
    for hosts in (9, 62):
        simulations = (
            Shares(hosts, 2),
            TwoChoices(hosts, 2),
            Grants(hosts, 2, True),
        )
        for simulation in simulations:
            found = _run_cold(simulation, hosts)
            print(
                f"| {hosts} | {type(simulation).__name__} | {found.worst} |"
                f" {found.started_over_limit} | {found.started} of {found.offered} |"
            )
    print("two warm endpoints that bear 64, two of nine hosts get 80%")
    print("| load | way | served | used | worst | messages a request |")
    print("| --- | --- | --- | --- | --- | --- |")
    for load_fraction in (0.5, 0.8, 1.2):
        simulations = (Shares(9, 64), TwoChoices(9, 64), Grants(9, 64, False))
        for simulation in simulations:
            found, used = _run_warm(simulation, 9, 64, load_fraction)
            print(
                f"| {load_fraction} | {type(simulation).__name__} |"
                f" {found.started / found.offered:.1%} | {used:.1%} |"
                f" {found.worst} | {found.messages / found.offered:.2f} |"
            )


if __name__ == "__main__":
    main()
