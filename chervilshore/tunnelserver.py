"""Relays connections of peers to endpoints (HTTP CONNECT)."""

import asyncio
import logging

import mode

from chervilshore.clients import connectors
from chervilshore.clients import sockets
from chervilshore.controllers import directory as directories
from chervilshore import events
from chervilshore import exceptions
from chervilshore import ids
from chervilshore import metrics as metric_types

MAX_TUNNELS = 400
"""Tunnels at a time; each needs two file descriptors."""

HEAD_SECONDS = 1.0
"""Seconds that a peer has to send its request."""

MAX_HEAD_BYTES = 4096
"""Largest request of a peer."""

LEFT_CHECK_SECONDS = 0.1
"""Seconds between two checks whether a peer has left whose bytes the endpoint
does not take."""

_REASONS = {
    200: "Connection Established",
    400: "Bad Request",
    403: "Forbidden",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}

_LOGGER = logging.getLogger(__name__)


class TunnelServer(mode.Service):
    """Connects peers to listed endpoints that they do not reach themselves.

    It always connects directly, so that a connection passes one peer at most.

    Parameters
    ----------
    address : Address
        Where it listens.
    directory : Directory
        Lists the peers and the endpoints.
    connector : DirectConnector
        Opens connections to endpoints.
    metrics : Metrics
        Counts the tunnels.

    Attributes
    ----------
    closed : bool
        Whether new tunnels are refused.
    connect_ms : float
        Milliseconds to wait for a connection to an endpoint; may be changed
        at any time.
    """

    def __init__(
        self,
        address: ids.Address,
        directory: directories.Directory,
        connector: connectors.DirectConnector,
        metrics: metric_types.Metrics,
        connect_ms: float,
    ) -> None:
        super().__init__()
        self.closed = False
        self.connect_ms = connect_ms
        self._address = address
        self._directory = directory
        self._connector = connector
        self._metrics = metrics
        self._server: asyncio.Server | None = None
        self._peer_ends: set[_PeerEnd] = set()
        self._openings: set[asyncio.Task] = set()
        self._idle = asyncio.Event()
        self._idle.set()

    async def on_start(self) -> None:
        """Listen, if there is an address for it."""
        if not self._address:
            return
        host, _, port = self._address.rpartition(":")
        self._server = await asyncio.get_running_loop().create_server(
            lambda: _PeerEnd(self), host, int(port)
        )

    async def on_stop(self) -> None:
        """Close all tunnels."""
        if self._server is not None:
            self._server.close()
        for end in tuple(self._peer_ends):
            end.reset()

    async def wait_idle(self) -> None:
        """Wait until no tunnel is open."""
        await self._idle.wait()

    def add(self, end: "_PeerEnd") -> None:
        """Count the connection of a peer."""
        self._peer_ends.add(end)
        self._idle.clear()

    def remove(self, end: "_PeerEnd") -> None:
        """Forget the connection of a peer."""
        self._peer_ends.discard(end)
        if not self._peer_ends:
            self._idle.set()

    def start_opening(self, end: "_PeerEnd", head: str) -> None:
        """Connect a peer to the endpoint that it names."""
        task = asyncio.ensure_future(self._open(end, head))
        self._openings.add(task)
        task.add_done_callback(self._openings.discard)

    async def _open(self, end: "_PeerEnd", head: str) -> None:
        method, _, rest = head.partition(" ")
        address = ids.Address(rest.partition(" ")[0])
        source, port = end.transport.get_extra_info("peername")[:2]
        status = self._check(method, address, source)
        endpoint = None
        if status == 200:
            try:
                _, endpoint = await self._connector.open_transport(
                    address, self.connect_ms, lambda: _EndpointEnd(end)
                )
            except exceptions.EndpointUnreached as error:
                refused = isinstance(error.__cause__, ConnectionRefusedError)
                status = 502 if refused else 504
        if endpoint is not None:
            self._metrics.count(metric_types.Metric.RELAYED, "relayed")
        events.log_event(
            _LOGGER,
            events.Event.TUNNEL_REFUSED
            if endpoint is None
            else events.Event.TUNNEL_OPENED,
            tunnel=f"{source}:{port}",
            address=address,
            status=status,
        )
        end.answer(status, endpoint)

    def _check(self, method: str, address: ids.Address, source: str) -> int:
        if method != "CONNECT":
            return 400
        hosts = {
            host.peer_address.rpartition(":")[0]
            for host in self._directory.hosts()
        }
        if source not in hosts or not self._directory.has_address(address):
            return 403
        if self.closed or len(self._peer_ends) > MAX_TUNNELS:
            return 503
        return 200


