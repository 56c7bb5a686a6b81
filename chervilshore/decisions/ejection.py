"""Which endpoints are left out for a while because they do badly."""

import abc
from collections import abc as collections_abc
import enum
import math

import msgspec

from chervilshore.decisions import samples
from chervilshore import ids
from chervilshore import records

CONSECUTIVE_FAILURES = 3
"""Failed calls in a row after which an endpoint is left out."""

LEAST_SUCCESS = 0.5
"""The part of recent calls that must succeed."""

JUDGED_CALLS = 10
"""Calls that must be known before the part is judged."""

SLOW_FACTOR = 3.0
"""Times the pool's median from which a call counts as slow."""

SLOW_CALLS = 3
"""Slow calls in a row after which an endpoint is left out."""

TRUSTED_CALLS = 8.0
"""Calls from which an endpoint's own times weigh as much as its pool's."""

RECENT_CALLS = 32
"""Calls of an endpoint that are kept."""

EJECT_MS = 1000.0
"""Milliseconds of the first ejection; each further one takes twice that."""

MOST_EJECT_MS = 16_000.0
"""Milliseconds that an ejection takes at most."""

PROBE_ROOM = 2.0
"""Times the worst known time that a probe must have left."""

MOST_SILENCE_MS = 30_000.0
"""Milliseconds after which a request is risked for a probe."""

PARDON_MS = 30_000.0
"""Milliseconds after which an earlier ejection is forgotten."""

Endpoints = collections_abc.Sequence[ids.EndpointId]
"""Endpoints of one pool."""

FAILURES = frozenset({records.Outcome.BROKEN, records.Outcome.UNREACHED})
"""Outcomes that speak against the endpoint itself."""


class Standing(enum.Enum):
    """How an endpoint may be used."""

    IN = "in"
    PROBE = "probe"
    OUT = "out"


class View(msgspec.Struct):
    """What is thought of an endpoint now.

    Parameters
    ----------
    standing : Standing
        How it may be used.
    latency_ms : float
        The median time of its recent calls; 0 when unknown.
    trust : float
        From 0 to 1 how much that median is worth.
    """

    standing: Standing = Standing.IN
    latency_ms: float = 0.0
    trust: float = 0.0


class Ejection(abc.ABC):
    """Judges endpoints by how their calls went."""

    @abc.abstractmethod
    def record_attempt(
        self,
        endpoint: ids.EndpointId,
        outcome: records.Outcome,
        millis: float,
        now: float,
    ) -> None:
        """Learn how a call went; see `Router.record_attempt`."""

    @abc.abstractmethod
    def assess(
        self, endpoints: Endpoints, now: float
    ) -> dict[ids.EndpointId, View]:
        """Tell how each endpoint of a pool may be used now.

        Parameters
        ----------
        endpoints : sequence of EndpointId
            All endpoints of the pool that might be used.
        now : float
            The time in milliseconds.
        """

    @abc.abstractmethod
    def start_probe(
        self, endpoint: ids.EndpointId, left: float, now: float
    ) -> bool:
        """Start a probe if a request can afford to be it.

        Parameters
        ----------
        endpoint : EndpointId
            An endpoint that may be probed.
        left : float
            Milliseconds that the request has left.
        now : float
            The time in milliseconds.

        Returns
        -------
        bool
            Whether the request should go there now.
        """

    def describe(self, now: float) -> dict[str, float]:
        """Tell the milliseconds for which endpoints stay left out."""
        return {}


class NoEjection(Ejection):
    """The baseline: every endpoint stays in use."""

    def record_attempt(
        self,
        endpoint: ids.EndpointId,
        outcome: records.Outcome,
        millis: float,
        now: float,
    ) -> None:
        """Learn nothing; see `Ejection.record_attempt`."""

    def assess(
        self, endpoints: Endpoints, now: float
    ) -> dict[ids.EndpointId, View]:
        """Keep all; see `Ejection.judge`."""
        return {endpoint: View() for endpoint in endpoints}

    def start_probe(
        self, endpoint: ids.EndpointId, left: float, now: float
    ) -> bool:
        """Never probe; see `Ejection.start_probe`."""
        return False


class _Health:
    """What is known of one endpoint.

    Attributes
    ----------
    times, results : Window
        Milliseconds of recent calls, and 1 or 0 for each that succeeded
        or not.
    failed, slow : int
        Failures and slow calls in a row.
    blamed : bool
        Whether the latest call did not succeed.
    out : bool
        Whether it is left out.
    ejected : float
        The moment of the latest ejection.
    until : float
        The moment from which it may be probed.
    count : int
        Ejections that have not been forgotten.
    worst_ms : float
        The longest call that led to the ejection.
    bound_ms : float
        Milliseconds from which a call counts as slow.
    """

    __slots__ = (
        "times",
        "results",
        "failed",
        "slow",
        "blamed",
        "out",
        "ejected",
        "until",
        "count",
        "worst_ms",
        "bound_ms",
    )

    def __init__(self) -> None:
        self.out = False
        self.ejected = -math.inf
        self.until = -math.inf
        self.count = 0
        self.bound_ms = math.inf
        self.clear()

    def clear(self) -> None:
        self.times = samples.Window(RECENT_CALLS)
        self.results = samples.Window(RECENT_CALLS)
        self.failed = 0
        self.slow = 0
        self.blamed = False
        self.worst_ms = 0.0

    def eject(self, now: float) -> None:
        if now - self.ejected > PARDON_MS:
            self.count = 0
        self.out = True
        self.count += 1
        self.ejected = now
        self.wait(now)

    def wait(self, now: float) -> None:
        doubled = EJECT_MS * 2.0 ** (self.count - 1)
        self.until = now + min(MOST_EJECT_MS, doubled)

    def is_failing(self, now: float) -> bool:
        if self.failed >= CONSECUTIVE_FAILURES:
            return True
        # Only a recent failure makes the mean worth working out.
        if not self.blamed or self.results.count(now) < JUDGED_CALLS:
            return False
        return self.results.mean(now) < LEAST_SUCCESS

    def note_result(self, good: bool, now: float) -> None:
        self.results.add(float(good), now)
        self.blamed = not good

    def note_time(self, millis: float, now: float) -> None:
        self.times.add(millis, now)
        if millis <= self.bound_ms:
            self.slow = 0
            self.worst_ms = 0.0
            return
        self.slow += 1
        self.worst_ms = max(self.worst_ms, millis)


