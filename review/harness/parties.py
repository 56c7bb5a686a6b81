"""A sound worker of a plain service, and one request of a client."""

import asyncio

from review.harness import deployment
from review.harness import http


class PlainWorker:
    """A worker that answers after a while; it notes what it runs.

    Attributes
    ----------
    runs : list of str
        The attempt ids of the requests that it ran.
    tenants : dict of str to str
        The tenant that each of them named; None if it named none.
    """

    def __init__(
        self, name: str, record: deployment.Record, work_s: float = 0.0225
    ) -> None:
        self.name = name
        self.runs: list[str] = []
        self.tenants: dict[str, str | None] = {}
        self._record = record
        self._work_s = work_s
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> str:
        """Listen; return the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def stop(self) -> None:
        """End: stop listening, and close the connections."""
        self._server.close()
        for writer in tuple(self._writers):
            writer.close()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while (head := await http.read_head(reader)) is not None:
                await http.read_body(reader, head[1])
                writer.write(await self._answer(head[1]))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, headers: dict[str, str]) -> bytes:
        attempt = headers.get("chervilshore-attempt-id", "")
        answer = {"Chervilshore-Attempt-Id": attempt, "Content-Length": 0}
        expected = headers.get("chervilshore-expect-instance", self.name)
        if expected != self.name:
            return http.format_head("HTTP/1.1 421 Other", answer)
        self.runs.append(attempt)
        self.tenants[attempt] = headers.get("chervilshore-tenant")
        self._record.add(
            f"worker {self.name} runs {attempt}, "
            f"tenant {self.tenants[attempt]}"
        )
        await asyncio.sleep(self._work_s)
        answer |= {
            "Chervilshore-Response-Stamp": f"stamp.{attempt}",
            "Content-Length": 2,
        }
        return http.format_head("HTTP/1.1 200 OK", answer) + b"ok"


async def send(
    address: str,
    attempt: str,
    route: str,
    record: deployment.Record,
    key: str | None = deployment.KEY,
    deadline_ms: int = 1500,
) -> str:
    """Send one request; return the status, or how else it ended."""
    headers = {
        "Host": "desk.example",
        "Chervilshore-Attempt-Id": attempt,
        "Chervilshore-Deadline-Ms": deadline_ms,
        "Content-Length": 2,
    }
    if key is not None:
        headers["Chervilshore-Key"] = key
    record.add(f"client sends {attempt} to {route}, key {key}")
    outcome = "no connection"
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(deadline_ms / 1000.0 + 2.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                outcome = "no answer"
                line = f"POST /{route}/x HTTP/1.1"
                writer.write(http.format_head(line, headers) + b"ab")
                head = await http.read_head(reader)
                if head is not None:
                    await http.read_body(reader, head[1])
                    outcome = head[0].split()[1]
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        pass
    record.add(f"client got {attempt} {outcome}")
    return outcome
