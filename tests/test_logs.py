"""Tests of log lines: traces of requests, rate limits, slow readers."""

import asyncio
import logging
import os

import msgspec
import pytest
from testtools import assertions
from testtools import matchers

from chervilshore import events
from chervilshore import logs


@pytest.fixture
def pipe():
    ends = os.pipe()
    yield ends
    for end in ends:
        try:
            os.close(end)
        except OSError:
            # Already closed by the test.
            pass


@pytest.fixture
def logger(clock, pipe):
    handler = logs.JsonHandler(logs.LineWriter(pipe[1]), clock)
    test_logger = logging.getLogger("chervilshore.test")
    test_logger.handlers[:] = [handler]
    test_logger.setLevel("INFO")
    test_logger.propagate = False
    yield test_logger
    test_logger.handlers.clear()
    test_logger.propagate = True


def read_lines(pipe):
    os.set_blocking(pipe[0], False)
    content = b""
    while True:
        try:
            part = os.read(pipe[0], 1_000_000)
        except BlockingIOError:
            break
        if not part:
            break
        content += part
    return [msgspec.json.decode(line) for line in content.splitlines()]


def log_request(logger, request, code=0, lines=3):
    for number in range(lines):
        events.log_event(
            logger,
            events.Event.ENDPOINT_CHOSEN,
            request=request,
            endpoint=f"e{number}",
        )
    events.log_event(
        logger,
        events.Event.REQUEST_FORWARDED,
        request=request,
        code=code,
        millis=5,
    )


def test_line_has_event_times_and_fields(logger, pipe):
    log_request(logger, "r1", lines=1)
    first, last = read_lines(pipe)
    assertions.assert_that(first["event"], matchers.Equals(4105))
    assertions.assert_that(first["endpoint"], matchers.Equals("e0"))
    assertions.assert_that(
        set(first), matchers.GreaterThan({"time_ms", "steady_ms", "level"})
    )
    assertions.assert_that(last["code"], matchers.Equals(0))


def test_control_characters_are_escaped_and_long_values_truncated(
    logger, pipe
):
    request = 'a\n{"event":1}\x00\x1b[2J' + "x" * 10_000
    log_request(logger, request, lines=0)
    (line,) = read_lines(pipe)
    assertions.assert_that(
        len(line["request"]), matchers.LessThan(logs.MAX_VALUE_CHARS + 10)
    )


def test_lines_of_failed_requests_are_rate_limited(logger, pipe):
    """All requests fail, 10,000 within a second."""
    writer = logger.handlers[0]._writer
    for number in range(10_000):
        log_request(logger, f"r{number}", code=1021, lines=1)
    lines = read_lines(pipe)
    max_lines = logs.MAX_LINES_PER_SECOND + logs.MAX_FAILURE_LINES_PER_SECOND
    assertions.assert_that(len(lines), matchers.LessThan(max_lines + 5))
    assertions.assert_that(writer.dropped, matchers.LessThan(10_000))


def test_number_of_dropped_lines_is_logged(clock, logger, pipe):
    lines = []
    for number in range(1000):
        log_request(logger, f"r{number}")
        # The buffer of the pipe is smaller than a burst of lines.
        lines += read_lines(pipe)
    clock.set(10_000.0)
    log_request(logger, "later", lines=0)
    lines += read_lines(pipe)
    reports = [one for one in lines if one["text"] == "lines left out"]
    dropped = sum(one["count"] for one in reports)
    written = len(lines) - len(reports)
    assertions.assert_that(dropped + written, matchers.Equals(4001))


def test_failed_request_has_full_trace_under_load(logger, pipe):
    for number in range(150):
        log_request(logger, f"r{number}")
    read_lines(pipe)
    log_request(logger, "failed", code=1021, lines=5)
    lines = [one for one in read_lines(pipe) if one["request"] == "failed"]
    assertions.assert_that(len(lines), matchers.Equals(6))


def test_stalled_reader_does_not_block(logger, pipe, clock):
    for number in range(20_000):
        clock.set(number * 10.0)
        log_request(logger, f"r{number}", lines=0)
    writer = logger.handlers[0]._writer
    assertions.assert_that(writer.dropped, matchers.GreaterThan(0))
    assertions.assert_that(
        writer._pending_bytes, matchers.LessThan(logs.MAX_PENDING_BYTES + 1)
    )


def test_closed_reader_does_not_block(logger, pipe):
    os.close(pipe[0])
    for number in range(100):
        log_request(logger, f"r{number}")
    assertions.assert_that(
        logger.handlers[0]._writer.dropped, matchers.GreaterThan(0)
    )


async def test_lines_of_one_loop_turn_are_written_together(
    logger, pipe, monkeypatch
):
    """A busy host logs many lines in one turn of the event loop.

    One system call per line would be expensive.
    """
    written = []
    write = os.write
    monkeypatch.setattr(
        os, "write", lambda *words: written.append(words) or write(*words)
    )
    for number in range(20):
        log_request(logger, f"r{number}", lines=0)
    await asyncio.sleep(0)
    assertions.assert_that(written, matchers.HasLength(1))
    assertions.assert_that(read_lines(pipe), matchers.HasLength(20))


def test_lines_after_the_end_of_the_loop_are_written(logger, pipe):
    async def log():
        log_request(logger, "within", lines=0)

    loop = asyncio.new_event_loop()
    loop.call_soon(loop.stop)
    loop.run_until_complete(log())
    loop.close()
    log_request(logger, "after", lines=0)
    assertions.assert_that(read_lines(pipe), matchers.HasLength(2))
