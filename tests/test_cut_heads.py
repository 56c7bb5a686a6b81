"""Endpoints that stop in the middle of the head of their response.

The load: responses whose connection is closed or reset when some bytes of
their head are missing, for each number of bytes.
"""

import asyncio
import contextlib

import pytest
from testtools import assertions
from testtools import matchers

from chervilshore.clients import endpoints
from chervilshore.clients import models
from chervilshore.clients import sockets
from chervilshore import exceptions
from chervilshore import ids
from chervilshore import records
from standins import workers
from tests import gateway_helpers as helpers

BODY = b'{"answer": "all of it"}'
CHUNKS = b"%x\r\n%s\r\n0\r\n\r\n" % (len(BODY), BODY)
EVENT = b"id: 1\ndata: x\n\n"

FRAMINGS = {
    "length": (f"Content-Length: {len(BODY)}", BODY),
    "chunks": ("Transfer-Encoding: chunked", CHUNKS),
    "none": ("Connection: close", BODY),
    "events": ("Content-Type: text/event-stream", EVENT),
}
"""For each framing of a response its header and its body."""


class CuttingWorker:
    """A worker that writes the start of each response, then closes.

    Attributes
    ----------
    missing : int
        The number of bytes that are missing of the head; 0 for a whole one,
        with its body.
    is_reset : bool
        Whether it resets the connection instead of closing it.
    framing : str
        One of `FRAMINGS`.
    last_body : bytes or None
        The body of its last response, before which it stops listening; None
        to go on.
    """

    def __init__(self):
        self.missing = 0
        self.is_reset = False
        self.framing = "length"
        self.last_body = None
        self.address = ""
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def stop(self):
        self._server.close()
        await self._server.wait_closed()

    def describe(self):
        """Return the store entry by which the worker registers."""
        worker = workers.Worker("w0")
        worker.address = self.address
        return worker.describe("ledger", "a")

    def make_head(self, attempt):
        """Return the head of the response to an attempt."""
        header, _ = FRAMINGS[self.framing]
        return (
            "HTTP/1.1 200 OK\r\n"
            f"Chervilshore-Attempt-Id: {attempt}\r\n"
            "Chervilshore-Response-Stamp: stamp.w0\r\n"
            f"X-Request-Id: {attempt}\r\n"
            f"{header}\r\n\r\n"
        ).encode()

    async def _serve(self, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        except (asyncio.IncompleteReadError, ConnectionError):
            # The caller has not used this connection.
            writer.close()
            return
        fields = dict(
            line.split(": ", 1) for line in head.strip().split("\r\n")[1:]
        )
        await reader.readexactly(int(fields.get("content-length", 0)))
        attempt = fields.get("chervilshore-attempt-id") or fields.get(
            "x-request-id", ""
        )
        _, body = FRAMINGS[self.framing]
        head = self.make_head(attempt)
        if self.last_body is not None:
            self._server.close()
            body = self.last_body
        writer.write(head[: -self.missing] if self.missing else head + body)
        await writer.drain()
        if self.is_reset:
            sockets.set_reset_at_close(writer.transport, True)
        writer.close()
        with contextlib.suppress(ConnectionError):
            await writer.wait_closed()


@pytest.fixture
async def cutting():
    worker = CuttingWorker()
    await worker.start()
    yield worker
    await worker.stop()


# Guards against MIXED and ORDER: an answer that stops in its head is passed on
# as a whole one with an empty or short body.
@pytest.mark.parametrize("is_reset", [False, True])
@pytest.mark.parametrize("framing", FRAMINGS)
async def test_answer_that_stops_in_its_head_is_no_success(
    deployment, cutting, framing, is_reset
):
    await deployment.configure(
        [helpers.make_route("look", "ledger", kind="non_idempotent")],
        [helpers.make_service("ledger")],
    )
    host = await deployment.add_host()
    await deployment.store.write("servers", "w0", cutting.describe())
    await deployment.wait_ready(host, 1)
    cutting.framing = framing
    cutting.is_reset = is_reset
    passed_on = []
    for missing in range(1, len(cutting.make_head("")) + 1):
        cutting.missing = missing
        response, body = await deployment.send(host, "/look/")
        if response.status < 300:
            passed_on.append((missing, response.status, body))
    cutting.missing = 0
    cutting.is_reset = False
    response, _ = await deployment.send(host, "/look/")
    assertions.assert_that(response.status, matchers.Equals(200))
    assertions.assert_that(passed_on, matchers.Equals([]))


# The same where hosts call endpoints of their own interface.
@pytest.mark.parametrize("framing", ["length", "chunks", "none"])
async def test_response_that_stops_in_its_head_is_broken(cutting, framing):
    cutting.framing = framing
    sessions = endpoints.Sessions()
    client = models.PlainClient(sessions)
    record = records.EndpointRecord(
        ids.EndpointId("w0"),
        ids.PoolName("plain"),
        ids.DomainId("a"),
        ids.Address(cutting.address),
    )
    whole = []
    for missing in range(1, len(cutting.make_head("")) + 1):
        cutting.missing = missing
        binding = records.Binding(
            ids.RequestId("r"), ids.StageName("run"), 1, record.endpoint
        )
        call = endpoints.Call(
            binding=binding, value={}, millis=1000.0, path="/"
        )
        try:
            whole.append((missing, await client.call(record, call)))
        except exceptions.EndpointError:
            continue
    await sessions.close()
    assertions.assert_that(whole, matchers.Equals([]))


# Guards against BUDGET: an endpoint that ends in a stream without length and
# chunks closes its connection in order, and its end is not looked into.
@pytest.mark.parametrize("body", [b"", b"id: 1\ndata: x"])
async def test_end_of_an_endpoint_in_an_unframed_stream_is_seen(
    deployment, cutting, body
):
    await deployment.configure(
        [helpers.make_route("say", "ledger", kind="stream", resumable=True)],
        [helpers.make_service("ledger", engine={"slots": 8})],
    )
    host = await deployment.add_host()
    await deployment.store.write("servers", "w0", cutting.describe())
    await deployment.wait_ready(host, 1)
    cutting.framing = "events"
    cutting.last_body = body
    response, _ = await deployment.send(host, "/say/")
    assertions.assert_that(response.status, matchers.Equals(502))
    lost = 'chervilshore_requests_lost_total{ended="true",pool="ledger"} 1'
    assertions.assert_that(
        host._metrics.render().decode(), matchers.Contains(lost)
    )
