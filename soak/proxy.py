"""A loopback proxy that delays, resets, cuts or silences connections."""

import asyncio
import enum

READ_BYTES = 65_536


class Mode(enum.Enum):
    """What a proxy does to what passes it."""

    PASS = "pass"
    DELAY = "delay"
    RESET = "reset"
    SILENT = "silent"
    ONE_WAY = "one way"


class Proxy:
    """Passes connections on to an address.

    Parameters
    ----------
    target : str
        Where to.

    Attributes
    ----------
    mode : Mode
        What happens to what passes; reset hits open connections once, and
        all new ones.
    delay_seconds : float
        How long bytes are held back in the mode for delays.
    """

    def __init__(self, target: str) -> None:
        self.mode = Mode.PASS
        self.delay_seconds = 0.2
        self.address = ""
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> str:
        """Listen; return the address."""
        self._server = await asyncio.start_server(self._take, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self.address

    def set_mode(self, mode: Mode) -> None:
        """Begin to behave in a way."""
        self.mode = mode
        if mode is Mode.RESET:
            for writer in tuple(self._writers):
                writer.transport.abort()

    def cut(self) -> None:
        """Cut every open connection."""
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def stop(self) -> None:
        """Stop listening and cut every connection."""
        self._server.close()
        self.cut()
        for task in tuple(self._tasks):
            task.cancel()

    async def _take(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode is Mode.RESET:
            writer.transport.abort()
            return
        self._writers.add(writer)
        self._tasks.add(asyncio.current_task())
        other = None
        try:
            host, _, port = self._target.rpartition(":")
            far, other = await asyncio.open_connection(host, int(port))
            self._writers.add(other)
            await asyncio.gather(
                self._pump(reader, other, forward=True),
                self._pump(far, writer, forward=False),
            )
        except asyncio.CancelledError:
            # The proxy stops, and its connections with it.
            writer.transport.abort()
        except OSError:
            # What the target refused, its caller is refused too.
            writer.transport.abort()
        finally:
            self._tasks.discard(asyncio.current_task())
            for one in (writer, other):
                if one is not None:
                    self._writers.discard(one)
                    one.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
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
            if self.mode is Mode.DELAY:
                await asyncio.sleep(self.delay_seconds)
            if self.mode is Mode.SILENT:
                continue
            if self.mode is Mode.ONE_WAY and not forward:
                continue
            writer.write(data)
            await writer.drain()
