"""Slopes of real daemons: plain processes on loopback with stand-ins."""

import asyncio
import pathlib
import re
import sys

import aiohttp
import msgspec
import psutil

from chervilshore import records
from measure import bench
from measure import deployment as deployments
from measure import fits
from measure import load as loads
from measure import plans
from measure import scaling

SETTLE_SECONDS = 4.0
QUIET_SECONDS = 6.0
LOAD_SECONDS = 6.0
HOSTS = (3, 6, 9, 12)
CROWD_HOSTS = (9, 50, 120, 370)
CROWD_SECONDS = 0.1
"""Seconds that a daemon takes to get to know one more host."""

TEAMS = (5, 6000, 13_000, 26_000)
LOOKUPS = (20.0, 40.0, 60.0, 80.0)
REPORTS = (2.0, 4.0, 6.0, 8.0)
BILLS = (5.0, 10.0, 20.0, 40.0)
TOKENS = (10, 40, 80, 160)
TOKEN_RATE = 4.0
FLIGHTS = (50, 100, 200, 300)
FLIGHT_TOKENS = 20
SLOW = 200.0

LOOKUP = loads.RequestKind("stock-lookup", deadline_ms=3000.0)
REPORT = loads.RequestKind(
    "service-report",
    team="edinburgh",
    deadline_ms=20_000.0,
    tokens=20,
    is_streamed=True,
    finds_documents=True,
)
BILL = loads.RequestKind(
    "bill-visit", team="islands", deadline_ms=5000.0, has_key=True
)
DRAFT = loads.RequestKind("summarise", deadline_ms=20_000.0, is_streamed=True)


class Site(deployments.Deployment):
    """A deployment of Kelvinside with other numbers of hosts and teams."""

    def __init__(self, hosts: int = 3, teams: int = 0) -> None:
        plan = msgspec.structs.replace(plans.KELVINSIDE, hosts=hosts)
        super().__init__(plan, {"--log-level": "warning"})
        self._teams = teams

    async def apply(self, path: pathlib.Path) -> None:
        """Apply the example rules with more teams and high limits."""
        text = re.sub(
            r"^(team \S+) rate=\S+ burst=\S+ concurrency=\S+",
            rf"\1 {bench.TEAM_LIMITS}",
            path.read_text(),
            flags=re.MULTILINE,
        )
        changed = self.directory / "site.rules"
        changed.write_text(text + scaling.write_teams(self._teams))
        await super().apply(changed)

    def list_addresses(self) -> list[str]:
        """List the hosts that the balancer sends to."""
        return [host.http_address for host in self.hosts]

    async def warm_up(self) -> None:
        """Send a little of everything until the endpoints are warm."""
        mix = [LOOKUP, REPORT, BILL, LOOKUP]
        load = loads.Load(self.list_addresses, mix, 15.0)
        await load.run(4.0)
        await load.close()

    def list_processes(self) -> list[psutil.Process]:
        """List the daemons' processes."""
        return [psutil.Process(host.process.pid) for host in self.hosts]

    def count_memory(self) -> float:
        """Tell the mean resident bytes of a daemon."""
        found = [p.memory_info().rss for p in self.list_processes()]
        return sum(found) / len(found)

    def count_seconds(self) -> float:
        """Tell the processor seconds of all daemons so far."""
        times = [p.cpu_times() for p in self.list_processes()]
        return sum(found.user + found.system for found in times)

    async def count_sent(self) -> tuple[float, float]:
        """Tell the messages and bytes that the daemons sent to peers."""
        messages = size = 0.0
        async with aiohttp.ClientSession() as session:
            for host in self.hosts:
                url = f"http://{host.http_address}/metrics"
                async with session.get(url) as response:
                    text = await response.text()
                messages += read_traffic(text, "sent")
                size += read_traffic(text, "sent_bytes")
        return messages, size

    async def take(self) -> "Take":
        """Read all counts now."""
        calls = await self.count_platform()
        messages, size = await self.count_sent()
        return Take(self.count_seconds(), sum(calls.values()), messages, size)


