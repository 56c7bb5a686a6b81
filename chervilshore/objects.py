"""The interface of an object store whose objects are watched by kind."""

import abc
from collections import abc as collections_abc

import msgspec


ERA_SHIFT = 48
"""Bits of a revision within a position; no store reaches 2**48 changes."""


def make_position(era: int, revision: int) -> int:
    """Return the position in a store that may be restored from a copy.

    A restore sets the store's revision back and gives revisions out again,
    and raises its era. Positions order all states of the store.

    Parameters
    ----------
    era : int
        How often the store has been restored.
    revision : int
        Its revision in that era.
    """
    return (era << ERA_SHIFT) + revision


def read_era(position: int) -> int:
    """Return the era of a position."""
    return position >> ERA_SHIFT


def read_revision(position: int) -> int:
    """Return the revision of a position within its era."""
    return position & ((1 << ERA_SHIFT) - 1)


def describe_position(position: int) -> dict[str, int]:
    """Return the log fields of a position."""
    return {"era": read_era(position), "revision": read_revision(position)}


NO_CONTENT = b"null"
"""The content of an object that has none or none of use, as JSON."""

NO_STATUS = b"null"
"""The status of an object to which none has been written, as JSON."""


class StoredObject(msgspec.Struct, frozen=True):
    """One object of a store.

    Parameters
    ----------
    name : str
        Its name within its kind.
    revision : int
        The position of the object's last change, in the era in which it was
        read.
    content : bytes
        Its content, as JSON.
    status : bytes
        What the system writes beside the content, as JSON.
    created : str
        When it was created, as the store says it; tells objects apart that
        had the same name one after the other.
    """

    name: str
    revision: int
    content: bytes
    status: bytes = NO_STATUS
    created: str = ""


def measure(stored: collections_abc.Iterable[StoredObject]) -> int:
    """Return the bytes of the content and status of objects."""
    return sum(len(one.content) + len(one.status) for one in stored)


class RemovedObject(msgspec.Struct, frozen=True):
    """An object that is gone from the store and counts for a while longer.

    Parameters
    ----------
    object : StoredObject
        The object as it was.
    left_ms : float
        Milliseconds until it counts no more.
    """

    object: StoredObject
    left_ms: float


class Listing(msgspec.Struct, frozen=True):
    """All objects of one kind, as of a position in the store.

    Parameters
    ----------
    objects : tuple of StoredObject
        The objects.
    revision : int
        The position.
    removed : tuple of RemovedObject
        Objects that are gone at this position. No later change tells of it,
        so they must never be taken for present ones.
    """

    objects: tuple[StoredObject, ...]
    revision: int
    removed: tuple[RemovedObject, ...] = ()


class Change(msgspec.Struct, frozen=True):
    """An object that was written, or that was removed."""

    object: StoredObject
    removed: bool = False


class Changes(msgspec.Struct, frozen=True):
    """The changes of one kind, complete up to a position in the store."""

    changes: tuple[Change, ...]
    revision: int


class ObjectStore(abc.ABC):
    """A client of a store that holds objects by kind and name.

    Each call raises `exceptions.PlatformUnavailable` if it had no effect.
    A writing call raises `exceptions.PlatformUnknown` if its response was
    lost, so that it may have taken effect.
    """

    def is_receiving(self, kind: str) -> bool:
        """Return whether an answer about a kind is arriving.

        False for a store whose answers arrive at once.
        """
        return False

    @abc.abstractmethod
    async def list(self, kind: str, may_be_stale: bool = False) -> Listing:
        """Read all objects of a kind.

        A listing that may be a few seconds old has a low price.
        """

    @abc.abstractmethod
    async def watch(self, kind: str, since: int, wait_ms: float) -> Changes:
        """Wait for changes of a kind.

        Parameters
        ----------
        kind : str
            The kind.
        since : int
            The position up to which the caller is current.
        wait_ms : float
            Milliseconds to wait at most.

        Returns
        -------
        Changes
            What changed; empty if the wait timed out.

        Raises
        ------
        exceptions.HistoryGone
            The store no longer has the changes since then; list again.
        exceptions.StoreRestored
            The store was restored since then; list all kinds again.
        """

    @abc.abstractmethod
    async def poll(self, kind: str, since: int) -> Changes:
        """Read the changes of a kind at once, at a low price.

        The answer may be a few seconds old. Parameters and exceptions are
        those of `watch`.
        """

    @abc.abstractmethod
    async def put(self, kind: str, name: str, content: bytes) -> None:
        """Create an object or replace its content."""

    @abc.abstractmethod
    async def replace(
        self, kind: str, name: str, content: bytes, revision: int
    ) -> int:
        """Replace an object that is at a position; create it if that is 0.

        Returns
        -------
        int
            The new position of the object.

        Raises
        ------
        exceptions.VersionConflict
            The object is at another position.
        """

    @abc.abstractmethod
    async def put_status(
        self, kind: str, stored: StoredObject, status: bytes
    ) -> StoredObject:
        """Replace the status of an object that has not changed since.

        Parameters
        ----------
        kind : str
            The kind.
        stored : StoredObject
            The object as the caller knows it.
        status : bytes
            The new status, as JSON.

        Returns
        -------
        StoredObject
            The object with the new status.

        Raises
        ------
        exceptions.ObjectChanged
            The object has changed or is gone; nothing was written. The error
            has the present object.
        """

    @abc.abstractmethod
    async def delete(self, kind: str, name: str) -> None:
        """Remove an object; does nothing if there is none."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close the connections."""
