"""What a host keeps in the store of streams that callers may resume."""

from collections import abc as collections_abc

import msgspec

from chervilshore import forwarded
from chervilshore import ids

MAX_STARTS = 5_000
"""Streams of a pool in the object of one host, about 0.4 MB; the oldest are
dropped first."""


class StoredStart(msgspec.Struct, frozen=True, array_like=True):
    """The start of a stream, as it lies in the store.

    Parameters
    ----------
    stream : RequestId
        The request that brings the first event.
    origin : StreamOrigin
        What it was sent to last.
    until : float
        Unix milliseconds until which its caller may resume it.
    has_begun : bool
        Whether the first event has come; if not, a later attempt may go to
        another version.
    """

    stream: ids.RequestId
    origin: forwarded.StreamOrigin
    until: float
    has_begun: bool = False


class StreamJournal:
    """The starts of a pool that one host keeps in the store if it has to."""

    def __init__(self) -> None:
        self._starts: dict[ids.RequestId, StoredStart] = {}
        self._changes: dict[ids.RequestId, int] = {}
        self._replaced: set[ids.RequestId] = set()
        self._last_change = 0
        self._written_change = 0

    def __len__(self) -> int:
        return len(self._starts)

    @property
    def has_unwritten(self) -> bool:
        """Whether the store lacks a start."""
        return self._last_change > self._written_change

    def add(self, start: StoredStart) -> None:
        """Add a start; it replaces one of the same stream at another origin.

        An attempt that brought no event may be followed by one at another
        version.
        """
        known = self._starts.get(start.stream)
        if known is not None and known.origin == start.origin:
            return
        if known is not None:
            self._replaced.add(start.stream)
        while len(self._starts) >= MAX_STARTS:
            self._remove(next(iter(self._starts)))
        self._last_change += 1
        self._starts[start.stream] = start
        self._changes[start.stream] = self._last_change

    def record_begun(self, stream: ids.RequestId) -> None:
        """Record that the first event has come, to be written when due."""
        start = self._starts.get(stream)
        if start is not None:
            self._starts[stream] = msgspec.structs.replace(
                start, has_begun=True
            )

    def merge(self, start: StoredStart) -> None:
        """Keep a start that an earlier run of this host has written."""
        self._starts.setdefault(start.stream, start)

    def find(self, stream: ids.RequestId) -> forwarded.StreamOrigin | None:
        """Return what a stream was sent to last, or None."""
        start = self._starts.get(stream)
        return start and start.origin

    def expire(self, wall: float) -> None:
        """Drop the starts that are not resumed any more."""
        expired = [
            start.stream
            for start in self._starts.values()
            if start.until <= wall
        ]
        for stream in expired:
            self._remove(stream)

    def _remove(self, stream: ids.RequestId) -> None:
        del self._starts[stream]
        self._changes.pop(stream, None)
        self._replaced.discard(stream)

    def list_starts(self) -> tuple[int, tuple[StoredStart, ...]]:
        """Return the number of the last change, and all starts."""
        return self._last_change, tuple(self._starts.values())

    def record_written(self, change: int) -> None:
        """Record that the store has the starts up to a change."""
        self._written_change = max(self._written_change, change)

    def forget_written(self) -> None:
        """Record that the store may lack any start."""
        if self._starts:
            self._last_change += 1
        self._changes = dict.fromkeys(self._starts, self._last_change)

    def may_contradict(self, stream: ids.RequestId) -> bool:
        """Return whether the store may name another origin of a stream."""
        return (
            stream in self._replaced
            and self._changes.get(stream, 0) > self._written_change
        )


class VersionRegistry:
    """The versions of pools that are registered in the store."""

    def __init__(self) -> None:
        # The time at which each version was last listed.
        self._listed_at: dict[forwarded.StreamOrigin, float] = {}

    def replace(
        self,
        registered: collections_abc.Iterable[forwarded.StreamOrigin],
        now: float,
    ) -> None:
        """Record that exactly these versions are registered."""
        before = self._listed_at
        self._listed_at = {
            origin: before.get(origin, now) for origin in registered
        }

    def add(self, origin: forwarded.StreamOrigin, now: float) -> None:
        """Record that a version is registered."""
        self._listed_at.setdefault(origin, now)

    def remove(self, origin: forwarded.StreamOrigin) -> None:
        """Record that a version is no longer registered."""
        self._listed_at.pop(origin, None)

    def record_listed(
        self,
        pool: ids.PoolName,
        versions: collections_abc.Iterable[ids.SoftwareVersion],
        now: float,
    ) -> None:
        """Record that endpoints of these versions are listed."""
        for version in versions:
            origin = forwarded.StreamOrigin(pool, version)
            if origin in self._listed_at:
                self._listed_at[origin] = now

    def list_gone(
        self, pool: ids.PoolName, window_ms: float, now: float
    ) -> list[forwarded.StreamOrigin]:
        """Return the versions that have been listed no more for a while."""
        return [
            origin
            for origin, listed_at in self._listed_at.items()
            if origin.pool == pool and listed_at < now - window_ms
        ]

    def list_pools(self) -> set[ids.PoolName]:
        """Return the pools that have a registered version."""
        return {origin.pool for origin in self._listed_at}

    def list_versions(self, pool: ids.PoolName) -> set[ids.SoftwareVersion]:
        """Return the registered versions of a pool."""
        return {
            origin.version for origin in self._listed_at if origin.pool == pool
        }
