"""Distinct types for the identifiers that modules exchange."""

import typing

HostId = typing.NewType("HostId", str)
"""The name of an entry host, from its settings."""

DomainId = typing.NewType("DomainId", str)
"""The name of a failure domain."""

RegionId = typing.NewType("RegionId", str)
"""The name of a region: a group of failure domains near each other."""

TeamId = typing.NewType("TeamId", str)
"""The name of a team; its requests share limits and counters."""

ClassName = typing.NewType("ClassName", str)
"""The name of a request class, such as prompt or review."""

EndpointId = typing.NewType("EndpointId", str)
"""The name of a back-end server, from the platform's host list."""

InstanceId = typing.NewType("InstanceId", str)
"""One process run of an endpoint; each restart has a new id."""

PoolName = typing.NewType("PoolName", str)
"""The name of a pool: a set of interchangeable endpoints."""

PipelineName = typing.NewType("PipelineName", str)
"""The name of a pipeline; a plain service is a pipeline of one stage."""

StageName = typing.NewType("StageName", str)
"""The name of a stage within its pipeline."""

RequestId = typing.NewType("RequestId", str)
"""The id of one request of a caller."""

IdempotencyKey = typing.NewType("IdempotencyKey", str)
"""A key set by the caller; requests with the same key run at most once."""

ChangeId = typing.NewType("ChangeId", str)
"""The id of one attempt by an operator to change the configuration."""

Generation = typing.NewType("Generation", int)
"""The number of an accepted configuration; a higher one is newer."""

Incarnation = typing.NewType("Incarnation", int)
"""The version of a host's membership record; only that host raises it.

A host raises it with each process run, and to refute a suspicion.
"""

Epoch = typing.NewType("Epoch", int)
"""One period of ownership by a host; grants of an older epoch are void."""

SoftwareVersion = typing.NewType("SoftwareVersion", str)
"""The version of an endpoint's software; versions have no order."""

GrantId = typing.NewType("GrantId", int)
"""The number of a granted slot, unique within its owner's epoch."""

KeyDigest = typing.NewType("KeyDigest", str)
"""A hash of team, pipeline and idempotency key."""

ClaimId = typing.NewType("ClaimId", str)
"""The id of one attempt by a host to claim an idempotency key."""

ShardId = typing.NewType("ShardId", int)
"""The number of a claim log; the keys are spread over several logs."""

Sequence = typing.NewType("Sequence", int)
"""A position in a claim log."""

OrderId = typing.NewType("OrderId", str)
"""The id of an order: one instruction to the engines of a pool."""

FencingToken = typing.NewType("FencingToken", int)
"""The version of the lease under which an order is sent.

Engines reject an order whose token is lower than one that they have seen.
"""

Fingerprint = typing.NewType("Fingerprint", str)
"""A kind and a hash, as in ``part:06a3de68262c742d``; see `fingerprints`."""

CrashId = typing.NewType("CrashId", str)
"""One process run of an endpoint that has ended: its name and instance."""

Address = typing.NewType("Address", str)
"""IP address and port, as in ``127.0.0.1:7000``."""
