"""Estimates of how long new items wait in the queues of batch pools."""

import collections
from collections import abc as collections_abc
import math

import msgspec

from chervilshore.decisions import batchjobs
from chervilshore import ids

MAX_ESTIMATE_AGE_MS = 3000.0
"""Age from which the estimate of an owner is ignored."""

TIMELY_WINDOW_MS = 1500.0
"""Time constant of the moving average of timely work."""

MIN_SPARE_FRACTION = 0.1
"""Least fraction of a pool that is assumed to be left for late work."""


class WaitEstimate(msgspec.Struct, frozen=True, array_like=True):
    """Estimated times until the call of new items begins.

    Parameters
    ----------
    free_ms : float
        Milliseconds until an endpoint is free.
    timely_waits : tuple
        Pairs of priority and milliseconds, the most urgent first: the wait
        of items of that priority that can still reach their objective. Only
        priorities with waiting items are listed.
    late_ms : float
        Milliseconds for all other items, which go last.
    """

    free_ms: float = 0.0
    timely_waits: tuple[tuple[int, float], ...] = ()
    late_ms: float = 0.0

    def timely_wait_ms(self, priority: int) -> float:
        """Return the wait of timely items of a priority in milliseconds.

        Less urgent items go behind them and add no wait.
        """
        ahead = [
            millis for level, millis in self.timely_waits if level <= priority
        ]
        return ahead[-1] if ahead else self.free_ms

    def drain(self, millis: float) -> "WaitEstimate":
        """Return the estimate after the queue has drained for some time."""
        return WaitEstimate(
            max(0.0, self.free_ms - millis),
            tuple(
                (level, max(0.0, wait - millis))
                for level, wait in self.timely_waits
            ),
            max(0.0, self.late_ms - millis),
        )


def estimate_waits(
    jobs: collections_abc.Iterable[batchjobs.Job],
    free_ms: float,
    item_ms: float,
    spare_fraction: float,
    now: float,
) -> WaitEstimate:
    """Estimate how long new items wait in the queue of a pool.

    Parameters
    ----------
    jobs : iterable of Job
        The unfinished jobs of the pool.
    free_ms : float
        Milliseconds until an endpoint is free.
    item_ms : float
        Milliseconds in which the whole pool processes one item.
    spare_fraction : float
        The fraction of the pool that is left for late work.
    now : float
        The time in milliseconds.
    """
    timely: collections.Counter[int] = collections.Counter()
    late = 0
    for job in jobs:
        if now <= job.due:
            timely[job.priority] += len(job.waiting)
        else:
            late += len(job.waiting)
    timely_waits = []
    ahead = 0
    for priority, waiting in sorted(timely.items()):
        ahead += waiting
        timely_waits.append((priority, free_ms + ahead * item_ms))
    return WaitEstimate(
        free_ms,
        tuple(timely_waits),
        free_ms + (ahead + late) * item_ms / spare_fraction,
    )


class Backlog:
    """Caches the estimates of owners.

    Queues are assumed to drain until the next estimate arrives.
    """

    def __init__(self) -> None:
        self._known: dict[ids.PoolName, tuple[float, WaitEstimate]] = {}

    def record_waits(
        self, pool: ids.PoolName, waits: WaitEstimate, now: float
    ) -> None:
        """Record the estimate that the owner of a pool sent."""
        self._known[pool] = (now, waits)

    def current_waits(self, pool: ids.PoolName, now: float) -> WaitEstimate:
        """Return the current waits of a pool; all are 0 when unknown."""
        recorded_at, waits = self._known.get(pool, (now, WaitEstimate()))
        age_ms = now - recorded_at
        if age_ms > MAX_ESTIMATE_AGE_MS:
            return WaitEstimate()
        return waits.drain(age_ms)


class TimelyLoad:
    """Moving average of the capacity of a pool that timely work uses."""

    def __init__(self) -> None:
        self._items = 0.0
        self._decayed_at = 0.0

    def record_items(self, count: int, now: float) -> None:
        """Record timely items that a call has taken from the queue."""
        self._decay(now)
        self._items += count

    def spare_fraction(self, item_ms: float, now: float) -> float:
        """Return the fraction of the pool that is left for late work.

        Parameters
        ----------
        item_ms : float
            Milliseconds in which the whole pool processes one item.
        now : float
            The time in milliseconds.
        """
        self._decay(now)
        return max(
            MIN_SPARE_FRACTION,
            1.0 - self._items * item_ms / TIMELY_WINDOW_MS,
        )

    def _decay(self, now: float) -> None:
        elapsed_ms = max(0.0, now - self._decayed_at)
        self._items *= math.exp(-elapsed_ms / TIMELY_WINDOW_MS)
        self._decayed_at = now
