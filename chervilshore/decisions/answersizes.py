"""How large the answer to a watch of the store may be.

The store returns each version of an object that has changed several times. A
listing has the last one alone, and is read instead of a larger answer.
"""

from collections import abc

MIN_BYTES = 262_144
"""Bytes that an answer may have whatever the kind."""

MAX_VERSIONS = 1.5
"""How often the largest object of its kind fits into an answer."""


class AnswerSizes:
    """The sizes of objects, by kind.

    Parameters
    ----------
    max_bytes : int
        Bytes that no answer may exceed.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._largest: dict[str, int] = {}

    def record(
        self, kind: str, sizes: abc.Iterable[int], is_new: bool = True
    ) -> None:
        """Record the bytes of the objects of an answer.

        Parameters
        ----------
        kind : str
            The kind.
        sizes : iterable of int
            The bytes of each object; answers without any tell nothing.
        is_new : bool
            Whether it replaces earlier answers; False for a further page.
        """
        largest = max(sizes, default=None)
        if largest is None:
            return
        if not is_new:
            largest = max(largest, self._largest.get(kind, 0))
        self._largest[kind] = largest

    def bound(self, kind: str) -> int:
        """Return the largest answer to a watch, in bytes."""
        wanted = int(MAX_VERSIONS * self._largest.get(kind, 0))
        return min(self._max_bytes, max(MIN_BYTES, wanted))
