"""Opens connections to endpoints."""

import abc
import asyncio
from collections import abc as collections_abc
import logging

from chervilshore.clients import connections
from chervilshore.clients import receiving
from chervilshore.clients import sockets
from chervilshore import events
from chervilshore import exceptions
from chervilshore import ids

_LOGGER = logging.getLogger(__name__)


class Connector(abc.ABC):
    """Opens connections."""

    @abc.abstractmethod
    async def connect(
        self, address: ids.Address, timeout_ms: float
    ) -> connections.Connection:
        """Open a connection.

        Raises
        ------
        exceptions.EndpointUnreached
            No connection could be opened in time. It is caused by a
            `ConnectionRefusedError` if nothing listens at the address.
        """

    def may_reuse(self, connection: connections.Connection) -> bool:
        """Return whether another request may use an idle connection."""
        return True


class DirectConnector(Connector):
    """Opens connections from this host to the address.

    Parameters
    ----------
    source_ip : str
        The local IP address from which it connects; empty for any.
    pool : ReceivePool
        Bounds what its connections hold together.
    """

    def __init__(
        self,
        source_ip: str = "",
        pool: receiving.ReceivePool = receiving.ENDPOINTS,
    ) -> None:
        self._source = (source_ip, 0) if source_ip else None
        self._pool = pool

    async def connect(
        self, address: ids.Address, timeout_ms: float
    ) -> connections.Connection:
        """Open a connection; see `Connector.connect`."""
        _, connection = await self.open_transport(
            address, timeout_ms, lambda: connections.Connection(self._pool)
        )
        return connection

    async def open_transport(
        self,
        address: ids.Address,
        timeout_ms: float,
        make_protocol: collections_abc.Callable[[], asyncio.Protocol],
    ) -> tuple[asyncio.Transport, asyncio.Protocol]:
        """Open a connection for any protocol; see `Connector.connect`."""
        host, _, port = address.rpartition(":")
        try:
            sock = await sockets.connect(
                host, int(port), self._source, timeout_ms
            )
            return await asyncio.get_running_loop().create_connection(
                make_protocol, sock=sock
            )
        except (OSError, OverflowError, ValueError) as error:
            events.log_event(
                _LOGGER,
                events.Event.CONNECTION_FAILED,
                address=address,
                error=f"{type(error).__name__} {error}",
            )
            raise exceptions.EndpointUnreached(
                f"{address}: {type(error).__name__} {error}"
            ) from error
