"""Claims a second and platform calls for each, for the ways to claim.

``python -m measure.claims`` prints JSON. The platform is in memory and
takes 3 ms for each call; three hosts stand one millisecond apart.
"""

import abc
import asyncio
import itertools
import json
import random
import statistics

import msgspec

from chervilshore.clients import memory
from chervilshore.clients import platform as platforms
from chervilshore import clock as clocks
from chervilshore.controllers import claims as claims_module
from chervilshore.controllers import claimstore
from chervilshore.controllers import directory as directories
from chervilshore.decisions import claims
from chervilshore import exceptions
from chervilshore import ids
from chervilshore import records

CALL_MS = 3.0
"""Milliseconds that a call to the platform takes."""

RUN_MS = 2000.0
"""Milliseconds for which each level is kept up."""

LEVELS = (1, 8, 64, 256)
"""Requests in flight at once."""

HOSTS = 3
"""Entry hosts that take the requests."""

SHARDS = 16
"""Logs, or sets, over which keys are spread."""

BODY = b'{"visit": 7}'
"""The body of each request."""

ANSWER = claims.RecordedAnswer(0, b'{"billed": true}')
"""The answer of each request."""


class SlowPlatform(memory.MemoryPlatform):
    """A platform that takes a while for each call."""

    async def get(self, key: str) -> platforms.VersionedObject:
        """Read an object; see `Platform.get`."""
        await self._clock.sleep(CALL_MS)
        return await super().get(key)

    async def list(
        self, prefix: str, after: str = "", page_size: int = 1000
    ) -> tuple[platforms.VersionedObject, ...]:
        """Read objects by prefix; see `Platform.list`."""
        await self._clock.sleep(CALL_MS)
        return await super().list(prefix, after, page_size)

    async def create(self, key: str, value: bytes) -> int:
        """Write a new object; see `Platform.create`."""
        await self._clock.sleep(CALL_MS)
        return await super().create(key, value)

    async def update(self, key: str, value: bytes, version: int) -> int:
        """Write an object at a version; see `Platform.update`."""
        await self._clock.sleep(CALL_MS)
        return await super().update(key, value, version)


class Way(abc.ABC):
    """A way to claim a key and to keep its outcome."""

    @abc.abstractmethod
    async def claim(self, host: int, key: ids.KeyDigest) -> object:
        """Claim a key; what it returns is handed to `record`."""

    @abc.abstractmethod
    async def record(self, host: int, claimed: object) -> None:
        """Keep the outcome."""

    async def finish(self) -> None:
        """Wait until all outcomes are kept."""


