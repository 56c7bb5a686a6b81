"""What the operators' rules say, as typed values."""

import enum

import msgspec

from chervilshore import ids
from chervilshore import records


class Fencing(enum.Enum):
    """Whether a pool's endpoints check who gives them an order."""

    CHECKED = "checked"
    IGNORED = "ignored"


class Domain(msgspec.Struct, frozen=True):
    """A failure domain and whether it may serve."""

    name: ids.DomainId
    region: ids.RegionId = ids.RegionId("")
    state: records.DomainState = records.DomainState.IN


class Batching(msgspec.Struct, frozen=True):
    """How the endpoints of a preparing pool take pieces of work.

    Parameters
    ----------
    max_items : int
        Most items in one call.
    call_ms : float
        Milliseconds that a call takes before its first piece.
    per_item_ms : float
        Milliseconds that a piece takes, as a rule.
    result_space_bytes : float
        Bytes of results that an endpoint keeps at once.
    result_ttl_ms : float
        Milliseconds for which an endpoint keeps a result.
    link_mbps : float
        Megabits a second at which an endpoint reads inputs.
    """

    max_items: int = 1
    call_ms: float = 0.0
    per_item_ms: float = 0.0
    result_space_bytes: float = 0.0
    result_ttl_ms: float = 0.0
    link_mbps: float = 1000.0

    def expect_ms(self, pieces: float) -> float:
        """Tell the milliseconds that a call with so many pieces takes."""
        return self.call_ms + self.per_item_ms * pieces

    @property
    def link_bytes_per_ms(self) -> float:
        """Bytes in a millisecond at which an endpoint reads inputs."""
        return self.link_mbps * 125.0


class BatchStage(msgspec.Struct, frozen=True):
    """Pieces of work that must be done before a request can run.

    Parameters
    ----------
    pool : PoolName
        The pool that does them.
    after : tuple of int
        The positions of the preparations whose results it needs.
    result_bytes : int
        Bytes of one piece's result, about.
    """

    pool: ids.PoolName
    after: tuple[int, ...] = ()
    result_bytes: int = 0


class Target(msgspec.Struct, frozen=True):
    """A pool that takes a part of a pipeline's requests."""

    pool: ids.PoolName
    weight: float = 1.0


class CallerLimits(msgspec.Struct, frozen=True):
    """What callers of forwarded requests may send.

    Parameters
    ----------
    body_bytes : int
        Bytes of a body.
    header_bytes : int
        Bytes of a head.
    header_ms, idle_ms : float
        Milliseconds for a head to come, and between two requests.
    """

    body_bytes: int = 1_000_000
    header_bytes: int = 16_384
    header_ms: float = 5000.0
    idle_ms: float = 15_000.0


class Pool(msgspec.Struct, frozen=True):
    """A set of endpoints that can stand in for each other.

    Parameters
    ----------
    name : PoolName
        Its name, which the host list gives with each endpoint.
    kind : EndpointKind
        The protocol of its endpoints.
    cold : int
        Calls in flight that a cold endpoint bears.
    most : int
        Calls in flight that a warm endpoint is given at most.
    fencing : Fencing
        Whether its endpoints check fencing numbers on orders.
    resume : bool
        Whether its engines resume a stream at a token offset.
    model : str
        The model that its engines serve.
    batching : Batching or None
        How its endpoints take pieces; nothing for other pools.
    connections : int
        Connections that one endpoint takes from all hosts; 0 for no bound.
    cold_rate : float
        Requests a second that a cold endpoint bears; 0 for no bound.
    cold_ms : float
        Milliseconds for which an endpoint is cold after its start.
    """

    name: ids.PoolName
    kind: records.EndpointKind
    cold: int = 1
    most: int = 32
    fencing: Fencing = Fencing.IGNORED
    resume: bool = False
    model: str = ""
    batching: Batching | None = None
    connections: int = 0
    cold_rate: float = 0.0
    cold_ms: float = 0.0


class Stage(msgspec.Struct, frozen=True):
    """A step of a pipeline and the pool that does it."""

    name: ids.StageName
    pool: ids.PoolName


class Pipeline(msgspec.Struct, frozen=True):
    """A pipeline; a service is a pipeline of one stage.

    Parameters
    ----------
    name : PipelineName
        Its name in the callers' interface.
    stages : tuple of Stage
        Its steps, in order.
    class_name : ClassName
        The class of its requests.
    repeatable : bool
        Whether a request may be run again; if not, it needs a key.
    deadline_ms : int
        Milliseconds for a request that brings no deadline.
    path : str
        For a plain service, the path at its endpoints.
    host, prefix : str
        Which forwarded requests it takes: their host and the beginning of
        their path.
    targets : tuple of Target
        The pools among which forwarded requests are divided.
    preparations : tuple of BatchStage
        The pieces that go before the last stage.
    attempts : int
        Endpoints that may run a stage of one request, one after another.
    objective_ms : float
        Milliseconds within which callers want the answer to begin; 0 when
        nothing is said.
    gap_ms : float
        Milliseconds that callers want a pause between events to last at
        most.
    streams : bool
        Whether the answer is a stream of events.
    public : bool
        Whether callers need no access key.
    """

    name: ids.PipelineName
    stages: tuple[Stage, ...]
    class_name: ids.ClassName = ids.ClassName("default")
    repeatable: bool = True
    deadline_ms: int = 7000
    path: str = ""
    host: str = ""
    prefix: str = ""
    targets: tuple[Target, ...] = ()
    batch_stages: tuple[BatchStage, ...] = ()
    attempts: int = 4
    objective_ms: float = 0.0
    gap_ms: float = 0.0
    streams: bool = False
    public: bool = False


