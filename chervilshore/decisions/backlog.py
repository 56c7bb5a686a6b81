"""What a host knows of the queues of preparing pools."""

import collections
from collections import abc as collections_abc
import math

import msgspec

from chervilshore.decisions import piecejobs
from chervilshore import ids

KNOWN_MS = 3000.0
"""Milliseconds after which what a keeper said says nothing any more."""


SHARE_MS = 1500.0
"""Milliseconds over which the share of timely work is averaged."""

LEAST_SPARE = 0.1
"""The part of a pool that is taken to be left for late work in any case."""


class Waits(msgspec.Struct, frozen=True, array_like=True):
    """How long new pieces wait for their call, about.

    Parameters
    ----------
    free_ms : float
        Milliseconds until an endpoint is free.
    levels : tuple
        For each priority with waiting pieces, the most urgent first, the
        milliseconds for pieces of that priority that can still reach their
        objective.
    late_ms : float
        Milliseconds for all others, which go behind.
    """

    free_ms: float = 0.0
    levels: tuple[tuple[int, float], ...] = ()
    late_ms: float = 0.0

    def find_timely(self, priority: int) -> float:
        """Tell how long timely pieces of a priority wait.

        Less urgent pieces give way to them, and don't count.
        """
        ahead = [millis for level, millis in self.levels if level <= priority]
        return ahead[-1] if ahead else self.free_ms

    def drain(self, millis: float) -> "Waits":
        """Tell what is left of the waits after some time."""
        return Waits(
            max(0.0, self.free_ms - millis),
            tuple(
                (level, max(0.0, wait - millis)) for level, wait in self.levels
            ),
            max(0.0, self.late_ms - millis),
        )


def estimate_waits(
    jobs: collections_abc.Iterable[piecejobs.Job],
    free_ms: float,
    piece_ms: float,
    spare: float,
    now: float,
) -> Waits:
    """Tell for how long new pieces wait.

    Parameters
    ----------
    jobs : iterable of Job
        What the pool has to do.
    free_ms : float
        Milliseconds until an endpoint is free.
    piece_ms : float
        Milliseconds in which the whole pool makes one piece.
    spare : float
        The part of the pool that is left for late work.
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
    levels = []
    ahead = 0
    for priority, waiting in sorted(timely.items()):
        ahead += waiting
        levels.append((priority, free_ms + ahead * piece_ms))
    return Waits(
        free_ms, tuple(levels), free_ms + (ahead + late) * piece_ms / spare
    )


class Backlog:
    """Remembers what keepers said; queues are taken to drain meanwhile."""

    def __init__(self) -> None:
        self._known: dict[ids.PoolName, tuple[float, Waits]] = {}

    def note(self, pool: ids.PoolName, waits: Waits, now: float) -> None:
        """Learn what a keeper says of its queue."""
        self._known[pool] = (now, waits)

    def find(self, pool: ids.PoolName, now: float) -> Waits:
        """Tell how long pieces wait there now, as far as it is known."""
        moment, waits = self._known.get(pool, (now, Waits()))
        passed = now - moment
        if passed > KNOWN_MS:
            return Waits()
        return waits.drain(passed)


class TimelyShare:
    """The part of a pool that timely work takes, over the last seconds."""

    def __init__(self) -> None:
        self._pieces = 0.0
        self._faded = 0.0

    def note(self, pieces: int, now: float) -> None:
        """Count timely pieces that were called for."""
        self._fade(now)
        self._pieces += pieces

    def count_spare(self, piece_ms: float, now: float) -> float:
        """Tell the part that is left for late work.

        Parameters
        ----------
        piece_ms : float
            Milliseconds in which the whole pool makes one piece.
        now : float
            The time in milliseconds.
        """
        self._fade(now)
        return max(LEAST_SPARE, 1.0 - self._pieces * piece_ms / SHARE_MS)

    def _fade(self, now: float) -> None:
        passed = max(0.0, now - self._faded)
        self._pieces *= math.exp(-passed / SHARE_MS)
        self._faded = now
