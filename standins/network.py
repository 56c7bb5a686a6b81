"""Stand-in of the network between entry hosts, which can be partitioned.

Each host's peers reach it through a relay on its advertised address. The
relay recognizes the sender's failure domain by its local IP address.
"""

import asyncio

from aiohttp import web
import msgspec

CHUNK_BYTES = 65536
"""Maximum number of bytes that are read and forwarded at a time."""


class HostRelay(msgspec.Struct):
    """Ports and address of one host's relay.

    Parameters
    ----------
    port : int
        The advertised port on loopback.
    target : int
        The port on which the host listens.
    number : str
        The local IP address of the host.
    """

    port: int
    target: int
    number: str


class RelayedNetwork:
    """Relays connections between hosts, except across a cut.

    Parameters
    ----------
    host_relays : list of HostRelay
        The relays, one for each host.
    """

    def __init__(self, host_relays: list[HostRelay]) -> None:
        self._host_relays = host_relays
        self._isolated: set[str] = set()
        self._open_connections: set[tuple[str, str, asyncio.StreamWriter]] = (
            set()
        )
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Listen on the advertised port of every host."""
        for host_relay in self._host_relays:
            await asyncio.start_server(
                self._make_relay(host_relay), "127.0.0.1", host_relay.port
            )

    def make_app(self) -> web.Application:
        """Return the server through which a cut is set."""
        app = web.Application()
        app.router.add_post("/standin/faults", self._set_isolated)
        return app

    async def _set_isolated(self, request: web.Request) -> web.Response:
        """Separate the hosts of some IP addresses from all others."""
        self._isolated = set((await request.json())["cut"])
        # Bytes dropped during a cut leave a gap in their streams, so
        # connections open when a cut begins or ends are aborted.
        for _, _, writer in tuple(self._open_connections):
            writer.transport.abort()
        return web.json_response({})

    def _is_separated(self, source: str, target: str) -> bool:
        return (source in self._isolated) != (target in self._isolated)

    def _make_relay(self, host_relay: HostRelay):
        async def relay(reader, writer) -> None:
            source = writer.get_extra_info("peername")[0]
            try:
                await self._relay_connection(
                    source, host_relay, reader, writer
                )
            except OSError:
                pass
            finally:
                writer.transport.abort()

        return relay

    async def _relay_connection(
        self, source, host_relay, reader, writer
    ) -> None:
        target_reader, target_writer = await asyncio.open_connection(
            "127.0.0.1", host_relay.target
        )
        entries = {
            (source, host_relay.number, writer),
            (source, host_relay.number, target_writer),
        }
        self._open_connections |= entries
        try:
            await asyncio.gather(
                self._copy(source, host_relay.number, reader, target_writer),
                self._copy(source, host_relay.number, target_reader, writer),
            )
        finally:
            self._open_connections -= entries
            target_writer.transport.abort()

    async def _copy(self, source, target, reader, writer) -> None:
        while data := await reader.read(CHUNK_BYTES):
            if self._is_separated(source, target):
                continue
            writer.write(data)
            await writer.drain()
        writer.transport.abort()
