"""Sums of bad responses beyond what the control versions lead to expect."""

from collections import abc
import math

MEMORIES_MS = (5_000.0, 30_000.0, math.inf)
"""Times in which a trend forgets; the short ones show a version that has
turned bad later."""

TRIMMED_FRACTION = 0.25
"""Fraction of the groups of endpoints that may be bad without the version
being so."""

Counts = abc.Mapping[object, tuple[float, float]]
"""For each group of endpoints the bad responses, and how many of them the
controls lead to expect."""


def measure_surprise(observed: float, expected: float) -> float:
    """Return how unlikely so many events are.

    This is Chernoff's bound on the tail of a sum of independent variables
    between 0 and 1, so it also holds where older events weigh less.

    Parameters
    ----------
    observed, expected : float
        The sum, and its mean if the version is as good as the controls.

    Returns
    -------
    float
        The negative logarithm of a bound on the probability; 0 if there are
        no more events than expected.
    """
    if observed <= expected:
        return 0.0
    if expected <= 0.0:
        return math.inf
    return observed * math.log(observed / expected) - observed + expected


class Trend:
    """The bad responses of one kind, by group of endpoints."""

    def __init__(self) -> None:
        self._updated_at: float | None = None
        self._assessed: tuple[tuple[float, float], ...] | None = None
        self._sums: tuple[dict[object, list[float]], ...] = tuple(
            {} for _ in MEMORIES_MS
        )

    def add(self, counts: Counts, now: float) -> None:
        """Add the counts of a short time that ends at `now`."""
        elapsed_ms = 0.0
        if self._updated_at is not None:
            elapsed_ms = max(0.0, now - self._updated_at)
        self._updated_at = now
        self._assessed = None
        for memory_ms, sums in zip(MEMORIES_MS, self._sums):
            weight = math.exp(-elapsed_ms / memory_ms)
            for pair in sums.values():
                pair[0] *= weight
                pair[1] *= weight
            for group, (observed, expected) in counts.items():
                pair = sums.setdefault(group, [0.0, 0.0])
                pair[0] += observed
                pair[1] += expected

    def assess(self) -> tuple[tuple[float, float], ...]:
        """Return the surprise at all groups, and without the worst ones.

        Returns
        -------
        tuple of tuple of float
            A pair for each of the memories.
        """
        if self._assessed is None:
            self._assessed = tuple(map(self._assess_sums, self._sums))
        return self._assessed

    def total(self) -> tuple[float, float]:
        """Return the observed and expected sums since the beginning."""
        observed = sum(pair[0] for pair in self._sums[-1].values())
        expected = sum(pair[1] for pair in self._sums[-1].values())
        return observed, expected

    def _assess_sums(
        self, sums: dict[object, list[float]]
    ) -> tuple[float, float]:
        pairs = sorted(
            sums.values(), key=lambda pair: pair[0] - pair[1], reverse=True
        )
        everything = _measure(pairs)
        if len(pairs) < 2:
            return everything, everything
        dropped = max(1, int(len(pairs) * TRIMMED_FRACTION))
        return everything, _measure(pairs[dropped:])


def _measure(pairs: abc.Iterable[abc.Sequence[float]]) -> float:
    observed = expected = 0.0
    for pair in pairs:
        observed += pair[0]
        expected += pair[1]
    return measure_surprise(observed, expected)
