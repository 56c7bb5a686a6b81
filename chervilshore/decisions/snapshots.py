"""How an old log of claims is folded into snapshots, and forgotten.

Each compaction writes the records that changed since the one before into
new chunks. A chunk's age is counted in the shard's own time, which only
runs while some host watches it, so it never runs ahead of real time and
no key is forgotten too early.
"""

from collections import abc

import msgspec

from chervilshore.decisions import claims
from chervilshore import ids

CHUNK_BYTES = 800_000
"""Bytes of a chunk; the platform takes a megabyte in one value."""


class ChunkRef(msgspec.Struct, frozen=True, array_like=True):
    """A chunk of a snapshot.

    Parameters
    ----------
    name : str
        The last part of its key in the platform.
    written_ms : float
        The shard's time at which it was written, in milliseconds.
    """

    name: str
    written_ms: float


class Head(msgspec.Struct, frozen=True, array_like=True):
    """The snapshot of one shard.

    Parameters
    ----------
    through : Sequence
        The last batch that is folded in; batches up to it are void.
    elapsed_ms : float
        The shard's time in milliseconds.
    chunks : tuple of ChunkRef
        The chunks, the oldest first; a later one goes over an earlier.
    dropped : tuple of str
        Chunks that are not used any more and may still exist.
    """

    through: ids.Sequence = ids.Sequence(0)
    elapsed_ms: float = 0.0
    chunks: tuple[ChunkRef, ...] = ()
    dropped: tuple[str, ...] = ()


Records = dict[ids.KeyDigest, claims.Record]
"""The content of a chunk."""

_ENCODER = msgspec.msgpack.Encoder()
_HEAD_DECODER = msgspec.msgpack.Decoder(Head)
_CHUNK_DECODER = msgspec.msgpack.Decoder(Records)


def encode(value: Head | Records) -> bytes:
    """Encode a head or a chunk for the platform."""
    return _ENCODER.encode(value)


def decode_head(value: bytes) -> Head:
    """Decode a head from the platform."""
    return _HEAD_DECODER.decode(value)


def decode_chunk(value: bytes) -> Records:
    """Decode a chunk from the platform."""
    return _CHUNK_DECODER.decode(value)


def announce(head: Head, passed_ms: float, dropped: tuple[str, ...]) -> Head:
    """Make the head that announces new chunks before they are written.

    Until the compaction ends they are listed as dropped, so that no chunk
    is ever left behind by a host that dies.

    Parameters
    ----------
    head : Head
        The head so far.
    passed_ms : float
        Milliseconds since this host first saw the head so far.
    dropped : tuple of str
        The names of the new chunks.
    """
    return msgspec.structs.replace(
        head,
        elapsed_ms=head.elapsed_ms + max(0.0, passed_ms),
        dropped=head.dropped + dropped,
    )


def oldest_kept_ms(head: Head, retention_ms: float) -> float:
    """Tell the shard's time before which chunks are not kept."""
    return head.elapsed_ms - retention_ms


def finish(
    head: Head,
    through: ids.Sequence,
    names: abc.Sequence[str],
    retention_ms: float,
) -> Head:
    """Make the head that ends a compaction.

    Parameters
    ----------
    head : Head
        The head that announced it; what it dropped is deleted by now.
    through : Sequence
        The last batch that is folded in.
    names : sequence of str
        The new chunks, which are written by now.
    retention_ms : float
        Milliseconds of the shard's time for which a chunk is kept.
    """
    oldest = oldest_kept_ms(head, retention_ms)
    kept = tuple(chunk for chunk in head.chunks if chunk.written_ms >= oldest)
    dropped = tuple(
        chunk.name for chunk in head.chunks if chunk.written_ms < oldest
    )
    added = tuple(ChunkRef(name, head.elapsed_ms) for name in names)
    return Head(through, head.elapsed_ms, kept + added, dropped)


def split(records: Records, most_bytes: int = CHUNK_BYTES) -> list[Records]:
    """Divide records into chunks that the platform takes."""
    chunks: list[Records] = []
    size = most_bytes + 1
    for key, record in records.items():
        content = len(_ENCODER.encode(record)) + len(key) + 8
        if size + content > most_bytes:
            chunks.append({})
            size = 0
        chunks[-1][key] = record
        size += content
    return chunks
