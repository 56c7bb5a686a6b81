"""Quantiles and means of the recent samples of a quantity."""

import bisect
import collections

MAX_AGE_MS = 10_000.0
"""Age from which a sample is dropped."""

MAX_SAMPLES = 128
"""Most samples that a window keeps."""


class Window:
    """A sliding window over the newest samples.

    Parameters
    ----------
    max_samples : int
        The most samples to keep.
    max_age_ms : float
        Milliseconds after which a sample is dropped.

    Attributes
    ----------
    last_time : float or None
        The time of the newest sample, in milliseconds.
    """

    def __init__(
        self, max_samples: int = MAX_SAMPLES, max_age_ms: float = MAX_AGE_MS
    ) -> None:
        self.last_time: float | None = None
        self._max_samples = max_samples
        self._max_age_ms = max_age_ms
        self._by_time: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self._by_size: list[float] = []

    def __len__(self) -> int:
        """Return the number of samples, which may include expired ones."""
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
        self.last_time = now
        self._by_time.append((now, value))
        bisect.insort(self._by_size, value)
        if len(self._by_time) > self._max_samples:
            self._drop_oldest()

    def count(self, now: float) -> int:
        """Return the number of samples that have not expired."""
        self._expire(now)
        return len(self._by_size)

    def mean(self, now: float) -> float:
        """Return the mean of the samples; 0 when there is none."""
        self._expire(now)
        if not self._by_size:
            return 0.0
        return sum(self._by_size) / len(self._by_size)

    def quantile(self, fraction: float, now: float) -> float | None:
        """Return a quantile of the samples; None when there is none.

        Parameters
        ----------
        fraction : float
            The fraction of the samples, from 0 to 1, that are not larger.
        now : float
            The time in milliseconds.
        """
        self._expire(now)
        if not self._by_size:
            return None
        return self._by_size[int(fraction * (len(self._by_size) - 1))]

    def _expire(self, now: float) -> None:
        oldest = now - self._max_age_ms
        while self._by_time and self._by_time[0][0] < oldest:
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        _, value = self._by_time.popleft()
        del self._by_size[bisect.bisect_left(self._by_size, value)]
