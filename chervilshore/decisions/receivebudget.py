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

MIN_READ_BYTES = 1024
"""Bytes that are reserved for a connection that is read, as its next bytes can
arrive when there is no room any more."""

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
    reserved : int
        Bytes that the next read may add, which count as if they were held.
    """

    limit: int
    held: int = 0
    is_declared: bool = False
    is_complete: bool = False
    reserved: int = 0

    @property
    def charged(self) -> int:
        """Bytes that count against the budget."""
        return max(0, self.held + self.reserved - FLOOR_BYTES)

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
        """Set how many bytes of a response are held, and reserve none."""
        self._charge(holding, held, 0)
        if holding is self._largest or (
            self._largest is not None and held > self._largest.held
        ):
            self._largest = None

    def _charge(self, holding: Holding, held: int, reserved: int) -> None:
        before = holding.charged
        holding.held = held
        holding.reserved = reserved
        self.charged += holding.charged - before

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

        What is reserved for it always may.
        """
        size = max(1, min(READ_BYTES, holding.remaining))
        if self._has_room(holding, size):
            return size
        return max(holding.reserved, FLOOR_BYTES - holding.held)

    def reserve(self, holding: Holding) -> bool:
        """Reserve room for the next read; return whether there is any."""
        if holding.reserved:
            return True
        size = max(1, min(MIN_READ_BYTES, holding.remaining))
        is_within_floor = holding.held + size <= FLOOR_BYTES
        if not (is_within_floor or self._has_room(holding, size)):
            return False
        self._charge(holding, holding.held, size)
        return True

    def _has_room(self, holding: Holding, size: int) -> bool:
        """Return whether a response may have as many bytes more.

        What stays free must suffice for the largest one to reach its end,
        which gives back most.
        """
        others = self.charged - holding.charged
        grown = max(0, holding.held + size - FLOOR_BYTES)
        free = self.total - others - grown
        needed = max(0, holding.remaining - size)
        if free < needed:
            largest = self.find_largest()
            if largest.held > holding.held + size:
                needed = largest.remaining - largest.reserved
        return free >= needed

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

    def find_largest(self) -> Holding | None:
        """Return the largest response that has not arrived, if there is any.

        There is always room for more of it.
        """
        if self._largest is None:
            self._largest = max(
                (one for one in self._holdings if not one.is_complete),
                key=lambda one: one.held,
                default=None,
            )
        return self._largest
