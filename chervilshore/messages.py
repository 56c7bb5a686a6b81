"""The typed messages that pass between entry hosts.

Every message is a tagged `msgspec` structure, encoded as MessagePack.
A host drops what it cannot decode, so that hosts of two versions can
work together while one of them is being replaced.
"""

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


class ListingAck(Message, frozen=True, tag="eo"):
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


class ClaimRequest(Message, frozen=True, tag="ka"):
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


class EntryRequest(Message, frozen=True, tag="ke"):
    """Asks the owner of a shard to write an outcome or a release."""

    entry: claims.Outcome | claims.Release
    hold_ms: float


class EntryReply(Message, frozen=True, tag="kf"):
    """Says whether the log holds the entry."""

    stored: bool
