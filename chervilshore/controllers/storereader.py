"""Keeps the cached objects of each kind current by watching the store."""

import asyncio
from collections import abc as collections_abc
import logging
import math

import mode

from chervilshore import clock as clocks
from chervilshore.decisions import backoff
from chervilshore.decisions import objectcache
from chervilshore import events
from chervilshore import exceptions
from chervilshore import metrics as metric_types
from chervilshore import objects

WATCH_TIMEOUT_MS = 20_000.0
"""Milliseconds that one watch waits; long, because each call is billed.

Its silence proves nothing: the call or its answer may have been lost.
"""

LIST_AGAIN_DELAY_MS = 50.0
"""Milliseconds between the end of a watch without history and the listing."""

CHECKS_PER_RECOVERY = 6
"""Short calls that check the watches in the time within which the host must
be current after an outage.

A check that is lost times out, a second one finds that the store answers
again, and what changed is then read in full. An outage that loses a watch
but no check goes unnoticed, until a check of the watch's own kind returns
what it missed.
"""

MIN_RETRY_MS = 250.0
"""Milliseconds before the first retry of a failed call to the store."""

MAX_RETRY_MS = 1000.0
"""Milliseconds up to which the retry delay grows."""

_LOGGER = logging.getLogger(__name__)


class StoreReader(mode.Service):
    """Lists and watches kinds of objects and records outages of the store.

    Parameters
    ----------
    store : ObjectStore
        The platform's store.
    caches : dict of str to ObjectCache
        Where the objects of each kind go.
    watch_delays_ms : dict of str to float
        The kinds to watch, with the milliseconds between the end of a watch
        and the next one, in which further changes gather.
    clock : Clock
        Measures delays and the duration of outages.
    recovery_ms : float
        Milliseconds after an outage of the store within which the caches
        must be current.
    apply : callable
        Called with a kind whenever its cache may have changed.
    on_restore : callable
        Called when the store was restored from a copy; for each kind.
    """

    def __init__(
        self,
        store: objects.ObjectStore,
        caches: dict[str, objectcache.ObjectCache],
        watch_delays_ms: dict[str, float],
        clock: clocks.Clock,
        recovery_ms: float,
        apply: collections_abc.Callable[[str], None],
        on_restore: collections_abc.Callable[[], None],
    ) -> None:
        super().__init__()
        self._store = store
        self._caches = caches
        self._watch_delays_ms = watch_delays_ms
        self._clock = clock
        self._check_interval_ms = recovery_ms / CHECKS_PER_RECOVERY
        self._apply = apply
        self._on_restore = on_restore
        self._pending_watches: dict[str, asyncio.Future] = {}
        self._checks = {kind: asyncio.Lock() for kind in caches}
        self._listed: set[str] = set()
        self._answering = asyncio.Event()
        self._answering.set()

    async def on_start(self) -> None:
        """Start to watch the store and to check the watches."""
        for kind, delay_ms in self._watch_delays_ms.items():
            self.add_future(self._follow_kind(kind, delay_ms))
        self.add_future(self._check_watches())

    async def list(self, kind: str) -> None:
        """Read all objects of a kind into its cache.

        Raises
        ------
        exceptions.PlatformError
            The store did not answer; the outage is recorded.
        """
        try:
            listing = await self._store.list(kind)
        except exceptions.PlatformError as error:
            self._record_outage(error)
            raise
        self._record_answer(kind)
        self._replace(kind, listing)

    def _replace(self, kind: str, listing: objects.Listing) -> None:
        cache = self._caches[kind]
        before, era_before = cache.revision, cache.era
        cache.replace(listing, self._clock.now())
        self._listed.add(kind)
        if before and cache.era > era_before:
            events.log_event(
                _LOGGER,
                events.Event.STORE_RESTORED,
                kind=kind,
                **objects.describe_position(cache.revision),
                era_before=era_before,
                revision_before=objects.read_revision(before),
            )
            self._on_restore()
        self._apply(kind)

    def report(self, metrics: metric_types.Metrics) -> None:
        """Set the metrics of how long ago each kind was confirmed."""
        now = self._clock.now()
        for kind in self._watch_delays_ms:
            confirmed_at = self._caches[kind].confirmed_at
            if math.isfinite(confirmed_at):
                metrics.set(
                    metric_types.Metric.STORE_UNCONFIRMED,
                    (now - confirmed_at) / clocks.MILLIS_PER_SECOND,
                    kind,
                )

    async def _follow_kind(self, kind: str, delay_ms: float) -> None:
        retry_delays = backoff.Backoff(MIN_RETRY_MS, MAX_RETRY_MS)
        while not self.should_stop:
            await self._answering.wait()
            try:
                if kind not in self._listed:
                    await self.list(kind)
                ended = await self._watch(kind)
            except exceptions.HistoryGone as error:
                self._list_again(kind, error)
                # A store whose answers contradict each other must not keep
                # this host busy.
                await self._clock.sleep(LIST_AGAIN_DELAY_MS)
                continue
            except exceptions.PlatformError:
                await self._clock.sleep(retry_delays.next_delay_ms())
                continue
            except Exception as error:
                self._log_failure(kind, error)
                await self._clock.sleep(retry_delays.next_delay_ms())
                continue
            retry_delays.reset()
            if ended:
                await self._clock.sleep(delay_ms)

    async def _watch(self, kind: str) -> bool:
        """Wait for changes; return False if the watch was replaced."""
        cache = self._caches[kind]
        if cache.unreachable_since is not None:
            # A watch sent to a silent store would stay unanswered.
            await self._check(kind)
        # A check in progress may bring what the watch would read again.
        async with self._checks[kind]:
            call = asyncio.ensure_future(
                self._store.watch(kind, cache.revision, WATCH_TIMEOUT_MS)
            )
        self._pending_watches[kind] = call
        try:
            await asyncio.wait({call})
        finally:
            call.cancel()
            del self._pending_watches[kind]
        if call.cancelled():
            return False
        try:
            changes = call.result()
        except exceptions.HistoryGone:
            raise
        except exceptions.PlatformError as error:
            self._record_unreadable(kind, error)
            raise
        self._record_answer(kind)
        self._merge(kind, changes)
        return True

    async def _check_watches(self) -> None:
        """Check the kind that was confirmed the longest time ago, in turn."""
        while not self.should_stop:
            await self._clock.sleep(self._check_interval_ms)
            # What is arriving shows by itself whether it goes on, and would
            # only arrive later beside a second copy.
            kind = min(
                (
                    one
                    for one in self._watch_delays_ms
                    if not self._store.is_receiving(one)
                ),
                key=lambda one: self._caches[one].confirmed_at,
                default="",
            )
            try:
                self._expire_objects()
                if kind:
                    await self._check(kind)
            except exceptions.HistoryGone as error:
                self._list_again(kind, error)
            except exceptions.PlatformError:
                # The outage is recorded; the next check follows.
                continue
            except Exception as error:
                self._log_failure(kind, error)

    def _log_failure(self, kind: str, error: Exception) -> None:
        """Log an error of which the cause is not known.

        It must not end this service: no other host would tell this one what
        changes, and all kinds would be followed no more.
        """
        events.log_event(
            _LOGGER,
            events.Event.TASK_FAILED,
            task=f"follow {kind}",
            error=repr(error),
        )

    def _expire_objects(self) -> None:
        """Drop the objects that are missing for longer than their grace."""
        for kind, cache in self._caches.items():
            if cache.expire(self._clock.now()):
                self._apply(kind)

    async def _check(self, kind: str) -> None:
        """Read at once what changed, and replace a watch that missed it."""
        async with self._checks[kind]:
            await self._poll(kind)

    async def _poll(self, kind: str) -> None:
        try:
            changes = await self._store.poll(kind, self._caches[kind].revision)
        except exceptions.HistoryGone:
            self._record_answer(kind)
            raise
        except exceptions.PlatformError as error:
            self._record_outage(error)
            raise
        self._record_answer(kind)
        if changes.changes:
            self._merge(kind, changes)
            self._replace_watch(kind, "changes missed")

    def _list_again(self, kind: str, error: exceptions.HistoryGone) -> None:
        """List a kind instead of watching it; all if the store was restored.

        A watch may wait in vain: a restored store gives revisions out again.
        """
        restored = isinstance(error, exceptions.StoreRestored)
        for affected in tuple(self._caches) if restored else (kind,):
            self._listed.discard(affected)
            self._replace_watch(affected, "list again")

    def _replace_watch(self, kind: str, reason: str) -> None:
        call = self._pending_watches.get(kind)
        if call is not None:
            call.cancel()
            events.log_event(
                _LOGGER,
                events.Event.WATCH_REPLACED,
                kind=kind,
                **objects.describe_position(self._caches[kind].revision),
                reason=reason,
            )

    def _merge(self, kind: str, changes: objects.Changes) -> None:
        skipped = self._caches[kind].merge(changes, self._clock.now())
        if skipped:
            events.log_event(
                _LOGGER,
                events.Event.OLDER_OBJECTS_SKIPPED,
                kind=kind,
                **objects.describe_position(self._caches[kind].revision),
                answered=objects.read_revision(changes.revision),
                objects=skipped,
            )
        if changes.changes:
            self._apply(kind)

    def _record_outage(self, error: exceptions.PlatformError) -> None:
        """Record that the store does not answer short calls."""
        self._answering.clear()
        for kind in self._caches:
            self._record_unreadable(kind, error)

    def _record_unreadable(
        self, kind: str, error: exceptions.PlatformError
    ) -> None:
        cache = self._caches[kind]
        if cache.unreachable_since is None:
            cache.unreachable_since = self._clock.now()
            events.log_event(
                _LOGGER,
                events.Event.STORE_UNREADABLE,
                kind=kind,
                **objects.describe_position(cache.revision),
                error=error,
            )

    def _record_answer(self, kind: str) -> None:
        self._caches[kind].confirmed_at = self._clock.now()
        if self._answering.is_set():
            self._record_readable(kind)
            return
        self._answering.set()
        for known_kind in self._caches:
            self._record_readable(known_kind)
            if not self._store.is_receiving(known_kind):
                self._replace_watch(known_kind, "store answers again")

    def _record_readable(self, kind: str) -> None:
        cache = self._caches[kind]
        if cache.unreachable_since is None:
            return
        now = self._clock.now()
        events.log_event(
            _LOGGER,
            events.Event.STORE_READABLE,
            kind=kind,
            away_ms=round(now - cache.unreachable_since),
        )
        cache.unreachable_since = None
        cache.recovered_at = now
