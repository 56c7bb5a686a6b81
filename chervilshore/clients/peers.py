"""Messages between entry hosts."""

import abc
from collections import abc as collections_abc
import typing

from chervilshore import ids
from chervilshore import messages

Handler = collections_abc.Callable[
    [ids.Address, typing.Any],
    messages.Message
    | None
    | collections_abc.Awaitable[messages.Message | None],
]
"""Takes a sender's address and a message; what it returns is the reply."""


class Peers(abc.ABC):
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
    async def ask(
        self, to: ids.Address, message: messages.Message, timeout_ms: float
    ) -> messages.Message:
        """Send a message and wait for the reply.

        Raises
        ------
        exceptions.PeerError
            No reply came in time.
        """
