"""Decodes the platform's configuration and its entries for endpoints.

The platform's words differ from the project's: a route is a pipeline, a
service a pool, a server or worker an endpoint, a zone a failure domain, a
tenant a team, and pieces are batch items. The structures have the platform's
field names.
"""

import math

import msgspec

from chervilshore import exceptions
from chervilshore import ids
from chervilshore import records
from chervilshore.rules import model

STREAM = "stream"
IDEMPOTENT = "idempotent"
"""Kinds of routes; requests of any other kind are never repeated."""

READY = "ready"
DRAINING = "draining"

BYTES_PER_MB = 1_000_000.0

FORWARDING_STAGE_NAME = ids.StageName("run")
"""Name of the stage that forwards the request, after all batch stages."""


class _Share(msgspec.Struct):
    """A pool and the relative share of requests that it gets."""

    service: str
    weight: float = 1.0


class _Stage(msgspec.Struct):
    """A batch stage that runs before the request itself."""

    service: str
    after: tuple[int, ...] = ()
    """Indexes of the batch stages whose results this one reads."""
    size_bytes: int = 0
    """Approximate size of the result of one batch item."""


class _Route(msgspec.Struct):
    """A pipeline, with the requests that it handles."""

    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float = 15_000.0
    slo_ms: float = 0.0
    """Latency objective: to the first event of a stream, or to the complete
    response otherwise."""
    priority: int = 5
    service: str = ""
    backends: list[_Share] = []
    """Pools and their shares of the requests; replaces `service`."""
    max_attempts: int = 1
    """Endpoints that may run a stage of one request, one after another."""
    stages: tuple[_Stage, ...] = ()
    public: bool = False
    resumable: bool = False
    gap_target_ms: float = 0.0
    """Objective for the pause between two events of a stream."""


class _Pieces(msgspec.Struct):
    """Settings of a batch pool."""

    batch: int = 1
    """Largest number of batch items in one call."""
    call_ms: float = 0.0
    """Time that a call takes before its first item."""
    item_ms: float = 0.0
    """Usual time for one item."""
    headroom_mb: float = 0.0
    """Space for the results that one endpoint keeps at a time."""
    handle_s: float = 0.0
    """Seconds for which an endpoint keeps a result."""
    link_mbps: float = 1000.0
    """Megabits a second at which an endpoint reads inputs."""


class _Engine(msgspec.Struct):
    slots: int = 0
    """Requests that one endpoint runs concurrently."""


class _Service(msgspec.Struct):
    """A pool; a batch pool if `pieces` is set."""

    name: str
    max_conns: int = 0
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0
    engine: _Engine | None = None
    pieces: _Pieces | None = None


class _Tenant(msgspec.Struct):
    """A team and its access keys."""

    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 1_000_000
    header_timeout_ms: float = 5000.0
    idle_timeout_ms: float = 15_000.0


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


class _Server(msgspec.Struct):
    """An endpoint; `service` is its pool and `zone` its failure domain."""

    service: str
    addr: str
    zone: str
    state: str
    version: str = ""
    """Version of its software."""
    slots: int = 0
    cold_left_ms: float = 0.0
    born: int = 0
    """Start time of the endpoint's process in Unix milliseconds; it tells
    processes apart that use the same name one after the other."""


_CONFIG_DECODER = msgspec.json.Decoder(_Config)
_SERVER_DECODER = msgspec.json.Decoder(_Server)


def decode_rules(content: bytes) -> model.Rules:
    """Decode the platform's configuration into rules.

    Raises
    ------
    exceptions.RulesError
        The content is not a valid configuration.
    """
    try:
        decoded = _CONFIG_DECODER.decode(content)
    except msgspec.DecodeError as error:
        raise exceptions.RulesError(str(error)) from error
    pools = {}
    for service in decoded.services:
        pool = _make_pool(service)
        pools[pool.name] = pool
    resumable = {
        name
        for route in decoded.routes
        if route.resumable
        for name in _list_targets(route)
    }
    for name in resumable:
        if name in pools:
            pools[name] = msgspec.structs.replace(pools[name], resume=True)
    pipelines = [_make_pipeline(route) for route in decoded.routes]
    tenants = decoded.tenants or ()
    return model.Rules(
        generation=ids.Generation(decoded.version),
        pools=pools,
        pipelines={pipeline.name: pipeline for pipeline in pipelines},
        classes={
            pipeline.class_name: model.RequestClass(
                name=pipeline.class_name, priority=route.priority
            )
            for pipeline, route in zip(pipelines, decoded.routes, strict=True)
        },
        teams={
            ids.TeamId(tenant.name): model.Team(
                ids.TeamId(tenant.name),
                keys=tenant.api_keys,
                priority=tenant.priority,
            )
            for tenant in tenants
        },
        limits=model.CallerLimits(
            body_bytes=decoded.limits.max_body_bytes,
            header_bytes=decoded.limits.max_header_bytes,
            header_ms=decoded.limits.header_timeout_ms,
            idle_ms=decoded.limits.idle_timeout_ms,
        ),
    )


