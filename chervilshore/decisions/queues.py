"""Queues of the stages of requests that wait for slots."""

import abc
from collections import abc as collections_abc

import msgspec

from chervilshore.decisions import routing


class Ticket(msgspec.Struct, eq=False):
    """A stage of a request that waits for a slot.

    Parameters
    ----------
    number : int
        Unique on this host; a lower one came earlier.
    requirements : StageRequirements
        What the stage requires of an endpoint.
    since : float
        The time at which it began to wait, in milliseconds.
    """

    number: int
    requirements: routing.StageRequirements
    since: float


class WaitQueue(abc.ABC):
    """The stages that wait on one host for slots of one pool."""

    @abc.abstractmethod
    def __len__(self) -> int:
        """Return the number of waiting tickets."""

    @abc.abstractmethod
    def push(self, ticket: Ticket, now: float) -> None:
        """Add a ticket."""

    @abc.abstractmethod
    def pop(
        self,
        now: float,
        eligible: collections_abc.Callable[[Ticket], bool],
    ) -> Ticket | None:
        """Remove and return the next eligible ticket; None if there is none.

        Parameters
        ----------
        now : float
            The time in milliseconds.
        eligible : callable
            Returns whether a ticket may use the slot that is free.
        """

    @abc.abstractmethod
    def remove(self, ticket: Ticket) -> None:
        """Remove a ticket if it is in the queue."""

    def expire(self, now: float) -> list[Ticket]:
        """Remove the tickets that cannot meet their deadline any more.

        Returns those removed since the last call, so that they can be
        refused immediately. The baseline removes none.
        """
        return []


class FifoQueue(WaitQueue):
    """The baseline: first in, first out."""

    def __init__(self) -> None:
        self._tickets: dict[int, Ticket] = {}

    def __len__(self) -> int:
        """Return the number of waiting tickets."""
        return len(self._tickets)

    def push(self, ticket: Ticket, now: float) -> None:
        """Add a ticket; see `WaitQueue.push`."""
        self._tickets[ticket.number] = ticket

    def pop(
        self,
        now: float,
        eligible: collections_abc.Callable[[Ticket], bool],
    ) -> Ticket | None:
        """Remove the next ticket; see `WaitQueue.pop`."""
        for ticket in self._tickets.values():
            if eligible(ticket):
                del self._tickets[ticket.number]
                return ticket
        return None

    def remove(self, ticket: Ticket) -> None:
        """Remove a ticket; see `WaitQueue.remove`."""
        self._tickets.pop(ticket.number, None)
