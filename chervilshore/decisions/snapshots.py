"""Snapshots of the logs of claims, their compaction and retention.

Each compaction writes the records that changed since the previous one into
new chunks. A chunk's age is measured in the shard's own time, which advances
only while some host watches the shard. So it never runs ahead of real time,
and no key is removed too early.
"""

from collections import abc

import msgspec

from chervilshore.decisions import claims
from chervilshore import ids

CHUNK_BYTES = 800_000
"""Maximum bytes of a chunk; the platform limits a value to a megabyte."""


class ChunkRef(msgspec.Struct, frozen=True, array_like=True):
    """Reference to a chunk of a snapshot.

    Parameters
    ----------
    name : str
        The last part of its object key at the platform.
    written_ms : float
        Time at which it was written, in milliseconds of the shard's time.
    """

    name: str
    written_ms: float


class Head(msgspec.Struct, frozen=True, array_like=True):
    """The current snapshot of one shard.

    Parameters
    ----------
    through : Sequence
        The last batch that it includes; batches up to it are obsolete.
    elapsed_ms : float
        The shard's time in milliseconds.
    chunks : tuple of ChunkRef
        The chunks, the oldest first; records of later ones replace those of
        earlier ones.
    dropped : tuple of str
        Names of chunks that are not in use but may still be stored.
    """

    through: ids.Sequence = ids.Sequence(0)
    elapsed_ms: float = 0.0
    chunks: tuple[ChunkRef, ...] = ()
    dropped: tuple[str, ...] = ()


Records = dict[ids.KeyDigest, claims.Record]
"""Content of a chunk: the records by key."""

_ENCODER = msgspec.msgpack.Encoder()
_HEAD_DECODER = msgspec.msgpack.Decoder(Head)
_CHUNK_DECODER = msgspec.msgpack.Decoder(Records)


def encode(value: Head | Records) -> bytes:
    """Encode a head or a chunk for storage at the platform."""
    return _ENCODER.encode(value)


def decode_head(value: bytes) -> Head:
    """Decode a stored head; may raise `msgspec.DecodeError`."""
    return _HEAD_DECODER.decode(value)


def decode_chunk(value: bytes) -> Records:
    """Decode a stored chunk; may raise `msgspec.DecodeError`."""
    return _CHUNK_DECODER.decode(value)


def announce(head: Head, passed_ms: float, dropped: tuple[str, ...]) -> Head:
    """Return the head that announces new chunks before they are written.

    Until the compaction ends they are listed as dropped, so that the next
    compaction deletes them if this host crashes.

    Parameters
    ----------
    head : Head
        The current head.
    passed_ms : float
        Milliseconds since this host first saw the current head.
    dropped : tuple of str
        Names of the new chunks.
    """
    return msgspec.structs.replace(
        head,
        elapsed_ms=head.elapsed_ms + max(0.0, passed_ms),
        dropped=head.dropped + dropped,
    )


def oldest_kept_ms(head: Head, retention_ms: float) -> float:
    """Return the shard's time before which chunks are not kept."""
    return head.elapsed_ms - retention_ms


def finish(
    head: Head,
    through: ids.Sequence,
    new_names: abc.Sequence[str],
    retention_ms: float,
) -> Head:
    """Return the head that completes a compaction.

    Parameters
    ----------
    head : Head
        The head that announced it. The chunks that the head before it listed
        as dropped are deleted by now.
    through : Sequence
        The last batch that the snapshot includes.
    new_names : sequence of str
        Names of the new chunks, which are written by now.
    retention_ms : float
        Milliseconds of the shard's time for which a chunk is kept.
    """
    oldest_ms = oldest_kept_ms(head, retention_ms)
    kept = tuple(
        chunk for chunk in head.chunks if chunk.written_ms >= oldest_ms
    )
    dropped = tuple(
        chunk.name for chunk in head.chunks if chunk.written_ms < oldest_ms
    )
    added = tuple(ChunkRef(name, head.elapsed_ms) for name in new_names)
    return Head(through, head.elapsed_ms, kept + added, dropped)


def split(records: Records, max_bytes: int = CHUNK_BYTES) -> list[Records]:
    """Divide records into chunks of at most `max_bytes`, as estimated."""
    chunks: list[Records] = []
    size = max_bytes + 1
    for key, record in records.items():
        entry_bytes = len(_ENCODER.encode(record)) + len(key) + 8
        if size + entry_bytes > max_bytes:
            chunks.append({})
            size = 0
        chunks[-1][key] = record
        size += entry_bytes
    return chunks
