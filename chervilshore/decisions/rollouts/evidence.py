"""What the hosts together have seen of the versions of a pool.

Each host reports its own totals, which only grow. A later report of a process
run replaces an earlier one, so reports may be lost, repeated and reordered.
"""

import math

import msgspec
import xxhash

from chervilshore.decisions.rollouts import records as rollout_records
from chervilshore import ids
from chervilshore import records

BUCKETS_PER_OCTAVE = 4
"""Buckets of the histograms between a latency and twice that latency."""

MAX_BUCKETS = 72
"""Number of buckets; the last one begins at three and a half minutes."""

CELLS = 8
"""Groups of endpoints by which the new version's responses are counted."""

MAX_TALLIES = 192
"""Tallies that a host reports; further ones are counted without a route."""

OTHER_PIPELINE = ids.PipelineName("")
"""The name under which the pipelines beyond that number are counted."""

MAX_RUNS = 3
"""Process runs of a host whose reports are kept."""

OLD_CELL = -1
"""The cell of the other versions, whose endpoints are not told apart."""

FAILURES = frozenset({records.Outcome.BROKEN, records.Outcome.REJECTED})
"""Outcomes of which the version may be the cause."""


class Key(msgspec.Struct, frozen=True, array_like=True, order=True):
    """What a tally counts.

    Parameters
    ----------
    pipeline : PipelineName
        The route of the requests.
    domain : DomainId
        The failure domain of the endpoints.
    level : int
        How loaded the endpoint was, from 0.
    cell : int
        The group of the new version's endpoint; `OLD_CELL` for all endpoints
        of other versions.
    """

    pipeline: ids.PipelineName
    domain: ids.DomainId
    level: int
    cell: int


class Tally(msgspec.Struct, array_like=True):
    """The ended attempts of one kind.

    Parameters
    ----------
    ended : int
        Attempts that ended with a response or a failure.
    failed : int
        Those that failed.
    first : int
        The first bucket of `buckets`.
    buckets : list of int
        Responses by latency.
    """

    ended: int = 0
    failed: int = 0
    first: int = 0
    buckets: list[int] = []

    def add(self, millis: float) -> None:
        """Add a latency in milliseconds to the histogram."""
        bucket = find_bucket(millis)
        if not self.buckets:
            self.first = bucket
        if bucket < self.first:
            self.buckets = [0] * (self.first - bucket) + self.buckets
            self.first = bucket
        missing = bucket - self.first - len(self.buckets) + 1
        if missing > 0:
            self.buckets = self.buckets + [0] * missing
        self.buckets[bucket - self.first] += 1


def find_bucket(millis: float) -> int:
    """Return the number of the histogram's bucket for a latency."""
    if millis <= 1.0:
        return 0
    octaves = math.log2(millis)
    return min(MAX_BUCKETS - 1, int(octaves * BUCKETS_PER_OCTAVE))


def find_cell(endpoint: ids.EndpointId) -> int:
    """Return the cell of an endpoint of the new version."""
    return xxhash.xxh3_64_intdigest(endpoint.encode()) % CELLS


class HostEvidence(msgspec.Struct, frozen=True, array_like=True):
    """The totals of one process run of a host, as hosts exchange them.

    Parameters
    ----------
    revision : int
        The order that it belongs to.
    host : HostId
        The host.
    incarnation : Incarnation
        The process run of the host.
    sequence : int
        Increases with each report of the process run.
    phase : Phase
        How far the host has moved its requests.
    old_running : int
        Its attempts that run at endpoints of other versions.
    sent : int
        Its attempts at the pool.
    sent_new : int
        Its attempts at the new version.
    tallies : dict
        The ended attempts by `Key`, as pairs.
    reason : str
        Why the version is bad; empty unless it is condemned.
    """

    revision: int
    host: ids.HostId
    incarnation: ids.Incarnation
    sequence: int
    phase: rollout_records.Phase
    old_running: int = 0
    sent: int = 0
    sent_new: int = 0
    tallies: tuple[tuple[Key, Tally], ...] = ()
    reason: str = ""


