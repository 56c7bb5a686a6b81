"""Folds old batches of a log of claims into snapshots and deletes them.

A host that dies between any two calls leaves a state from which the next
one goes on: a head names every chunk that exists, and a batch is deleted
only long after the head that made it obsolete could be seen.
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
"""Times the grace after which a obsolete batch is deleted; the excess bears
clocks that run unlike."""

MAX_DELETIONS = 200
"""Batches that are deleted in one go."""


class Policy(msgspec.Struct, frozen=True):
    """When a log is compacted and what is forgotten.

    Parameters
    ----------
    retention_ms : float
        Least milliseconds for which a used key is known.
    tail_batches : int
        Batches after which a log is compacted.
    tail_ms : float
        Milliseconds after which also a short log is compacted.
    """

    retention_ms: float = 86_400_000.0
    tail_batches: int = 256
    tail_ms: float = 600_000.0


class Compactor:
    """Compacts one reader.

    Parameters
    ----------
    log : ClaimReader
        The reader.
    clock : Clock
        The clock.
    platform : Platform
        Where the log is.
    rng : random.Random
        Makes the names of chunks unique.
    policy : Policy
        When to compact and what to forget.
    grace_ms : float
        Milliseconds for which a host builds on what it knows of the end
        of the reader.
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
        """Compact the log if that is due, and delete what is obsolete.

        Raises
        ------
        exceptions.PlatformError
            The platform did not answer, or another host was faster.
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
        # Only now can no older head come to use these any more.
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
            events.Event.CLAIMS_COMPACTED,
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
            raise exceptions.VersionConflict(f"{key} was read anew")
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
        found = await self._platform.list(prefix, most=MAX_DELETIONS)
        obsolete = [stored for stored in found if stored.key <= last]
        for stored in obsolete:
            try:
                await self._platform.delete(stored.key, stored.version)
            except (exceptions.ObjectMissing, exceptions.VersionConflict):
                continue
        if len(obsolete) < MAX_DELETIONS:
            self._deleted_through = deletable

    def _find_deletable(self) -> ids.Sequence:
        latest = self._clock.now() - self._deletion_delay_ms
        deletable = self._deleted_through
        while self._head_history and self._head_history[0][0] <= latest:
            deletable = self._head_history[0][1]
            if len(self._head_history) == 1:
                break
            self._head_history.popleft()
        return ids.Sequence(deletable)
