"""Accepted configurations: content-hashed chunks under one head.

As there are many teams and assignments, they are divided among buckets by the
hash of their names, so that a change of one team rewrites one bucket only. All
other rules keep the operators' order in the main chunk, where an internal
comment marks the place of the rules of each bucketed kind.
"""

from collections import abc
import hashlib

import msgspec
import xxhash

from chervilshore import exceptions
from chervilshore import ids
from chervilshore.rules import lines

HEAD_KEY = "configuration/head"
"""Key of the platform object with the head of the accepted generation."""

CHUNK_PREFIX = "configuration/chunks/"
"""Prefix of the keys of chunks; the digest follows."""

HISTORY_PREFIX = "configuration/history/"
"""Prefix of the keys of heads that are kept for the history."""

BUCKETED_KINDS = ("team", "assign")
"""The kinds of rules that are divided among buckets."""

MAX_CHUNK_BYTES = 500_000
"""Maximum bytes of a chunk; the platform accepts values of twice that."""

DIGEST_BYTES = 16
"""Bytes of the hash of a chunk."""

TARGET_RULES_PER_BUCKET = 128
"""Maximum mean number of rules per bucket when the bucket count is chosen."""

MIN_RULES_PER_BUCKET = 32
MAX_RULES_PER_BUCKET = 256
"""Range of the mean number of rules per bucket; outside of it, a new number of
buckets is chosen."""


class Head(msgspec.Struct, frozen=True):
    """The metadata of an accepted generation and the digests of its chunks.

    Parameters
    ----------
    generation : Generation
        Its number: one more than that of the previous generation.
    change : ChangeId
        The change attempt that created it.
    previous : ChangeId
        The change attempt that created the previous generation.
    author, reason : str
        Who made the change, and why.
    time_ms : float
        The time of the change in milliseconds since 1970, for display only.
    main : str
        The digest of the main chunk.
    buckets : tuple of str
        The digests of the buckets; an empty string for a bucket without rules.
    """

    generation: ids.Generation
    change: ids.ChangeId
    previous: ids.ChangeId
    author: str
    reason: str
    time_ms: float
    main: str
    buckets: tuple[str, ...] = ()

    @property
    def digests(self) -> tuple[str, ...]:
        """The digests of all chunks, without repetition."""
        found = dict.fromkeys((self.main, *self.buckets))
        found.pop("", None)
        return tuple(found)


class PackedRules(msgspec.Struct, frozen=True):
    """A rules file divided into chunks.

    Parameters
    ----------
    main : str
        The digest of the main chunk.
    buckets : tuple of str
        The digests of the buckets; an empty string for a bucket without rules.
    chunks : dict
        The content of the chunks by digest.
    """

    main: str
    buckets: tuple[str, ...]
    chunks: dict[str, bytes]


def encode_head(head: Head) -> bytes:
    """Encode a head as JSON, as the platform stores it."""
    return msgspec.json.encode(head)


def decode_head(data: bytes) -> Head:
    """Decode a head that the platform stores.

    Raises
    ------
    exceptions.RulesError
        The bytes are not a head.
    """
    try:
        return msgspec.json.decode(data, type=Head)
    except msgspec.MsgspecError as error:
        raise exceptions.RulesError(f"unusable head: {error}") from error


def chunk_key(digest: str) -> str:
    """Return the platform key of a chunk."""
    return CHUNK_PREFIX + digest


def history_key(generation: ids.Generation, change: ids.ChangeId) -> str:
    """Return the platform key of the head of a change in the history."""
    return f"{HISTORY_PREFIX}{generation:010d}-{change}"


def digest(content: bytes) -> str:
    """Return the hash of a chunk's content, in hexadecimal."""
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES).hexdigest()


def verify(expected: str, content: bytes) -> bool:
    """Return whether a chunk's content has the expected digest."""
    return digest(content) == expected


def choose_bucket_count(rules: int, previous: int) -> int:
    """Return the number of buckets for this number of rules.

    The previous number, 0 for none, is kept while the buckets have a suitable
    size, as a new number moves the rules to other buckets.
    """
    if (
        previous
        and MIN_RULES_PER_BUCKET <= rules / previous <= MAX_RULES_PER_BUCKET
    ):
        return previous
    bucket_count = 1
    while rules / bucket_count > TARGET_RULES_PER_BUCKET:
        bucket_count *= 2
    return bucket_count


