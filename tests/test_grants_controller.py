"""Granted slots of several hosts, over the network in memory."""

import asyncio
import random

import msgspec
import pytest
from testtools import assertions
from testtools import matchers

from chervilshore.controllers import configuration
from chervilshore.controllers import directory
from chervilshore.controllers import grants
from chervilshore.controllers import slots
from chervilshore.decisions import queues
from chervilshore.decisions import routing
from chervilshore import exceptions
from chervilshore import records
from chervilshore import results
from chervilshore.rules import model

POOL = "ledger"
JOIN_MS = 2100.0
"""Milliseconds until the hosts grant slots after their start."""


class Cluster:
    """Hosts that share the endpoints of one pool."""

    def __init__(self, clock, network, names, cold=2, endpoints=("e1",)):
        self.clock = clock
        self.network = network
        self.hosts = tuple(
            records.HostRecord(name, "a", f"10.0.0.{number}:1", "")
            for number, name in enumerate(names)
        )
        self.directory = directory.StaticDirectory(
            records.HostList(
                self.hosts,
                tuple(
                    records.EndpointRecord(name, POOL, "a", f"{name}:1")
                    for name in endpoints
                ),
            )
        )
        pool = model.Pool(POOL, records.EndpointKind.PLAIN, cold, 8)
        self.rules = model.Rules(generation=1, pools={POOL: pool})
        self.configuration = configuration.StaticConfiguration(self.rules)
        self.slots = {}

    async def start(self):
        for host in self.hosts:
            self.slots[host.host] = grants.GrantedSlots(
                host.host,
                self.clock,
                self.network.join(host.peer_address),
                self.directory,
                self.configuration,
                lambda: routing.LeastInFlightRouter("a"),
                queues.FifoQueue,
                random.Random(1),
                max_attempt_ms=5000.0,
            )
            await self.slots[host.host].start()
        await self.clock.advance(JOIN_MS)

    def acquire(self, host, budget=1000.0, request="r"):
        deadline = self.clock.now() + budget
        requirements = routing.StageRequirements(
            request, "team", 1, POOL, deadline
        )
        return asyncio.ensure_future(self.slots[host].acquire(requirements))

    async def stop(self):
        for service in self.slots.values():
            await service.stop()


@pytest.fixture
async def cluster(clock, network):
    started = Cluster(clock, network, ("h1", "h2", "h3"))
    await started.start()
    yield started
    await started.stop()


def _finish(cluster, host, slot, millis=10.0, cold=False):
    cluster.slots[host].confirm(slot)
    attempt = slots.AttemptResult(records.Outcome.OK, millis, "one", cold)
    cluster.slots[host].release(slot, attempt)


async def test_all_hosts_together_stay_within_the_cold_limit(cluster, clock):
    tasks = [cluster.acquire(host) for host in ("h1", "h2", "h3") * 2]
    await clock.advance(50)
    held = [task for task in tasks if task.done()]
    assertions.assert_that(held, matchers.HasLength(2))
    _finish(
        cluster, ("h1", "h2", "h3")[tasks.index(held[0]) % 3], held[0].result()
    )
    await clock.advance(50)
    held = [task for task in tasks if task.done()]
    assertions.assert_that(held, matchers.HasLength(3))
    for task in tasks:
        task.cancel()


async def test_every_waiting_stage_gets_a_slot(cluster, clock):
    served = []

    async def run(host, number):
        slot = await cluster.acquire(host, 3000.0, f"r{number}")
        await clock.sleep(20)
        _finish(cluster, host, slot, 20.0, cold=True)
        served.append(number)

    tasks = [
        asyncio.ensure_future(run(host, number))
        for number, host in enumerate(("h1", "h2", "h3") * 10)
    ]
    await clock.advance(1000)
    await asyncio.gather(*tasks)
    assertions.assert_that(served, matchers.HasLength(30))


