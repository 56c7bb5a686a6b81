"""A store that a few hosts of each failure domain read for the others.

Readers watch the store. The other hosts of their domain, the followers, ask a
reader what has changed, and ask the store itself as soon as the reader cannot
tell.
"""

import asyncio
import logging

import mode

from chervilshore import catalogmessages
from chervilshore.clients import peers as peer_types
from chervilshore import clock as clocks
from chervilshore.controllers import membership as memberships
from chervilshore.decisions import changelog
from chervilshore.decisions import storereaders
from chervilshore import events
from chervilshore import exceptions
from chervilshore import ids
from chervilshore import objects
from chervilshore import records

READ_WAIT_MS = 800.0
"""Milliseconds for which a reader holds a request while nothing changes."""

READ_TIMEOUT_MS = 250.0
"""Milliseconds to wait for a reply beyond that."""

MAX_AGE_MS = 1500.0
"""Milliseconds without an answer of the store after which a reader no longer
tells its followers that nothing has changed."""

FALLBACK_WAIT_MS = 5000.0
"""Milliseconds for which a follower watches the store before it asks a reader
again."""

SETTLE_MS = 2000.0
"""Milliseconds after a failed call in which a follower only polls, so that
its reader can reach the store again; hosts that all watched it for themselves
would load a store that has just come back."""

IDLE_MS = 500.0
"""Milliseconds between two checks whether there is a reader to follow."""

MAX_CHANGES_BYTES = 65_536
"""Content of changes in one reply; followers read more in the store, as the
links of hosts are small."""

_LOGGER = logging.getLogger(__name__)


