"""The operators' rules as typed values."""

import enum

import msgspec

from chervilshore import ids
from chervilshore import records


class Fencing(enum.Enum):
    """Whether a pool's endpoints check the fencing tokens of orders."""

    CHECKED = "checked"
    IGNORED = "ignored"


class Domain(msgspec.Struct, frozen=True):
    """A failure domain and whether operators let it serve."""

    name: ids.DomainId
    region: ids.RegionId = ids.RegionId("")
    state: records.DomainState = records.DomainState.IN


class Batching(msgspec.Struct, frozen=True):
    """Size, duration and space of the batch calls of a batch pool.

    Parameters
    ----------
    max_items : int
        Maximum number of items in one call.
    call_ms : float
        Fixed milliseconds of a call, in addition to those of its items.
    per_item_ms : float
        Expected milliseconds for each item of a call.
    result_space_bytes : float
        Bytes of results that one endpoint can hold.
    result_ttl_ms : float
        Milliseconds after which an endpoint drops a result.
    link_mbps : float
        Megabits per second at which an endpoint reads inputs.
    """

    max_items: int = 1
    call_ms: float = 0.0
    per_item_ms: float = 0.0
    result_space_bytes: float = 0.0
    result_ttl_ms: float = 0.0
    link_mbps: float = 1000.0

    def expect_ms(self, items: float) -> float:
        """Return the expected milliseconds of a call with so many items."""
        return self.call_ms + self.per_item_ms * items

    @property
    def link_bytes_per_ms(self) -> float:
        """Bytes per millisecond at which an endpoint reads inputs."""
        return self.link_mbps * 125.0


class BatchStage(msgspec.Struct, frozen=True):
    """A stage that runs as batched items before the request itself.

    Parameters
    ----------
    pool : PoolName
        The batch pool that runs the items.
    after : tuple of int
        The positions of the batch stages whose results it reads.
    result_bytes : int
        Approximate bytes of the result of one item.
    """

    pool: ids.PoolName
    after: tuple[int, ...] = ()
    result_bytes: int = 0


class Target(msgspec.Struct, frozen=True):
    """A pool that gets a weighted fraction of a pipeline's requests."""

    pool: ids.PoolName
    weight: float = 1.0


class CallerLimits(msgspec.Struct, frozen=True):
    """Limits on what callers of forwarded requests send.

    Parameters
    ----------
    body_bytes : int
        Maximum bytes of a request body.
    header_bytes : int
        Maximum bytes of the header fields of a request.
    header_ms : float
        Milliseconds within which a request head must arrive.
    idle_ms : float
        Milliseconds that may pass between two requests of a connection.
    """

    body_bytes: int = 1_000_000
    header_bytes: int = 16_384
    header_ms: float = 5000.0
    idle_ms: float = 15_000.0


class Pool(msgspec.Struct, frozen=True):
    """A set of interchangeable endpoints.

    Parameters
    ----------
    name : PoolName
        The name that the host list gives with each endpoint.
    kind : EndpointKind
        The protocol of the endpoints.
    cold : int
        Concurrency limit of a cold endpoint.
    most : int
        The highest concurrency limit of a warm endpoint.
    fencing : Fencing
        Whether the endpoints check fencing tokens on orders.
    resume : bool
        Whether the engines can resume a stream at a token offset.
    model : str
        The model that the engines serve.
    batching : Batching or None
        The parameters of batch calls; None if this is no batch pool.
    connections : int
        Connections that one endpoint accepts from all hosts; 0 for no limit.
    cold_rate : float
        Requests per second to a cold endpoint; 0 for no limit.
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
    """A stage of a pipeline and the pool that runs it."""

    name: ids.StageName
    pool: ids.PoolName


class Pipeline(msgspec.Struct, frozen=True):
    """A pipeline; a service is a pipeline of one stage.

    Parameters
    ----------
    name : PipelineName
        The name by which callers request it.
    stages : tuple of Stage
        The stages, in the order in which they run.
    class_name : ClassName
        The class of its requests.
    repeatable : bool
        Whether a request may run more than once; if not, it needs an
        idempotency key.
    deadline_ms : int
        Milliseconds until the deadline of a request that names none.
    path : str
        For a plain service, the path at its endpoints.
    host, prefix : str
        The host name and path prefix of the forwarded requests that it
        serves.
    targets : tuple of Target
        The pools among which forwarded requests are divided.
    batch_stages : tuple of BatchStage
        The batch stages that run before the last stage.
    attempts : int
        Maximum number of endpoints that are tried in turn for one stage.
    objective_ms : float
        Latency objective, in milliseconds until the first event or the
        whole plain answer; 0 for none.
    gap_ms : float
        Latency objective for the pause between two events, in milliseconds.
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
    """A class of requests, which sets their priority.

    Parameters
    ----------
    priority : int
        A lower number is served first and shed last.
    aging_ms : int
        Milliseconds of waiting that raise the priority by one step.
    """

    name: ids.ClassName
    priority: int = 5
    aging_ms: int = 1000


class Team(msgspec.Struct, frozen=True):
    """A team and its limits over the whole cluster.

    Parameters
    ----------
    rate : float
        Requests per second.
    burst : float
        Requests that may arrive together: the size of the token bucket.
    concurrency : int
        Requests in flight.
    keys : tuple of str
        The access keys of its callers.
    priority : int or None
        Overrides the priority of the request class; None for no override.
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
        The name; of several routes that match, the first in the file
        applies.
    pipeline, team, class_name : str
        Conditions on the request; an empty one matches all.
    stage : StageName
        The stage that is rerouted; empty means all.
    pool : PoolName
        The pool to use instead; empty keeps the pool of the stage.
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
    """Overrides the domain that the host list gives a host or endpoint."""

    host: str
    domain: ids.DomainId


class Rules(msgspec.Struct, frozen=True):
    """All rules of one generation, most of them keyed by name.

    Parameters
    ----------
    generation : Generation
        The number under which they were accepted; 0 before that.
    limits : CallerLimits
        Limits on what callers of forwarded requests send.
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
        """Return whether operators have taken a failure domain out."""
        rule = self.domains.get(domain)
        return rule is not None and rule.state is records.DomainState.OUT

    def accepts_requests(self, record: records.EndpointRecord) -> bool:
        """Return whether an endpoint is live and its domain is not out.

        The domain is that of the record; assignments are not applied.
        """
        live = record.state is records.EndpointState.LIVE
        return live and not self.is_out(record.domain)

    def domain_of(self, record: records.EndpointRecord) -> ids.DomainId:
        """Return an endpoint's domain; assignments override its record."""
        assignment = self.assignments.get(record.endpoint)
        return assignment.domain if assignment else record.domain

    def class_of(self, pipeline: Pipeline) -> RequestClass:
        """Return the request class of a pipeline, or one with the defaults."""
        found = self.classes.get(pipeline.class_name)
        return found or RequestClass(name=pipeline.class_name)

    def route_for(
        self,
        pipeline: Pipeline,
        team: ids.TeamId,
        stage: ids.StageName,
    ) -> Route | None:
        """Return the first route that matches a stage, or None."""
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
    """Return a copy of the pipeline whose last stage uses this pool."""
    last = msgspec.structs.replace(pipeline.stages[-1], pool=pool)
    stages = (*pipeline.stages[:-1], last)
    return msgspec.structs.replace(pipeline, stages=stages)
