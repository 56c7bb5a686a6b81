"""The messages between the owner of an endpoint and the holders of its slots.

The class names appear as the label ``kind`` of the metric
``chervilshore_grant_messages_total``.
"""

import msgspec

from chervilshore import ids
from chervilshore import messages
from chervilshore import records


class GrantAsk(messages.Message, frozen=True, tag="ga"):
    """Reports to an endpoint's owner all slots that a holder has and wants.

    Each request replaces the holder's earlier ones. It renews, returns and
    requests slots in one message, and a later one makes up for a lost one.

    Parameters
    ----------
    endpoint : EndpointId
        The endpoint.
    holder : HostId
        The host that sends the request.
    run_id : int
        The holder's process run; it rises with each restart.
    request_number : int
        Rises with each request of this holder for this endpoint.
    epoch : Epoch
        The highest epoch of an owner that the holder knows.
    running : int
        Attempts in flight or about to be sent.
    free : int
        Unused slots that the holder keeps.
    wanted : int
        Additional slots that the holder needs for waiting stages.
    prefetch : int
        Additional slots that the holder would keep unused if the endpoint
        has plenty.
    remaining_ms : float
        Milliseconds until the last attempt under these slots has ended.
    outcomes : tuple of (Outcome, float)
        How attempts ended since the last request, each with its duration in
        milliseconds.
    instance : InstanceId
        The endpoint's process, as last seen by the holder.
    cold : bool
        Whether the endpoint reported that it is cold.
    """

    endpoint: ids.EndpointId
    holder: ids.HostId
    run_id: int
    request_number: int
    epoch: ids.Epoch
    running: int
    free: int = 0
    wanted: int = 0
    prefetch: int = 0
    remaining_ms: float = 0.0
    outcomes: tuple[tuple[records.Outcome, float], ...] = ()
    instance: ids.InstanceId = ids.InstanceId("")
    cold: bool = False


class GrantReply(messages.Message, frozen=True, tag="gr"):
    """Grants a number of slots of an endpoint to a holder.

    Parameters
    ----------
    endpoint : EndpointId
        The endpoint.
    owner : HostId
        The owner that sends the reply.
    epoch : Epoch
        The owner's epoch.
    run_id : int
        The holder's process run, from its request.
    request_number : int
        The request that this answers; one request may get several replies.
    reply_number : int
        Rises with each reply to the same request.
    slots : int
        Attempts that the holder may have there, including those in flight.
    lifetime_ms : float
        Milliseconds in which attempts may start, counted from when the
        holder sent its request.
    limit : int
        The endpoint's current concurrency limit over all hosts.
    warmth : Warmth
        The endpoint's warmth, as estimated by the owner.
    contended : bool
        Whether stages wait for slots, so that unused ones must be returned.
    """

    endpoint: ids.EndpointId
    owner: ids.HostId
    epoch: ids.Epoch
    run_id: int
    request_number: int
    reply_number: int
    slots: int
    lifetime_ms: float
    limit: int
    warmth: records.Warmth
    contended: bool = False


class GrantRecall(messages.Message, frozen=True, tag="gc"):
    """Announces a new owner, and requests a report of what a host holds.

    Parameters
    ----------
    owner : HostId
        The new owner.
    epoch : Epoch
        Its epoch; the receiver uses no grant of a lower epoch any more.
    endpoints : tuple of EndpointId
        The endpoints that the sender owns in this epoch.
    hosts_digest : int
        A digest of the names of the hosts that the owner knows.
    """

    owner: ids.HostId
    epoch: ids.Epoch
    endpoints: tuple[ids.EndpointId, ...]
    hosts_digest: int = 0


class Holding(msgspec.Struct, frozen=True, array_like=True):
    """What a host has in flight at an endpoint and knows of its limit.

    Parameters
    ----------
    endpoint : EndpointId
        The endpoint.
    promised_epoch : Epoch
        The highest epoch of an owner that the host knows; it accepts no
        grant of a lower one.
    previous_owner : HostId
        The owner that the host knew before the recall; may be empty.
    running : int
        The host's attempts in flight there.
    remaining_ms : float
        Milliseconds until the last of them has ended.
    limit_epoch : Epoch
        The epoch in which the host last received the limit.
    limit_age_ms : float
        Milliseconds since then.
    limit : int
        That limit.
    warmth : Warmth
        The warmth received with the limit.
    discovery_ms : float
        Set by a former owner in recovery: milliseconds until it would have
        known all hosts.
    missing : tuple of HostId
        Set by a former owner in recovery: the hosts that had not reported
        to it.
    """

    endpoint: ids.EndpointId
    promised_epoch: ids.Epoch
    previous_owner: ids.HostId = ids.HostId("")
    running: int = 0
    remaining_ms: float = 0.0
    limit_epoch: ids.Epoch = ids.Epoch(0)
    limit_age_ms: float = 0.0
    limit: int = 0
    warmth: records.Warmth = records.Warmth.COLD
    discovery_ms: float = 0.0
    missing: tuple[ids.HostId, ...] = ()


class GrantReport(messages.Message, frozen=True, tag="gp"):
    """Answers a recall.

    Parameters
    ----------
    holder : HostId
        The host that reports.
    run_id : int
        Its process run.
    epoch : Epoch
        The epoch of the recall.
    holdings : tuple of Holding
        One for each endpoint of the recall.
    other_hosts : tuple of HostId
        Hosts that the owner may not know, and those that recently vanished
        without leaving.
    """

    holder: ids.HostId
    run_id: int
    epoch: ids.Epoch
    holdings: tuple[Holding, ...]
    other_hosts: tuple[ids.HostId, ...] = ()


class GrantRetire(messages.Message, frozen=True, tag="gt"):
    """Announces that a host owns no endpoint and has nothing in flight.

    Parameters
    ----------
    owner : HostId
        The host that gave up its ownerships.
    """

    owner: ids.HostId
