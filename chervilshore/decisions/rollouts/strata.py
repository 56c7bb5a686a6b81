"""The responses of like requests within a short time, by version."""

import math

from chervilshore.decisions.rollouts import evidence as evidences
from chervilshore.decisions.rollouts import trends

SLICE_MS = 1_000.0
"""Duration of a slice."""

MAX_CONTROLS = 200.0
"""Weight of the controls that are kept of earlier slices."""

CONTROL_MEMORY_MS = 20_000.0
"""Time in which earlier controls lose their weight."""

CHANGE_SURPRISE = math.log(100.0)
"""Surprise at the controls of a slice from which earlier ones are dropped."""

SLOW_OFFSET = 4
"""Buckets above the median from which a response counts as slow then."""


class Sample:
    """Responses, failures, and a histogram of the latencies of the former.

    Attributes
    ----------
    ended, failed, timed : float
        Weights of all responses, of failures, and of those in the histogram.
    buckets : list of float
        The histogram.
    """

    def __init__(self) -> None:
        self.ended = 0.0
        self.failed = 0.0
        self.timed = 0.0
        self.buckets = [0.0] * evidences.MAX_BUCKETS

    def add(self, tally: evidences.Tally) -> None:
        """Add the responses of a tally."""
        self.ended += tally.ended
        self.failed += tally.failed
        for bucket, count in enumerate(tally.buckets, tally.first):
            self.buckets[min(bucket, evidences.MAX_BUCKETS - 1)] += count
            self.timed += count

    def merge(self, other: "Sample") -> None:
        """Add the responses of another sample."""
        self.ended += other.ended
        self.failed += other.failed
        self.timed += other.timed
        for bucket, count in enumerate(other.buckets):
            self.buckets[bucket] += count

    def scale(self, factor: float) -> None:
        """Multiply the weight of all responses."""
        self.ended *= factor
        self.failed *= factor
        self.timed *= factor
        self.buckets = [count * factor for count in self.buckets]

    def count_from(self, bucket: int) -> float:
        """Return the weight of the responses in this bucket and above."""
        return sum(self.buckets[max(0, bucket) :])

    def find_median(self) -> int:
        """Return the bucket of the median latency."""
        below = 0.0
        for bucket, count in enumerate(self.buckets):
            below += count
            if 2.0 * below >= self.timed:
                return bucket
        return 0


class Stratum:
    """The responses of like requests in the current slice of time.

    The controls of earlier slices count too, as long as the later ones are
    like them.

    Parameters
    ----------
    started : float
        The time in milliseconds at which the first slice begins.

    Attributes
    ----------
    controls : Sample
        The responses of the controls in earlier slices.
    median : int
        The bucket of the median of the controls before the latest slice.
    new : dict
        Those of the new version in the current slice, by cell.
    """

    def __init__(self, started: float) -> None:
        self.controls = Sample()
        self.median = 0
        self.new: dict[int, Sample] = {}
        self._latest = Sample()
        self._started = started

    def add(self, cell: int, tally: evidences.Tally) -> None:
        """Add the responses of a tally, by its cell."""
        if cell == evidences.OLD_CELL:
            self._latest.add(tally)
        else:
            self.new.setdefault(cell, Sample()).add(tally)

    def is_over(self, now: float) -> bool:
        """Return whether the slice ends; one without responses goes on."""
        if now - self._started < SLICE_MS:
            return False
        return bool(self.new or self._latest.ended)

    def close(self, now: float) -> dict[int, Sample]:
        """End the slice, and add its controls to the earlier ones.

        Returns
        -------
        dict
            What the new version did in it, by cell.
        """
        self.median = self.controls.find_median()
        if self._has_changed():
            self.controls = Sample()
        self.controls.scale(
            math.exp((self._started - now) / CONTROL_MEMORY_MS)
        )
        if self.controls.ended > MAX_CONTROLS:
            self.controls.scale(MAX_CONTROLS / self.controls.ended)
        self.controls.merge(self._latest)
        new = self.new
        self.new = {}
        self._latest = Sample()
        self._started = now
        return new

    def _has_changed(self) -> bool:
        """Return whether the controls do worse or better than earlier."""
        earlier, latest = self.controls, self._latest
        if _differ(earlier.failed, earlier.ended, latest.failed, latest.ended):
            return True
        bucket = self.median + SLOW_OFFSET
        return _differ(
            earlier.count_from(bucket),
            earlier.timed,
            latest.count_from(bucket),
            latest.timed,
        )


def _differ(
    earlier: float, earlier_number: float, latest: float, latest_number: float
) -> bool:
    """Return whether the fraction of events has changed."""
    if not earlier_number or not latest_number:
        return False
    expected = (earlier + 0.5) / (earlier_number + 1.0) * latest_number
    more = trends.measure_surprise(latest, expected, latest_number)
    fewer = trends.measure_surprise(
        latest_number - latest, latest_number - expected, latest_number
    )
    return max(more, fewer) >= CHANGE_SURPRISE
