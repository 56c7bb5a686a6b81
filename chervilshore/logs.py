"""Log lines as JSON on standard output, bounded and never blocking."""

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

MOST_LINES_PER_SECOND = 300.0
"""Lines a second that are written as they come; a small host spends about
a hundredth of its core on so many."""

MOST_FAILURE_LINES = 300.0
"""Lines a second of failed requests that are written besides."""

MOST_PENDING_BYTES = 1_000_000
"""Bytes that wait for a reader that is slow; more are left out."""

MOST_STORIES = 2000
"""Requests whose lines are kept until they end."""

MOST_STORY_LINES = 40
"""Lines that are kept of one request."""

MOST_VALUE_LENGTH = 300
"""Characters of a value; callers choose what some of them hold."""

SAMPLE_EVERY = 20
"""One request in so many has its whole story written under load too."""


class Allowance:
    """Allows so many lines a second, and as many at once.

    Parameters
    ----------
    per_second : float
        Lines a second.
    clock : Clock
        The time.
    """

    def __init__(self, per_second: float, clock: clocks.Clock) -> None:
        self._per_second = per_second
        self._clock = clock
        self._left = per_second
        self._filled = clock.now()

    def take(self, count: int = 1) -> bool:
        """Take lines, if so many are allowed now."""
        now = self._clock.now()
        passed = (now - self._filled) / clocks.MILLIS_PER_SECOND
        self._filled = now
        self._left = min(
            self._per_second, self._left + passed * self._per_second
        )
        if self._left < count:
            return False
        self._left -= count
        return True

    @property
    def is_ample(self) -> bool:
        """Whether more than half of a second's lines are left."""
        return self._left > self._per_second / 2.0


class LineWriter:
    """Writes lines to a file descriptor without waiting for its reader.

    Parameters
    ----------
    descriptor : int
        The file descriptor; a pipe or socket is made non-blocking.

    Attributes
    ----------
    dropped : int
        Lines that were left out, as the reader was too slow or gone.
    """

    def __init__(self, descriptor: int) -> None:
        self.dropped = 0
        self._descriptor = descriptor
        self._pending: collections.deque[bytes] = collections.deque()
        self._bytes = 0
        self._waits = False
        self._soon = False
        mode = os.fstat(descriptor).st_mode
        self._may_block = stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode)
        if self._may_block:
            os.set_blocking(descriptor, False)

    def write(self, line: bytes) -> None:
        """Write a line now or soon, or leave it out."""
        if self._bytes + len(line) > MOST_PENDING_BYTES:
            self.dropped += 1
            return
        self._pending.append(line)
        self._bytes += len(line)
        if not self._waits:
            self._flush_soon()

    def _flush_soon(self) -> None:
        """Write once for all lines of a turn of the loop."""
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            # There is no loop before its start and after its end.
            self.flush()
            return
        if not self._soon:
            self._soon = True
            loop.call_soon(self.flush)

    def flush(self) -> None:
        """Write what can be written without waiting."""
        self._soon = False
        while self._pending:
            line = b"".join(self._pending)
            self._pending.clear()
            self._pending.append(line)
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                self._wait()
                return
            except OSError:
                # Nobody reads any more; the count tells how much was lost.
                self.dropped += line.count(b"\n")
                self._pending.clear()
                self._bytes = 0
                break
            self._bytes -= written
            if written < len(line):
                self._pending[0] = line[written:]
            else:
                self._pending.popleft()
        self._stop_waiting()

    def _wait(self) -> None:
        if self._waits:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            # Before and after the loop the next line tries again.
            return
        loop.add_writer(self._descriptor, self.flush)
        self._waits = True

    def _stop_waiting(self) -> None:
        if self._waits:
            self._waits = False
            asyncio.get_running_loop().remove_writer(self._descriptor)


class JsonHandler(logging.Handler):
    """Writes records as JSON, under load only some requests' stories.

    A line with a field ``request`` belongs to that request's story; the
    line with a field ``code`` ends it.

    Parameters
    ----------
    writer : LineWriter
        Takes the lines.
    clock : Clock
        Tells the time of each line and bounds their number.
    """

    def __init__(self, writer: LineWriter, clock: clocks.Clock) -> None:
        super().__init__()
        self._writer = writer
        self._clock = clock
        self._lines = Allowance(MOST_LINES_PER_SECOND, clock)
        self._failures = Allowance(MOST_FAILURE_LINES, clock)
        self._stories: dict[str, list[bytes]] = {}
        self._left_out = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, keep it for its story, or leave it out."""
        try:
            fields = getattr(record, "fields", {})
            line = self._format(record, fields)
        except Exception:
            self.handleError(record)
            return
        request = fields.get("request")
        if isinstance(request, str) and request:
            self._tell(request, fields, line)
        elif record.levelno >= logging.WARNING:
            self._write([line], self._failures)
        else:
            self._write([line], self._lines)

    def _tell(self, request: str, fields: dict, line: bytes) -> None:
        """Add a line to a request's story, and end that if it is over."""
        ends = "millis" in fields and "code" in fields
        if self._lines.is_ample and request not in self._stories:
            self._write([line], self._lines)
            return
        story = self._stories.setdefault(request, [])
        if len(story) < MOST_STORY_LINES:
            story.append(line)
        if ends:
            del self._stories[request]
            if fields["code"] or fields.get("status", 200) >= 400:
                self._write(story, self._failures)
            elif (
                xxhash.xxh3_64_intdigest(request.encode()) % SAMPLE_EVERY == 0
            ):
                self._write(story, self._lines)
            else:
                self._left_out += len(story) - 1
                self._write(story[-1:], self._lines)
        elif len(self._stories) > MOST_STORIES:
            oldest = next(iter(self._stories))
            self._left_out += len(self._stories.pop(oldest))

    def _write(self, lines: list[bytes], allowance: Allowance) -> None:
        if not allowance.take(len(lines)):
            self._left_out += len(lines)
            return
        if self._left_out or self._writer.dropped:
            left_out = self._left_out + self._writer.dropped
            self._left_out = self._writer.dropped = 0
            self._writer.write(
                msgspec.json.encode(
                    {
                        "time_ms": round(self._clock.wall()),
                        "text": "lines left out",
                        "count": left_out,
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
            line["text"] = _shorten(record.getMessage())
        else:
            line["event"] = event
            line["text"] = record.event_text
        for name, value in fields.items():
            line[name] = _shorten(value)
        if record.exc_info:
            trace = logging.Formatter().formatException(record.exc_info)
            line["trace"] = trace
        return msgspec.json.encode(line, enc_hook=str) + b"\n"


def _shorten(value):
    if isinstance(value, (int, float, bool, dict, list, tuple, type(None))):
        return value
    text = str(value)
    if len(text) > MOST_VALUE_LENGTH:
        return text[:MOST_VALUE_LENGTH] + "..."
    return text


def start(level: str, clock: clocks.Clock) -> None:
    """Send all log records to standard output as JSON.

    Parameters
    ----------
    level : str
        The least level that is logged.
    clock : Clock
        Tells the time of each line.
    """
    writer = LineWriter(sys.stdout.fileno())
    atexit.register(writer.flush)
    handler = JsonHandler(writer, clock)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    # Services log each start and stop of their parts.
    logging.getLogger("mode").setLevel(logging.WARNING)
