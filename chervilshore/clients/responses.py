"""HTTP responses that fail unless they are valid and whole."""

import asyncio

import aiohttp

MIN_STATUS = 200
"""Lowest status of a final response."""

MAX_STATUS = 599
"""Highest status of a response; see RFC 9110, section 15."""

PARTIAL_STATUS = 206
"""Status of a part of a body, for which no request asks."""


class Response(aiohttp.ClientResponse):
    """A response that fails if it is invalid or was cut.

    Without a length and chunks the end of the connection is the end of the
    body. The base class takes a reset for that end, too.
    """

    async def start(
        self, connection: aiohttp.connector.Connection
    ) -> "Response":
        """Read the head.

        Raises
        ------
        aiohttp.ClientResponseError
            The status is not that of a final and whole response.
        """
        protocol = connection.protocol
        # Until the connection is lost `closed` is a future, which then has the
        # error, if any. One that was lost before has its error in `protocol`.
        closed = protocol.closed
        error = protocol.exception()
        if closed is not None:
            closed.remove_done_callback(_retrieve_error)
            closed.add_done_callback(_retrieve_error)
        await super().start(connection)
        if (
            not MIN_STATUS <= self.status <= MAX_STATUS
            or self.status == PARTIAL_STATUS
        ):
            raise aiohttp.ClientResponseError(
                self.request_info,
                self.history,
                status=self.status,
                message="invalid status",
            )
        if not self._is_self_delimiting():
            self.content.on_eof(lambda: self._check_end(closed, error))
        return self

    async def read(self) -> bytes:
        """Return the whole body.

        Raises
        ------
        aiohttp.ClientPayloadError
            It is not whole.
        """
        content = await super().read()
        check_end(self)
        return content

    def _is_self_delimiting(self) -> bool:
        coding = self.headers.get("Transfer-Encoding", "")
        return "Content-Length" in self.headers or "chunked" in coding.lower()

    def _check_end(
        self, closed: asyncio.Future | None, error: Exception | None
    ) -> None:
        """Make reads of the body fail if the connection ended by an error."""
        if closed is not None:
            error = closed.exception() if closed.done() else None
        if error is None or isinstance(error, aiohttp.ServerDisconnectedError):
            return
        self.content.set_exception(
            aiohttp.ClientPayloadError(f"connection lost: {error!r}")
        )


def check_end(response: aiohttp.ClientResponse) -> None:
    """Check, once a body has been read, that it is whole.

    A read that has begun before the connection ended does not fail by itself.

    Raises
    ------
    aiohttp.ClientPayloadError
        It is not whole.
    """
    error = response.content.exception()
    if error is not None:
        raise error


def _retrieve_error(closed: asyncio.Future) -> None:
    """Take note of an error, as asyncio logs one that nothing has read."""
    if not closed.cancelled():
        closed.exception()
