"""A small site on loopback: daemons before stand-ins of store and workers."""

import asyncio
import collections
import pathlib
import signal
import sys

import aiohttp

from measure import deployment as deployments
from standins import settingsfile
from standins import store as stores
from standins import workers

ZONES = ("a", "b", "c")
API_KEY = "key-of-a-team"
STREAM_EVENTS = 12
"""Events of a stream's whole answer."""

STOP_SECONDS = 10.0
POLL_SECONDS = 0.05
TEMPLATE = pathlib.Path(__file__).parents[1] / "deploy" / "settings.json.in"

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
                "link_mbps": 1000.0,
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


def make_config(version: int, more: tuple = ()) -> dict:
    """Write a configuration as the operator does.

    Parameters
    ----------
    version : int
        Its version.
    more : tuple
        Routes besides the usual ones.
    """
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
        for name, service, changes in ROUTES + more
    ]
    return {
        "version": version,
        "routes": routes,
        "services": list(SERVICES),
        "tenants": [{"name": "t", "api_keys": [API_KEY]}],
    }


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
        self.ready_address = ""
        self.control_address = ""
        self.process: asyncio.subprocess.Process | None = None
        self._restarting = asyncio.Lock()
        self._settings = folder / f"{name}.json"
        self._log = folder / f"{name}.log"

    async def write_settings(
        self, store: str, ports: list[int], seeds: list[str]
    ) -> None:
        """Write its settings."""
        self.address, self.ready_address, self.control_address = (
            f"127.0.0.1:{port}" for port in ports
        )
        self._settings.write_text(await self.describe(store, seeds))

    async def describe(self, store: str, seeds: list[str]) -> str:
        """Write the settings as the platform does."""
        # Each host has a number of its own, as machines do.
        port = int(self.address.rpartition(":")[2])
        fields = {
            "node_name": self.name,
            "ip": f"127.{port >> 8}.{port & 255}.1",
            "zone": self.zone,
            "listen": {
                "front": self.address,
                "ready": self.ready_address,
                "control": self.control_address,
            },
            "seeds": seeds,
            "platform": {"addr": store},
            "limits": {"link_mbps": 1000.0},
            "bounds": {
                "retry_ratio": 0.2,
                "retry_slack": 52,
                "retry_window_s": 10,
            },
        }
        return settingsfile.render(TEMPLATE.read_text(), fields)

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

    async def wait_ready(self) -> None:
        """Wait until the host says that callers may be sent to it."""
        async with aiohttp.ClientSession() as session:
            while not await self.is_ready(session):
                await asyncio.sleep(POLL_SECONDS)

    async def is_ready(self, session: aiohttp.ClientSession) -> bool:
        """Ask whether callers may be sent to it."""
        try:
            async with session.get(f"http://{self.ready_address}/") as answer:
                return answer.status == 200
        except aiohttp.ClientConnectionError:
            # It does not listen yet.
            return False

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to this process only."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def signal_and_wait(self, number: signal.Signals) -> int:
        """End the process by a signal; return its status."""
        self.send_signal(number)
        try:
            async with asyncio.timeout(STOP_SECONDS):
                return await self.process.wait()
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            return await self.process.wait()

    async def restart(self, number: signal.Signals) -> None:
        """End the process by a signal and start it anew, once at a time."""
        async with self._restarting:
            await self.signal_and_wait(number)
            await self.start()

    async def stop(self) -> None:
        """End the process at once."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


class Worker:
    """A worker that registers, and may start anew under a new name."""

    def __init__(self, service: str, zone: str, number: int) -> None:
        self.service = service
        self.zone = zone
        self.address = ""
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
        events = STREAM_EVENTS if self.service == "llm" else 0
        self.worker = workers.Worker(self.name, events=events, millis=10.0)
        self.address = await self.worker.start()
        await self.register(store, "ready")

    async def register(self, store: stores.Store, state: str) -> None:
        """Write its entry."""
        entry = self.worker.describe(self.service, self.zone, state=state)
        entry["addr"] = self.address
        await store.write("servers", self.name, entry)

    async def stop(self) -> None:
        """End it at once."""
        await self.worker.stop()


class LocalDeployment:
    """A store, workers and hosts.

    Parameters
    ----------
    folder : Path
        Where settings and logs are kept.
    hosts : int
        The number of daemons.

    Attributes
    ----------
    runs : Counter
        How often workers that have ended ran each request.
    """

    host_type: type[Host] = Host
    worker_type: type[Worker] = Worker

    def __init__(self, folder: pathlib.Path, hosts: int) -> None:
        self.store = stores.Store()
        self.hosts = [
            self.host_type(f"h{number}", ZONES[number % len(ZONES)], folder)
            for number in range(hosts)
        ]
        self.workers = [
            self.worker_type(service["name"], zone, number)
            for service in SERVICES
            for number, zone in enumerate(ZONES)
        ]
        self.runs: collections.Counter[str] = collections.Counter()
        self._version = 0

    async def start(self) -> None:
        """Start everything; hosts become ready a little later."""
        address = await self.store.start()
        await self.configure()
        for worker in self.workers:
            await worker.start(self.store)
        ports = [deployments.find_ports(3) for _ in self.hosts]
        seeds = [f"127.0.0.1:{some[2]}" for some in ports]
        for host, some in zip(self.hosts, ports, strict=True):
            await host.write_settings(address, some, seeds)
            await host.start()

    async def configure(self, more: tuple = ()) -> None:
        """Write a new version of the configuration."""
        self._version += 1
        config = make_config(self._version, more)
        await self.store.write("config", "main", config)

    async def restart_worker(self, worker: Worker) -> None:
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
