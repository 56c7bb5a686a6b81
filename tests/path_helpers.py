"""Paths from hosts to endpoints that can be cut."""

import asyncio
import enum
import weakref

from chervilshore.clients import connectors
from chervilshore.clients import sockets
from chervilshore import exceptions

KERNEL_TIMEOUT_SECONDS = sockets.TCP_USER_TIMEOUT_MS / 1000.0
"""Seconds after which the kernel ends a connection without replies."""


class Cut(enum.Enum):
    """What becomes of the connections of a host that is cut off."""

    HANG = "they and new ones hang"
    RESET = "they are reset, and new ones are refused"
    REFUSE = "they live on, and new ones are refused"


class CuttableConnector(connectors.DirectConnector):
    """Opens connections of one host, unless it is cut off.

    Attributes
    ----------
    tries : int
        Connections that were tried while the host was cut off.
    """

    def __init__(self):
        super().__init__()
        self.tries = 0
        self._cut = None
        self._open = weakref.WeakSet()

    async def open_transport(self, address, timeout_ms, make_protocol):
        if self._cut is not None:
            self.tries += 1
        if self._cut in (Cut.RESET, Cut.REFUSE):
            error = ConnectionRefusedError("cut off")
            raise exceptions.EndpointUnreached(address) from error
        if self._cut is not None:
            await asyncio.sleep(timeout_ms / 1000.0)
            raise exceptions.EndpointUnreached(address) from TimeoutError()
        transport, protocol = await super().open_transport(
            address, timeout_ms, make_protocol
        )
        self._open.add(transport)
        return transport, protocol

    def cut(self, kind):
        """Cut the host off from all endpoints."""
        self._cut = kind
        for transport in tuple(self._open):
            if kind is Cut.RESET:
                transport.abort()
            elif kind is Cut.HANG and not transport.is_closing():
                transport.pause_reading()
                transport.write = lambda data: None
                asyncio.get_running_loop().call_later(
                    KERNEL_TIMEOUT_SECONDS, transport.abort
                )

    def mend(self):
        """Give the host its paths back."""
        self._cut = None
