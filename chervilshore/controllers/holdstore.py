"""Keeps in the store what is held back, so that it outlives all hosts."""

import asyncio
from collections import abc as collections_abc
import logging

import mode
import msgspec

from chervilshore import clock as clocks
from chervilshore import contents
from chervilshore.controllers import directory as directories
from chervilshore.decisions import backoff
from chervilshore.decisions import crashevidence
from chervilshore.decisions import crashverdicts
from chervilshore.decisions import rendezvous
from chervilshore import events
from chervilshore import exceptions
from chervilshore import ids
from chervilshore import metrics as metric_types
from chervilshore import objects

MAX_ENDS = 16
"""Ends of one object, the last ones; fewer already give the longest hold."""

REREAD_MS = 5000.0
"""Milliseconds until a host that has started reads once more, as the listing
of low price may be seconds old."""

MAINTENANCE_INTERVAL_MS = 5000.0
"""Milliseconds after which the host that writes may be another one."""

MIN_RETRY_MS = 250.0
MAX_RETRY_MS = 4000.0
"""Bounds of the delay in milliseconds after a failed call."""

_LOGGER = logging.getLogger(__name__)


class StoredEnd(msgspec.Struct, frozen=True, array_like=True):
    """The end of an endpoint under what is held back.

    Parameters
    ----------
    crash : CrashId
        The endpoint that ended.
    at : int
        The wall time of its end in milliseconds.
    """

    crash: ids.CrashId
    at: int


_DECODER = msgspec.json.Decoder(tuple[StoredEnd, ...])

OnRead = collections_abc.Callable[[list[crashevidence.Finding]], None]
"""Called with the facts that were read."""


class HoldStore(mode.Service):
    """Writes what is held back to the store, and reads it after a start.

    Each fingerprint that is held back has an object, until an answer ends the
    hold. One host writes it, chosen by the fingerprint.

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
        Lists the hosts.
    metrics : Metrics
        Counts the writes.

    Attributes
    ----------
    on_read : OnRead
        Called with the facts of a reading.
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
        self.on_read: OnRead = lambda findings: None
        self._held: crashverdicts.Suspects = {}
        self._stored: dict[ids.Fingerprint, tuple[ids.CrashId, ...]] = {}
        self._ended: set[ids.Fingerprint] = set()
        self._has_work = asyncio.Event()

    def update(self, held: crashverdicts.Suspects) -> None:
        """Set what is held back now, with the ends under it."""
        self._ended |= self._held.keys() - held.keys()
        self._ended -= held.keys()
        self._held = held
        self._has_work.set()

    @mode.Service.task
    async def _read(self) -> None:
        """Read what was held back before this host started."""
        for _ in range(2):
            await self._retry(self._read_once)
            await self._clock.sleep(REREAD_MS)

    async def _read_once(self) -> None:
        listing = await self._store.list(self._kind, may_be_stale=True)
        findings = []
        for stored in listing.objects:
            findings += self._read_findings(stored)
        if findings:
            self.on_read(findings)

    def _read_findings(
        self, stored: objects.StoredObject
    ) -> list[crashevidence.Finding]:
        try:
            ends = contents.decode(_DECODER, stored.content)
        except exceptions.ContentInvalid as error:
            self._log_failure(error)
            return []
        fingerprint = ids.Fingerprint(stored.name.replace(".", ":", 1))
        wall = self._clock.wall()
        return [
            crashevidence.Finding(end.crash, fingerprint, int(wall - end.at))
            for end in ends
        ]

    @mode.Service.task
    async def _write(self) -> None:
        while not self.should_stop:
            await self._has_work.wait()
            self._has_work.clear()
            await self._retry(self._write_changes)

    async def _write_changes(self) -> None:
        for fingerprint in tuple(self._ended):
            if self._is_writer(fingerprint):
                await self._store.delete(self._kind, _name(fingerprint))
                self._metrics.count(metric_types.Metric.HOLDS_STORED, "ended")
            self._ended.discard(fingerprint)
            self._stored.pop(fingerprint, None)
        for fingerprint, ends in tuple(self._held.items()):
            last = tuple(sorted(ends, key=ends.get)[-MAX_ENDS:])
            if self._stored.get(fingerprint) == last:
                continue
            if self._is_writer(fingerprint):
                await self._store.put(
                    self._kind, _name(fingerprint), self._encode(ends, last)
                )
                self._stored[fingerprint] = last
                self._metrics.count(
                    metric_types.Metric.HOLDS_STORED, "written"
                )

    def _encode(
        self, ends: crashverdicts.Ends, crashes: tuple[ids.CrashId, ...]
    ) -> bytes:
        offset = self._clock.wall() - self._clock.now()
        return msgspec.json.encode(
            [StoredEnd(crash, int(ends[crash] + offset)) for crash in crashes]
        )

    def _is_writer(self, fingerprint: ids.Fingerprint) -> bool:
        hosts = {record.host for record in self._directory.hosts()}
        return rendezvous.choose(hosts, fingerprint) == self._host

    async def _retry(
        self, call: collections_abc.Callable[[], collections_abc.Awaitable]
    ) -> None:
        """Call until the store answers."""
        delays = backoff.Backoff(MIN_RETRY_MS, MAX_RETRY_MS)
        while not self.should_stop:
            try:
                return await call()
            except exceptions.PlatformError as error:
                self._metrics.count(metric_types.Metric.HOLDS_STORED, "failed")
                self._log_failure(error)
            await self._clock.sleep(delays.next_delay_ms())

    def _log_failure(self, error: Exception) -> None:
        events.log_event(
            _LOGGER,
            events.Event.HOLDS_NOT_STORED,
            error=error,
            held=len(self._held),
        )

    @mode.Service.task
    async def _maintain(self) -> None:
        while not self.should_stop:
            await self._clock.sleep(MAINTENANCE_INTERVAL_MS)
            if self._held:
                self._has_work.set()


def _name(fingerprint: ids.Fingerprint) -> str:
    """Return the name of the object of a fingerprint."""
    return fingerprint.replace(":", ".", 1)
