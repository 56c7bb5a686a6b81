"""Reads the bodies of HTTP responses, which may have no end."""

import asyncio

import aiohttp

from chervilshore.clients import receiving
from chervilshore.clients import responses

MAX_BODY_BYTES = 16_000_000
"""Size from which a body counts as endless."""


async def read_body(
    response: aiohttp.ClientResponse,
    max_bytes: int = MAX_BODY_BYTES,
    pool: receiving.ReceivePool = receiving.ENDPOINTS,
) -> bytes:
    """Return the whole body of a response.

    Parameters
    ----------
    response : ClientResponse
        The response, whose head has been read.
    max_bytes : int
        Largest body.
    pool : ReceivePool
        Bounds what the process holds of all responses together.

    Raises
    ------
    aiohttp.ClientPayloadError
        The body is not whole; or it is too large, or was cut for others, and
        its end was not awaited.
    """
    reader = _BodyReader(response, max_bytes, pool)
    try:
        return await reader.read()
    except aiohttp.ClientPayloadError:
        response.close()
        raise
    finally:
        reader.close()


class _BodyReader:
    """Reads one body as far as the budget of the process allows."""

    def __init__(
        self,
        response: aiohttp.ClientResponse,
        max_bytes: int,
        pool: receiving.ReceivePool,
    ) -> None:
        self._response = response
        self._max_bytes = max_bytes
        self._content = bytearray()
        self._cut_reason = ""
        self._receipt = receiving.Receipt(pool, max_bytes, self._cut)
        length = response.content_length
        if length is not None and length <= max_bytes:
            self._receipt.expect(length, is_declared=True)

    async def read(self) -> bytes:
        """Return the whole body; see `read_body`."""
        while True:
            await self._wait_for_room()
            block = await self._response.content.read(self._receipt.allow())
            if not block:
                responses.check_end(self._response)
                return bytes(self._content)
            self._content += block
            self._receipt.update(len(self._content))
            if len(self._content) > self._max_bytes:
                raise aiohttp.ClientPayloadError(
                    f"body of over {self._max_bytes} bytes"
                )

    async def _wait_for_room(self) -> None:
        began = asyncio.get_running_loop().time()
        while not self._cut_reason and not self._receipt.reserve():
            await self._receipt.wait_for_room(began)
        if self._cut_reason:
            raise aiohttp.ClientPayloadError(self._cut_reason)

    def _cut(self, reason: str) -> None:
        self._cut_reason = reason
        # Also ends a read that waits.
        self._response.content.set_exception(
            aiohttp.ClientPayloadError(reason)
        )

    def close(self) -> None:
        """Hold nothing any more."""
        # The traceback of an error keeps this reader for a while.
        self._content.clear()
        self._receipt.release()


async def read_text(response: aiohttp.ClientResponse) -> str:
    """Return the body of a response that explains an error."""
    return (await read_body(response)).decode("utf-8", "replace")
