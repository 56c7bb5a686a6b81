"""Which deadlines can be met, and what part of one a stage may use."""

import abc
from collections import abc as collections_abc

from chervilshore.decisions import samples
from chervilshore import ids

Pools = collections_abc.Sequence[ids.PoolName]
"""The pools that a request still has to pass, in order."""

HOPELESS_QUANTILE = 0.1
"""A deadline that even this part of attempts would miss is hopeless."""

TYPICAL_QUANTILE = 0.5
"""The part of attempts whose time is left for the later stages."""

PROBE_MS = 1000.0
"""Milliseconds of silence after which a hopeless request is let through."""


class DeadlinePolicy(abc.ABC):
    """Judges deadlines by what it has seen of the stages."""

    @abc.abstractmethod
    def record_attempt(
        self, pool: ids.PoolName, millis: float, now: float
    ) -> None:
        """Learn how long an attempt took.

        Parameters
        ----------
        pool : PoolName
            The pool that was asked.
        millis : float
            Milliseconds that the attempt took, or had taken when it was
            given up.
        now : float
            The time in milliseconds.
        """

    @abc.abstractmethod
    def estimate(self, pools: Pools, now: float) -> float:
        """Tell the milliseconds that the pools take when all goes well."""

    @abc.abstractmethod
    def admits(
        self, pools: Pools, deadline: float, now: float, probe: bool = False
    ) -> bool:
        """Tell whether a request may still make its deadline.

        Parameters
        ----------
        pools : sequence of PoolName
            The pools that it will pass.
        deadline : float
            Its deadline in milliseconds.
        now : float
            The time in milliseconds.
        probe : bool
            Whether it may be let through to find out how long the pools
            take now.
        """

    @abc.abstractmethod
    def stage_deadline(
        self, pools: Pools, deadline: float, now: float
    ) -> float:
        """Tell the moment by which the first of the pools must be done.

        Parameters
        ----------
        pools : sequence of PoolName
            The pools left, the one at hand first.
        deadline : float
            The request's deadline in milliseconds.
        now : float
            The time in milliseconds.
        """


class WholeDeadline(DeadlinePolicy):
    """The baseline: each stage may use all that is left."""

    def record_attempt(
        self, pool: ids.PoolName, millis: float, now: float
    ) -> None:
        """Learn nothing; see `DeadlinePolicy.record_attempt`."""

    def estimate(self, pools: Pools, now: float) -> float:
        """Expect no time at all; see `DeadlinePolicy.estimate`."""
        return 0.0

    def admits(
        self, pools: Pools, deadline: float, now: float, probe: bool = False
    ) -> bool:
        """Admit until the deadline; see `DeadlinePolicy.admits`."""
        return now < deadline

    def stage_deadline(
        self, pools: Pools, deadline: float, now: float
    ) -> float:
        """Leave it whole; see `DeadlinePolicy.stage_deadline`."""
        return deadline


class StageTimes(DeadlinePolicy):
    """Judges by the times of recent attempts at each pool.

    A pool without recent attempts is expected to take no time. A request
    that seems hopeless is let through now and then when nothing has been
    heard of one of its pools for a while: else a pool that was slow once
    could be refused for ever.
    """

    def __init__(self) -> None:
        self._windows: dict[ids.PoolName, samples.Window] = {}
        self._probed: dict[ids.PoolName, float] = {}

    def record_attempt(
        self, pool: ids.PoolName, millis: float, now: float
    ) -> None:
        """Learn a time; see `DeadlinePolicy.record_attempt`."""
        window = self._windows.get(pool)
        if window is None:
            window = self._windows[pool] = samples.Window()
        window.add(millis, now)

    def estimate(self, pools: Pools, now: float) -> float:
        """Add up low quantiles; see `DeadlinePolicy.estimate`."""
        return self._add_up(pools, HOPELESS_QUANTILE, now)

    def quantile(
        self, pool: ids.PoolName, part: float, now: float
    ) -> float | None:
        """Tell a quantile of a pool's times; nothing when unknown."""
        window = self._windows.get(pool)
        return window.quantile(part, now) if window else None

    def count(self, pool: ids.PoolName, now: float) -> int:
        """Count the recent attempts that are known of a pool."""
        window = self._windows.get(pool)
        return window.count(now) if window else 0

    def admits(
        self, pools: Pools, deadline: float, now: float, probe: bool = False
    ) -> bool:
        """Compare with low quantiles; see `DeadlinePolicy.admits`."""
        if now >= deadline:
            return False
        if now + self.estimate(pools, now) <= deadline:
            return True
        return probe and self._probe(pools, now)

    def stage_deadline(
        self, pools: Pools, deadline: float, now: float
    ) -> float:
        """Leave the later stages what they typically take.

        When that leaves too little for the stage at hand, all stages get
        parts in proportion; see `DeadlinePolicy.stage_deadline`.
        """
        later = self._add_up(pools[1:], TYPICAL_QUANTILE, now)
        own = self._add_up(pools[:1], TYPICAL_QUANTILE, now)
        if own + later <= 0.0:
            return deadline
        part = (deadline - now) * own / (own + later)
        return max(deadline - later, now + part)

    def describe(self, now: float) -> dict[str, dict[str, float]]:
        """Tell the low, middle and high times of each pool."""
        return {
            pool: {
                "p10_ms": window.quantile(0.1, now) or 0.0,
                "p50_ms": window.quantile(0.5, now) or 0.0,
                "p95_ms": window.quantile(0.95, now) or 0.0,
            }
            for pool, window in self._windows.items()
        }

    def _add_up(self, pools: Pools, part: float, now: float) -> float:
        return sum(self.quantile(pool, part, now) or 0.0 for pool in pools)

    def _probe(self, pools: Pools, now: float) -> bool:
        for pool in pools:
            if self._is_silent(pool, now):
                self._probed[pool] = now
                return True
        return False

    def _is_silent(self, pool: ids.PoolName, now: float) -> bool:
        window = self._windows.get(pool)
        if window is None or window.last is None:
            return False
        latest = max(window.last, self._probed.get(pool, window.last))
        return now - latest >= PROBE_MS
