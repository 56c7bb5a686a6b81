"""Opens connections to endpoints through a peer (HTTP CONNECT)."""

import asyncio
import re

from chervilshore.clients import connections
from chervilshore.clients import sockets
from chervilshore import exceptions
from chervilshore import ids

MAX_HEAD_BYTES = 4096
"""Largest response head of a peer."""

OPENED_STATUS = 200
REFUSED_STATUS = 502
"""Status if nothing listens at the address."""

UNREACHED_STATUS = 504
"""Status if the peer does not reach the address."""

_STATUS_LINE = re.compile(rb"HTTP/1\.1 (\d{3}) ")


class _Handshake(asyncio.Protocol):
    """Asks a peer to connect, then hands the transport on."""

    def __init__(self, address: ids.Address) -> None:
        self._address = address
        self._head = b""
        self.transport: asyncio.Transport | None = None
        self.status: asyncio.Future[int] = (
            asyncio.get_running_loop().create_future()
        )

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Send the request."""
        self.transport = transport
        sockets.set_tcp_options(transport.get_extra_info("socket"))
        line = f"CONNECT {self._address} HTTP/1.1\r\n"
        transport.write(f"{line}Host: {self._address}\r\n\r\n".encode())

    def data_received(self, data: bytes) -> None:
        """Read the head of the response, which nothing follows."""
        self._head += data
        if self.status.done():
            return
        if self._head.endswith(b"\r\n\r\n"):
            found = _STATUS_LINE.match(self._head)
            self.status.set_result(int(found[1]) if found else 0)
        elif len(self._head) > MAX_HEAD_BYTES:
            self.status.set_result(0)

    def connection_lost(self, error: Exception | None) -> None:
        """Fail if the peer closes the connection before its response."""
        if not self.status.done():
            self.status.set_result(0)


async def open_tunnel(
    relay: ids.Address, address: ids.Address, timeout_ms: float
) -> connections.Connection:
    """Open a connection to an endpoint through a peer.

    Parameters
    ----------
    relay : Address
        Where the peer accepts tunnels.
    address : Address
        The endpoint.
    timeout_ms : float
        Milliseconds to wait.

    Raises
    ------
    exceptions.RelayUnavailable
        The peer does not answer, or does not relay.
    exceptions.EndpointUnreached
        The peer does not reach the endpoint.
    """
    host, _, port = relay.rpartition(":")
    handshake = None
    try:
        async with asyncio.timeout(timeout_ms / 1000.0):
            _, handshake = await asyncio.get_running_loop().create_connection(
                lambda: _Handshake(address), host, int(port)
            )
            status = await handshake.status
    except BaseException as error:
        if handshake is not None:
            handshake.transport.abort()
        if isinstance(error, OSError | OverflowError | ValueError):
            raise exceptions.RelayUnavailable(
                f"{relay}: {type(error).__name__} {error}"
            ) from error
        raise
    if status != OPENED_STATUS:
        handshake.transport.abort()
        raise _make_error(relay, address, status)
    connection = connections.Connection()
    handshake.transport.set_protocol(connection)
    connection.connection_made(handshake.transport)
    return connection


def _make_error(
    relay: ids.Address, address: ids.Address, status: int
) -> exceptions.EndpointUnreached:
    text = f"{address} through {relay}: status {status}"
    if status not in (REFUSED_STATUS, UNREACHED_STATUS):
        return exceptions.RelayUnavailable(text)
    error = exceptions.EndpointUnreached(text)
    if status == REFUSED_STATUS:
        error.__cause__ = ConnectionRefusedError(text)
    return error
