"""Compares methods of claiming keys by throughput and platform calls.

``python -m measure.claims`` prints JSON. The platform is in memory and
each call takes 3 ms; a message between the three hosts takes 1 ms.
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

CALL_LATENCY_MS = 3.0
"""Milliseconds that each call to the platform takes."""

RUN_DURATION_MS = 2000.0
"""Milliseconds for which each concurrency level is measured."""

CONCURRENCY_LEVELS = (1, 8, 64, 256)
"""Numbers of concurrent requests that are measured."""

HOST_COUNT = 3
"""Entry hosts that handle the requests."""

SHARD_COUNT = 16
"""Logs or set objects that the keys are hashed to."""

BODY = b'{"visit": 7}'
"""The body of each request."""

ANSWER = claims.RecordedAnswer(0, b'{"billed": true}')
"""The answer of each request."""


class SlowPlatform(memory.MemoryPlatform):
    """A platform in memory with a latency for each call."""

    async def get(self, key: str) -> platforms.VersionedObject:
        """Read an object; see `Platform.get`."""
        await self._clock.sleep(CALL_LATENCY_MS)
        return await super().get(key)

    async def list(
        self, prefix: str, after: str = "", page_size: int = 1000
    ) -> tuple[platforms.VersionedObject, ...]:
        """Read objects by prefix; see `Platform.list`."""
        await self._clock.sleep(CALL_LATENCY_MS)
        return await super().list(prefix, after, page_size)

    async def create(self, key: str, value: bytes) -> int:
        """Write a new object; see `Platform.create`."""
        await self._clock.sleep(CALL_LATENCY_MS)
        return await super().create(key, value)

    async def update(self, key: str, value: bytes, version: int) -> int:
        """Write an object at a version; see `Platform.update`."""
        await self._clock.sleep(CALL_LATENCY_MS)
        return await super().update(key, value, version)


class ClaimMethod(abc.ABC):
    """A method of claiming keys and storing their outcomes."""

    @abc.abstractmethod
    async def claim(self, host: int, key: ids.KeyDigest) -> object:
        """Claim a key and return the argument for `record`."""

    @abc.abstractmethod
    async def record(self, host: int, claimed: object) -> None:
        """Store the outcome of a claimed key."""

    async def finish(self) -> None:
        """Wait until all outcomes are stored."""


class LogMethod(ClaimMethod):
    """Sharded logs with group commit.

    Parameters
    ----------
    platform : Platform
        The platform that stores the logs.
    forwards : bool
        Whether hosts send claims to the owner of a shard, as the daemon
        does; otherwise each host writes to the logs itself.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        platform: platforms.Platform,
        forwards: bool = True,
    ) -> None:
        network = memory.MemoryNetwork(clock)
        names = [f"host{number}" for number in range(HOST_COUNT)]
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
                claimstore.Terms(shards=SHARD_COUNT),
                network.join(name) if forwards else None,
            )
            for name in names
        ]

    async def claim(self, host: int, key: ids.KeyDigest) -> object:
        """Claim a key; see `ClaimMethod.claim`."""
        claim = self._hosts[host].make_claim(key, BODY, 0, 5000)
        deadline = self._clock.now() + 5000
        verdict = await self._hosts[host].claim(claim, deadline)
        if verdict.state is not claims.VerdictState.GRANTED:
            raise RuntimeError(f"{key} is {verdict.state}")
        return claim

    async def record(self, host: int, claimed: object) -> None:
        """Store the outcome; see `ClaimMethod.record`."""
        await self._hosts[host].record(claimed, ANSWER)

    async def finish(self) -> None:
        """Wait until all outcomes are stored; see `ClaimMethod.finish`."""
        for host in self._hosts:
            await host.on_stop()


class ObjectMethod(ClaimMethod):
    """One object for each key: a create and then an update."""

    def __init__(self, platform: platforms.Platform) -> None:
        self._platform = platform

    async def claim(self, host: int, key: ids.KeyDigest) -> object:
        """Claim a key; see `ClaimMethod.claim`."""
        name = f"keys/{key}"
        digest = claims.digest_body(BODY).encode()
        return name, await self._platform.create(name, digest)

    async def record(self, host: int, claimed: object) -> None:
        """Store the outcome; see `ClaimMethod.record`."""
        name, version = claimed
        value = msgspec.msgpack.encode(ANSWER)
        await self._platform.update(name, value, version)


class SetMethod(ClaimMethod):
    """One object for the keys of a shard, updated by compare-and-swap."""

    def __init__(self, platform: platforms.Platform) -> None:
        self._platform = platform

    async def claim(self, host: int, key: ids.KeyDigest) -> object:
        """Claim a key; see `ClaimMethod.claim`."""
        await self._put(key, claims.digest_body(BODY))
        return key

    async def record(self, host: int, claimed: object) -> None:
        """Store the outcome; see `ClaimMethod.record`."""
        await self._put(claimed, ANSWER)

    async def _put(self, key: ids.KeyDigest, value: object) -> None:
        name = f"sets/{claims.shard_of(key, SHARD_COUNT)}"
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


def make_method(
    name: str, clock: clocks.Clock, platform: platforms.Platform
) -> ClaimMethod:
    """Make a method by its name."""
    if name == "log":
        return LogMethod(clock, platform)
    if name == "log without owners":
        return LogMethod(clock, platform, forwards=False)
    if name == "object":
        return ObjectMethod(platform)
    return SetMethod(platform)


async def measure(name: str, level: int) -> dict:
    """Measure one method at one concurrency level.

    Parameters
    ----------
    name : str
        The method, a name that `make_method` accepts.
    level : int
        Number of concurrent requests.

    Returns
    -------
    dict
        Claims per second, platform calls for each claim with its outcome,
        and quantiles of the duration of a claim in milliseconds.
    """
    clock = clocks.SystemClock()
    platform = SlowPlatform(clock)
    method = make_method(name, clock, platform)
    numbers = itertools.count()
    durations = []
    end = clock.now() + RUN_DURATION_MS

    async def work(worker: int) -> None:
        host = worker % HOST_COUNT
        while clock.now() < end:
            key = claims.digest_key("t", "p", str(next(numbers)))
            started = clock.now()
            claimed = await method.claim(host, key)
            durations.append(clock.now() - started)
            await method.record(host, claimed)

    await asyncio.gather(*(work(worker) for worker in range(level)))
    elapsed_ms = clock.now() - end + RUN_DURATION_MS
    await method.finish()
    quantiles = statistics.quantiles(durations, n=20)
    return {
        "way": name,
        "in_flight": level,
        "claims_per_second": round(len(durations) / elapsed_ms * 1000.0, 1),
        "calls_per_claim": round(platform.calls / len(durations), 3),
        "claim_p50_ms": round(quantiles[9], 2),
        "claim_p95_ms": round(quantiles[18], 2),
    }


async def run() -> list[dict]:
    """Measure all methods at all concurrency levels."""
    return [
        await measure(name, level)
        for name in ("log", "log without owners", "object", "set")
        for level in CONCURRENCY_LEVELS
    ]


if __name__ == "__main__":
    print(json.dumps(asyncio.run(run()), indent=1))
