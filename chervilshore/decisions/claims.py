"""Entries and records of the logs of claims on idempotency keys.

A log is a sequence of batches of entries. Every host that reads the same
batches in the same order derives the same records, so the position in the
log alone decides which of several claims of a key wins.
"""

from collections import abc
import enum
import hashlib
import typing

import msgspec

from chervilshore import ids

MAX_CLAIM_BYTES = 400
"""Upper bound of the encoded bytes of an entry without an answer."""

MAX_DETAIL_CHARS = 1000
"""Maximum characters kept of the detail text of an answer."""


class Claim(msgspec.Struct, frozen=True, array_like=True, tag="c"):
    """Claims a key for one request.

    Parameters
    ----------
    key : KeyDigest
        Digest of team, pipeline and key.
    claim : ClaimId
        Identifier of this claim; unique over all hosts and process runs.
    body_digest : str
        Digest of the request's body.
    resend : int
        Number of times that the caller sent the request before.
    budget_ms : float
        Milliseconds that the request may still take.
    """

    key: ids.KeyDigest
    claim: ids.ClaimId
    body_digest: str
    resend: int = 0
    budget_ms: float = 0.0


class RecordedAnswer(msgspec.Struct, frozen=True, array_like=True):
    """An answer as it is stored, to be replayed when the request is repeated.

    Parameters
    ----------
    number : int
        Number of the result code.
    body : bytes
        JSON value of the result.
    detail : str
        Additional text for the caller.
    """

    number: int
    body: bytes = b""
    detail: str = ""


class Outcome(msgspec.Struct, frozen=True, array_like=True, tag="o"):
    """Records the answer of a claim's request."""

    key: ids.KeyDigest
    claim: ids.ClaimId
    recorded: RecordedAnswer


class Release(msgspec.Struct, frozen=True, array_like=True, tag="r"):
    """Records that a claim's request has not run and never will."""

    key: ids.KeyDigest
    claim: ids.ClaimId
    resend: int = 0


Entry = typing.Union[Claim, Outcome, Release]
"""An entry of a log."""


class ClaimState(enum.Enum):
    """State of the claim that holds a key."""

    OPEN = "open"
    DONE = "done"
    RELEASED = "released"


class Record(msgspec.Struct, frozen=True, array_like=True):
    """State of one key according to the log.

    Parameters
    ----------
    claim : ClaimId
        The claim that holds the key, or the last one that held it.
    body_digest : str
        Digest of its request's body.
    state : ClaimState
        State of the claim.
    resend : int
        The highest resend number that was claimed; a claim with a lower one
        is superseded.
    budget_ms : float
        Milliseconds that the request could take when it was claimed.
    recorded : RecordedAnswer or None
        The answer, if the state is done.
    """

    claim: ids.ClaimId
    body_digest: str
    state: ClaimState
    resend: int = 0
    budget_ms: float = 0.0
    recorded: RecordedAnswer | None = None


class Batch(msgspec.Struct, frozen=True, array_like=True):
    """One stored object of a log.

    Parameters
    ----------
    host : HostId
        The host that wrote it.
    entries : tuple of Entry
        The entries in log order.
    """

    host: ids.HostId
    entries: tuple[Entry, ...]


class VerdictState(enum.Enum):
    """What a host may do with a request that carries a key.

    GRANTED: run it. REPLAY: return the recorded answer. REUSED: refuse it,
    as the key belongs to a request with another body. SUPERSEDED: refuse it,
    as a later resend was claimed. OPEN: another claim of the key is open.
    PENDING: the log does not decide yet.
    """

    GRANTED = "granted"
    REPLAY = "replay"
    REUSED = "reused"
    SUPERSEDED = "superseded"
    OPEN = "open"
    PENDING = "pending"


class Verdict(msgspec.Struct, frozen=True, array_like=True):
    """What the log decides about a claim.

    Parameters
    ----------
    state : VerdictState
        What may be done with the request; pending means that the entry has
        not been written to the log, or that this is not known.
    recorded : RecordedAnswer or None
        The recorded answer, for a replay.
    resend : int
        The highest resend number that was claimed, if superseded.
    budget_ms : float
        Milliseconds that the request of the open claim could take.
    """

    state: VerdictState
    recorded: RecordedAnswer | None = None
    resend: int = 0
    budget_ms: float = 0.0


PENDING = Verdict(VerdictState.PENDING)
"""Verdict on a claim that the log does not decide yet."""

UNDECIDED = (VerdictState.OPEN, VerdictState.PENDING)
"""Verdicts that may change when the log grows."""

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Batch)


def digest_key(
    team: ids.TeamId, pipeline: ids.PipelineName, key: ids.IdempotencyKey
) -> ids.KeyDigest:
    """Return the digest that identifies a key in the log."""
    joined = "\x00".join((team, pipeline, key))
    return ids.KeyDigest(hashlib.sha256(joined.encode()).hexdigest()[:32])


def digest_body(raw: bytes) -> str:
    """Return the digest by which the bodies of two requests are compared."""
    return hashlib.sha256(raw).hexdigest()[:32]


def shard_of(key: ids.KeyDigest, shards: int) -> ids.ShardId:
    """Return the shard, and so the log, of a key."""
    return ids.ShardId(int(key[:8], 16) % shards)


def encode_batch(batch: Batch) -> bytes:
    """Encode a batch for storage at the platform."""
    return _ENCODER.encode(batch)


def decode_batch(value: bytes) -> Batch:
    """Decode a stored batch.

    Raises
    ------
    msgspec.DecodeError
        The bytes are not a batch.
    """
    return _DECODER.decode(value)


def max_entry_bytes(entry: Entry) -> int:
    """Return an upper bound of the encoded bytes of an entry."""
    if isinstance(entry, Outcome):
        recorded = entry.recorded
        detail = len(recorded.detail.encode())
        return MAX_CLAIM_BYTES + len(recorded.body) + detail
    return MAX_CLAIM_BYTES


def select_batch(
    entries: abc.Iterable[Entry], max_bytes: int
) -> tuple[Entry, ...]:
    """Choose the waiting entries that go into the next batch.

    Parameters
    ----------
    entries : iterable of Entry
        The waiting entries, the oldest first.
    max_bytes : int
        Maximum bytes of the batch.

    Returns
    -------
    tuple of Entry
        The oldest ones that fit; at least one if there is any.
    """
    chosen: list[Entry] = []
    size = 0
    for entry in entries:
        size += max_entry_bytes(entry)
        if chosen and size > max_bytes:
            break
        chosen.append(entry)
    return tuple(chosen)


def limit_answer(
    recorded: RecordedAnswer, max_bytes: int, code: int
) -> RecordedAnswer:
    """Limit the size of an answer that is written to the log.

    The detail text is cut. An answer with too large a body is replaced by one
    without a body, whose detail gives its result number, size and hash.

    Parameters
    ----------
    recorded : RecordedAnswer
        The answer.
    max_bytes : int
        Maximum bytes of the body.
    code : int
        Result number that replaces that of an answer that is too large.
    """
    if len(recorded.body) <= max_bytes:
        return msgspec.structs.replace(
            recorded, detail=recorded.detail[:MAX_DETAIL_CHARS]
        )
    digest = hashlib.sha256(recorded.body).hexdigest()
    detail = (
        f"it ran and ended with {recorded.number}; its answer of "
        f"{len(recorded.body)} bytes was not kept, sha256 {digest}"
    )
    return RecordedAnswer(code, b"", detail)
