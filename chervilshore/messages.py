"""The typed messages between entry hosts.

Every message is a tagged `msgspec` structure, encoded as MessagePack. A host
drops messages that it cannot decode, so that hosts of two versions can work
together during a rolling update.
"""

import msgspec

from chervilshore.decisions import claims
from chervilshore import ids
from chervilshore import records


class Message(msgspec.Struct, frozen=True, tag_field="t", array_like=True):
    """Base class of all messages."""


# Membership.


class Ping(Message, frozen=True, tag="mp"):
    """Asks a host whether it is alive.

    Parameters
    ----------
    updates : tuple of HostRecord
        Membership updates.
    generation : Generation
        The active generation of the sender.
    digest : int
        Hash of the hosts that the sender considers not down.
    """

    updates: tuple[records.HostRecord, ...] = ()
    generation: ids.Generation = ids.Generation(0)
    digest: int = 0


class Pong(Message, frozen=True, tag="mq"):
    """Replies that the host is alive.

    Parameters
    ----------
    host : HostId
        The host that replies; another one may have taken over the address.
    updates, generation, digest
        As in `Ping`.
    """

    host: ids.HostId = ids.HostId("")
    updates: tuple[records.HostRecord, ...] = ()
    generation: ids.Generation = ids.Generation(0)
    digest: int = 0


class PingRequest(Message, frozen=True, tag="mr"):
    """Asks a host to ping another one and to return its `Pong`."""

    host: ids.HostId
    target: ids.Address
    updates: tuple[records.HostRecord, ...] = ()


class Leave(Message, frozen=True, tag="ml"):
    """Announces that the sender is leaving."""

    record: records.HostRecord


class MembersRequest(Message, frozen=True, tag="mm"):
    """Asks for the hosts in buckets whose hashes differ.

    Parameters
    ----------
    digests : tuple of int
        The sender's hash of each bucket; empty asks for all hosts.
    """

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
        Hash of the listing; empty if the sender has none.
    age_ms : float
        Milliseconds since the platform last confirmed the listing.
    endpoints : tuple of EndpointRecord or None
        All endpoints; None if the requesting host has the same listing.
    """

    digest: str
    age_ms: float = 0.0
    endpoints: tuple[records.EndpointRecord, ...] | None = None


class ListingNotice(Message, frozen=True, tag="en"):
    """Announces changes of the listing of endpoints.

    Parameters
    ----------
    previous, digest : str
        Hashes of the listing before and after the change.
    changed : tuple of EndpointRecord
        New and changed endpoints.
    removed : tuple of EndpointId
        Removed endpoints.
    """

    previous: str
    digest: str
    changed: tuple[records.EndpointRecord, ...] = ()
    removed: tuple[ids.EndpointId, ...] = ()


class ListingAck(Message, frozen=True, tag="eo"):
    """Replies to a notice with the digest that the host has now."""

    digest: str


# Configuration.


class GenerationNotice(Message, frozen=True, tag="cn"):
    """Announces a generation that the sender has, active or not."""

    generation: ids.Generation


class WatchRequest(Message, frozen=True, tag="cw"):
    """Asks a host to watch the platform, as the sender cannot reach it."""


class HeadRequest(Message, frozen=True, tag="ch"):
    """Asks a peer for the newest head that it has."""


class HeadReply(Message, frozen=True, tag="ci"):
    """Carries an encoded head; empty if there is none."""

    head: bytes = b""


class ChunkRequest(Message, frozen=True, tag="cr"):
    """Asks a peer for a chunk by the hash of its content."""

    digest: str


class ChunkReply(Message, frozen=True, tag="cs"):
    """Carries a chunk; empty if the peer does not have it."""

    digest: str
    content: bytes = b""


# Limits.


class Demand(msgspec.Struct, frozen=True, array_like=True):
    """A host's demand on a team's limits.

    Parameters
    ----------
    rate : float
        Requests per second that it could use.
    concurrency : int
        Requests in flight that it could use.
    held_rate : float
        Its current share of the rate; 0 if it has none.
    held_concurrency : int
        Its current share of the requests in flight; 0 if it has none.
    """

    rate: float
    concurrency: int
    held_rate: float = 0.0
    held_concurrency: int = 0


class Share(msgspec.Struct, frozen=True, array_like=True):
    """A host's share of a team's limits.

    Parameters
    ----------
    rate : float
        Requests per second.
    concurrency : int
        Maximum requests in flight.
    """

    rate: float
    concurrency: int


class DemandReport(Message, frozen=True, tag="ld"):
    """Reports a host's demand to the owner of the limits of some teams.

    Parameters
    ----------
    holder : HostId
        The host.
    sent : float
        Time of sending in milliseconds on its own clock.
    demands : dict
        Its demand by team; an empty demand releases the share.
    """

    holder: ids.HostId
    sent: float
    demands: dict[ids.TeamId, Demand]


class ShareReply(Message, frozen=True, tag="ls"):
    """Replies with a host's shares of the teams' limits.

    Parameters
    ----------
    sent : float
        The time of sending of the report, on the clock of its sender.
    shares : dict
        Shares by team; a team that has another owner is missing.
    lifetime_ms : float
        Milliseconds from that time for which the shares are valid.
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
        The claim; it may be sent again.
    hold_ms : float
        Milliseconds that the owner may delay the reply while the verdict is
        open or pending.
    """

    claim: claims.Claim
    hold_ms: float


class ClaimReply(Message, frozen=True, tag="kr"):
    """Replies with the verdict of the log on a claim."""

    verdict: claims.Verdict


class EntryRequest(Message, frozen=True, tag="ke"):
    """Asks the owner of a shard to write an outcome or a release.

    Parameters
    ----------
    entry : Outcome or Release
        The entry to write.
    hold_ms : float
        Milliseconds that the owner may wait for the write.
    """

    entry: claims.Outcome | claims.Release
    hold_ms: float


class EntryReply(Message, frozen=True, tag="kf"):
    """Replies whether the log contains the entry."""

    stored: bool
