"""Routes prompts by the learnt capacity of endpoints."""

from collections import abc as collections_abc
import heapq
import math
import random

from chervilshore.decisions import affinity
from chervilshore.decisions.capacity import estimates as estimate_types
from chervilshore.decisions.capacity import observations
from chervilshore.decisions import ejection as ejections
from chervilshore.decisions import rendezvous
from chervilshore.decisions import routing
from chervilshore import ids

SESSION_CHOICES = 3
"""Endpoints that a session may be placed at, in the same order on all
hosts."""

RANDOM_CHOICES = 8
"""Random endpoints that are compared with these, so that hosts which know the
same do not all choose the same endpoint."""

SESSION_TOLERANCE = 1.5
"""Multiple of the best endpoint's expected time up to which an endpoint that
may have cached the prompt is chosen."""

TIMELY_FRACTION = 0.25
"""Fraction of the time left to the objective within which the first event is
expected at an endpoint that is good enough: neighbours can make it several
times slower at any moment."""

CROSS_DOMAIN_MS = 20.0
"""Milliseconds that another domain costs in addition: the inputs of a prompt
lie where its session is placed."""

PAUSE_FRACTION = 0.5
"""Fraction of the objective for pauses which an endpoint's streams may be
expected to pause while it reads a prompt."""

REREAD_WEIGHT = 5.0
"""Weight of the usual time in which shared parts of the prompt would be read
again, which delays other prompts."""

WRITING_WEIGHT = 0.25
"""Weight of the time in which the events after the first one come. It takes a
slot, while callers read along."""

LENGTH_SMOOTHING = 0.05
"""Weight of the newest request in the usual length of answers."""


