"""How much of the responses that arrive a process may hold at once.

Each response has a bound of its own, and many at once would still fill the
memory. The sum is bounded here: a response that would exceed it waits until
others have ended. The largest one can be read to its bound, so that they do
not wait for each other.
"""

import msgspec

FLOOR_BYTES = 16_384
"""Bytes that any response may hold beside the budget, so that short ones never
wait; larger than what most responses of plain services have."""

READ_BYTES = 65_536
"""Bytes that are read from a connection at once."""


END_BYTES = 1024
"""Bytes that may end a response of the largest size, or prove it larger."""


class Holding(msgspec.Struct, eq=False):
    """What is held of one response.

    Parameters
    ----------
    limit : int
        Bytes at which it is cut, or as many as it has said that it has.
    held : int
        Bytes held now.
    is_declared : bool
        Whether it has said how long it is.
    is_complete : bool
        Whether all of it has arrived, and is only kept until it is sent on.
    """

    limit: int
    held: int = 0
    is_declared: bool = False
    is_complete: bool = False

    @property
    def charged(self) -> int:
        """Bytes that count against the budget."""
        return max(0, self.held - FLOOR_BYTES)

    @property
    def remaining(self) -> int:
        """Bytes after which it has ended, or is cut."""
        return max(0, self.limit - self.held)


class ReceiveBudget:
    """The sum of what is held, and which response may grow.

    Parameters
    ----------
    total : int
        Bytes that all responses together may hold beside their floors.
    """

    def __init__(self, total: int) -> None:
        self.total = total
        self.charged = 0
        self._holdings: set[Holding] = set()
        self._largest: Holding | None = None

    def open(self, limit: int) -> Holding:
        """Begin to hold a response of at most `limit` bytes."""
        holding = Holding(limit)
        self._holdings.add(holding)
        return holding

    def update(self, holding: Holding, held: int) -> None:
        """Set how many bytes of a response are held."""
        before = holding.charged
        holding.held = held
        self.charged += holding.charged - before
        if holding is self._largest or (
            self._largest is not None and held > self._largest.held
        ):
            self._largest = None

    def complete(self, holding: Holding, held: int) -> None:
        """Record that a response has arrived and is kept for its caller."""
        holding.is_complete = True
        self.update(holding, held)

    def close(self, holding: Holding) -> None:
        """Hold nothing of a response any more."""
        if holding in self._holdings:
            self.update(holding, 0)
            self._holdings.discard(holding)
            self._largest = None

    def allow(self, holding: Holding) -> int:
        """Return how many bytes of a response may be read now.

        What stays free must suffice for the largest one to reach its end,
        which gives back most.
        """
        size = min(READ_BYTES, holding.remaining)
        free = self.total - self.charged - size
        needed = holding.remaining - size
        if free < needed:
            largest = self._find_largest()
            if largest.held > holding.held + size:
                needed = largest.remaining
        if free >= needed:
            return max(size, 1)
        return max(0, FLOOR_BYTES - holding.held)

    def choose_victim(self) -> Holding | None:
        """Return the response to cut when others wait for too long.

        It is the largest of those that have not said how long they are; a
        response without an end is among them.
        """
        growing = [
            one
            for one in self._holdings
            if one.charged and not (one.is_complete or one.is_declared)
        ]
        return max(growing, key=lambda one: one.held, default=None)

    def _find_largest(self) -> Holding:
        if self._largest is None:
            self._largest = max(
                (one for one in self._holdings if not one.is_complete),
                key=lambda one: one.held,
            )
        return self._largest