class SharedStore(mode.Service, objects.ObjectStore):
    """The store as one host reads it, directly or through a reader.

    Parameters
    ----------
    store : ObjectStore
        The store itself.
    readers : int
        Readers of each failure domain; 0 lets each host read directly.
    membership : Membership
        Lists the hosts.
    peers : PeerTransport
        Sends and receives the messages.
    clock : Clock
        Measures waits and ages.
    """

    def __init__(
        self,
        store: objects.ObjectStore,
        readers: int,
        membership: memberships.Membership,
        peers: peer_types.PeerTransport,
        clock: clocks.Clock,
    ) -> None:
        super().__init__()
        self._store = store
        self._membership = membership
        self._peers = peers
        self._clock = clock
        me = membership.me
        self._choice = storereaders.ReaderChoice(me.host, me.domain, readers)
        self._logs: dict[str, changelog.ChangeLog] = {}
        self._watched: set[str] = set()
        self._unfollowed: set[str] = set()
        """Kinds that this host has to read directly once."""
        self._reader = ids.HostId("")
        """The reader that is followed; empty while the store is read."""
        self._answered_at: float | None = None
        """When the store last answered; None after a failed call."""
        self._settled_at = 0.0
        self._news = asyncio.Event()

    async def on_start(self) -> None:
        """Start to answer followers, and to follow a reader."""
        self._peers.handle(catalogmessages.ReadRequest, self._handle_request)
        self.add_future(self._follow())

    # The store.

    def is_receiving(self, kind: str) -> bool:
        """See `ObjectStore.is_receiving`."""
        return self._store.is_receiving(kind)

    async def list(
        self, kind: str, may_be_stale: bool = False
    ) -> objects.Listing:
        """Read the store itself; see `ObjectStore.list`."""
        listing = await self._call(self._store.list(kind, may_be_stale))
        if may_be_stale:
            return listing
        self._logs.setdefault(kind, changelog.ChangeLog()).replace(listing)
        self._announce()
        return listing

    async def watch(
        self, kind: str, since: int, wait_ms: float
    ) -> objects.Changes:
        """Wait for changes, also through a reader; see `ObjectStore.watch`."""
        self._watched.add(kind)
        log = self._logs.setdefault(kind, changelog.ChangeLog())
        if since > log.position:
            log.reset(since)
        end_at = self._clock.now() + wait_ms
        while kind not in self._unfollowed and self._may_follow():
            changes = log.read(since)
            if changes is None:
                break
            now = self._clock.now()
            if changes.changes or now >= end_at:
                return changes
            wait_until = end_at if self._reader else self._settled_at
            await self._wait_for_news(min(end_at, wait_until) - now)
        if self._is_follower():
            # If the store is away, this is found out at a low price.
            changes = await self._call(self._store.poll(kind, since))
            if changes.changes:
                self._record(kind, since, changes)
                return changes
            wait_ms = min(wait_ms, FALLBACK_WAIT_MS)
        changes = await self._call(self._store.watch(kind, since, wait_ms))
        self._unfollowed.discard(kind)
        self._record(kind, since, changes)
        return changes

    async def poll(self, kind: str, since: int) -> objects.Changes:
        """Read changes at once; see `ObjectStore.poll`.

        A reader that is followed has told them. A watch of before it was
        followed may wait in vain for an answer of the store.
        """
        if self._reader and kind not in self._unfollowed:
            log = self._logs.get(kind)
            changes = None if log is None else log.read(since)
            if changes is not None:
                return changes
        changes = await self._call(self._store.poll(kind, since))
        self._record(kind, since, changes)
        return changes

    async def put(self, kind: str, name: str, content: bytes) -> None:
        """See `ObjectStore.put`."""
        await self._store.put(kind, name, content)

    async def replace(
        self, kind: str, name: str, content: bytes, revision: int
    ) -> int:
        """See `ObjectStore.replace`."""
        return await self._store.replace(kind, name, content, revision)

    async def put_status(
        self, kind: str, stored: objects.StoredObject, status: bytes
    ) -> objects.StoredObject:
        """See `ObjectStore.put_status`."""
        return await self._store.put_status(kind, stored, status)

    async def delete(self, kind: str, name: str) -> None:
        """See `ObjectStore.delete`."""
        await self._store.delete(kind, name)

    async def close(self) -> None:
        """See `ObjectStore.close`."""
        await self._store.close()

    def _is_follower(self) -> bool:
        return self._choice.is_follower(self._membership.hosts())

    def _may_follow(self) -> bool:
        """Return whether a reader tells changes, or may do so soon."""
        if self._reader:
            return True
        return self._clock.now() < self._settled_at and self._is_follower()

    async def _call(self, call):
        """Await a call to the store, and record whether it answers."""
        try:
            result = await call
        except exceptions.HistoryGone:
            self._answered_at = self._clock.now()
            raise
        except exceptions.PlatformError:
            self._answered_at = None
            self._settled_at = self._clock.now() + SETTLE_MS
            # Followers are told at once that this host is blind.
            self._announce()
            raise
        self._answered_at = self._clock.now()
        return result

    def _record(self, kind: str, since: int, changes: objects.Changes) -> None:
        log = self._logs.setdefault(kind, changelog.ChangeLog())
        log.extend(since, changes)
        if changes.changes:
            self._announce()

    def _announce(self) -> None:
        self._news.set()
        self._news = asyncio.Event()

    async def _wait_for_news(self, wait_ms: float) -> None:
        try:
            await clocks.wait_for(self._clock, self._news.wait(), wait_ms)
        except TimeoutError:
            return

    # Readers.

    async def _handle_request(
        self, sender: ids.Address, request: catalogmessages.ReadRequest
    ) -> catalogmessages.ReadReply:
        """Tell a follower what has changed, once something has."""
        end_at = self._clock.now() + min(request.wait_ms, READ_WAIT_MS)
        while True:
            age_ms = self._measure_age()
            if age_ms is None:
                return catalogmessages.ReadReply(None)
            kinds = tuple(
                changes
                for kind, revision in request.revisions.items()
                if (changes := self._read_log(kind, revision)) is not None
            )
            left_ms = end_at - self._clock.now()
            if kinds or left_ms <= 0:
                return catalogmessages.ReadReply(age_ms, kinds)
            await self._wait_for_news(min(left_ms, MAX_AGE_MS - age_ms))

    def _measure_age(self) -> float | None:
        """Return how long ago the store answered; None if it is too long."""
        if self._answered_at is None or self._is_follower():
            return None
        age_ms = self._clock.now() - self._answered_at
        return age_ms if age_ms < MAX_AGE_MS else None

    def _read_log(
        self, kind: str, since: int
    ) -> catalogmessages.KindChanges | None:
        """Return what a follower must know of a kind; None for nothing."""
        log = self._logs.get(kind)
        changes = None if log is None else log.read(since)
        if changes is None:
            return catalogmessages.KindChanges(kind, since, None)
        if not changes.changes:
            return None
        size = objects.measure(change.object for change in changes.changes)
        if size > MAX_CHANGES_BYTES:
            return catalogmessages.KindChanges(kind, since, None)
        return catalogmessages.KindChanges(
            kind, changes.revision, changes.changes
        )

    # Followers.

    async def _follow(self) -> None:
        """Ask readers for changes, one after another."""
        while not self.should_stop:
            revisions = {
                kind: log.position
                for kind, log in self._logs.items()
                if kind in self._watched and kind not in self._unfollowed
            }
            reader = self._choice.choose(
                self._membership.hosts(), self._clock.now()
            )
            if reader is None or not revisions:
                self._set_reader(ids.HostId(""))
                await self._clock.sleep(IDLE_MS)
            else:
                await self._ask(reader, revisions)

    async def _ask(
        self, reader: records.HostRecord, revisions: dict[str, int]
    ) -> None:
        # A reader that is asked for the first time answers at once, so that
        # one that cannot tell costs little time.
        wait_ms = READ_WAIT_MS if reader.host == self._reader else 0.0
        request = catalogmessages.ReadRequest(revisions, wait_ms)
        try:
            reply = await self._peers.send_request(
                reader.peer_address, request, wait_ms + READ_TIMEOUT_MS
            )
        except exceptions.PeerError as error:
            self._leave(reader, str(error), storereaders.AVOID_MS)
            return
        if (
            not isinstance(reply, catalogmessages.ReadReply)
            or reply.age_ms is None
        ):
            reason = "the reader does not reach the store"
            self._leave(reader, reason, storereaders.BLIND_MS)
            return
        for kind_changes in reply.kinds:
            self._apply(kind_changes, revisions)
        self._set_reader(reader.host)
        self._announce()

    def _apply(
        self,
        kind_changes: catalogmessages.KindChanges,
        revisions: dict[str, int],
    ) -> None:
        kind = kind_changes.kind
        if kind not in revisions:
            return
        if kind_changes.changes is None:
            self._unfollowed.add(kind)
            return
        changes = objects.Changes(kind_changes.changes, kind_changes.revision)
        self._logs[kind].extend(revisions[kind], changes)

    def _leave(
        self, reader: records.HostRecord, reason: str, millis: float
    ) -> None:
        self._choice.avoid(reader.host, self._clock.now(), millis)
        if reader.host == self._reader:
            self._set_reader(ids.HostId(""), reason)

    def _set_reader(self, reader: ids.HostId, reason: str = "") -> None:
        if reader == self._reader:
            return
        self._reader = reader
        events.log_event(
            _LOGGER, events.Event.STORE_SOURCE, reader=reader, reason=reason
        )
        self._announce()
