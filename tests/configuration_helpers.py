"""A cluster of hosts with configuration services, for tests."""

import asyncio
import pathlib
import random

import msgspec

from chervilshore import changes
from chervilshore.clients import admin as admin_clients
from chervilshore.clients import memory
from chervilshore.controllers import directory
from chervilshore.controllers import generations
from chervilshore import edits
from chervilshore import exceptions
from chervilshore import ids
from chervilshore import messages
from chervilshore import operations
from chervilshore import records
from measure import races

DOWN = memory.Fault.DOWN
EXAMPLES = pathlib.Path(__file__).resolve().parent.parent / "examples"
KELVINSIDE = (EXAMPLES / "kelvinside.rules").read_text()


def make_host(domain, number):
    name = f"{domain}-{number}"
    address = ids.Address(f"{name}:1")
    return records.HostRecord(name, domain, address, address)


class DisconnectablePlatform(races.PlatformProxy):
    """A host's connection to the platform, which can be cut."""

    def __init__(self, inner):
        super().__init__(inner)
        self.down = False
        self.calls = 0

    async def _forward(self, call, *arguments):
        self.calls += 1
        if not self.down:
            value = await super()._forward(call, *arguments)
        if self.down:
            raise exceptions.PlatformUnavailable(call)
        return value


class Cluster(admin_clients.StatusClient):
    """Hosts in several domains, each with its own host list.

    Attributes
    ----------
    violations : list of tuple
        Rules that a service announced although they were not newer or were
        mixed from two generations.
    """

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
        self.platforms = {}
        self.directories = {}
        self.ends = {}
        self.violations = []
        platform.host_list = records.HostList(hosts=tuple(self.hosts))
        self._random = random.Random(5)

    async def start(self, hosts=None):
        for host in hosts or self.hosts:
            await self.start_host(host)

    async def start_host(self, host, platform=None):
        view = directory.StaticDirectory(self.platform.host_list)
        own = DisconnectablePlatform(platform or self.platform)
        end = self.network.join(host.peer_address)
        service = generations.GenerationService(
            host.host,
            host.domain,
            own,
            end,
            view,
            self.clock,
            random.Random(host.host),
        )
        service.listen(self._make_listener(host.host))
        self.ends[host.host] = end
        self.platforms[host.host] = own
        self.directories[host.host] = view
        self.services[host.host] = service
        await service.start()
        return service

    def _make_listener(self, name):
        """Return a listener that records partial or outdated generations."""
        seen = []

        def listen(rules):
            rate = rules.teams["borders"].rate
            deadline = rules.pipelines["service-report"].deadline_ms
            is_whole = rate - 20 == deadline - 30_000
            if not is_whole or (seen and seen[-1] >= rules.generation):
                self.violations.append(
                    (name, rules.generation, rate, deadline)
                )
            seen.append(rules.generation)

        return listen

    async def kill(self, name):
        service = self.services.pop(name)
        self.network.remove_host(ids.Address(f"{name}:1"))
        await service.stop()

    async def stop(self):
        for name in list(self.services):
            await self.kill(name)

    async def run(self, millis):
        """Advance the clock; each host notifies a random one every second."""
        for _ in range(int(millis // 100)):
            await self.clock.advance(100)
            if self.clock.now() % 1000 < 100:
                self._send_notices()

    def _send_notices(self):
        for name, service in self.services.items():
            other = self._random.choice(self.hosts).peer_address
            end = self.ends[name]
            notice = messages.GenerationNotice(service.rules.generation)
            end.send(other, notice)

    def make_operator(self, platform=None):
        return operations.Operations(
            platform or self.platform, self, self.clock
        )

    def cut_platform(self, domain, down):
        for name, own in self.platforms.items():
            if name.startswith(domain):
                own.down = down

    def list_generations(self):
        return [service.rules.generation for service in self.services.values()]

    def list_watchers(self):
        return [
            name
            for name, service in self.services.items()
            if service.describe()["watching"]
        ]

    async def fetch_status(self, address, timeout_ms):
        name = address.partition(":")[0]
        service = self.services.get(name)
        if service is None:
            raise exceptions.PeerError(address)
        state = service.describe()
        return admin_clients.HostStatus(
            host=name,
            domain="",
            generation=state["generation"],
            configuration=msgspec.convert(
                state, admin_clients.ConfigurationStatus
            ),
            ready=True,
            pipelines={},
        )


def write_rules(number):
    """Return rules in which a team rate and a deadline depend on a number."""
    text = KELVINSIDE.replace(
        "borders rate=20 ", f"borders rate={20 + number} "
    )
    return text.replace("deadline=30000", f"deadline={30_000 + number}")


def make_edit(text=KELVINSIDE, author="Morag", **fields):
    document = edits.parse(text, "edited.rules")
    return edits.Edit(document, author, "test", **fields)


async def run_until_done(clock, awaitable, step_ms=50.0, max_ms=60_000.0):
    """Advance the clock until an awaitable is done, and return its result."""
    task = asyncio.ensure_future(awaitable)
    end = clock.now() + max_ms
    while not task.done() and clock.now() < end:
        await clock.advance(step_ms)
    return await task


async def publish_rules(cluster, number=0, platform=None, author="Morag"):
    """Publish the rules with a number and return their head."""
    operator = cluster.make_operator(platform)

    async def run():
        snapshot = await operator.store.read()
        edit = make_edit(write_rules(number), author, base=snapshot.generation)
        return await operator.apply(await operator.plan(edit), 5000.0)

    return await run_until_done(cluster.clock, run(), step_ms=1.0)


class PlatformStatusClient(admin_clients.StatusClient):
    """Reports the accepted generation as active on all hosts, by default.

    Attributes
    ----------
    generations : dict
        Active generations of hosts that lag, by their address.
    silent : set of Address
        Hosts that do not answer.
    """

    def __init__(self, platform, clock):
        self._platform = platform
        self._clock = clock
        self.pipelines = {}
        self.refusals = {}
        self.generations = {}
        self.silent = set()

    async def fetch_status(self, address, timeout_ms):
        if address in self.silent:
            raise exceptions.PeerError(address)
        try:
            head = (
                await changes.Store(self._platform, self._clock).read()
            ).head
        except exceptions.PlatformError as error:
            raise exceptions.PeerError(address) from error
        return admin_clients.HostStatus(
            host=address.partition(":")[0],
            domain="",
            generation=self.generations.get(address, head.generation),
            configuration=admin_clients.ConfigurationStatus(
                change=head.change
            ),
            ready=True,
            pipelines=self.pipelines,
            refusals=self.refusals,
        )