class OutlierEjection(Ejection):
    """Leaves out endpoints that fail, or are far slower than their pool.

    An endpoint that was left out is probed with single calls; one good
    call brings it back, a bad one leaves it out for twice as long.

    Parameters
    ----------
    most_share : float
        The part of a pool that may be left out at once.
    """

    def __init__(self, most_share: float = 0.5) -> None:
        self._most_share = most_share
        self._health: dict[ids.EndpointId, _Health] = {}

    def record_attempt(
        self,
        endpoint: ids.EndpointId,
        outcome: records.Outcome,
        millis: float,
        now: float,
    ) -> None:
        """Learn how a call went; see `Ejection.record_attempt`."""
        if outcome is records.Outcome.BUSY:
            return
        health = self._health.setdefault(endpoint, _Health())
        if health.out:
            self._end_probe(health, outcome, millis, now)
        elif outcome is records.Outcome.CANCELLED:
            self._note_least(health, millis, now)
        elif outcome in FAILURES:
            health.failed += 1
            health.note_result(False, now)
        else:
            health.failed = 0
            health.note_time(millis, now)
            health.note_result(outcome is records.Outcome.OK, now)

    def assess(
        self, endpoints: Endpoints, now: float
    ) -> dict[ids.EndpointId, View]:
        """Tell how each may be used; see `Ejection.judge`."""
        views = {endpoint: self._view(endpoint, now) for endpoint in endpoints}
        self._set_bounds(views)
        kept = sum(view.standing is Standing.IN for view in views.values())
        most = int(len(endpoints) * self._most_share)
        spare = most - (len(endpoints) - kept)
        if spare > 0:
            for endpoint in self._find_bad(views, now)[:spare]:
                self._health[endpoint].eject(now)
                views[endpoint].standing = Standing.OUT
        return views

    def start_probe(
        self, endpoint: ids.EndpointId, left: float, now: float
    ) -> bool:
        """Spare short deadlines for long; see `Ejection.start_probe`."""
        health = self._health[endpoint]
        affordable = left > PROBE_ROOM * health.worst_ms
        if not affordable and now - health.ejected < MOST_SILENCE_MS:
            return False
        # If the probe is never heard of again, another one follows.
        health.wait(now)
        return True

    def describe(self, now: float) -> dict[str, float]:
        """Tell how long endpoints stay out; see `Ejection.describe`."""
        return {
            endpoint: max(0.0, health.until - now)
            for endpoint, health in self._health.items()
            if health.out
        }

    def _view(self, endpoint: ids.EndpointId, now: float) -> View:
        health = self._health.get(endpoint)
        if health is None:
            return View()
        median = health.times.quantile(0.5, now)
        view = View()
        if median is not None:
            known = len(health.times)
            view.latency_ms = median
            view.trust = known / (known + TRUSTED_CALLS)
        if health.out:
            due = now >= health.until
            view.standing = Standing.PROBE if due else Standing.OUT
        return view

    def _set_bounds(self, views: dict[ids.EndpointId, View]) -> None:
        """Compare with the lower median of the endpoints' own medians."""
        ordered = sorted(
            view.latency_ms for view in views.values() if view.trust
        )
        if not ordered:
            return
        bound = SLOW_FACTOR * ordered[(len(ordered) - 1) // 2]
        for endpoint, view in views.items():
            if view.trust and view.standing is Standing.IN:
                self._health[endpoint].bound_ms = bound

    def _find_bad(
        self, views: dict[ids.EndpointId, View], now: float
    ) -> list[ids.EndpointId]:
        failing = []
        slow = []
        for endpoint, view in views.items():
            health = self._health.get(endpoint)
            if health is None or view.standing is not Standing.IN:
                continue
            if health.is_failing(now):
                failing.append(endpoint)
            elif health.slow >= SLOW_CALLS:
                slow.append(endpoint)
        return failing + slow

    def _end_probe(
        self,
        health: _Health,
        outcome: records.Outcome,
        millis: float,
        now: float,
    ) -> None:
        # What began before the ejection says nothing about later.
        if now - millis <= health.ejected:
            return
        slow = millis > health.bound_ms
        if outcome is records.Outcome.CANCELLED and not slow:
            return
        if slow or outcome in FAILURES:
            health.worst_ms = millis if slow else 0.0
            health.eject(now)
            return
        health.out = False
        health.clear()

    def _note_least(self, health: _Health, millis: float, now: float) -> None:
        # A cancelled call took at least so long; a short one says nothing.
        if millis > health.bound_ms:
            health.note_time(millis, now)