def pack(document: lines.Document, buckets_before: int = 0) -> PackedRules:
    """Divide a rules file into chunks.

    Parameters
    ----------
    document : Document
        The parsed file, without problems.
    buckets_before : int
        The number of buckets of the previous generation; 0 for none.

    Raises
    ------
    exceptions.RulesError
        A chunk would be larger than `MAX_CHUNK_BYTES`.
    """
    bucketed = [line for line in document.lines if line.kind in BUCKETED_KINDS]
    bucket_count = choose_bucket_count(len(bucketed), buckets_before)
    groups: list[list[lines.Line]] = [[] for _ in range(bucket_count)]
    for line in bucketed:
        groups[_bucket_index(line, bucket_count)].append(line)
    chunks = {}
    main = _add_chunk(chunks, _format_main(document))
    buckets = tuple(
        _add_chunk(chunks, _format_bucket(group)) for group in groups
    )
    return PackedRules(main, buckets, chunks)


def unpack(head: Head, chunks: abc.Mapping[str, bytes]) -> str:
    """Return the text of a generation's rules file.

    Parameters
    ----------
    head : Head
        The head of the generation.
    chunks : mapping
        The verified content of all its chunks, by digest.
    """
    return _join_chunks(head.main, head.buckets, chunks)


def _join_chunks(
    main: str, buckets: tuple[str, ...], chunks: abc.Mapping[str, bytes]
) -> str:
    blocks = [
        block
        for name in buckets
        if name
        for block in _split_blocks(chunks[name].decode())
    ]
    written = []
    for text in chunks[main].decode().splitlines():
        if not text.startswith(lines.INTERNAL_MARK):
            written.append(text)
            continue
        kind = text.removeprefix(lines.INTERNAL_MARK).strip()
        chosen = [block for block in blocks if block[-1].split()[0] == kind]
        chosen.sort(key=lambda block: block[-1].split()[1])
        written.extend(row for block in chosen for row in block)
    return "".join(row + "\n" for row in written)


def format_document(document: lines.Document) -> str:
    """Return the text of a rules file in its canonical form.

    Rules of a bucketed kind are sorted by name, and moved with the comments
    above them to the place of the first one. All other lines keep their
    order; surplus blank lines are dropped.
    """
    return format_packed(pack(document))


def format_packed(packed: PackedRules) -> str:
    """Return the text of a rules file that was divided into chunks."""
    return _join_chunks(packed.main, packed.buckets, packed.chunks)


def _add_chunk(chunks: dict[str, bytes], text: str) -> str:
    if not text:
        return ""
    content = text.encode()
    if len(content) > MAX_CHUNK_BYTES:
        raise exceptions.RulesError(
            f"rules that are kept together take {len(content)} bytes; "
            f"at most {MAX_CHUNK_BYTES} are possible"
        )
    name = digest(content)
    chunks[name] = content
    return name


def _bucket_index(line: lines.Line, bucket_count: int) -> int:
    return xxhash.xxh3_64_intdigest(" ".join(line.key).encode()) % bucket_count


def _format_main(document: lines.Document) -> str:
    written: list[str] = []
    marked_kinds = set()
    for entry in document.entries:
        if isinstance(entry, str):
            if entry or (written and written[-1]):
                written.append(entry)
        elif entry.kind not in BUCKETED_KINDS:
            written.extend(_format_line(entry))
        elif entry.kind not in marked_kinds:
            marked_kinds.add(entry.kind)
            written.append(f"{lines.INTERNAL_MARK} {entry.kind}")
    while written and not written[-1]:
        written.pop()
    return "".join(row + "\n" for row in written)


def _format_bucket(group: list[lines.Line]) -> str:
    group = sorted(group, key=lambda line: line.tokens[:2])
    rows = [row for line in group for row in _format_line(line)]
    return "".join(row + "\n" for row in rows)


def _format_line(line: lines.Line) -> list[str]:
    return [*line.comments_above, line.format()]


def _split_blocks(text: str) -> list[list[str]]:
    blocks: list[list[str]] = [[]]
    for row in text.splitlines():
        blocks[-1].append(row)
        if not row.startswith("#"):
            blocks.append([])
    blocks.pop()
    return blocks
