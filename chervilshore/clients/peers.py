"""Interface for messages between entry hosts."""

import abc
import asyncio
from collections import abc as collections_abc
import typing

import msgspec

from chervilshore import clock as clocks
from chervilshore import exceptions
from chervilshore import ids
from chervilshore import messages
from chervilshore import wire

Handler = collections_abc.Callable[
    [ids.Address, typing.Any],
    messages.Message
    | None
    | collections_abc.Awaitable[messages.Message | None],
]
"""Gets the sender's address and a message; returns the reply or None."""


class PeerCounts(msgspec.Struct):
    """Traffic counts of one host.

    Parameters
    ----------
    sent, received : int
        Messages.
    sent_bytes, received_bytes : int
        Bytes of messages, without the overhead of the transport.
    dropped : int
        Messages dropped at a full queue or a limit, or after the stop.
    garbage : int
        Invalid messages and failed handshakes.
    """

    sent: int = 0
    received: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0
    dropped: int = 0
    garbage: int = 0


class PeerTransport(abc.ABC):
    """Sends messages to other entry hosts and dispatches received ones.

    Messages may be lost, delayed, duplicated or reordered.
    """

    @property
    @abc.abstractmethod
    def address(self) -> ids.Address:
        """This host's own address."""

    @abc.abstractmethod
    def handle(self, kind: type, handler: Handler) -> None:
        """Register the handler for messages of one type."""

    @abc.abstractmethod
    def send(self, to: ids.Address, message: messages.Message) -> None:
        """Send a message without a reply; it may be lost silently."""

    @abc.abstractmethod
    async def send_request(
        self, to: ids.Address, message: messages.Message, timeout_ms: float
    ) -> messages.Message:
        """Send a request and wait for the reply.

        Raises
        ------
        exceptions.PeerError
            No reply came in time.
        """

    def disconnect(self, address: ids.Address) -> None:
        """Close the connection to a peer and discard queued messages."""


class PendingRequests:
    """The requests of one host that wait for their replies."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._waiting: dict[int, asyncio.Future] = {}
        self._number = 0

    async def send_request(
        self,
        to: ids.Address,
        send_numbered: collections_abc.Callable[[int], None],
        timeout_ms: float,
    ) -> messages.Message:
        """Number a request, send it and wait for the reply.

        Parameters
        ----------
        to : Address
            Receiver of the request.
        send_numbered : callable
            Sends the request under the number that it gets.
        timeout_ms : float
            Milliseconds to wait for the reply.

        Raises
        ------
        exceptions.PeerError
            No reply came in time.
        """
        self._number += 1
        number = self._number
        future = asyncio.get_running_loop().create_future()
        self._waiting[number] = future
        try:
            send_numbered(number)
            return await clocks.wait_for(self._clock, future, timeout_ms)
        except TimeoutError as error:
            raise exceptions.PeerError(f"{to}: {error}") from error
        finally:
            del self._waiting[number]

    def resolve(self, envelope: wire.Envelope) -> None:
        """Pass a reply to the request that waits for it, if one still does."""
        future = self._waiting.get(envelope.number)
        if future is not None and not future.done():
            future.set_result(envelope.body)
