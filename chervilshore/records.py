"""The shared types: hosts, endpoints, stages and their states."""

import enum

import msgspec

from chervilshore import ids


class HostState(enum.Enum):
    """The state of an entry host, as another host considers it."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DOWN = "down"


class EndpointState(enum.Enum):
    """The state of an endpoint in the platform's host list."""

    LIVE = "live"
    LEAVING = "leaving"


class EndpointKind(enum.Enum):
    """The function of an endpoint, which decides the protocol it uses."""

    ENGINE = "engine"
    ENCODER = "encoder"
    RETRIEVER = "retriever"
    RERANKER = "reranker"
    PLAIN = "plain"


class DomainState(enum.Enum):
    """Whether operators allow a failure domain to serve requests."""

    IN = "in"
    OUT = "out"


class Warmth(enum.Enum):
    """How far an endpoint has warmed up, which decides its concurrency."""

    COLD = "cold"
    WARMING = "warming"
    WARM = "warm"


class Outcome(enum.Enum):
    """The result of one attempt at an endpoint."""

    OK = "ok"
    REJECTED = "rejected"
    BUSY = "busy"
    STALE = "stale"
    UNREACHED = "unreached"
    BROKEN = "broken"
    CANCELLED = "cancelled"


class HostRecord(msgspec.Struct, frozen=True):
    """An entry host, as reported by the host list or by a peer.

    Parameters
    ----------
    host : HostId
        Its name.
    domain : DomainId
        Its failure domain.
    peer_address : Address
        The address for messages from other entry hosts.
    http_address : Address
        The address for HTTP requests of callers and operators.
    state : HostState
        Its state, as the sender of the record considers it.
    incarnation : Incarnation
        The version of the record; a higher one replaces a lower one.
    capacity : float
        Its capacity relative to other hosts.
    relay_address : Address
        Where it relays connections of peers to endpoints; empty if it does
        not.
    """

    host: ids.HostId
    domain: ids.DomainId
    peer_address: ids.Address
    http_address: ids.Address
    state: HostState = HostState.ALIVE
    incarnation: ids.Incarnation = ids.Incarnation(0)
    capacity: float = 1.0
    relay_address: ids.Address = ids.Address("")


class EndpointRecord(msgspec.Struct, frozen=True):
    """An endpoint, as the platform's host list reports it.

    Parameters
    ----------
    endpoint : EndpointId
        Its name.
    pool : PoolName
        The pool that it belongs to.
    domain : DomainId
        Its failure domain.
    address : Address
        The address that accepts its calls.
    state : EndpointState
        Whether it is live or leaving (draining).
    cold_ms : float
        Milliseconds for which it reported that it stays cold.
    instance : InstanceId
        Its process run; empty if the list does not include it.
    version : SoftwareVersion
        The version of its software; empty if the list does not include it.
    slots : int
        Requests that it runs at a time; 0 if the list does not include it.
    """

    endpoint: ids.EndpointId
    pool: ids.PoolName
    domain: ids.DomainId
    address: ids.Address
    state: EndpointState = EndpointState.LIVE
    cold_ms: float = 0.0
    instance: ids.InstanceId = ids.InstanceId("")
    version: ids.SoftwareVersion = ids.SoftwareVersion("")
    slots: int = 0


def name_process(record: EndpointRecord) -> ids.CrashId:
    """Return the name of one process run of an endpoint."""
    return ids.CrashId(f"{record.endpoint}/{record.instance}")


class RolloutRecord(msgspec.Struct, frozen=True):
    """An order to move a pool's requests to a software version.

    Parameters
    ----------
    pool : PoolName
        The pool.
    to : SoftwareVersion
        The version.
    duration_ms : float
        Milliseconds within which the order is to be carried out.
    state : str
        What the status of the order says; empty if it has none.
    created : str
        When the order was created, as the store says it.
    """

    pool: ids.PoolName
    to: ids.SoftwareVersion
    duration_ms: float
    state: str = ""
    created: str = ""


class HostList(msgspec.Struct, frozen=True):
    """The platform's list of live and leaving hosts, which may be stale.

    Parameters
    ----------
    hosts : tuple of HostRecord
        Entry hosts.
    endpoints : tuple of EndpointRecord
        Endpoints.
    """

    hosts: tuple[HostRecord, ...] = ()
    endpoints: tuple[EndpointRecord, ...] = ()


class Binding(msgspec.Struct, frozen=True):
    """The identity of one attempt, which its response must repeat.

    Parameters
    ----------
    request : RequestId
        The request.
    stage : StageName
        The stage.
    attempt : int
        The number of the attempt within the stage, from 1.
    endpoint : EndpointId
        The endpoint that was called.
    """

    request: ids.RequestId
    stage: ids.StageName
    attempt: int
    endpoint: ids.EndpointId

    def token(self) -> str:
        """Return the value of the header that the endpoint must echo."""
        return f"{self.request}/{self.stage}/{self.attempt}/{self.endpoint}"
