"""Compares the spread of a generation by watchers with plain polling.

The hosts run in one process on a manual clock; the network and the platform
are in memory. Each host that polls reads the head every second.
"""

import asyncio
import random

import msgspec

from chervilshore.clients import memory
from chervilshore import clock as clocks
from chervilshore.controllers import directory
from chervilshore.controllers import generations
from chervilshore import edits
from chervilshore import ids
from chervilshore import operations
from chervilshore import records
from measure import races

POLL_INTERVAL_MS = 1000.0
"""Milliseconds between two reads of the head by a host that polls."""

IDLE_PERIOD_MS = 20_000.0
"""Milliseconds for which platform calls without changes are counted."""

CHECK_INTERVAL_MS = 5.0
"""Milliseconds between two checks of the active generations."""

MAX_WAIT_MS = 10_000.0
"""Milliseconds to wait for a generation to become active everywhere."""


class PollingService(generations.GenerationService):
    """The baseline: each host reads the head at a fixed interval."""

    async def _watch_forever(self) -> None:
        while not self.should_stop:
            await self._read_head()
            await self._clock.sleep(self._jitter(POLL_INTERVAL_MS))

    def _notify(self, generation: ids.Generation) -> None:
        """Do nothing; each host reads the head itself."""


class RolloutCost(msgspec.Struct):
    """The cost of one kind of spread at one size.

    Parameters
    ----------
    way : str
        The class of the service that rolls generations out.
    hosts, domains : int
        The size of the cluster.
    idle_calls : float
        Platform calls per second of all hosts without changes.
    change_calls : int
        Additional platform calls of all hosts for one change.
    sent_bytes : float
        Bytes that a host sends to peers for one change, on average.
    most_ms : float
        Milliseconds from acceptance until it is active on all hosts.
    """

    way: str
    hosts: int
    domains: int
    idle_calls: float
    change_calls: int
    sent_bytes: float
    most_ms: float


class RolloutCluster:
    """Hosts that all run the same service.

    Parameters
    ----------
    service_class : type
        The service that each host runs.
    domains, per_domain : int
        The number of domains, and of hosts in each.
    teams : int
        Number of teams in the rules.
    """

    def __init__(
        self, service_class: type, domains: int, per_domain: int, teams: int
    ) -> None:
        self.clock = clocks.ManualClock()
        self.platform = memory.MemoryPlatform(self.clock)
        self.network = memory.MemoryNetwork(self.clock)
        self.hosts = [
            _make_host(domain, number)
            for domain in range(domains)
            for number in range(per_domain)
        ]
        self._service_class = service_class
        self._domains = domains
        self._teams = teams
        self.services: list[generations.GenerationService] = []

    async def start(self) -> None:
        """Publish the first rules and wait until they are active."""
        await self.publish_rules(10)
        view = directory.StaticDirectory(
            records.HostList(hosts=tuple(self.hosts))
        )
        for host in self.hosts:
            service = self._service_class(
                host.host,
                host.domain,
                self.platform,
                self.network.join(host.peer_address),
                view,
                self.clock,
                random.Random(host.host),
            )
            self.services.append(service)
            await service.start()
        await self.wait_until_active(1)

    async def stop(self) -> None:
        """Stop all hosts after the messages in transit are delivered."""
        await self.clock.advance(2 * self.network.delay_ms)
        for service in self.services:
            await service.stop()

    async def publish_rules(self, rate: int) -> None:
        """Publish rules in which the team glasgow has this rate."""
        operator = operations.Operations(
            self.platform, None, races.InstantClock()
        )
        text = make_rules_text(self._teams, rate)
        snapshot = await operator.store.read()
        edit = edits.Edit(
            edits.parse(text, "measured"),
            "measure",
            "one team",
            base=snapshot.generation,
        )
        await operator.apply(await operator.plan(edit), 1000.0)

    async def wait_until_active(self, generation: int) -> float:
        """Wait until a generation is active everywhere; return the ms."""
        started = self.clock.now()
        while self.clock.now() < started + MAX_WAIT_MS:
            if all(
                service.rules.generation >= generation
                for service in self.services
            ):
                break
            await self.clock.advance(CHECK_INTERVAL_MS)
        return self.clock.now() - started

    async def measure(self) -> RolloutCost:
        """Measure the cost without changes and of one change."""
        before = self.platform.calls
        await self.clock.advance(IDLE_PERIOD_MS)
        idle = (self.platform.calls - before) / IDLE_PERIOD_MS
        await self.publish_rules(11)
        calls, sent = self.platform.calls, self.network.bytes
        spread_ms = await self.wait_until_active(2)
        expected = round(idle * spread_ms)
        return RolloutCost(
            way=self._service_class.__name__,
            hosts=len(self.hosts),
            domains=self._domains,
            idle_calls=round(idle * clocks.MILLIS_PER_SECOND, 2),
            change_calls=self.platform.calls - calls - expected,
            sent_bytes=round((self.network.bytes - sent) / len(self.hosts), 1),
            most_ms=spread_ms,
        )


def make_rules_text(teams: int, rate: int) -> str:
    """Return rules with many teams; the team glasgow has this rate."""
    rows = [
        races.INITIAL_RULES.replace("glasgow rate=10", f"glasgow rate={rate}")
    ]
    rows.extend(
        f"team team-{number:05d} rate={10 + number % 50} "
        f"burst={20 + number % 50} concurrency=20  "
        f"# Morag Sinclair, franchise number {number}\n"
        for number in range(teams - 3)
    )
    return "".join(rows)


def _make_host(domain: int, number: int) -> records.HostRecord:
    address = ids.Address(f"10.{domain}.0.{number}:7000")
    return records.HostRecord(
        ids.HostId(f"{domain}-{number}"),
        ids.DomainId(str(domain)),
        address,
        address,
    )


async def run(
    service_class: type, domains: int, per_domain: int, teams: int = 5
) -> RolloutCost:
    """Measure one kind of spread at one size."""
    cluster = RolloutCluster(service_class, domains, per_domain, teams)
    try:
        await cluster.start()
        return await cluster.measure()
    finally:
        await cluster.stop()


SIZES = ((3, 3), (4, 2), (6, 15), (6, 62))
"""Pairs of the number of domains and of hosts in each."""


async def run_all() -> list[RolloutCost]:
    """Measure both kinds of spread at all sizes."""
    return [
        await run(service_class, domains, per_domain)
        for domains, per_domain in SIZES
        for service_class in (generations.GenerationService, PollingService)
    ]


if __name__ == "__main__":
    for cost in asyncio.run(run_all()):
        print(cost)
