"""Outlier ejection: which endpoints get no requests for a while."""

import abc
from collections import abc as collections_abc
import enum
import math

import msgspec

from chervilshore.decisions import samples
from chervilshore import ids
from chervilshore import records

CONSECUTIVE_FAILURES = 3
"""Failed calls in a row after which an endpoint is ejected."""

MIN_SUCCESS_FRACTION = 0.5
"""Fraction of successful recent calls below which an endpoint is ejected."""

MIN_JUDGED_CALLS = 10
"""Recent calls that an endpoint must have before that fraction counts."""

SLOW_FACTOR = 3.0
"""Multiple of the pool's median latency above which a call is slow."""

CONSECUTIVE_SLOW_CALLS = 3
"""Slow calls in a row after which an endpoint is ejected."""

HALF_CONFIDENCE_CALLS = 8.0
"""Recent calls from which an endpoint's own latency weighs as much as that
of its pool."""

MAX_RECENT_CALLS = 32
"""Most recent calls of an endpoint that are kept."""

FIRST_EJECTION_MS = 1000.0
"""Duration of a first ejection; each further one lasts twice as long."""

MAX_EJECTION_MS = 16_000.0
"""Longest duration of an ejection."""

PROBE_TIME_FACTOR = 2.0
"""Multiple of the endpoint's slowest known call that a request must have
left to be used as a probe."""

MAX_UNPROBED_MS = 30_000.0
"""Time since the ejection after which any request is used as a probe."""

EJECTION_MEMORY_MS = 30_000.0
"""Time after which an earlier ejection does not lengthen the next one."""

Endpoints = collections_abc.Sequence[ids.EndpointId]
"""Endpoints of one pool."""

FAILURES = frozenset({records.Outcome.BROKEN, records.Outcome.UNREACHED})
"""Outcomes that count as a failure of the endpoint itself."""


class EjectionState(enum.Enum):
    """Whether an endpoint may be used."""

    ACTIVE = "in"
    PROBE = "probe"
    EJECTED = "out"


class Health(msgspec.Struct):
    """How healthy an endpoint is now.

    Parameters
    ----------
    state : EjectionState
        Whether it may be used.
    latency_ms : float
        The median latency of its recent calls; 0 when unknown.
    confidence : float
        The weight of that median against the latency of the pool, from 0
        to 1.
    """

    state: EjectionState = EjectionState.ACTIVE
    latency_ms: float = 0.0
    confidence: float = 0.0


class Ejection(abc.ABC):
    """Decides which endpoints are ejected, by the outcomes of their calls."""

    @abc.abstractmethod
    def record_attempt(
        self,
        endpoint: ids.EndpointId,
        outcome: records.Outcome,
        millis: float,
        now: float,
    ) -> None:
        """Record how a call ended; see `Router.record_attempt`."""

    @abc.abstractmethod
    def assess(
        self, endpoints: Endpoints, now: float
    ) -> dict[ids.EndpointId, Health]:
        """Return the state of each endpoint of a pool, and eject outliers.

        Parameters
        ----------
        endpoints : sequence of EndpointId
            All endpoints of the pool that a request may use.
        now : float
            The time in milliseconds.
        """

    @abc.abstractmethod
    def start_probe(
        self, endpoint: ids.EndpointId, remaining_ms: float, now: float
    ) -> bool:
        """Return whether a request should probe an endpoint now.

        Parameters
        ----------
        endpoint : EndpointId
            An endpoint whose state is `PROBE`.
        remaining_ms : float
            Milliseconds that the request has left.
        now : float
            The time in milliseconds.
        """

    def describe(self, now: float) -> dict[str, float]:
        """Return the milliseconds until ejected endpoints may be probed."""
        return {}


