"""Submission of batch jobs to the owners of their pools."""

import asyncio

import pytest
from testtools import assertions
from testtools import matchers

from chervilshore import batchmessages
from chervilshore.clients import batches
from chervilshore.controllers import submitting
from chervilshore.decisions import backlog
from chervilshore import exceptions
from chervilshore import ids
from chervilshore import records

LOCAL_HOST = ids.HostId("me")
STEP_MS = 50.0
MAX_ASKED = 20
LATEST_CHECK_MS = submitting.SILENT_CHECK_MS + 2 * STEP_MS
"""Milliseconds after the longest silence within which a check follows."""


class Peers:
    """Owners that accept every job and send updates only from `deliver`."""

    def __init__(self):
        self.requested = []
        self.cancelled = []
        self.silent = set()
        self.refusing = set()
        self._handlers = {}

    def handle(self, kind, handler):
        self._handlers[kind] = handler

    def send(self, address, message):
        if isinstance(message, batchmessages.BatchJobCancelled):
            self.cancelled.append(address)

    async def send_request(self, address, message, timeout_ms):
        if address in self.silent:
            raise exceptions.PeerError("no answer")
        self.requested.append(address)
        if address in self.refusing:
            return None
        return batchmessages.BatchJobAccepted(backlog.WaitEstimate())

    def deliver(self, message):
        self._handlers[type(message)](ids.Address(""), message)


class RefusingService:
    """The pools of this host; it has none of them, or it leaves."""

    def __init__(self):
        self.asked = 0

    def accept(self, job_request, send_update):
        self.asked += 1
        if self.asked > MAX_ASKED:
            # The loop that asks would never give way to another task.
            raise AssertionError("a host that refuses is asked without end")

    def cancel_job(self, job):
        pass


class Directory:
    def __init__(self):
        self.known = []

    def hosts(self):
        return self.known


def make_host(name, capacity=1.0, state=records.HostState.ALIVE):
    return records.HostRecord(
        host=ids.HostId(name),
        domain=ids.DomainId("a"),
        peer_address=ids.Address(name),
        http_address=ids.Address(""),
        capacity=capacity,
        state=state,
    )


def make_job_request(**changes):
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
    return batchmessages.BatchJobRequest(**values)


class Site:
    """A client whose peers, directory and clock the test controls."""

    def __init__(self, clock):
        self.peers = Peers()
        self.directory = Directory()
        self.clock = clock
        self.read = 0
        self.service = RefusingService()
        self.client = submitting.BatchPoolClient(
            LOCAL_HOST, clock, self.peers, self.directory, self.service
        )
        self.directory.known = [make_host("one")]

    def count_read(self):
        self.read += 1

    async def submit(self, **changes):
        job_request = make_job_request(**changes)
        task = asyncio.ensure_future(
            self.client.submit(job_request, self.count_read)
        )
        await run_ready_tasks()
        return task

    async def pass_time(self, millis):
        await self.clock.advance(millis)
        await run_ready_tasks()

    async def pass_times(self, millis):
        """Let time pass in steps, so that each check sees its own time."""
        for _ in range(round(millis / STEP_MS)):
            await self.pass_time(STEP_MS)


async def run_ready_tasks():
    for _ in range(10):
        await asyncio.sleep(0)


@pytest.fixture
async def site(clock):
    found = Site(clock)
    await found.client.on_start()
    return found


async def test_a_job_stays_with_the_owner_that_accepted_it(site):
    """A returning host becomes first choice; the job must not run twice."""
    task = await site.submit(left_ms=10_000.0)
    site.directory.known = [make_host("one"), make_host("two", 100.0)]
    await site.pass_time(2.0 * submitting.CHECK_INTERVAL_MS + 1.0)
    assertions.assert_that(
        set(site.peers.requested), matchers.Equals({ids.Address("one")})
    )
    site.peers.deliver(batchmessages.BatchJobResult("j", ("a", "b")))
    job_result = await task
    assertions.assert_that(job_result.handles, matchers.Equals(("a", "b")))


async def test_an_accepted_job_is_awaited_past_its_time_limit(site):
    task = await site.submit(left_ms=100.0)
    await site.pass_time(submitting.CHECK_INTERVAL_MS + 1.0)
    assertions.assert_that(task.done(), matchers.Equals(False))
    site.peers.deliver(batchmessages.BatchJobResult("j", ("a", "b")))
    job_result = await task
    assertions.assert_that(job_result.failure, matchers.Is(None))


async def test_an_owner_that_is_silent_for_a_while_keeps_its_job(site):
    """It pauses, or its answers are lost; its work must not run twice."""
    task = await site.submit(left_ms=10_000.0)
    site.directory.known = [make_host("one"), make_host("two")]
    site.peers.silent = {ids.Address("one")}
    await site.pass_times(submitting.MAX_SILENCE_MS - 100.0)
    site.peers.silent = set()
    await site.pass_times(2.0 * submitting.MAX_SILENCE_MS)
    assertions.assert_that(
        (set(site.peers.requested), site.peers.cancelled),
        matchers.Equals(({ids.Address("one")}, [])),
    )
    site.peers.deliver(batchmessages.BatchJobResult("j", ("a", "b")))
    job_result = await task
    assertions.assert_that(job_result.handles, matchers.Equals(("a", "b")))


