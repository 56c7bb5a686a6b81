"""Measures the cost of configuration changes and checks their guarantees.

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
from chervilshore.decisions import dissemination
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
from measure import spread

TEAMS = 26_000
SEEDS = 1000
ROUNDS = 3
CHANGES = 60
KILLS = 9
POLL_INTERVAL_S = 0.01
"""Seconds between two reads of a daemon's generation."""

MAX_WAIT_S = 10.0
"""Seconds to wait for a generation to become active everywhere."""


class Sizes(msgspec.Struct):
    """The cost of rules with 26,000 teams.

    Parameters
    ----------
    check_seconds : float
        Time of `check` for the whole file.
    file_bytes : int
        Size of the file.
    chunks : int
        Number of chunks.
    largest_chunk_bytes : int
        Size of the largest chunk.
    change_bytes : int
        Size of the messages that bring the change of one team to a host:
        a head and a chunk.
    memory_bytes : int
        Growth of the resident memory of a process when it activates the
        rules.
    change_millis : float
        CPU time in a host of the change of one team.
    """

    check_seconds: float
    file_bytes: int
    chunks: int
    largest_chunk_bytes: int
    change_bytes: int
    memory_bytes: int
    change_millis: float


class Times(msgspec.Struct):
    """Times from the acceptance of a change until it is active everywhere.

    Parameters
    ----------
    changes : int
        Number of accepted changes.
    late : int
        Changes that did not become active everywhere within
        `MAX_WAIT_S`.
    p50_ms, p99_ms, most_ms : float
        Median, 99th percentile and maximum in milliseconds.
    """

    changes: int
    late: int
    p50_ms: float
    p99_ms: float
    most_ms: float


def make_generation(
    rate: int, number: int, buckets: int = 0
) -> tuple[generations.Head, dict[str, bytes]]:
    """Make a generation with all teams; the team glasgow has this rate."""
    document = edits.parse(spread.make_rules_text(TEAMS, rate), "measured")
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
    """Measure the cost of rules with 26,000 teams."""
    text = spread.make_rules_text(TEAMS, 10)
    started = time.perf_counter()
    commands.check(text, "measured")
    check_seconds = time.perf_counter() - started
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
    memory, millis = _measure_memory_in_subprocess()
    return Sizes(
        check_seconds=round(check_seconds, 3),
        file_bytes=len(text),
        chunks=len(chunks),
        largest_chunk_bytes=max(map(len, chunks.values())),
        change_bytes=sum(map(_message_bytes, moved)),
        memory_bytes=memory,
        change_millis=millis,
    )


def _message_bytes(message: messages.Message) -> int:
    envelope = wire.Envelope(ids.Address("127.0.0.1:1"), 1, True, message)
    return len(wire.encode(envelope))


def _measure_memory_in_subprocess() -> tuple[int, float]:
    """Measure memory in a new process, which holds nothing else."""
    output = subprocess.run(
        [sys.executable, "-m", "measure.configuration", "--memory"],
        check=True,
        capture_output=True,
    ).stdout
    memory, millis = msgspec.json.decode(output)
    return memory, millis


def measure_memory() -> tuple[int, float]:
    """Measure resident memory in bytes and the CPU ms of a team's change."""
    # A daemon only receives chunks, so another process makes them.
    process = psutil.Process()
    before = process.memory_info().rss
    changes = _run_in_child(_make_generations)
    state = dissemination.Dissemination()
    _activate(state, *changes[0])
    changes[0][1].clear()
    gc.collect()
    memory = process.memory_info().rss - before
    started = time.process_time()
    _activate(state, *changes[1])
    return memory, round((time.process_time() - started) * 1000.0, 1)


def _make_generations() -> list:
    first, chunks = make_generation(10, 1)
    second, later = make_generation(11, 2, len(first.buckets))
    new = {
        digest: content
        for digest, content in later.items()
        if digest not in chunks
    }
    return [(first, chunks), (second, new)]


def _run_in_child(make) -> list:
    """Return the result of a function that runs in a forked child."""
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


def _activate(
    state: dissemination.Dissemination,
    head: generations.Head,
    chunks: dict[str, bytes],
) -> None:
    state.offer(head)
    for digest, content in chunks.items():
        state.add_chunk(digest, content)
        state.compile_chunk(digest)
    if not state.activate():
        raise exceptions.RulesError(state.refusal)


