"""Hosts with a configuration service each, for tests."""

import asyncio
import pathlib
import random

from chervilshore import changes
from chervilshore.clients import admin as admin_clients
from chervilshore.clients import memory
from chervilshore.controllers import directory
from chervilshore.controllers import generations
from chervilshore import edits
from chervilshore import exceptions
from chervilshore import ids
from chervilshore import operations
from chervilshore import records

DOWN = memory.Fault.DOWN
EXAMPLES = pathlib.Path(__file__).resolve().parent.parent / "examples"
KELVINSIDE = (EXAMPLES / "kelvinside.rules").read_text()


def make_host(domain, number):
    name = f"{domain}-{number}"
    address = ids.Address(f"{name}:1")
    return records.HostRecord(name, domain, address, address)


class Fleet(admin_clients.Admin):
    """Hosts in some domains, each with its own view of the others."""

    def __init__(self, clock, platform, network, domains, per_domain=3):
        self.clock = clock
        self.platform = platform
        self.network = network
        self.hosts = [
            make_host(domain, number)
            for domain in domains
            for number in range(per_domain)
        ]
        self.services = {}
        self.directories = {}
        platform.host_list = records.HostList(hosts=tuple(self.hosts))

    async def start(self, hosts=None):
        for host in hosts or self.hosts:
            await self.start_host(host)

    async def start_host(self, host, platform=None):
        view = directory.StaticDirectory(self.platform.host_list)
        service = generations.GenerationService(
            host.host,
            host.domain,
            platform or self.platform,
            self.network.join(host.peer_address),
            view,
            self.clock,
            random.Random(host.host),
        )
        self.directories[host.host] = view
        self.services[host.host] = service
        await service.start()
        return service

    async def kill(self, name):
        service = self.services.pop(name)
        self.network.drop(ids.Address(f"{name}:1"))
        await service.stop()

    async def stop(self):
        for name in list(self.services):
            await self.kill(name)

    def list_generations(self):
        return [service.rules.generation for service in self.services.values()]

    async def ask(self, address, timeout_ms):
        service = self.services.get(address.partition(":")[0])
        if service is None:
            raise exceptions.PeerError(address)
        state = service.describe()
        return admin_clients.HostStatus(
            host=address.partition(":")[0],
            domain="",
            generation=state["generation"],
            change=state["change"],
            refused_generation=state["refused_generation"],
            refusal=state["refusal"],
            ready=True,
            pipelines={},
        )


def make_edit(text=KELVINSIDE, author="Morag", **fields):
    document = edits.parse(text, "edited.rules")
    return edits.Edit(document, author, "test", **fields)


async def drive(clock, awaitable, step_ms=50.0, most_ms=60_000.0):
    """Move the clock until something is done."""
    task = asyncio.ensure_future(awaitable)
    end = clock.now() + most_ms
    while not task.done() and clock.now() < end:
        await clock.advance(step_ms)
    return await task


async def accept(fleet, text=KELVINSIDE, author="Morag", **fields):
    """Have a text accepted, and return its head."""
    operator = operations.Operations(fleet.platform, fleet, fleet.clock)

    async def run():
        plan = await operator.plan(make_edit(text, author, **fields))
        return await operator.apply(plan, 5000.0)

    return await drive(fleet.clock, run())


class FollowingAdmin(admin_clients.Admin):
    """Hosts that have in force whatever the platform has accepted."""

    def __init__(self, platform):
        self._platform = platform
        self.pipelines = {}

    async def ask(self, address, timeout_ms):
        store = changes.Store(self._platform, None)
        snapshot = await store.read()
        return admin_clients.HostStatus(
            host=address.partition(":")[0],
            domain="",
            generation=snapshot.generation,
            change=snapshot.head.change,
            ready=True,
            pipelines=self.pipelines,
        )
