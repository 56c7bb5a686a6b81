"""Fingerprints of what a request holds, to compare requests without it.

They are one-way hashes, so that messages and logs carry no prompt, body or
key of a caller.
"""

import enum
import hashlib

from chervilshore import forwarded
from chervilshore import ids

DIGEST_BYTES = 8
"""Length of a hash in bytes."""


class Kind(enum.Enum):
    """What a fingerprint is of."""

    PART = "part"
    REQUEST = "request"


_KINDS = {kind.value: kind for kind in Kind}


def make_fingerprints(
    request: forwarded.ForwardedRequest, team: ids.TeamId
) -> tuple[ids.Fingerprint, ...]:
    """Return the fingerprints of a whole request and of parts of its prompt.

    The last part of a prompt belongs to the request alone and gets none.

    Parameters
    ----------
    request : ForwardedRequest
        The request.
    team : TeamId
        The team that sends it; the same request of another team differs.
    """
    whole = _hash(
        Kind.REQUEST,
        team.encode(),
        request.method.encode(),
        request.host.encode(),
        request.target.encode(),
        request.body,
    )
    names = dict.fromkeys(part.name for part in request.parts[:-1])
    return (whole, *(_hash(Kind.PART, name.encode()) for name in names))


def read_kind(fingerprint: ids.Fingerprint) -> Kind | None:
    """Return what a fingerprint is of; None if this build does not know."""
    return _KINDS.get(fingerprint.partition(":")[0])


def _hash(kind: Kind, *fields: bytes) -> ids.Fingerprint:
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for field in fields:
        # With its length, a field cannot be mistaken for the start of the
        # next one.
        digest.update(len(field).to_bytes(DIGEST_BYTES, "big"))
        digest.update(field)
    return ids.Fingerprint(f"{kind.value}:{digest.hexdigest()}")
