"""How fast a generation spreads, and at what cost, beside plain polling.

Hosts stand in one process, on a clock that jumps; the network and the
platform are in memory. Each host that polls reads the head every second.
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

POLL_MS = 1000.0
"""Milliseconds between two reads of the head by a host that polls."""

IDLE_MS = 20_000.0
"""Milliseconds in which the calls without any change are counted."""

STEP_MS = 5.0
"""Milliseconds between two looks at what is in force."""

MOST_MS = 10_000.0


class PollingService(generations.GenerationService):
    """The simpler way: each host reads the head again and again."""

    async def _watch_forever(self) -> None:
        while not self.should_stop:
            await self._read_head()
            await self._clock.sleep(self._jitter(POLL_MS))

    def _notify(self, generation: ids.Generation) -> None:
        """Tell nobody; each host finds out for itself."""


class Spread(msgspec.Struct):
    """What one way costs at one size.

    Parameters
    ----------
    way : str
        How hosts learn of a generation.
    hosts, domains : int
        The size.
    idle_calls : float
        Platform calls a second of all hosts without any change.
    change_calls : int
        Platform calls of all hosts that one change brings besides.
    sent_bytes : float
        Bytes that a host sends to peers for one change, on average.
    most_ms : float
        Milliseconds from acceptance until all hosts have it in force.
    """

    way: str
    hosts: int
    domains: int
    idle_calls: float
    change_calls: int
    sent_bytes: float
    most_ms: float


class Fleet:
    """Hosts that all work alike.

    Parameters
    ----------
    way : type
        The service that each of them runs.
    domains, per_domain : int
        How many there are.
    teams : int
        Teams in the rules.
    """

    def __init__(
        self, way: type, domains: int, per_domain: int, teams: int
    ) -> None:
        self.clock = clocks.ManualClock()
        self.platform = memory.MemoryPlatform(self.clock)
        self.network = memory.MemoryNetwork(self.clock)
        self.hosts = [
            _make_host(domain, number)
            for domain in range(domains)
            for number in range(per_domain)
        ]
        self._way = way
        self._domains = domains
        self._teams = teams
        self.services: list[generations.GenerationService] = []

    async def start(self) -> None:
        """Accept the first rules and bring them into force."""
        await self.accept(10)
        view = directory.StaticDirectory(
            records.HostList(hosts=tuple(self.hosts))
        )
        for host in self.hosts:
            service = self._way(
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
        await self.wait(1)

    async def stop(self) -> None:
        """Stop all hosts, after the messages on their way are there."""
        await self.clock.advance(2 * self.network.delay_ms)
        for service in self.services:
            await service.stop()

    async def accept(self, rate: int) -> None:
        """Have rules accepted in which one team has this rate."""
        operator = operations.Operations(
            self.platform, None, races.InstantClock()
        )
        text = write_teams(self._teams, rate)
        snapshot = await operator.store.read()
        edit = edits.Edit(
            edits.parse(text, "measured"),
            "measure",
            "one team",
            base=snapshot.generation,
        )
        await operator.apply(await operator.plan(edit), 1000.0)

    async def wait(self, generation: int) -> float:
        """Pass time until a generation is in force everywhere."""
        begun = self.clock.now()
        while self.clock.now() < begun + MOST_MS:
            if all(
                service.rules.generation >= generation
                for service in self.services
            ):
                break
            await self.clock.advance(STEP_MS)
        return self.clock.now() - begun

    async def measure(self) -> Spread:
        """Count what idleness and one change cost."""
        before = self.platform.calls
        await self.clock.advance(IDLE_MS)
        idle = (self.platform.calls - before) / IDLE_MS
        await self.accept(11)
        calls, sent = self.platform.calls, self.network.bytes
        most = await self.wait(2)
        expected = round(idle * most)
        return Spread(
            way=self._way.__name__,
            hosts=len(self.hosts),
            domains=self._domains,
            idle_calls=round(idle * clocks.MILLIS_PER_SECOND, 2),
            change_calls=self.platform.calls - calls - expected,
            sent_bytes=round((self.network.bytes - sent) / len(self.hosts), 1),
            most_ms=most,
        )


def write_teams(teams: int, rate: int) -> str:
    """Write rules with many teams, of which one has the given rate."""
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
    way: type, domains: int, per_domain: int, teams: int = 5
) -> Spread:
    """Measure one way at one size."""
    fleet = Fleet(way, domains, per_domain, teams)
    try:
        await fleet.start()
        return await fleet.measure()
    finally:
        await fleet.stop()


SIZES = ((3, 3), (4, 2), (6, 15), (6, 62))
"""Domains, and hosts in each."""


async def run_all() -> list[Spread]:
    """Measure both ways at all sizes."""
    return [
        await run(way, domains, per_domain)
        for domains, per_domain in SIZES
        for way in (generations.GenerationService, PollingService)
    ]


if __name__ == "__main__":
    for spread in asyncio.run(run_all()):
        print(spread)
