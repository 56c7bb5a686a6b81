"""Exponential backoff between failed calls."""

FACTOR = 2.0
"""Ratio of a delay to the one before."""


class Backoff:
    """Delays between the retries of a call.

    Parameters
    ----------
    first_ms, max_ms : float
        Milliseconds of the first delay and upper bound of all delays.
    """

    def __init__(self, first_ms: float, max_ms: float) -> None:
        self._first_ms = first_ms
        self._max_ms = max_ms
        self._next_ms = first_ms

    def next_delay_ms(self) -> float:
        """Return the milliseconds to wait now; the next delay is longer."""
        delay_ms = self._next_ms
        self._next_ms = min(self._max_ms, delay_ms * FACTOR)
        return delay_ms

    def reset(self) -> None:
        """Restart with the first delay, after a call has succeeded."""
        self._next_ms = self._first_ms
