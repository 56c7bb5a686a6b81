"""Messages by which hosts without the store learn from those with it."""

import msgspec

from chervilshore import messages


class KindSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """All objects of a kind.

    Parameters
    ----------
    kind : str
        The kind.
    revision : int
        The revision of the store up to which it is known.
    objects : tuple
        Name, revision and content of each.
    """

    kind: str
    revision: int
    objects: tuple[tuple[str, int, bytes], ...]


class CatalogRequest(messages.Message, frozen=True, tag="va"):
    """Asks for kinds of which the sender knows only older revisions."""

    revisions: dict[str, int]


class CatalogReply(messages.Message, frozen=True, tag="vr"):
    """Brings the kinds that have changed since."""

    snapshots: tuple[KindSnapshot, ...]
