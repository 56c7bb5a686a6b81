"""Whether a version is good or bad, by what the hosts have seen.

The responses of both versions are compared within short slices of time, by
route, failure domain and load of the endpoint, as a log-rank test does. So
trouble that meets both versions alike, such as a cut link, a bad domain or the
errors of callers, leads to the same expectation. A verdict also needs that the
excess is not that of a few endpoints.
"""

from collections import abc
import enum
import math

import msgspec

from chervilshore.decisions.rollouts import evidence as evidences
from chervilshore.decisions.rollouts import records as rollout_records
from chervilshore.decisions.rollouts import strata
from chervilshore.decisions.rollouts import trends
from chervilshore import ids

BAD_SURPRISE = math.log(1e6)
"""Surprise from which a version is bad: at most 1 in 1,000 good versions may
be rolled back, and each has some hundred independent tests."""

SPREAD_SURPRISE = math.log(100.0)
"""Surprise that must remain without the worst endpoints."""

SUSPECT_SURPRISE = math.log(1e4)
"""Surprise from which a version is not moved to yet."""

TAIL_OFFSETS = (3, 4, 6, 8, 11, 16)
"""Buckets between the median of the controls and a slow response, of which
four are a factor of 2."""

MARGIN_BUCKETS = 1
"""Buckets by which a good version may be slower than its controls."""

MOVED_MARGIN_BUCKETS = 4
"""The same once the load has moved, as the controls ran at another time."""

MIN_MOVED_OFFSET = 8
"""Least of the offsets that are judged then."""

MOVED_LOAD_FACTOR = 1.25
"""Factor on the earlier rate of responses above which a moved version's
latency may be that of the load."""

MOVED_FRACTION = 0.005
"""Fraction of bad responses that is no evidence while the load moves."""

MOVED_FACTOR = 2.0
"""Factor on the fraction of bad responses that the controls had, where they
ran at another time."""

SWITCHED_FRACTION = 0.2
"""Fraction of failures that is no evidence once there are no controls at all:
errors of callers or of cut links may begin then, and cannot be told apart."""

MIN_CONTROLS = 10.0
"""Weight of the controls from which the new version is compared."""

MIN_COMPARED = 60
"""Compared responses from which a version may be good."""

RATE_MEMORY_MS = 5_000.0
"""Time in which the measured rate of responses forgets."""

_FAILED = 0

_Name = tuple[ids.PipelineName, ids.DomainId, int | None]
_Cells = abc.Mapping[int, strata.Sample]
_Observed = abc.Mapping[int, tuple[float, float]]


class Finding(enum.Enum):
    """What the evidence shows of a version."""

    PENDING = "pending"
    GOOD = "good"
    BAD = "bad"


class Verdict(msgspec.Struct, frozen=True):
    """The result of a judgement.

    Parameters
    ----------
    finding : Finding
        What the evidence shows.
    reason : str
        What makes a version bad or suspect.
    is_suspect : bool
        Whether there is evidence against it, if not enough.
    """

    finding: Finding = Finding.PENDING
    reason: str = ""
    is_suspect: bool = False