class CrowdedSite(Site):
    """A site of one real daemon among many peers that only answer."""

    def __init__(self, count: int) -> None:
        super().__init__(1)
        self._count = count
        self._crowd: asyncio.subprocess.Process | None = None
        self._records: list[records.HostRecord] = []

    async def __aenter__(self) -> "CrowdedSite":
        """Start the peers and then the daemon."""
        self._crowd = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "measure.crowd",
            str(self._count),
            self.hosts[0].peer_address,
            cwd=deployments.ROOT,
            stdout=asyncio.subprocess.PIPE,
            limit=10_000_000,
        )
        line = await self._crowd.stdout.readline()
        kind = list[records.HostRecord]
        self._records = msgspec.json.decode(line, type=kind)
        return await super().__aenter__()

    async def __aexit__(self, *unused) -> None:
        """Stop everything."""
        await super().__aexit__()
        self._crowd.kill()
        await self._crowd.wait()

    def list_records(self) -> list[records.HostRecord]:
        """List the hosts for the platform's list."""
        return [*super().list_records(), *self._records]


class Take(msgspec.Struct, frozen=True):
    """Counts of all daemons of a site at one moment.

    Parameters
    ----------
    seconds : float
        Processor time.
    calls : float
        Calls to the platform.
    messages, bytes : float
        Sent to peers.
    """

    seconds: float
    calls: float
    messages: float
    bytes: float

    def subtract(self, before: "Take", seconds: float) -> "Take":
        """Tell what was counted since an earlier moment, for a second."""
        return Take(
            *(
                (getattr(self, name) - getattr(before, name)) / seconds
                for name in self.__struct_fields__
            )
        )


def read_traffic(text: str, what: str) -> float:
    """Read one count of the peers' traffic from the metrics."""
    pattern = rf'chervilshore_peer_traffic_total\{{what="{what}"\}} (\S+)'
    found = re.search(pattern, text)
    return float(found.group(1)) if found else 0.0


async def _observe(site: Site, seconds: float) -> Take:
    before = await site.take()
    await asyncio.sleep(seconds)
    return (await site.take()).subtract(before, seconds)


async def _observe_load(
    site: Site, kind: loads.RequestKind, rate: float
) -> Take:
    load = loads.Load(site.list_addresses, [kind], rate)
    before = await site.take()
    outcomes = await load.run(LOAD_SECONDS)
    took = (await site.take()).subtract(before, LOAD_SECONDS)
    await load.close()
    done = sum(outcome.is_done for outcome in outcomes)
    if done < 0.95 * len(outcomes):
        raise RuntimeError(f"{kind.pipeline}: {done} of {len(outcomes)} done")
    return took


async def _measure_idle() -> list[fits.Series]:
    cpu, memory, calls, messages, size = [], [], [], [], []
    for hosts in HOSTS:
        async with Site(hosts) as site:
            await asyncio.sleep(SETTLE_SECONDS)
            took = await _observe(site, QUIET_SECONDS)
            cpu.append((hosts, 1e3 * took.seconds / hosts))
            memory.append((hosts, site.count_memory()))
            calls.append((hosts, took.calls))
            messages.append((hosts, took.messages / hosts))
            size.append((hosts, took.bytes / hosts))
    name = "entry hosts"
    return [
        _fit("idle_cpu", name, "ms/s of a daemon", cpu),
        _fit("idle_memory", name, "resident bytes of a daemon", memory),
        _fit("idle_calls", name, "platform calls/s of all", calls),
        _fit("idle_messages", name, "messages/s of a daemon", messages),
        _fit("idle_bytes", name, "bytes/s of a daemon to peers", size),
    ]


