"""Accepted configurations: content-hashed chunks under one head.

Teams and assignments are many, so they are spread over buckets by the hash
of their name, and a change of one team rewrites one bucket. All other rules
keep the operators' order in the main chunk, where a mark holds the place of
the spread ones.
"""

from collections import abc
import hashlib

import msgspec
import xxhash

from chervilshore import exceptions
from chervilshore import ids
from chervilshore.rules import lines

HEAD_KEY = "configuration/head"
"""The platform's object that says which generation is accepted."""

CHUNK_PREFIX = "configuration/chunks/"
"""What the keys of chunks begin with; the digest follows."""

HISTORY_PREFIX = "configuration/history/"
"""What the keys of earlier heads begin with."""

BUCKETED_KINDS = ("team", "assign")
"""The kinds of rules that are spread over buckets."""

MAX_CHUNK_BYTES = 500_000
"""Bytes of a chunk; the platform takes values of twice that."""

DIGEST_BYTES = 16
TARGET_RULES_PER_BUCKET = 128
"""Rules in a bucket, about, when the number of buckets is chosen anew."""
MIN_RULES_PER_BUCKET = 32
MAX_RULES_PER_BUCKET = 256
"""Mean rules in a bucket beyond which the number is chosen anew."""


class Head(msgspec.Struct, frozen=True):
    """Says what an accepted generation consists of.

    Parameters
    ----------
    generation : Generation
        Its number, one more than the one before.
    change : ChangeId
        The attempt that brought it.
    previous : ChangeId
        The attempt that brought the generation before.
    author, reason : str
        Who changed it, and why.
    time_ms : float
        Milliseconds since 1970, for people.
    main : str
        The digest of the main chunk.
    buckets : tuple of str
        The digests of the buckets; an empty one has no rules.
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
        """The digests of all chunks, each once."""
        found = dict.fromkeys((self.main, *self.buckets))
        found.pop("", None)
        return tuple(found)


class PackedRules(msgspec.Struct, frozen=True):
    """A rules file as chunks.

    Parameters
    ----------
    main : str
        The digest of the main chunk.
    buckets : tuple of str
        The digests of the buckets.
    chunks : dict
        The content by digest.
    """

    main: str
    buckets: tuple[str, ...]
    chunks: dict[str, bytes]


def encode_head(head: Head) -> bytes:
    """Encode a head as the platform holds it."""
    return msgspec.json.encode(head)


def decode_head(data: bytes) -> Head:
    """Decode a head.

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
    """Write the key of a chunk."""
    return CHUNK_PREFIX + digest


def history_key(generation: ids.Generation, change: ids.ChangeId) -> str:
    """Write the key under which a change keeps its head for the history."""
    return f"{HISTORY_PREFIX}{generation:010d}-{change}"


def digest(content: bytes) -> str:
    """Hash the content of a chunk."""
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES).hexdigest()


def verify(wanted: str, content: bytes) -> bool:
    """Tell whether a chunk's content is what its digest says."""
    return digest(content) == wanted


def choose_bucket_count(rules: int, before: int) -> int:
    """Choose the number of buckets, the earlier one while it will do."""
    if (
        before
        and MIN_RULES_PER_BUCKET <= rules / before <= MAX_RULES_PER_BUCKET
    ):
        return before
    count = 1
    while rules / count > TARGET_RULES_PER_BUCKET:
        count *= 2
    return count


def pack(document: lines.Document, buckets_before: int = 0) -> PackedRules:
    """Put a rules file into chunks.

    Parameters
    ----------
    document : Document
        The parsed file, without problems.
    buckets_before : int
        The number of buckets of the generation before.

    Raises
    ------
    exceptions.RulesError
        A chunk would be too large.
    """
    spread = [line for line in document.lines if line.kind in BUCKETED_KINDS]
    count = choose_bucket_count(len(spread), buckets_before)
    groups: list[list[lines.Line]] = [[] for _ in range(count)]
    for line in spread:
        groups[_find_bucket(line, count)].append(line)
    chunks = {}
    main = _store(chunks, _format_main(document))
    buckets = tuple(_store(chunks, _format_bucket(group)) for group in groups)
    return PackedRules(main, buckets, chunks)


def unpack(head: Head, chunks: abc.Mapping[str, bytes]) -> str:
    """Put the text of the rules file together again.

    Parameters
    ----------
    head : Head
        What the generation consists of.
    chunks : mapping
        The verified content by digest.
    """
    return _join(head.main, head.buckets, chunks)


def _join(
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
    """Write a rules file in the usual form, with all comments.

    Rules of a spread kind stand together, by name, where the first of
    them stood; all else keeps its order.
    """
    return join(pack(document))


def join(packed: PackedRules) -> str:
    """Put the text of a rules file together from its own chunks."""
    return _join(packed.main, packed.buckets, packed.chunks)


def _store(chunks: dict[str, bytes], text: str) -> str:
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


def _find_bucket(line: lines.Line, count: int) -> int:
    return xxhash.xxh3_64_intdigest(" ".join(line.key).encode()) % count


def _format_main(document: lines.Document) -> str:
    written: list[str] = []
    marked = set()
    for entry in document.entries:
        if isinstance(entry, str):
            if entry or (written and written[-1]):
                written.append(entry)
        elif entry.kind not in BUCKETED_KINDS:
            written.extend(_format_line(entry))
        elif entry.kind not in marked:
            marked.add(entry.kind)
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
