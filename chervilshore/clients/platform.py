"""Interface to the platform's object store and host list."""

import abc

import msgspec

from chervilshore import records

MAX_VALUE_BYTES = 1_000_000
"""Largest value that the platform stores."""


class VersionedObject(msgspec.Struct, frozen=True):
    """An object of the platform with its version.

    Parameters
    ----------
    key : str
        Name of the object; its parts are separated by slashes.
    value : bytes
        Content.
    version : int
        Rises with each write to any object; no two writes share one.
    """

    key: str
    value: bytes
    version: int


class Platform(abc.ABC):
    """Client for the platform.

    Each method may raise `exceptions.PlatformUnavailable`; nothing has
    changed then. Methods that write may also raise
    `exceptions.PlatformUnknown` when the response was lost and the write
    may or may not have taken effect.
    """

    @abc.abstractmethod
    async def get(self, key: str) -> VersionedObject:
        """Read an object.

        Raises
        ------
        exceptions.ObjectMissing
            The object does not exist.
        """

    @abc.abstractmethod
    async def list(
        self, prefix: str, after: str = "", page_size: int = 1000
    ) -> tuple[VersionedObject, ...]:
        """Read objects by key prefix, in order of their keys.

        Parameters
        ----------
        prefix : str
            Prefix of the keys.
        after : str
            Returns only keys that sort after this one.
        page_size : int
            Largest number of objects to return.
        """

    @abc.abstractmethod
    async def create(self, key: str, value: bytes) -> int:
        """Create an object.

        Returns
        -------
        int
            The version of the object.

        Raises
        ------
        exceptions.VersionConflict
            The object exists already.
        """

    @abc.abstractmethod
    async def update(self, key: str, value: bytes, version: int) -> int:
        """Replace an object if it is at the given version.

        Returns
        -------
        int
            The new version.

        Raises
        ------
        exceptions.VersionConflict
            The object is at another version or does not exist.
        """

    @abc.abstractmethod
    async def delete(self, key: str, version: int) -> None:
        """Delete an object if it is at the given version.

        Raises
        ------
        exceptions.VersionConflict
            The object is at another version or does not exist.
        """

    @abc.abstractmethod
    async def watch(
        self, prefix: str, since: int, timeout_ms: float
    ) -> tuple[VersionedObject, ...]:
        """Wait until objects change; counts as one call however long it waits.

        Parameters
        ----------
        prefix : str
            Prefix of the keys.
        since : int
            Returns only objects of a higher version.
        timeout_ms : float
            Milliseconds to wait for a change.

        Returns
        -------
        tuple of VersionedObject
            The changed objects; empty after the timeout.
        """

    @abc.abstractmethod
    async def hosts(self) -> records.HostList:
        """Read the list of live and leaving hosts; it may be out of date."""
