"""Decodes the platform's configuration and its entries for endpoints.

The platform's words differ from the project's: a route is a pipeline, a
service a pool, a server or worker an endpoint, a zone a failure domain, a
tenant a team, and pieces are batch items. The structures have the platform's
field names.
"""

import ipaddress
import math
import re
import typing

import msgspec

from chervilshore import contents
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


MAX_PORT = 65_535

MAX_SLOTS = 1_000_000
"""Requests that no endpoint runs at a time."""

MAX_COLD_MS = 86_400_000.0
"""Milliseconds for which no endpoint stays cold: a day."""

MAX_BORN = 1 << 53
"""Bound of whole numbers that all programs read alike in JSON."""

_PORT = re.compile(r"[1-9][0-9]{0,4}")


class _Server(msgspec.Struct):
    """An endpoint; `service` is its pool and `zone` its failure domain."""

    service: contents.Name
    addr: contents.Name
    zone: contents.Name
    state: contents.Name
    version: contents.Name = ""
    """Version of its software."""
    slots: typing.Annotated[int, msgspec.Meta(le=MAX_SLOTS)] = 0
    cold_left_ms: typing.Annotated[float, msgspec.Meta(le=MAX_COLD_MS)] = 0.0
    born: typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_BORN)] = 0
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
        decoded = contents.decode(_CONFIG_DECODER, content)
    except exceptions.ContentInvalid as error:
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


def decode_endpoint(name: str, content: bytes) -> records.EndpointRecord:
    """Decode the entry of an endpoint.

    Raises
    ------
    exceptions.ContentInvalid
        The entry names no endpoint to use.
    """
    _check_name(name)
    decoded = contents.decode(_SERVER_DECODER, content)
    if decoded.state not in (READY, DRAINING):
        raise exceptions.ContentInvalid(f"state {decoded.state!r}")
    if not math.isfinite(decoded.cold_left_ms):
        raise exceptions.ContentInvalid("cold for ever")
    host = _split_address(decoded.addr)
    # Connections are opened to addresses of this kind without a look-up.
    if not isinstance(host, ipaddress.IPv4Address):
        raise exceptions.ContentInvalid(f"address {decoded.addr!r}")
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


def _check_name(name: str) -> None:
    """Check a name that is to be in headers and logs."""
    if not 0 < len(name) <= contents.MAX_NAME_LENGTH:
        raise exceptions.ContentInvalid(f"name of {len(name)} characters")
    if not name.isascii() or not name.isprintable() or " " in name:
        raise exceptions.ContentInvalid("name with other characters")


def _split_address(
    text: str,
) -> ipaddress.IPv4Address | ipaddress.IPv6Address:
    """Return the host of an address that something may listen at."""
    host, _, port = text.rpartition(":")
    if not _PORT.fullmatch(port) or int(port) > MAX_PORT:
        raise exceptions.ContentInvalid(f"port of address {text!r}")
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    try:
        found = ipaddress.ip_address(host)
    except ValueError as error:
        raise exceptions.ContentInvalid(f"address {text!r}") from error
    if found.is_unspecified or found.is_multicast:
        raise exceptions.ContentInvalid(f"address {text!r}")
    return found


def make_instance(endpoint: ids.EndpointId, born: int) -> ids.InstanceId:
    """Return the name of the process of an endpoint that started then."""
    return ids.InstanceId(f"{endpoint}/{born}")


MAX_HOST_CAPACITY = 1_000_000.0
"""Bound of the setting `capacity`."""


class _Host(msgspec.Struct):
    domain: contents.Name
    peer: contents.Name
    capacity: typing.Annotated[
        float, msgspec.Meta(gt=0.0, le=MAX_HOST_CAPACITY)
    ] = 1.0


_HOST_DECODER = msgspec.json.Decoder(_Host)


def encode_host(record: records.HostRecord) -> bytes:
    """Encode the entry of an entry host for the platform's store."""
    return msgspec.json.encode(
        _Host(record.domain, record.peer_address, record.capacity)
    )


def decode_host(name: str, content: bytes) -> records.HostRecord:
    """Decode the entry of an entry host.

    Raises
    ------
    exceptions.ContentInvalid
        The entry names no host.
    """
    _check_name(name)
    decoded = contents.decode(_HOST_DECODER, content)
    _split_address(decoded.peer)
    return records.HostRecord(
        host=ids.HostId(name),
        domain=ids.DomainId(decoded.domain),
        peer_address=ids.Address(decoded.peer),
        http_address=ids.Address(""),
        capacity=decoded.capacity,
    )
