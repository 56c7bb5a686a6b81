"""Measures the slopes of real daemons on loopback with stand-ins."""

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

SETTLE_S = 4.0
"""Seconds after the start of a deployment before it is measured."""

IDLE_PERIOD_S = 6.0
"""Seconds of each measurement without requests."""

LOAD_PERIOD_S = 6.0
"""Seconds of each measurement under load."""

HOST_COUNTS = (3, 6, 9, 12)
SIMULATED_HOST_COUNTS = (9, 50, 120, 370)
JOIN_S_PER_HOST = 0.1
"""Additional seconds for the daemon to learn of each simulated host."""

TEAM_COUNTS = (5, 6000, 13_000, 26_000)
LOOKUP_RATES = (20.0, 40.0, 60.0, 80.0)
REPORT_RATES = (2.0, 4.0, 6.0, 8.0)
BILL_RATES = (5.0, 10.0, 20.0, 40.0)
ANSWER_TOKENS = (10, 40, 80, 160)
REQUEST_RATE = 4.0
IN_FLIGHT_COUNTS = (50, 100, 200, 300)
IN_FLIGHT_ANSWER_TOKENS = 20
SLOW_FACTOR = 200.0
"""Slowdown of engines, which keeps requests in flight."""

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


class ScaledDeployment(deployments.Deployment):
    """The Kelvinside deployment with a chosen number of hosts and teams."""

    def __init__(self, hosts: int = 3, teams: int = 0) -> None:
        plan = msgspec.structs.replace(plans.KELVINSIDE, hosts=hosts)
        super().__init__(plan, {"--log-level": "warning"})
        self._teams = teams

    async def apply(self, path: pathlib.Path) -> None:
        """Apply the rules of a file with high limits and additional teams."""
        text = re.sub(
            r"^(team \S+) rate=\S+ burst=\S+ concurrency=\S+",
            rf"\1 {bench.TEAM_LIMITS}",
            path.read_text(),
            flags=re.MULTILINE,
        )
        changed = self.directory / "site.rules"
        changed.write_text(text + scaling.make_team_lines(self._teams))
        await super().apply(changed)

    def list_addresses(self) -> list[str]:
        """List the HTTP addresses that the load balancer sends to."""
        return [host.http_address for host in self.hosts]

    async def warm_up(self) -> None:
        """Send requests of all kinds at a low rate to warm the endpoints."""
        mix = [LOOKUP, REPORT, BILL, LOOKUP]
        load = loads.Load(self.list_addresses, mix, 15.0)
        await load.run(4.0)
        await load.close()

    def list_processes(self) -> list[psutil.Process]:
        """List the processes of the daemons."""
        return [psutil.Process(host.process.pid) for host in self.hosts]

    def mean_resident_bytes(self) -> float:
        """Return the mean resident memory of a daemon in bytes."""
        sizes = [p.memory_info().rss for p in self.list_processes()]
        return sum(sizes) / len(sizes)

    def cpu_seconds(self) -> float:
        """Return the CPU seconds of all daemons since their start."""
        times = [p.cpu_times() for p in self.list_processes()]
        return sum(one.user + one.system for one in times)

    async def read_sent_traffic(self) -> tuple[float, float]:
        """Read how many messages and bytes the daemons sent to peers."""
        messages = size = 0.0
        async with aiohttp.ClientSession() as session:
            for host in self.hosts:
                url = f"http://{host.http_address}/metrics"
                async with session.get(url) as response:
                    text = await response.text()
                messages += read_traffic(text, "sent")
                size += read_traffic(text, "sent_bytes")
        return messages, size

    async def read_counters(self) -> "Counters":
        """Read all counters."""
        calls = await self.count_platform()
        messages, size = await self.read_sent_traffic()
        return Counters(
            self.cpu_seconds(), sum(calls.values()), messages, size
        )


