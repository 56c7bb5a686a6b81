"""The typed messages that pass between entry hosts.

Every message is a tagged `msgspec` structure, encoded as MessagePack.
A host drops what it cannot decode, so that hosts of two versions can
work together while one of them is being replaced.
"""

import typing

import msgspec

from chervilshore.decisions import claims
from chervilshore import ids
from chervilshore import records


class Message(msgspec.Struct, frozen=True, tag_field="t", array_like=True):
    """The root of all messages."""


# Membership.


class Ping(Message, frozen=True, tag="mp"):
    """Asks a host whether it is alive.

    Parameters
    ----------
    updates : tuple of HostRecord
        News of hosts.
    generation : Generation
        What the sender has in force.
    digest : int
        A hash of the hosts that the sender knows.
    """

    updates: tuple[records.HostRecord, ...] = ()
    generation: ids.Generation = ids.Generation(0)
    digest: int = 0


class Pong(Message, frozen=True, tag="mq"):
    """Says that the host is alive.

    Parameters
    ----------
    host : HostId
        Who answers; another host may have taken over the address.
    updates, generation, digest
        As in `Ping`.
    """

    host: ids.HostId = ids.HostId("")
    updates: tuple[records.HostRecord, ...] = ()
    generation: ids.Generation = ids.Generation(0)
    digest: int = 0


class PingRequest(Message, frozen=True, tag="mr"):
    """Asks a host to ping a third one and to pass its `Pong` on."""

    host: ids.HostId
    target: ids.Address
    updates: tuple[records.HostRecord, ...] = ()


class Leave(Message, frozen=True, tag="ml"):
    """Says that the sender is leaving."""

    record: records.HostRecord


class MembersRequest(Message, frozen=True, tag="mm"):
    """Asks for the hosts in buckets whose hashes differ; none means all."""

    digests: tuple[int, ...] = ()


class MembersReply(Message, frozen=True, tag="mn"):
    """Lists hosts that are not down."""

    members: tuple[records.HostRecord, ...]


class ListingRequest(Message, frozen=True, tag="el"):
    """Asks for the endpoints unless the listing has this digest."""

    digest: str = ""


class ListingReply(Message, frozen=True, tag="em"):
    """Lists the endpoints.

    Parameters
    ----------
    digest : str
        A hash of the listing; empty when the sender has none.
    age_ms : float
        Milliseconds since the platform last confirmed it.
    endpoints : tuple of EndpointRecord or None
        All endpoints; nothing when the asker has the same listing.
    """

    digest: str
    age_ms: float = 0.0
    endpoints: tuple[records.EndpointRecord, ...] | None = None


class ListingNotice(Message, frozen=True, tag="en"):
    """Tells how the listing of endpoints has changed.

    Parameters
    ----------
    previous, digest : str
        Hashes of the listing before and after.
    changed : tuple of EndpointRecord
        New and altered endpoints.
    removed : tuple of EndpointId
        Endpoints that are gone.
    """

    previous: str
    digest: str
    changed: tuple[records.EndpointRecord, ...] = ()
    removed: tuple[ids.EndpointId, ...] = ()


class ListingTaken(Message, frozen=True, tag="eo"):
    """Answers a notice with the digest that the host has now."""

    digest: str


# Configuration.


class GenerationNotice(Message, frozen=True, tag="cn"):
    """Says which generation the sender has, in force or not."""

    generation: ids.Generation


class WatchRequest(Message, frozen=True, tag="cw"):
    """Asks a host to watch the platform for a while; the sender cannot."""


class HeadRequest(Message, frozen=True, tag="ch"):
    """Asks a peer for the newest head that it has."""


class HeadReply(Message, frozen=True, tag="ci"):
    """Carries an encoded head; empty when there is none."""

    head: bytes = b""


class ChunkRequest(Message, frozen=True, tag="cr"):
    """Asks a peer for a chunk by the hash of its content."""

    digest: str


class ChunkReply(Message, frozen=True, tag="cs"):
    """Carries a chunk; empty when the peer does not have it."""

    digest: str
    content: bytes = b""


# Grants.


class GrantAsk(Message, frozen=True, tag="ga"):
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


