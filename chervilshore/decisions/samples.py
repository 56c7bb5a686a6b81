"""Recent samples of a quantity, and their quantiles."""

import bisect
import collections

FORGET_MS = 10_000.0
"""Milliseconds after which a sample does not count any more."""

MOST_SAMPLES = 128
"""Samples that are kept."""


class Window:
    """The newest samples, in order of time and in order of size.

    Parameters
    ----------
    most : int
        Samples to keep at most.
    forget_ms : float
        Milliseconds after which a sample is dropped.

    Attributes
    ----------
    last : float or None
        The moment of the newest sample.
    """

    def __init__(
        self, most: int = MOST_SAMPLES, forget_ms: float = FORGET_MS
    ) -> None:
        self.last: float | None = None
        self._most = most
        self._forget_ms = forget_ms
        self._by_time: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self._by_size: list[float] = []

    def __len__(self) -> int:
        """Count the samples, forgotten ones among them or not."""
        return len(self._by_size)

    def add(self, value: float, now: float) -> None:
        """Add a sample.

        Parameters
        ----------
        value : float
            The sample.
        now : float
            The time in milliseconds.
        """
        self.last = now
        self._by_time.append((now, value))
        bisect.insort(self._by_size, value)
        if len(self._by_time) > self._most:
            self._drop_oldest()

    def count(self, now: float) -> int:
        """Count the samples that have not been forgotten."""
        self._forget(now)
        return len(self._by_size)

    def mean(self, now: float) -> float:
        """Tell the mean of the samples; 0 when there is none."""
        self._forget(now)
        if not self._by_size:
            return 0.0
        return sum(self._by_size) / len(self._by_size)

    def quantile(self, part: float, now: float) -> float | None:
        """Tell a quantile.

        Parameters
        ----------
        part : float
            The part of the samples, from 0 to 1, that are not larger.
        now : float
            The time in milliseconds.

        Returns
        -------
        float or None
            The quantile; nothing when there is no sample.
        """
        self._forget(now)
        if not self._by_size:
            return None
        return self._by_size[int(part * (len(self._by_size) - 1))]

    def _forget(self, now: float) -> None:
        oldest = now - self._forget_ms
        while self._by_time and self._by_time[0][0] < oldest:
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        _, value = self._by_time.popleft()
        del self._by_size[bisect.bisect_left(self._by_size, value)]