class SimulatedPeersDeployment(ScaledDeployment):
    """A deployment of one real daemon and many simulated peers."""

    def __init__(self, count: int) -> None:
        super().__init__(1)
        self._count = count
        self._peers: asyncio.subprocess.Process | None = None
        self._records: list[records.HostRecord] = []

    async def __aenter__(self) -> "SimulatedPeersDeployment":
        """Start the simulated peers and then the daemon."""
        self._peers = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "measure.crowd",
            str(self._count),
            self.hosts[0].peer_address,
            cwd=deployments.ROOT,
            stdout=asyncio.subprocess.PIPE,
            limit=10_000_000,
        )
        line = await self._peers.stdout.readline()
        kind = list[records.HostRecord]
        self._records = msgspec.json.decode(line, type=kind)
        return await super().__aenter__()

    async def __aexit__(self, *unused) -> None:
        """Stop the deployment and the simulated peers."""
        await super().__aexit__()
        self._peers.kill()
        await self._peers.wait()

    def list_records(self) -> list[records.HostRecord]:
        """List the hosts for the platform, including simulated ones."""
        return [*super().list_records(), *self._records]


class Counters(msgspec.Struct, frozen=True):
    """Counters of all daemons of a deployment at one time, or their rates.

    Parameters
    ----------
    seconds : float
        CPU seconds.
    calls : float
        Calls to the platform.
    messages, bytes : float
        Messages and bytes sent to peers.
    """

    seconds: float
    calls: float
    messages: float
    bytes: float

    def rate_since(self, before: "Counters", seconds: float) -> "Counters":
        """Return the increase per second since an earlier reading."""
        return Counters(
            *(
                (getattr(self, name) - getattr(before, name)) / seconds
                for name in self.__struct_fields__
            )
        )


def read_traffic(text: str, what: str) -> float:
    """Read one counter of the peer traffic from the text of /metrics."""
    pattern = rf'chervilshore_peer_traffic_total\{{what="{what}"\}} (\S+)'
    match = re.search(pattern, text)
    return float(match.group(1)) if match else 0.0


async def _measure_rates(
    deployment: ScaledDeployment, seconds: float
) -> Counters:
    before = await deployment.read_counters()
    await asyncio.sleep(seconds)
    return (await deployment.read_counters()).rate_since(before, seconds)


async def _measure_rates_under_load(
    deployment: ScaledDeployment, kind: loads.RequestKind, rate: float
) -> Counters:
    load = loads.Load(deployment.list_addresses, [kind], rate)
    before = await deployment.read_counters()
    outcomes = await load.run(LOAD_PERIOD_S)
    counters = (await deployment.read_counters()).rate_since(
        before, LOAD_PERIOD_S
    )
    await load.close()
    done = sum(outcome.is_done for outcome in outcomes)
    if done < 0.95 * len(outcomes):
        raise RuntimeError(
            f"{kind.pipeline}: {done} of {len(outcomes)} requests completed"
        )
    return counters


async def _measure_idle() -> list[fits.Series]:
    cpu, memory, calls, messages, size = [], [], [], [], []
    for hosts in HOST_COUNTS:
        async with ScaledDeployment(hosts) as deployment:
            await asyncio.sleep(SETTLE_S)
            counters = await _measure_rates(deployment, IDLE_PERIOD_S)
            cpu.append((hosts, 1e3 * counters.seconds / hosts))
            memory.append((hosts, deployment.mean_resident_bytes()))
            calls.append((hosts, counters.calls))
            messages.append((hosts, counters.messages / hosts))
            size.append((hosts, counters.bytes / hosts))
    name = "entry hosts"
    return [
        _fit("idle_cpu", name, "ms/s of a daemon", cpu),
        _fit("idle_memory", name, "resident bytes of a daemon", memory),
        _fit("idle_calls", name, "platform calls/s of all", calls),
        _fit("idle_messages", name, "messages/s of a daemon", messages),
        _fit("idle_bytes", name, "bytes/s of a daemon to peers", size),
    ]


async def _measure_simulated_peers() -> list[fits.Series]:
    cpu, memory, size = [], [], []
    for hosts in SIMULATED_HOST_COUNTS:
        async with SimulatedPeersDeployment(hosts - 1) as deployment:
            await asyncio.sleep(SETTLE_S + hosts * JOIN_S_PER_HOST)
            state = await deployment.read_state(deployment.hosts[0])
            known = len(state["membership"]["hosts"])
            if known < hosts:
                raise RuntimeError(f"only {known} of {hosts} hosts joined")
            counters = await _measure_rates(deployment, IDLE_PERIOD_S)
            cpu.append((hosts, 1e3 * counters.seconds))
            memory.append((hosts, deployment.mean_resident_bytes()))
            size.append((hosts, counters.bytes))
    name = "entry hosts, one real"
    return [
        _fit("crowd_cpu", name, "ms/s of the daemon", cpu),
        _fit("crowd_memory", name, "resident bytes of the daemon", memory),
        _fit("crowd_bytes", name, "bytes/s of the daemon to peers", size),
    ]


