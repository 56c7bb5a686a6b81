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

BAD_SURPRISE = math.log(1e8)
"""Surprise from which a version is bad: a good roll-out has some ten thousand
tests, and at most 1 in 1,000 good versions may be rolled back."""

SPREAD_SURPRISE = math.log(1e3)
"""Surprise that must remain without the worst endpoints."""

SUSPECT_SURPRISE = math.log(1e5)
"""Surprise from which a version is not moved to yet."""

TAIL_OFFSETS = (2, 3, 5, 7, 9, 12)
"""Buckets between the median of the controls and a slow response, of which
three are a factor of 2."""

MARGIN_BUCKETS = 1
"""Buckets by which a good version may be slower than its controls."""

MOVED_MARGIN_BUCKETS = 3
"""The same once the load has moved, as the controls ran at another time."""

MIN_MOVED_OFFSET = 5
"""Least of the offsets that are judged then."""

MOVED_LOAD_FACTOR = 1.25
"""Factor on the earlier rate of responses above which a moved version's
latency may be that of the load."""

MOVED_FAILURE_FRACTION = 0.01
"""Fraction of failures that is no evidence while the load moves, as it moves
the failures that come of load too."""

MAX_REFERENCE = 200.0
"""Weight of responses at which the earlier ones of a reference are halved."""

MIN_REFERENCE = 20.0
"""Weight of responses from which a reference is used."""

MIN_COMPARED = 60
"""Compared responses from which a version may be good."""

RATE_MEMORY_MS = 5_000.0
"""Time in which the measured rate of responses forgets."""

