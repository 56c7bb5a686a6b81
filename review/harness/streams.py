"""Streams over kept connections, while the platform watches the memory."""

import asyncio
import collections
import itertools
import time

from review.harness import deployment
from review.harness import http

FIRST_EVENT_S = 0.65
EVENT_S = 0.06
EVENTS = 64
"""A stream as the sheet has it: 64 events, the first one within its aim."""

RESTART_S = 0.5
WATCH_S = 0.02
LOOKUP = "lookup"
REVIEW = "review"

SERVICE = {
    "name": "assistant-llm",
    "max_conns": 500,
    "cold_start_s": 3.0,
    "cold_per_s": 16.0,
    "engine": {"slots": 128},
}


def make_routes() -> list[dict]:
    """Return the routes that the clients use."""
    return [
        deployment.make_route(LOOKUP, "assistant-llm", "idempotent"),
        deployment.make_route(REVIEW, "assistant-llm", "stream"),
    ]


class Worker:
    """A sound worker: reads each request at once, and answers it."""

    def __init__(self, record: deployment.Record) -> None:
        self.arrived: set[str] = set()
        self._record = record

    async def serve(self, reader, writer) -> None:
        """Serve the requests of a connection one after the other."""
        try:
            while (head := await http.read_head(reader)) is not None:
                line, headers = head
                attempt = headers.get("chervilshore-attempt-id", "")
                self.arrived.add(attempt)
                body = await http.read_body(reader, headers)
                self._record.add(f"worker runs {attempt} {len(body)} bytes")
                await self._answer(writer, line, attempt)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        except asyncio.CancelledError:
            # The case has ended.
            pass
        finally:
            writer.close()

    async def _answer(self, writer, line: str, attempt: str) -> None:
        headers = {
            "Chervilshore-Attempt-Id": attempt,
            "Chervilshore-Response-Stamp": f"stamp.{attempt}",
        }
        if f"/{LOOKUP}/" in line:
            headers["Content-Length"] = 2
            writer.write(http.format_head("HTTP/1.1 200 OK", headers) + b"ok")
            return
        headers["Content-Type"] = "text/event-stream"
        headers["Transfer-Encoding"] = "chunked"
        await asyncio.sleep(FIRST_EVENT_S)
        writer.write(http.format_head("HTTP/1.1 200 OK", headers))
        for number in range(1, EVENTS + 1):
            event = f"id: {number}\ndata: x\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        writer.write(b"0\r\n\r\n")


class Clients:
    """Clients that look something up, and then send a review to be made.

    Both requests of a client use one connection.
    """

    def __init__(
        self, address: str, record: deployment.Record, body_bytes: int
    ) -> None:
        self.address = address
        self._body = b"p" * body_bytes
        self.outcomes: dict[str, str] = {}
        self._record = record
        self._numbers = itertools.count(1)

    async def run_one(self) -> None:
        """Send the requests of one client."""
        host, _, port = self.address.rpartition(":")
        number = next(self._numbers)
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return
        try:
            if await self._send(
                reader, writer, f"1{number:015x}", LOOKUP, "GET", b""
            ):
                await self._send(
                    reader,
                    writer,
                    f"2{number:015x}",
                    REVIEW,
                    "POST",
                    self._body,
                )
        finally:
            writer.close()

    async def _send(
        self, reader, writer, attempt: str, route: str, method: str, body
    ) -> bool:
        headers = {
            "Host": "desk.example",
            "Chervilshore-Attempt-Id": attempt,
            "Chervilshore-Deadline-Ms": 15_000,
            "Chervilshore-Key": deployment.KEY,
        }
        if body:
            headers["Content-Length"] = len(body)
        self._record.add(f"client sends {attempt} {route} {len(body)} bytes")
        line = f"{method} /{route}/x HTTP/1.1"
        outcome = "no answer"
        try:
            writer.write(http.format_head(line, headers))
            writer.write(body)
            head = await http.read_head(reader)
            if head is not None:
                outcome = "cut in the answer"
                await http.read_body(reader, head[1])
                outcome = head[0].split()[1]
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        self.outcomes[attempt] = outcome
        self._record.add(f"client got {attempt} {outcome}")
        return outcome == "200"


class Platform:
    """Kills a process that exceeds its memory, and starts it again."""

    def __init__(self, host, record: deployment.Record) -> None:
        self.kills: list[float] = []
        self.most_mb = 0.0
        self.last_mb = 0.0
        self._host = host
        self._record = record

    async def watch(self) -> None:
        """Look at the memory of the process again and again."""
        while True:
            await asyncio.sleep(WATCH_S)
            used_mb = self._host.read_memory_mb()
            self.last_mb = used_mb
            self.most_mb = max(self.most_mb, used_mb)
            if used_mb > deployment.MEMORY_MB:
                self._record.add(f"platform kills it at {used_mb:.0f} MiB")
                await self._host.kill()
                self.kills.append(time.monotonic())
                await asyncio.sleep(RESTART_S)
                await self._host.start()


async def start_worker(store, record: deployment.Record) -> Worker:
    """Start a worker and register it."""
    worker = Worker(record)
    server = await asyncio.start_server(worker.serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()[:2]
    await deployment.register(
        store, "w1", SERVICE["name"], "a", f"{host}:{port}", 128
    )
    return worker


def judge(
    worker: Worker,
    clients: list[Clients],
    platforms: list[Platform],
    record: deployment.Record,
) -> bool:
    """Apply LOST, which more than three such requests break."""
    counts: collections.Counter[str] = collections.Counter()
    lost = 0
    for one in clients:
        counts.update(one.outcomes.values())
        lost += sum(
            attempt.startswith("2")
            and outcome == "no answer"
            and attempt in worker.arrived
            for attempt, outcome in one.outcomes.items()
        )
    record.add(f"outcomes {dict(counts)}")
    for one in platforms:
        record.add(
            f"most memory {one.most_mb:.0f} MiB of {deployment.MEMORY_MB}, "
            f"{len(one.kills)} times exceeded"
        )
    record.add(
        f"{lost} requests from kept connections were passed on to a sound "
        f"worker and their connection ended without an answer"
    )
    return any(one.kills for one in platforms) and lost > 3