class _End(asyncio.Protocol):
    """One of the two connections of a tunnel.

    Each one writes what it receives to the other at once, and stops reading
    while the other cannot write.
    """

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.other: _End | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport and set TCP timeouts."""
        self.transport = transport
        sockets.set_tcp_options(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        """Write to the other connection."""
        self.other.transport.write(data)

    def pause_writing(self) -> None:
        """Stop reading from the other connection."""
        if self.other is not None:
            self.other.transport.pause_reading()

    def resume_writing(self) -> None:
        """Read from the other connection again."""
        if self.other is not None:
            self.other.transport.resume_reading()


class _PeerEnd(_End):
    """The connection of a peer, which names the endpoint first.

    Parameters
    ----------
    server : TunnelServer
        Connects it to the endpoint.
    """

    def __init__(self, server: TunnelServer) -> None:
        super().__init__()
        self._server = server
        self._head = b""
        self._endpoint_has_ended = False
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Wait for the head of the request for a limited time."""
        super().connection_made(transport)
        self._server.add(self)
        self._timer = asyncio.get_running_loop().call_later(
            HEAD_SECONDS, transport.abort
        )

    def data_received(self, data: bytes) -> None:
        """Read the head of the request, then pass everything on."""
        if self.other is not None:
            super().data_received(data)
            return
        self._head += data
        if self._head.endswith(b"\r\n\r\n"):
            self._timer.cancel()
            self.transport.pause_reading()
            self._server.start_opening(self, self._head.decode("latin-1"))
        elif len(self._head) > MAX_HEAD_BYTES:
            self.transport.abort()

    def answer(self, status: int, endpoint: "_EndpointEnd | None") -> None:
        """Tell the peer whether it is connected."""
        if self.transport.is_closing():
            if endpoint is not None:
                sockets.abort_transport(endpoint.transport)
            return
        line = f"HTTP/1.1 {status} {_REASONS[status]}\r\n\r\n"
        self.transport.write(line.encode())
        if endpoint is None:
            self.transport.close()
            return
        self.other = endpoint
        # Whether a response without a length is complete depends on how its
        # connection ends.
        sockets.set_reset_at_close(self.transport, True)
        self.transport.resume_reading()
        endpoint.start()

    def finish(self) -> None:
        """Close the connection in order, once everything is written."""
        self._endpoint_has_ended = True
        self.transport.close()

    def reset(self) -> None:
        """Reset the connection."""
        self._endpoint_has_ended = False
        self.transport.abort()

    def has_left(self) -> bool:
        """Return whether the peer has ended the connection.

        The event loop does not tell while nothing is read from it.
        """
        sock = self.transport.get_extra_info("socket")
        return not sockets.is_established(sock)

    def connection_lost(self, error: Exception | None) -> None:
        """End the connection to the endpoint, which cancels its work."""
        if self._endpoint_has_ended:
            # Everything has been written, and the socket is still open.
            sockets.set_reset_at_close(self.transport, False)
        self._timer.cancel()
        self._server.remove(self)
        if self.other is not None:
            sockets.abort_transport(self.other.transport)


class _EndpointEnd(_End):
    """The connection to an endpoint.

    Parameters
    ----------
    peer : _PeerEnd
        The connection of the peer.
    """

    def __init__(self, peer: _PeerEnd) -> None:
        super().__init__()
        self.other = peer
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Wait with reading until the peer knows that it is connected."""
        super().connection_made(transport)
        transport.pause_reading()

    def start(self) -> None:
        """Read what the endpoint sends."""
        self.transport.resume_reading()

    def pause_writing(self) -> None:
        """Stop reading from the peer, but notice when it leaves."""
        super().pause_writing()
        self._timer = asyncio.get_running_loop().call_later(
            LEFT_CHECK_SECONDS, self._check_peer
        )

    def resume_writing(self) -> None:
        """Read from the peer again."""
        self._cancel_timer()
        super().resume_writing()

    def _check_peer(self) -> None:
        if self.other.has_left():
            self.other.reset()
            return
        self._timer = asyncio.get_running_loop().call_later(
            LEFT_CHECK_SECONDS, self._check_peer
        )

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def connection_lost(self, error: Exception | None) -> None:
        """End the connection of the peer in the same way."""
        self._cancel_timer()
        if error is None:
            self.other.finish()
        else:
            self.other.transport.close()
