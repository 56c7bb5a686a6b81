"""When a roll-out moves from one phase to the next."""

from collections import abc
import math

from chervilshore.decisions import rendezvous
from chervilshore.decisions.rollouts import records as rollout_records
from chervilshore import ids
from chervilshore import records

STEPS = (0.25, 0.5, 0.9)
"""Shares of the new version while requests move to it. The rest shows until
the end how the other versions do."""

MIN_MOVE_MS = 4_500.0
"""Least duration of the steps together."""

MAX_MOVE_MS = 12_000.0
"""Greatest duration of the steps together."""

MOVE_FRACTION = 0.1
"""Duration of the steps as a fraction of that of the order."""

MIN_CANARY_FRACTION = 0.3
"""Fraction of the order's duration for which there is a canary at least."""

SPREAD_MS = 3_000.0
"""Milliseconds in which all hosts learn of a phase and report it."""

CLOSING_MS = 1_500.0
"""Milliseconds before the deadline at which hosts that are not heard of are
no longer waited for."""

HOLD_MS = 4_000.0
"""Milliseconds before the deadline until which the other versions are kept, as
the new one may turn bad."""

CANARY_MS = 2_000.0
"""Milliseconds after which the next endpoints get the canary's requests, for
each endpoint that gets them; large pools mostly have long requests."""

CANARY_SHARE = 0.09
"""Share of the requests that the canary gets at most."""

MIN_CAPACITY_FRACTION = 0.75
"""Capacity of the new version, as a fraction of that of the others, without
which requests do not move to it."""


def has_capacity(
    new: abc.Collection[records.EndpointRecord],
    old: abc.Collection[records.EndpointRecord],
) -> bool:
    """Return whether the new version could carry the load of the others."""
    if not new:
        return False
    return _sum_slots(new) >= MIN_CAPACITY_FRACTION * _sum_slots(old)


def _sum_slots(endpoints: abc.Iterable[records.EndpointRecord]) -> int:
    return sum(max(1, record.slots) for record in endpoints)


class Schedule:
    """The times of one order.

    A version may turn bad at any time until the deadline, and all that it got
    counts then. So requests move as late as the work that still runs at the
    other versions allows.

    Parameters
    ----------
    started : float
        The time of the order in milliseconds.
    duration_ms : float
        Milliseconds until its deadline.

    Attributes
    ----------
    deadline : float
        The time of the deadline in milliseconds.
    """

    def __init__(self, started: float, duration_ms: float) -> None:
        self.deadline = started + duration_ms
        self._started = started
        self._duration_ms = duration_ms
        self._moved_at = math.inf
        self._switched_at = -math.inf
        self._move_ms = min(
            MAX_MOVE_MS, max(MIN_MOVE_MS, MOVE_FRACTION * duration_ms)
        )

    def record_phase(self, phase: rollout_records.Phase, now: float) -> None:
        """Record that a phase begins."""
        if phase is rollout_records.Phase.MOVING:
            self._moved_at = now
        elif phase is rollout_records.Phase.SWITCHED:
            self._switched_at = now

    def may_move(self, longest_ms: float, now: float) -> bool:
        """Return whether requests may begin to move.

        Parameters
        ----------
        longest_ms : float
            Milliseconds that an attempt lasts at most.
        now : float
            The time in milliseconds.
        """
        needed_ms = HOLD_MS + SPREAD_MS + longest_ms + self._move_ms
        latest = self.deadline - needed_ms
        earliest = self._started + MIN_CANARY_FRACTION * self._duration_ms
        return now >= max(earliest, latest)

    def may_switch(self, now: float) -> bool:
        """Return whether the last of the steps is over."""
        return now >= self._moved_at + self._move_ms

    def find_share(self, now: float) -> float:
        """Return the share of the new version while requests move."""
        done = max(0.0, now - self._moved_at) / self._move_ms
        return STEPS[min(len(STEPS) - 1, int(done * len(STEPS)))]

    def is_overdue(self, now: float) -> bool:
        """Return whether the deadline has passed."""
        return now >= self.deadline

    def may_complete(self, now: float) -> bool:
        """Return whether the other versions need not be kept longer."""
        return now >= self.deadline - HOLD_MS

    def may_miss_hosts(self, now: float) -> bool:
        """Return whether hosts that are not heard of are waited for no more.

        What they had sent has ended by then, but they may still send to the
        other versions if they do not know of the switch.
        """
        return now >= max(
            self._switched_at + SPREAD_MS, self.deadline - CLOSING_MS
        )

    def choose_canaries(
        self, new: abc.Collection[ids.EndpointId], old: int, now: float
    ) -> frozenset[ids.EndpointId]:
        """Choose the endpoints for the canary, the same on all hosts.

        Parameters
        ----------
        new : collection of EndpointId
            The endpoints of the new version.
        old : int
            Number of endpoints of the other versions.
        now : float
            The time in milliseconds.
        """
        if not new:
            return frozenset()
        ranked = rendezvous.rank(new, "canary")
        count = min(len(ranked), max(1, math.ceil(CANARY_SHARE * old)))
        turn = int((now - self._started) // (CANARY_MS * count)) * count
        return frozenset(
            ranked[(turn + index) % len(ranked)] for index in range(count)
        )
