"""A stand-in of a worker whose responses never end."""

import asyncio
import enum
import re

BLOCK_BYTES = 65_536

MAX_SENT_BYTES = 64_000_000
"""Bytes after which the worker gives up and closes the connection."""

_ATTEMPT_ID = re.compile(rb"chervilshore-attempt-id: *(\S+)", re.I)


class Place(enum.Enum):
    """Where in a response the bytes go on without end."""

    HEAD = "head"
    INFORMATIONAL = "informational"
    BODY = "body"
    CHUNK_HEADER = "chunk header"
    TRAILER = "trailer"
    EVENT = "event"
    GARBAGE = "garbage"


_CHUNKED = b"Transfer-Encoding: chunked\r\n"

_STARTS = {
    Place.HEAD: b"HTTP/1.1 200 OK\r\nX-Endless: ",
    Place.INFORMATIONAL: b"",
    Place.BODY: b"HTTP/1.1 200 OK\r\n%s\r\n",
    Place.CHUNK_HEADER: b"HTTP/1.1 200 OK\r\n%s" + _CHUNKED + b"\r\n1;",
    Place.TRAILER: b"HTTP/1.1 200 OK\r\n%s"
    + _CHUNKED
    + b"\r\n0\r\nX-Endless: ",
    Place.EVENT: (
        b"HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n\r\ndata: "
    ),
    Place.GARBAGE: b"\x00",
}


class EndlessWorker:
    """Listens, reads one request and answers without end.

    Parameters
    ----------
    name : str
        The worker's instance id.
    place : Place
        Where the response does not end.
    max_bytes : int
        Bytes after which the worker closes the connection; a body without a
        length is complete then.

    Attributes
    ----------
    sent_bytes : list of int
        Bytes that each connection took before its caller closed it.
    """

    def __init__(
        self, name: str, place: Place, max_bytes: int = MAX_SENT_BYTES
    ) -> None:
        self.name = name
        self.sent_bytes: list[int] = []
        self.address = ""
        self._place = place
        self._max_bytes = max_bytes
        self._server: asyncio.Server | None = None

    async def start(self, host: str = "127.0.0.1") -> str:
        """Listen; return the address as ``host:port``."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"
        return self.address

    async def stop(self) -> None:
        """Stop listening."""
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError:
            writer.close()
            return
        found = _ATTEMPT_ID.search(head)
        attempt = found[1] if found else b""
        start = _STARTS[self._place]
        if b"%s" in start:
            start %= (
                b"Chervilshore-Attempt-Id: " + attempt + b"\r\n"
                b"Chervilshore-Response-Stamp: stamp\r\n"
            )
        block = b"x" * BLOCK_BYTES
        if self._place is Place.INFORMATIONAL:
            block = b"HTTP/1.1 102 Processing\r\n\r\n" * 1000
        index = len(self.sent_bytes)
        self.sent_bytes.append(0)
        try:
            writer.write(start)
            while self.sent_bytes[index] < self._max_bytes:
                writer.write(block)
                await writer.drain()
                self.sent_bytes[index] += len(block)
        except ConnectionError:
            # The caller has closed the connection, as it should.
            pass
        finally:
            writer.close()
