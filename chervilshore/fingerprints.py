"""Fingerprints of what a request holds, to compare requests without it.

They are one-way hashes, so that messages and logs carry no prompt, body or
key of a caller.
"""

from collections import abc
import hashlib

from chervilshore import forwarded
from chervilshore import ids

DIGEST_BYTES = 8
"""Length of a fingerprint in bytes."""


def make_part_fingerprints(
    parts: abc.Sequence[forwarded.PromptPart],
) -> tuple[ids.Fingerprint, ...]:
    """Return the fingerprints of the parts that other prompts may hold.

    The last part belongs to the request alone and gets none.
    """
    names = dict.fromkeys(part.name for part in parts[:-1])
    return tuple(_hash(b"part", name.encode()) for name in names)


def _hash(kind: bytes, *fields: bytes) -> ids.Fingerprint:
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES, person=kind)
    for field in fields:
        # With its length, a field cannot be mistaken for the start of the
        # next one.
        digest.update(len(field).to_bytes(DIGEST_BYTES, "big"))
        digest.update(field)
    return ids.Fingerprint(digest.hexdigest())
