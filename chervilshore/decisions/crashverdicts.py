"""Which of several suspects explains that endpoints have ended.

An endpoint that ends cuts all its requests, of which at most one is the
cause. What sound requests hold is cleared by their answers; what ends
endpoints never is, and stands in the requests of one after the other.
"""

from collections import abc

import msgspec

from chervilshore import ids

MOMENT_MS = 500.0
"""Milliseconds within which endpoints count as ended at the same moment: a
common cause, such as the loss of a failure domain, ends many at once."""

MIN_MOMENTS = 4
"""Moments at which endpoints ended under the leading suspect, from which it
is held back."""

SUCCESSION_MS = 5000.0
"""Milliseconds within which a few ends are a quick succession."""

INSTANT_MS = 60.0
"""Milliseconds within which hosts notice that endpoints ended together."""

MIN_CRASHES = 4
"""Endpoints that ended under a suspect in quick succession, from which it is
held back until a trial."""

MIN_INSTANTS = 3
"""Instants at which these must have ended: fewer have a common cause."""

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
    explains count for no other suspect any more.
    """
    verdicts = {}
    left = {suspect: dict(ends) for suspect, ends in suspects.items()}
    while found := _find_causes(left):
        explained: set[ids.CrashId] = set()
        for suspect in found:
            ends = suspects[suspect]
            verdicts[suspect] = Verdict(
                len(ends),
                _count_apart(ends.values(), MOMENT_MS),
                max(ends.values()),
            )
            explained.update(ends)
            del left[suspect]
        for ends in left.values():
            for crash in explained & ends.keys():
                del ends[crash]
    return verdicts


def _find_causes(suspects: Suspects) -> list[ids.Fingerprint]:
    """Return the suspects that explain most ends, if these are enough.

    There are several if they cannot be told apart, as all their requests
    hold them together.
    """
    leading = _find_leading(suspects, _rank_by_moments)
    if len(leading) == 1:
        moments, _ = _rank_by_moments(suspects[leading[0]])
        if moments >= MIN_MOMENTS:
            return leading
    leading = _find_leading(suspects, _rank_by_crashes)
    if leading:
        crashes, instants = _rank_by_crashes(suspects[leading[0]])
        if crashes >= MIN_CRASHES and instants >= MIN_INSTANTS:
            return leading
    return []


def _find_leading(
    suspects: Suspects,
    rank: abc.Callable[[Ends], tuple[int, int]],
) -> list[ids.Fingerprint]:
    """Return the suspects with the highest rank."""
    ranks = {suspect: rank(ends) for suspect, ends in suspects.items()}
    most = max(ranks.values(), default=None)
    return [suspect for suspect, rank in ranks.items() if rank == most]


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
