"""The responses of like requests within a short time, by version."""

from chervilshore.decisions.rollouts import evidence as evidences

ENOUGH_CONTROLS = 20
"""Responses of the controls with which a slice ends at once."""

SLICE_MS = 2_000.0
"""Duration of a slice with fewer of them."""

MAX_SLICE_MS = 10_000.0
"""Duration of a slice with responses of one side only."""


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

    def halve(self) -> None:
        """Halve the weight of all responses."""
        self.ended /= 2.0
        self.failed /= 2.0
        self.timed /= 2.0
        self.buckets = [count / 2.0 for count in self.buckets]

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

    Parameters
    ----------
    started : float
        The time in milliseconds at which the slice begins.

    Attributes
    ----------
    old : Sample
        The responses of the controls.
    new : dict
        Those of the new version, by cell.
    """

    def __init__(self, started: float) -> None:
        self.old = Sample()
        self.new: dict[int, Sample] = {}
        self._started = started

    def add(self, cell: int, tally: evidences.Tally) -> None:
        """Add the responses of a tally, by its cell."""
        if cell == evidences.OLD_CELL:
            self.old.add(tally)
        else:
            self.new.setdefault(cell, Sample()).add(tally)

    def is_over(self, has_controls: bool, now: float) -> bool:
        """Return whether the slice ends.

        Parameters
        ----------
        has_controls : bool
            Whether requests still go to the controls.
        now : float
            The time in milliseconds.
        """
        age_ms = now - self._started
        if not self.new or (has_controls and not self.old.ended):
            return age_ms >= MAX_SLICE_MS
        return age_ms >= SLICE_MS or self.old.ended >= ENOUGH_CONTROLS
