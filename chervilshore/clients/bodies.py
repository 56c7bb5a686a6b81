"""Reads the bodies of HTTP responses, which may have no end."""

import aiohttp

MAX_BODY_BYTES = 16_000_000
"""Size from which a body counts as endless."""

BLOCK_BYTES = 65_536


async def read_body(
    response: aiohttp.ClientResponse, max_bytes: int = MAX_BODY_BYTES
) -> bytes:
    """Return the whole body of a response.

    Raises
    ------
    aiohttp.ClientPayloadError
        The body is too large; its end was not awaited.
    """
    content = bytearray()
    async for block in response.content.iter_chunked(BLOCK_BYTES):
        content += block
        if len(content) > max_bytes:
            response.close()
            raise aiohttp.ClientPayloadError(f"body of over {max_bytes} bytes")
    return bytes(content)


async def read_text(response: aiohttp.ClientResponse) -> str:
    """Return the body of a response that explains an error."""
    return (await read_body(response)).decode("utf-8", "replace")