_FAILED = 0


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
        self._strata: dict[
            tuple[ids.PipelineName, ids.DomainId, int | None], strata.Stratum
        ] = {}
        self._references: dict[
            tuple[ids.PipelineName, int], strata.Sample
        ] = {}
        self._trends: dict[
            tuple[ids.PipelineName, int, bool], trends.Trend
        ] = {}
        self._domains: set[ids.DomainId] = set()
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
            self._domains.add(key.domain)
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
        has_controls = phase is not rollout_records.Phase.SWITCHED
        for name, stratum in list(self._strata.items()):
            if stratum.is_over(has_controls, now):
                del self._strata[name]
                self._compare(name, stratum, phase, now)
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
        observed, expected = trend.total()
        return (
            f"{pipeline or 'all pipelines'}: {observed:.0f} {what}, "
            f"{expected:.1f} expected of {self.compared} compared"
        )

    def _compare(
        self,
        name: tuple[ids.PipelineName, ids.DomainId, int | None],
        stratum: strata.Stratum,
        phase: rollout_records.Phase,
        now: float,
    ) -> None:
        pipeline, domain, level = name
        moved = phase is not rollout_records.Phase.CANARY
        if level is None:
            self._compare_failures(pipeline, domain, stratum, phase, now)
            return
        reference = self._references.setdefault(
            (pipeline, level), strata.Sample()
        )
        if reference.timed >= MIN_REFERENCE and stratum.new:
            if not moved:
                self._compare_latencies(pipeline, stratum, reference, now)
            elif self._rate <= MOVED_LOAD_FACTOR * self._reference_rate:
                self._compare_moved(pipeline, domain, stratum, reference, now)
        if not moved:
            if reference.timed + stratum.old.timed > MAX_REFERENCE:
                reference.halve()
            reference.merge(stratum.old)

    def _compare_failures(
        self,
        pipeline: ids.PipelineName,
        domain: ids.DomainId,
        stratum: strata.Stratum,
        phase: rollout_records.Phase,
        now: float,
    ) -> None:
        observed = {
            cell: (sample.failed, sample.ended)
            for cell, sample in stratum.new.items()
        }
        old = stratum.old
        if phase is not rollout_records.Phase.SWITCHED:
            # Both versions' endpoints in a domain are reached by the same
            # links, so without controls there nothing can be told.
            if not old.ended or not observed:
                return
            allowance = 0.0
            if phase is rollout_records.Phase.MOVING:
                allowance = MOVED_FAILURE_FRACTION
            else:
                self.compared += int(sum(n for _, n in observed.values()))
            counts = _expect(observed, old.failed, old.ended, allowance)
            self._add(pipeline, _FAILED, False, counts, now)
        else:
            fraction = 3.0 * max(
                MOVED_FAILURE_FRACTION, self._find_failure_fraction(pipeline)
            )
            counts = self._expect_fraction(domain, observed, fraction)
            self._add(pipeline, _FAILED, True, counts, now)

    def _compare_latencies(
        self,
        pipeline: ids.PipelineName,
        stratum: strata.Stratum,
        reference: strata.Sample,
        now: float,
    ) -> None:
        old = stratum.old
        if not old.timed:
            return
        median = reference.find_median()
        for offset in TAIL_OFFSETS:
            bucket = median + offset
            observed = {
                cell: (sample.count_from(bucket), sample.timed)
                for cell, sample in stratum.new.items()
                if sample.timed
            }
            slow = old.count_from(bucket - MARGIN_BUCKETS)
            counts = _expect(observed, slow, old.timed, 0.0)
            self._add(pipeline, offset, False, counts, now)

    def _compare_moved(
        self,
        pipeline: ids.PipelineName,
        domain: ids.DomainId,
        stratum: strata.Stratum,
        reference: strata.Sample,
        now: float,
    ) -> None:
        median = reference.find_median()
        for offset in TAIL_OFFSETS:
            if offset < MIN_MOVED_OFFSET:
                continue
            bucket = median + offset
            observed = {
                cell: (sample.count_from(bucket), sample.timed)
                for cell, sample in stratum.new.items()
                if sample.timed
            }
            slow = reference.count_from(bucket - MOVED_MARGIN_BUCKETS)
            fraction = 3.0 * max(0.03, slow / reference.timed)
            counts = self._expect_fraction(domain, observed, fraction)
            self._add(pipeline, offset, True, counts, now)

    def _expect_fraction(
        self,
        domain: ids.DomainId,
        observed: abc.Mapping[int, tuple[float, float]],
        fraction: float,
    ) -> dict[object, tuple[float, float]]:
        """Expect a fraction, by domain, as there are no controls in it."""
        if len(self._domains) < 2:
            return _expect_at(observed, min(1.0, fraction))
        count = sum(count for count, _ in observed.values())
        number = sum(number for _, number in observed.values())
        return {domain: (count, min(1.0, fraction) * number)} if number else {}

    def _add(
        self,
        pipeline: ids.PipelineName,
        kind: int,
        moved: bool,
        counts: trends.Counts,
        now: float,
    ) -> None:
        if not counts:
            return
        for name in {pipeline, evidences.OTHER_PIPELINE}:
            trend = self._trends.get((name, kind, moved))
            if trend is None:
                trend = self._trends[name, kind, moved] = trends.Trend()
            trend.add(counts, now)

    def _find_failure_fraction(self, pipeline: ids.PipelineName) -> float:
        samples = [
            sample
            for (name, _), sample in self._references.items()
            if name == pipeline
        ]
        ended = sum(sample.ended for sample in samples)
        return sum(sample.failed for sample in samples) / max(1.0, ended)

    def _count_rate(self, ended: int, now: float) -> None:
        if self._rated_at is None:
            self._rated_at = now
        elapsed_ms = max(0.0, now - self._rated_at)
        self._rated_at = now
        self._rate *= math.exp(-elapsed_ms / RATE_MEMORY_MS)
        self._rate += ended / RATE_MEMORY_MS


def _expect(
    observed: abc.Mapping[int, tuple[float, float]],
    old_events: float,
    old_ended: float,
    allowance: float,
) -> dict[object, tuple[float, float]]:
    """Expect each response to be among the events with the same chance."""
    events = old_events + sum(count for count, _ in observed.values())
    ended = old_ended + sum(number for _, number in observed.values())
    if not ended:
        return {}
    fraction = min(1.0, events / ended + allowance)
    return _expect_at(observed, fraction)


def _expect_at(
    observed: abc.Mapping[int, tuple[float, float]], fraction: float
) -> dict[object, tuple[float, float]]:
    return {
        cell: (count, fraction * number)
        for cell, (count, number) in observed.items()
    }
