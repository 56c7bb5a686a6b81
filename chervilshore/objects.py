"""Objects of a store that is watched by kind."""

import abc

import msgspec


class StoredObject(msgspec.Struct, frozen=True):
    """One object.

    Parameters
    ----------
    name : str
        Its name within its kind.
    revision : int
        The revision of the store at its last change.
    content : bytes
        Its content, as JSON.
    """

    name: str
    revision: int
    content: bytes


class Listing(msgspec.Struct, frozen=True):
    """All objects of one kind.

    Parameters
    ----------
    objects : tuple of StoredObject
        The objects.
    revision : int
        The revision of the store at which they were read.
    """

    objects: tuple[StoredObject, ...]
    revision: int


class Change(msgspec.Struct, frozen=True):
    """An object that was written or removed."""

    object: StoredObject
    removed: bool = False


class Changes(msgspec.Struct, frozen=True):
    """What changed in one kind, and the revision up to which it is told."""

    changes: tuple[Change, ...]
    revision: int


class ObjectStore(abc.ABC):
    """The calls to a store that keeps objects by kind and name.

    Each call raises `exceptions.PlatformUnavailable` when it did nothing,
    and each writing call `exceptions.PlatformUnknown` when its answer was
    lost and it may have taken effect.
    """

    @abc.abstractmethod
    async def list(self, kind: str) -> Listing:
        """Read all objects of a kind."""

    @abc.abstractmethod
    async def watch(self, kind: str, since: int, wait_ms: float) -> Changes:
        """Wait for changes of a kind.

        Parameters
        ----------
        kind : str
            The kind.
        since : int
            The revision up to which changes are known.
        wait_ms : float
            Milliseconds to wait at most.

        Raises
        ------
        exceptions.HistoryGone
            The changes since then are no longer kept; list again.
        """

    @abc.abstractmethod
    async def put(self, kind: str, name: str, content: bytes) -> None:
        """Create an object or replace its content."""

    @abc.abstractmethod
    async def delete(self, kind: str, name: str) -> None:
        """Remove an object; one that is not there is passed over."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close the connections."""
