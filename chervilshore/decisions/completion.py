"""A router that minimizes the expected completion time."""

from collections import abc as collections_abc
import random

from chervilshore.decisions import ejection as ejections
from chervilshore.decisions import rendezvous
from chervilshore.decisions import routing
from chervilshore import ids
from chervilshore import records

IsOut = collections_abc.Callable[[ids.DomainId], bool]
"""Returns whether operators have taken a failure domain out of service."""

DEFAULT_LATENCY_MS = 100.0
"""Assumed latency in a pool without recent calls."""

SLOT_REQUEST_MS = 3.0
"""Time that a request for a slot at its owner takes."""

CROSS_DOMAIN_FRACTION = 0.5
"""Fraction of an attempt's time that another domain costs in addition, while
there is ample time."""

AMPLE_ATTEMPTS = 4.0
"""Attempts that must fit before the deadline for the time to be ample."""

AFFINITY_COST_FRACTION = 0.5
"""Fraction by which an endpoint with the prefix may take longer than the
best one."""

AFFINITY_LOAD_FACTOR = 1.25
"""Multiple of the mean load up to which an endpoint is chosen for a prefix
that it may have cached."""

MAX_COST_FACTOR = 3.0
"""Multiple of the lowest cost up to which endpoints are used."""

OVERDUE_FACTOR = 2.0
"""Multiple of the expected latency from which the time without any ended
attempt replaces it."""

JITTER_FRACTION = 0.1
"""Fraction by which costs vary at random, so that hosts do not all choose the
same endpoint."""


Costed = tuple[float, routing.Candidate]
"""The cost of a candidate (its expected completion time in milliseconds, with
penalties and jitter), and the candidate."""

HealthOf = dict[ids.EndpointId, ejections.Health]
"""The health of each endpoint."""


