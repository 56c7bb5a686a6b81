"""Second copies of answers that arrive on a connection in use again.

The load: a worker sends an answer once more, when the next request has been
written to the connection, or before that, whole or in part.
"""

import asyncio
import enum

import msgspec
import pytest
from testtools import assertions
from testtools import matchers

from chervilshore.clients import connectionpool
from chervilshore import clock as clocks
from chervilshore import exceptions
from chervilshore.platform import batches
from chervilshore.platform import store
from standins import workers
from tests import batch_helpers
from tests import gateway_helpers as helpers


class Copy(enum.Enum):
    """When the second copy of an answer is sent."""

    NEVER = "never"
    AFTER = "when the next request has come"
    BEFORE = "at once"
    SPLIT = "a part at once, the rest when the next request has come"


class Repeater:
    """A worker that sends answers twice.

    Attributes
    ----------
    copy : Copy
        When it sends the second copy.
    runs : list of str
        Attempt ids of the requests that ran.
    refusals : list of str
        Headers of the refusals of the next requests, which do not run.
    """

    def __init__(self):
        self.copy = Copy.NEVER
        self.runs = []
        self.refusals = []
        self.connections = 0
        self.address = ""
        self._calls = 0
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def stop(self):
        self._server.close()

    async def _serve(self, reader, writer):
        self.connections += 1
        late = b""
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                line, *rest = head.strip().split("\r\n")
                headers = dict(one.split(": ", 1) for one in rest)
                headers[":path"] = line.split(" ")[1]
                body = await reader.readexactly(
                    int(headers.get("content-length", "0"))
                )
                answer = self._answer(headers, body)
                copy = answer if self.copy is not Copy.NEVER else b""
                writer.write(late)
                await asyncio.sleep(0.02)
                early, late = self._split(copy)
                writer.write(answer)
                # In a segment of its own, so that it comes after the answer.
                await asyncio.sleep(0.02)
                writer.write(early)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    def _split(self, copy):
        if self.copy is Copy.BEFORE:
            return copy, b""
        middle = 20 if self.copy is Copy.SPLIT else 0
        return copy[:middle], copy[middle:]

    def _answer(self, headers, body):
        if self.refusals:
            return (
                "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n"
                f"Chervilshore-Not-Executed: 1\r\n{self.refusals.pop(0)}\r\n"
            ).encode()
        attempt = headers.get("chervilshore-attempt-id")
        if attempt is not None:
            self.runs.append(attempt)
            content = f"answer to {attempt}".encode()
            named = f"Chervilshore-Attempt-Id: {attempt}\r\n"
        else:
            items = msgspec.json.decode(body)["items"]
            self._calls += 1
            content = msgspec.json.encode(
                {
                    "items": [
                        {"handle": f"{self.address}/{self._calls}.{number}"}
                        for number in range(len(items))
                    ]
                }
            )
            named = ""
        head = (
            f"HTTP/1.1 200 OK\r\nContent-Length: {len(content)}\r\n"
            f"Chervilshore-Response-Stamp: s\r\n{named}\r\n"
        )
        return head.encode() + content


@pytest.fixture
async def repeater():
    worker = Repeater()
    await worker.start()
    yield worker
    worker.stop()


async def serve(deployment, repeater, **route):
    """Start a host whose only worker sends answers twice."""
    await deployment.configure(
        [helpers.make_route("look", "ledger", **route)],
        [helpers.make_service("ledger")],
    )
    host = await deployment.add_host()
    entry = workers.Worker("w0").describe("ledger", "a", addr=repeater.address)
    await deployment.store.write("servers", "w0", entry)
    await deployment.wait_ready(host, 1)
    return host


@pytest.mark.parametrize("copy", list(Copy))
async def test_second_copy_is_no_answer_to_another_request(
    deployment, repeater, copy
):
    host = await serve(deployment, repeater)
    repeater.copy = copy
    for _ in range(4):
        response, body = await deployment.send(host, "/look/")
        if response.status == 200:
            assertions.assert_that(
                body.decode(),
                matchers.Equals(f"answer to {response.attempt}"),
            )
        elif copy in (Copy.NEVER, Copy.BEFORE):
            # The connection has been closed in time.
            assertions.assert_that(response.status, matchers.Equals(200))
        await asyncio.sleep(0.05)


