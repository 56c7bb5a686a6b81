"""Streams that have begun, broken off and got another answer.

The load: an endpoint sends two of five events and ends within the third; the
next endpoint answers with an error, with something else than a stream, or with
events that do not follow.
"""

import asyncio
import contextlib

import pytest
from testtools import assertions
from testtools import matchers

from chervilshore.controllers import batchstages
from chervilshore import exceptions
from chervilshore.filters import base
from chervilshore.filters import forward
from chervilshore import forwarded
from chervilshore import ids
from chervilshore import ingress
from chervilshore import results
from tests import script_helpers

EVENTS = script_helpers.EVENTS
WHOLE = script_helpers.make_events(1, EVENTS)
REST = script_helpers.make_events(3, EVENTS)

CLOSE = script_helpers.End.CLOSE
RESET = script_helpers.End.RESET
KEEP = script_helpers.End.KEEP

BROKEN = (
    script_helpers.make_answer(
        script_helpers.make_events(1, 2) + script_helpers.CUT_EVENT,
        is_cut=True,
    ),
    RESET,
)
"""The answer of the endpoint that begins the stream."""


ERROR_HEAD = (
    b"HTTP/1.1 500 Internal Server Error\r\n"
    b"Content-Type: text/plain\r\nContent-Length: 6\r\n\r\n"
)
COMMENT = b": working\n\n"
ERROR_EVENT = b'event: error\ndata: {"error": "overloaded"}\n\n'


def make_error(status, end=KEEP, **options):
    """Return an error with a text."""
    options = {"content_type": "text/plain", "framing": "length"} | options
    answer = script_helpers.make_answer(b"error text", status, **options)
    return answer, end


def make_stream(body, end=KEEP, **options):
    """Return an answer whose body is no proper rest of the stream."""
    return script_helpers.make_answer(body, **options), end


OTHER_ANSWERS = {
    "bad request": make_error("400 Bad Request"),
    "not found": make_error("404 Not Found"),
    "conflict": make_error("409 Conflict"),
    "busy without a mark": make_error("429 Too Many Requests"),
    "redirect": make_error("302 Found"),
    "no content": make_stream(
        b"", status="204 No Content", content_type="", framing="none"
    ),
    "text": make_error("200 OK"),
    "json": make_error("200 OK", content_type="application/json"),
    "text without a length": make_error("200 OK", CLOSE, framing="none"),
    "part": make_stream(REST, status="206 Partial Content"),
    "error": make_error("500 Internal Server Error"),
    "error without a length": make_error(
        "500 Internal Server Error", CLOSE, framing="none"
    ),
    "error as a stream": make_error(
        "500 Internal Server Error", content_type="text/event-stream"
    ),
    "full without a mark": make_error("503 Service Unavailable"),
    "error after an interim head": (
        b"HTTP/1.1 100 Continue\r\n\r\n" + make_error("404 Not Found")[0],
        KEEP,
    ),
}
"""Answers that are no streams of events."""

REFUSALS = {
    status: (script_helpers.make_refusal(status), KEEP)
    for status in (
        "400 Bad Request",
        "421 Misdirected Request",
        "429 Too Many Requests",
        "503 Service Unavailable",
    )
} | {
    "stream with a mark": make_stream(
        REST,
        headers=[
            "Chervilshore-Response-Stamp: s",
            "Chervilshore-Not-Executed: 1",
        ],
    )
}
"""Answers that say that the request has not run."""

NO_ANSWERS = {
    "closed": (b"", CLOSE),
    "reset": (b"", RESET),
    "text without a head": (b"error: out of memory\r\n\r\n", CLOSE),
    "events without a head": (REST, CLOSE),
    "encoded": make_stream(
        REST,
        headers=["Chervilshore-Response-Stamp: s", "Content-Encoding: gzip"],
    ),
    "without a stamp": make_stream(REST, headers=()),
    "head of another request": (
        script_helpers.make_answer(REST).replace(b"ATTEMPT", b"another"),
        KEEP,
    ),
}
"""Bytes that are no answer to the request."""

