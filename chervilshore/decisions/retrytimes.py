"""Spreads the times at which refused requests may be retried."""

MAX_DELAY_MS = 60_000.0
"""Longest delay that a refused request is given."""

MIN_DELAY_MS = 10.0
"""Shortest delay that a refused request is given."""


class RetryTimes:
    """Gives each refused request a retry time of its own.

    If all of them were given the time at which the next request can be
    admitted, all but one would be refused again.
    """

    def __init__(self) -> None:
        self._latest = 0.0

    def reserve_delay_ms(
        self, wait_ms: float, gap_ms: float, now: float
    ) -> float:
        """Reserve the next retry time.

        Parameters
        ----------
        wait_ms : float
            Milliseconds until the next request can be admitted.
        gap_ms : float
            Milliseconds between the admissions of two requests.
        now : float
            The time in milliseconds.

        Returns
        -------
        float
            Milliseconds after which the request may be retried.
        """
        latest = now + MAX_DELAY_MS
        self._latest = max(now + wait_ms, self._latest + gap_ms)
        self._latest = min(self._latest, latest)
        return max(MIN_DELAY_MS, self._latest - now)
