"""Routers order the endpoints for a stage of a request, the best one first."""

import abc
import math

import msgspec

from chervilshore import forwarded
from chervilshore import ids
from chervilshore import records


class Candidate(msgspec.Struct):
    """The state of an endpoint that a stage could use.

    Parameters
    ----------
    record : EndpointRecord
        The endpoint, with its failure domain after assignments.
    free_slots : int
        Unused granted slots that this host holds there.
    in_flight : int
        Attempts of this host that run there.
    limit : int
        The latest known limit over all hosts; 0 when unknown.
    warmth : Warmth
        The warmth that its owner assumes.
    latency_ms : float
        Milliseconds that an attempt there takes; 0 when unknown.
    read_tokens : int
        Prompt tokens that it would have to read for the request.
    tokens_ahead : int
        Prompt tokens that it has to read before those.
    expected_ms : float
        Milliseconds in which the first event is expected; 0 when unknown.
    pause_ms : float
        Milliseconds that its streams are expected to pause at most meanwhile.
    slowness : float
        How slow it is, compared with a usual endpoint of its pool.
    is_full : bool
        Whether one more request would slow its other ones down.
    passed_over : EndpointId
        The endpoint of the prompt's session if this one was preferred to it;
        empty otherwise.
    passed_over_ms : float
        Milliseconds in which that one's first event was expected.
    """

    record: records.EndpointRecord
    free_slots: int = 0
    in_flight: int = 0
    limit: int = 0
    warmth: records.Warmth = records.Warmth.COLD
    latency_ms: float = 0.0
    read_tokens: int = 0
    tokens_ahead: int = 0
    expected_ms: float = 0.0
    pause_ms: float = 0.0
    slowness: float = 1.0
    is_full: bool = False
    passed_over: ids.EndpointId = ids.EndpointId("")
    passed_over_ms: float = 0.0


class StageRequirements(msgspec.Struct, frozen=True):
    """What a stage of a request requires of an endpoint.

    Parameters
    ----------
    request : RequestId
        The request.
    team : TeamId
        Its team.
    priority : int
        The priority of its class; lower goes first.
    aging_ms : int
        Milliseconds of waiting that equal one step of priority.
    pool : PoolName
        The pool to choose from.
    domains : tuple of DomainId
        The only domains to use; empty allows all.
    deadline : float
        The time, on the host's clock in milliseconds, by which the whole
        answer must have arrived.
    prefix : str
        The start of the input, which an endpoint may have cached from other
        requests; may be empty.
    excluded : frozenset of EndpointId
        Endpoints that must not be used, such as those that failed this
        stage.
    settle_ms : float
        Milliseconds after the deadline in which a call that cannot be
        repeated may go on.
    parts : tuple of PromptPart
        The prompt's parts that an endpoint may have cached, in order.
    version : SoftwareVersion or None
        The only version of endpoints to use; None allows all.
    pipeline : PipelineName
        The pipeline of the request.
    tokens_out : int
        The most tokens to generate; 0 when unknown.
    objective : float
        The time by which the first event should come.
    pause_ms : float
        Objective for the pause between two events; 0 for none.
    """

    request: ids.RequestId
    team: ids.TeamId
    priority: int
    pool: ids.PoolName
    deadline: float
    aging_ms: int = 1000
    domains: tuple[ids.DomainId, ...] = ()
    prefix: str = ""
    excluded: frozenset[ids.EndpointId] = frozenset()
    settle_ms: float = 0.0
    parts: tuple[forwarded.PromptPart, ...] = ()
    version: ids.SoftwareVersion | None = None
    pipeline: ids.PipelineName = ids.PipelineName("")
    tokens_out: int = 0
    objective: float = math.inf
    pause_ms: float = 0.0

    @property
    def latest_end(self) -> float:
        """The latest time at which the endpoint may still work on it."""
        return self.deadline + self.settle_ms

    def allows(self, record: records.EndpointRecord) -> bool:
        """Return whether the stage may run at the endpoint."""
        if record.endpoint in self.excluded:
            return False
        if self.version is not None and record.version != self.version:
            return False
        return not self.domains or record.domain in self.domains


class Router(abc.ABC):
    """Orders endpoints for a stage of a request."""

    @abc.abstractmethod
    def rank(
        self,
        requirements: StageRequirements,
        candidates: list[Candidate],
        now: float,
    ) -> list[Candidate]:
        """Return the candidates, the best one first; some may be missing.

        Parameters
        ----------
        requirements : StageRequirements
            What the stage requires.
        candidates : list of Candidate
            Endpoints of the pool that the requirements allow.
        now : float
            The time in milliseconds.
        """

    def record_attempt(
        self,
        endpoint: ids.EndpointId,
        outcome: records.Outcome,
        millis: float,
        now: float,
    ) -> None:
        """Record how an attempt ended.

        Parameters
        ----------
        endpoint : EndpointId
            The endpoint that was called.
        outcome : Outcome
            How the attempt ended.
        millis : float
            Milliseconds that it took.
        now : float
            The time in milliseconds.
        """


class LeastInFlightRouter(Router):
    """The baseline: own domain first, then the fewest running attempts."""

    def __init__(self, domain: ids.DomainId) -> None:
        self._domain = domain

    def rank(
        self,
        requirements: StageRequirements,
        candidates: list[Candidate],
        now: float,
    ) -> list[Candidate]:
        """Order the candidates; see `Router.rank`."""
        return sorted(
            candidates,
            key=lambda candidate: (
                candidate.record.domain != self._domain,
                candidate.in_flight,
                candidate.record.endpoint,
            ),
        )
