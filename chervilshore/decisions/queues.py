"""The order in which waiting stages get slots."""

import abc
from collections import abc as collections_abc

import msgspec

from chervilshore.decisions import routing


class Ticket(msgspec.Struct, eq=False):
    """A stage of a request that waits for a slot.

    Parameters
    ----------
    number : int
        Unique on this host; lower came earlier.
    need : StageRequirements
        What the stage asks.
    since : float
        The moment in milliseconds at which it began to wait.
    """

    number: int
    requirements: routing.StageRequirements
    since: float


class WaitQueue(abc.ABC):
    """Stages of one pool that wait on one host."""

    @abc.abstractmethod
    def __len__(self) -> int:
        """Count the waiting tickets."""

    @abc.abstractmethod
    def push(self, ticket: Ticket, now: float) -> None:
        """Add a ticket."""

    @abc.abstractmethod
    def pop(
        self,
        now: float,
        eligible: collections_abc.Callable[[Ticket], bool],
    ) -> Ticket | None:
        """Take the next ticket that is eligible.

        Parameters
        ----------
        now : float
            The time in milliseconds.
        eligible : callable
            Tells whether a ticket may use the slot at hand.
        """

    @abc.abstractmethod
    def remove(self, ticket: Ticket) -> None:
        """Drop a ticket; one that is not there is passed over."""

    def expire(self, now: float) -> list[Ticket]:
        """Drop the tickets that cannot make their deadline any more.

        Parameters
        ----------
        now : float
            The time in milliseconds.

        Returns
        -------
        list of Ticket
            What was dropped since the last call, so that it can be
            refused at once; the baseline drops nothing.
        """
        return []


class FifoQueue(WaitQueue):
    """The baseline: first come, first served."""

    def __init__(self) -> None:
        self._tickets: dict[int, Ticket] = {}

    def __len__(self) -> int:
        """Count the waiting tickets."""
        return len(self._tickets)

    def push(self, ticket: Ticket, now: float) -> None:
        """Add a ticket; see `WaitQueue.push`."""
        self._tickets[ticket.number] = ticket

    def pop(
        self,
        now: float,
        eligible: collections_abc.Callable[[Ticket], bool],
    ) -> Ticket | None:
        """Take the next ticket; see `WaitQueue.pop`."""
        for ticket in self._tickets.values():
            if eligible(ticket):
                del self._tickets[ticket.number]
                return ticket
        return None

    def remove(self, ticket: Ticket) -> None:
        """Drop a ticket; see `WaitQueue.remove`."""
        self._tickets.pop(ticket.number, None)
