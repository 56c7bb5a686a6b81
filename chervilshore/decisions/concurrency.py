"""Adapts the concurrency limit of one endpoint to its health.

The limit starts at the cold bound and grows under use while attempts are
healthy.  It falls back to the cold bound at the first sign that the
endpoint is cold.
"""

import msgspec

from chervilshore import ids
from chervilshore import records

MIN_COLD_PERIOD_MS = 1000.0
"""Milliseconds without growth after the first cold start."""

MAX_COLD_PERIOD_MS = 60_000.0
"""Maximum milliseconds without growth after repeated cold starts."""

COLD_START_MEMORY_MS = 30_000.0
"""Milliseconds without a reset after which one cold start is forgotten."""

IDLE_HALVING_MS = 30_000.0
"""Milliseconds without use after which the limit is halved."""

SLOW_FACTOR = 4.0
"""Multiple of the baseline above which an attempt counts as slow."""

MAX_SLOW_ATTEMPTS = 5
"""Slow attempts in a row that are a sign of a cold start."""

MAX_REFUSALS = 3
"""Refusals in a row that are a sign of a cold start."""

ELEVATED_FACTOR = 2.0
"""Multiple of the baseline above which the limit decreases."""

RECENT_WEIGHT = 0.2
"""Weight of one attempt in the moving average of recent latencies."""

BASELINE_WEIGHT = 0.002
"""Weight of one attempt in the baseline average, after the first ones."""

MIN_USED_FRACTION = 0.7
"""Fraction of the limit that must be in use for the limit to grow."""

DECREASE_FACTOR = 0.9
"""Factor by which the limit decreases while latencies are elevated."""

WARM_AFTER_MS = 5000.0
"""Milliseconds since the last reset after which a raised limit means warm."""

WARM_UP_FACTOR = 1.5
"""Factor by which the limit grows in each step of the warm-up."""

MAX_INSTANCES = 8
"""Process instances of an endpoint that are remembered."""

COLD_START_OUTCOMES = frozenset(
    (
        records.Outcome.BUSY,
        records.Outcome.UNREACHED,
        records.Outcome.BROKEN,
    )
)
"""Outcomes that suggest a cold start."""


class Latency:
    """Moving averages of an endpoint's latency, recent and baseline."""

    def __init__(self) -> None:
        self.recent = 0.0
        self.baseline = 0.0
        self._count = 0

    def record(self, millis: float) -> None:
        """Record the duration of one attempt."""
        self._count += 1
        weight = max(BASELINE_WEIGHT, 1.0 / self._count)
        self.baseline += weight * (millis - self.baseline)
        weight = max(RECENT_WEIGHT, 1.0 / self._count)
        self.recent += weight * (millis - self.recent)

    def is_slow(self, millis: float) -> bool:
        """Return whether a duration is far above the baseline."""
        return 0 < SLOW_FACTOR * self.baseline < millis

    def is_elevated(self) -> bool:
        """Return whether recent durations are above the baseline."""
        return self.recent > ELEVATED_FACTOR * self.baseline


class Sample(msgspec.Struct, frozen=True):
    """What a holder has observed in its attempts at an endpoint.

    Parameters
    ----------
    outcomes : tuple of (Outcome, float)
        How they ended, each with its duration in milliseconds.
    instance : InstanceId
        The endpoint's process that responded; empty if none did.
    cold : bool
        Whether the endpoint reported that it is cold.
    """

    outcomes: tuple[tuple[records.Outcome, float], ...] = ()
    instance: ids.InstanceId = ids.InstanceId("")
    cold: bool = False


