"""A worker that sends answers and refusals once more."""

import asyncio
import enum

import msgspec


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
    refusals : list of bytes
        The refusals of the next requests, which do not run.
    strays : list of bytes
        Refusals of other connections, each of which is written once more
        when a request has come, before its own answer.
    """

    def __init__(self):
        self.copy = Copy.NEVER
        self.runs = []
        self.refusals = []
        self.strays = []
        self.connections = 0
        self.address = ""
        self._calls = 0
        self._server = None
        self._writers = []

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def stop(self):
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.connections += 1
        self._writers.append(writer)
        late = b""
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                line, *rest = head.strip().split("\r\n")
                headers = dict(one.split(": ", 1) for one in rest)
                headers[":method"], headers[":path"], _ = line.split(" ")
                body = await _read_body(reader, headers)
                answer = self._answer(headers, body)
                copy = answer if self.copy is not Copy.NEVER else b""
                writer.write(late)
                if self.strays:
                    writer.write(self.strays.pop(0))
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
            return self.refusals.pop(0)
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


async def _read_body(reader, headers):
    if headers.get("transfer-encoding") != "chunked":
        return await reader.readexactly(
            int(headers.get("content-length", "0"))
        )
    body = b""
    while size := int(await reader.readline(), 16):
        body += await reader.readexactly(size)
        await reader.readline()
    await reader.readline()
    return body


def make_answer(content=b"", status=200, **headers):
    """Return an answer; underscores in names of headers become hyphens."""
    lines = "".join(
        f"{name.replace('_', '-')}: {value}\r\n"
        for name, value in headers.items()
    )
    head = f"HTTP/1.1 {status} OK\r\nContent-Length: {len(content)}\r\n"
    return f"{head}{lines}\r\n".encode() + content


def make_refusal(attempt="", status=503):
    """Return a refusal; it names no request if there is no attempt id."""
    named = f"Chervilshore-Attempt-Id: {attempt}\r\n" if attempt else ""
    return (
        f"HTTP/1.1 {status} Refused\r\nContent-Length: 0\r\n"
        f"Chervilshore-Not-Executed: 1\r\n{named}\r\n"
    ).encode()
