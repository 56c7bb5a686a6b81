"""Adaptive bounds on the requests that a host takes on."""

import math

from chervilshore import clock as clocks
from chervilshore.decisions import promises
from chervilshore.decisions import shedding
from chervilshore import ids

INTERVAL_MS = 100.0
"""Milliseconds after which a bound is looked at again."""

TARGET_MS = 100.0
"""Milliseconds that a stage may wait for a slot, as a rule."""

TARGET_PART = 0.5
"""The part of a request's time that its waits may be, as a rule."""

LEAST_WAITING = 2.0
"""Stages that may wait in any case."""

FIRST_LIMIT = 32.0
"""Requests in flight before anything is known."""

LEAST_LIMIT = 2.0
"""Requests in flight that are always allowed."""

MOST_LIMIT = 100_000.0
"""Requests in flight that are never passed."""

CUT_PART = 0.5
"""The part of the way to a lower bound that one step goes."""

GROWTH_PART = 0.1
"""The part of a bound by which it may grow at once within an interval."""

LEAST_GROWTH = 2.0
"""Requests by which a bound may grow at once in any case."""

OVERTAKE_PART = 0.5
"""The part of the bound by which a class may pass it before later ones."""

CLASS_PART = 0.05
"""The part of the bound that each class keeps in any case."""

SMOOTHING = 0.2
"""The part that the newest interval has in a mean."""


class _ClassLoad:
    """What is known of the requests of one priority."""

    __slots__ = ("in_flight", "offered", "rate")

    def __init__(self) -> None:
        self.in_flight = 0
        self.offered = 0
        self.rate = 0.0


class _Gate:
    """The bound for the requests that pass one pool."""

    def __init__(self, now: float) -> None:
        self.limit = FIRST_LIMIT
        self.in_flight = 0
        self._promises = promises.Promises()
        self._classes: dict[int, _ClassLoad] = {}
        self._began = now
        self._waiting = 0
        self._served = 0
        self._refusals = 0
        self._grown = 0
        self._ended = 0
        self._duration_ms = 0.0
        self._throughput = 0.0
        self._service = 0.0
        self._may_wait = LEAST_WAITING
        self._grown = 0
        self._refused = 0

    def roll(self, now: float) -> None:
        """Look at the bound again when an interval is over."""
        passed = now - self._began
        if passed < INTERVAL_MS:
            return
        weight = 1.0 - (1.0 - SMOOTHING) ** (passed / INTERVAL_MS)
        self._throughput += weight * (self._ended / passed - self._throughput)
        for load in self._classes.values():
            load.rate += weight * (load.offered / passed - load.rate)
            load.offered = 0
        self._service += weight * (self._served / passed - self._service)
        self._adapt()
        self._began = now
        self._served = 0
        self._refusals = 0
        self._grown = 0
        self._ended = 0

    def offer(self, priority: int) -> None:
        load = self._classes.get(priority)
        if load is None:
            load = self._classes[priority] = _ClassLoad()
        load.offered += 1

    def has_room(self, priority: int) -> bool:
        """Tell whether a class may have one more.

        Room is kept for the classes that go first, as much as their
        arrivals are expected to take besides what they have.
        """
        own = self._classes[priority].in_flight
        if own <= CLASS_PART * self.limit - 1.0:
            return True
        taken = own
        behind = 0
        for other, load in self._classes.items():
            if other < priority:
                taken += max(self._expect(load), load.in_flight)
            elif other > priority:
                behind += load.in_flight
        # It overtakes what goes later, so that takes no room from it.
        passed = min(behind, OVERTAKE_PART * self.limit)
        return taken < self.limit + passed or (
            self._grow() and taken < self.limit
        )

    def enter(self, priority: int) -> None:
        self.in_flight += 1
        self._classes[priority].in_flight += 1

    def leave(self, priority: int, millis: float) -> None:
        self.in_flight -= 1
        self._ended += 1
        self._classes[priority].in_flight -= 1
        if not self._duration_ms:
            self._duration_ms = millis
        self._duration_ms += SMOOTHING * (millis - self._duration_ms)

    def note_ask(self) -> None:
        self._waiting += 1

    def note_wait(self) -> None:
        self._waiting -= 1
        self._served += 1

    def note_drop(self) -> None:
        self._waiting -= 1

    def refuse(self, now: float) -> float:
        """Count a refusal, and tell when it may come back."""
        self._refusals += 1
        self._refused += 1
        gap = self._duration_ms / max(1, self.in_flight)
        if self._throughput > 0.0:
            gap = 1.0 / self._throughput
        return self._promises.take(gap, gap, now)

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

    def _expect(self, load: _ClassLoad) -> float:
        return load.rate * self._duration_ms

    def _grow(self) -> bool:
        """Take on one more than the bound while the queue is short."""
        most = max(LEAST_GROWTH, GROWTH_PART * self.limit)
        if self._waiting >= self._may_wait or self._grown >= most:
            return False
        self._grown += 1
        self.limit += 1.0
        return True

    def _adapt(self) -> None:
        """Bring the queue to the length at which its wait is as it may be.

        By Little's law the wait is the queue's length over the rate at
        which slots are given, whatever the order in which that is done.
        """
        target = max(TARGET_MS, TARGET_PART * self._duration_ms)
        self._may_wait = max(LEAST_WAITING, self._service * target)
        carried = self.in_flight - self._waiting + self._may_wait
        if self._waiting > self._may_wait:
            self.limit += CUT_PART * min(0.0, carried - self.limit)
        elif self._refusals:
            self.limit = max(self.limit, carried)
        self.limit = min(MOST_LIMIT, max(LEAST_LIMIT, self.limit))