class Limit:
    """The concurrency limit of one endpoint over all hosts.

    Parameters
    ----------
    cold_bound : int
        Concurrent attempts that the endpoint sustains while it is cold.
    max_bound : int
        Maximum of concurrent attempts.
    now : float
        The time in milliseconds.
    """

    def __init__(self, cold_bound: int, max_bound: int, now: float) -> None:
        self.cold_bound = max(1, cold_bound)
        self.max_bound = max(self.cold_bound, max_bound)
        self._instances: list[ids.InstanceId] = []
        self.latency = Latency()
        self._value = float(self.cold_bound)
        # Each step multiplies the limit up to the target, and adds 1 beyond.
        self._target = float(self.max_bound)
        self._attempts_since_step = 0
        self._slow_attempts = 0
        self._refusals = 0
        self._cold_starts = 0
        self._no_growth_until = now
        self._reset_at = now
        self._used_at = now
        self._is_warm = False

    @property
    def value(self) -> int:
        """Concurrent attempts over all hosts."""
        return int(self._value)

    @property
    def warmth(self) -> records.Warmth:
        """The endpoint's warmth, as the limit shows it."""
        if self._is_warm:
            return records.Warmth.WARM
        if self.value > self.cold_bound:
            return records.Warmth.WARMING
        return records.Warmth.COLD

    def set_bounds(self, cold_bound: int, max_bound: int) -> None:
        """Replace both bounds, as set by the rules."""
        self.cold_bound = max(1, cold_bound)
        self.max_bound = max(self.cold_bound, max_bound)
        self._value = min(max(self._value, self.cold_bound), self.max_bound)
        self._target = min(self._target, self.max_bound)

    def reset_to_cold(self, now: float, is_cold_start: bool = False) -> None:
        """Reset to the cold bound and stop growth for a period.

        Parameters
        ----------
        now : float
            The time in milliseconds.
        is_cold_start : bool
            Whether the endpoint started cold, which makes the next period
            longer.
        """
        self._forget_cold_starts(now)
        if is_cold_start and self.warmth is not records.Warmth.COLD:
            self._cold_starts += 1
        period_ms = min(
            MIN_COLD_PERIOD_MS * 2.0 ** max(0, self._cold_starts - 1),
            MAX_COLD_PERIOD_MS,
        )
        self._no_growth_until = max(self._no_growth_until, now + period_ms)
        self._reset(now)
        self._target = float(self.max_bound)

    def resume(self, running: int, limit: int, now: float) -> None:
        """Continue from the state of an earlier owner of a warm endpoint.

        Parameters
        ----------
        running : int
            Attempts in flight, which the endpoint sustains.
        limit : int
            The limit of the earlier owner, which is reached in steps.
        now : float
            The time in milliseconds.
        """
        self._value = float(min(max(self.cold_bound, running), self.max_bound))
        self._target = float(min(max(limit, self.cold_bound), self.max_bound))
        self._is_warm = self.value >= self._target
        self._used_at = now

    def record(self, sample: Sample, in_use: int, now: float) -> bool:
        """Record the observations of a holder, and adapt the limit.

        Parameters
        ----------
        sample : Sample
            The observations.
        in_use : int
            Slots granted over all hosts.
        now : float
            The time in milliseconds.

        Returns
        -------
        bool
            Whether the sample suggests that the endpoint is cold.
        """
        self._decay_unused(now)
        restarted = self._record_instance(sample.instance)
        if sample.cold or restarted:
            self.latency = Latency() if restarted else self.latency
            self.reset_to_cold(now, is_cold_start=True)
            return True
        signs = [
            self._record_outcome(outcome, millis, in_use, now)
            for outcome, millis in sample.outcomes
        ]
        return any(signs)

    def _record_instance(self, instance: ids.InstanceId) -> bool:
        if not instance:
            return False
        if instance in self._instances:
            # A holder without recent attempts may name an earlier process.
            return False
        restarted = bool(self._instances)
        self._instances = (self._instances + [instance])[-MAX_INSTANCES:]
        return restarted

    def _record_outcome(
        self,
        outcome: records.Outcome,
        millis: float,
        in_use: int,
        now: float,
    ) -> bool:
        if outcome in (records.Outcome.UNREACHED, records.Outcome.BROKEN):
            self._handle_connection_loss(now)
            return True
        if outcome is records.Outcome.BUSY:
            return self._record_refusal(now)
        if outcome is records.Outcome.OK:
            return self._record_success(millis, in_use, now)
        return False

    def _handle_connection_loss(self, now: float) -> None:
        # A failed connection may mean a restart, so only the cold bound is
        # safe.  If the same process responds again, there was no restart:
        # the limit may then grow in steps to its old value without a period
        # of no growth.
        target = max(self._value, float(self.cold_bound))
        if self.warmth is records.Warmth.COLD:
            target = self._target
        if not self._instances:
            self.reset_to_cold(now, is_cold_start=True)
            return
        self._reset(now)
        self._target = max(float(self.cold_bound), target)

    def _record_refusal(self, now: float) -> bool:
        self._refusals += 1
        if self._refusals >= MAX_REFUSALS:
            self.reset_to_cold(now, is_cold_start=True)
            return True
        self._value = max(float(self.cold_bound), self._value / 2.0)
        self._target = self._value
        self._is_warm = self._is_warm and self.value > self.cold_bound
        return False

    def _record_success(self, millis: float, in_use: int, now: float) -> bool:
        self._refusals = 0
        slow = self.latency.is_slow(millis)
        self.latency.record(millis)
        self._slow_attempts = self._slow_attempts + 1 if slow else 0
        if self._slow_attempts >= MAX_SLOW_ATTEMPTS:
            self._slow_attempts = 0
            self.reset_to_cold(now, is_cold_start=True)
            return True
        self._used_at = now
        if self.latency.is_elevated():
            self._decrease()
        elif (
            now >= self._no_growth_until
            and in_use >= MIN_USED_FRACTION * self._value
        ):
            self._grow()
        if (
            self.value > self.cold_bound
            and now >= self._reset_at + WARM_AFTER_MS
        ):
            self._is_warm = True
        return False

    def _decrease(self) -> None:
        self._attempts_since_step += 1
        if self._attempts_since_step < self._value:
            return
        self._attempts_since_step = 0
        self._value = max(
            float(self.cold_bound), self._value * DECREASE_FACTOR
        )
        self._target = self._value
        self._is_warm = self.value > self.cold_bound

    def _grow(self) -> None:
        self._attempts_since_step += 1
        if self._attempts_since_step < self._value:
            return
        self._attempts_since_step = 0
        if self._value < self._target:
            self._value = min(
                max(self._value * WARM_UP_FACTOR, self._value + 1.0),
                self._target,
            )
        else:
            self._value = min(self._value + 1.0, float(self.max_bound))
        self._is_warm = self._value >= self._target

    def _reset(self, now: float) -> None:
        self._value = float(self.cold_bound)
        self._is_warm = False
        self._attempts_since_step = 0
        self._slow_attempts = 0
        self._refusals = 0
        self._reset_at = now

    def _forget_cold_starts(self, now: float) -> None:
        forgotten = int((now - self._reset_at) / COLD_START_MEMORY_MS)
        self._cold_starts = max(0, self._cold_starts - forgotten)

    def _decay_unused(self, now: float) -> None:
        halvings = int((now - self._used_at) / IDLE_HALVING_MS)
        if halvings <= 0:
            return
        self._used_at = now
        self._value = max(float(self.cold_bound), self._value / 2.0**halvings)
        self._is_warm = self._is_warm and self.value > self.cold_bound
