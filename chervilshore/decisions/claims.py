"""What a log of claims says about each idempotency key.

A log is a row of batches of entries. Every host that reads the same
batches in the same order comes to the same records, so the position in
the log alone decides which of several claims of a key counts.
"""

from collections import abc
import enum
import hashlib
import typing

import msgspec

from chervilshore import ids

MAX_CLAIM_BYTES = 400
"""Bytes that an entry without an answer takes at most in a batch."""

MAX_DETAIL_CHARS = 1000
"""Characters that are kept of what a caller is told besides an answer."""


class Claim(msgspec.Struct, frozen=True, array_like=True, tag="c"):
    """Asks that a key be used for one request.

    Parameters
    ----------
    key : KeyDigest
        The digest of team, pipeline and key.
    claim : ClaimId
        This claim; unique over all hosts and lives.
    body : str
        The digest of the request's body.
    resend : int
        How often the caller had sent the request before.
    budget_ms : float
        Milliseconds that the request may take from now on.
    """

    key: ids.KeyDigest
    claim: ids.ClaimId
    body: str
    resend: int = 0
    budget_ms: float = 0.0


class RecordedAnswer(msgspec.Struct, frozen=True, array_like=True):
    """An answer as it is kept for repeats.

    Parameters
    ----------
    number : int
        The number of the result code.
    body : bytes
        The JSON value of the result.
    detail : str
        What the caller should know besides.
    """

    number: int
    body: bytes = b""
    detail: str = ""


class Outcome(msgspec.Struct, frozen=True, array_like=True, tag="o"):
    """Says how the request of a claim ended."""

    key: ids.KeyDigest
    claim: ids.ClaimId
    recorded: RecordedAnswer


class Release(msgspec.Struct, frozen=True, array_like=True, tag="r"):
    """Says that the request of a claim has not run and never will."""

    key: ids.KeyDigest
    claim: ids.ClaimId
    resend: int = 0


Entry = typing.Union[Claim, Outcome, Release]
"""One entry of a log."""


class ClaimState(enum.Enum):
    """What has become of the claim that holds a key."""

    OPEN = "open"
    DONE = "done"
    RELEASED = "released"


class Record(msgspec.Struct, frozen=True, array_like=True):
    """What the log says about one key.

    Parameters
    ----------
    claim : ClaimId
        The claim that counts, or the last one that counted.
    body : str
        The digest of its request's body.
    state : ClaimState
        What has become of it.
    resend : int
        The highest resend number that was claimed; a lower one comes too
        late.
    budget_ms : float
        Milliseconds that the request could take when it was claimed.
    recorded : RecordedAnswer or None
        The answer, when the state is done.
    """

    claim: ids.ClaimId
    body: str
    state: ClaimState
    resend: int = 0
    budget_ms: float = 0.0
    recorded: RecordedAnswer | None = None


class Batch(msgspec.Struct, frozen=True, array_like=True):
    """One object of a log.

    Parameters
    ----------
    host : HostId
        The host that wrote it.
    entries : tuple of Entry
        The entries, in order.
    """

    host: ids.HostId
    entries: tuple[Entry, ...]


class VerdictState(enum.Enum):
    """What a host may do with a request that brought a key."""

    GRANTED = "granted"
    REPLAY = "replay"
    REUSED = "reused"
    SUPERSEDED = "superseded"
    OPEN = "open"
    PENDING = "pending"


class Verdict(msgspec.Struct, frozen=True, array_like=True):
    """The log's word on a claim.

    Parameters
    ----------
    state : VerdictState
        What may be done; pending means that the log has not been
        written, or that this is not known.
    recorded : RecordedAnswer or None
        The first answer, for a replay.
    resend : int
        The highest resend number that was claimed.
    budget_ms : float
        Milliseconds that an open claim's request could take.
    """

    state: VerdictState
    recorded: RecordedAnswer | None = None
    resend: int = 0
    budget_ms: float = 0.0


PENDING = Verdict(VerdictState.PENDING)
"""The verdict on a claim that the log does not decide yet."""

UNDECIDED = (VerdictState.OPEN, VerdictState.PENDING)
"""The verdicts that time can change."""

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Batch)


def digest_key(
    team: ids.TeamId, pipeline: ids.PipelineName, key: ids.IdempotencyKey
) -> ids.KeyDigest:
    """Make the name under which a key stands in the log."""
    joined = "\x00".join((team, pipeline, key))
    return ids.KeyDigest(hashlib.sha256(joined.encode()).hexdigest()[:32])


def digest_body(raw: bytes) -> str:
    """Make the digest by which two bodies are compared."""
    return hashlib.sha256(raw).hexdigest()[:32]


def shard_of(key: ids.KeyDigest, shards: int) -> ids.ShardId:
    """Tell which log a key belongs to."""
    return ids.ShardId(int(key[:8], 16) % shards)


def encode_batch(batch: Batch) -> bytes:
    """Encode a batch for the platform."""
    return _ENCODER.encode(batch)


def decode_batch(value: bytes) -> Batch:
    """Decode a batch from the platform.

    Raises
    ------
    msgspec.DecodeError
        The bytes are not a batch.
    """
    return _DECODER.decode(value)


def max_entry_bytes(entry: Entry) -> int:
    """Bound the bytes that an entry takes in a batch."""
    if isinstance(entry, Outcome):
        recorded = entry.recorded
        detail = len(recorded.detail.encode())
        return MAX_CLAIM_BYTES + len(recorded.body) + detail
    return MAX_CLAIM_BYTES


def select_batch(
    entries: abc.Iterable[Entry], most_bytes: int
) -> tuple[Entry, ...]:
    """Choose how many waiting entries go into one batch.

    Parameters
    ----------
    entries : iterable of Entry
        The waiting entries, the oldest first.
    most_bytes : int
        Bytes that the batch may take.

    Returns
    -------
    tuple of Entry
        The first ones that fit; at least one if there is any.
    """
    taken: list[Entry] = []
    size = 0
    for entry in entries:
        size += max_entry_bytes(entry)
        if taken and size > most_bytes:
            break
        taken.append(entry)
    return tuple(taken)


def limit_answer(
    recorded: RecordedAnswer, most_bytes: int, code: int
) -> RecordedAnswer:
    """Keep an answer only when it is small enough for the log.

    Parameters
    ----------
    recorded : RecordedAnswer
        The answer.
    most_bytes : int
        The largest body to keep.
    code : int
        The number to keep in place of an answer that is too large.
    """
    if len(recorded.body) <= most_bytes:
        return msgspec.structs.replace(
            recorded, detail=recorded.detail[:MAX_DETAIL_CHARS]
        )
    digest = hashlib.sha256(recorded.body).hexdigest()
    detail = (
        f"it ran and ended with {recorded.number}; its answer of "
        f"{len(recorded.body)} bytes was not kept, sha256 {digest}"
    )
    return RecordedAnswer(code, b"", detail)