class LogWay(Way):
    """Sharded logs with group commit.

    Parameters
    ----------
    clock : Clock
        The clock.
    platform : Platform
        Where the logs are.
    forwards : bool
        Whether hosts hand claims to the owner of a shard, the real way,
        or each writes for itself.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        platform: platforms.Platform,
        forwards: bool = True,
    ) -> None:
        network = memory.MemoryNetwork(clock)
        names = [f"host{number}" for number in range(HOSTS)]
        directory = directories.StaticDirectory(
            records.HostList(
                tuple(
                    records.HostRecord(name, "a", name, "") for name in names
                )
            )
        )
        self._clock = clock
        self._hosts = [
            claims_module.Claims(
                name,
                clock,
                platform,
                directory,
                random.Random(name),
                claimstore.Terms(shards=SHARDS),
                network.join(name) if forwards else None,
            )
            for name in names
        ]

    async def claim(self, host: int, key: ids.KeyDigest) -> object:
        """Claim a key; see `Way.claim`."""
        claim = self._hosts[host].make_claim(key, BODY, 0, 5000)
        deadline = self._clock.now() + 5000
        verdict = await self._hosts[host].claim(claim, deadline)
        if verdict.state is not claims.VerdictState.GRANTED:
            raise RuntimeError(f"{key} is {verdict.state}")
        return claim

    async def record(self, host: int, claimed: object) -> None:
        """Keep the outcome; see `Way.record`."""
        await self._hosts[host].record(claimed, ANSWER)

    async def finish(self) -> None:
        """Wait until all outcomes are kept; see `Way.finish`."""
        for host in self._hosts:
            await host.on_stop()


class ObjectWay(Way):
    """One object for each key: a create and an update."""

    def __init__(self, platform: platforms.Platform) -> None:
        self._platform = platform

    async def claim(self, host: int, key: ids.KeyDigest) -> object:
        """Claim a key; see `Way.claim`."""
        name = f"keys/{key}"
        digest = claims.digest_body(BODY).encode()
        return name, await self._platform.create(name, digest)

    async def record(self, host: int, claimed: object) -> None:
        """Keep the outcome; see `Way.record`."""
        name, version = claimed
        value = msgspec.msgpack.encode(ANSWER)
        await self._platform.update(name, value, version)


class SetWay(Way):
    """One object with all keys of a shard, updated at its version."""

    def __init__(self, platform: platforms.Platform) -> None:
        self._platform = platform

    async def claim(self, host: int, key: ids.KeyDigest) -> object:
        """Claim a key; see `Way.claim`."""
        await self._put(key, claims.digest_body(BODY))
        return key

    async def record(self, host: int, claimed: object) -> None:
        """Keep the outcome; see `Way.record`."""
        await self._put(claimed, ANSWER)

    async def _put(self, key: ids.KeyDigest, value: object) -> None:
        name = f"sets/{claims.shard_of(key, SHARDS)}"
        while True:
            try:
                stored = await self._platform.get(name)
                content = msgspec.msgpack.decode(stored.value)
                version = stored.version
            except exceptions.ObjectMissing:
                content, version = {}, 0
            content[key] = value
            packed = msgspec.msgpack.encode(content)
            try:
                if version:
                    await self._platform.update(name, packed, version)
                else:
                    await self._platform.create(name, packed)
            except exceptions.VersionConflict:
                continue
            return


def make_way(
    name: str, clock: clocks.Clock, platform: platforms.Platform
) -> Way:
    """Make one of the ways by its name."""
    if name == "log":
        return LogWay(clock, platform)
    if name == "log without owners":
        return LogWay(clock, platform, forwards=False)
    if name == "object":
        return ObjectWay(platform)
    return SetWay(platform)


async def measure(name: str, level: int) -> dict:
    """Measure one way at one level.

    Parameters
    ----------
    name : str
        The way, as `make_way` knows it.
    level : int
        Requests in flight at once.

    Returns
    -------
    dict
        Claims a second, calls for each claim with its outcome, and the
        time of a claim in milliseconds.
    """
    clock = clocks.SystemClock()
    platform = SlowPlatform(clock)
    way = make_way(name, clock, platform)
    numbers = itertools.count()
    times = []
    end = clock.now() + RUN_MS

    async def work(worker: int) -> None:
        host = worker % HOSTS
        while clock.now() < end:
            key = claims.digest_key("t", "p", str(next(numbers)))
            started = clock.now()
            claimed = await way.claim(host, key)
            times.append(clock.now() - started)
            await way.record(host, claimed)

    await asyncio.gather(*(work(worker) for worker in range(level)))
    took = clock.now() - end + RUN_MS
    await way.finish()
    quantiles = statistics.quantiles(times, n=20)
    return {
        "way": name,
        "in_flight": level,
        "claims_per_second": round(len(times) / took * 1000.0, 1),
        "calls_per_claim": round(platform.calls / len(times), 3),
        "claim_p50_ms": round(quantiles[9], 2),
        "claim_p95_ms": round(quantiles[18], 2),
    }


async def run() -> list[dict]:
    """Measure all ways at all levels."""
    return [
        await measure(name, level)
        for name in ("log", "log without owners", "object", "set")
        for level in LEVELS
    ]


if __name__ == "__main__":
    print(json.dumps(asyncio.run(run()), indent=1))
