"""Keeps in the store what began streams, so that it outlives all hosts."""

import asyncio
import collections
import contextlib
import logging

import mode
import msgspec

from chervilshore import clock as clocks
from chervilshore.controllers import directory as directories
from chervilshore.controllers import streamreader
from chervilshore.decisions import backoff
from chervilshore.decisions import rendezvous
from chervilshore.decisions import storedstreams
from chervilshore import events
from chervilshore import exceptions
from chervilshore import forwarded
from chervilshore import ids
from chervilshore import metrics as metric_types
from chervilshore import objects
from chervilshore import results

WRITE_INTERVAL_PER_HOST_MS = 4.0
"""Milliseconds between two writes of all hosts together, so that many hosts
leave room for others at a store that takes 400 writes a second."""

REGISTRATION_MS = 200.0
"""Milliseconds in which a host registers the first version of a pool."""

RECORD_TIMEOUT_MS = 500.0
"""Milliseconds for which the first event waits at most until the store has
what began the stream."""

MAINTENANCE_INTERVAL_MS = 5000.0
"""Milliseconds between two searches for versions that are gone."""

MIN_RETRY_MS = 250.0
MAX_RETRY_MS = 2000.0
"""Bounds of the delay in milliseconds after a failed call."""

_LOGGER = logging.getLogger(__name__)


