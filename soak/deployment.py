"""A local deployment whose hosts and workers are reached through proxies."""

import collections

import msgspec

from measure import deployment as deployments
from soak import proxy
from standins import site
from standins import store as stores


RETRY_RATIO = 0.2
RETRY_SLACK = 20
RETRY_WINDOW_SECONDS = 10.0
"""Bounds of the arrivals beyond the first of each request, for each service:
a share of the requests for it, and a number, in any window."""

SLOTS = {"ledger": 2, "llm": 8}
"""Requests that a worker of a service runs at a time; it refuses others."""


class Host(site.Host):
    """A daemon behind proxies: its callers, the store and its peers."""

    front: proxy.Proxy
    store: proxy.Proxy
    peer: proxy.Proxy

    @property
    def source_ip(self) -> str:
        """The address from which it connects to workers."""
        return f"127.0.1.{int(self.name[1:]) + 1}"

    async def render_settings(self, store: str, seeds: list[str]) -> str:
        """Return settings with the addresses of proxies; see `site.Host`."""
        self.front = proxy.Proxy(self.address, f"{self.name}/front")
        await self.front.start()
        self.store = proxy.Proxy(store, f"{self.name}/store")
        self.peer = proxy.Proxy(self.control_address, f"{self.name}/peer")
        values = {
            "interface": "forward",
            "host": self.name,
            "domain": self.zone,
            "http_address": self.address,
            "ready_address": self.ready_address,
            "peer_address": await self.peer.start(),
            "peer_listen": self.control_address,
            "platform": await self.store.start(),
            "relay_address": f"127.0.0.1:{deployments.find_ports(1)[0]}",
            "source_ip": self.source_ip,
            "drain_ms": "6000",
            "retry_ratio": str(RETRY_RATIO),
            "retry_slack": str(RETRY_SLACK),
            "retry_window_ms": str(int(RETRY_WINDOW_SECONDS * 1000)),
        }
        return msgspec.json.encode(values).decode()

    async def stop(self) -> None:
        """Stop the process and its proxies."""
        await super().stop()
        for link in (self.front, self.store, self.peer):
            await link.stop()


class Worker(site.Worker):
    """A worker behind a proxy, with a new version at each start."""

    proxy: proxy.Proxy

    @property
    def slots(self) -> int:
        """Requests that it runs at a time; see `site.Worker`."""
        return SLOTS.get(self.service, 0)

    async def register(self, store: stores.Store, state: str) -> None:
        """Write the worker's entry, with the proxy's address."""
        if self.address == self.worker.address:
            self.proxy = proxy.Proxy(self.address, self.name)
            self.address = await self.proxy.start()
        await super().register(store, state)

    async def stop(self) -> None:
        """Stop the worker and its proxy."""
        await super().stop()
        await self.proxy.stop()


class Deployment(site.LocalDeployment):
    """A local deployment with proxies.

    Attributes
    ----------
    arrivals : dict of str to list
        Time and attempt id of each arrival, by service.
    failures : set of tuple
        Attempt id and status of each stamped failure.
    disturbed : dict of str to set
        What a faulty worker did on the connection of a request, by its
        attempt id.
    """

    host_type = Host
    worker_type = Worker

    def __init__(self, folder, hosts: int) -> None:
        super().__init__(folder, hosts)
        self.arrivals = collections.defaultdict(list)
        self.failures: set[tuple[str, int]] = set()
        self.disturbed = collections.defaultdict(set)

    def collect_runs(self, worker: site.Worker) -> None:
        """Move what a worker has seen here; see `site.LocalDeployment`."""
        super().collect_runs(worker)
        standin = worker.worker
        self.arrivals[worker.service] += standin.arrivals
        self.failures.update(standin.failures)
        for attempt, status in standin.failures:
            self.disturbed[attempt].add(f"status-{status}")
        for attempt, label in standin.repeater.disturbed:
            self.disturbed[attempt].add(label)
        standin.arrivals.clear()
        standin.failures.clear()
        standin.repeater.disturbed.clear()