class NoEjection(Ejection):
    """The baseline: no endpoint is ejected."""

    def record_attempt(
        self,
        endpoint: ids.EndpointId,
        outcome: records.Outcome,
        millis: float,
        now: float,
    ) -> None:
        """Record nothing; see `Ejection.record_attempt`."""

    def assess(
        self, endpoints: Endpoints, now: float
    ) -> dict[ids.EndpointId, Health]:
        """Return all as active; see `Ejection.assess`."""
        return {endpoint: Health() for endpoint in endpoints}

    def start_probe(
        self, endpoint: ids.EndpointId, remaining_ms: float, now: float
    ) -> bool:
        """Never probe; see `Ejection.start_probe`."""
        return False


class _History:
    """The recent calls of one endpoint, and its latest ejection.

    Attributes
    ----------
    latencies, results : Window
        Milliseconds of recent calls, and 1 or 0 for each that succeeded
        or not.
    failed, slow : int
        Failed and slow calls in a row.
    last_failed : bool
        Whether the latest call did not succeed.
    ejected_at : float
        The time of the latest ejection.
    probe_at : float
        The time from which it may be probed.
    ejections : int
        Ejections in a row, each of which doubles the duration of the next.
    slowest_ms : float
        The longest call that led to the ejection.
    slow_ms : float
        Milliseconds above which a call is slow.
    """

    __slots__ = (
        "latencies",
        "results",
        "failed",
        "slow",
        "last_failed",
        "is_ejected",
        "ejected_at",
        "probe_at",
        "ejections",
        "slowest_ms",
        "slow_ms",
    )

    def __init__(self) -> None:
        self.is_ejected = False
        self.ejected_at = -math.inf
        self.probe_at = -math.inf
        self.ejections = 0
        self.slow_ms = math.inf
        self.clear()

    def clear(self) -> None:
        self.latencies = samples.Window(MAX_RECENT_CALLS)
        self.results = samples.Window(MAX_RECENT_CALLS)
        self.failed = 0
        self.slow = 0
        self.last_failed = False
        self.slowest_ms = 0.0

    def eject(self, now: float) -> None:
        if now - self.ejected_at > EJECTION_MEMORY_MS:
            self.ejections = 0
        self.is_ejected = True
        self.ejections += 1
        self.ejected_at = now
        self.schedule_probe(now)

    def schedule_probe(self, now: float) -> None:
        duration_ms = FIRST_EJECTION_MS * 2.0 ** (self.ejections - 1)
        self.probe_at = now + min(MAX_EJECTION_MS, duration_ms)

    def is_failing(self, now: float) -> bool:
        if self.failed >= CONSECUTIVE_FAILURES:
            return True
        # Computing the mean is only worth it after a recent failure.
        if not self.last_failed or self.results.count(now) < MIN_JUDGED_CALLS:
            return False
        return self.results.mean(now) < MIN_SUCCESS_FRACTION

    def record_result(self, succeeded: bool, now: float) -> None:
        self.results.add(float(succeeded), now)
        self.last_failed = not succeeded

    def record_latency(self, millis: float, now: float) -> None:
        self.latencies.add(millis, now)
        if millis <= self.slow_ms:
            self.slow = 0
            self.slowest_ms = 0.0
            return
        self.slow += 1
        self.slowest_ms = max(self.slowest_ms, millis)


