"""A cluster of hosts that claim keys, with all executions and answers."""

import asyncio
import collections
import itertools
import random

import msgspec

from chervilshore.clients import memory
from chervilshore.controllers import claims as claims_module
from chervilshore.controllers import claimstore
from chervilshore.controllers import directory as directories
from chervilshore import exceptions
from chervilshore.filters import base
from chervilshore.filters import idempotency
from chervilshore import ids
from chervilshore import records
from chervilshore import results
from chervilshore.rules import model
from tests import faulty
from tests import virtual

BILLING = model.Pipeline(
    ids.PipelineName("billing"),
    (model.Stage(ids.StageName("bill"), ids.PoolName("ledger")),),
    repeatable=False,
)


class Execution(msgspec.Struct, frozen=True):
    """One execution of a request at the endpoint."""

    key: str
    request: str
    resend: int


class SentRequest(msgspec.Struct, frozen=True):
    """A sent request; the answer is None if the connection broke."""

    key: str
    request: str
    resend: int
    answer: base.Answer | None


class Host(msgspec.Struct):
    """One process run of a host."""

    claims: claims_module.Claims
    platform: faulty.FaultyPlatform
    chain: base.Proceed
    address: str
    dead: bool = False


class ClaimsCluster:
    """Hosts that share a platform in memory, on a virtual clock.

    Attributes
    ----------
    before_execution : callable or None
        Awaited with the host and the exchange before each execution; may
        raise a refusal or kill the host.
    unreachable : set of str
        Addresses of hosts that neither send nor receive messages.
    """

    def __init__(self, hosts=3, seed=0, terms=None):
        self.clock = virtual.LoopClock()
        self.rng = random.Random(seed)
        self.memory = memory.MemoryPlatform(self.clock)
        self.network = memory.MemoryNetwork(self.clock)
        self.network.should_drop = self._is_cut_off
        self.unreachable = set()
        self.terms = terms or claimstore.Terms(shards=2)
        self.runs = []
        self.sent = []
        self.hosts = {}
        self.before_execution = None
        self._sequence = itertools.count(1)
        self.directory = directories.StaticDirectory(records.HostList())
        for number in range(hosts):
            self.start(f"host{number}")

    @property
    def counts(self):
        """Number of executions by key."""
        return collections.Counter(run.key for run in self.runs)

    def start(self, name):
        """Start a host, or restart it after it was killed."""
        address = f"{name}:{next(self._sequence)}"
        rng = random.Random(self.rng.random())
        platform = faulty.FaultyPlatform(self.memory, self.clock, rng)
        claims = claims_module.Claims(
            name,
            self.clock,
            platform,
            self.directory,
            rng,
            self.terms,
            self.network.join(address),
        )
        host = Host(claims, platform, None, address)

        async def execute(exchange):
            return await self._execute(host, exchange)

        host.chain = base.chain(
            [
                idempotency.ResendFilter(),
                idempotency.IdempotencyFilter(claims, self.clock),
            ],
            execute,
        )
        self.hosts[name] = host
        self._list_hosts()
        return host

    def kill(self, name):
        """Kill the process of a host, which then sends nothing any more."""
        host = self.hosts.pop(name)
        host.dead = True
        host.platform.dead = True
        self.unreachable.add(host.address)
        self.network.remove_host(host.address)
        self._list_hosts()

    def set_rates(self, **rates):
        """Set the probabilities of platform faults on every host."""
        for host in self.hosts.values():
            host.platform.rates = rates

    def set_down(self, down):
        """Set whether the platform is unreachable for all hosts."""
        for host in self.hosts.values():
            host.platform.down = down

    async def send(self, name, key, body=b"{}", resend=0, budget=2000):
        """Send a request to a host and return its answer.

        Returns None if the host was killed or gave no answer in time.
        """
        now = self.clock.now()
        request = f"r{next(self._sequence)}"
        headers = {"idempotency-key": key, "x-resend": str(resend)}
        exchange = base.Exchange(request, BILLING.name, headers, body, now)
        exchange.pipeline = BILLING
        exchange.deadline = now + budget
        exchange.team = ids.TeamId("vans")
        answer = await self._send_with_timeout(
            self.hosts[name], exchange, budget
        )
        self.sent.append(SentRequest(key, request, resend, answer))
        return answer

    async def _send_with_timeout(self, host, exchange, budget):
        task = asyncio.ensure_future(self._handle(host, exchange))
        done, _ = await asyncio.wait({task}, timeout=budget / 1000 + 1)
        if not done or host.dead:
            return None
        return task.result()

    async def _handle(self, host, exchange):
        try:
            return await host.chain(exchange)
        except exceptions.RefusalError as error:
            return base.Answer(error.code, detail=error.detail)

    async def _execute(self, host, exchange):
        if self.before_execution is not None:
            await self.before_execution(host, exchange)
        if host.dead:
            await asyncio.get_running_loop().create_future()
        exchange.dispatched = True
        resend = int(exchange.headers["x-resend"])
        run = Execution(exchange.key, exchange.request, resend)
        self.runs.append(run)
        await self.clock.sleep(20)
        body = f'"{exchange.key} by {exchange.request}"'.encode()
        return base.Answer(results.Code.OK, body)

    def _is_cut_off(self, sender, receiver):
        return sender in self.unreachable or receiver in self.unreachable

    def _list_hosts(self):
        self.directory.host_list = records.HostList(
            tuple(
                records.HostRecord(name, "a", host.address, "")
                for name, host in sorted(self.hosts.items())
            )
        )
