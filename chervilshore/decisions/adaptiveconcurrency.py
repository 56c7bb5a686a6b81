"""Adaptive concurrency limits on the requests that a host admits."""

import math

from chervilshore import clock as clocks
from chervilshore.decisions import retrytimes
from chervilshore.decisions import shedding
from chervilshore import ids

INTERVAL_MS = 100.0
"""Shortest time between two updates of a limit."""

MIN_TARGET_WAIT_MS = 100.0
"""Time that stages may usually wait for a slot, whatever the duration of
their requests."""

TARGET_WAIT_FRACTION = 0.5
"""Fraction of a request's duration that a stage may usually wait for a
slot."""

MIN_TARGET_QUEUE = 2.0
"""Number of stages that may always wait."""

INITIAL_LIMIT = 32.0
"""Limit of a pool about which nothing is known yet."""

MIN_LIMIT = 2.0
"""Lowest limit."""

MAX_LIMIT = 100_000.0
"""Highest limit."""

DECREASE_FRACTION = 0.5
"""Fraction of the way to a lower limit that one update goes."""

GROWTH_FRACTION = 0.1
"""Fraction of the limit by which it may grow within an interval."""

MIN_GROWTH = 2.0
"""Requests by which a limit may always grow within an interval."""

OVERTAKE_FRACTION = 0.5
"""Maximum fraction of the limit by which a class may exceed it, on account of
less urgent requests in flight that it overtakes in the queue."""

CLASS_FRACTION = 0.05
"""Fraction of the limit that is reserved for each class."""

NEWEST_WEIGHT = 0.2
"""Weight of the newest value in a moving average."""


class _ClassLoad:
    """The load of one priority: requests in flight and arrivals.

    `offered` counts the arrivals of the interval; `rate` is their moving
    average in requests a millisecond.
    """

    __slots__ = ("in_flight", "offered", "rate")

    def __init__(self) -> None:
        self.in_flight = 0
        self.offered = 0
        self.rate = 0.0


class _PoolLimit:
    """The concurrency limit for the requests that pass one pool.

    Rates are moving averages per millisecond: `_throughput` of requests that
    end, `_slot_rate` of slots that waiting stages get.
    """

    def __init__(self, now: float) -> None:
        self.limit = INITIAL_LIMIT
        self.in_flight = 0
        self._retry_times = retrytimes.RetryTimes()
        self._classes: dict[int, _ClassLoad] = {}
        self._interval_start = now
        self._waiting = 0
        self._slots_acquired = 0
        self._refused_in_interval = 0
        self._growth = 0
        self._ended = 0
        self._duration_ms = 0.0
        self._throughput = 0.0
        self._slot_rate = 0.0
        self._target_queue = MIN_TARGET_QUEUE
        self._growth = 0
        self._refused = 0

    def update(self, now: float) -> None:
        """Update the averages and the limit when an interval is over."""
        passed = now - self._interval_start
        if passed < INTERVAL_MS:
            return
        weight = 1.0 - (1.0 - NEWEST_WEIGHT) ** (passed / INTERVAL_MS)
        self._throughput += weight * (self._ended / passed - self._throughput)
        for load in self._classes.values():
            load.rate += weight * (load.offered / passed - load.rate)
            load.offered = 0
        self._slot_rate += weight * (
            self._slots_acquired / passed - self._slot_rate
        )
        self._adapt()
        self._interval_start = now
        self._slots_acquired = 0
        self._refused_in_interval = 0
        self._growth = 0
        self._ended = 0

    def record_arrival(self, priority: int) -> None:
        load = self._classes.get(priority)
        if load is None:
            load = self._classes[priority] = _ClassLoad()
        load.offered += 1

    def allows(self, priority: int) -> bool:
        """Return whether one more request of a class fits the limit.

        Capacity is kept for more urgent classes: as much as their recent
        arrivals will use, or what they have in flight if that is more.
        """
        own = self._classes[priority].in_flight
        if own <= CLASS_FRACTION * self.limit - 1.0:
            return True
        used = own
        less_urgent = 0
        for other, load in self._classes.items():
            if other < priority:
                used += max(self._expected_in_flight(load), load.in_flight)
            elif other > priority:
                less_urgent += load.in_flight
        # It overtakes less urgent requests in the queue, so those use no
        # capacity that it needs.
        overtaken = min(less_urgent, OVERTAKE_FRACTION * self.limit)
        return used < self.limit + overtaken or (
            self._grow() and used < self.limit
        )

    def admit(self, priority: int) -> None:
        self.in_flight += 1
        self._classes[priority].in_flight += 1

    def release(self, priority: int, millis: float) -> None:
        self.in_flight -= 1
        self._ended += 1
        self._classes[priority].in_flight -= 1
        if not self._duration_ms:
            self._duration_ms = millis
        self._duration_ms += NEWEST_WEIGHT * (millis - self._duration_ms)

    def record_slot_request(self) -> None:
        self._waiting += 1

    def record_slot_acquired(self) -> None:
        self._waiting -= 1
        self._slots_acquired += 1

    def record_slot_abandoned(self) -> None:
        self._waiting -= 1

    def refuse(self, now: float) -> float:
        """Record a refusal, and return the milliseconds until a retry."""
        self._refused_in_interval += 1
        self._refused += 1
        gap_ms = self._duration_ms / max(1, self.in_flight)
        if self._throughput > 0.0:
            gap_ms = 1.0 / self._throughput
        if self._waiting < self._target_queue:
            # The pool has capacity to spare and only the limit is too low:
            # it grows in the next interval even if no request ends.
            gap_ms = min(gap_ms, INTERVAL_MS / self._max_growth())
        return self._retry_times.reserve_delay_ms(gap_ms, gap_ms, now)

    def describe(self) -> dict[str, float]:
        return {
            "limit": math.floor(self.limit),
            "in_flight": self.in_flight,
            "waiting": self._waiting,
            "refused": self._refused,
            "completed_per_second": (
                self._throughput * clocks.MILLIS_PER_SECOND
            ),
        }

    def _expected_in_flight(self, load: _ClassLoad) -> float:
        return load.rate * self._duration_ms

    def _grow(self) -> bool:
        """Raise the limit by one, if the queue is short enough for that."""
        if self._waiting >= self._target_queue:
            return False
        if self._growth >= self._max_growth():
            return False
        self._growth += 1
        self.limit += 1.0
        return True

    def _max_growth(self) -> float:
        """Return the requests by which it may grow within an interval."""
        return max(MIN_GROWTH, GROWTH_FRACTION * self.limit)

    def _adapt(self) -> None:
        """Adapt the limit so that stages wait the target time for a slot.

        By Little's law the wait is the length of the queue divided by the
        rate at which slots are given, whatever their order.
        """
        target_ms = max(
            MIN_TARGET_WAIT_MS, TARGET_WAIT_FRACTION * self._duration_ms
        )
        self._target_queue = max(MIN_TARGET_QUEUE, self._slot_rate * target_ms)
        target = self.in_flight - self._waiting + self._target_queue
        if self._waiting > self._target_queue:
            self.limit += DECREASE_FRACTION * min(0.0, target - self.limit)
        elif self._refused_in_interval:
            self.limit = max(self.limit, target)
        self.limit = min(MAX_LIMIT, max(MIN_LIMIT, self.limit))