def _make_pool(service: _Service) -> model.Pool:
    engine = service.engine is not None
    kinds = records.EndpointKind
    pieces = service.pieces
    return model.Pool(
        name=ids.PoolName(service.name),
        kind=kinds.ENGINE if engine else kinds.PLAIN,
        connections=service.max_conns,
        cold_rate=service.cold_per_s,
        cold_ms=service.cold_start_s * 1000.0,
        batching=pieces
        and model.Batching(
            max_items=pieces.batch,
            call_ms=pieces.call_ms,
            per_item_ms=pieces.item_ms,
            result_space_bytes=pieces.headroom_mb * BYTES_PER_MB,
            result_ttl_ms=pieces.handle_s * 1000.0,
            link_mbps=pieces.link_mbps,
        ),
    )


def _list_targets(route: _Route) -> list[str]:
    return [share.service for share in route.backends] or [route.service]


def _make_pipeline(route: _Route) -> model.Pipeline:
    name = ids.PipelineName(route.name)
    streams = route.kind == STREAM
    shares = route.backends or [_Share(route.service)]
    targets = tuple(
        model.Target(ids.PoolName(share.service), share.weight)
        for share in shares
        if share.weight > 0
    )
    return model.Pipeline(
        name=name,
        stages=(model.Stage(FORWARDING_STAGE_NAME, targets[0].pool),)
        if targets
        else (),
        class_name=ids.ClassName(route.name),
        repeatable=route.resumable if streams else route.kind == IDEMPOTENT,
        deadline_ms=int(route.timeout_ms),
        host=route.host.lower(),
        prefix=route.path_prefix,
        targets=targets,
        batch_stages=tuple(
            model.BatchStage(
                ids.PoolName(stage.service), stage.after, stage.size_bytes
            )
            for stage in route.stages
        ),
        attempts=max(1, route.max_attempts),
        objective_ms=route.slo_ms,
        gap_ms=route.gap_target_ms,
        streams=streams,
        public=route.public,
    )


def decode_endpoint(
    name: str, content: bytes
) -> records.EndpointRecord | None:
    """Decode the entry of an endpoint.

    Returns
    -------
    EndpointRecord or None
        None if the entry is invalid or the endpoint is neither ready nor
        draining.
    """
    try:
        decoded = _SERVER_DECODER.decode(content)
    except msgspec.DecodeError:
        return None
    if decoded.state not in (READY, DRAINING):
        return None
    host, _, port = decoded.addr.rpartition(":")
    if not host or not port.isdigit():
        return None
    if not math.isfinite(decoded.cold_left_ms):
        return None
    state = records.EndpointState
    return records.EndpointRecord(
        endpoint=ids.EndpointId(name),
        pool=ids.PoolName(decoded.service),
        domain=ids.DomainId(decoded.zone),
        address=ids.Address(decoded.addr),
        state=state.LIVE if decoded.state == READY else state.LEAVING,
        cold_ms=decoded.cold_left_ms,
        instance=make_instance(ids.EndpointId(name), decoded.born),
        version=ids.SoftwareVersion(decoded.version),
        slots=max(0, decoded.slots),
    )


def make_instance(endpoint: ids.EndpointId, born: int) -> ids.InstanceId:
    """Return the name of the process of an endpoint that started then."""
    return ids.InstanceId(f"{endpoint}/{born}")


class _Host(msgspec.Struct):
    domain: str
    peer: str
    capacity: float = 1.0


_HOST_DECODER = msgspec.json.Decoder(_Host)


def encode_host(record: records.HostRecord) -> bytes:
    """Encode the entry of an entry host for the platform's store."""
    return msgspec.json.encode(
        _Host(record.domain, record.peer_address, record.capacity)
    )


def decode_host(name: str, content: bytes) -> records.HostRecord | None:
    """Decode the entry of an entry host; None if it is invalid."""
    try:
        decoded = _HOST_DECODER.decode(content)
    except msgspec.DecodeError:
        return None
    return records.HostRecord(
        host=ids.HostId(name),
        domain=ids.DomainId(decoded.domain),
        peer_address=ids.Address(decoded.peer),
        http_address=ids.Address(""),
        capacity=decoded.capacity,
    )
