"""A fleet of hosts that claim keys, with what its endpoints saw."""

import collections
import random

from chervilshore.clients import memory
from chervilshore.controllers import claims as claims_module
from chervilshore.controllers import directory as directories
from chervilshore import exceptions
from chervilshore.filters import base
from chervilshore.filters import idempotency
from chervilshore import ids
from chervilshore import records
from chervilshore import results
from chervilshore.rules import model
from tests import virtual

BILLING = model.Pipeline(
    ids.PipelineName("billing"),
    (model.Stage(ids.StageName("bill"), ids.PoolName("ledger")),),
    repeatable=False,
)


class Fleet:
    """Hosts over one platform; `runs` counts executions by key."""

    def __init__(self, hosts=3, seed=0, terms=None, platform=None):
        self.clock = virtual.LoopClock()
        self.rng = random.Random(seed)
        self.memory = memory.MemoryPlatform(self.clock)
        self.network = memory.MemoryNetwork(self.clock)
        self.terms = terms or claims_module.Terms(shards=2)
        self.make_platform = platform or (lambda fleet, name: fleet.memory)
        self.runs = collections.Counter()
        self.claims = {}
        self.chains = {}
        names = [f"host{number}" for number in range(hosts)]
        self.directory = directories.StaticDirectory(
            records.HostList(
                tuple(
                    records.HostRecord(name, "a", f"{name}:1", f"{name}:2")
                    for name in names
                )
            )
        )
        for name in names:
            self.start(name)

    def start(self, name):
        """Start a host, or start it anew after its death."""
        peers = self.network.join(f"{name}:1")
        claims = claims_module.Claims(
            name,
            self.clock,
            self.make_platform(self, name),
            self.directory,
            random.Random(self.rng.random()),
            self.terms,
            peers,
        )
        self.claims[name] = claims
        self.chains[name] = base.chain(
            [
                idempotency.ResendFilter(),
                idempotency.IdempotencyFilter(claims, self.clock),
            ],
            self.execute,
        )

    def kill(self, name):
        """End a host at once."""
        self.claims[name].close()
        self.network.drop(f"{name}:1")

    async def execute(self, exchange):
        """Stand in for the endpoint: count and answer."""
        exchange.dispatched = True
        self.runs[exchange.key] += 1
        await self.clock.sleep(20)
        return base.Answer(results.Code.OK, b'{"bill":%d}' % self.runs.total())

    async def send(self, name, key, body=b"{}", resend=0, budget=2000):
        """Send a request through a host and return its answer."""
        now = self.clock.now()
        headers = {"idempotency-key": key, "x-resend": str(resend)}
        exchange = base.Exchange("r", BILLING.name, headers, body, now)
        exchange.pipeline = BILLING
        exchange.deadline = now + budget
        exchange.team = ids.TeamId("vans")
        proceed = self.chains[name]
        try:
            return await proceed(exchange)
        except exceptions.RefusalError as error:
            return base.Answer(error.code, detail=error.detail)
