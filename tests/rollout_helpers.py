"""Hosts that carry out an order of a roll-out while callers send requests."""

import asyncio
import collections

import aiohttp

from standins import workerfaults
from tests import gateway_helpers as helpers

OLD, NEW = "v1", "v2"
ENDPOINTS = 3
"""Endpoints of each version."""

REQUESTS_PER_SECOND = 250.0
"""Enough for a verdict within a tenth of them and a few seconds."""

DURATION_SECONDS = 14.0
DEADLINE_MS = 1000
SLACK = 20
BOUNDS = {
    "exposure_share": "0.1",
    "exposure_slack": str(SLACK),
    "rollback_ms": "3000",
    "retry_ratio": "0.2",
    "retry_slack": "50",
}
BODY = b"the same each time"
ROUTES = ("look", "find")


class Fleet:
    """Hosts with endpoints of an old version, and callers.

    Attributes
    ----------
    statuses : Counter
        Answers to the callers by status; 0 for a connection that broke.
    """

    def __init__(self, deployment, hosts):
        self.deployment = deployment
        self.statuses = collections.Counter()
        self._hosts = hosts
        self._callers = None

    async def start(self, **bounds):
        """Start hosts, old endpoints and callers."""
        await self.deployment.configure(
            [
                helpers.make_route(name, "ledger", timeout_ms=DEADLINE_MS)
                for name in ROUTES
            ],
            [helpers.make_service("ledger")],
        )
        for number in range(self._hosts):
            await self.add_host(number, **bounds)
        await self.add_endpoints(OLD)
        for host in self.deployment.hosts:
            await self.deployment.wait_ready(host, ENDPOINTS)
        self._callers = asyncio.ensure_future(self._call())

    async def add_host(self, number, **bounds):
        """Start one host, which knows the first one."""
        seeds = {}
        if self.deployment.hosts:
            first = self.deployment.hosts[0]
            seeds["seeds"] = first._options.peer_address
        return await self.deployment.add_host(
            host=f"h{number}",
            domain="abc"[number % 3],
            **(BOUNDS | bounds),
            **seeds,
        )

    async def add_endpoints(self, version, **faults):
        """Start endpoints of a version."""
        for number in range(ENDPOINTS):
            worker = await self.deployment.add_worker(
                f"{version}-{number}",
                "ledger",
                zone="abc"[number],
                millis=5.0,
                version=version,
            )
            worker.version_faults = workerfaults.VersionFaults(**faults)

    async def order(self, to=NEW, duration=DURATION_SECONDS, name="ledger"):
        """Write an order as an operator does."""
        await self.deployment.store.write(
            "rollouts",
            name,
            {"service": "ledger", "to": to, "duration_s": duration},
        )

    async def stop(self):
        """Stop the callers."""
        self._callers.cancel()
        await asyncio.gather(self._callers, return_exceptions=True)

    async def stop_endpoints(self, version):
        """Stop the endpoints of a version at once, as processes that end."""
        for name, worker in tuple(self.deployment.workers.items()):
            if worker.version == version:
                await worker.stop()
                await self.deployment.store.remove("servers", name)

    async def restart_hosts(self):
        """Stop all hosts and start new processes of them."""
        stopped, self.deployment.hosts[:] = list(self.deployment.hosts), []
        await asyncio.gather(*(host.stop() for host in stopped))
        for number in range(self._hosts):
            await self.add_host(number)

    async def _call(self):
        sends = set()
        number = 0
        while True:
            await asyncio.sleep(1.0 / REQUESTS_PER_SECOND)
            hosts = self.deployment.hosts
            if not hosts:
                continue
            send = asyncio.ensure_future(
                self._send(
                    hosts[number % len(hosts)],
                    ROUTES[number // len(hosts) % len(ROUTES)],
                )
            )
            sends.add(send)
            send.add_done_callback(sends.discard)
            number += 1

    async def _send(self, host, route):
        try:
            response, _ = await self.deployment.send(
                host, f"/{route}/", data=BODY
            )
        except aiohttp.ClientError:
            # The host was stopped.
            self.statuses[0] += 1
        else:
            self.statuses[response.status] += 1

    def list_workers(self, version):
        """List the endpoints of a version."""
        return [
            worker
            for worker in self.deployment.workers.values()
            if worker.version == version
        ]

    def count_runs(self, version):
        """Return how many requests the endpoints of a version got."""
        return sum(
            len(worker.received) for worker in self.list_workers(version)
        )

    def read_state(self):
        """Return the state that the status of the order has."""
        status = self.deployment.store.read_status("rollouts", "ledger")
        return status["state"] if status else None

    async def wait_state(self, state, seconds=DURATION_SECONDS + 3.0):
        """Wait for a state; return after how many seconds it came."""
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        async with asyncio.timeout(seconds):
            while self.read_state() != state:
                await asyncio.sleep(0.02)
        return loop.time() - began_at
