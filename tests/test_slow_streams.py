"""Slow and stalled streams, and callers that do not read.

The load: endpoints that write an event byte by byte, those that send bytes
now and then and never an event, and callers that stop reading an answer.
"""

import asyncio
import contextlib
import enum
import time

import aiohttp
import pytest
from testtools import assertions
from testtools import matchers

from chervilshore import listener
from standins import workers
from tests import gateway_helpers as helpers
from tests import slow_helpers

BYTE_SECONDS = 0.08
EVENTS = 4
EVENT = "id: {}\ndata: slow\n\n"
"""An event takes about 1.4 s, near the pause after which callers leave."""

TIMEOUT_MS = 1200
"""The time in which a route must answer."""

MAX_BUFFERED_BYTES = 200_000
"""What a transport may buffer of a large answer."""

LATE_SECONDS = 0.5
"""Seconds after that within which it must have ended, by the users' rule."""


class Stall(enum.Enum):
    """What a stalled endpoint sends now and then."""

    COMMENT = ": still here\n\n"
    COMMENT_BYTE = ":"
    DATA_BYTE = "x"


class SlowWorker(workers.Worker):
    """A worker whose streams are slow, or stall.

    Attributes
    ----------
    stall : Stall or None
        What it sends instead of the events.
    first_events : int
        Events before it stalls.
    ended : int
        Streams that were cancelled.
    """

    def __init__(self, name):
        super().__init__(name, events=EVENTS)
        self.stall = None
        self.first_events = 0
        self.ended = 0

    async def _stream(self, request, headers, response_headers, factor):
        response = workers.web.StreamResponse(
            headers=response_headers | {"Content-Type": "text/event-stream"}
        )
        await response.prepare(request)
        if self.stall is None:
            for number in range(1, EVENTS + 1):
                for byte in EVENT.format(number):
                    await response.write(byte.encode())
                    await asyncio.sleep(BYTE_SECONDS)
            await response.write_eof()
            return response
        for number in range(1, self.first_events + 1):
            await response.write(EVENT.format(number).encode())
        try:
            while True:
                await response.write(self.stall.value.encode())
                await asyncio.sleep(0.05)
        except (asyncio.CancelledError, ConnectionError):
            self.ended += 1
            raise


async def serve(deployment, **route):
    """Start a host with a slow worker for streams."""
    await deployment.configure(
        [helpers.make_route("say", "llm", kind="stream", **route)],
        [helpers.make_service("llm", engine={"slots": 8})],
    )
    host = await deployment.add_host()
    worker = SlowWorker("m0")
    await worker.start()
    deployment.workers["m0"] = worker
    await deployment.store.write("servers", "m0", worker.describe("llm", "a"))
    await deployment.wait_ready(host, 1)
    return host, worker


async def test_slow_stream_is_whole_though_its_endpoint_is_not_listed(
    deployment,
):
    """An endpoint is slow to report, so that its entry vanishes meanwhile."""
    host, worker = await serve(deployment, timeout_ms=20_000)
    sending = asyncio.ensure_future(
        deployment.send(
            host, "/say/", headers={"Chervilshore-Deadline-Ms": "20000"}
        )
    )
    await deployment.wait_until(lambda: worker.runs)
    await deployment.store.remove("servers", "m0")
    await deployment.wait_until(lambda: host._catalog.endpoint("m0") is None)
    response, body = await sending
    whole = "".join(EVENT.format(number + 1) for number in range(EVENTS))
    assertions.assert_that(response.status, matchers.Equals(200))
    assertions.assert_that(body.decode(), matchers.Equals(whole))
    assertions.assert_that(len(worker.runs), matchers.Equals(1))


@pytest.mark.parametrize("first_events", [0, 1])
@pytest.mark.parametrize("stall", list(Stall))
async def test_stalled_stream_ends_in_time(deployment, stall, first_events):
    host, worker = await serve(
        deployment, timeout_ms=TIMEOUT_MS, resumable=True
    )
    worker.stall = stall
    worker.first_events = first_events
    started = time.monotonic()
    with contextlib.suppress(aiohttp.ClientPayloadError):
        response, _ = await deployment.send(host, "/say/")
        assertions.assert_that(response.status, matchers.Equals(504))
    assertions.assert_that(
        time.monotonic() - started,
        matchers.LessThan(TIMEOUT_MS / 1000.0 + LATE_SECONDS),
    )
    await deployment.wait_until(lambda: worker.ended == len(worker.runs))


async def begin_answer(deployment):
    """Return a host and a connection on which a large answer has begun."""
    await slow_helpers.add_large_worker(deployment)
    host = await deployment.add_host()
    await deployment.wait_ready(host, 1)
    return host, *await slow_helpers.begin_answer(host.address)


async def test_caller_that_does_not_read_keeps_no_answer(
    deployment, monkeypatch
):
    monkeypatch.setattr(listener, "READ_CHECK_SECONDS", 0.2)
    host, _, writer = await begin_answer(deployment)
    connections = host._listeners._list_connections
    assertions.assert_that(
        sum(one.unsent_bytes for one in connections()),
        matchers.GreaterThan(0),
    )
    await asyncio.sleep(1.0)
    assertions.assert_that(
        sum(one.unsent_bytes for one in connections()), matchers.Equals(0)
    )
    writer.transport.abort()


async def test_caller_that_reads_slowly_gets_its_whole_answer(
    deployment, monkeypatch
):
    monkeypatch.setattr(listener, "READ_CHECK_SECONDS", 0.2)
    _, reader, writer = await begin_answer(deployment)
    read = await slow_helpers.read_slowly(reader, 4.0)
    writer.transport.abort()
    assertions.assert_that(read, matchers.Equals(slow_helpers.ANSWER_BYTES))


# Guards against memory beside the budget: the whole rest of an answer was
# copied for the transport.
async def test_large_answer_is_buffered_in_parts(deployment):
    host, _, writer = await begin_answer(deployment)
    (connection,) = host._listeners._list_connections()
    buffered = connection._written_to.get_write_buffer_size()
    assertions.assert_that(
        connection.unsent_bytes, matchers.GreaterThan(MAX_BUFFERED_BYTES)
    )
    assertions.assert_that(buffered, matchers.LessThan(MAX_BUFFERED_BYTES))
    writer.transport.abort()