WRONG_EVENTS = {
    "none": make_stream(b""),
    "none, without a length": make_stream(b"", CLOSE, framing="none"),
    "comments only": make_stream(COMMENT + COMMENT),
    "from the start": make_stream(WHOLE),
    "the last one again": make_stream(script_helpers.make_events(2, EVENTS)),
    "one left out": make_stream(script_helpers.make_events(4, EVENTS)),
    "one left out later": make_stream(
        script_helpers.make_events(3, 3) + script_helpers.make_events(5, 5)
    ),
    "one twice": make_stream(script_helpers.make_events(3, 4) + REST),
    "error without an id": make_stream(ERROR_EVENT),
    "error after an event": make_stream(
        script_helpers.make_events(3, 3) + ERROR_EVENT
    ),
    "error before events": make_stream(ERROR_EVENT + REST),
    "head of an error": make_stream(ERROR_HEAD + b"failed"),
    "head of an error without a length": make_stream(
        script_helpers.make_events(3, 3) + ERROR_HEAD, CLOSE, framing="none"
    ),
    "two heads": make_stream(script_helpers.make_answer(REST)),
    "raw error in chunks": (
        script_helpers.make_answer(
            script_helpers.make_events(3, 3), is_cut=True
        )
        + ERROR_HEAD,
        CLOSE,
    ),
}
"""Streams whose events do not follow those that were sent."""

CUT_STREAMS = {
    "within an event": make_stream(
        script_helpers.make_events(3, 3) + script_helpers.CUT_EVENT
    ),
    "within an event, without a length": make_stream(
        script_helpers.make_events(3, 3) + script_helpers.CUT_EVENT,
        CLOSE,
        framing="none",
    ),
    "after an event, by a reset without a length": make_stream(
        script_helpers.make_events(3, 3), RESET, framing="none"
    ),
    "after an event, between chunks": make_stream(
        script_helpers.make_events(3, 3), CLOSE, is_cut=True
    ),
    "after an event, before its length": make_stream(
        script_helpers.make_events(3, 3), CLOSE, framing="length", is_cut=True
    ),
    "after all events": make_stream(REST, CLOSE, is_cut=True),
}
"""Streams that go on and break off as well."""

SECOND_ANSWERS = {
    f"{kind}: {name}": answer
    for kind, answers in (
        ("answer", OTHER_ANSWERS),
        ("refusal", REFUSALS),
        ("no answer", NO_ANSWERS),
        ("events", WRONG_EVENTS),
        ("cut", CUT_STREAMS),
    )
    for name, answer in answers.items()
}

ALL_BUT_THE_END = "cut: after all events"
"""Nothing is left that a third endpoint could send."""


GAP = "one left out"
"""A host that has seen no event of the stream cannot tell, as ids only have to
rise."""


@pytest.fixture
def script():
    new_script = script_helpers.Script()
    yield new_script
    new_script.stop()


def check_stream(content, is_complete):
    """Check that a caller got a stream, or sees where it was cut."""
    events = content.replace(COMMENT, b"")
    possible = [
        script_helpers.make_events(1, number) for number in range(EVENTS + 1)
    ]
    assertions.assert_that(possible, matchers.Contains(events))
    if is_complete:
        assertions.assert_that(events, matchers.Equals(WHOLE))


# Guards against ORDER and MIXED by the text or head of an error in the middle
# of a stream, and by a cut stream that ends as if it were complete.
@pytest.mark.parametrize("name", SECOND_ANSWERS)
async def test_stream_that_cannot_go_on_is_seen_to_be_cut(
    deployment, script, name
):
    host = await script_helpers.serve(deployment, script, max_attempts=2)
    script.answers = [BROKEN, SECOND_ANSWERS[name], *[(b"", RESET)] * 3]
    status, content, is_complete = await script_helpers.read_stream(
        deployment, host
    )
    assertions.assert_that(
        (status, is_complete), matchers.Equals((200, False))
    )
    check_stream(content, is_complete)


