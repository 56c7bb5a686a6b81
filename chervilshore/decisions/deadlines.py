"""Which deadlines can be met, and how stages share the time until them."""

import abc
from collections import abc as collections_abc

from chervilshore.decisions import samples
from chervilshore import ids

Pools = collections_abc.Sequence[ids.PoolName]
"""The pools that a request still has to pass, in order."""

HOPELESS_QUANTILE = 0.1
"""Quantile of recent durations that a hopeless deadline does not leave time
for."""

TYPICAL_QUANTILE = 0.5
"""Quantile of recent durations that is reserved for later stages."""

PROBE_MS = 1000.0
"""Time without an attempt at a pool after which a request with a hopeless
deadline is let through."""


class DeadlinePolicy(abc.ABC):
    """Judges deadlines by the recent durations of attempts."""

    @abc.abstractmethod
    def record_attempt(
        self, pool: ids.PoolName, millis: float, now: float
    ) -> None:
        """Record how long an attempt took.

        Parameters
        ----------
        pool : PoolName
            The pool that was used.
        millis : float
            Milliseconds that the attempt took until it ended or was
            abandoned.
        now : float
            The time in milliseconds.
        """

    @abc.abstractmethod
    def estimate(self, pools: Pools, now: float) -> float:
        """Return the milliseconds that the pools take in the best case."""

    @abc.abstractmethod
    def admits(
        self, pools: Pools, deadline: float, now: float, probe: bool = False
    ) -> bool:
        """Return whether a request may still meet its deadline.

        Parameters
        ----------
        pools : sequence of PoolName
            The pools that it will pass.
        deadline : float
            Its deadline in milliseconds.
        now : float
            The time in milliseconds.
        probe : bool
            Whether it may be let through to measure how long the pools
            take now.
        """

    @abc.abstractmethod
    def stage_deadline(
        self, pools: Pools, deadline: float, now: float
    ) -> float:
        """Return the time by which the first of the pools must be done.

        Parameters
        ----------
        pools : sequence of PoolName
            The pools left, that of the current stage first.
        deadline : float
            The request's deadline in milliseconds.
        now : float
            The time in milliseconds.
        """


class WholeDeadline(DeadlinePolicy):
    """The baseline: each stage may use all the time that is left."""

    def record_attempt(
        self, pool: ids.PoolName, millis: float, now: float
    ) -> None:
        """Record nothing; see `DeadlinePolicy.record_attempt`."""

    def estimate(self, pools: Pools, now: float) -> float:
        """Estimate no time at all; see `DeadlinePolicy.estimate`."""
        return 0.0

    def admits(
        self, pools: Pools, deadline: float, now: float, probe: bool = False
    ) -> bool:
        """Admit until the deadline; see `DeadlinePolicy.admits`."""
        return now < deadline

    def stage_deadline(
        self, pools: Pools, deadline: float, now: float
    ) -> float:
        """Return the deadline; see `DeadlinePolicy.stage_deadline`."""
        return deadline


class StageTimes(DeadlinePolicy):
    """Judges by the durations of recent attempts at each pool.

    A pool without recent attempts is expected to take no time. Now and then
    a request with a hopeless deadline is let through as a probe, if one of
    its pools had no attempt for a while. Without that, a pool that was slow
    once could be refused for ever.
    """

    def __init__(self) -> None:
        self._windows: dict[ids.PoolName, samples.Window] = {}
        self._probed_at: dict[ids.PoolName, float] = {}

    def record_attempt(
        self, pool: ids.PoolName, millis: float, now: float
    ) -> None:
        """Record a duration; see `DeadlinePolicy.record_attempt`."""
        window = self._windows.get(pool)
        if window is None:
            window = self._windows[pool] = samples.Window()
        window.add(millis, now)

    def estimate(self, pools: Pools, now: float) -> float:
        """Add up low quantiles; see `DeadlinePolicy.estimate`."""
        return self._add_up(pools, HOPELESS_QUANTILE, now)

    def quantile(
        self, pool: ids.PoolName, fraction: float, now: float
    ) -> float | None:
        """Return a quantile of a pool's durations; None when unknown."""
        window = self._windows.get(pool)
        return window.quantile(fraction, now) if window else None

    def count(self, pool: ids.PoolName, now: float) -> int:
        """Return the number of recent attempts at a pool."""
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
        """Reserve for the later stages the time that they typically take.

        When that leaves too little for the current stage, all stages get
        time in proportion; see `DeadlinePolicy.stage_deadline`.
        """
        later = self._add_up(pools[1:], TYPICAL_QUANTILE, now)
        own = self._add_up(pools[:1], TYPICAL_QUANTILE, now)
        if own + later <= 0.0:
            return deadline
        proportional = (deadline - now) * own / (own + later)
        return max(deadline - later, now + proportional)

    def describe(self, now: float) -> dict[str, dict[str, float]]:
        """Return low, median and high durations of each pool."""
        return {
            pool: {
                "p10_ms": window.quantile(0.1, now) or 0.0,
                "p50_ms": window.quantile(0.5, now) or 0.0,
                "p95_ms": window.quantile(0.95, now) or 0.0,
            }
            for pool, window in self._windows.items()
        }

    def _add_up(self, pools: Pools, fraction: float, now: float) -> float:
        return sum(self.quantile(pool, fraction, now) or 0.0 for pool in pools)

    def _probe(self, pools: Pools, now: float) -> bool:
        """Return whether a probe is due; it counts as sent if so."""
        for pool in pools:
            if self._is_probe_due(pool, now):
                self._probed_at[pool] = now
                return True
        return False

    def _is_probe_due(self, pool: ids.PoolName, now: float) -> bool:
        window = self._windows.get(pool)
        if window is None or window.last_time is None:
            return False
        latest = max(
            window.last_time, self._probed_at.get(pool, window.last_time)
        )
        return now - latest >= PROBE_MS
