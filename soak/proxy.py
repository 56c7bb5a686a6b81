"""A loopback TCP proxy that delays, slows, resets or silences connections."""

import asyncio
import enum
import random

READ_BYTES = 65_536
"""Maximum number of bytes that are read and forwarded at a time."""


class Mode(enum.Enum):
    """What a proxy does with connections and their bytes.

    ``DELAY`` holds bytes back, ``RESET`` aborts connections, ``SILENT``
    drops all bytes, and ``ONE_WAY`` drops the bytes from the target.
    ``JITTER`` holds each chunk back for a time of its own, so that what is
    sent on different connections changes its order. ``LATE`` passes a part
    of a chunk on and holds back the rest, and ``SLOW`` limits the rate.
    """

    PASS = "pass"
    DELAY = "delay"
    RESET = "reset"
    SILENT = "silent"
    ONE_WAY = "one way"
    JITTER = "jitter"
    LATE = "late"
    SLOW = "slow"


LOSSLESS_MODES = (Mode.DELAY, Mode.JITTER, Mode.LATE, Mode.SLOW)
"""Modes in which every byte arrives, so that connections can go on."""

MAX_JITTER_SECONDS = 0.3
"""Longest time for which a chunk is held back in mode ``JITTER``."""

MAX_LATE_SECONDS = 0.6
"""Longest time for which the rest of a chunk is held back in mode ``LATE``."""

SLOW_CHUNK_BYTES = 100
SLOW_CHUNK_SECONDS = 0.02
"""Bytes that pass in mode ``SLOW``, and the time after which more do."""


class Proxy:
    """Forwards connections to an address.

    Parameters
    ----------
    target : str
        The address, as ``host:port``.
    seed : str
        Seed of the times for which bytes are held back.

    Attributes
    ----------
    mode : Mode
        What happens with connections now; a reset aborts the open
        connections once and refuses all new ones.
    delay_seconds : float
        Seconds for which bytes are held back in mode ``DELAY``.
    source_modes : dict of str to Mode
        What happens with connections from some IP addresses instead.
    """

    def __init__(self, target: str, seed: str = "") -> None:
        self._random = random.Random(seed)
        self.mode = Mode.PASS
        self.delay_seconds = 0.2
        self.source_modes: dict[str, Mode] = {}
        self.address = ""
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: dict[asyncio.StreamWriter, str] = {}
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> str:
        """Listen; return the address as ``host:port``."""
        self._server = await asyncio.start_server(
            self._handle_connection, "127.0.0.1", 0
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self.address

    def set_mode(self, mode: Mode) -> None:
        """Change the mode."""
        self.mode = mode
        if mode is Mode.RESET:
            self.cut()

    def set_source_mode(self, source_ip: str, mode: Mode) -> None:
        """Change the mode for connections from one IP address."""
        self.source_modes[source_ip] = mode
        if mode is Mode.RESET:
            self.cut(source_ip)

    def mend_source(self, source_ip: str) -> None:
        """End a mode for one IP address, and its connections."""
        self.source_modes.pop(source_ip, None)
        self.cut(source_ip)

    def cut(self, source_ip: str = "") -> None:
        """Abort every open connection, or those from one IP address."""
        for writer, source in tuple(self._writers.items()):
            if source_ip in ("", source):
                writer.transport.abort()

    async def stop(self) -> None:
        """Stop listening and abort every connection."""
        self._server.close()
        self.cut()
        for task in tuple(self._tasks):
            task.cancel()

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        source = writer.get_extra_info("peername")[0]
        if self._mode_of(source) is Mode.RESET:
            writer.transport.abort()
            return
        self._writers[writer] = source
        self._tasks.add(asyncio.current_task())
        target_writer = None
        try:
            host, _, port = self._target.rpartition(":")
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
            self._writers[target_writer] = source
            await asyncio.gather(
                self._copy(reader, target_writer, source, forward=True),
                self._copy(target_reader, writer, source, forward=False),
            )
        except asyncio.CancelledError:
            # The proxy stops and aborts its connections.
            writer.transport.abort()
        except OSError:
            # The target refused or broke the connection; abort the caller's.
            writer.transport.abort()
        finally:
            self._tasks.discard(asyncio.current_task())
            for connection_writer in (writer, target_writer):
                if connection_writer is not None:
                    self._writers.pop(connection_writer, None)
                    connection_writer.close()

    def _mode_of(self, source_ip: str) -> Mode:
        return self.source_modes.get(source_ip, self.mode)

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        source_ip: str,
        forward: bool,
    ) -> None:
        while True:
            try:
                data = await reader.read(READ_BYTES)
            except ConnectionError:
                writer.transport.abort()
                return
            if not data:
                if writer.can_write_eof():
                    writer.write_eof()
                return
            mode = self._mode_of(source_ip)
            if mode is Mode.SILENT:
                continue
            if mode is Mode.ONE_WAY and not forward:
                continue
            if mode in LOSSLESS_MODES:
                data = await self._hold(source_ip, data, writer)
            writer.write(data)
            await writer.drain()

    async def _hold(
        self, source_ip: str, data: bytes, writer: asyncio.StreamWriter
    ) -> bytes:
        """Hold data back, or a part of it; return what is left to write."""
        mode = self._mode_of(source_ip)
        if mode is Mode.DELAY:
            await asyncio.sleep(self.delay_seconds)
        elif mode is Mode.JITTER:
            await asyncio.sleep(self._random.uniform(0.0, MAX_JITTER_SECONDS))
        elif mode is Mode.LATE:
            middle = self._random.randrange(len(data))
            writer.write(data[:middle])
            data = data[middle:]
            await asyncio.sleep(self._random.uniform(0.0, MAX_LATE_SECONDS))
        while mode is Mode.SLOW and len(data) > SLOW_CHUNK_BYTES:
            writer.write(data[:SLOW_CHUNK_BYTES])
            data = data[SLOW_CHUNK_BYTES:]
            await asyncio.sleep(SLOW_CHUNK_SECONDS)
            mode = self._mode_of(source_ip)
        return data
