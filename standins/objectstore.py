"""In-memory stand-in of the users' metadata store, on a given clock."""

import asyncio
import itertools

import msgspec

from chervilshore import clock as clocks
from chervilshore import exceptions
from chervilshore import objects

ANSWER_MS = 4.0
"""Milliseconds until a call is answered."""

CALL_TIMEOUT_MS = 1000.0
"""Milliseconds after which a caller gives up, beyond the time of a watch."""


class ObjectStoreFaults(msgspec.Struct):
    """Faults that the store injects.

    Parameters
    ----------
    silent : bool
        Whether calls are accepted and never answered; watches that wait
        already go on, but one that ends in this time is not answered.
    refuses : bool
        Whether calls fail at once.
    lose_watches : int
        Number of further watches whose answers are lost.
    """

    silent: bool = False
    refuses: bool = False
    lose_watches: int = 0


class Copy(msgspec.Struct):
    """The state of a store at one moment.

    Parameters
    ----------
    revision : int
        Its revision.
    objects : dict
        Its objects by kind and name.
    changes : list of tuple
        The kind and the change of each entry of its history.
    """

    revision: int
    objects: dict[str, dict[str, objects.StoredObject]]
    changes: list[tuple[str, objects.Change]]


class ObjectStore(objects.ObjectStore):
    """Stores objects by kind and name, for the hosts of one test.

    Parameters
    ----------
    clock : Clock
        Measures the time of calls and watches.

    Attributes
    ----------
    faults : ObjectStoreFaults
        The faults injected now.
    revision : int
        The revision of the last change.
    era : int
        How often the store was restored.
    calls : list of tuple
        Time, name of the method and kind of each call so far.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.faults = ObjectStoreFaults()
        self.revision = 1
        self.era = 0
        self.calls: list[tuple[float, str, str]] = []
        self._clock = clock
        self._objects: dict[str, dict[str, objects.StoredObject]] = {}
        self._changes: list[tuple[str, objects.Change]] = []
        self._history_start = 0
        self._changed = asyncio.Event()

    def copy(self) -> Copy:
        """Return a copy of what the store holds."""
        return Copy(
            self.revision,
            {kind: dict(found) for kind, found in self._objects.items()},
            list(self._changes),
        )

    def restore(self, copy: Copy) -> None:
        """Go back to a copy; watches that wait are never answered."""
        self.era += 1
        self.revision = copy.revision
        self._objects = {
            kind: dict(found) for kind, found in copy.objects.items()
        }
        self._changes = list(copy.changes)
        self._changed = asyncio.Event()

    def forget(self) -> None:
        """Discard the history; watches from before it are refused."""
        self._history_start = self.revision

    def write(self, kind: str, name: str, value: object) -> None:
        """Create or replace an object, as an operator or a worker does."""
        self.revision += 1
        found = self._objects.setdefault(kind, {})
        known = found.get(name)
        stored = objects.StoredObject(
            name,
            self.revision,
            msgspec.json.encode(value),
            objects.NO_STATUS if known is None else known.status,
            str(self.revision) if known is None else known.created,
        )
        found[name] = stored
        self._append(kind, objects.Change(stored))

    def remove(self, kind: str, name: str) -> None:
        """Remove an object that exists."""
        self.revision += 1
        stored = self._objects[kind].pop(name)
        stored = msgspec.structs.replace(stored, revision=self.revision)
        self._append(kind, objects.Change(stored, removed=True))

    def _append(self, kind: str, change: objects.Change) -> None:
        self._changes.append((kind, change))
        self._changed.set()
        self._changed = asyncio.Event()

    async def list(
        self, kind: str, may_be_stale: bool = False
    ) -> objects.Listing:
        """See `ObjectStore.list`."""
        await self._begin("stale list" if may_be_stale else "list", kind)
        found = tuple(
            self._locate(stored)
            for stored in self._objects.get(kind, {}).values()
        )
        return objects.Listing(
            found, objects.make_position(self.era, self.revision)
        )

    async def watch(
        self, kind: str, since: int, wait_ms: float
    ) -> objects.Changes:
        """See `ObjectStore.watch`."""
        began_at = self._clock.now()
        await self._begin("watch", kind, wait_ms)
        self._check_position(kind, since)
        era = self.era
        lost = self.faults.lose_watches > 0
        self.faults.lose_watches -= lost
        end_at = began_at + wait_ms
        while not (changes := self._list_changes(kind, since)):
            left_ms = end_at - self._clock.now()
            if left_ms <= 0:
                break
            try:
                await clocks.wait_for(
                    self._clock, self._changed.wait(), left_ms
                )
            except TimeoutError:
                break
        if lost or self.faults.silent or self.era != era:
            late_ms = end_at + CALL_TIMEOUT_MS - self._clock.now()
            await self._time_out(late_ms)
        return self._answer(changes)

    async def poll(self, kind: str, since: int) -> objects.Changes:
        """See `ObjectStore.poll`."""
        await self._begin("poll", kind)
        self._check_position(kind, since)
        return self._answer(self._list_changes(kind, since))

    async def put(self, kind: str, name: str, content: bytes) -> None:
        """See `ObjectStore.put`."""
        await self._begin("put", kind)
        self.write(kind, name, msgspec.Raw(content))

    async def replace(
        self, kind: str, name: str, content: bytes, revision: int
    ) -> int:
        """See `ObjectStore.replace`."""
        await self._begin("replace", kind)
        stored = self._objects.get(kind, {}).get(name)
        before = stored.revision if stored else 0
        if before != objects.read_revision(revision):
            raise exceptions.VersionConflict(name)
        self.write(kind, name, msgspec.Raw(content))
        return objects.make_position(self.era, self.revision)

    async def put_status(
        self, kind: str, stored: objects.StoredObject, status: bytes
    ) -> objects.StoredObject:
        """See `ObjectStore.put_status`."""
        await self._begin("put_status", kind)
        present = self._objects.get(kind, {}).get(stored.name)
        if present is None:
            raise exceptions.ObjectChanged(stored.name)
        if self._locate(present).revision != stored.revision:
            raise exceptions.ObjectChanged(stored.name, self._locate(present))
        if present.status != status:
            self.revision += 1
            present = msgspec.structs.replace(
                present, revision=self.revision, status=status
            )
            self._objects[kind][stored.name] = present
            self._append(kind, objects.Change(present))
        return self._locate(present)

    async def delete(self, kind: str, name: str) -> None:
        """See `ObjectStore.delete`."""
        await self._begin("delete", kind)
        if name in self._objects.get(kind, {}):
            self.remove(kind, name)

    async def close(self) -> None:
        """See `ObjectStore.close`; there is nothing to close."""

    def _check_position(self, kind: str, since: int) -> None:
        """Refuse to go on from a position that the store does not have."""
        if objects.read_era(since) < self.era:
            raise exceptions.StoreRestored(kind)
        revision = objects.read_revision(since)
        if not self._history_start <= revision <= self.revision:
            raise exceptions.HistoryGone(kind)

    def _locate(self, stored: objects.StoredObject) -> objects.StoredObject:
        """Return an object with its position in the present era."""
        position = objects.make_position(self.era, stored.revision)
        return msgspec.structs.replace(stored, revision=position)

    def _answer(self, changes: tuple[objects.Change, ...]) -> objects.Changes:
        return objects.Changes(
            tuple(
                objects.Change(self._locate(change.object), change.removed)
                for change in changes
            ),
            objects.make_position(self.era, self.revision),
        )

    def _list_changes(
        self, kind: str, since: int
    ) -> tuple[objects.Change, ...]:
        since = objects.read_revision(since)
        changes = itertools.takewhile(
            lambda entry: entry[1].object.revision > since,
            reversed(self._changes),
        )
        found = [change for of_kind, change in changes if of_kind == kind]
        return tuple(reversed(found))

    async def _begin(self, call: str, kind: str, wait_ms: float = 0.0) -> None:
        self.calls.append((self._clock.now(), call, kind))
        await self._clock.sleep(ANSWER_MS)
        if self.faults.silent:
            await self._time_out(wait_ms + CALL_TIMEOUT_MS - ANSWER_MS)
        if self.faults.refuses:
            raise exceptions.PlatformUnavailable("refused")

    async def _time_out(self, millis: float) -> None:
        await self._clock.sleep(millis)
        raise exceptions.PlatformUnavailable("timeout")