class CompletionRouter(routing.Router):
    """Ranks endpoints by the expected completion time.

    The expected latency is the endpoint's recent median, or the time for
    which none of its attempts has ended if that is far longer. It rises with
    the load, and waiting is added when no slot is free. Endpoints in other
    domains cost more, and the less so the closer the deadline. Endpoints that
    fail or are far slower than others are ejected and probed.

    Parameters
    ----------
    domain : DomainId
        This host's failure domain.
    rng : random.Random
        Varies costs a little.
    ejection : Ejection
        Decides which endpoints are ejected.
    is_out : callable
        Returns whether a failure domain is out of service.
    """

    def __init__(
        self,
        domain: ids.DomainId,
        rng: random.Random,
        ejection: ejections.Ejection,
        is_out: IsOut = lambda domain: False,
    ) -> None:
        self._domain = domain
        self._rng = rng
        self._ejection = ejection
        self._is_out = is_out
        self._silent_since: dict[ids.EndpointId, float] = {}

    def rank(
        self,
        requirements: routing.StageRequirements,
        candidates: list[routing.Candidate],
        now: float,
    ) -> list[routing.Candidate]:
        """Order the candidates; see `Router.rank`."""
        usable = [
            one for one in candidates if self._is_usable(requirements, one)
        ]
        health_of = self._ejection.assess(
            [one.record.endpoint for one in usable], now
        )
        remaining_ms = requirements.deadline - now
        ranked, probeable = self._sort(usable, health_of, remaining_ms, now)
        self._prefer_prefix(requirements, ranked)
        probe = self._start_probe(probeable, remaining_ms, now)
        return probe + [one for _, one in ranked]

    def record_attempt(
        self,
        endpoint: ids.EndpointId,
        outcome: records.Outcome,
        millis: float,
        now: float,
    ) -> None:
        """Record how an attempt ended; see `Router.record_attempt`."""
        if outcome is not records.Outcome.CANCELLED:
            self._silent_since.pop(endpoint, None)
        self._ejection.record_attempt(endpoint, outcome, millis, now)

    def describe(self, now: float) -> dict[str, float]:
        """Return the milliseconds until ejected endpoints may be probed."""
        return self._ejection.describe(now)

    def _is_usable(
        self,
        requirements: routing.StageRequirements,
        candidate: routing.Candidate,
    ) -> bool:
        record = candidate.record
        if record.state is records.EndpointState.LEAVING:
            return False
        return requirements.allows(record) and not self._is_out(record.domain)

    def _sort(
        self,
        usable: list[routing.Candidate],
        health_of: HealthOf,
        remaining_ms: float,
        now: float,
    ) -> tuple[list[Costed], list[routing.Candidate]]:
        """Return active endpoints by cost, and those that may be probed."""
        typical = self._typical_ms(usable, health_of)
        costed = []
        probeable = []
        for one in usable:
            health = health_of[one.record.endpoint]
            if health.state is ejections.EjectionState.ACTIVE:
                cost = self._cost(one, health, typical, remaining_ms, now)
                costed.append((cost, one))
            elif health.state is ejections.EjectionState.PROBE:
                probeable.append(one)
        costed.sort(key=lambda pair: pair[0])
        # It is better to wait for a good endpoint than use a far worse one.
        max_cost = MAX_COST_FACTOR * costed[0][0] if costed else 0.0
        return [pair for pair in costed if pair[0] <= max_cost], probeable

    def _typical_ms(
        self, candidates: list[routing.Candidate], health_of: HealthOf
    ) -> float:
        """Return the lower median of the known latencies."""
        known = sorted(
            latency
            for one in candidates
            if (latency := _latency_ms(one, health_of[one.record.endpoint]))
        )
        return known[(len(known) - 1) // 2] if known else DEFAULT_LATENCY_MS

    def _expected_latency_ms(
        self,
        candidate: routing.Candidate,
        health: ejections.Health,
        typical: float,
        now: float,
    ) -> float:
        """Return the mean of the endpoint's and its pool's latency.

        It is weighted by confidence. The time without an ended attempt
        replaces it when that is far longer.
        """
        own = _latency_ms(candidate, health) or typical
        expected = typical + health.confidence * (own - typical)
        silent = self._silent_ms(candidate, now)
        return silent if silent > OVERDUE_FACTOR * expected else expected

    def _silent_ms(self, candidate: routing.Candidate, now: float) -> float:
        """Return for how long none of its running attempts has ended."""
        endpoint = candidate.record.endpoint
        if not candidate.in_flight:
            self._silent_since.pop(endpoint, None)
            return 0.0
        return now - self._silent_since.setdefault(endpoint, now)

    def _cost(
        self,
        candidate: routing.Candidate,
        health: ejections.Health,
        typical: float,
        remaining_ms: float,
        now: float,
    ) -> float:
        """Return the expected completion time, with penalties and jitter."""
        latency = self._expected_latency_ms(candidate, health, typical, now)
        load = candidate.in_flight / max(1, candidate.limit)
        cost = latency * (1.0 + load)
        if not candidate.free_slots:
            cost += SLOT_REQUEST_MS + latency * load
        if candidate.record.domain != self._domain:
            ample = min(
                1.0, max(0.0, remaining_ms) / (AMPLE_ATTEMPTS * latency)
            )
            cost += CROSS_DOMAIN_FRACTION * typical * ample
        return cost * (1.0 + JITTER_FRACTION * self._rng.random())

    def _prefer_prefix(
        self, requirements: routing.StageRequirements, ranked: list[Costed]
    ) -> None:
        """Move the endpoint that may have the prefix to the front."""
        if not requirements.prefix or not ranked:
            return
        max_cost = ranked[0][0] * (1.0 + AFFINITY_COST_FRACTION)
        mean = sum(one.in_flight for _, one in ranked) / len(ranked)
        fitting = {
            one.record.endpoint: index
            for index, (cost, one) in enumerate(ranked)
            if cost <= max_cost
            and one.in_flight <= AFFINITY_LOAD_FACTOR * mean + 1.0
        }
        chosen = rendezvous.choose(fitting, requirements.prefix)
        if chosen is not None:
            ranked.insert(0, ranked.pop(fitting[chosen]))

    def _start_probe(
        self,
        probeable: list[routing.Candidate],
        remaining_ms: float,
        now: float,
    ) -> list[routing.Candidate]:
        """Return the ejected endpoint that the request probes, if any."""
        for one in probeable:
            if self._ejection.start_probe(
                one.record.endpoint, remaining_ms, now
            ):
                return [one]
        return []


def _latency_ms(
    candidate: routing.Candidate, health: ejections.Health
) -> float:
    return health.latency_ms or candidate.latency_ms
