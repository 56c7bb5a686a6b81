"""Which of several suspects explains that endpoints have ended.

An endpoint that ends cuts all its requests, of which at most one is the
cause. What sound requests hold is cleared by their answers; what ends
endpoints never is, and stands in the requests of one after the other.
"""

from collections import abc

import msgspec

from chervilshore import fingerprints
from chervilshore import ids

MOMENT_MS = 500.0
"""Milliseconds within which endpoints count as ended at the same moment: a
common cause, such as the loss of a failure domain, ends many at once."""

SUCCESSION_MS = 5000.0
"""Milliseconds within which a few ends are a quick succession."""

INSTANT_MS = 60.0
"""Milliseconds within which hosts notice that endpoints ended together."""


class Thresholds(msgspec.Struct, frozen=True):
    """From which ends a leading suspect is held back.

    Parameters
    ----------
    moments : int
        Number of different moments, however far apart.
    crashes : int
        Number of endpoints in quick succession, or less.
    instants : int
        Instants at which these must have ended; fewer have a common cause.
    """

    moments: int
    crashes: int
    instants: int


THRESHOLDS = {
    fingerprints.Kind.PART: Thresholds(moments=4, crashes=4, instants=3),
    # The same request is rarely at several endpoints by chance.
    fingerprints.Kind.REQUEST: Thresholds(moments=3, crashes=3, instants=2),
}

Ends = dict[ids.CrashId, float]
"""Endpoints that ended, with the times in milliseconds."""

Suspects = dict[ids.Fingerprint, Ends]
"""For each suspect the endpoints that ended under it."""


class Verdict(msgspec.Struct, frozen=True):
    """A suspect that is held back.

    Parameters
    ----------
    crashes : int
        Number of endpoints that ended under it.
    moments : int
        Number of different moments at which they did.
    last_crash : float
        Time in milliseconds at which the last one ended.
    """

    crashes: int
    moments: int
    last_crash: float


def reach(suspects: Suspects) -> dict[ids.Fingerprint, Verdict]:
    """Return the suspects that are held back.

    Each time the one with the most ends is taken, and the ends that it
    explains count for no other suspect any more. Whole requests go before
    parts of prompts, which other requests may share by chance.
    """
    verdicts: dict[ids.Fingerprint, Verdict] = {}
    left = {suspect: dict(ends) for suspect, ends in suspects.items()}
    for kind in (fingerprints.Kind.REQUEST, fingerprints.Kind.PART):
        while found := _find_causes(left, kind):
            explained: set[ids.CrashId] = set()
            for suspect in found:
                verdicts[suspect] = _make_verdict(suspects[suspect])
                explained.update(suspects[suspect])
                del left[suspect]
            for ends in left.values():
                for crash in explained & ends.keys():
                    del ends[crash]
    return verdicts


def _make_verdict(ends: Ends) -> Verdict:
    moments = _count_apart(ends.values(), MOMENT_MS)
    return Verdict(len(ends), moments, max(ends.values()))


def _find_causes(
    suspects: Suspects, kind: fingerprints.Kind
) -> list[ids.Fingerprint]:
    """Return the suspects of a kind that explain most ends, if these suffice.

    There are several if they cannot be told apart, as all their requests
    hold them together.
    """
    needed = THRESHOLDS[kind]
    of_kind = {
        suspect: ends
        for suspect, ends in suspects.items()
        if fingerprints.read_kind(suspect) is kind
    }
    leading, rank = _find_leading(of_kind, _rank_by_moments)
    if len(leading) == 1 and rank[0] >= needed.moments:
        return leading
    leading, rank = _find_leading(of_kind, _rank_by_crashes)
    if rank[0] >= needed.crashes and rank[1] >= needed.instants:
        return leading
    return []


def _find_leading(
    suspects: Suspects,
    rank: abc.Callable[[Ends], tuple[int, int]],
) -> tuple[list[ids.Fingerprint], tuple[int, int]]:
    """Return the suspects with the highest rank, and this rank."""
    ranks = {suspect: rank(ends) for suspect, ends in suspects.items()}
    most = max(ranks.values(), default=(0, 0))
    return [suspect for suspect, rank in ranks.items() if rank == most], most


def _rank_by_moments(ends: Ends) -> tuple[int, int]:
    return _count_apart(ends.values(), MOMENT_MS), len(ends)


def _rank_by_crashes(ends: Ends) -> tuple[int, int]:
    """Rank by the ends in the quickest succession."""
    most = (0, 0)
    for first in ends.values():
        near = [at for at in ends.values() if 0 <= at - first <= SUCCESSION_MS]
        most = max(most, (len(near), _count_apart(near, INSTANT_MS)))
    return most


def _count_apart(times: abc.Iterable[float], gap_ms: float) -> int:
    """Return how many of some times in milliseconds are a gap apart."""
    count = 0
    last = float("-inf")
    for at in sorted(times):
        if at - last >= gap_ms:
            count += 1
            last = at
    return count