class StreamStore(mode.Service):
    """Registers versions, and records what began streams while they differ.

    Each version of a pool that serves streams has an object in the store
    until no stream of it can be resumed. If a pool has several, each host
    also writes what it sends new streams to, in one object of its own.

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
        Lists the hosts and endpoints.
    metrics : Metrics
        Counts the writes.
    """

    def __init__(
        self,
        host: ids.HostId,
        clock: clocks.Clock,
        store: objects.ObjectStore,
        kind: str,
        directory: directories.Directory,
        metrics: metric_types.Metrics,
    ) -> None:
        super().__init__()
        self._host = host
        self._clock = clock
        self._store = store
        self._kind = kind
        self._directory = directory
        self._metrics = metrics
        self._journals: collections.defaultdict[
            ids.PoolName, storedstreams.StreamJournal
        ] = collections.defaultdict(storedstreams.StreamJournal)
        self._reader = streamreader.StreamReader(
            host, clock, store, kind, directory, self._merge
        )
        self._windows_ms: dict[ids.PoolName, float] = {}
        self._listed: dict[ids.PoolName, set[ids.SoftwareVersion]] = {}
        # Searches in which the first version of a pool was not registered.
        self._searches: dict[ids.PoolName, int] = {}
        self._has_work = asyncio.Event()
        self._has_written = asyncio.Event()

    def record(
        self,
        stream: ids.RequestId,
        origin: forwarded.StreamOrigin,
        left_ms: float,
        window_ms: float,
    ) -> None:
        """Record what a new stream is sent to.

        Parameters
        ----------
        stream : RequestId
            The request that is to bring the first event.
        origin : StreamOrigin
            What it is sent to.
        left_ms : float
            Milliseconds for which its caller may resume it.
        window_ms : float
            Milliseconds for which streams of its pool may be resumed.
        """
        if not origin.version:
            return
        self._windows_ms[origin.pool] = window_ms
        until = self._clock.wall() + left_ms
        self._journals[origin.pool].add(
            storedstreams.StoredStart(stream, origin, until)
        )
        self.check_versions()

    def _merge(self, start: storedstreams.StoredStart) -> None:
        self._journals[start.origin.pool].merge(start)

    def check_versions(self) -> None:
        """Write what is due; to be called when versions may have come."""
        for pool in self._windows_ms:
            listed = self._reader.list_versions(pool)
            if listed != self._listed.get(pool):
                self._listed[pool] = listed
                self._reader.knows_versions = False
            if not self._reader.knows_versions or self._must_write(pool):
                self._has_work.set()

    def _must_write(self, pool: ids.PoolName) -> bool:
        return self._journals[pool].has_unwritten and (
            self._reader.has_several_versions(pool)
        )

    async def confirm(
        self, stream: ids.RequestId, origin: forwarded.StreamOrigin
    ) -> None:
        """Wait until the store cannot name another origin of a new stream.

        Raises
        ------
        exceptions.RefusalError
            The store may name the origin of an attempt before.
        """
        journal = self._journals[origin.pool]
        if self._may_contradict(stream, origin):
            try:
                await clocks.wait_for(
                    self._clock,
                    self._wait_until_written(stream, origin),
                    RECORD_TIMEOUT_MS,
                )
            except TimeoutError as error:
                if journal.may_contradict(stream):
                    raise exceptions.RefusalError(
                        results.Code.STREAM_BROKEN,
                        "its version is not recorded",
                    ) from error
        journal.record_begun(stream)

    async def _wait_until_written(
        self, stream: ids.RequestId, origin: forwarded.StreamOrigin
    ) -> None:
        while self._may_contradict(stream, origin):
            await self._has_written.wait()

    def _may_contradict(
        self, stream: ids.RequestId, origin: forwarded.StreamOrigin
    ) -> bool:
        if not origin.version:
            return False
        registered = self._reader.registry.list_versions(origin.pool)
        return self._journals[origin.pool].may_contradict(stream) or (
            bool(registered) and origin.version not in registered
        )

    def find(self, stream: ids.RequestId) -> forwarded.StreamOrigin | None:
        """Return what began a stream, as far as this host has read."""
        for journal in self._journals.values():
            origin = journal.find(stream)
            if origin is not None:
                return origin
        return self._reader.find(stream)

    def find_only_version(
        self, pool: ids.PoolName
    ) -> ids.SoftwareVersion | None:
        """Return a pool's version; see `StreamReader.find_only_version`."""
        return self._reader.find_only_version(pool)

    def has_registered(self, pool: ids.PoolName) -> bool:
        """Return whether versions of a pool are registered."""
        return bool(self._reader.registry.list_versions(pool))

    async def find_after_reading(
        self, stream: ids.RequestId
    ) -> forwarded.StreamOrigin | None:
        """Return what began a stream; see `StreamReader.read`."""
        return (await self._reader.read()).get(stream)

    @mode.Service.task
    async def _write(self) -> None:
        """Write what is new, in batches."""
        retry_delays = backoff.Backoff(MIN_RETRY_MS, MAX_RETRY_MS)
        while not self.should_stop:
            await self._has_work.wait()
            self._has_work.clear()
            try:
                await self._write_starts()
                await self._register_versions()
                # What is registered may tell of more versions.
                await self._write_starts()
            except exceptions.PlatformError as error:
                # What is written by now is not known; read it again.
                self._reader.position = None
                self._metrics.count(
                    metric_types.Metric.STREAMS_STORED, "failed"
                )
                events.log_event(
                    _LOGGER,
                    events.Event.STREAMS_NOT_STORED,
                    error=error,
                    streams=self._count_starts(),
                )
                self._has_work.set()
                await self._clock.sleep(retry_delays.next_delay_ms())
                continue
            retry_delays.reset()
            # Wakes all that wait; each checks what it needs.
            self._has_written.set()
            self._has_written.clear()
            hosts = len(self._directory.hosts())
            await self._clock.sleep(hosts * WRITE_INTERVAL_PER_HOST_MS)

    async def _register_versions(self) -> None:
        if not self._reader.knows_versions:
            missing = self._list_unregistered()
            if missing and not any(map(self._must_register, missing)):
                # The host that registers a first version comes before.
                await self._clock.sleep(REGISTRATION_MS)
            # What was registered long ago is enough here, at a low price.
            await self._reader.read_versions()
        for origin in self._list_unregistered():
            if self._must_register(origin):
                await self._register(origin)

    def _list_unregistered(self) -> list[forwarded.StreamOrigin]:
        return [
            origin
            for pool in self._windows_ms
            for origin in self._reader.list_unregistered(pool)
        ]

    def _must_register(self, origin: forwarded.StreamOrigin) -> bool:
        """Return whether this host is to register a version.

        It is enough that one host registers the first version of a pool. A
        host that comes before may have no streams; the more come before, the
        later this one is needed.
        """
        rank = self._find_rank(streamreader.name_version(origin))
        return (
            rank**2 <= self._searches.get(origin.pool, 0)
            or origin.pool in self._reader.registry.list_pools()
            or self._reader.has_several_versions(origin.pool)
        )

    async def _register(self, origin: forwarded.StreamOrigin) -> None:
        # Another host may have registered it.
        with contextlib.suppress(exceptions.VersionConflict):
            await self._store.replace(
                self._kind,
                streamreader.name_version(origin),
                msgspec.json.encode(origin),
                0,
            )
        self._reader.registry.add(origin, self._clock.now())
        events.log_event(
            _LOGGER,
            events.Event.STREAM_VERSION_REGISTERED,
            pool=origin.pool,
            version=origin.version,
        )

    async def _write_starts(self) -> None:
        if not any(map(self._must_write, tuple(self._journals))):
            return
        if self._reader.position is None:
            await self._reader.read()
        written = []
        content: list[storedstreams.StoredStart] = []
        for pool, journal in self._journals.items():
            journal.expire(self._clock.wall())
            if self._reader.has_several_versions(pool):
                change, starts = journal.list_starts()
                written.append((journal, change))
                content += starts
        self._reader.position = await self._store.replace(
            self._kind,
            streamreader.STARTS_PREFIX + self._host,
            msgspec.json.encode(content),
            self._reader.position,
        )
        for journal, change in written:
            journal.record_written(change)
        self._metrics.count(metric_types.Metric.STREAMS_STORED, "written")

    def _count_starts(self) -> int:
        return sum(map(len, self._journals.values()))

    def _find_rank(self, name: str) -> int:
        """Return how many hosts look after an object before this one."""
        hosts = {record.host for record in self._directory.hosts()}
        return rendezvous.rank(hosts | {self._host}, name).index(self._host)

    @mode.Service.task
    async def _maintain(self) -> None:
        while not self.should_stop:
            await self._clock.sleep(MAINTENANCE_INTERVAL_MS)
            self._check_era()
            for journal in self._journals.values():
                journal.expire(self._clock.wall())
            for pool in tuple(self._windows_ms):
                await self._maintain_pool(pool)
            outdated, self._reader.outdated = self._reader.outdated, []
            alive = {record.host for record in self._directory.hosts()}
            for name in outdated:
                if name.removeprefix(streamreader.STARTS_PREFIX) not in alive:
                    await self._delete(name)

    async def _maintain_pool(self, pool: ids.PoolName) -> None:
        now = self._clock.now()
        self._reader.registry.record_listed(
            pool, self._reader.list_versions(pool), now
        )
        gone = self._reader.registry.list_gone(
            pool, self._windows_ms[pool], now
        )
        for origin in gone:
            self._reader.registry.remove(origin)
            await self._delete(streamreader.name_version(origin))
        if not self._reader.list_unregistered(pool):
            self._searches.pop(pool, None)
            return
        self._searches[pool] = self._searches.get(pool, -1) + 1
        if any(map(self._must_register, self._reader.list_unregistered(pool))):
            self._reader.knows_versions = False
            self._has_work.set()

    def _check_era(self) -> None:
        """Write all again after the store was restored from a copy."""
        if (
            self._directory.read_era() > self._reader.era
            and self._reader.knows_versions
        ):
            self._reader.forget(self._directory.read_era())
            for journal in self._journals.values():
                journal.forget_written()
            self._has_work.set()

    async def _delete(self, name: str) -> None:
        if self._find_rank(name):
            return
        try:
            await self._store.delete(self._kind, name)
        except exceptions.PlatformError as error:
            # The object stays: more is recorded than has to be.
            events.log_event(
                _LOGGER,
                events.Event.STREAMS_NOT_STORED,
                error=error,
                streams=self._count_starts(),
            )

    def describe_pool(self, pool: ids.PoolName) -> dict[str, object]:
        """Return the versions of a pool, for operators."""
        return {
            "listed": sorted(self._reader.list_versions(pool)),
            "registered": sorted(self._reader.registry.list_versions(pool)),
        }

    def describe(self) -> dict[str, object]:
        """Return what is known of the store, for operators."""
        return {
            "recorded": self._count_starts(),
            "unwritten": any(map(self._must_write, tuple(self._journals))),
            "versions": {
                pool: self.describe_pool(pool) for pool in self._windows_ms
            },
        }
