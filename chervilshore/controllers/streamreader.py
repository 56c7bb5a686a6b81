"""Reads from the store what hosts recorded of streams."""

import asyncio
from collections import abc as collections_abc
import logging
import typing

import msgspec
import xxhash

from chervilshore import clock as clocks
from chervilshore import contents
from chervilshore.controllers import directory as directories
from chervilshore.decisions import storedstreams
from chervilshore import events
from chervilshore import exceptions
from chervilshore import forwarded
from chervilshore import ids
from chervilshore import objects

STARTS_PREFIX = "starts."
VERSION_PREFIX = "version."
"""Prefixes of the names of objects: one for each host, and one for each
version of a pool."""

OUTDATED_MS = 600_000.0
"""Milliseconds for which the object of a host that is gone stays."""

_STARTS_DECODER = msgspec.json.Decoder(tuple[storedstreams.StoredStart, ...])
_VERSION_DECODER = msgspec.json.Decoder(forwarded.StreamOrigin)

_LOGGER = logging.getLogger(__name__)


def name_version(origin: forwarded.StreamOrigin) -> str:
    """Return the name of the object that registers a version."""
    digest = xxhash.xxh3_64_hexdigest(
        f"{origin.pool}\x00{origin.version}".encode()
    )
    return VERSION_PREFIX + digest


class StreamReader:
    """What one host has read of the streams and versions in the store.

    Parameters
    ----------
    host : HostId
        This host.
    clock : Clock
        The time.
    store : ObjectStore
        Keeps the objects.
    kind : str
        The kind of the objects.
    directory : Directory
        Lists the endpoints.
    on_own_start : callable
        Called with each start that this host has written.

    Attributes
    ----------
    registry : VersionRegistry
        The versions that are registered.
    position : int or None
        Position of this host's object; None if it is not known.
    era : int
        How often the store had been restored when it was read.
    knows_versions : bool
        Whether the registered versions have been read.
    outdated : list of str
        Objects whose streams are not resumed any more.
    """

    def __init__(
        self,
        host: ids.HostId,
        clock: clocks.Clock,
        store: objects.ObjectStore,
        kind: str,
        directory: directories.Directory,
        on_own_start: collections_abc.Callable[
            [storedstreams.StoredStart], None
        ],
    ) -> None:
        self._own_name = STARTS_PREFIX + host
        self._clock = clock
        self._store = store
        self._kind = kind
        self._directory = directory
        self._on_own_start = on_own_start
        self.registry = storedstreams.VersionRegistry()
        self.position: int | None = None
        self.era = 0
        self.knows_versions = False
        self.outdated: list[str] = []
        self._begun: dict[ids.RequestId, forwarded.StreamOrigin] = {}
        # The only registered version of a pool, and when that was read.
        self._only: dict[ids.PoolName, tuple[ids.SoftwareVersion, float]] = {}
        self._reading = asyncio.Lock()
        self._next_reading: asyncio.Future | None = None

    def find(self, stream: ids.RequestId) -> forwarded.StreamOrigin | None:
        """Return what began a stream, if it had begun at the last reading."""
        return self._begun.get(stream)

    def find_only_version(
        self, pool: ids.PoolName
    ) -> ids.SoftwareVersion | None:
        """Return the only version that can have begun streams of a pool.

        It was the only one that was registered at a reading, and the only
        one that was listed then and since.
        """
        if pool not in self._only:
            return None
        version, read_at = self._only[pool]
        listed = self._directory.find_only_version(
            pool, self._clock.now() - read_at
        )
        return version if listed == version else None

    def list_versions(self, pool: ids.PoolName) -> set[ids.SoftwareVersion]:
        """Return the versions of the endpoints that are listed."""
        return {
            record.version
            for record in self._directory.endpoints(pool)
            if record.version
        }

    def has_several_versions(self, pool: ids.PoolName) -> bool:
        """Return whether streams of several versions may be resumed."""
        registered = self.registry.list_versions(pool)
        return len(registered | self.list_versions(pool)) > 1

    def list_unregistered(
        self, pool: ids.PoolName
    ) -> list[forwarded.StreamOrigin]:
        """Return the versions that are listed and are not registered."""
        registered = self.registry.list_versions(pool)
        return [
            forwarded.StreamOrigin(pool, version)
            for version in sorted(self.list_versions(pool) - registered)
        ]

    async def read(
        self,
    ) -> collections_abc.Mapping[ids.RequestId, forwarded.StreamOrigin]:
        """Read what all hosts have written; calls share a reading to come.

        Returns
        -------
        mapping
            What streams were sent to last, as of a moment after this call.

        Raises
        ------
        exceptions.PlatformError
            The store did not answer.
        """
        if self._next_reading is None:
            self._next_reading = asyncio.ensure_future(self._read())
        return await asyncio.shield(self._next_reading)

    async def _read(
        self,
    ) -> collections_abc.Mapping[ids.RequestId, forwarded.StreamOrigin]:
        # A reading under way may be older than what its callers ask for.
        async with self._reading:
            self._next_reading = None
            listing = await self._store.list(self._kind)
        self._apply_versions(listing)
        self._record_only_versions()
        self.position = 0
        self.outdated = []
        self._begun = {}
        sent_to: dict[ids.RequestId, forwarded.StreamOrigin] = {}
        for stored in listing.objects:
            if stored.name.startswith(STARTS_PREFIX):
                self._apply_starts(stored, sent_to)
        return sent_to

    def _apply_starts(
        self,
        stored: objects.StoredObject,
        sent_to: dict[ids.RequestId, forwarded.StreamOrigin],
    ) -> None:
        starts = _decode(_STARTS_DECODER, stored) or ()
        if stored.name == self._own_name:
            self.position = stored.revision
            for start in starts:
                self._on_own_start(start)
        oldest = self._clock.wall() - OUTDATED_MS
        if all(start.until < oldest for start in starts):
            self.outdated.append(stored.name)
        for start in starts:
            sent_to[start.stream] = start.origin
            if start.has_begun:
                self._begun[start.stream] = start.origin

    async def read_versions(self) -> None:
        """Read which versions were registered some seconds ago.

        Raises
        ------
        exceptions.PlatformError
            The store did not answer.
        """
        self._apply_versions(
            await self._store.list(self._kind, may_be_stale=True)
        )

    def _apply_versions(self, listing: objects.Listing) -> None:
        self.era = max(self.era, objects.read_era(listing.revision))
        found = (
            _decode(_VERSION_DECODER, stored)
            for stored in listing.objects
            if stored.name.startswith(VERSION_PREFIX)
        )
        self.registry.replace(
            (origin for origin in found if origin is not None),
            self._clock.now(),
        )
        self.knows_versions = True

    def _record_only_versions(self) -> None:
        self._only = {}
        for pool in self.registry.list_pools():
            versions = self.registry.list_versions(pool)
            if len(versions) == 1:
                self._only[pool] = (versions.pop(), self._clock.now())

    def forget(self, era: int) -> None:
        """Forget what lay in the store before it was restored."""
        self.era = era
        self.position = None
        self.knows_versions = False
        self.registry.replace((), self._clock.now())
        self._only = {}


def _decode(
    decoder: msgspec.json.Decoder, stored: objects.StoredObject
) -> typing.Any:
    """Return the content of an object, or None if it cannot be read."""
    try:
        return contents.decode(decoder, stored.content)
    except exceptions.ContentInvalid as error:
        events.log_event(
            _LOGGER,
            events.Event.STREAMS_UNREADABLE,
            name=stored.name,
            **objects.describe_position(stored.revision),
            error=error,
        )
        return None
