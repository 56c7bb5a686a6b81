"""Messages between entry hosts."""

import abc
import asyncio
from collections import abc as collections_abc
import typing

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
"""Takes a sender's address and a message; what it returns is the reply."""


class PeerTransport(abc.ABC):
    """Sends messages to other entry hosts and hands over what arrives.

    A message may be lost, late, doubled or out of order.
    """

    @property
    @abc.abstractmethod
    def address(self) -> ids.Address:
        """This host's own address."""

    @abc.abstractmethod
    def handle(self, kind: type, handler: Handler) -> None:
        """Name the function that takes the messages of one type."""

    @abc.abstractmethod
    def send(self, to: ids.Address, message: messages.Message) -> None:
        """Send a message without waiting for anything."""

    @abc.abstractmethod
    async def send_request(
        self, to: ids.Address, message: messages.Message, timeout_ms: float
    ) -> messages.Message:
        """Send a message and wait for the reply.

        Raises
        ------
        exceptions.PeerError
            No reply came in time.
        """

    def disconnect(self, address: ids.Address) -> None:
        """Drop the connection to a peer and what waits for it."""


class PendingRequests:
    """The questions of one host that wait for their replies.

    Parameters
    ----------
    clock : Clock
        Measures timeouts.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._waiting: dict[int, asyncio.Future] = {}
        self._number = 0

    async def send_request(
        self,
        to: ids.Address,
        carry: collections_abc.Callable[[int], None],
        timeout_ms: float,
    ) -> messages.Message:
        """Number a question, send it and wait for the reply.

        Parameters
        ----------
        to : Address
            Who is asked.
        carry : callable
            Sends the question under the number that it is given.
        timeout_ms : float
            Milliseconds to wait at most.

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
            carry(number)
            return await clocks.wait_for(self._clock, future, timeout_ms)
        except TimeoutError as error:
            raise exceptions.PeerError(f"{to}: {error}") from error
        finally:
            del self._waiting[number]

    def resolve(self, envelope: wire.Envelope) -> None:
        """Hand a reply to its question, if that still waits."""
        future = self._waiting.get(envelope.number)
        if future is not None and not future.done():
            future.set_result(envelope.body)
