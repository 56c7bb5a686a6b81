"""A router that looks for the least expected time of completion."""

from collections import abc as collections_abc
import random

from chervilshore.decisions import ejection as ejections
from chervilshore.decisions import rendezvous
from chervilshore.decisions import routing
from chervilshore import ids
from chervilshore import records

IsOut = collections_abc.Callable[[ids.DomainId], bool]
"""Tells whether a failure domain is taken out now."""

UNKNOWN_LATENCY_MS = 100.0
"""Milliseconds that an attempt is thought to take in an unknown pool."""

ASK_MS = 3.0
"""Milliseconds that it takes to ask a keeper for a slot."""

FAR_PART = 0.5
"""Another domain costs this part of an attempt's time while time is ample."""

AMPLE_ATTEMPTS = 4.0
"""Attempts that must still fit before the deadline for time to be ample."""

AFFINITY_PART = 0.5
"""An endpoint with the prefix may take longer by this part."""

AFFINITY_LOAD = 1.25
"""Times the mean load up to which an endpoint is chosen for its prefix."""

WORTH_FACTOR = 3.0
"""Times the least expected time up to which an endpoint is used at all."""

OVERDUE_FACTOR = 2.0
"""Times the expected time from which silence speaks against an endpoint."""

JITTER = 0.1
"""The part by which expectations are varied, so that hosts do not herd."""


Costed = tuple[float, routing.Candidate]
"""A candidate after the milliseconds that it is expected to take."""

Views = dict[ids.EndpointId, ejections.View]
"""What is thought of each endpoint."""


class CompletionRouter(routing.Router):
    """Ranks by the expected completion under what is known.

    An attempt is expected to take the endpoint's recent median, but no
    less than the time for which nothing has ended there, more the fuller
    the endpoint is, and to wait when no slot is at hand. Endpoints
    in other domains cost more while there is time; the less is left, the
    less that counts. Endpoints that fail or lag far behind are left out
    and probed.

    Parameters
    ----------
    domain : DomainId
        This host's failure domain.
    generator : random.Random
        Varies expectations a little.
    ejection : Ejection
        Judges endpoints.
    is_out : callable
        Tells whether a failure domain is taken out.
    """

    def __init__(
        self,
        domain: ids.DomainId,
        generator: random.Random,
        ejection: ejections.Ejection,
        is_out: IsOut = lambda domain: False,
    ) -> None:
        self._domain = domain
        self._generator = generator
        self._ejection = ejection
        self._is_out = is_out
        self._quiet: dict[ids.EndpointId, float] = {}

    def rank(
        self,
        need: routing.Need,
        candidates: list[routing.Candidate],
        now: float,
    ) -> list[routing.Candidate]:
        """Order the candidates; see `Router.rank`."""
        usable = [one for one in candidates if self._is_usable(need, one)]
        views = self._ejection.judge(
            [one.record.endpoint for one in usable], now
        )
        left = need.deadline - now
        ranked, due = self._sort(usable, views, left, now)
        self._prefer_prefix(need, ranked)
        probe = self._start_probe(due, left, now)
        return probe + [one for _, one in ranked]

    def note(
        self,
        endpoint: ids.EndpointId,
        outcome: records.Outcome,
        millis: float,
        now: float,
    ) -> None:
        """Learn how an attempt ended; see `Router.note`."""
        if outcome is not records.Outcome.CANCELLED:
            self._quiet.pop(endpoint, None)
        self._ejection.note(endpoint, outcome, millis, now)

    def describe(self, now: float) -> dict[str, float]:
        """Tell the milliseconds for which endpoints stay left out."""
        return self._ejection.describe(now)

    def _is_usable(
        self, need: routing.Need, candidate: routing.Candidate
    ) -> bool:
        record = candidate.record
        if record.state is records.EndpointState.LEAVING:
            return False
        return need.allows(record) and not self._is_out(record.domain)

    def _sort(
        self,
        usable: list[routing.Candidate],
        views: Views,
        left: float,
        now: float,
    ) -> tuple[list[Costed], list[routing.Candidate]]:
        """Sort what may be used by its cost, apart from what is probed."""
        typical = self._typical(usable, views)
        costed = []
        due = []
        for one in usable:
            view = views[one.record.endpoint]
            if view.standing is ejections.Standing.IN:
                cost = self._expect(one, view, typical, left, now)
                costed.append((cost, one))
            elif view.standing is ejections.Standing.PROBE:
                due.append(one)
        costed.sort(key=lambda pair: pair[0])
        # It is better to wait for a good endpoint than use a far worse one.
        most = WORTH_FACTOR * costed[0][0] if costed else 0.0
        return [pair for pair in costed if pair[0] <= most], due

    def _typical(
        self, candidates: list[routing.Candidate], views: Views
    ) -> float:
        known = sorted(
            latency
            for one in candidates
            if (latency := _latency(one, views[one.record.endpoint]))
        )
        return known[(len(known) - 1) // 2] if known else UNKNOWN_LATENCY_MS

    def _guess(
        self,
        candidate: routing.Candidate,
        view: ejections.View,
        typical: float,
        now: float,
    ) -> float:
        """Weigh an endpoint's own times against its pool's."""
        own = _latency(candidate, view) or typical
        guess = typical + view.trust * (own - typical)
        overdue = self._overdue(candidate, now)
        return overdue if overdue > OVERDUE_FACTOR * guess else guess

    def _overdue(self, candidate: routing.Candidate, now: float) -> float:
        """Tell how long no attempt has ended while some were running."""
        endpoint = candidate.record.endpoint
        if not candidate.in_flight:
            self._quiet.pop(endpoint, None)
            return 0.0
        return now - self._quiet.setdefault(endpoint, now)

    def _expect(
        self,
        candidate: routing.Candidate,
        view: ejections.View,
        typical: float,
        left: float,
        now: float,
    ) -> float:
        latency = self._guess(candidate, view, typical, now)
        load = candidate.in_flight / max(1, candidate.limit)
        cost = latency * (1.0 + load)
        if not candidate.free:
            cost += ASK_MS + latency * load
        if candidate.record.domain != self._domain:
            ample = min(1.0, max(0.0, left) / (AMPLE_ATTEMPTS * latency))
            cost += FAR_PART * typical * ample
        return cost * (1.0 + JITTER * self._generator.random())

    def _prefer_prefix(self, need: routing.Need, ranked: list[Costed]) -> None:
        """Move the endpoint that may have the prefix to the front."""
        if not need.prefix or not ranked:
            return
        most = ranked[0][0] * (1.0 + AFFINITY_PART)
        mean = sum(one.in_flight for _, one in ranked) / len(ranked)
        fitting = {
            one.record.endpoint: index
            for index, (cost, one) in enumerate(ranked)
            if cost <= most and one.in_flight <= AFFINITY_LOAD * mean + 1.0
        }
        chosen = rendezvous.choose(fitting, need.prefix)
        if chosen is not None:
            ranked.insert(0, ranked.pop(fitting[chosen]))

    def _start_probe(
        self, due: list[routing.Candidate], left: float, now: float
    ) -> list[routing.Candidate]:
        """Let a request with time to spare try an ejected endpoint."""
        for one in due:
            if self._ejection.start_probe(one.record.endpoint, left, now):
                return [one]
        return []


def _latency(candidate: routing.Candidate, view: ejections.View) -> float:
    return view.latency_ms or candidate.latency_ms
