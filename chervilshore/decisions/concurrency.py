"""How many attempts at once an endpoint bears.

The limit begins at the cold bound, grows under use while attempts are
healthy, and falls back to the cold bound on the first sign that the
endpoint is cold.
"""

import msgspec

from chervilshore import ids
from chervilshore import records

COLD_MS = 1000.0
"""Milliseconds without growth after the first cold start."""

MOST_COLD_MS = 60_000.0
"""Milliseconds without growth after many cold starts in a row."""

FORGIVE_MS = 30_000.0
"""Milliseconds of health after which one cold start is forgotten."""

IDLE_MS = 30_000.0
"""Milliseconds of disuse after which the limit is halved."""

SLOW_FACTOR = 4.0
"""Times the baseline at which an attempt counts as slow."""

SLOW_SIGNS = 5
"""Slow attempts in a row that are a sign of a cold start."""

BUSY_SIGNS = 3
"""Refusals in a row that are a sign of a cold start."""

STRAINED_FACTOR = 2.0
"""Times the baseline at which the limit stops growing and gives way."""

RECENT_WEIGHT = 0.2
"""Weight of one attempt in the recent latency."""

BASELINE_WEIGHT = 0.002
"""Weight of one attempt in the baseline, after the first ones."""

USED_SHARE = 0.7
"""Share of the limit that must be in use for the limit to grow."""

GIVE_WAY = 0.9
"""What the limit is multiplied by when latencies are strained."""

PROVEN_MS = 5000.0
"""Milliseconds of health after which a raised limit counts as warm."""

STEP = 1.5
"""What the limit is multiplied by after each healthy round of warm-up."""

MOST_INSTANCES = 8
"""Processes of an endpoint that are remembered."""

SIGNS = frozenset(
    (
        records.Outcome.BUSY,
        records.Outcome.UNREACHED,
        records.Outcome.BROKEN,
    )
)
"""Outcomes that may be signs of a cold start."""


class Latency:
    """The latency of an endpoint, recent and as a baseline."""

    def __init__(self) -> None:
        self.recent = 0.0
        self.baseline = 0.0
        self._count = 0

    def note(self, millis: float) -> None:
        """Learn the milliseconds of one attempt."""
        self._count += 1
        weight = max(BASELINE_WEIGHT, 1.0 / self._count)
        self.baseline += weight * (millis - self.baseline)
        weight = max(RECENT_WEIGHT, 1.0 / self._count)
        self.recent += weight * (millis - self.recent)

    def is_slow(self, millis: float) -> bool:
        """Tell whether one attempt is far over the baseline."""
        return 0 < SLOW_FACTOR * self.baseline < millis

    def is_strained(self) -> bool:
        """Tell whether recent attempts are over the baseline."""
        return self.recent > STRAINED_FACTOR * self.baseline


class Sample(msgspec.Struct, frozen=True):
    """What a holder has told of attempts at an endpoint.

    Parameters
    ----------
    outcomes : tuple of (Outcome, float)
        How they ended, each with its milliseconds.
    instance : InstanceId
        The process that answered; empty when none did.
    cold : bool
        Whether the endpoint said that it is cold.
    """

    outcomes: tuple[tuple[records.Outcome, float], ...] = ()
    instance: ids.InstanceId = ids.InstanceId("")
    cold: bool = False