class AdaptiveConcurrency(shedding.Shedding):
    """Bounds the requests in flight by how many of their stages wait.

    Each pool has a bound of its own, so that one overloaded pool does not
    shed the requests of others. While stages wait longer than they should
    the bound falls to what the pool carries without that wait; while it
    is used up with less it grows.
    """

    def __init__(self) -> None:
        self._gates: dict[ids.PoolName, _Gate] = {}

    def admit(self, pools: shedding.Pools, priority: int, now: float) -> float:
        """Admit while all pools have room; see `Shedding.admit`."""
        gates = [self._gate(pool, now) for pool in pools]
        for gate in gates:
            gate.offer(priority)
        waits = [
            gate.refuse(now) for gate in gates if not gate.has_room(priority)
        ]
        if waits:
            return max(waits)
        for gate in gates:
            gate.enter(priority)
        return 0.0

    def release(
        self, pools: shedding.Pools, priority: int, millis: float, now: float
    ) -> None:
        """Make room in all pools; see `Shedding.release`."""
        for pool in pools:
            gate = self._gate(pool, now)
            gate.leave(priority, millis)

    def note_ask(self, pool: ids.PoolName, now: float) -> None:
        """Count a waiting stage; see `Shedding.note_ask`."""
        self._gate(pool, now).note_ask()

    def note_wait(self, pool: ids.PoolName, millis: float, now: float) -> None:
        """Count it as served; see `Shedding.note_wait`."""
        self._gate(pool, now).note_wait()

    def note_drop(self, pool: ids.PoolName, now: float) -> None:
        """Count it as gone; see `Shedding.note_drop`."""
        self._gate(pool, now).note_drop()

    def describe(self) -> dict[str, dict[str, float]]:
        """Tell the bounds by pool; see `Shedding.describe`."""
        return {pool: gate.describe() for pool, gate in self._gates.items()}

    def _gate(self, pool: ids.PoolName, now: float) -> _Gate:
        gate = self._gates.get(pool)
        if gate is None:
            gate = self._gates[pool] = _Gate(now)
        gate.roll(now)
        return gate
