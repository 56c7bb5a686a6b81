"""The platform's object API and host list."""

import abc

import msgspec

from chervilshore import records

MAX_VALUE_BYTES = 1_000_000
"""Bytes that the platform takes in one value."""


class VersionedObject(msgspec.Struct, frozen=True):
    """An object as the platform holds it.

    Parameters
    ----------
    key : str
        Its name; parts are separated by slashes.
    value : bytes
        Its content.
    version : int
        Rises with each change of any object; unique to one write.
    """

    key: str
    value: bytes
    version: int


class Platform(abc.ABC):
    """The calls that the package makes to the platform.

    Each call may raise `exceptions.PlatformUnavailable` when nothing has
    happened, and each writing call `exceptions.PlatformUnknown` when its
    answer was lost and the write may have taken effect.
    """

    @abc.abstractmethod
    async def get(self, key: str) -> VersionedObject:
        """Read an object.

        Raises
        ------
        exceptions.ObjectMissing
            There is none.
        """

    @abc.abstractmethod
    async def list(
        self, prefix: str, after: str = "", page_size: int = 1000
    ) -> tuple[VersionedObject, ...]:
        """Read objects by the beginning of their key, in order of key.

        Parameters
        ----------
        prefix : str
            What each key begins with.
        after : str
            Only keys that sort after this one.
        most : int
            Objects to return at most.
        """

    @abc.abstractmethod
    async def create(self, key: str, value: bytes) -> int:
        """Write an object that must not exist yet.

        Returns
        -------
        int
            Its version.

        Raises
        ------
        exceptions.VersionConflict
            It exists already.
        """

    @abc.abstractmethod
    async def update(self, key: str, value: bytes, version: int) -> int:
        """Write an object that must be at a version.

        Returns
        -------
        int
            Its new version.

        Raises
        ------
        exceptions.VersionConflict
            It is at another version or does not exist.
        """

    @abc.abstractmethod
    async def delete(self, key: str, version: int) -> None:
        """Remove an object that must be at a version.

        Raises
        ------
        exceptions.VersionConflict
            It is at another version or does not exist.
        """

    @abc.abstractmethod
    async def watch(
        self, prefix: str, since: int, timeout_ms: float
    ) -> tuple[VersionedObject, ...]:
        """Wait for objects to change; a waiting watch counts as one call.

        Parameters
        ----------
        prefix : str
            What each key begins with.
        since : int
            Only objects of a higher version.
        timeout_ms : float
            Milliseconds to wait at most.

        Returns
        -------
        tuple of VersionedObject
            What changed; empty when the time was over.
        """

    @abc.abstractmethod
    async def hosts(self) -> records.HostList:
        """Read the list of live and leaving hosts, which lags."""
