"""A deployment on loopback: daemons with stand-ins of store and workers."""

import asyncio
import collections
import os
import pathlib
import signal
import sys

import aiohttp

from measure import deployment as deployments
from standins import settingsfile
from standins import store as stores
from standins import workers

ZONES = ("a", "b", "c")
"""Failure domains of hosts and workers."""

API_KEY = "key-of-a-team"
"""Key of the only tenant, sent by callers."""

EVENT_MS = 30.0
"""Milliseconds between two events of a stream, so that some break midway."""

STREAM_EVENTS = 12
"""Events of a complete stream."""

STOP_TIMEOUT_SECONDS = 10.0
"""Seconds after a signal until a process that still runs gets SIGKILL."""

READY_POLL_SECONDS = 0.05
"""Seconds between two checks whether a host is ready."""

SETTINGS_TEMPLATE = (
    pathlib.Path(__file__).parents[1] / "deploy" / "settings.json.in"
)

BOUNDS = {
    "retry_ratio": 0.2,
    "retry_slack": 52,
    "retry_window_s": 10,
    "stable_ms": 3000,
}
"""Figures of a deployment, under the platform's names."""

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

# Batch stages of the route "staged".
STAGES = [
    {"service": "cut", "after": [], "size_bytes": 1000},
    {"service": "sew", "after": [0], "size_bytes": 1000},
]

# Name, service and further fields of each route.
ROUTES = (
    ("look", "ledger", {"kind": "idempotent", "max_attempts": 2}),
    ("bill", "ledger", {"kind": "non_idempotent", "max_attempts": 3}),
    ("say", "llm", {"kind": "stream", "max_attempts": 3}),
    (
        "resume",
        "llm",
        {"kind": "stream", "resumable": True, "max_attempts": 3},
    ),
    ("staged", "llm", {"kind": "stream", "stages": STAGES}),
)


def make_config(version: int, extra_routes: tuple = ()) -> dict:
    """Return a configuration like one that an operator writes.

    Parameters
    ----------
    version : int
        The version of the configuration.
    extra_routes : tuple
        Routes in addition to `ROUTES`, of the same form.
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
        | overrides
        for name, service, overrides in ROUTES + extra_routes
    ]
    return {
        "version": version,
        "routes": routes,
        "services": list(SERVICES),
        "tenants": [{"name": "t", "api_keys": [API_KEY]}],
    }


class Host:
    """A daemon in its own process.

    Parameters
    ----------
    name, zone : str
        The host's name and failure domain.
    folder : Path
        Directory of its settings file and log.

    Attributes
    ----------
    code : Path
        The checkout whose daemon runs.
    bounds, limits : dict
        Figures of the deployment, under the platform's names.
    """

    code = pathlib.Path(__file__).parents[1]

    def __init__(self, name: str, zone: str, folder: pathlib.Path) -> None:
        self.name = name
        self.zone = zone
        self.address = ""
        self.ready_address = ""
        self.control_address = ""
        self.bounds = dict(BOUNDS)
        self.limits = {"link_mbps": 1000.0}
        self.process: asyncio.subprocess.Process | None = None
        self._restarting = asyncio.Lock()
        self._settings_path = folder / f"{name}.json"
        self._log_path = folder / f"{name}.log"

    async def write_settings(
        self, store: str, ports: list[int], seeds: list[str]
    ) -> None:
        """Write the settings file and set the addresses.

        Parameters
        ----------
        store : str
            The store's address.
        ports : list of int
            Loopback ports for requests, readiness and control messages.
        seeds : list of str
            Control addresses of the initial members.
        """
        self.address, self.ready_address, self.control_address = (
            f"127.0.0.1:{port}" for port in ports
        )
        self._settings_path.write_text(
            await self.render_settings(store, seeds)
        )

    async def render_settings(self, store: str, seeds: list[str]) -> str:
        """Return the settings as the platform renders them."""
        # Hosts have different IP addresses, as separate machines do.
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
            "port_range": [7740, 7755],
            "seeds": seeds,
            "platform": {"addr": store},
            "limits": self.limits,
            "bounds": self.bounds,
        }
        return settingsfile.render(SETTINGS_TEMPLATE.read_text(), fields)

    async def start(self) -> None:
        """Start the process; its output is appended to the log."""
        with open(self._log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "chervilshore.daemon",
                "--file",
                str(self._settings_path.resolve()),
                stdout=log,
                stderr=log,
                cwd=self.code,
                env=os.environ | {"PYTHONPATH": str(self.code)},
            )

    async def wait_ready(self) -> None:
        """Wait until the host reports that it is ready for requests."""
        async with aiohttp.ClientSession() as session:
            while not await self.is_ready(session):
                await asyncio.sleep(READY_POLL_SECONDS)

    async def is_ready(self, session: aiohttp.ClientSession) -> bool:
        """Return whether the host reports that it is ready for requests."""
        try:
            async with session.get(f"http://{self.ready_address}/") as answer:
                return answer.status == 200
        except aiohttp.ClientConnectionError:
            # The host does not listen yet.
            return False

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def signal_and_wait(self, number: signal.Signals) -> int:
        """Send a signal and wait for the process; return its exit status.

        A process that does not end in time is killed.
        """
        self.send_signal(number)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_SECONDS):
                return await self.process.wait()
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            return await self.process.wait()

    async def restart(self, number: signal.Signals) -> None:
        """Stop the process by a signal and start it again.

        Concurrent restarts run one after the other, so that no process is
        left running without a reference to it.
        """
        async with self._restarting:
            await self.signal_and_wait(number)
            await self.start()

    async def stop(self) -> None:
        """Kill the process, also if it is paused."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