class Judge:
    """Compares the new version with the others.

    Attributes
    ----------
    compared : int
        Responses of the new version that were compared.
    """

    def __init__(self) -> None:
        self.compared = 0
        self._strata: dict[_Name, strata.Stratum] = {}
        self._references: dict[
            tuple[ids.PipelineName, int | None], strata.Sample
        ] = {}
        self._trends: dict[
            tuple[ids.PipelineName, int, bool], trends.Trend
        ] = {}
        self._rate = 0.0
        self._rated_at: float | None = None
        self._reference_rate = 0.0

    def add(
        self,
        pairs: abc.Iterable[tuple[evidences.Key, evidences.Tally]],
        now: float,
    ) -> None:
        """Add responses that a host has reported since its last report."""
        for key, tally in pairs:
            self._count_rate(tally.ended, now)
            for level in (None, key.level):
                name = (key.pipeline, key.domain, level)
                stratum = self._strata.get(name)
                if stratum is None:
                    stratum = self._strata[name] = strata.Stratum(now)
                stratum.add(key.cell, tally)

    def judge(self, phase: rollout_records.Phase, now: float) -> Verdict:
        """Return what the evidence shows.

        Parameters
        ----------
        phase : Phase
            How far the load has moved.
        now : float
            The time in milliseconds.
        """
        if phase is rollout_records.Phase.CANARY:
            self._reference_rate = max(self._reference_rate, self._rate)
        elif not self._references:
            self._keep_references()
        for name, stratum in self._strata.items():
            if stratum.is_over(now):
                new = stratum.close(now)
                if not new:
                    continue
                if name[2] is None:
                    self._compare_failures(name, stratum, new, phase, now)
                elif phase is rollout_records.Phase.CANARY:
                    self._compare_latencies(name, stratum, new, now)
                elif self._rate <= MOVED_LOAD_FACTOR * self._reference_rate:
                    self._compare_moved_latencies(name, new, now)
        return self._conclude()

    def _conclude(self) -> Verdict:
        suspect = ""
        for name, trend in self._trends.items():
            for everything, spread in trend.assess():
                if everything >= BAD_SURPRISE and spread >= SPREAD_SURPRISE:
                    return Verdict(Finding.BAD, self._explain(name, trend))
                if everything >= SUSPECT_SURPRISE and spread >= 1.0:
                    suspect = self._explain(name, trend)
        if suspect:
            return Verdict(Finding.PENDING, suspect, is_suspect=True)
        if self.compared < MIN_COMPARED:
            return Verdict()
        return Verdict(Finding.GOOD)

    def _explain(
        self, name: tuple[ids.PipelineName, int, bool], trend: trends.Trend
    ) -> str:
        pipeline, kind, _ = name
        what = "failures"
        if kind != _FAILED:
            factor = 2.0 ** (kind / evidences.BUCKETS_PER_OCTAVE)
            what = f"responses slower than {factor:.1f} times the median"
        observed, expected, number = trend.total()
        return (
            f"{pipeline or 'all pipelines'}: {observed:.0f} {what} of "
            f"{number:.0f}, {expected:.1f} expected"
        )

    def _compare_failures(
        self,
        name: _Name,
        stratum: strata.Stratum,
        new: _Cells,
        phase: rollout_records.Phase,
        now: float,
    ) -> None:
        pipeline, domain, _ = name
        observed = {
            cell: (sample.failed, sample.ended) for cell, sample in new.items()
        }
        if phase is rollout_records.Phase.SWITCHED:
            reference = self._references.get((pipeline, None))
            if reference is None or reference.ended < MIN_CONTROLS:
                return
            fraction = reference.failed / reference.ended
            fraction = SWITCHED_FRACTION + MOVED_FACTOR * fraction
            self._add_moved(name, _FAILED, observed, fraction, now)
            return
        controls = stratum.controls
        if controls.ended < MIN_CONTROLS:
            return
        allowance = 0.0
        if phase is rollout_records.Phase.MOVING:
            allowance = MOVED_FRACTION
        self.compared += int(sum(number for _, number in observed.values()))
        counts = _expect(observed, controls.failed, controls.ended, allowance)
        self._add(pipeline, _FAILED, False, counts, now)

    def _compare_latencies(
        self,
        name: _Name,
        stratum: strata.Stratum,
        new: _Cells,
        now: float,
    ) -> None:
        controls = stratum.controls
        # What is slow is told by the controls of earlier slices.
        if controls.timed < MIN_CONTROLS or not stratum.median:
            return
        for offset in TAIL_OFFSETS:
            bucket = stratum.median + offset
            counts = _expect(
                _count_slow(new, bucket),
                controls.count_from(bucket - MARGIN_BUCKETS),
                controls.timed,
                0.0,
            )
            self._add(name[0], offset, False, counts, now)

    def _compare_moved_latencies(
        self, name: _Name, new: _Cells, now: float
    ) -> None:
        pipeline, _, level = name
        reference = self._references.get((pipeline, level))
        if reference is None or reference.timed < MIN_CONTROLS:
            return
        median = reference.find_median()
        for offset in TAIL_OFFSETS:
            if offset < MIN_MOVED_OFFSET:
                continue
            bucket = median + offset
            slow = reference.count_from(bucket - MOVED_MARGIN_BUCKETS)
            fraction = MOVED_FRACTION + MOVED_FACTOR * slow / reference.timed
            observed = _count_slow(new, bucket)
            self._add_moved(name, offset, observed, fraction, now)

    def _add_moved(
        self,
        name: _Name,
        kind: int,
        observed: _Observed,
        fraction: float,
        now: float,
    ) -> None:
        """Compare with a fraction, as there are no controls now.

        The groups are the domains then, if there are several: a bad one
        cannot be told from a bad version there.
        """
        pipeline, domain, _ = name
        counts = _expect_fraction(observed, min(1.0, fraction))
        if len({other for _, other, _ in self._strata}) > 1 and counts:
            counts = {domain: trends.add_up(counts.values())}
        self._add(pipeline, kind, True, counts, now)

    def _add(
        self,
        pipeline: ids.PipelineName,
        kind: int,
        has_moved: bool,
        counts: trends.Counts,
        now: float,
    ) -> None:
        if not counts:
            return
        for name in {pipeline, evidences.OTHER_PIPELINE}:
            trend = self._trends.get((name, kind, has_moved))
            if trend is None:
                trend = self._trends[name, kind, has_moved] = trends.Trend()
            trend.add(counts, now)

    def _keep_references(self) -> None:
        for (pipeline, _, level), stratum in self._strata.items():
            sample = self._references.setdefault(
                (pipeline, level), strata.Sample()
            )
            sample.merge(stratum.controls)

    def _count_rate(self, ended: int, now: float) -> None:
        if self._rated_at is None:
            self._rated_at = now
        elapsed_ms = max(0.0, now - self._rated_at)
        self._rated_at = now
        self._rate *= math.exp(-elapsed_ms / RATE_MEMORY_MS)
        self._rate += ended / RATE_MEMORY_MS


def _count_slow(new: _Cells, bucket: int) -> _Observed:
    """Return the responses from a bucket on, and all, by cell."""
    return {
        cell: (sample.count_from(bucket), sample.timed)
        for cell, sample in new.items()
        if sample.timed
    }


def _expect(
    observed: _Observed, events: float, number: float, allowance: float
) -> trends.Counts:
    """Expect events as among the controls and these responses together."""
    events += sum(count for count, _ in observed.values())
    number += sum(count for _, count in observed.values())
    return _expect_fraction(observed, min(1.0, events / number + allowance))


def _expect_fraction(observed: _Observed, fraction: float) -> trends.Counts:
    return {
        cell: (count, fraction * number, number)
        for cell, (count, number) in observed.items()
    }