class Limit:
    """The limit of one endpoint over all hosts.

    Parameters
    ----------
    cold : int
        Attempts at once that a cold endpoint bears.
    most : int
        Attempts at once that the endpoint is given at most.
    now : float
        The time in milliseconds.
    """

    def __init__(self, cold: int, most: int, now: float) -> None:
        self.cold = max(1, cold)
        self.most = max(self.cold, most)
        self._instances: list[ids.InstanceId] = []
        self.latency = Latency()
        self._value = float(self.cold)
        # Growth is by steps up to here, and slow beyond.
        self._target = float(self.most)
        self._healthy = 0
        self._slow = 0
        self._busy = 0
        self._episodes = 0
        self._still_until = now
        self._fallen = now
        self._used = now
        self._is_warm = False

    @property
    def value(self) -> int:
        """Attempts at once over all hosts."""
        return int(self._value)

    @property
    def warmth(self) -> records.Warmth:
        """What the endpoint is thought to bear."""
        if self._is_warm:
            return records.Warmth.WARM
        if self.value > self.cold:
            return records.Warmth.WARMING
        return records.Warmth.COLD

    def bound(self, cold: int, most: int) -> None:
        """Take new bounds from the rules."""
        self.cold = max(1, cold)
        self.most = max(self.cold, most)
        self._value = min(max(self._value, self.cold), self.most)
        self._target = min(self._target, self.most)

    def chill(self, now: float, flapped: bool = False) -> None:
        """Fall to the cold bound and stay there for a while.

        Parameters
        ----------
        now : float
            The time in milliseconds.
        flapped : bool
            Whether it counts towards a longer cold period.
        """
        self._forgive(now)
        if flapped and self.warmth is not records.Warmth.COLD:
            self._episodes += 1
        still = min(COLD_MS * 2.0 ** max(0, self._episodes - 1), MOST_COLD_MS)
        self._still_until = max(self._still_until, now + still)
        self._fall(now)
        self._target = float(self.most)

    def resume(self, running: int, limit: int, now: float) -> None:
        """Go on where an earlier keeper of a warm endpoint stopped.

        Parameters
        ----------
        running : int
            Attempts that run there now; it bears at least these.
        limit : int
            The limit of the earlier keeper, which is reached in steps.
        now : float
            The time in milliseconds.
        """
        self._value = float(min(max(self.cold, running), self.most))
        self._target = float(min(max(limit, self.cold), self.most))
        self._is_warm = self.value >= self._target
        self._used = now

    def note(self, sample: Sample, in_use: int, now: float) -> bool:
        """Learn how attempts ended.

        Parameters
        ----------
        sample : Sample
            What a holder has told.
        in_use : int
            Slots given out over all hosts.
        now : float
            The time in milliseconds.

        Returns
        -------
        bool
            Whether this was a sign that the endpoint is cold.
        """
        self._decay(now)
        restarted = self._see_instance(sample.instance)
        if sample.cold or restarted:
            self.latency = Latency() if restarted else self.latency
            self.chill(now, flapped=True)
            return True
        signs = [
            self._note_one(outcome, millis, in_use, now)
            for outcome, millis in sample.outcomes
        ]
        return any(signs)

    def _see_instance(self, instance: ids.InstanceId) -> bool:
        if not instance:
            return False
        if instance in self._instances:
            # A holder that has not been there of late may name a former one.
            return False
        restarted = bool(self._instances)
        self._instances = (self._instances + [instance])[-MOST_INSTANCES:]
        return restarted

    def _note_one(
        self,
        outcome: records.Outcome,
        millis: float,
        in_use: int,
        now: float,
    ) -> bool:
        if outcome in (records.Outcome.UNREACHED, records.Outcome.BROKEN):
            self._stumble(now)
            return True
        if outcome is records.Outcome.BUSY:
            return self._note_busy(now)
        if outcome is records.Outcome.OK:
            return self._note_ok(millis, in_use, now)
        return False

    def _stumble(self, now: float) -> None:
        # A lost connection may be a restart: nothing but the cold bound is
        # safe.  The same process answering on shows that it was none, so
        # the way back is by steps and without a period of rest.
        target = max(self._value, float(self.cold))
        if self.warmth is records.Warmth.COLD:
            target = self._target
        if not self._instances:
            self.chill(now, flapped=True)
            return
        self._fall(now)
        self._target = max(float(self.cold), target)

    def _note_busy(self, now: float) -> bool:
        self._busy += 1
        if self._busy >= BUSY_SIGNS:
            self.chill(now, flapped=True)
            return True
        self._value = max(float(self.cold), self._value / 2.0)
        self._target = self._value
        self._is_warm = self._is_warm and self.value > self.cold
        return False

    def _note_ok(self, millis: float, in_use: int, now: float) -> bool:
        self._busy = 0
        slow = self.latency.is_slow(millis)
        self.latency.note(millis)
        self._slow = self._slow + 1 if slow else 0
        if self._slow >= SLOW_SIGNS:
            self._slow = 0
            self.chill(now, flapped=True)
            return True
        self._used = now
        if self.latency.is_strained():
            self._give_way()
        elif now >= self._still_until and in_use >= USED_SHARE * self._value:
            self._grow()
        if self.value > self.cold and now >= self._fallen + PROVEN_MS:
            self._is_warm = True
        return False

    def _give_way(self) -> None:
        self._healthy += 1
        if self._healthy < self._value:
            return
        self._healthy = 0
        self._value = max(float(self.cold), self._value * GIVE_WAY)
        self._target = self._value
        self._is_warm = self.value > self.cold

    def _grow(self) -> None:
        self._healthy += 1
        if self._healthy < self._value:
            return
        self._healthy = 0
        if self._value < self._target:
            self._value = min(
                max(self._value * STEP, self._value + 1.0), self._target
            )
        else:
            self._value = min(self._value + 1.0, float(self.most))
        self._is_warm = self._value >= self._target

    def _fall(self, now: float) -> None:
        self._value = float(self.cold)
        self._is_warm = False
        self._healthy = 0
        self._slow = 0
        self._busy = 0
        self._fallen = now

    def _forgive(self, now: float) -> None:
        forgiven = int((now - self._fallen) / FORGIVE_MS)
        self._episodes = max(0, self._episodes - forgiven)

    def _decay(self, now: float) -> None:
        halvings = int((now - self._used) / IDLE_MS)
        if halvings <= 0:
            return
        self._used = now
        self._value = max(float(self.cold), self._value / 2.0**halvings)
        self._is_warm = self._is_warm and self.value > self.cold
