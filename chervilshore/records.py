"""The shared types: hosts, endpoints, stages and their states."""

import enum

import msgspec

from chervilshore import ids


class HostState(enum.Enum):
    """What is believed of an entry host."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DOWN = "down"


class EndpointState(enum.Enum):
    """What the platform's host list says of an endpoint."""

    LIVE = "live"
    LEAVING = "leaving"


class EndpointKind(enum.Enum):
    """What an endpoint does, and so which protocol it speaks."""

    ENGINE = "engine"
    ENCODER = "encoder"
    RETRIEVER = "retriever"
    RERANKER = "reranker"
    PLAIN = "plain"


class DomainState(enum.Enum):
    """Whether operators let a failure domain serve."""

    IN = "in"
    OUT = "out"


class Warmth(enum.Enum):
    """How much an endpoint is thought to bear."""

    COLD = "cold"
    WARMING = "warming"
    WARM = "warm"


class Outcome(enum.Enum):
    """How one attempt at an endpoint ended."""

    OK = "ok"
    REJECTED = "rejected"
    BUSY = "busy"
    STALE = "stale"
    UNREACHED = "unreached"
    BROKEN = "broken"
    CANCELLED = "cancelled"


class HostRecord(msgspec.Struct, frozen=True):
    """An entry host, as the host list or a peer tells of it.

    Parameters
    ----------
    host : HostId
        Its name.
    domain : DomainId
        Its failure domain.
    peer_address : Address
        Where peers reach it.
    http_address : Address
        Where callers and operators reach it.
    state : HostState
        What is believed of it.
    incarnation : Incarnation
        The life that the record speaks of.
    capacity : float
        How much it can carry, against other hosts.
    """

    host: ids.HostId
    domain: ids.DomainId
    peer_address: ids.Address
    http_address: ids.Address
    state: HostState = HostState.ALIVE
    incarnation: ids.Incarnation = ids.Incarnation(0)
    capacity: float = 1.0


class EndpointRecord(msgspec.Struct, frozen=True):
    """An endpoint, as the platform's host list tells of it.

    Parameters
    ----------
    endpoint : EndpointId
        Its name.
    pool : PoolName
        The pool that it belongs to.
    domain : DomainId
        Its failure domain.
    address : Address
        Where it takes calls.
    state : EndpointState
        Whether it is leaving.
    cold_ms : float
        Milliseconds for which it said that it stays cold.
    instance : InstanceId
        The run of its process; empty when the list does not tell.
    """

    endpoint: ids.EndpointId
    pool: ids.PoolName
    domain: ids.DomainId
    address: ids.Address
    state: EndpointState = EndpointState.LIVE
    cold_ms: float = 0.0
    instance: ids.InstanceId = ids.InstanceId("")


class HostList(msgspec.Struct, frozen=True):
    """The platform's list of live and leaving hosts; it lags.

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
    """What ties one answer to one attempt.

    Parameters
    ----------
    request : RequestId
        The request.
    stage : StageName
        The stage.
    attempt : int
        The attempt within the stage, from 1.
    endpoint : EndpointId
        The endpoint that was asked.
    """

    request: ids.RequestId
    stage: ids.StageName
    attempt: int
    endpoint: ids.EndpointId

    def token(self) -> str:
        """Write the binding as the header that the endpoint echoes."""
        return f"{self.request}/{self.stage}/{self.attempt}/{self.endpoint}"
