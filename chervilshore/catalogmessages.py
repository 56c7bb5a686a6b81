"""Messages by which hosts read the store for one another."""

import msgspec

from chervilshore import messages
from chervilshore import objects


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
    removed : tuple of RemovedObject
        Objects that are gone at this revision, while the sender still uses
        them.
    """

    kind: str
    revision: int
    objects: tuple[tuple[str, int, bytes], ...]
    details: tuple[tuple[bytes, str], ...] = ()
    removed: tuple[objects.RemovedObject, ...] = ()


class CatalogRequest(messages.Message, frozen=True, tag="va"):
    """Requests kinds of objects that are newer than the sender's.

    Parameters
    ----------
    revisions : dict of str to int
        The sender's revision of each kind that it cannot read.
    max_bytes : int
        Bytes of objects from which a kind is only named, as it is read in
        parts; 0 for no limit, as hosts of earlier builds know no parts.
    """

    revisions: dict[str, int]
    max_bytes: int = 0


class CatalogReply(messages.Message, frozen=True, tag="vr"):
    """Returns the requested kinds of which the replier has a newer state.

    Parameters
    ----------
    snapshots : tuple of KindSnapshot
        Those that it returns.
    large : tuple of str
        Those that are to be read in parts.
    """

    snapshots: tuple[KindSnapshot, ...]
    large: tuple[str, ...] = ()


class PartRequest(messages.Message, frozen=True, tag="vp"):
    """Requests a part of a large snapshot.

    Parameters
    ----------
    kind : str
        The kind.
    revision : int
        The revision of the snapshot; 0 for the present one.
    offset : int
        Bytes of the encoded snapshot that the sender has.
    """

    kind: str
    revision: int = 0
    offset: int = 0


class PartReply(messages.Message, frozen=True, tag="vq"):
    """Returns a part of a large snapshot.

    Parameters
    ----------
    revision : int
        The revision of the snapshot; 0 if the replier does not have it.
    size : int
        Bytes of the encoded snapshot.
    content : bytes
        The part.
    """

    revision: int = 0
    size: int = 0
    content: bytes = b""


class KindChanges(msgspec.Struct, frozen=True, array_like=True):
    """What has changed of one kind.

    Parameters
    ----------
    kind : str
        The kind.
    revision : int
        The revision of the store up to which the changes are complete.
    changes : tuple of Change or None
        The changes; None if the receiver has to ask the store.
    """

    kind: str
    revision: int
    changes: tuple[objects.Change, ...] | None = ()


class ReadRequest(messages.Message, frozen=True, tag="vw"):
    """Asks a reader of the store what changes.

    Parameters
    ----------
    revisions : dict of str to int
        The sender's revision of each kind that it follows.
    wait_ms : float
        Milliseconds to wait for a change.
    """

    revisions: dict[str, int]
    wait_ms: float = 0.0


class ReadReply(messages.Message, frozen=True, tag="vx"):
    """Tells what has changed.

    Parameters
    ----------
    age_ms : float or None
        Milliseconds since the store last answered the sender; None if the
        sender cannot tell what is in the store.
    kinds : tuple of KindChanges
        The kinds that have changed.
    """

    age_ms: float | None
    kinds: tuple[KindChanges, ...] = ()
