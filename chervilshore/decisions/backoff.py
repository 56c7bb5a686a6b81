"""Pauses between calls that fail, each twice as long as the one before."""

FACTOR = 2.0


class Backoff:
    """Tells for how long to wait before the next try.

    Parameters
    ----------
    first_ms, most_ms : float
        Milliseconds of the first pause, and of the longest.
    """

    def __init__(self, first_ms: float, most_ms: float) -> None:
        self._first_ms = first_ms
        self._most_ms = most_ms
        self._next_ms = first_ms

    def next_delay_ms(self) -> float:
        """Tell the milliseconds of the next pause."""
        millis = self._next_ms
        self._next_ms = min(self._most_ms, millis * FACTOR)
        return millis

    def reset(self) -> None:
        """Begin with the first pause again, as a call has worked."""
        self._next_ms = self._first_ms
