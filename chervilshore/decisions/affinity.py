"""Prefix-affinity routing: requests that share a prompt share an endpoint."""

from collections import abc as collections_abc
import random

from chervilshore.decisions import ejection as ejections
from chervilshore.decisions import rendezvous
from chervilshore.decisions import routing
from chervilshore import forwarded
from chervilshore import ids
from chervilshore import records

MAX_AFFINITY_LOAD_FACTOR = 2.0
"""Multiple of the mean load up to which an endpoint is chosen for a prompt's
session."""

AFFINITY_LOAD_SLACK = 4.0
"""Requests in flight that are allowed in addition to that."""

CROSS_DOMAIN_LOAD = 1.0
"""Requests in flight that are added to the load of an endpoint in another
domain."""


class AffinityRouter(routing.Router):
    """Sends prompts that share parts to the same endpoint.

    All hosts choose the same endpoint without communication: a rendezvous
    hash places the session, which is the last shared part of the prompt, as
    long as the load of the endpoint allows it. Other requests go to the
    endpoint with the fewest requests of this host. Endpoints that fail are
    ejected and probed.

    Parameters
    ----------
    domain : DomainId
        This host's failure domain.
    rng : random.Random
        Breaks ties.
    ejection : Ejection
        Decides which endpoints are ejected.
    """

    def __init__(
        self,
        domain: ids.DomainId,
        rng: random.Random,
        ejection: ejections.Ejection,
    ) -> None:
        self._domain = domain
        self._rng = rng
        self._ejection = ejection

    def rank(
        self,
        requirements: routing.StageRequirements,
        candidates: list[routing.Candidate],
        now: float,
    ) -> list[routing.Candidate]:
        """Order the candidates; see `Router.rank`."""
        usable = [one for one in candidates if requirements.allows(one.record)]
        health_of = self._ejection.assess(
            [one.record.endpoint for one in usable], now
        )
        states = ejections.EjectionState
        active, probeable, ejected = [], [], []
        for one in usable:
            state = health_of[one.record.endpoint].state
            if state is states.ACTIVE:
                active.append(one)
            elif state is states.PROBE:
                probeable.append(one)
            else:
                ejected.append(one)
        active = self.order(requirements, active, now)
        ejected.sort(key=self._load)
        # An ejected endpoint is still better than a refusal if there is no
        # other.
        return (
            self._start_probe(probeable, requirements.deadline - now, now)
            + active
            + ejected
        )

    def order(
        self,
        requirements: routing.StageRequirements,
        active: list[routing.Candidate],
        now: float,
    ) -> list[routing.Candidate]:
        """Return the candidates that are not ejected, the best one first."""
        active.sort(key=self._load)
        if requirements.parts:
            self._prefer_session(requirements, active)
        return active

    def record_attempt(
        self,
        endpoint: ids.EndpointId,
        outcome: records.Outcome,
        millis: float,
        now: float,
    ) -> None:
        """Record how an attempt ended; see `Router.record_attempt`."""
        self._ejection.record_attempt(endpoint, outcome, millis, now)

    def describe(self, now: float) -> dict[str, float]:
        """Return the milliseconds until ejected endpoints may be probed."""
        return self._ejection.describe(now)

    def _load(self, one: routing.Candidate) -> float:
        """Return the requests in flight, plus a random fraction for ties."""
        is_remote = one.record.domain != self._domain
        return (
            one.in_flight + CROSS_DOMAIN_LOAD * is_remote + self._rng.random()
        )

    def _prefer_session(
        self,
        requirements: routing.StageRequirements,
        active: list[routing.Candidate],
    ) -> None:
        """Move the endpoint of the prompt's session to the front."""
        if not active:
            return
        mean = sum(one.in_flight for one in active) / len(active)
        max_load = MAX_AFFINITY_LOAD_FACTOR * mean + AFFINITY_LOAD_SLACK
        fitting: collections_abc.Mapping = {
            one.record.endpoint: one
            for one in active
            if one.in_flight <= max_load
        }
        chosen = rendezvous.choose(fitting, session_name(requirements))
        if chosen is not None:
            active.remove(fitting[chosen])
            active.insert(0, fitting[chosen])

    def _start_probe(
        self,
        probeable: list[routing.Candidate],
        remaining_ms: float,
        now: float,
    ) -> list[routing.Candidate]:
        """Return the endpoint that the request should probe, if any."""
        for one in probeable:
            if self._ejection.start_probe(
                one.record.endpoint, remaining_ms, now
            ):
                return [one]
        return []


def session_name(requirements: routing.StageRequirements) -> str:
    """Return the name of the last shared part of a prompt, or of its only one.

    The last part of a prompt belongs to the request alone.
    """
    return _session_name(requirements.parts)


def _session_name(
    parts: collections_abc.Sequence[forwarded.PromptPart],
) -> str:
    return parts[-2 if len(parts) > 1 else -1].name


def choose_reader_domain(
    parts: collections_abc.Sequence[forwarded.PromptPart],
    endpoints: collections_abc.Iterable[records.EndpointRecord],
) -> ids.DomainId:
    """Return the domain in which a prompt will most likely be read.

    Parameters
    ----------
    parts : sequence of PromptPart
        The prompt.
    endpoints : iterable of EndpointRecord
        The endpoints that may read it.

    Returns
    -------
    DomainId
        The domain; empty when it is not known.
    """
    live = {
        record.endpoint: record
        for record in endpoints
        if record.state is records.EndpointState.LIVE
    }
    if not parts or not live:
        return ids.DomainId("")
    return live[rendezvous.choose(live, _session_name(parts))].domain
