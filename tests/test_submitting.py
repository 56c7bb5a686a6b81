"""Jobs for pieces, on their way to the keepers of pools."""

import asyncio

import pytest
from testtools import assertions
from testtools import matchers

from chervilshore.clients import pieces
from chervilshore.controllers import submitting
from chervilshore.decisions import backlog
from chervilshore import exceptions
from chervilshore import ids
from chervilshore import piecemessages
from chervilshore import records

ME = ids.HostId("me")


class Peers:
    """Keepers that take every job and tell nothing by themselves."""

    def __init__(self):
        self.asked = []
        self.dropped = []
        self.silent = set()
        self._handlers = {}

    def handle(self, kind, handler):
        self._handlers[kind] = handler

    def send(self, address, message):
        if isinstance(message, piecemessages.PiecesDrop):
            self.dropped.append(address)

    async def send_request(self, address, message, timeout_ms):
        if address in self.silent:
            raise exceptions.PeerError("no answer")
        self.asked.append(address)
        return piecemessages.PiecesTaken(backlog.Waits())

    def tell(self, message):
        self._handlers[type(message)](ids.Address(""), message)


class Directory:
    def __init__(self):
        self.known = []

    def hosts(self):
        return self.known


def make_host(name, capacity=1.0):
    return records.HostRecord(
        host=ids.HostId(name),
        domain=ids.DomainId("a"),
        peer_address=ids.Address(name),
        http_address=ids.Address(""),
        capacity=capacity,
    )


def make_ask(**changes):
    values = {
        "job": "j",
        "pool": ids.PoolName("desk"),
        "request": ids.RequestId("r"),
        "stage": 1,
        "count": 2,
        "key": "",
        "inputs": ("h",),
        "priority": 0,
        "due_ms": 500.0,
        "left_ms": 1000.0,
        "result_bytes": 10,
        "domain": ids.DomainId("a"),
    } | changes
    return piecemessages.PiecesAsk(**values)


class Site:
    def __init__(self, clock):
        self.peers = Peers()
        self.directory = Directory()
        self.clock = clock
        self.read = 0
        self.keepers = submitting.Keepers(
            ME, clock, self.peers, self.directory, None
        )
        self.directory.known = [make_host("one")]

    def count_read(self):
        self.read += 1

    async def submit(self, **changes):
        send_request = make_ask(**changes)
        task = asyncio.ensure_future(self.keepers.submit(send_request, self.count_read))
        await settle()
        return task

    async def pass_time(self, millis):
        await self.clock.advance(millis)
        await settle()


async def settle():
    for _ in range(10):
        await asyncio.sleep(0)


@pytest.fixture
async def site(clock):
    found = Site(clock)
    await found.keepers.on_start()
    return found


async def test_a_job_stays_with_the_keeper_that_has_it(site):
    """Pattern: a host comes back and is the first choice of a busy pool."""
    task = await site.submit(left_ms=10_000.0)
    site.directory.known = [make_host("one"), make_host("two", 100.0)]
    await site.pass_time(2.0 * submitting.CHECK_MS + 1.0)
    assertions.assert_that(
        set(site.peers.asked), matchers.Equals({ids.Address("one")})
    )
    site.peers.tell(piecemessages.PiecesMade("j", ("a", "b")))
    made = await task
    assertions.assert_that(made.handles, matchers.Equals(("a", "b")))


async def test_a_call_that_has_begun_is_waited_for(site):
    task = await site.submit(left_ms=100.0)
    await site.pass_time(submitting.CHECK_MS + 1.0)
    assertions.assert_that(task.done(), matchers.Equals(False))
    site.peers.tell(piecemessages.PiecesMade("j", ("a", "b")))
    made = await task
    assertions.assert_that(made.failure, matchers.Is(None))


async def test_a_keeper_that_is_gone_is_replaced_and_told(site):
    task = await site.submit(left_ms=10_000.0)
    site.directory.known = [make_host("one"), make_host("two")]
    site.peers.silent = {ids.Address("one")}
    await site.pass_time(submitting.CHECK_MS + 1.0)
    assertions.assert_that(
        (site.peers.asked[-1], site.peers.dropped),
        matchers.Equals((ids.Address("two"), [ids.Address("one")])),
    )
    task.cancel()


async def test_no_other_keeper_gets_inputs_that_are_given_up(site):
    """Pattern: a keeper is killed while it has many calls under way."""
    task = await site.submit(left_ms=10_000.0)
    site.peers.tell(piecemessages.PiecesRead("j"))
    site.directory.known = [make_host("one"), make_host("two")]
    site.peers.silent = {ids.Address("one")}
    await site.pass_time(submitting.CHECK_MS + 1.0)
    made = await task
    assertions.assert_that(
        (made.failure, site.read, set(site.peers.asked)),
        matchers.Equals((pieces.Failure.INPUT_GONE, 1, {ids.Address("one")})),
    )
