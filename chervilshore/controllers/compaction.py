"""Compacts the batches of a claim log into snapshots and deletes them.

A host may crash between any two calls without harm, and another host continues
from the state that it leaves: the head names every chunk that exists, and a
batch is deleted only long after other hosts could read the head that includes
it.
"""

import collections
import logging
import random

import msgspec

from chervilshore.clients import platform as platforms
from chervilshore import clock as clocks
from chervilshore.controllers import claimreader
from chervilshore.decisions import claimkeys
from chervilshore.decisions import snapshots
from chervilshore import events
from chervilshore import exceptions
from chervilshore import ids

_LOGGER = logging.getLogger(__name__)

DELETION_DELAY_FACTOR = 2.0
"""Multiple of the grace period after which an obsolete batch is deleted; more
than 1 to tolerate clocks that run at different rates."""

MAX_DELETIONS = 200
"""Maximum batches that are listed for deletion in one maintenance run."""


class Policy(msgspec.Struct, frozen=True):
    """When a log is compacted, and how long keys are kept.

    Parameters
    ----------
    retention_ms : float
        Minimum milliseconds for which a used key is kept.
    tail_batches : int
        Batches after the snapshot at which a log is compacted.
    tail_ms : float
        Milliseconds after the last snapshot at which a log with fewer
        batches is compacted.
    """

    retention_ms: float = 86_400_000.0
    tail_batches: int = 256
    tail_ms: float = 600_000.0


class Compactor:
    """Compacts one log.

    Parameters
    ----------
    reader : ClaimReader
        Reads the log.
    clock : Clock
        Measures the age of the snapshot and the delay of deletions.
    platform : Platform
        Stores the log.
    rng : random.Random
        Generates unique names of chunks.
    policy : Policy
        When to compact, and how long to keep keys.
    grace_ms : float
        Milliseconds for which a host may rely on the end of the log that it
        has read.
    """

    def __init__(
        self,
        reader: claimreader.ClaimReader,
        clock: clocks.Clock,
        platform: platforms.Platform,
        rng: random.Random,
        policy: Policy,
        grace_ms: float,
    ) -> None:
        self._reader = reader
        self._clock = clock
        self._platform = platform
        self._rng = rng
        self._policy = policy
        self._deletion_delay_ms = grace_ms * DELETION_DELAY_FACTOR
        self._head_history: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        self._deleted_through = 0

    async def maintain(self) -> None:
        """Compact the log if that is due, and delete obsolete batches.

        Raises
        ------
        exceptions.PlatformError
            The platform did not answer, or another host wrote the head.
        claimreader.LateError
            An answer came too late to be used.
        """
        self._record_head()
        if self._is_due():
            async with self._reader.lock:
                await self._reader.refresh()
            await self._compact()
            self._record_head()
        await self._delete_obsolete()

    def _is_due(self) -> bool:
        tail = self._reader.tail_batches
        if tail >= self._policy.tail_batches:
            return True
        age = self._clock.now() - self._reader.head_seen_at
        return tail > 0 and age >= self._policy.tail_ms

    def _record_head(self) -> None:
        through = self._reader.head.through
        if not self._head_history or self._head_history[-1][1] != through:
            self._head_history.append((self._clock.now(), through))

    async def _compact(self) -> None:
        reader = self._reader
        ledger = reader.ledger
        through = ledger.position
        changed_records = ledger.copy_changed()
        chunks = snapshots.split(changed_records)
        names = tuple(f"{self._rng.getrandbits(64):016x}" for _ in chunks)
        leftover = reader.head.dropped
        elapsed_ms = self._clock.now() - reader.head_seen_at
        head = snapshots.announce(reader.head, elapsed_ms, names)
        await self._write_head(head)
        # Writing the head made any older compaction fail at its next write,
        # so no head can refer to these chunks again.
        for name in leftover:
            await self._delete(claimkeys.chunk_key(reader.shard, name))
        for name, chunk in zip(names, chunks, strict=True):
            await self._platform.create(
                claimkeys.chunk_key(reader.shard, name),
                snapshots.encode(chunk),
            )
        head = snapshots.finish(
            head, through, names, self._policy.retention_ms
        )
        await self._write_head(head)
        if reader.ledger is ledger:
            oldest = snapshots.oldest_kept_ms(head, self._policy.retention_ms)
            ledger.record_snapshot(changed_records, head.elapsed_ms, oldest)
        events.log_event(
            _LOGGER,
            events.Event.CLAIM_LOG_COMPACTED,
            shard=reader.shard,
            through=through,
            records=len(changed_records),
        )

    async def _write_head(self, head: snapshots.Head) -> None:
        reader = self._reader
        ledger = reader.ledger
        key = claimkeys.head_key(reader.shard)
        value = snapshots.encode(head)
        version = reader.head_version
        started = self._clock.now()
        try:
            if version > 0:
                version = await self._platform.update(key, value, version)
            else:
                version = await self._platform.create(key, value)
        except exceptions.PlatformUnknown:
            stored = await self._platform.get(key)
            if stored.value != value:
                raise exceptions.VersionConflict(key) from None
            version = stored.version
        if reader.ledger is not ledger:
            raise exceptions.VersionConflict(f"{key} was reloaded meanwhile")
        reader.adopt(head, version, started)

    async def _delete(self, key: str) -> None:
        try:
            stored = await self._platform.get(key)
            await self._platform.delete(key, stored.version)
        except (exceptions.ObjectMissing, exceptions.VersionConflict):
            return

    async def _delete_obsolete(self) -> None:
        deletable = self._find_deletable()
        if deletable <= self._deleted_through:
            return
        last = claimkeys.batch_key(self._reader.shard, deletable)
        prefix = claimkeys.log_prefix(self._reader.shard)
        found = await self._platform.list(prefix, page_size=MAX_DELETIONS)
        obsolete = [stored for stored in found if stored.key <= last]
        for stored in obsolete:
            try:
                await self._platform.delete(stored.key, stored.version)
            except (exceptions.ObjectMissing, exceptions.VersionConflict):
                continue
        if len(obsolete) < MAX_DELETIONS:
            self._deleted_through = deletable

    def _find_deletable(self) -> ids.Sequence:
        """Return the last batch whose snapshot is old enough to delete it."""
        latest = self._clock.now() - self._deletion_delay_ms
        deletable = self._deleted_through
        while self._head_history and self._head_history[0][0] <= latest:
            deletable = self._head_history[0][1]
            if len(self._head_history) == 1:
                break
            self._head_history.popleft()
        return ids.Sequence(deletable)
