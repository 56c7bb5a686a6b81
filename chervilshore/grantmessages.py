"""The messages between an endpoint's keeper and its holders."""

import msgspec

from chervilshore import ids
from chervilshore import messages
from chervilshore import records


class GrantAsk(messages.Message, frozen=True, tag="ga"):
    """Tells an endpoint's keeper all that a holder has and wants there.

    Each one replaces what earlier ones said, so that it renews, returns
    and asks at once, and a lost one does no harm.

    Parameters
    ----------
    endpoint : EndpointId
        The endpoint.
    holder : HostId
        The host that wants to send.
    life : int
        The holder's process; a restart brings a new one.
    number : int
        Rises with each message of the holder about the endpoint.
    epoch : Epoch
        The newest epoch of a keeper that the holder knows.
    running : int
        Attempts that run, or are about to.
    free : int
        Slots that it goes on holding unused.
    wanted : int
        Slots that it wants besides, for stages that wait.
    spare : int
        Slots that it would hold in advance, if there are plenty.
    longest_ms : float
        Milliseconds until the last attempt under these slots has ended.
    outcomes : tuple of (Outcome, float)
        How attempts ended since, each with its milliseconds.
    instance : InstanceId
        The endpoint's process, as last seen by the holder.
    cold : bool
        Whether the endpoint said that it is cold.
    """

    endpoint: ids.EndpointId
    holder: ids.HostId
    life: int
    number: int
    epoch: ids.Epoch
    running: int
    free: int = 0
    wanted: int = 0
    spare: int = 0
    longest_ms: float = 0.0
    outcomes: tuple[tuple[records.Outcome, float], ...] = ()
    instance: ids.InstanceId = ids.InstanceId("")
    cold: bool = False


class GrantReply(messages.Message, frozen=True, tag="gr"):
    """Says how many attempts a holder may have at an endpoint.

    Parameters
    ----------
    endpoint : EndpointId
        The endpoint.
    keeper : HostId
        The keeper.
    epoch : Epoch
        The keeper's epoch.
    life : int
        The holder's process, from its message.
    number : int
        The holder's message that this answers, maybe not for the first
        time.
    serial : int
        Rises with each answer to one message.
    slots : int
        Attempts that the holder may have there, the running ones among
        them.
    lifetime_ms : float
        Milliseconds in which they may begin, counted from when the holder
        sent its message.
    limit : int
        The endpoint's limit over all hosts now.
    warmth : Warmth
        What the keeper thinks the endpoint bears.
    scarce : bool
        Whether stages wait, so that what is not used has to come back.
    """

    endpoint: ids.EndpointId
    keeper: ids.HostId
    epoch: ids.Epoch
    life: int
    number: int
    serial: int
    slots: int
    lifetime_ms: float
    limit: int
    warmth: records.Warmth
    scarce: bool = False


class GrantRecall(messages.Message, frozen=True, tag="gc"):
    """Says that a host has become keeper, and asks for reports.

    Parameters
    ----------
    keeper : HostId
        The new keeper.
    epoch : Epoch
        Its epoch; the receiver uses no grant of an older one any more.
    endpoints : tuple of EndpointId
        What it keeps.
    known : int
        A digest of the hosts that it knows.
    """

    keeper: ids.HostId
    epoch: ids.Epoch
    endpoints: tuple[ids.EndpointId, ...]
    known: int = 0


class Holding(msgspec.Struct, frozen=True, array_like=True):
    """What a host has and knows of an endpoint.

    Parameters
    ----------
    endpoint : EndpointId
        The endpoint.
    promised : Epoch
        The newest epoch of a keeper that the host knows.
    former : HostId
        The keeper that it knew before the recall; may be empty.
    running : int
        Its attempts that run there.
    longest_ms : float
        Milliseconds until the last of them has ended.
    heard : Epoch
        The epoch in which it last heard the limit.
    age_ms : float
        Milliseconds since then.
    limit : int
        That limit.
    warmth : Warmth
        The warmth that came with it.
    unsettled_ms : float
        As a former keeper: milliseconds until it would have known all
        hosts.
    unheard : tuple of HostId
        As a former keeper: the hosts that it could not account for.
    """

    endpoint: ids.EndpointId
    promised: ids.Epoch
    former: ids.HostId = ids.HostId("")
    running: int = 0
    longest_ms: float = 0.0
    heard: ids.Epoch = ids.Epoch(0)
    age_ms: float = 0.0
    limit: int = 0
    warmth: records.Warmth = records.Warmth.COLD
    unsettled_ms: float = 0.0
    unheard: tuple[ids.HostId, ...] = ()


class GrantReport(messages.Message, frozen=True, tag="gp"):
    """Answers a recall.

    Parameters
    ----------
    holder : HostId
        The host that reports.
    life : int
        Its process.
    epoch : Epoch
        The epoch of the recall.
    holdings : tuple of Holding
        One for each endpoint of the recall.
    others : tuple of HostId
        Hosts that the keeper may not know, and those that vanished of late
        without having left.
    """

    holder: ids.HostId
    life: int
    epoch: ids.Epoch
    holdings: tuple[Holding, ...]
    others: tuple[ids.HostId, ...] = ()


class GrantRetire(messages.Message, frozen=True, tag="gt"):
    """Says that a host keeps nothing any more and has nothing in flight.

    Parameters
    ----------
    keeper : HostId
        The host.
    """

    keeper: ids.HostId
