"""The envelope of messages between entry hosts, and its encoding."""

import typing

import msgspec

from chervilshore import batchmessages
from chervilshore import capacitymessages
from chervilshore import catalogmessages
from chervilshore import grantmessages
from chervilshore import ids
from chervilshore import messages
from chervilshore import quarantinemessages
from chervilshore import rolloutmessages
from chervilshore import streammessages

Body = typing.Union[
    messages.Ping,
    messages.Pong,
    messages.PingRequest,
    messages.Leave,
    messages.MembersRequest,
    messages.MembersReply,
    messages.ListingRequest,
    messages.ListingReply,
    messages.ListingNotice,
    messages.ListingAck,
    messages.GenerationNotice,
    messages.WatchRequest,
    messages.HeadRequest,
    messages.HeadReply,
    messages.ChunkRequest,
    messages.ChunkReply,
    grantmessages.GrantAsk,
    grantmessages.GrantReply,
    grantmessages.GrantRecall,
    grantmessages.GrantReport,
    grantmessages.GrantRetire,
    messages.DemandReport,
    messages.ShareReply,
    messages.ClaimRequest,
    messages.ClaimReply,
    messages.EntryRequest,
    messages.EntryReply,
    batchmessages.BatchJobRequest,
    batchmessages.BatchJobAccepted,
    batchmessages.BatchJobResult,
    batchmessages.BatchInputsRead,
    batchmessages.BatchJobCancelled,
    batchmessages.BatchResultsReleased,
    capacitymessages.CapacityReport,
    capacitymessages.CapacityTable,
    catalogmessages.CatalogRequest,
    catalogmessages.CatalogReply,
    catalogmessages.PartRequest,
    catalogmessages.PartReply,
    catalogmessages.ReadRequest,
    catalogmessages.ReadReply,
    quarantinemessages.CrashReport,
    quarantinemessages.CrashReportRequest,
    rolloutmessages.RolloutReport,
    rolloutmessages.RolloutReportRequest,
    streammessages.StreamReport,
    streammessages.StreamRequest,
    streammessages.StreamReply,
]
"""Any message."""


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with its sender.

    Parameters
    ----------
    sender : Address
        The peer address of the sender.
    number : int
        The sender's number of a request; 0 for a message without a reply.
    reply : bool
        Whether this is the reply to the request of that number.
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
    """Encode an envelope with its message."""
    return _ENCODER.encode(envelope)


def decode(data: bytes) -> Envelope:
    """Decode an envelope with its message.

    Raises
    ------
    msgspec.DecodeError
        The bytes are not a known message.
    """
    return _DECODER.decode(data)
