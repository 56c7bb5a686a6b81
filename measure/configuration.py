"""What control of the configuration costs, and what it keeps.

Run as a program, it prints all results as JSON.
"""

import argparse
import asyncio
import gc
import math
import os
import subprocess
import sys
import time

import msgspec
import psutil

from chervilshore.clients import admin as admin_clients
from chervilshore.clients import rest
from chervilshore import clock as clocks
from chervilshore import commands
from chervilshore.decisions import rollout
from chervilshore import edits
from chervilshore import exceptions
from chervilshore import ids
from chervilshore import messages
from chervilshore import operations
from chervilshore.rules import generations
from chervilshore import wire
from measure import deployment as deployments
from measure import plans
from measure import races
from measure import rollouts

TEAMS = 26_000
SEEDS = 1000
ROUNDS = 3
CHANGES = 60
KILLS = 9
LOOK_SECONDS = 0.01
"""Seconds between two looks at a daemon's generation."""

GIVE_UP_SECONDS = 10.0


class Sizes(msgspec.Struct):
    """What 26,000 teams cost.

    Parameters
    ----------
    check_seconds : float
        Time of `check` on the whole file.
    file_bytes : int
        The file.
    chunks : int
        Its chunks.
    largest_chunk_bytes : int
        The largest of them.
    change_bytes : int
        What one team's change brings to a host: a head and a chunk, as
        messages.
    memory_bytes : int
        What the resident memory of a process grows by when the rules come
        into force in it.
    change_millis : float
        Processor time in a host of one team's change.
    """

    check_seconds: float
    file_bytes: int
    chunks: int
    largest_chunk_bytes: int
    change_bytes: int
    memory_bytes: int
    change_millis: float


class Times(msgspec.Struct):
    """Times from acceptance until all daemons have it in force.

    Parameters
    ----------
    changes : int
        Changes that were accepted.
    late : int
        Changes that were not in force everywhere in time.
    p50_ms, p99_ms, most_ms : float
        Milliseconds.
    """

    changes: int
    late: int
    p50_ms: float
    p99_ms: float
    most_ms: float


def make_generation(
    rate: int, number: int, buckets: int = 0
) -> tuple[generations.Head, dict[str, bytes]]:
    """Make a generation of all teams, of which one has this rate."""
    document = edits.parse(rollouts.write_teams(TEAMS, rate), "measured")
    packed = generations.pack(document, buckets)
    head = generations.Head(
        generation=ids.Generation(number),
        change=ids.ChangeId(f"{number:016x}"),
        previous=ids.ChangeId(f"{number - 1:016x}"),
        author="measure",
        reason="one team",
        time_ms=0.0,
        main=packed.main,
        buckets=packed.buckets,
    )
    return head, packed.chunks


def measure_sizes() -> Sizes:
    """Measure what 26,000 teams cost."""
    text = rollouts.write_teams(TEAMS, 10)
    begun = time.perf_counter()
    commands.check(text, "measured")
    check_seconds = time.perf_counter() - begun
    first, chunks = make_generation(10, 1)
    second, later = make_generation(11, 2, len(first.buckets))
    moved = [
        messages.HeadReply(generations.encode_head(second)),
        *(
            messages.ChunkReply(digest, content)
            for digest, content in later.items()
            if digest not in chunks
        ),
    ]
    memory, millis = _measure_apart()
    return Sizes(
        check_seconds=round(check_seconds, 3),
        file_bytes=len(text),
        chunks=len(chunks),
        largest_chunk_bytes=max(map(len, chunks.values())),
        change_bytes=sum(map(_count_bytes, moved)),
        memory_bytes=memory,
        change_millis=millis,
    )


def _count_bytes(message: messages.Message) -> int:
    envelope = wire.Envelope(ids.Address("127.0.0.1:1"), 1, True, message)
    return len(wire.encode(envelope))


def _measure_apart() -> tuple[int, float]:
    """Measure memory in a process that has done nothing else."""
    output = subprocess.run(
        [sys.executable, "-m", "measure.configuration", "--memory"],
        check=True,
        capture_output=True,
    ).stdout
    memory, millis = msgspec.json.decode(output)
    return memory, millis


def measure_memory() -> tuple[int, float]:
    """Measure resident memory and the time of one team's change."""
    # A daemon only gets chunks, so they are made in another process.
    process = psutil.Process()
    before = process.memory_info().rss
    made = _run_apart(_make_both)
    state = rollout.Rollout()
    _bring_into_force(state, *made[0])
    made[0][1].clear()
    gc.collect()
    memory = process.memory_info().rss - before
    begun = time.process_time()
    _bring_into_force(state, *made[1])
    return memory, round((time.process_time() - begun) * 1000.0, 1)


def _make_both() -> list:
    first, chunks = make_generation(10, 1)
    second, later = make_generation(11, 2, len(first.buckets))
    new = {
        digest: content
        for digest, content in later.items()
        if digest not in chunks
    }
    return [(first, chunks), (second, new)]


def _run_apart(make) -> list:
    reader, writer = os.pipe()
    child = os.fork()
    if child == 0:
        with os.fdopen(writer, "wb") as pipe:
            pipe.write(msgspec.msgpack.encode(make()))
        os._exit(0)
    os.close(writer)
    with os.fdopen(reader, "rb") as pipe:
        content = pipe.read()
    os.waitpid(child, 0)
    kind = list[tuple[generations.Head, dict[str, bytes]]]
    return msgspec.msgpack.decode(content, type=kind)