class CapacityRouter(affinity.AffinityRouter):
    """Sends a prompt where its first event is expected soonest.

    A prompt is compared at the endpoints of its session, which may have
    cached a part of it, and at some random ones. The first endpoint of the
    session is kept while it is good enough for the request. Pools in which
    the requests of one host say enough of an endpoint are routed as by
    `AffinityRouter`.

    Parameters
    ----------
    domain, rng, ejection
        As for `AffinityRouter`.
    estimates : Estimates
        What is known of the pool's endpoints.
    list_mine : callable
        Returns what this host has in flight, by endpoint.
    count_hosts : callable
        Returns the most hosts that were known at any time.
    """

    def __init__(
        self,
        domain: ids.DomainId,
        rng: random.Random,
        ejection: ejections.Ejection,
        estimates: estimate_types.Estimates,
        list_mine: collections_abc.Callable[
            [], dict[ids.EndpointId, observations.Observation]
        ],
        count_hosts: collections_abc.Callable[[], int],
    ) -> None:
        super().__init__(domain, rng, ejection)
        self._estimates = estimates
        self._list_mine = list_mine
        self._count_hosts = count_hosts
        self._usual_tokens_out = 0.0

    def order(
        self,
        requirements: routing.StageRequirements,
        active: list[routing.Candidate],
        now: float,
    ) -> list[routing.Candidate]:
        """Order the active candidates; see `AffinityRouter.order`."""
        ordered = super().order(requirements, active, now)
        if not requirements.parts or not self.learns(active):
            return ordered
        compared = self._compare(requirements, ordered, now)
        seen = {one.record.endpoint for one in compared}
        rest = [one for one in ordered if one.record.endpoint not in seen]
        for one in rest:
            one.read_tokens = sum(part.tokens for part in requirements.parts)
            one.expected_ms = self._estimates.speeds.times.expect_first_ms(
                one.read_tokens
            )
        return compared + rest

    def learns(self, candidates: list[routing.Candidate]) -> bool:
        """Return whether a pool's capacity is learnt from all hosts.

        It is if each endpoint has fewer slots than there are hosts: what one
        host has in flight there then says next to nothing of its load.
        """
        slots = max((one.record.slots for one in candidates), default=0)
        return 0 < slots < self._count_hosts()

    def _compare(
        self,
        requirements: routing.StageRequirements,
        ordered: list[routing.Candidate],
        now: float,
    ) -> list[routing.Candidate]:
        """Return the candidates that are compared, the best one first."""
        self._record_length(requirements.tokens_out)
        placed = self._place_session(requirements, ordered)
        mine = self._list_mine()
        home = placed[0]
        home_ms = self._assess(requirements, home, home, mine, now)
        if self._is_good_enough(requirements, home, now):
            return [home]
        costs = {home.record.endpoint: home_ms}
        others = self._rng.sample(ordered, min(RANDOM_CHOICES, len(ordered)))
        compared = [home]
        for one in placed[1:] + others:
            endpoint = one.record.endpoint
            if endpoint not in costs:
                compared.append(one)
                costs[endpoint] = self._assess(
                    requirements, one, home, mine, now
                )
        best_ms = min(costs.values())
        chosen = next(
            one
            for one in compared
            if costs[one.record.endpoint] <= SESSION_TOLERANCE * best_ms
        )
        compared.sort(key=lambda one: costs[one.record.endpoint])
        if chosen is not home:
            chosen.passed_over = home.record.endpoint
            chosen.passed_over_ms = home.expected_ms
        return [chosen, *(one for one in compared if one is not chosen)]

    def _record_length(self, tokens_out: int) -> None:
        if not self._usual_tokens_out:
            self._usual_tokens_out = float(tokens_out)
        change = tokens_out - self._usual_tokens_out
        self._usual_tokens_out += LENGTH_SMOOTHING * change

    def _place_session(
        self,
        requirements: routing.StageRequirements,
        ordered: list[routing.Candidate],
    ) -> list[routing.Candidate]:
        """Return the endpoints of the prompt's session, the first one first.

        The further ones are in the first one's domain, as the inputs of the
        prompt are.
        """
        session = affinity.session_name(requirements)

        def score(one: routing.Candidate) -> tuple[int, ids.EndpointId]:
            endpoint = one.record.endpoint
            return rendezvous.score(endpoint, session), endpoint

        domain = max(ordered, key=score).record.domain
        near = [one for one in ordered if one.record.domain == domain]
        return heapq.nlargest(SESSION_CHOICES, near, key=score)

    def _assess(
        self,
        requirements: routing.StageRequirements,
        one: routing.Candidate,
        home: routing.Candidate,
        mine: dict[ids.EndpointId, observations.Observation],
        now: float,
    ) -> float:
        """Set what is known of a candidate, and return its cost in ms."""
        estimate = self._estimates.find(
            one.record, mine.get(one.record.endpoint), now
        )
        # The session's other parts are cached at its first endpoint.
        parts = requirements.parts[-1:] if one is home else requirements.parts
        one.read_tokens = sum(part.tokens for part in parts)
        one.tokens_ahead = estimate.waiting_tokens
        one.slowness = estimate.slowness
        one.is_full = estimate.is_full
        one.expected_ms = self._estimates.expect_first_ms(
            estimate, one.read_tokens
        )
        one.pause_ms = self._estimates.expect_pause_ms(
            estimate, one.read_tokens
        )
        if one.is_full:
            # Any endpoint that bears one more request is better.
            return math.inf
        times = self._estimates.speeds.times
        cost = one.expected_ms
        if one is not home:
            shared = sum(part.tokens for part in parts[:-1])
            cost += REREAD_WEIGHT * times.token_ms * shared
        cost += CROSS_DOMAIN_MS * (one.record.domain != home.record.domain)
        stream_ms = times.stream_ms
        stream_ms *= self._compare_length(requirements)
        cost += WRITING_WEIGHT * estimate.slowness * stream_ms
        if requirements.pause_ms:
            late_ms = one.pause_ms - PAUSE_FRACTION * requirements.pause_ms
            cost += estimate.running * max(0.0, late_ms)
        return cost

    def _compare_length(
        self, requirements: routing.StageRequirements
    ) -> float:
        """Return how long an answer is, compared with a usual one."""
        if not requirements.tokens_out:
            return 1.0
        return requirements.tokens_out / self._usual_tokens_out

    def _is_good_enough(
        self,
        requirements: routing.StageRequirements,
        home: routing.Candidate,
        now: float,
    ) -> bool:
        """Return whether the session's endpoint need not be left."""
        if home.is_full:
            return False
        if requirements.pause_ms and (
            home.pause_ms > PAUSE_FRACTION * requirements.pause_ms
        ):
            return False
        left_ms = requirements.objective - now
        return home.expected_ms <= TIMELY_FRACTION * left_ms