async def _measure_crowd() -> list[fits.Series]:
    cpu, memory, size = [], [], []
    for hosts in CROWD_HOSTS:
        async with CrowdedSite(hosts - 1) as site:
            await asyncio.sleep(SETTLE_SECONDS + hosts * CROWD_SECONDS)
            state = await site.read_state(site.hosts[0])
            known = len(state["membership"]["hosts"])
            if known < hosts:
                raise RuntimeError(f"only {known} of {hosts} hosts joined")
            took = await _observe(site, QUIET_SECONDS)
            cpu.append((hosts, 1e3 * took.seconds))
            memory.append((hosts, site.count_memory()))
            size.append((hosts, took.bytes))
    name = "entry hosts, one real"
    return [
        _fit("crowd_cpu", name, "ms/s of the daemon", cpu),
        _fit("crowd_memory", name, "resident bytes of the daemon", memory),
        _fit("crowd_bytes", name, "bytes/s of the daemon to peers", size),
    ]


async def _measure_teams() -> list[fits.Series]:
    memory = []
    for teams in TEAMS:
        async with Site(3, teams) as site:
            await asyncio.sleep(1.0)
            memory.append((teams, site.count_memory()))
    return [_fit("team_memory", "teams", "resident bytes", memory)]


async def _measure_requests() -> list[fits.Series]:
    found = []
    async with Site() as site:
        await site.warm_up()
        for name, kind, rates in (
            ("lookup", LOOKUP, LOOKUPS),
            ("report", REPORT, REPORTS),
            ("instruction", BILL, BILLS),
        ):
            takes = []
            for rate in rates:
                takes.append((rate, await _observe_load(site, kind, rate)))
            found.extend(_fit_load(name, takes))
    return found


def _fit_load(name: str, takes) -> list[fits.Series]:
    each = f"{name}s/s"
    cpu = [(rate, 1e3 * took.seconds) for rate, took in takes]
    messages = [(rate, took.messages) for rate, took in takes]
    calls = [(rate, took.calls) for rate, took in takes]
    return [
        _fit(f"{name}_cpu", each, "ms/s of all daemons", cpu),
        _fit(f"{name}_messages", each, "messages/s to peers", messages),
        _fit(f"{name}_calls", each, "platform calls/s", calls),
    ]


async def _measure_tokens() -> list[fits.Series]:
    cpu, first = [], []
    async with Site() as site:
        await site.warm_up()
        idle = await _observe(site, QUIET_SECONDS)
        for tokens in TOKENS:
            kind = msgspec.structs.replace(DRAFT, tokens=tokens)
            took = await _observe_load(site, kind, TOKEN_RATE)
            used = 1e3 * (took.seconds - idle.seconds) / TOKEN_RATE
            cpu.append((tokens, used))
        first = await _measure_flights(site)
    return [
        _fit("token_cpu", "tokens of an answer", "ms of a request", cpu),
        _fit("flight_memory", "requests in flight", "bytes of all", first),
    ]


async def _measure_flights(site: Site) -> list[tuple[float, float]]:
    for name, record in site.endpoints.items():
        if record.pool == "assistant":
            await site.set_faults(name, slow=SLOW)
    kind = msgspec.structs.replace(DRAFT, tokens=FLIGHT_TOKENS)
    points = []
    for flight in FLIGHTS:
        load = loads.Load(site.list_addresses, [kind], flight / 0.5)
        task = asyncio.ensure_future(load.run(0.5))
        await asyncio.sleep(2.0)
        running = sum(not outcome.latency_ms for outcome in load.outcomes)
        points.append((running, site.count_memory() * len(site.hosts)))
        await task
        await load.close()
    return points


def _fit(name: str, size: str, cost: str, points) -> fits.Series:
    return fits.fit(name, size, cost, points, "daemons")


def _run(measure):
    return lambda: asyncio.run(measure())


CASES = {
    "idle": _run(_measure_idle),
    "crowd": _run(_measure_crowd),
    "teams": _run(_measure_teams),
    "requests": _run(_measure_requests),
    "tokens": _run(_measure_tokens),
}
"""Functions that each measure some series."""
