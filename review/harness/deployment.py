"""A small deployment on loopback: a store, workers and entry hosts."""

import asyncio
import os
import pathlib
import signal
import socket
import sys
import time

from standins import settingsfile
from standins import store as stores

ROOT = pathlib.Path(__file__).parents[2]
TEMPLATE = ROOT / "deploy" / "settings.json.in"
RUN = ("-m", "chervilshore.daemon")
"""Arguments of the run command in deploy/system.toml."""

MEMORY_MB = 300
"""Memory of a machine, from the deployment's sheet."""

READY_POLL_SECONDS = 0.05
READY_SECONDS = 20.0

KEY = "key-of-the-tenant"

LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 4_194_304,
    "header_timeout_ms": 5000,
    "idle_timeout_ms": 15_000,
}


_RUNNING: list["Host"] = []


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """The lines of record.txt."""

    def __init__(self, path: pathlib.Path) -> None:
        self._began = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def add(self, text: str) -> None:
        """Write a line with the seconds since the start."""
        seconds = time.monotonic() - self._began
        self._file.write(f"{seconds:8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def find_ports(count: int) -> list[int]:
    """Return free TCP ports of 127.0.0.1."""
    found = []
    for _ in range(count):
        sock = socket.socket()
        sock.bind(("127.0.0.1", 0))
        found.append(sock)
    ports = [sock.getsockname()[1] for sock in found]
    for sock in found:
        sock.close()
    return ports


def make_route(name: str, service: str, kind: str, **fields) -> dict:
    """Return a route as an operator writes it."""
    return {
        "name": name,
        "host": "desk.example",
        "path_prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeout_ms": 15_000,
        "slo_ms": 1400,
        "priority": 1,
        "max_attempts": 1,
    } | fields


def make_config(version: int, routes: list, services: list) -> dict:
    """Return a configuration with one tenant."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": LIMITS,
        "tenants": [{"name": "franchise", "api_keys": [KEY]}],
    }


class Host:
    """An entry host: the daemon as a process of its own.

    Parameters
    ----------
    name, zone : str
        The name of the machine, and its zone.
    folder : Path
        Where its settings and its log go.
    """

    def __init__(self, name: str, zone: str, folder: pathlib.Path) -> None:
        self.name = name
        self.zone = zone
        ports = find_ports(4)
        self.front, self.ready, self.control = (
            f"127.0.0.1:{port}" for port in ports[:3]
        )
        self._relay_port = ports[3]
        self._settings = folder / f"{name}.json"
        self._log = folder / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None

    def write_settings(
        self, store: str, seeds: list[str], bounds: dict | None = None
    ) -> None:
        """Write the settings as the platform fills in the template.

        Parameters
        ----------
        store : str
            The address of the store.
        seeds : list of str
            The control addresses of some hosts.
        bounds : dict or None
            Figures that differ from those of the deployment.
        """
        port = int(self.front.rpartition(":")[2])
        fields = {
            "node_name": self.name,
            "ip": f"127.{port >> 8}.{port & 255}.1",
            "zone": self.zone,
            "listen": {
                "front": self.front,
                "ready": self.ready,
                "control": self.control,
            },
            "port_range": [self._relay_port, self._relay_port],
            "seeds": seeds,
            "platform": {"addr": store},
            "limits": {"link_mbps": 1000.0, "memory_mb": MEMORY_MB},
            "bounds": {
                "retry_ratio": 0.2,
                "retry_slack": 52,
                "retry_window_s": 10,
                "stable_ms": 3000,
            }
            | (bounds or {}),
        }
        self._settings.write_text(
            settingsfile.render(TEMPLATE.read_text(), fields)
        )

    async def start(self) -> None:
        """Start the process; its output is appended to its log."""
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["CHERVILSHORE_SETTINGS"] = str(self._settings)
        env["PYTHONPATH"] = f"{ROOT / 'target' / 'deps'}{os.pathsep}{ROOT}"
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, *RUN, stdout=log, stderr=log, cwd=ROOT, env=env
            )
        if self not in _RUNNING:
            _RUNNING.append(self)

    async def ask_ready(self) -> bool:
        """Ask GET /ready once, as the platform does."""
        host, _, port = self.ready.rpartition(":")
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                try:
                    writer.write(
                        f"GET /ready HTTP/1.1\r\nHost: {host}\r\n"
                        "Connection: close\r\n\r\n".encode()
                    )
                    line = await reader.readline()
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    async def wait_ready(self) -> None:
        """Wait until the host says that it is ready."""
        end = time.monotonic() + READY_SECONDS
        while not await self.ask_ready():
            if time.monotonic() > end:
                raise CannotRun(f"{self.name} does not become ready")
            await asyncio.sleep(READY_POLL_SECONDS)

    def read_memory_mb(self) -> float:
        """Return the resident memory of the process in MiB."""
        path = pathlib.Path(f"/proc/{self.process.pid}/status")
        try:
            for line in path.read_text().splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024.0
        except OSError:
            pass
        return 0.0

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """End the process, also a stopped one."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


async def start_store() -> tuple[stores.Store, str]:
    """Start the project's stand-in of the store; return its address too."""
    store = stores.Store()
    return store, await store.start()


async def register(
    store: stores.Store,
    name: str,
    service: str,
    zone: str,
    address: str,
    slots: int,
    **fields,
) -> None:
    """Write the entry of a worker."""
    entry = {
        "service": service,
        "addr": address,
        "zone": zone,
        "version": "1",
        "slots": slots,
        "state": "ready",
        "cold_left_ms": 0,
        "call_seq": 0,
        "born": int(time.time() * 1000),
    }
    await store.write("servers", name, entry | fields)


async def stop_all() -> None:
    """End all processes that were started."""
    for host in _RUNNING:
        await host.kill()
