"""Measures the slopes of the decision code in this process."""

import asyncio
import gc
import time
import tracemalloc

import msgspec
import psutil
import zmq

from chervilshore.clients import zeromq
from chervilshore import clock as clocks
from chervilshore.decisions import claims
from chervilshore.decisions import ledger
from chervilshore.decisions import listing
from chervilshore.decisions import shares
from chervilshore import messages
from chervilshore import records
from chervilshore.rules import checks
from chervilshore.rules import generations
from chervilshore.rules import lines
from chervilshore.rules import model
from chervilshore import wire
from measure import fits
from measure import fleet

TEAM_COUNTS = (1000, 5000, 13_000, 26_000)
ENDPOINT_COUNTS = (26, 100, 300, 600)
CLAIM_COUNTS = (10, 100, 400, 1000)
DEMAND_COUNTS = (1, 10, 50, 200)
REQUEST_COUNTS = (1000, 2000, 4000, 8000)
CONNECTION_COUNTS = (50, 100, 200, 300)


def allocated_bytes(make) -> int:
    """Return the allocated bytes that the result of a function holds."""
    gc.collect()
    tracemalloc.start()
    result = make()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del result
    return size


def _cpu_us(function, repeats: int) -> float:
    """Return the CPU time of one call in microseconds."""
    started = time.process_time()
    for _ in range(repeats):
        function()
    return 1e6 * (time.process_time() - started) / repeats