async def test_the_result_of_a_silent_owner_is_taken(site):
    task = await site.submit(left_ms=10_000.0)
    site.directory.known = [make_host("one"), make_host("two")]
    site.peers.silent = {ids.Address("one")}
    await site.pass_times(submitting.CHECK_INTERVAL_MS + 100.0)
    site.peers.deliver(batchmessages.BatchJobResult("j", ("a", "b")))
    job_result = await task
    assertions.assert_that(job_result.handles, matchers.Equals(("a", "b")))


async def test_an_owner_that_is_down_is_replaced_at_the_next_check(site):
    task = await site.submit(left_ms=10_000.0)
    site.directory.known = [make_host("two")]
    site.peers.silent = {ids.Address("one")}
    await site.pass_time(submitting.CHECK_INTERVAL_MS + 1.0)
    assertions.assert_that(
        (site.peers.requested[-1], site.peers.cancelled),
        matchers.Equals((ids.Address("two"), [ids.Address("one")])),
    )
    task.cancel()


async def test_an_unreachable_owner_is_replaced_and_sent_a_cancellation(site):
    task = await site.submit(left_ms=10_000.0)
    site.directory.known = [make_host("one"), make_host("two")]
    site.peers.silent = {ids.Address("one")}
    await site.pass_times(submitting.MAX_SILENCE_MS + LATEST_CHECK_MS)
    assertions.assert_that(
        (site.peers.requested[-1], site.peers.cancelled),
        matchers.Equals((ids.Address("two"), [ids.Address("one")])),
    )
    task.cancel()


async def test_a_job_with_freed_inputs_goes_to_no_other_owner(site):
    """An owner is killed during a call that has read its inputs.

    The inputs have been freed, so the job must end with INPUT_GONE.
    """
    task = await site.submit(left_ms=10_000.0)
    site.peers.deliver(batchmessages.BatchInputsRead("j"))
    site.directory.known = [make_host("one"), make_host("two")]
    site.peers.silent = {ids.Address("one")}
    await site.pass_times(submitting.MAX_SILENCE_MS + LATEST_CHECK_MS)
    job_result = await task
    assertions.assert_that(
        (job_result.failure, site.read, set(site.peers.requested)),
        matchers.Equals((batches.Failure.INPUT_GONE, 1, {ids.Address("one")})),
    )


def list_outcomes(hosts, site, task):
    """Return how a job that all hosts refuse has ended, and who was asked."""
    asked = len(site.peers.requested) + site.service.asked
    return (
        task.done() and task.result().failure,
        site.service.asked <= 1,
        len(set(site.peers.requested)) == len(site.peers.requested),
        asked == min(hosts, submitting.MAX_OWNERS_TRIED),
    )


REFUSED = (batches.Failure.ERROR, True, True, True)


@pytest.mark.parametrize("count", [1, 2, 3, 4, 5, 40, 370])
async def test_a_job_that_all_hosts_refuse_ends_at_once(site, count):
    """Guards against a host that hangs: no rules have the pool any more."""
    others = [make_host(f"h{number}") for number in range(count - 1)]
    site.directory.known = [make_host(LOCAL_HOST), *others]
    site.peers.refusing = {one.peer_address for one in others}
    task = await site.submit(left_ms=10_000.0)
    assertions.assert_that(
        list_outcomes(count, site, task), matchers.Equals(REFUSED)
    )


@pytest.mark.parametrize("count", [1, 2, 3, 4, 5, 40, 370])
async def test_a_job_ends_at_once_when_all_hosts_leave(site, count):
    """Guards against a host that hangs: none is alive, this one refuses."""
    leaving = records.HostState.LEAVING
    names = [LOCAL_HOST, *(f"h{number}" for number in range(count - 1))]
    site.directory.known = [make_host(one, state=leaving) for one in names]
    task = await site.submit(left_ms=10_000.0)
    assertions.assert_that(
        (list_outcomes(1, site, task), site.peers.requested),
        matchers.Equals((REFUSED, [])),
    )


async def test_a_job_that_this_leaving_host_returns_ends_at_once(site):
    """Guards against a host that hangs: it returns its job as it leaves."""
    site.directory.known = [make_host("one")]
    task = await site.submit(left_ms=10_000.0)
    leaving = records.HostState.LEAVING
    site.directory.known = [make_host(LOCAL_HOST, state=leaving)]
    site.peers.deliver(
        batchmessages.BatchJobResult("j", (), batches.Failure.MOVED)
    )
    await run_ready_tasks()
    assertions.assert_that(
        (task.done() and task.result().failure, site.service.asked),
        matchers.Equals((batches.Failure.ERROR, 1)),
    )


async def test_a_leaving_host_asks_one_that_was_silent_for_a_while(site):
    """Guards against a refusal while a host is alive that may answer."""
    leaving = records.HostState.LEAVING
    site.directory.known = [
        make_host(LOCAL_HOST, state=leaving),
        make_host("one"),
    ]
    site.peers.silent = {ids.Address("one")}
    await site.submit(left_ms=10_000.0)
    site.peers.silent = set()
    task = await site.submit(left_ms=10_000.0, job="k")
    site.peers.deliver(batchmessages.BatchJobResult("k", ("a", "b")))
    await run_ready_tasks()
    assertions.assert_that(
        task.done() and task.result().handles, matchers.Equals(("a", "b"))
    )
