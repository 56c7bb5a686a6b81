"""Writes log lines as JSON to standard output, rate-limited and without
blocking."""

import asyncio
import atexit
import collections
import logging
import os
import stat
import sys

import msgspec
import xxhash

from chervilshore import clock as clocks

MAX_LINES_PER_SECOND = 300.0
"""Log lines a second, except lines of failures; writing this many takes
approximately 1% of a core on a small host."""

MAX_FAILURE_LINES_PER_SECOND = 300.0
"""Additional lines a second for failed requests and warnings."""

MAX_PENDING_BYTES = 1_000_000
"""Bytes that are buffered for a slow reader; further lines are dropped."""

MAX_TRACES = 2000
"""Requests in flight whose traces are buffered."""

MAX_TRACE_LINES = 40
"""Lines that are buffered for one request."""

MAX_VALUE_CHARS = 300
"""Characters of a logged value; callers control some of the values."""

TRACE_SAMPLE_INTERVAL = 20
"""Under load, the full trace of one successful request in this many is
written."""


class TokenBucket:
    """Limits the rate of lines; holds at most the tokens of one second.

    Parameters
    ----------
    per_second : float
        Tokens added per second, and the capacity; a line takes one token.
    clock : Clock
        Measures the time since the last refill.
    """

    def __init__(self, per_second: float, clock: clocks.Clock) -> None:
        self._per_second = per_second
        self._clock = clock
        self._tokens = per_second
        self._refilled_at = clock.now()

    def acquire(self, count: int = 1) -> bool:
        """Take tokens for lines; return False if there are too few."""
        now = self._clock.now()
        elapsed_seconds = (now - self._refilled_at) / clocks.MILLIS_PER_SECOND
        self._refilled_at = now
        self._tokens = min(
            self._per_second, self._tokens + elapsed_seconds * self._per_second
        )
        if self._tokens < count:
            return False
        self._tokens -= count
        return True

    @property
    def is_over_half_full(self) -> bool:
        """Whether more than half of the capacity is left."""
        return self._tokens > self._per_second / 2.0


class LineWriter:
    """Writes lines to a file descriptor without blocking on its reader.

    Parameters
    ----------
    descriptor : int
        The file descriptor; a pipe or socket is made non-blocking.

    Attributes
    ----------
    dropped : int
        Lines that were dropped, as the reader was too slow or gone; reset
        when the number has been logged.
    """

    def __init__(self, descriptor: int) -> None:
        self.dropped = 0
        self._descriptor = descriptor
        self._pending: collections.deque[bytes] = collections.deque()
        self._pending_bytes = 0
        self._waiting_for_reader = False
        self._flush_scheduled = False
        mode = os.fstat(descriptor).st_mode
        self._may_block = stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode)
        if self._may_block:
            os.set_blocking(descriptor, False)

    def write(self, line: bytes) -> None:
        """Queue a line to be written; drop it when the buffer is full."""
        if self._pending_bytes + len(line) > MAX_PENDING_BYTES:
            self.dropped += 1
            return
        self._pending.append(line)
        self._pending_bytes += len(line)
        if not self._waiting_for_reader:
            self._flush_soon()

    def _flush_soon(self) -> None:
        """Schedule one write for all lines of this turn of the event loop."""
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            # No event loop is running, before its start or after its end.
            self.flush()
            return
        if not self._flush_scheduled:
            self._flush_scheduled = True
            loop.call_soon(self.flush)

    def flush(self) -> None:
        """Write as many buffered bytes as possible without blocking."""
        self._flush_scheduled = False
        while self._pending:
            data = b"".join(self._pending)
            self._pending.clear()
            self._pending.append(data)
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                self._wait_for_reader()
                return
            except OSError:
                # The reader is gone; the count shows how much was lost.
                self.dropped += data.count(b"\n")
                self._pending.clear()
                self._pending_bytes = 0
                break
            self._pending_bytes -= written
            if written < len(data):
                self._pending[0] = data[written:]
            else:
                self._pending.popleft()
        self._stop_waiting()

    def _wait_for_reader(self) -> None:
        if self._waiting_for_reader:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            # No event loop is running; the next line tries again.
            return
        loop.add_writer(self._descriptor, self.flush)
        self._waiting_for_reader = True

    def _stop_waiting(self) -> None:
        if self._waiting_for_reader:
            self._waiting_for_reader = False
            asyncio.get_running_loop().remove_writer(self._descriptor)


