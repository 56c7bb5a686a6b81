"""Times at which refused requests may come back without meeting again."""

MOST_MS = 60_000.0
"""The longest time in milliseconds that a refused request is told."""

LEAST_MS = 10.0
"""The shortest time in milliseconds that a refused request is told."""


class Promises:
    """Gives each refused request a moment of its own.

    If all were told the moment at which one place is free, all but one
    would be refused again.
    """

    def __init__(self) -> None:
        self._latest = 0.0

    def take(self, wait_ms: float, gap_ms: float, now: float) -> float:
        """Give the next moment away.

        Parameters
        ----------
        wait_ms : float
            Milliseconds until the first place is free.
        gap_ms : float
            Milliseconds from one free place to the next.
        now : float
            The time in milliseconds.

        Returns
        -------
        float
            Milliseconds after which the request may come back.
        """
        latest = now + MOST_MS
        self._latest = max(now + wait_ms, self._latest + gap_ms)
        self._latest = min(self._latest, latest)
        return max(LEAST_MS, self._latest - now)
