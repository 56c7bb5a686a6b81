"""Tests of request traces: the lines of all hosts and the cause in words."""

import logging

from testtools import assertions
from testtools import matchers

from chervilshore import cmdline
from chervilshore import events
from chervilshore import traces

REQUEST = "0f3a"


def write_line(event, time_ms, **fields):
    """Return a log line as the daemon writes it."""
    logger = logging.getLogger("chervilshore.test")
    logger.setLevel("INFO")
    records = []

    class RecordingHandler(logging.Handler):
        def emit(self, record):
            records.append(record)

    logger.handlers[:] = [RecordingHandler()]
    events.log_event(logger, event, **fields)
    logger.handlers.clear()
    return traces.msgspec.json.encode(
        {
            "time_ms": time_ms,
            "event": event.value.number,
            "text": event.value.text,
        }
        | records[0].fields
    ).decode()


def write_end_line(time_ms, code, **fields):
    return write_line(
        events.Event.REQUEST_FORWARDED,
        time_ms,
        request=REQUEST,
        code=code,
        status=503,
        millis=time_ms,
        **fields,
    )


def test_lines_of_other_requests_are_skipped():
    log = "\n".join(
        [
            write_line(
                events.Event.ENDPOINT_CHOSEN, 1, request="f00", endpoint="e1"
            ),
            "not a line of ours 0f3a {",
            write_line(
                events.Event.ENDPOINT_CHOSEN,
                2,
                request=REQUEST,
                endpoint="e2",
            ),
        ]
    )
    report = traces.trace(REQUEST, [(log, "h1")])
    assertions.assert_that(
        [line["endpoint"] for line in report.data["lines"]],
        matchers.Equals(["e2"]),
    )


def test_failed_batch_call_of_another_host_is_named_as_cause():
    """The owner of the batch pool is another host; its call is lost."""
    owner = write_line(
        events.Event.BATCH_CALL_ENDED,
        50,
        pool="desk",
        endpoint="w1",
        outcome="lost",
        millis=2100,
        expected_ms=400,
        requests=["else", REQUEST],
    )
    own = "\n".join(
        [
            write_line(
                events.Event.BATCH_JOB_ENDED,
                60,
                request=REQUEST,
                stage=1,
                pool="desk",
                failure="error",
            ),
            write_end_line(70, 1010, detail="preparation: error"),
        ]
    )
    report = traces.trace(REQUEST, [(own, "h1"), (owner, "h2")])
    cause = report.data["cause"]
    for words in (
        "1010 DEADLINE_HOPELESS",
        "w1 was lost after 2100 ms",
        "Stage 1 at pool desk brought nothing: error",
        "sent to no endpoint",
    ):
        assertions.assert_that(cause, matchers.Contains(words))
    assertions.assert_that(
        [line["source"] for line in report.data["lines"]],
        matchers.Equals(["h2", "h1", "h1"]),
    )


def test_lines_of_a_host_keep_their_order_if_its_clock_steps_back():
    log = "\n".join(
        [
            write_line(
                events.Event.ENDPOINT_CHOSEN,
                5000,
                request=REQUEST,
                endpoint="e1",
            ),
            write_end_line(100, 2002),
        ]
    )
    report = traces.trace(REQUEST, [(log, "h1")])
    assertions.assert_that(
        [line["event"] for line in report.data["lines"]],
        matchers.Equals([4105, 7006]),
    )


def test_cause_says_if_the_end_of_the_request_is_missing():
    report = traces.trace(REQUEST, [("", "h1")])
    assertions.assert_that(
        report.data["cause"], matchers.StartsWith("No line tells its end")
    )


async def test_log_with_a_byte_order_mark_is_read(tmp_path):
    path = tmp_path / "h1.log"
    path.write_bytes(b"\xef\xbb\xbf" + write_end_line(10, 0).encode())
    lines = []
    tool = cmdline.CommandLine(write=lines.append)
    code = await tool.run(["trace", REQUEST, str(path)])
    assertions.assert_that(code, matchers.Equals(0))
    assertions.assert_that(lines[0], matchers.Contains("1 lines"))


def test_ended_endpoint_of_a_held_request_is_named():
    log = "\n".join(
        [
            write_line(
                events.Event.REQUEST_LOST,
                1,
                request=REQUEST,
                endpoint="e1",
                ended=True,
            ),
            write_end_line(2, 1023, detail="4 endpoints ended under part:bad"),
        ]
    )
    entries = traces.find_entries(REQUEST, log.splitlines(), "h1")
    text = traces.explain(entries)
    assertions.assert_that(
        text, matchers.Contains("Endpoint e1 closed its connection and ended")
    )
    assertions.assert_that(text, matchers.Contains("under part:bad"))