# Guards against streams that end at the first endpoint that cannot go on.
@pytest.mark.parametrize(
    "name", [name for name in SECOND_ANSWERS if name != ALL_BUT_THE_END]
)
async def test_stream_goes_on_at_the_endpoint_after_the_next(
    deployment, script, name
):
    host = await script_helpers.serve(deployment, script, max_attempts=3)
    script.answers = [BROKEN, SECOND_ANSWERS[name]]
    status, content, is_complete = await script_helpers.read_stream(
        deployment, host
    )
    assertions.assert_that((status, is_complete), matchers.Equals((200, True)))
    check_stream(content, is_complete)


# Guards against ORDER by an endpoint whose own events go back.
async def test_stream_whose_events_go_back_goes_on_elsewhere(
    deployment, script
):
    host = await script_helpers.serve(deployment, script, max_attempts=2)
    begin = script_helpers.make_events(1, 2)
    answer = script_helpers.make_answer(begin, is_cut=True)
    script.answers = [(answer + b"%x\r\n%s\r\n" % (len(begin), begin), KEEP)]
    assertions.assert_that(
        await script_helpers.read_stream(deployment, host),
        matchers.Equals((200, WHOLE, True)),
    )


# Guards against ORDER and MIXED where the caller goes on with its stream.
@pytest.mark.parametrize(
    "name", [name for name in WRONG_EVENTS if name != GAP]
)
async def test_caller_that_resumes_gets_only_events_that_follow(
    deployment, script, name
):
    host = await script_helpers.serve(deployment, script, max_attempts=1)
    script.answers = [WRONG_EVENTS[name]]
    status, content, is_complete = await script_helpers.read_stream(
        deployment, host, headers={"Last-Event-Id": "2"}
    )
    if status == 200:
        check_stream(script_helpers.make_events(1, 2) + content, is_complete)
    else:
        assertions.assert_that(status, matchers.Equals(502))


# Guards against ORDER and TWICE by an endpoint that says that it has not run
# a request and sends events all the same.
async def test_stream_that_says_that_it_has_not_run_is_not_sent(
    deployment, script
):
    host = await script_helpers.serve(
        deployment, script, resumable=False, max_attempts=2
    )
    script.answers = [REFUSALS["stream with a mark"]]
    assertions.assert_that(
        await script_helpers.read_stream(deployment, host),
        matchers.Equals((200, WHOLE, True)),
    )


# Guards against MIXED by a cut stream that looks complete to a caller that
# gets no chunks.
async def test_cut_stream_is_reset_for_a_caller_without_chunks(
    deployment, script
):
    host = await script_helpers.serve(deployment, script, max_attempts=1)
    script.answers = [BROKEN]
    address, _, port = host.address.partition(":")
    reader, writer = await asyncio.open_connection(address, int(port))
    writer.write(
        b"POST /say/ HTTP/1.0\r\nHost: shop.example\r\n"
        b"Chervilshore-Attempt-Id: r0\r\nChervilshore-Deadline-Ms: 5000\r\n"
        b"Chervilshore-Key: key-of-a-team\r\nContent-Length: 0\r\n\r\n"
    )
    with pytest.raises(ConnectionResetError):
        while await reader.read(10_000):
            pass
    writer.close()


class Runner:
    """Runs a stage whose stream breaks, and gets another answer."""

    def begin(self, exchange, index, value):
        return contextlib.nullcontext(exchange)

    async def run_attempts(self, exchange):
        exchange.relay.head_sent = True
        return {"response": forwarded.Response(404, [], b"error text")}


class BatchStages:
    """Runs no batch stages."""

    async def run_stages(self, exchange):
        return batchstages.BatchStageResults()

    def free_results(self, stage_results):
        """Free nothing."""


# Guards against ORDER by any answer that is taken for the end of a stream.
async def test_stream_is_complete_only_if_its_end_was_relayed(clock):
    exchange = base.Exchange(
        ids.RequestId("r1"), ids.PipelineName("say"), {}, b"", 0.0
    )
    exchange.relay = ingress.EventRelay(None)
    last = forward.ForwardFilter(clock, BatchStages(), Runner())
    with pytest.raises(exceptions.RefusalError, match="STREAM_BROKEN"):
        await last.run(exchange)
    exchange.relay.is_complete = True
    answer = await last.run(exchange)
    assertions.assert_that(answer.code, matchers.Equals(results.Code.OK))
