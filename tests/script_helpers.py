"""Endpoints that write the bytes of a script in answer to each request."""

import asyncio
import enum
import socket
import struct

from standins import workers
from tests import gateway_helpers

CUT_EVENT = b"id: 9"
"""The begin of an event that does not end."""

EVENTS = 5
"""Events of a whole stream."""


class End(enum.Enum):
    """How an endpoint ends its connection after the bytes of an answer."""

    CLOSE = "in order"
    RESET = "by a reset"
    KEEP = "not at all"


def make_events(first, last):
    """Return the events of these numbers."""
    return b"".join(
        b"id: %d\ndata: x\n\n" % number for number in range(first, last + 1)
    )


def make_answer(
    body=b"",
    status="200 OK",
    content_type="text/event-stream",
    framing="chunked",
    is_cut=False,
    headers=("Chervilshore-Response-Stamp: s",),
):
    """Return an answer; its attempt id is put in when it is sent.

    Parameters
    ----------
    framing : str
        How its end is told: "chunked", "length" or "none".
    is_cut : bool
        Whether it lacks its end, if it has one.
    """
    lines = [f"HTTP/1.1 {status}", "Chervilshore-Attempt-Id: ATTEMPT"]
    lines += headers
    if content_type:
        lines.append(f"Content-Type: {content_type}")
    if framing == "chunked":
        lines.append("Transfer-Encoding: chunked")
        if body:
            body = b"%x\r\n%s\r\n" % (len(body), body)
        body += b"" if is_cut else b"0\r\n\r\n"
    elif framing == "length":
        lines.append(f"Content-Length: {len(body) + 10 * is_cut}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def make_refusal(status):
    """Return an answer that says that the request has not run."""
    return make_answer(
        status=status,
        content_type="",
        framing="length",
        headers=["Chervilshore-Not-Executed: 1"],
    )


class Script:
    """The answers of some endpoints together, in order.

    Attributes
    ----------
    answers : list
        The bytes of the next answers, each with how its connection ends;
        after them, the endpoints send all events that a request asks for.
    received : list of dict
        The headers of the requests, with names in lower case.
    """

    def __init__(self):
        self.answers = []
        self.received = []
        self._servers = []
        self._writers = []

    async def add_endpoint(self, deployment, name, service, **changes):
        """Start an endpoint and list it."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self._servers.append(server)
        host, port = server.sockets[0].getsockname()
        entry = workers.Worker(name).describe(
            service, "a", addr=f"{host}:{port}", **changes
        )
        await deployment.store.write("servers", name, entry)

    def stop(self):
        for server in self._servers:
            server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.append(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                _, *lines = head.strip().split("\r\n")
                headers = dict(line.split(": ", 1) for line in lines)
                await reader.readexactly(
                    int(headers.get("content-length", "0"))
                )
                self.received.append(headers)
                attempt = headers["chervilshore-attempt-id"].encode()
                answer, end = self._take_answer(headers)
                writer.write(answer.replace(b"ATTEMPT", attempt))
                await writer.drain()
                # So that what was written is read before a reset.
                await asyncio.sleep(0.05)
                if end is not End.KEEP:
                    self._end(writer, end)
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    def _take_answer(self, headers):
        if self.answers:
            return self.answers.pop(0)
        first = int(headers.get("last-event-id", "0")) + 1
        return make_answer(make_events(first, EVENTS)), End.KEEP

    def _end(self, writer, end):
        if end is End.RESET:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
        writer.transport.abort()


async def serve(deployment, script, count=3, **route):
    """Start a host and endpoints with a script for streams."""
    route = {"kind": "stream", "resumable": True} | route
    await deployment.configure(
        [gateway_helpers.make_route("say", "llm", **route)],
        [gateway_helpers.make_service("llm", engine={"slots": 8})],
    )
    host = await deployment.add_host(retry_slack="400")
    for number in range(count):
        await script.add_endpoint(deployment, f"m{number}", "llm")
    await deployment.wait_ready(host, count)
    return host


async def read_stream(deployment, host, headers=()):
    """Send a request; return its status, body and whether that is complete."""
    response, content, is_complete = await deployment.read_stream(
        host, "/say/", headers
    )
    return response.status, content, is_complete