class Worker:
    """A worker that registers with the store.

    Each start gives it a new name.

    Attributes
    ----------
    slots : int
        Requests that it runs at a time; 0 for no limit.
    """

    slots = 0

    def __init__(self, service: str, zone: str, number: int) -> None:
        self.service = service
        self.zone = zone
        self.address = ""
        self.worker: workers.Worker | None = None
        self._number = number
        self._starts = 0

    @property
    def name(self) -> str:
        """Name since the latest start."""
        return f"{self.service}{self._number}x{self._starts}"

    async def start(self, store: stores.Store) -> None:
        """Start the worker and register it."""
        self._starts += 1
        events = STREAM_EVENTS if self.service == "llm" else 0
        version = f"v{self._starts}"
        self.worker = workers.Worker(
            self.name,
            events=events,
            millis=10.0,
            version=version,
            text=version,
            event_ms=EVENT_MS,
            slots=self.slots,
        )
        self.address = await self.worker.start()
        await self.register(store, "ready")

    async def register(self, store: stores.Store, state: str) -> None:
        """Write the worker's entry to the store."""
        entry = self.worker.describe(self.service, self.zone, state=state)
        entry["addr"] = self.address
        await store.write("servers", self.name, entry)

    async def stop(self) -> None:
        """Stop the worker."""
        await self.worker.stop()


class LocalDeployment:
    """A store, workers and entry hosts.

    Parameters
    ----------
    folder : Path
        Directory of settings files and logs.
    hosts : int
        The number of daemons.

    Attributes
    ----------
    runs : Counter
        Runs of each request, by its attempt id, at workers that were
        stopped.
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
        """Start everything; does not wait until the hosts are ready."""
        address = await self.store.start()
        await self.configure()
        for worker in self.workers:
            await worker.start(self.store)
        ports = [deployments.find_ports(3) for _ in self.hosts]
        seeds = [f"127.0.0.1:{host_ports[2]}" for host_ports in ports]
        for host, host_ports in zip(self.hosts, ports, strict=True):
            await host.write_settings(address, host_ports, seeds)
            await host.start()

    async def configure(self, extra_routes: tuple = ()) -> None:
        """Write a new version of the configuration."""
        self._version += 1
        config = make_config(self._version, extra_routes)
        await self.store.write("config", "main", config)

    async def restart_worker(self, worker: Worker) -> None:
        """Stop a worker, remove its entry and start it under a new name."""
        await worker.stop()
        self.collect_runs(worker)
        await self.store.remove("servers", worker.name)
        await worker.start(self.store)

    def collect_runs(self, worker: Worker) -> None:
        """Move the runs of a worker to `runs`."""
        self.runs.update(worker.worker.runs)
        worker.worker.runs.clear()

    async def stop(self) -> None:
        """Stop hosts, workers and store."""
        for host in self.hosts:
            await host.stop()
        for worker in self.workers:
            self.collect_runs(worker)
            await worker.stop()
        await self.store.stop()