class GrantReply(Message, frozen=True, tag="gr"):
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


class GrantRecall(Message, frozen=True, tag="gc"):
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


class GrantReport(Message, frozen=True, tag="gp"):
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


class GrantRetire(Message, frozen=True, tag="gt"):
    """Says that a host keeps nothing any more and has nothing in flight.

    Parameters
    ----------
    keeper : HostId
        The host.
    """

    keeper: ids.HostId


# Limits.


class Demand(msgspec.Struct, frozen=True, array_like=True):
    """What a host could use of a team's limits.

    Parameters
    ----------
    rate : float
        Requests a second that come to it.
    concurrency : int
        Requests in flight that it could have.
    held_rate : float
        Its share of the rate now; 0 when it has none.
    held_concurrency : int
        Its share of the requests in flight.
    """

    rate: float
    concurrency: int
    held_rate: float = 0.0
    held_concurrency: int = 0


class Share(msgspec.Struct, frozen=True, array_like=True):
    """A host's part of a team's limits.

    Parameters
    ----------
    rate : float
        Requests a second.
    concurrency : int
        Requests in flight.
    """

    rate: float
    concurrency: int


class DemandReport(Message, frozen=True, tag="ld"):
    """Tells teams' keeper how much a host could use of their limits.

    Parameters
    ----------
    holder : HostId
        The host.
    sent : float
        The moment in milliseconds on its own clock.
    demands : dict
        Its demand by team; one without any gives the share back.
    """

    holder: ids.HostId
    sent: float
    demands: dict[ids.TeamId, Demand]


class ShareReply(Message, frozen=True, tag="ls"):
    """Tells a host its shares of the teams' limits.

    Parameters
    ----------
    sent : float
        The moment that the report named.
    shares : dict
        Its shares by team; a team that is kept elsewhere is missing.
    lifetime_ms : float
        Milliseconds that they last, counted from that moment.
    """

    sent: float
    shares: dict[ids.TeamId, Share]
    lifetime_ms: float


# Claims.


class ClaimAsk(Message, frozen=True, tag="ka"):
    """Asks the owner of a shard to claim a key.

    Parameters
    ----------
    claim : Claim
        The claim; the same one may be asked for again.
    hold_ms : float
        Milliseconds that the owner may wait for something better than an
        open or pending verdict.
    """

    claim: claims.Claim
    hold_ms: float


class ClaimReply(Message, frozen=True, tag="kr"):
    """Says what the log says of a claim."""

    verdict: claims.Verdict


class EntryAsk(Message, frozen=True, tag="ke"):
    """Asks the owner of a shard to write an outcome or a release."""

    entry: claims.Outcome | claims.Release
    hold_ms: float


class EntryReply(Message, frozen=True, tag="kf"):
    """Says whether the log holds the entry."""

    stored: bool


Body = typing.Union[
    Ping,
    Pong,
    PingRequest,
    Leave,
    MembersRequest,
    MembersReply,
    ListingRequest,
    ListingReply,
    ListingNotice,
    ListingTaken,
    GenerationNotice,
    WatchRequest,
    HeadRequest,
    HeadReply,
    ChunkRequest,
    ChunkReply,
    GrantAsk,
    GrantReply,
    GrantRecall,
    GrantReport,
    GrantRetire,
    DemandReport,
    ShareReply,
    ClaimAsk,
    ClaimReply,
    EntryAsk,
    EntryReply,
]
"""Any message."""


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with its sender.

    Parameters
    ----------
    sender : Address
        The peer address of the sender.
    number : int
        The sender's number for a question; 0 for a message without one.
    reply : bool
        Whether this answers the question of that number.
    body : Body
        The message.
    """

    sender: ids.Address
    number: int
    reply: bool
    body: Body


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Envelope)


def encode(envelope: Envelope) -> bytes:
    """Encode a message for the wire."""
    return _ENCODER.encode(envelope)


def decode(data: bytes) -> Envelope:
    """Decode a message from the wire.

    Raises
    ------
    msgspec.DecodeError
        The bytes are not a known message.
    """
    return _DECODER.decode(data)