def measure_listing() -> list[fits.Series]:
    """Measure one read of the platform's host list."""
    sizes, cpu_times = [], []
    for count in ENDPOINT_COUNTS:
        endpoints = tuple(_make_endpoint(number) for number in range(count))
        hosts = tuple(
            fleet.make_record(number) for number in range(count * 370 // 600)
        )
        data = msgspec.msgpack.encode(records.HostList(hosts, endpoints))
        known = listing.EndpointListing(endpoints)

        def read(data=data, known=known):
            decoded = msgspec.msgpack.decode(data, type=records.HostList)
            newer = listing.EndpointListing(decoded.endpoints)
            return newer.digest == known.digest

        sizes.append((count, len(data)))
        cpu_times.append((count, _cpu_us(read, 30)))
    return [
        fits.fit("list_bytes", "endpoints", "bytes of a reading", sizes),
        fits.fit("list_cpu", "endpoints", "us of a reading", cpu_times),
    ]


def _make_endpoint(number: int) -> records.EndpointRecord:
    return records.EndpointRecord(
        endpoint=f"language-model-{number:03d}",
        pool="language-model",
        domain=f"domain-{number % 6}",
        address=f"10.30.{number // 250}.{number % 250 + 1}:9000",
    )


def make_team_lines(count: int, changed: int = -1) -> str:
    """Return a rules file with teams only; one may have another rate."""
    rows = [
        f"team member-{number:05d} rate={60 if number == changed else 50} "
        "burst=100 concurrency=40  # Yasmine Idrissi, dealer of the month\n"
        for number in range(count)
    ]
    return "".join(rows)


def measure_rules() -> list[fits.Series]:
    """Measure checking, memory and changes by the number of teams."""
    seconds, memory, changed = [], [], []
    for count in TEAM_COUNTS:
        text = make_team_lines(count)
        start = time.process_time()
        document, _ = lines.parse(text, "teams.rules")
        checks.check(document)
        seconds.append((count, time.process_time() - start))
        packed = generations.pack(document)
        teams = [line.rule for line in document.lines]
        data = msgspec.msgpack.encode(teams)

        def load(data=data):
            rules = msgspec.msgpack.decode(data, type=list[model.Team])
            return {team.name: team for team in rules}

        memory.append((count, allocated_bytes(load)))
        changed.append((count, _changed_bytes(packed, count)))
    teams = "teams"
    return [
        fits.fit("check_seconds", teams, "s of CPU for a check", seconds),
        fits.fit("rules_memory", teams, "bytes in force", memory),
        fits.fit("change_bytes", teams, "bytes moved to a host", changed),
    ]


def _changed_bytes(packed: generations.PackedRules, count: int) -> int:
    changed, _ = lines.parse(make_team_lines(count, count // 2), "teams.rules")
    after = generations.pack(changed, len(packed.buckets))
    head = 70 * (len(after.buckets) + 1)
    new = after.chunks.keys() - packed.chunks.keys()
    return head + sum(len(after.chunks[name]) for name in new)


def _make_claims(count: int) -> claims.Batch:
    entries = []
    for number in range(count):
        key = claims.digest_key("glasgow", "bill-visit", f"k{number}")
        body = claims.digest_body(b"%d" % number)
        claim = f"entry-001/{number}"
        entries.append(claims.Claim(key, claim, body, 0, 7000.0))
        answer = claims.RecordedAnswer(
            0, b'{"visit":%d,"billed":true}' % number
        )
        entries.append(claims.Outcome(key, claim, answer))
    return claims.Batch("entry-001", tuple(entries))


def measure_claims() -> list[fits.Series]:
    """Measure claims with outcomes by the number in a batch."""
    sizes, cpu_times, memory = [], [], []
    for count in CLAIM_COUNTS:
        batch = _make_claims(count)
        data = claims.encode_batch(batch)

        def apply_batch(batch=batch):
            state = ledger.Ledger()
            state.apply(claims.decode_batch(claims.encode_batch(batch)))
            return state

        sizes.append((count, len(data)))
        cpu_times.append((count, _cpu_us(apply_batch, 20)))
        memory.append((count, allocated_bytes(apply_batch)))
    name = "claims with outcomes"
    return [
        fits.fit("claim_bytes", name, "bytes in the log", sizes),
        fits.fit("claim_cpu", name, "us to write and fold", cpu_times),
        fits.fit("claim_memory", name, "bytes in the owner", memory),
    ]


def measure_shares() -> list[fits.Series]:
    """Measure one demand report at the owner of team limits."""
    cpu_times, sizes = [], []
    for count in DEMAND_COUNTS:
        demands = {
            f"member-{number:05d}": messages.Demand(5.0, 3, 4.0, 3)
            for number in range(count)
        }
        owner = shares.ShareAllocator(3000.0)
        host_tracker = shares.HostTracker()
        host_tracker.observe([fleet.make_record(n) for n in range(9)], 0.0)
        now = 0.0

        def report(demands=demands, owner=owner, seen=host_tracker):
            nonlocal now
            now += 10.0
            for host in range(9):
                owner.report(
                    f"entry-{host:03d}", demands, model.Team, seen, now
                )

        body = messages.DemandReport("entry-001", 1.0, demands)
        envelope = wire.Envelope("10.20.0.1:7000", 1, False, body)
        sizes.append((count, len(wire.encode(envelope))))
        cpu_times.append((count, _cpu_us(report, 50) / 9))
    teams = "teams in a report"
    return [
        fits.fit("share_cpu", teams, "us at the keeper", cpu_times),
        fits.fit("share_bytes", teams, "bytes of a report", sizes),
    ]


def measure_peers() -> list[fits.Series]:
    """Measure requests and connections over ZeroMQ on loopback."""
    return asyncio.run(_measure_peers())


async def _measure_peers() -> list[fits.Series]:
    one, two = (
        zeromq.ZeroMQTransport("127.0.0.1:0", clocks.SystemClock())
        for _ in range(2)
    )
    await one.start()
    await two.start()
    two.handle(messages.Ping, lambda sender, ping: messages.Pong("b"))
    cpu_times = []
    for count in REQUEST_COUNTS:
        start = time.process_time()
        for _ in range(count // 20):
            requests = [
                one.send_request(two.address, messages.Ping(), 5000)
                for _ in range(20)
            ]
            await asyncio.gather(*requests)
        cpu_times.append((count, 1e3 * (time.process_time() - start)))
    memory = await _measure_connections(one)
    await one.stop()
    await two.stop()
    return [
        fits.fit("ask_cpu", "questions", "ms of CPU, both ends", cpu_times),
        fits.fit("link_memory", "connections", "bytes, both ends", memory),
    ]


async def _measure_connections(one: zeromq.ZeroMQTransport):
    context = zmq.Context()
    context.set(zmq.MAX_SOCKETS, 4096)
    process = psutil.Process()
    routers, memory = [], []
    for count in CONNECTION_COUNTS:
        while len(routers) < count:
            router = context.socket(zmq.ROUTER)
            router.linger = 0
            port = router.bind_to_random_port("tcp://127.0.0.1")
            routers.append(router)
            one.send(f"127.0.0.1:{port}", messages.Ping())
        await asyncio.sleep(0.5)
        memory.append((count, process.memory_info().rss))
    for router in routers:
        router.close()
    context.term()
    return memory


CASES = {
    "listing": measure_listing,
    "rules": measure_rules,
    "claims": measure_claims,
    "shares": measure_shares,
    "peers": measure_peers,
}
"""Functions that each measure some series, by the name of the case."""