class JsonHandler(logging.Handler):
    """Writes records as JSON; under load, only the traces of some requests.

    A line with a field ``request`` belongs to the trace of that request; a
    line with the fields ``code`` and ``millis`` ends the trace. Failed
    requests and a sample of the others get their full traces under load;
    the rest get their last line. The number of dropped lines is logged.

    Parameters
    ----------
    writer : LineWriter
        Writes the lines.
    clock : Clock
        Provides the time of each line and the time for the rate limits.
    """

    def __init__(self, writer: LineWriter, clock: clocks.Clock) -> None:
        super().__init__()
        self._writer = writer
        self._clock = clock
        self._line_limit = TokenBucket(MAX_LINES_PER_SECOND, clock)
        self._failure_limit = TokenBucket(MAX_FAILURE_LINES_PER_SECOND, clock)
        self._traces: dict[str, list[bytes]] = {}
        self._dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, buffer it for its trace, or drop it."""
        try:
            fields = getattr(record, "fields", {})
            line = self._format(record, fields)
        except Exception:
            self.handleError(record)
            return
        request = fields.get("request")
        if isinstance(request, str) and request:
            self._add_to_trace(request, fields, line)
        elif record.levelno >= logging.WARNING:
            self._write([line], self._failure_limit)
        else:
            self._write([line], self._line_limit)

    def _add_to_trace(self, request: str, fields: dict, line: bytes) -> None:
        """Add a line to a trace; write the trace if the line ends it."""
        ends = "millis" in fields and "code" in fields
        if self._line_limit.is_over_half_full and request not in self._traces:
            self._write([line], self._line_limit)
            return
        trace = self._traces.setdefault(request, [])
        if len(trace) < MAX_TRACE_LINES:
            trace.append(line)
        if ends:
            del self._traces[request]
            if fields["code"] or fields.get("status", 200) >= 400:
                self._write(trace, self._failure_limit)
            elif (
                xxhash.xxh3_64_intdigest(request.encode())
                % TRACE_SAMPLE_INTERVAL
                == 0
            ):
                self._write(trace, self._line_limit)
            else:
                self._dropped += len(trace) - 1
                self._write(trace[-1:], self._line_limit)
        elif len(self._traces) > MAX_TRACES:
            oldest = next(iter(self._traces))
            self._dropped += len(self._traces.pop(oldest))

    def _write(self, lines: list[bytes], rate_limit: TokenBucket) -> None:
        if not rate_limit.acquire(len(lines)):
            self._dropped += len(lines)
            return
        if self._dropped or self._writer.dropped:
            dropped = self._dropped + self._writer.dropped
            self._dropped = self._writer.dropped = 0
            self._writer.write(
                msgspec.json.encode(
                    {
                        "time_ms": round(self._clock.wall()),
                        "text": "lines left out",
                        "count": dropped,
                    }
                )
                + b"\n"
            )
        for line in lines:
            self._writer.write(line)

    def _format(self, record: logging.LogRecord, fields: dict) -> bytes:
        line = {
            "time_ms": round(self._clock.wall()),
            "steady_ms": round(self._clock.now(), 1),
            "level": record.levelname.lower(),
            "module": record.name.rpartition(".")[2],
        }
        event = getattr(record, "event", None)
        if event is None:
            line["text"] = _truncate(record.getMessage())
        else:
            line["event"] = event
            line["text"] = record.event_text
        for name, value in fields.items():
            line[name] = _truncate(value)
        if record.exc_info:
            traceback = logging.Formatter().formatException(record.exc_info)
            line["trace"] = traceback
        return msgspec.json.encode(line, enc_hook=str) + b"\n"


def _truncate(value):
    if isinstance(value, (int, float, bool, dict, list, tuple, type(None))):
        return value
    text = str(value)
    if len(text) > MAX_VALUE_CHARS:
        return text[:MAX_VALUE_CHARS] + "..."
    return text


def start(level: str, clock: clocks.Clock) -> None:
    """Send all log records to standard output as JSON.

    Parameters
    ----------
    level : str
        The lowest level that is logged.
    clock : Clock
        Provides the time of each line.
    """
    writer = LineWriter(sys.stdout.fileno())
    atexit.register(writer.flush)
    handler = JsonHandler(writer, clock)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    # The library logs each start and stop of a service.
    logging.getLogger("mode").setLevel(logging.WARNING)
