"""Pools of idle HTTP/1.1 connections."""

import asyncio
from collections import abc as collections_abc
import enum
import functools

from chervilshore.clients import connections
from chervilshore.clients import connectors
from chervilshore.clients import keepalive
from chervilshore import clock as clocks
from chervilshore import exceptions
from chervilshore import ids

Check = collections_abc.Callable[[connections.ResponseHead, bytes], bool]


def accept(head: connections.ResponseHead, content: bytes) -> bool:
    """Accept any response; the default check of `ConnectionPool.fetch`."""
    return True


class Transfer:
    """How long the body of a response may take, as long as bytes arrive.

    Parameters
    ----------
    max_silence_ms : float
        Milliseconds without a byte, once it has begun, after which it is
        given up.
    max_ms : float
        Milliseconds after which it is given up although bytes arrive.

    Attributes
    ----------
    is_active : bool
        Whether the body is arriving.
    """

    def __init__(self, max_silence_ms: float, max_ms: float) -> None:
        self.is_active = False
        self._max_silence_seconds = max_silence_ms / clocks.MILLIS_PER_SECOND
        self._max_seconds = max_ms / clocks.MILLIS_PER_SECOND
        self._end = 0.0

    def extend(self, timeout: asyncio.Timeout) -> None:
        """Set the time-out of an exchange anew, as bytes have arrived."""
        now = asyncio.get_running_loop().time()
        if not self.is_active:
            self.is_active = True
            self._end = now + self._max_seconds
        timeout.reschedule(min(self._end, now + self._max_silence_seconds))


class Presence(enum.Enum):
    """What a look at an address has found."""

    LISTENS = "listens"
    REFUSED = "refused"
    UNREACHED = "unreached"
    LATE = "late"


class ConnectionPool:
    """Pool of idle connections, by address.

    Parameters
    ----------
    clock : Clock
        Measures idle times.
    connector : Connector or None
        Opens the connections; None for direct ones.

    Attributes
    ----------
    connect_ms : float
        Milliseconds to wait for a connection; may be changed at any time.
    opened : int
        Connections opened so far.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        connect_ms: float = 500.0,
        connector: connectors.Connector | None = None,
    ) -> None:
        self._clock = clock
        self._connector = connector or connectors.DirectConnector()
        self.connect_ms = connect_ms
        self._idle_by_address: dict[
            ids.Address, list[connections.Connection]
        ] = {}
        self.opened = 0

    async def acquire(
        self,
        address: ids.Address,
        max_idle_ms: float = keepalive.DEFAULT_IDLE_MS,
    ) -> connections.Connection:
        """Return an idle connection from the pool, or open a new one.

        The caller passes it to `release` after a complete exchange and
        closes it otherwise.

        Parameters
        ----------
        max_idle_ms : float
            Milliseconds after which an idle connection is not reused.

        Raises
        ------
        exceptions.EndpointUnreached
            No connection could be opened in time.
        """
        idle_connections = self._idle_by_address.get(address, [])
        now = self._clock.now()
        for connection in reversed(tuple(idle_connections)):
            idle_ms = now - connection.idle_since
            usable = (
                idle_ms <= min(max_idle_ms, connection.idle_ms)
                and connection.is_open()
                and self._connector.may_reuse(connection)
            )
            idle_connections.remove(connection)
            if usable:
                return connection
            connection.close()
        return await self._open(address)

    async def _open(self, address: ids.Address) -> connections.Connection:
        connection = await self._connector.connect(address, self.connect_ms)
        self.opened += 1
        return connection

    async def look(self, address: ids.Address, timeout_ms: float) -> Presence:
        """Find out whether something listens at an address.

        A connection that is opened for this is kept for later use. Without
        an answer in time it is not known whether something listens.
        """
        try:
            async with asyncio.timeout(timeout_ms / clocks.MILLIS_PER_SECOND):
                connection = await self._open(address)
        except exceptions.EndpointUnreached as error:
            if isinstance(error.__cause__, ConnectionRefusedError):
                return Presence.REFUSED
            return Presence.UNREACHED
        except TimeoutError:
            return Presence.LATE
        self._keep(address, connection)
        return Presence.LISTENS

    def release(
        self,
        address: ids.Address,
        connection: connections.Connection,
        head: connections.ResponseHead,
    ) -> None:
        """Return a connection after its exchange; close it if not reusable."""
        if not connection.prepare_reuse(head):
            connection.close()
            return
        self._keep(address, connection)

    def _keep(
        self, address: ids.Address, connection: connections.Connection
    ) -> None:
        connection.idle_since = self._clock.now()
        self._idle_by_address.setdefault(address, []).append(connection)

    async def fetch(
        self,
        address: ids.Address,
        request: connections.Request,
        timeout_ms: float,
        max_bytes: int = 1_000_000,
        check: Check = accept,
        single_use: bool = False,
        transfer: Transfer | None = None,
    ) -> tuple[connections.ResponseHead, bytes]:
        """Send a request and read the complete response.

        Parameters
        ----------
        timeout_ms : float
            Milliseconds for the exchange, without the time to connect.
        transfer : Transfer or None
            How long the body may take beside that; None for no longer.
        max_bytes : int
            Largest response body.
        check : callable
            Returns whether a response proves that it answers this request;
            if not, its connection is closed, as the answer may still come.
            Raises `EndpointBroken` for a response that answers another one.
        single_use : bool
            Whether the request gets a connection of its own, on which no
            older response can come.

        Returns
        -------
        tuple of ResponseHead and bytes
            The head and the body.

        Raises
        ------
        exceptions.EndpointUnreached
            No byte of the request was sent.
        exceptions.EndpointBroken
            The response was lost, incomplete, too large or too late.
        """
        connection = await (
            self._open(address) if single_use else self.acquire(address)
        )
        try:
            async with asyncio.timeout(timeout_ms / 1000.0) as timeout:
                connection.send(request)
                head = await connection.read_head()
                on_data = None
                if transfer is not None:
                    on_data = functools.partial(transfer.extend, timeout)
                content = await connection.read_whole_body(
                    head, max_bytes, on_data
                )
            may_keep = check(head, content) and not single_use
        except TimeoutError as error:
            received = connection.kept_bytes
            connection.close()
            raise exceptions.EndpointBroken(
                f"{address}: timeout after {received} bytes of the body"
            ) from error
        except BaseException:
            connection.close()
            raise
        if may_keep:
            self.release(address, connection, head)
        else:
            connection.close()
        return head, content

    def close_idle(self, address: ids.Address) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle_by_address.pop(address, []):
            connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle_by_address):
            self.close_idle(address)