class OwnEvidence:
    """Counts the attempts of this host.

    Attributes
    ----------
    sent, sent_new : int
        Attempts at the pool, and at the new version.
    """

    def __init__(self) -> None:
        self.sent = 0
        self.sent_new = 0
        self._tallies: dict[Key, Tally] = {}

    def record_sent(self, is_new: bool) -> None:
        """Count an attempt that is sent."""
        self.sent += 1
        self.sent_new += is_new

    def record_end(
        self, key: Key, outcome: records.Outcome, millis: float | None
    ) -> None:
        """Count an attempt that ended.

        Parameters
        ----------
        key : Key
            What it counts for.
        outcome : Outcome
            How it ended.
        millis : float or None
            Milliseconds that it took; None if these tell nothing of the
            version.
        """
        failed = outcome in FAILURES
        if not failed and outcome is not records.Outcome.OK:
            return
        if key not in self._tallies and len(self._tallies) >= MAX_TALLIES:
            key = Key(OTHER_PIPELINE, key.domain, key.level, key.cell)
        tally = self._tallies.setdefault(key, Tally())
        tally.ended += 1
        tally.failed += failed
        if millis is not None and not failed:
            tally.add(millis)

    def list_tallies(self) -> tuple[tuple[Key, Tally], ...]:
        """Return copies of the tallies."""
        return tuple(
            (
                key,
                Tally(
                    tally.ended, tally.failed, tally.first, list(tally.buckets)
                ),
            )
            for key, tally in self._tallies.items()
        )


class Evidence:
    """The latest reports of all hosts, with those of earlier process runs."""

    def __init__(self) -> None:
        self._reports: dict[
            ids.HostId, dict[ids.Incarnation, HostEvidence]
        ] = {}

    def absorb(
        self, report: HostEvidence
    ) -> tuple[tuple[Key, Tally], ...] | None:
        """Take in a report.

        Returns
        -------
        tuple of tuple of Key and Tally, or None
            What ended since the last report of the process run; None if the
            report is not newer, or of a process run long ago.
        """
        runs = self._reports.setdefault(report.host, {})
        known = runs.get(report.incarnation)
        if known is None:
            if len(runs) == MAX_RUNS and report.incarnation < min(runs):
                return None
        elif known.sequence >= report.sequence:
            return None
        runs[report.incarnation] = report
        if len(runs) > MAX_RUNS:
            del runs[min(runs)]
        earlier = dict(known.tallies) if known is not None else {}
        return tuple(
            (key, _subtract(tally, earlier.get(key)))
            for key, tally in report.tallies
            if key not in earlier or earlier[key].ended != tally.ended
        )

    def list_reports(self) -> tuple[HostEvidence, ...]:
        """Return the latest report of each process run."""
        return tuple(
            report
            for runs in self._reports.values()
            for report in runs.values()
        )

    def find_latest(self, host: ids.HostId) -> HostEvidence | None:
        """Return the report of a host's latest process run, if any."""
        runs = self._reports.get(host)
        return runs[max(runs)] if runs else None

    def sum_sent(self) -> tuple[int, int]:
        """Return the attempts at the pool and at the new version."""
        reports = self.list_reports()
        return (
            sum(report.sent for report in reports),
            sum(report.sent_new for report in reports),
        )


def _subtract(later: Tally, earlier: Tally | None) -> Tally:
    """Return what was added to a tally."""
    if earlier is None:
        return later
    buckets = list(later.buckets)
    for bucket, count in enumerate(earlier.buckets, earlier.first):
        buckets[bucket - later.first] -= count
    return Tally(
        later.ended - earlier.ended,
        later.failed - earlier.failed,
        later.first,
        buckets,
    )
