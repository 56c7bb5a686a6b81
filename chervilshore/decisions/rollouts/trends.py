"""Sums of bad responses beyond what the control versions lead to expect."""

from collections import abc
import math

MEMORIES_MS = (5_000.0, 30_000.0, math.inf)
"""Times in which a trend forgets; the short ones show a version that has
turned bad later."""

TRIMMED_FRACTION = 0.25
"""Fraction of the groups of endpoints that may be bad without the version
being so."""

Counts = abc.Mapping[object, tuple[float, float, float]]
"""For each group of endpoints the bad responses, how many of them the controls
lead to expect, and all responses."""


def measure_surprise(observed: float, expected: float, number: float) -> float:
    """Return how unlikely so many events are.

    This is Hoeffding's bound on the tail of a sum of independent events of
    different probability. As its exponent is convex in the weight of an event,
    it also holds where older events weigh less.

    Parameters
    ----------
    observed, expected : float
        The events, and their mean if the version is as good as the controls.
    number : float
        How many there could have been.

    Returns
    -------
    float
        The negative logarithm of a bound on the probability; 0 if there are
        no more events than expected.
    """
    if observed <= expected or expected >= number:
        return 0.0
    if expected <= 0.0:
        return math.inf
    surprise = observed * math.log(observed / expected)
    missing = number - observed
    if missing > 0.0:
        surprise += missing * math.log(missing / (number - expected))
    return max(0.0, surprise)


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
            for group in sums:
                sums[group] = [weight * value for value in sums[group]]
            for group, values in counts.items():
                known = sums.get(group, (0.0, 0.0, 0.0))
                sums[group] = [a + b for a, b in zip(known, values)]

    def assess(self) -> tuple[tuple[float, float], ...]:
        """Return the surprise at all groups, and without the worst ones.

        Returns
        -------
        tuple of tuple of float
            A pair for each of the memories.
        """
        if self._assessed is None:
            self._assessed = tuple(map(_assess_sums, self._sums))
        return self._assessed

    def total(self) -> tuple[float, float, float]:
        """Return the sums since the beginning, as in `Counts`."""
        return add_up(self._sums[-1].values())


def _assess_sums(sums: dict[object, list[float]]) -> tuple[float, float]:
    ordered = sorted(
        sums.values(), key=lambda values: values[0] - values[1], reverse=True
    )
    everything = measure_surprise(*add_up(ordered))
    if len(ordered) < 2:
        return everything, everything
    dropped = max(1, int(len(ordered) * TRIMMED_FRACTION))
    return everything, measure_surprise(*add_up(ordered[dropped:]))


def add_up(
    rows: abc.Iterable[abc.Sequence[float]],
) -> tuple[float, float, float]:
    """Add up rows as in `Counts`."""
    totals = (0.0, 0.0, 0.0)
    for row in rows:
        totals = tuple(a + b for a, b in zip(totals, row))
    return totals
