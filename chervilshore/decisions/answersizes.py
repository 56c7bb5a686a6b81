"""How large the answer to a watch of the store may be.

The store returns each version of an object that has changed several times. A
listing has the last one alone, and is read instead of a larger answer.
"""

MIN_BYTES = 262_144
"""Bytes that an answer may have whatever the kind."""

MAX_RATIO = 1.5
"""How much larger than a listing of its kind an answer may be."""


class AnswerSizes:
    """The sizes of listings, by kind.

    Parameters
    ----------
    max_bytes : int
        Bytes that no answer may exceed.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._listed: dict[str, int] = {}

    def record_listing(self, kind: str, size: int) -> None:
        """Record the bytes of all objects of a kind."""
        self._listed[kind] = size

    def record_changes(self, kind: str, size: int) -> None:
        """Record the bytes of the objects that have changed, each once."""
        self._listed[kind] = max(size, self._listed.get(kind, 0))

    def bound(self, kind: str) -> int:
        """Return the largest answer to a watch, in bytes."""
        wanted = int(MAX_RATIO * self._listed.get(kind, 0))
        return min(self._max_bytes, max(MIN_BYTES, wanted))