async def _measure_teams() -> list[fits.Series]:
    memory = []
    for teams in TEAM_COUNTS:
        async with ScaledDeployment(3, teams) as deployment:
            await asyncio.sleep(1.0)
            memory.append((teams, deployment.mean_resident_bytes()))
    return [_fit("team_memory", "teams", "resident bytes", memory)]


async def _measure_requests() -> list[fits.Series]:
    series = []
    async with ScaledDeployment() as deployment:
        await deployment.warm_up()
        for name, kind, rates in (
            ("lookup", LOOKUP, LOOKUP_RATES),
            ("report", REPORT, REPORT_RATES),
            ("instruction", BILL, BILL_RATES),
        ):
            measurements = []
            for rate in rates:
                measurements.append(
                    (
                        rate,
                        await _measure_rates_under_load(
                            deployment, kind, rate
                        ),
                    )
                )
            series.extend(_fit_load(name, measurements))
    return series


def _fit_load(name: str, measurements) -> list[fits.Series]:
    each = f"{name}s/s"
    cpu = [(rate, 1e3 * counters.seconds) for rate, counters in measurements]
    messages = [(rate, counters.messages) for rate, counters in measurements]
    calls = [(rate, counters.calls) for rate, counters in measurements]
    return [
        _fit(f"{name}_cpu", each, "ms/s of all daemons", cpu),
        _fit(f"{name}_messages", each, "messages/s to peers", messages),
        _fit(f"{name}_calls", each, "platform calls/s", calls),
    ]


async def _measure_tokens() -> list[fits.Series]:
    cpu, memory = [], []
    async with ScaledDeployment() as deployment:
        await deployment.warm_up()
        idle = await _measure_rates(deployment, IDLE_PERIOD_S)
        for tokens in ANSWER_TOKENS:
            kind = msgspec.structs.replace(DRAFT, tokens=tokens)
            counters = await _measure_rates_under_load(
                deployment, kind, REQUEST_RATE
            )
            cpu_ms = 1e3 * (counters.seconds - idle.seconds) / REQUEST_RATE
            cpu.append((tokens, cpu_ms))
        memory = await _measure_memory_in_flight(deployment)
    return [
        _fit("token_cpu", "tokens of an answer", "ms of a request", cpu),
        _fit("flight_memory", "requests in flight", "bytes of all", memory),
    ]


async def _measure_memory_in_flight(
    deployment: ScaledDeployment,
) -> list[tuple[float, float]]:
    for name, record in deployment.endpoints.items():
        if record.pool == "assistant":
            await deployment.set_faults(name, slow=SLOW_FACTOR)
    kind = msgspec.structs.replace(DRAFT, tokens=IN_FLIGHT_ANSWER_TOKENS)
    points = []
    for in_flight in IN_FLIGHT_COUNTS:
        load = loads.Load(deployment.list_addresses, [kind], in_flight / 0.5)
        task = asyncio.ensure_future(load.run(0.5))
        await asyncio.sleep(2.0)
        running = sum(not outcome.latency_ms for outcome in load.outcomes)
        points.append(
            (running, deployment.mean_resident_bytes() * len(deployment.hosts))
        )
        await task
        await load.close()
    return points


def _fit(name: str, size: str, cost: str, points) -> fits.Series:
    return fits.fit(name, size, cost, points, "daemons")


def _run(measure):
    return lambda: asyncio.run(measure())


CASES = {
    "idle": _run(_measure_idle),
    "crowd": _run(_measure_simulated_peers),
    "teams": _run(_measure_teams),
    "requests": _run(_measure_requests),
    "tokens": _run(_measure_tokens),
}
"""Functions that each measure some series, by the name of the case."""
