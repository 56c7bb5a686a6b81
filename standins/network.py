"""The stand-in of the network between entry hosts, which can be cut.

Each host's peers reach it through a relay on its advertised address. The
relay tells the sender's failure domain by its local IP number.
"""

import asyncio

from aiohttp import web
import msgspec

CHUNK_BYTES = 65536


class HostRelay(msgspec.Struct):
    """One host's relay.

    Parameters
    ----------
    port : int
        The advertised port on loopback.
    target : int
        The port on which the host listens.
    number : str
        The local IP number of the host.
    """

    port: int
    target: int
    number: str


class RelayedNetwork:
    """Relays between hosts, and the pairs that are cut off.

    Parameters
    ----------
    lines : list of HostRelay
        The hosts.
    """

    def __init__(self, lines: list[HostRelay]) -> None:
        self._lines = lines
        self._cut: set[str] = set()
        self._open: set[tuple[str, str, asyncio.StreamWriter]] = set()
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Listen for every host."""
        for line in self._lines:
            await asyncio.start_server(
                self._make_relay(line), "127.0.0.1", line.port
            )

    def make_app(self) -> web.Application:
        """Make the server of the knob."""
        app = web.Application()
        app.router.add_post("/standin/faults", self._set_cut)
        return app

    async def _set_cut(self, request: web.Request) -> web.Response:
        """Cut off some IP numbers from all others."""
        self._cut = set((await request.json())["cut"])
        # Bytes that were held back are lost, so what was open when the
        # cut began or ended can't go on.
        for _, _, writer in tuple(self._open):
            writer.transport.abort()
        return web.json_response({})

    def _is_cut(self, one: str, other: str) -> bool:
        return (one in self._cut) != (other in self._cut)

    def _make_relay(self, line: HostRelay):
        async def relay(reader, writer) -> None:
            source = writer.get_extra_info("peername")[0]
            try:
                await self._join(source, line, reader, writer)
            except OSError:
                pass
            finally:
                writer.transport.abort()

        return relay

    async def _join(self, source, line, reader, writer) -> None:
        there, back = await asyncio.open_connection("127.0.0.1", line.target)
        entries = {
            (source, line.number, writer),
            (source, line.number, back),
        }
        self._open |= entries
        try:
            await asyncio.gather(
                self._copy(source, line.number, reader, back),
                self._copy(source, line.number, there, writer),
            )
        finally:
            self._open -= entries
            back.transport.abort()

    async def _copy(self, one, other, reader, writer) -> None:
        while data := await reader.read(CHUNK_BYTES):
            if self._is_cut(one, other):
                continue
            writer.write(data)
            await writer.drain()
        writer.transport.abort()