class SpreadTimer:
    """Measures how fast real daemons on loopback activate changes.

    Parameters
    ----------
    deployment : Deployment
        The running deployment.
    platform : RestPlatform
        Client of its platform.
    """

    def __init__(
        self,
        deployment: deployments.Deployment,
        platform: rest.RestPlatform,
    ) -> None:
        self._deployment = deployment
        self._operator = operations.Operations(
            platform, _UnusedStatusClient(), clocks.SystemClock()
        )
        self._rate = 100

    async def time_changes(self, count: int) -> Times:
        """Measure changes while all hosts and the platform are up."""
        await self._wait_for_watchers()
        hosts = self._deployment.hosts
        return summarise(
            [await self._time_change(hosts) for _ in range(count)]
        )

    async def time_changes_with_kills(self, count: int) -> Times:
        """Measure changes; before each, kill the watchers of one domain."""
        millis = []
        for turn in range(count):
            watchers = await self._wait_for_watchers()
            domains = self._deployment.plan.domains
            domain = domains[turn % len(domains)]
            victims = [host for host in watchers if host.domain == domain]
            hosts = [
                host for host in self._deployment.hosts if host not in victims
            ]
            millis.append(await self._time_change(hosts, victims))
            for victim in victims:
                await self._deployment.start(victim)
            await self._deployment.wait_ready()
        return summarise(millis)

    async def _time_change(self, hosts, victims=()) -> float:
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
        started = time.perf_counter()
        await asyncio.gather(
            *(
                self._wait_until_active(host, head.generation, started)
                for host in hosts
            )
        )
        return (time.perf_counter() - started) * 1000.0

    async def _wait_until_active(
        self, host, generation: int, started: float
    ) -> None:
        while time.perf_counter() < started + MAX_WAIT_S:
            state = await self._deployment.read_state(host)
            if state["generation"] >= generation:
                return
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _list_watchers(self) -> list[deployments.Host]:
        watchers = []
        for host in self._deployment.hosts:
            state = await self._deployment.read_state(host)
            if state["configuration"]["watching"]:
                watchers.append(host)
        return watchers

    async def _wait_for_watchers(self) -> list[deployments.Host]:
        """Wait until each domain has a watcher and few have more than one.

        Several hosts may watch a domain while they disagree on which hosts
        are alive; this only costs a few additional platform calls.
        """
        domains = set(self._deployment.plan.domains)
        end = time.perf_counter() + deployments.START_TIMEOUT_S
        while True:
            watchers = await self._list_watchers()
            watched = {host.domain for host in watchers}
            if watched == domains and len(watchers) < 2 * len(domains):
                return watchers
            if time.perf_counter() > end:
                names = ", ".join(host.name for host in watchers)
                raise RuntimeError(
                    f"domains lack a watcher or have too many: {names}"
                )
            await asyncio.sleep(0.1)


class _UnusedStatusClient(admin_clients.StatusClient):
    """Fails every request: the measurement reads the daemons itself."""

    async def fetch_status(
        self, address: ids.Address, timeout_ms: float
    ) -> admin_clients.HostStatus:
        """Raise PeerError; see `StatusClient.fetch_status`."""
        raise exceptions.PeerError(address)


def summarise(millis: list[float]) -> Times:
    """Summarise times in milliseconds; quantiles are nearest ranks."""
    ordered = sorted(millis)

    def pick(fraction: float) -> float:
        return round(ordered[math.ceil(fraction * len(ordered)) - 1], 1)

    limit = MAX_WAIT_S * 1000.0
    late = sum(one >= limit for one in ordered)
    return Times(len(ordered), late, pick(0.5), pick(0.99), pick(1.0))


async def measure_daemons(plan: plans.Plan) -> dict[str, Times]:
    """Measure the changes of one deployment of real daemons."""
    async with deployments.Deployment(plan) as deployment:
        platform = rest.RestPlatform(deployment.platform)
        spread_timer = SpreadTimer(deployment, platform)
        try:
            return {
                "up": await spread_timer.time_changes(CHANGES),
                "watcher_killed": await spread_timer.time_changes_with_kills(
                    KILLS
                ),
            }
        finally:
            await platform.close()


async def measure() -> dict:
    """Run all measurements."""
    return {
        "sizes": measure_sizes(),
        "races": await races.run(range(SEEDS), ROUNDS),
        "spread": await spread.run_all(),
        "daemons": await measure_daemons(plans.KELVINSIDE),
    }


def main() -> None:
    """Print all results, or those of one measurement."""
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
