"""Forwarding hosts on loopback with stand-ins for the store and workers."""

import asyncio
import contextlib
import itertools

import aiohttp

from chervilshore import clock as clocks
from chervilshore import gateway
from chervilshore import settings
from measure import deployment as deployments
from standins import store as stores
from standins import workers

KEY = "key-of-a-team"
REQUEST_NUMBERS = itertools.count(1)
WAIT_SECONDS = 10.0

LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 100_000,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


def make_route(name, service, **changes):
    """Return a route as the operator writes it to the store."""
    return {
        "name": name,
        "host": "shop.example",
        "path_prefix": f"/{name}/",
        "kind": "idempotent",
        "timeout_ms": 5000,
        "slo_ms": 2000,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "public": False,
    } | changes


def make_config(version, routes, services, keys=(KEY,), limits=None):
    """Return a configuration as the operator writes it to the store."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": LIMITS | (limits or {}),
        "tenants": [{"name": "team1", "api_keys": list(keys)}],
    }


def make_service(name, **changes):
    """Return a service as the operator writes it to the store."""
    return {"name": name, "health_path": "/health", "max_conns": 50} | changes


def make_batching(**changes):
    """Return the batching parameters of a service."""
    return {
        "slots": 1,
        "queue": 2,
        "batch": 8,
        "call_ms": 5.0,
        "item_ms": 1.0,
        "headroom_mb": 10.0,
        "handle_s": 4.0,
        "link_mbps": 1000,
    } | changes


def make_retry_options(slack):
    """Return settings with a retry budget of all hosts together."""
    return settings.load(
        {
            "host": "h1",
            "domain": "a",
            "http_address": "127.0.0.1:1",
            "peer_address": "127.0.0.1:2",
            "platform": "127.0.0.1:3",
            "retry_ratio": "0.2",
            "retry_slack": str(slack),
            "retry_window_ms": "10000",
        },
        {},
    )


class Deployment:
    """A store, workers and forwarding hosts on loopback."""

    def __init__(self):
        self.store = stores.Store()
        self.hosts = []
        self.workers = {}
        self.address = ""
        self._session = None
        self._version = 0

    async def start(self):
        self.address = await self.store.start()
        self._session = aiohttp.ClientSession(auto_decompress=False)

    async def stop(self):
        for host in self.hosts:
            await host.stop()
        for worker in self.workers.values():
            await worker.stop()
        await self.store.stop()
        await self._session.close()

    async def configure(self, routes, services, **changes):
        """Write a new configuration to the store and return its version."""
        self._version += 3
        config = make_config(self._version, routes, services, **changes)
        await self.store.write("config", "main", config)
        return self._version

    async def add_worker(self, name, service, zone="a", **options):
        """Start a worker and register it in the store."""
        worker = workers.Worker(name, **options)
        await worker.start()
        self.workers[name] = worker
        await self.store.write("servers", name, worker.describe(service, zone))
        return worker

    async def add_host(self, connector=None, **changes):
        """Start a forwarding host; a connector opens its connections."""
        front, ready, peer, relay = deployments.find_ports(4)
        values = {
            "interface": "forward",
            "host": f"h{len(self.hosts) + 1}",
            "domain": "a",
            "http_address": f"127.0.0.1:{front}",
            "ready_address": f"127.0.0.1:{ready}",
            "peer_address": f"127.0.0.1:{peer}",
            "relay_address": f"127.0.0.1:{relay}",
            "platform": self.address,
            "drain_ms": "4000",
        } | changes
        options = settings.load(values, {})
        host = gateway.Gateway(options, clocks.SystemClock(), connector)
        host.address = values["http_address"]
        host.ready_address = values["ready_address"]
        await host.start()
        self.hosts.append(host)
        return host

    async def wait_until(self, condition):
        """Wait until a condition holds, with a timeout."""
        async with asyncio.timeout(WAIT_SECONDS):
            while not condition():
                await asyncio.sleep(0.01)

    async def wait_ready(self, host, endpoints):
        """Wait until a host is ready and knows this many endpoints."""
        await self.wait_until(
            lambda: (
                host.is_ready
                and host._catalog.describe()["endpoints"] == endpoints
            )
        )

    async def read_status(self, host):
        """Return what a host says of its state."""
        url = f"http://{host.ready_address}/"
        async with self._session.get(url) as response:
            return await response.json()

    @contextlib.asynccontextmanager
    async def open(self, host, path, method="POST", headers=(), **options):
        """Send a request and yield its answer before the body is read."""
        number = f"r{next(REQUEST_NUMBERS)}"
        sent = {
            "Host": "shop.example",
            "Chervilshore-Attempt-Id": number,
            "Chervilshore-Deadline-Ms": "5000",
            "Chervilshore-Key": KEY,
        } | dict(headers)
        async with self._session.request(
            method, f"http://{host.address}{path}", headers=sent, **options
        ) as response:
            response.attempt = number
            yield response

    async def send(self, host, path, **options):
        """Send a request; return its answer and body."""
        async with self.open(host, path, **options) as response:
            return response, await response.read()

    async def read_stream(self, host, path, headers=()):
        """Send a request; return its answer, body and completeness."""
        content = b""
        async with self.open(host, path, headers=headers) as response:
            try:
                async for data in response.content.iter_any():
                    content += data
            except aiohttp.ClientError:
                return response, content, False
        return response, content, True


async def serve_plain(deployment, count=1, limits=None, host=None, **route):
    """Start a host and plain workers."""
    await deployment.configure(
        [make_route("look", "ledger", **route)],
        [make_service("ledger")],
        limits=limits,
    )
    forwarding_host = await deployment.add_host(**(host or {}))
    new_workers = [
        await deployment.add_worker(f"w{number}", "ledger")
        for number in range(count)
    ]
    await deployment.wait_ready(forwarding_host, count)
    return forwarding_host, new_workers


async def serve_stream(deployment, count=1, events=5, **route):
    """Start a host and model workers."""
    await deployment.configure(
        [make_route("say", "llm", kind="stream", **route)],
        [make_service("llm", engine={"slots": 8})],
    )
    host = await deployment.add_host()
    new_workers = [
        await deployment.add_worker(f"m{number}", "llm", events=events)
        for number in range(count)
    ]
    await deployment.wait_ready(host, count)
    return host, new_workers


async def serve_stages(
    deployment, first_ms=5.0, second_ms=5.0, host=None, **worker
):
    """Start a host, the workers of two batch stages and a model worker."""
    stages = [
        {"service": "cut", "after": [], "size_bytes": 1000},
        {"service": "sew", "after": [0], "size_bytes": 1000},
    ]
    await deployment.configure(
        [make_route("say", "llm", kind="stream", stages=stages)],
        [
            make_service("llm", engine={"slots": 8}),
            make_service("cut", pieces=make_batching(call_ms=first_ms)),
            make_service("sew", pieces=make_batching(call_ms=second_ms)),
        ],
    )
    host = await deployment.add_host(**(host or {}))
    await deployment.add_worker("m0", "llm", events=3)
    await deployment.add_worker("c0", "cut", **({"millis": first_ms} | worker))
    await deployment.add_worker("s0", "sew", millis=second_ms)
    await deployment.wait_ready(host, 3)
    return host