def _bring_into_force(
    state: rollout.Rollout, head: generations.Head, chunks: dict[str, bytes]
) -> None:
    state.offer(head)
    for digest, content in chunks.items():
        state.add_chunk(digest, content)
        state.compile_chunk(digest)
    if not state.activate():
        raise exceptions.RulesError(state.refusal)


class Spreading:
    """Times real daemons, as plain processes on loopback.

    Parameters
    ----------
    deployment : Deployment
        What is running.
    platform : RestPlatform
        Its platform.
    """

    def __init__(
        self,
        deployment: deployments.Deployment,
        platform: rest.RestPlatform,
    ) -> None:
        self._deployment = deployment
        self._operator = operations.Operations(
            platform, _NoAdmin(), clocks.SystemClock()
        )
        self._rate = 100

    async def time_changes(self, count: int) -> Times:
        """Time changes with all hosts and the platform up."""
        await self._wait_for_watchers()
        hosts = self._deployment.hosts
        return summarise([await self._time(hosts) for _ in range(count)])

    async def time_kills(self, count: int) -> Times:
        """Time changes at each of which a domain's watchers are killed."""
        found = []
        for turn in range(count):
            watchers = await self._wait_for_watchers()
            domains = self._deployment.plan.domains
            domain = domains[turn % len(domains)]
            victims = [host for host in watchers if host.domain == domain]
            hosts = [
                host for host in self._deployment.hosts if host not in victims
            ]
            found.append(await self._time(hosts, victims))
            for victim in victims:
                await self._deployment.start(victim)
            await self._deployment.wait_ready()
        return summarise(found)

    async def _time(self, hosts, victims=()) -> float:
        self._rate += 1
        edit = edits.Edit(None, "measure", "one team")
        team = self._deployment.plan.teams[-1]
        key = ("team", ids.TeamId(team))
        edit = await self._operator.make_field_edit(
            key, "rate", str(self._rate), edit
        )
        plan = await self._operator.plan(edit)
        for victim in victims:
            await self._deployment.kill(victim)
        head = await self._operator.apply(plan, 5000.0)
        begun = time.perf_counter()
        await asyncio.gather(
            *(self._follow(host, head.generation, begun) for host in hosts)
        )
        return (time.perf_counter() - begun) * 1000.0

    async def _follow(self, host, generation: int, begun: float) -> None:
        while time.perf_counter() < begun + GIVE_UP_SECONDS:
            state = await self._deployment.read_state(host)
            if state["generation"] >= generation:
                return
            await asyncio.sleep(LOOK_SECONDS)

    async def _find_watchers(self) -> list[deployments.Host]:
        found = []
        for host in self._deployment.hosts:
            state = await self._deployment.read_state(host)
            if state["configuration"]["watching"]:
                found.append(host)
        return found

    async def _wait_for_watchers(self) -> list[deployments.Host]:
        """Wait until each domain is watched, and not by all of its hosts.

        More than one host may watch a domain while they disagree on who is
        alive; that costs a few calls, and no more.
        """
        domains = set(self._deployment.plan.domains)
        end = time.perf_counter() + deployments.START_SECONDS
        while True:
            found = await self._find_watchers()
            watched = {host.domain for host in found}
            if watched == domains and len(found) < 2 * len(domains):
                return found
            if time.perf_counter() > end:
                names = ", ".join(host.name for host in found)
                raise RuntimeError(f"domains are not watched: {names}")
            await asyncio.sleep(0.1)


class _NoAdmin(admin_clients.StatusClient):
    """The measurement asks the daemons itself."""

    async def fetch_status(
        self, address: ids.Address, timeout_ms: float
    ) -> admin_clients.HostStatus:
        """Tell nothing; see `StatusClient.ask`."""
        raise exceptions.PeerError(address)


def summarise(millis: list[float]) -> Times:
    """Summarise times; the quantiles are nearest ranks."""
    ordered = sorted(millis)

    def pick(share: float) -> float:
        return round(ordered[math.ceil(share * len(ordered)) - 1], 1)

    limit = GIVE_UP_SECONDS * 1000.0
    late = sum(one >= limit for one in ordered)
    return Times(len(ordered), late, pick(0.5), pick(0.99), pick(1.0))


async def measure_daemons(plan: plans.Plan) -> dict[str, Times]:
    """Measure one deployment of real daemons."""
    async with deployments.Deployment(plan) as deployment:
        platform = rest.RestPlatform(deployment.platform)
        spreading = Spreading(deployment, platform)
        try:
            return {
                "up": await spreading.time_changes(CHANGES),
                "watcher_killed": await spreading.time_kills(KILLS),
            }
        finally:
            await platform.close()


async def measure() -> dict:
    """Measure everything."""
    return {
        "sizes": measure_sizes(),
        "races": await races.run(range(SEEDS), ROUNDS),
        "spread": await rollouts.run_all(),
        "daemons": await measure_daemons(plans.KELVINSIDE),
    }


def main() -> None:
    """Print all results, or only one part."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--memory", action="store_true")
    parser.add_argument("--daemons", action="store_true")
    parser.add_argument("--sizes", action="store_true")
    arguments = parser.parse_args()
    if arguments.memory:
        results = measure_memory()
    elif arguments.daemons:
        results = asyncio.run(measure_daemons(plans.KELVINSIDE))
    elif arguments.sizes:
        results = measure_sizes()
    else:
        results = asyncio.run(measure())
    print(msgspec.json.format(msgspec.json.encode(results)).decode())


if __name__ == "__main__":
    main()