async def test_a_waiting_stage_is_refused_at_its_deadline(cluster, clock):
    first = [cluster.acquire("h1") for _ in range(2)]
    await clock.advance(20)
    late = cluster.acquire("h2", 100.0)
    await clock.advance(99)
    assertions.assert_that(late.done(), matchers.Is(False))
    await clock.advance(2)
    with pytest.raises(exceptions.RefusalError) as caught:
        await late
    assertions.assert_that(
        caught.value.code, matchers.Is(results.Code.DEADLINE_PASSED)
    )
    for task in first:
        assertions.assert_that(task.done(), matchers.Is(True))


async def test_cancelled_waits_leak_no_slot(cluster, clock):
    for turn in range(30):
        tasks = [cluster.acquire(host) for host in ("h1", "h2", "h3")]
        await clock.advance(turn % 6)
        for host, task in zip(("h1", "h2", "h3"), tasks, strict=True):
            if task.done():
                _finish(cluster, host, task.result(), cold=True)
            task.cancel()
        await asyncio.wait(tasks)
    await clock.advance(500)
    tasks = [cluster.acquire("h1"), cluster.acquire("h2")]
    await clock.advance(20)
    for task in tasks:
        assertions.assert_that(task.done(), matchers.Is(True))


async def test_a_slot_is_void_once_its_domain_is_out(cluster, clock):
    task = cluster.acquire("h1")
    await clock.advance(20)
    slot = await task
    out = model.Domain("a", state=records.DomainState.OUT)
    cluster.configuration.put(model.Rules(2, {"a": out}, cluster.rules.pools))
    assertions.assert_that(
        cluster.slots["h1"].confirm(slot), matchers.Is(False)
    )
    waiting = cluster.acquire("h2")
    await clock.advance(1)
    with pytest.raises(exceptions.RefusalError):
        await waiting


async def test_slots_of_a_warm_endpoint_need_few_messages(cluster, clock):
    async def run(host):
        slot = await cluster.acquire(host)
        await clock.sleep(5)
        _finish(cluster, host, slot, 5.0)

    async def load(host, count):
        for _ in range(count):
            await asyncio.gather(run(host), run(host))
            await clock.sleep(5)

    for host in ("h1", "h2", "h3"):
        task = asyncio.ensure_future(load(host, 400))
        await clock.advance(9000)
        await task
    before = cluster.network.messages
    task = asyncio.ensure_future(load("h3", 50))
    await clock.advance(1000)
    await task
    sent = cluster.network.messages - before
    assertions.assert_that(sent, matchers.LessThan(20))


async def test_a_slot_of_a_domain_that_is_out_is_not_requested_again(
    clock, network
):
    """Owner and holder on one host must not pass it back and forth forever."""
    cluster = Cluster(clock, network, ("h1",), endpoints=("e1", "e2"))
    elsewhere = records.EndpointRecord("e2", POOL, "b", "e2:1")
    listed = cluster.directory.host_list
    cluster.directory.host_list = records.HostList(
        listed.hosts, (listed.endpoints[0], elsewhere)
    )
    await cluster.start()
    tasks = [cluster.acquire("h1", 60_000.0) for _ in range(12)]
    await clock.advance(300)
    exchanged = []
    host_grants = cluster.slots["h1"]._host_grants
    handle = host_grants._handle

    def count(sender, message, now):
        exchanged.append(message)
        assert len(exchanged) < 500, (
            "owner and holder exchange messages without end"
        )
        handle(sender, message, now)

    host_grants._handle = count
    out = model.Domain("a", state=records.DomainState.OUT)
    cluster.configuration.put(
        msgspec.structs.replace(
            cluster.rules, generation=2, domains={"a": out}
        )
    )
    for task in tasks:
        if task.done():
            _finish(cluster, "h1", task.result())
    await clock.advance(500)
    waiting = sum(not task.done() for task in tasks)
    assertions.assert_that(waiting, matchers.GreaterThan(0))
    for task in tasks:
        task.cancel()
    await cluster.stop()