class RequestClass(msgspec.Struct, frozen=True):
    """A class of requests.

    Parameters
    ----------
    name : ClassName
        Its name.
    priority : int
        Lower goes first and is shed last.
    aging_ms : int
        Milliseconds of waiting that are worth one step of priority.
    """

    name: ids.ClassName
    priority: int = 5
    aging_ms: int = 1000


class Team(msgspec.Struct, frozen=True):
    """A team and its limits over the whole fleet.

    Parameters
    ----------
    name : TeamId
        Its name.
    rate : float
        Requests a second.
    burst : float
        Requests that may come at once.
    concurrency : int
        Requests in flight.
    keys : tuple of str
        The access keys of its callers.
    priority : int or None
        Goes before the priority of a request's class; nothing for none.
    """

    name: ids.TeamId
    rate: float = 100.0
    burst: float = 100.0
    concurrency: int = 100
    keys: tuple[str, ...] = ()
    priority: int | None = None


class Route(msgspec.Struct, frozen=True):
    """Sends matching requests to another pool or to certain domains.

    Parameters
    ----------
    name : str
        Its name; of several that match, the first in the file decides.
    pipeline, team, class_name : str
        What must match; empty matches all.
    stage : StageName
        The stage that is sent elsewhere; empty means all.
    pool : PoolName
        The pool to use instead; empty keeps the stage's own.
    domains : tuple of DomainId
        The only domains to use; empty allows all.
    """

    name: str
    pipeline: ids.PipelineName = ids.PipelineName("")
    team: ids.TeamId = ids.TeamId("")
    class_name: ids.ClassName = ids.ClassName("")
    stage: ids.StageName = ids.StageName("")
    pool: ids.PoolName = ids.PoolName("")
    domains: tuple[ids.DomainId, ...] = ()


class Assignment(msgspec.Struct, frozen=True):
    """Puts a host or endpoint into a domain, against the host list."""

    host: str
    domain: ids.DomainId


class Rules(msgspec.Struct, frozen=True):
    """All rules of one generation, by name.

    Parameters
    ----------
    generation : Generation
        The number under which they were accepted; 0 before that.
    limits : CallerLimits
        What callers of forwarded requests may send.
    """

    generation: ids.Generation = ids.Generation(0)
    domains: dict[ids.DomainId, Domain] = {}
    pools: dict[ids.PoolName, Pool] = {}
    pipelines: dict[ids.PipelineName, Pipeline] = {}
    classes: dict[ids.ClassName, RequestClass] = {}
    teams: dict[ids.TeamId, Team] = {}
    routes: tuple[Route, ...] = ()
    assignments: dict[str, Assignment] = {}
    limits: CallerLimits = CallerLimits()

    def is_out(self, domain: ids.DomainId) -> bool:
        """Tell whether operators have taken a failure domain out."""
        rule = self.domains.get(domain)
        return rule is not None and rule.state is records.DomainState.OUT

    def accepts_requests(self, record: records.EndpointRecord) -> bool:
        """Tell whether an endpoint is neither leaving nor in a domain out."""
        live = record.state is records.EndpointState.LIVE
        return live and not self.is_out(record.domain)

    def domain_of(self, record: records.EndpointRecord) -> ids.DomainId:
        """Tell the failure domain of an endpoint, assignments first."""
        assignment = self.assignments.get(record.endpoint)
        return assignment.domain if assignment else record.domain

    def class_of(self, pipeline: Pipeline) -> RequestClass:
        """Find the class of a pipeline's requests."""
        found = self.classes.get(pipeline.class_name)
        return found or RequestClass(name=pipeline.class_name)

    def route_for(
        self,
        pipeline: Pipeline,
        team: ids.TeamId,
        stage: ids.StageName,
    ) -> Route | None:
        """Find the first routing rule that matches a stage of a request."""
        for route in self.routes:
            if route.pipeline not in ("", pipeline.name):
                continue
            if route.team not in ("", team):
                continue
            if route.class_name not in ("", pipeline.class_name):
                continue
            if route.stage in ("", stage):
                return route
        return None


def with_final_pool(pipeline: Pipeline, pool: ids.PoolName) -> Pipeline:
    """Send a pipeline's last stage to another of its pools."""
    last = msgspec.structs.replace(pipeline.stages[-1], pool=pool)
    stages = (*pipeline.stages[:-1], last)
    return msgspec.structs.replace(pipeline, stages=stages)
