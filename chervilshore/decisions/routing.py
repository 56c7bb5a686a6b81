"""Which endpoints suit a stage of a request, the best one first."""

import abc

import msgspec

from chervilshore import ids
from chervilshore import passages
from chervilshore import records


class Candidate(msgspec.Struct):
    """What is known of an endpoint that could be asked.

    Parameters
    ----------
    record : EndpointRecord
        The endpoint, with its failure domain after assignments.
    free : int
        Granted slots that this host holds there unused.
    in_flight : int
        Attempts of this host that run there.
    limit : int
        The limit over all hosts, as last heard; 0 when unknown.
    warmth : Warmth
        What its keeper thinks that it bears.
    latency_ms : float
        Milliseconds that an attempt there takes; 0 when unknown.
    """

    record: records.EndpointRecord
    free: int = 0
    in_flight: int = 0
    limit: int = 0
    warmth: records.Warmth = records.Warmth.COLD
    latency_ms: float = 0.0


class Need(msgspec.Struct, frozen=True):
    """What a stage of a request asks of an endpoint.

    Parameters
    ----------
    request : RequestId
        The request.
    team : TeamId
        Its team.
    priority : int
        The priority of its class; lower goes first.
    aging_ms : int
        Milliseconds of waiting that are worth one step of priority.
    pool : PoolName
        The pool to choose from.
    domains : tuple of DomainId
        The only domains to use; empty allows all.
    deadline : float
        The moment, on the host's clock in milliseconds, by which the
        whole answer must be there.
    prefix : str
        What requests share that an endpoint may have cached; may be empty.
    excluded : frozenset of EndpointId
        Endpoints that have failed this stage already.
    settle_ms : float
        Milliseconds after the deadline in which a call that cannot be
        repeated may go on.
    parts : tuple of PromptPart
        The prompt's parts that an endpoint may have cached, in order.
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
    parts: tuple[passages.PromptPart, ...] = ()

    @property
    def ends(self) -> float:
        """The moment by which the endpoint is done with it at the latest."""
        return self.deadline + self.settle_ms

    def allows(self, record: records.EndpointRecord) -> bool:
        """Tell whether the rules and earlier attempts allow an endpoint."""
        if record.endpoint in self.excluded:
            return False
        return not self.domains or record.domain in self.domains


class Router(abc.ABC):
    """Orders endpoints for a stage of a request."""

    @abc.abstractmethod
    def rank(
        self, need: Need, candidates: list[Candidate], now: float
    ) -> list[Candidate]:
        """Order the candidates, the best one first; some may be left out.

        Parameters
        ----------
        need : Need
            What the stage asks.
        candidates : list of Candidate
            Endpoints of the pool that the need allows.
        now : float
            The time in milliseconds.
        """

    def note(
        self,
        endpoint: ids.EndpointId,
        outcome: records.Outcome,
        millis: float,
        now: float,
    ) -> None:
        """Learn how an attempt ended.

        Parameters
        ----------
        endpoint : EndpointId
            The endpoint that was asked.
        outcome : Outcome
            How the attempt ended.
        millis : float
            Milliseconds that it took.
        now : float
            The time in milliseconds.
        """


class LeastInFlightRouter(Router):
    """The baseline: the fewest attempts of this host, own domain first."""

    def __init__(self, domain: ids.DomainId) -> None:
        self._domain = domain

    def rank(
        self, need: Need, candidates: list[Candidate], now: float
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