class AdaptiveConcurrency(shedding.Shedding):
    """Limits the requests in flight by the queue of their stages.

    Each pool has a limit of its own, so that one overloaded pool does not
    shed the requests of others. While stages wait longer than the target,
    the limit falls to what the pool carries without that wait; while it is
    used up and stages wait less, it grows.
    """

    def __init__(self) -> None:
        self._limits: dict[ids.PoolName, _PoolLimit] = {}

    def admit(self, pools: shedding.Pools, priority: int, now: float) -> float:
        """Admit if the limits of all pools allow it; see `Shedding.admit`."""
        limits = [self._limit(pool, now) for pool in pools]
        for limit in limits:
            limit.record_arrival(priority)
        delays = [
            limit.refuse(now) for limit in limits if not limit.allows(priority)
        ]
        if delays:
            return max(delays)
        for limit in limits:
            limit.admit(priority)
        return 0.0

    def release(
        self, pools: shedding.Pools, priority: int, millis: float, now: float
    ) -> None:
        """Release it in all pools; see `Shedding.release`."""
        for pool in pools:
            limit = self._limit(pool, now)
            limit.release(priority, millis)

    def record_slot_request(self, pool: ids.PoolName, now: float) -> None:
        """Count a waiting stage; see `Shedding.record_slot_request`."""
        self._limit(pool, now).record_slot_request()

    def record_slot_acquired(
        self, pool: ids.PoolName, millis: float, now: float
    ) -> None:
        """Count it as served; see `Shedding.record_slot_acquired`."""
        self._limit(pool, now).record_slot_acquired()

    def record_slot_abandoned(self, pool: ids.PoolName, now: float) -> None:
        """Stop counting it; see `Shedding.record_slot_abandoned`."""
        self._limit(pool, now).record_slot_abandoned()

    def describe(self) -> dict[str, dict[str, float]]:
        """Return the limits by pool; see `Shedding.describe`."""
        return {pool: limit.describe() for pool, limit in self._limits.items()}

    def _limit(self, pool: ids.PoolName, now: float) -> _PoolLimit:
        limit = self._limits.get(pool)
        if limit is None:
            limit = self._limits[pool] = _PoolLimit(now)
        limit.update(now)
        return limit
