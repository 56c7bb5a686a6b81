"""Decodes the objects of a kind, without those that cannot be used."""

from collections import abc as collections_abc
import logging
import typing

from chervilshore import events
from chervilshore import exceptions
from chervilshore import objects

MAX_LOGGED = 20
"""Entries that are named at a time; the log line of each has their number."""

MAX_SHOWN_LENGTH = 80
"""Characters of a name that are logged."""

_LOGGER = logging.getLogger(__name__)

Record = typing.TypeVar("Record")


class Entries:
    """Tells which objects of a kind are of use.

    Writers choose what their objects hold. One that cannot be decoded counts
    as if it were not there, and the others hold.

    Parameters
    ----------
    kind : str
        The kind.
    decode : callable
        Decodes an object from its name and content; raises
        `exceptions.ContentInvalid`.

    Attributes
    ----------
    skipped : dict of str to int
        The names of the objects that cannot be used now, with the position
        at which each was read.
    """

    def __init__(
        self,
        kind: str,
        decode: collections_abc.Callable[[str, bytes], Record],
    ) -> None:
        self._kind = kind
        self._decode = decode
        self.skipped: dict[str, int] = {}

    def decode(
        self, found: collections_abc.Iterable[objects.StoredObject]
    ) -> list[Record]:
        """Decode the objects that are now in the store."""
        decoded = []
        skipped = {}
        reasons = {}
        for stored in found:
            try:
                decoded.append(self._decode(stored.name, stored.content))
            except exceptions.ContentInvalid as error:
                skipped[stored.name] = stored.revision
                if self.skipped.get(stored.name) != stored.revision:
                    reasons[stored.name] = str(error)
        self.skipped = skipped
        for name in list(reasons)[:MAX_LOGGED]:
            events.log_event(
                _LOGGER,
                events.Event.ENTRY_SKIPPED,
                kind=self._kind,
                name=name[:MAX_SHOWN_LENGTH],
                **objects.describe_position(skipped[name]),
                reason=reasons[name],
                skipped=len(skipped),
            )
        return decoded
