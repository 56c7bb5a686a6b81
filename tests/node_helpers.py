"""One entry host on loopback with stand-ins for two endpoints, the desks."""

import asyncio

from aiohttp import test_utils
import msgspec

from chervilshore import client as clients
from chervilshore import clock as clocks
from chervilshore import edits
from chervilshore import node
from chervilshore import operations
from chervilshore import records
from chervilshore import settings
from measure import deployment
from standins import base
from standins import platform as platforms
from standins import pool

RULES = """
domain a region=r state=in  # Ada, test
pool desk kind=plain cold=4 most=8  # Ada, test
class prompt priority=1  # Ada, test
service look pool=desk path=/look repeatable=yes class=prompt  # Ada, test
service bill pool=desk path=/bill repeatable=no class=prompt  # Ada, test
team one rate=100 burst=100 concurrency=100  # Ada, test
"""

DEADLINE_MS = 1000
POLL_SECONDS = 0.01


class World:
    """A running node, its two endpoints, the platform and a caller."""

    def __init__(self):
        self.desks = [
            pool.PlainService(
                f"desk-{number}", base.Shape(service_ms=0.0, cold=4)
            )
            for number in (1, 2)
        ]
        self.platform = platforms.PlatformServer()
        self.gate = asyncio.Event()
        self.gate.set()
        self.answer = None
        self.first = None
        self.draining = None
        self._servers = []

    async def start(self):
        addresses = [await self._serve(desk) for desk in self.desks]
        self.platform.store.host_list = records.HostList(
            endpoints=tuple(
                records.EndpointRecord(desk.name, "desk", "a", address)
                for desk, address in zip(self.desks, addresses, strict=True)
            )
        )
        await self._accept_rules()
        http, peer = deployment.find_ports(2)
        flags = {
            "host": "a-1",
            "domain": "a",
            "http_address": f"127.0.0.1:{http}",
            "peer_address": f"127.0.0.1:{peer}",
            "platform": await self._start(self.platform.make_app()),
        }
        self.node = node.Node(settings.load(flags, {}), clocks.SystemClock())
        await self.node.start()
        while not self.node.server.ready():
            await asyncio.sleep(POLL_SECONDS)
        self.client = clients.Client([flags["http_address"]], "one")
        # A host that has just started first checks that no other host uses
        # the endpoints; send requests until each endpoint got one.
        while not all(desk.counts.calls for desk in self.desks):
            await self.client.request("look", {"n": 0})

    async def stop(self):
        self.gate.set()
        await self.client.close()
        await self.node.stop()
        for server in self._servers:
            await server.close()

    async def _serve(self, desk):
        desk.reset_to_cold()
        desk.set_warm()
        process_call = desk.process_call

        async def wait_for_gate(request, body):
            await self.gate.wait()
            return await process_call(request, body)

        desk.process_call = wait_for_gate
        return await self._start(desk.make_app())

    async def _start(self, app):
        server = test_utils.TestServer(app)
        await server.start_server()
        self._servers.append(server)
        return f"127.0.0.1:{server.port}"

    async def _accept_rules(self):
        operator = operations.Operations(
            self.platform.store, None, self.platform.clock
        )
        edit = edits.Edit(
            author="Ada", reason="test", document=edits.parse(RULES, "test")
        )
        await operator.apply(await operator.plan(edit), DEADLINE_MS)

    async def close_desk(self, number):
        """Stop the server of an endpoint; numbers start at 1."""
        await self._servers[number - 1].close()

    def set_faults(self, **faults):
        """Change the faults that both endpoints inject."""
        for desk in self.desks:
            desk.faults = msgspec.structs.replace(desk.faults, **faults)

    async def leave(self):
        """Cancel the first request, as a caller that disconnects."""
        self.first.cancel()
        await asyncio.wait({self.first})

    async def wait_cancelled(self):
        """Wait until an endpoint has seen its call cancelled."""
        while not any(desk.counts.cancelled for desk in self.desks):
            await asyncio.sleep(POLL_SECONDS)

    def count_runs(self, key):
        """Return how often the endpoints ran the request with this key."""
        return sum(desk.counts.runs.get(key, 0) for desk in self.desks)

    async def send(self, service, key=None, body=1, resends=0):
        headers = {"X-Resend": str(resends)} if resends else {}
        return await self.client.request(
            service,
            {"n": body},
            deadline_ms=DEADLINE_MS,
            key=key,
            resend=False,
            headers=headers,
        )

    async def begin(self, service, key=None):
        """Start the first request and wait until an endpoint runs it."""
        self.first = asyncio.ensure_future(
            self.client.request(service, {"n": 1}, key=key, resend=False)
        )
        while not any(desk.counts.in_flight for desk in self.desks):
            await asyncio.sleep(POLL_SECONDS)
