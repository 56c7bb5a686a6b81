"""Messages by which a host that cannot reach the store asks its peers."""

import msgspec

from chervilshore import messages


class KindSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """All objects of one kind, as the sender has them.

    Parameters
    ----------
    kind : str
        The kind.
    revision : int
        The revision of the store up to which the sender is current.
    objects : tuple
        Name, revision and content of each object.
    details : tuple of tuple
        Status and time of creation of each object; empty if no object has a
        status.
    """

    kind: str
    revision: int
    objects: tuple[tuple[str, int, bytes], ...]
    details: tuple[tuple[bytes, str], ...] = ()


class CatalogRequest(messages.Message, frozen=True, tag="va"):
    """Requests kinds of objects that are newer than the sender's.

    Parameters
    ----------
    revisions : dict of str to int
        The sender's revision of each kind that it cannot read.
    """

    revisions: dict[str, int]


class CatalogReply(messages.Message, frozen=True, tag="vr"):
    """Returns the requested kinds of which the replier has a newer state."""

    snapshots: tuple[KindSnapshot, ...]
