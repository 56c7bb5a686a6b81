"""A small deployment on loopback: store, workers and entry hosts.

The hosts are the project's daemon, started with the command and the template
of the deploy file. They reach the store through a link that can be cut.
"""

import asyncio
import contextlib
import os
import pathlib
import signal
import sys

from soak import proxy
from standins import site
from standins import store as stores
from standins import workers

ROOT = pathlib.Path(__file__).parents[2]

GRACE_SECONDS = 8.0
"""`grace_s` of the site file: SIGKILL follows SIGTERM by this."""

DRAIN_SECONDS = 2.0
"""`drain_ms` of the site file."""

START_SPREAD_SECONDS = 0.3
"""Time within which all machines start."""

STABLE_SECONDS = 3.0
"""`stable_ms` of the site file."""


class Host(site.Host):
    """A daemon that reaches the store through a link of its own."""

    store_link: proxy.Proxy

    async def render_settings(self, store: str, seeds: list[str]) -> str:
        """Return the settings with the address of the link."""
        self.store_link = proxy.Proxy(store, self.name)
        address = await self.store_link.start()
        return await super().render_settings(address, seeds)

    async def start(self) -> None:
        """Start the process as the deploy file says."""
        with open(self._log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "chervilshore.daemon",
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "CHERVILSHORE_SETTINGS": str(
                        self._settings_path.resolve()
                    ),
                },
            )

    async def terminate(self) -> bool:
        """Send SIGTERM, and SIGKILL after the grace; return if it ended."""
        self.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_SECONDS):
                await self.process.wait()
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            await self.process.wait()
            return False
        return True

    async def stop(self) -> None:
        """Kill the process and close its link."""
        await super().stop()
        await self.store_link.stop()


class Deployment:
    """Store, workers and hosts.

    Parameters
    ----------
    folder : Path
        Where settings and logs go.
    zones : sequence of str
        The zone of each host.
    """

    def __init__(self, folder: pathlib.Path, zones: list[str]) -> None:
        self.store = stores.Store()
        self.store.era = 0
        self.hosts = [
            Host(f"h{number}", zone, folder)
            for number, zone in enumerate(zones)
        ]
        self.workers: list[workers.Worker] = []
        self._links: list[proxy.Proxy] = []

    async def start(self, config: dict) -> None:
        """Start the store and the hosts, and wait until these are ready."""
        address = await self.store.start()
        await self.store.write("config", "main", config)
        ports = [site.deployments.find_ports(3) for _ in self.hosts]
        seeds = [f"127.0.0.1:{one[2]}" for one in ports][:3]
        for host, found in zip(self.hosts, ports, strict=True):
            await host.write_settings(address, found, seeds)
            await host.start()
            await asyncio.sleep(START_SPREAD_SECONDS / len(self.hosts))
        async with asyncio.timeout(20.0):
            for host in self.hosts:
                await host.wait_ready()

    async def add_worker(
        self, worker: workers.Worker, service: str, zone: str
    ) -> None:
        """Start a worker and write its entry."""
        await worker.start()
        self.workers.append(worker)
        await self.store.write(
            "servers", worker.name, worker.describe(service, zone)
        )

    async def add_linked_worker(
        self, worker: workers.Worker, service: str, zone: str
    ) -> proxy.Proxy:
        """Start a worker behind a link, write its entry, return the link."""
        link = proxy.Proxy(await worker.start(), worker.name)
        self.workers.append(worker)
        self._links.append(link)
        entry = worker.describe(service, zone, addr=await link.start())
        await self.store.write("servers", worker.name, entry)
        return link

    async def stop(self) -> None:
        """Stop everything."""
        for link in self._links:
            await link.stop()
        for host in self.hosts:
            if host.process is not None:
                await host.stop()
        for worker in self.workers:
            with contextlib.suppress(Exception):
                await worker.stop()
        await self.store.stop()
