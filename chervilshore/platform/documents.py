"""The operator's configuration and the endpoints' entries, decoded."""

import math

import msgspec

from chervilshore import exceptions
from chervilshore import ids
from chervilshore import records
from chervilshore.rules import model

STREAM = "stream"
IDEMPOTENT = "idempotent"
"""The kinds of route; the third one is repeated never."""

READY = "ready"
DRAINING = "draining"

BYTES_PER_MB = 1_000_000.0

RUN_STAGE = ids.StageName("run")
"""The stage that forwards a request, after all preparations."""


class _Share(msgspec.Struct):
    service: str
    weight: float = 1.0


class _Stage(msgspec.Struct):
    service: str
    after: tuple[int, ...] = ()
    size_bytes: int = 0


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float = 15_000.0
    slo_ms: float = 0.0
    """The moment of the first event, or of the whole plain answer."""
    priority: int = 5
    service: str = ""
    backends: list[_Share] = []
    """How requests are divided; stands in for `service`."""
    max_attempts: int = 1
    stages: tuple[_Stage, ...] = ()
    public: bool = False
    resumable: bool = False
    gap_target_ms: float = 0.0


class _Pieces(msgspec.Struct):
    batch: int = 1
    call_ms: float = 0.0
    item_ms: float = 0.0
    headroom_mb: float = 0.0
    """Room for results at one worker."""
    handle_s: float = 0.0
    link_mbps: float = 1000.0


class _Engine(msgspec.Struct):
    slots: int = 0
    """Requests that one worker runs at once."""


class _Service(msgspec.Struct):
    name: str
    max_conns: int = 0
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0
    engine: _Engine | None = None
    pieces: _Pieces | None = None


class _Tenant(msgspec.Struct):
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
    service: str
    addr: str
    zone: str
    state: str
    cold_left_ms: float = 0.0
    born: int = 0
    """Unix milliseconds of the worker's start; its name may be reused."""


_CONFIG = msgspec.json.Decoder(_Config)
_SERVER = msgspec.json.Decoder(_Server)


def decode_rules(content: bytes) -> model.Rules:
    """Decode a configuration.

    Raises
    ------
    exceptions.RulesError
        The content cannot be read.
    """
    try:
        found = _CONFIG.decode(content)
    except msgspec.DecodeError as error:
        raise exceptions.RulesError(str(error)) from error
    pools = {}
    for service in found.services:
        pool = _make_pool(service)
        pools[pool.name] = pool
    resumable = {
        name
        for route in found.routes
        if route.resumable
        for name in _list_targets(route)
    }
    for name in resumable:
        if name in pools:
            pools[name] = msgspec.structs.replace(pools[name], resume=True)
    pipelines = [_make_pipeline(route) for route in found.routes]
    tenants = found.tenants or ()
    return model.Rules(
        generation=ids.Generation(found.version),
        pools=pools,
        pipelines={one.name: one for one in pipelines},
        classes={
            one.class_name: model.RequestClass(
                name=one.class_name, priority=route.priority
            )
            for one, route in zip(pipelines, found.routes, strict=True)
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
            body_bytes=found.limits.max_body_bytes,
            header_bytes=found.limits.max_header_bytes,
            header_ms=found.limits.header_timeout_ms,
            idle_ms=found.limits.idle_timeout_ms,
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
        stages=(model.Stage(RUN_STAGE, targets[0].pool),) if targets else (),
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
    """Decode an endpoint's entry.

    Returns
    -------
    EndpointRecord or None
        Nothing when the entry names no endpoint that can be used.
    """
    try:
        found = _SERVER.decode(content)
    except msgspec.DecodeError:
        return None
    if found.state not in (READY, DRAINING):
        return None
    host, _, port = found.addr.rpartition(":")
    if not host or not port.isdigit():
        return None
    if not math.isfinite(found.cold_left_ms):
        return None
    state = records.EndpointState
    return records.EndpointRecord(
        endpoint=ids.EndpointId(name),
        pool=ids.PoolName(found.service),
        domain=ids.DomainId(found.zone),
        address=ids.Address(found.addr),
        state=state.LIVE if found.state == READY else state.LEAVING,
        cold_ms=found.cold_left_ms,
        instance=ids.InstanceId(f"{name}/{found.born}"),
    )


class _Host(msgspec.Struct):
    domain: str
    peer: str
    capacity: float = 1.0


_HOST = msgspec.json.Decoder(_Host)


def encode_host(record: records.HostRecord) -> bytes:
    """Write what an entry host tells of itself in the store."""
    return msgspec.json.encode(
        _Host(record.domain, record.peer_address, record.capacity)
    )


def decode_host(name: str, content: bytes) -> records.HostRecord | None:
    """Decode an entry host; nothing when it cannot be read."""
    try:
        found = _HOST.decode(content)
    except msgspec.DecodeError:
        return None
    return records.HostRecord(
        host=ids.HostId(name),
        domain=ids.DomainId(found.domain),
        peer_address=ids.Address(found.peer),
        http_address=ids.Address(""),
        capacity=found.capacity,
    )