class OutlierEjection(Ejection):
    """Ejects endpoints that fail or are far slower than their pool.

    An ejected endpoint is probed with single calls. One successful call
    brings it back; a failed or slow one ejects it for twice as long.

    Parameters
    ----------
    max_ejected_fraction : float
        The fraction of a pool that may be ejected at the same time.
    """

    def __init__(self, max_ejected_fraction: float = 0.5) -> None:
        self._max_ejected_fraction = max_ejected_fraction
        self._histories: dict[ids.EndpointId, _History] = {}

    def record_attempt(
        self,
        endpoint: ids.EndpointId,
        outcome: records.Outcome,
        millis: float,
        now: float,
    ) -> None:
        """Record how a call ended; see `Ejection.record_attempt`."""
        if outcome is records.Outcome.BUSY:
            return
        history = self._histories.setdefault(endpoint, _History())
        if history.is_ejected:
            self._end_probe(history, outcome, millis, now)
        elif outcome is records.Outcome.CANCELLED:
            self._record_cancelled(history, millis, now)
        elif outcome in FAILURES:
            history.failed += 1
            history.record_result(False, now)
        else:
            history.failed = 0
            history.record_latency(millis, now)
            history.record_result(outcome is records.Outcome.OK, now)

    def assess(
        self, endpoints: Endpoints, now: float
    ) -> dict[ids.EndpointId, Health]:
        """Assess endpoints and eject outliers; see `Ejection.assess`."""
        health_of = {
            endpoint: self._assess_one(endpoint, now) for endpoint in endpoints
        }
        self._set_slow_ms(health_of)
        active = sum(
            health.state is EjectionState.ACTIVE
            for health in health_of.values()
        )
        allowed = int(len(endpoints) * self._max_ejected_fraction)
        remaining = allowed - (len(endpoints) - active)
        if remaining > 0:
            for endpoint in self._find_outliers(health_of, now)[:remaining]:
                self._histories[endpoint].eject(now)
                health_of[endpoint].state = EjectionState.EJECTED
        return health_of

    def start_probe(
        self, endpoint: ids.EndpointId, remaining_ms: float, now: float
    ) -> bool:
        """Require enough time left; see `Ejection.start_probe`."""
        history = self._histories[endpoint]
        affordable = remaining_ms > PROBE_TIME_FACTOR * history.slowest_ms
        if not affordable and now - history.ejected_at < MAX_UNPROBED_MS:
            return False
        # Another probe follows in case this one never ends.
        history.schedule_probe(now)
        return True

    def describe(self, now: float) -> dict[str, float]:
        """Return the times until probes; see `Ejection.describe`."""
        return {
            endpoint: max(0.0, history.probe_at - now)
            for endpoint, history in self._histories.items()
            if history.is_ejected
        }

    def _assess_one(self, endpoint: ids.EndpointId, now: float) -> Health:
        history = self._histories.get(endpoint)
        if history is None:
            return Health()
        median = history.latencies.quantile(0.5, now)
        health = Health()
        if median is not None:
            known = len(history.latencies)
            health.latency_ms = median
            health.confidence = known / (known + HALF_CONFIDENCE_CALLS)
        if history.is_ejected:
            due = now >= history.probe_at
            health.state = (
                EjectionState.PROBE if due else EjectionState.EJECTED
            )
        return health

    def _set_slow_ms(self, health_of: dict[ids.EndpointId, Health]) -> None:
        """Set `slow_ms` from the lower median of the endpoints' medians."""
        ordered = sorted(
            health.latency_ms
            for health in health_of.values()
            if health.confidence
        )
        if not ordered:
            return
        slow_ms = SLOW_FACTOR * ordered[(len(ordered) - 1) // 2]
        for endpoint, health in health_of.items():
            if health.confidence and health.state is EjectionState.ACTIVE:
                self._histories[endpoint].slow_ms = slow_ms

    def _find_outliers(
        self, health_of: dict[ids.EndpointId, Health], now: float
    ) -> list[ids.EndpointId]:
        failing = []
        slow = []
        for endpoint, health in health_of.items():
            history = self._histories.get(endpoint)
            if history is None or health.state is not EjectionState.ACTIVE:
                continue
            if history.is_failing(now):
                failing.append(endpoint)
            elif history.slow >= CONSECUTIVE_SLOW_CALLS:
                slow.append(endpoint)
        return failing + slow

    def _end_probe(
        self,
        history: _History,
        outcome: records.Outcome,
        millis: float,
        now: float,
    ) -> None:
        # A call that started before the ejection is no probe.
        if now - millis <= history.ejected_at:
            return
        slow = millis > history.slow_ms
        if outcome is records.Outcome.CANCELLED and not slow:
            return
        if slow or outcome in FAILURES:
            history.slowest_ms = millis if slow else 0.0
            history.eject(now)
            return
        history.is_ejected = False
        history.clear()

    def _record_cancelled(
        self, history: _History, millis: float, now: float
    ) -> None:
        # A cancelled call would have taken at least that long, so it counts
        # only if it was slow already.
        if millis > history.slow_ms:
            history.record_latency(millis, now)
