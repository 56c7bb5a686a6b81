"""Requests and responses as bytes, for small clients and workers."""

import asyncio

Head = tuple[str, dict[str, str]]


async def read_head(reader: asyncio.StreamReader) -> Head | None:
    """Return the first line and the headers; None at the end."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunks(reader: asyncio.StreamReader):
    """Yield the chunks of a body; raises if it is not complete."""
    while True:
        line = await reader.readuntil(b"\r\n")
        size = int(line.split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return
        yield data[:-2]


async def read_body(
    reader: asyncio.StreamReader, headers: dict[str, str]
) -> bytes:
    """Return a whole body; raises if it is not complete."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return b"".join([chunk async for chunk in read_chunks(reader)])
    return await reader.readexactly(int(headers.get("content-length", "0")))


def format_head(line: str, headers: dict[str, object]) -> bytes:
    """Return the bytes of a head."""
    lines = [line, *(f"{name}: {value}" for name, value in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()