async def test_second_copy_of_a_refusal_does_not_deny_a_run(
    deployment, repeater
):
    """The next request has run; a copy of a refusal comes before its answer.

    Refusals that name their request and others are copied.
    """
    host = await serve(
        deployment, repeater, kind="non_idempotent", max_attempts=1
    )
    repeater.copy = Copy.AFTER
    for named in ("Chervilshore-Attempt-Id: one\r\n", ""):
        repeater.runs.clear()
        if named:
            repeater.refusals = [named]
            response, _ = await deployment.send(
                host, "/look/", headers={"Chervilshore-Attempt-Id": "one"}
            )
        else:
            repeater.refusals = [named]
            response, _ = await deployment.send(host, "/look/")
        assertions.assert_that(response.status, matchers.Equals(503))
        await asyncio.sleep(0.05)
        response, _ = await deployment.send(host, "/look/")
        assertions.assert_that(len(repeater.runs), matchers.Equals(1))
        assertions.assert_that(
            response.status,
            matchers.MatchesAny(*map(matchers.Equals, (200, 502))),
        )


async def test_refusals_leave_few_connections(deployment, repeater):
    """An endpoint refuses many requests that may run once."""
    host = await serve(
        deployment, repeater, kind="non_idempotent", max_attempts=1
    )
    repeater.refusals = [""] * 20
    for _ in range(20):
        response, _ = await deployment.send(host, "/look/")
        assertions.assert_that(response.status, matchers.Equals(503))
    idle = host._connections._idle_by_address[repeater.address]
    assertions.assert_that(
        len(idle),
        matchers.Not(matchers.GreaterThan(connectionpool.MAX_UNIDENTIFIED)),
    )


def ignore_notice(record, notice):
    """Ignore what an endpoint says of itself."""


@pytest.mark.parametrize("copy", list(Copy))
async def test_second_copy_gives_no_results_to_other_items(repeater, copy):
    """Batch responses name no call; their handles are new each time."""
    repeater.copy = copy
    pool = connectionpool.ConnectionPool(clocks.SystemClock())
    client = batches.BatchClient(pool, ignore_notice)
    record = msgspec.structs.replace(
        batch_helpers.make_record("w0"), address=repeater.address
    )
    found = []
    for number in range(6):
        calls = [batches.batches.ItemCall(f"r{number}", 0, 0, 500.0, "k")]
        try:
            (result,) = await client.run(record, calls, 500.0)
        except exceptions.EndpointBroken:
            continue
        finally:
            await asyncio.sleep(0.05)
        found.append(result.handle)
        # The worker numbers its calls.
        assertions.assert_that(
            result.handle,
            matchers.Equals(f"{repeater.address}/{number + 1}.0"),
        )
    assertions.assert_that(len(found), matchers.GreaterThan(2))
    pool.close()


class RepeatingStore(Repeater):
    """A store that sends listings twice; each kind has one object."""

    def __init__(self):
        super().__init__()
        self.copy = Copy.AFTER

    def _answer(self, headers, body):
        kind = headers[":path"].rpartition("/")[2]
        item = {"metadata": {"name": f"of-{kind}", "revision": 1}}
        content = msgspec.json.encode({"items": [item], "current_rev": 1})
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(content)}\r\n\r\n"
        return head.encode() + content


async def test_second_copy_of_a_listing_is_none_of_another_kind():
    repeating_store = RepeatingStore()
    await repeating_store.start()
    client = store.MetadataStore(
        repeating_store.address, clocks.SystemClock(), 500.0
    )
    for kind in ("servers", "evacuations", "config", "servers"):
        listing = await client.list(kind)
        assertions.assert_that(
            [stored.name for stored in listing.objects],
            matchers.Equals([f"of-{kind}"]),
        )
    await client.close()
    repeating_store.stop()
