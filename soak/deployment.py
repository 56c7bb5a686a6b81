"""Real daemons behind proxies, before stand-ins of store and workers."""

import asyncio
import collections
import pathlib
import signal
import sys

import msgspec

from measure import deployment as deployments
from soak import callers
from soak import proxy
from standins import store as stores
from standins import workers

ZONES = ("a", "b", "c")
READY_SECONDS = 20.0
STOP_SECONDS = 10.0

SERVICES = (
    {"name": "ledger", "max_conns": 100},
    {"name": "llm", "max_conns": 100, "engine": {"slots": 8}},
    *(
        {
            "name": name,
            "pieces": {
                "slots": 1,
                "queue": 2,
                "batch": 8,
                "call_ms": 20.0,
                "item_ms": 1.0,
                "headroom_mb": 10.0,
                "handle_s": 4.0,
            },
        }
        for name in ("cut", "sew")
    ),
)

STAGES = [
    {"service": "cut", "after": [], "size_bytes": 1000},
    {"service": "sew", "after": [0], "size_bytes": 1000},
]

ROUTES = (
    ("look", "ledger", {"kind": "idempotent", "max_attempts": 2}),
    ("bill", "ledger", {"kind": "non_idempotent"}),
    ("say", "llm", {"kind": "stream"}),
    (
        "resume",
        "llm",
        {"kind": "stream", "resumable": True, "max_attempts": 3},
    ),
    ("staged", "llm", {"kind": "stream", "stages": STAGES}),
)


class Host:
    """One daemon as a process of its own.

    Parameters
    ----------
    name, zone : str
        Its name and failure domain.
    folder : Path
        Where its settings and log are kept.
    """

    def __init__(self, name: str, zone: str, folder: pathlib.Path) -> None:
        self.name = name
        self.zone = zone
        self.address = ""
        self.store: proxy.Proxy | None = None
        self.peer: proxy.Proxy | None = None
        self.process: asyncio.subprocess.Process | None = None
        self._settings = folder / f"{name}.json"
        self._log = folder / f"{name}.log"

    async def prepare(self, store: str, ports: list[int]) -> None:
        """Write its settings."""
        self.store = proxy.Proxy(store)
        self.peer = proxy.Proxy(f"127.0.0.1:{ports[2]}")
        self.address = f"127.0.0.1:{ports[0]}"
        values = {
            "interface": "forward",
            "host": self.name,
            "domain": self.zone,
            "http_address": self.address,
            "ready_address": f"127.0.0.1:{ports[1]}",
            "peer_address": await self.peer.start(),
            "peer_listen": f"127.0.0.1:{ports[2]}",
            "platform": await self.store.start(),
            "drain_ms": "6000",
        }
        self._settings.write_bytes(msgspec.json.encode(values))

    async def start(self) -> None:
        """Start the process."""
        with open(self._log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "chervilshore.daemon",
                "--file",
                str(self._settings),
                stdout=log,
                stderr=log,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to this process only."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def restart(self, number: signal.Signals) -> None:
        """End the process by a signal and start it anew."""
        self.send_signal(number)
        try:
            async with asyncio.timeout(STOP_SECONDS):
                await self.process.wait()
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            await self.process.wait()
        await self.start()

    async def stop(self) -> None:
        """End the process and its proxies."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()
        for one in (self.store, self.peer):
            await one.stop()


class Worker:
    """A worker behind a proxy, which may start anew under a new name."""

    def __init__(self, service: str, zone: str, number: int) -> None:
        self.service = service
        self.zone = zone
        self.proxy: proxy.Proxy | None = None
        self.worker: workers.Worker | None = None
        self._number = number
        self._lives = 0

    @property
    def name(self) -> str:
        """Its present name."""
        return f"{self.service}{self._number}x{self._lives}"

    async def start(self, store: stores.Store) -> None:
        """Start it and let it register."""
        self._lives += 1
        events = callers.EVENTS if self.service == "llm" else 0
        self.worker = workers.Worker(self.name, events=events, millis=10.0)
        self.proxy = proxy.Proxy(await self.worker.start())
        await self.proxy.start()
        await self.register(store, "ready")

    async def register(self, store: stores.Store, state: str) -> None:
        """Write its entry."""
        entry = self.worker.describe(self.service, self.zone, state=state)
        entry["addr"] = self.proxy.address
        await store.write("servers", self.name, entry)

    async def stop(self) -> None:
        """End it at once."""
        await self.worker.stop()
        await self.proxy.stop()


class Deployment:
    """A store, workers and hosts.

    Parameters
    ----------
    folder : Path
        Where settings and logs are kept.
    hosts : int
        The number of daemons.
    """

    def __init__(self, folder: pathlib.Path, hosts: int) -> None:
        self.store = stores.Store()
        self.hosts = [
            Host(f"h{number}", ZONES[number % len(ZONES)], folder)
            for number in range(hosts)
        ]
        self.workers = [
            Worker(service["name"], zone, number)
            for service in SERVICES
            for number, zone in enumerate(ZONES)
        ]
        self.runs: collections.Counter[str] = collections.Counter()
        self._version = 0

    async def start(self) -> None:
        """Start everything and wait until every host is ready."""
        address = await self.store.start()
        await self.configure()
        for worker in self.workers:
            await worker.start(self.store)
        for host in self.hosts:
            await host.prepare(address, deployments.find_ports(3))
            await host.start()

    async def configure(self) -> None:
        """Write a new version of the configuration."""
        self._version += 1
        routes = [
            {
                "name": name,
                "host": "shop.example",
                "path_prefix": f"/{name}/",
                "timeout_ms": 4000,
                "slo_ms": 1000,
                "priority": 1,
                "service": service,
            }
            | changes
            for name, service, changes in ROUTES
        ]
        config = {
            "version": self._version,
            "routes": routes,
            "services": list(SERVICES),
            "tenants": [{"name": "t", "api_keys": [callers.KEY]}],
        }
        await self.store.write("config", "main", config)

    async def renew(self, worker: Worker) -> None:
        """Crash a worker and start it anew."""
        await worker.stop()
        self.collect(worker)
        await self.store.remove("servers", worker.name)
        await worker.start(self.store)

    def collect(self, worker: Worker) -> None:
        """Count what a worker ran in its present life."""
        self.runs.update(worker.worker.runs)
        worker.worker.runs.clear()

    async def stop(self) -> None:
        """End what was started."""
        for host in self.hosts:
            await host.stop()
        for worker in self.workers:
            self.collect(worker)
            await worker.stop()
        await self.store.stop()
