"""Names for the identifiers that pass between modules."""

import typing

HostId = typing.NewType("HostId", str)
"""An entry host, as its settings name it."""

DomainId = typing.NewType("DomainId", str)
"""A failure domain."""

RegionId = typing.NewType("RegionId", str)
"""A group of failure domains close to each other."""

TeamId = typing.NewType("TeamId", str)
"""A team whose requests are limited and counted together."""

ClassName = typing.NewType("ClassName", str)
"""A class of requests, such as prompt or review."""

EndpointId = typing.NewType("EndpointId", str)
"""A back end, as the platform's host list names it."""

InstanceId = typing.NewType("InstanceId", str)
"""One run of an endpoint's process; a restart brings a new one."""

PoolName = typing.NewType("PoolName", str)
"""A set of endpoints that can stand in for each other."""

PipelineName = typing.NewType("PipelineName", str)
"""A pipeline, or a service that is a pipeline of one stage."""

StageName = typing.NewType("StageName", str)
"""A stage within a pipeline."""

RequestId = typing.NewType("RequestId", str)
"""One request of a caller."""

IdempotencyKey = typing.NewType("IdempotencyKey", str)
"""The caller's key under which a request runs at most once."""

ChangeId = typing.NewType("ChangeId", str)
"""One attempt of an operator to change the configuration."""

Generation = typing.NewType("Generation", int)
"""The number of an accepted configuration; higher is newer."""

Incarnation = typing.NewType("Incarnation", int)
"""One life of a host; only the host itself raises it."""

Epoch = typing.NewType("Epoch", int)
"""One tenure of a keeper; grants of an older one are void."""

GrantId = typing.NewType("GrantId", int)
"""One slot at an endpoint, within its keeper's epoch."""

KeyDigest = typing.NewType("KeyDigest", str)
"""The digest of team, pipeline and idempotency key."""

ClaimId = typing.NewType("ClaimId", str)
"""One attempt of a host to claim a key."""

ShardId = typing.NewType("ShardId", int)
"""One log of claims."""

Sequence = typing.NewType("Sequence", int)
"""A position in a log of claims."""

OrderId = typing.NewType("OrderId", str)
"""One instruction to engines."""

FencingToken = typing.NewType("FencingToken", int)
"""The lease's version on an order; an engine refuses a lower one."""

Address = typing.NewType("Address", str)
"""IP number and port, as in ``127.0.0.1:7000``."""
