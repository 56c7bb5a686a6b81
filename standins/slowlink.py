"""A loopback TCP relay whose connections share a small bandwidth."""

import asyncio

CHUNK_BYTES = 8192
"""Bytes that are forwarded at once."""


class SlowLink:
    """Forwards connections to an address, which they share.

    Parameters
    ----------
    target : str
        The address, as ``host:port``.
    bytes_per_second : int
        Bytes a second that all connections together receive from it, and as
        many that they send to it.

    Attributes
    ----------
    received : int
        Bytes received from the target so far.
    is_silent : bool
        Whether bytes from the target are held back.
    """

    def __init__(self, target: str, bytes_per_second: int) -> None:
        self.received = 0
        self.is_silent = False
        self._target = target
        self._bytes_per_second = bytes_per_second
        self._receiving = asyncio.Lock()
        self._sending = asyncio.Lock()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> str:
        """Listen; return the address as ``host:port``."""
        self._server = await asyncio.start_server(
            self._relay, "127.0.0.1", 0, limit=CHUNK_BYTES
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def stop(self) -> None:
        """Stop listening and abort every connection."""
        self._server.close()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self._target.rpartition(":")
        target_reader, target_writer = await asyncio.open_connection(
            host, int(port), limit=CHUNK_BYTES
        )
        task = asyncio.current_task()
        self._tasks.add(task)
        up = asyncio.ensure_future(self._send(reader, target_writer))
        try:
            await self._receive(target_reader, writer)
        except (ConnectionError, asyncio.CancelledError):
            # One side has ended, or the link stops; so does the other side.
            pass
        finally:
            up.cancel()
            writer.transport.abort()
            target_writer.transport.abort()
            self._tasks.discard(task)

    async def _send(
        self, reader: asyncio.StreamReader, target: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            async with self._sending:
                await asyncio.sleep(len(data) / self._bytes_per_second)
            target.write(data)
        target.transport.abort()

    async def _receive(
        self, target: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await target.read(CHUNK_BYTES):
            async with self._receiving:
                while self.is_silent:
                    await asyncio.sleep(0.01)
                await asyncio.sleep(len(data) / self._bytes_per_second)
            if writer.transport.is_closing():
                return
            self.received += len(data)
            writer.write(data)
            await writer.drain()
