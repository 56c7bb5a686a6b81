"""Folds old batches of a log of claims into snapshots and deletes them.

A host that dies between any two calls leaves a state from which the next
one goes on: a head names every chunk that exists, and a batch is deleted
only long after the head that made it void could be seen.
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

CLEAN_FACTOR = 2.0
"""Times the grace after which a void batch is deleted; the excess bears
clocks that run unlike."""

PAGE = 200
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
    """Compacts one log.

    Parameters
    ----------
    log : ClaimReader
        The log.
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
        of the log.
    """

    def __init__(
        self,
        log: claimreader.ClaimReader,
        clock: clocks.Clock,
        platform: platforms.Platform,
        rng: random.Random,
        policy: Policy,
        grace_ms: float,
    ) -> None:
        self._log = log
        self._clock = clock
        self._platform = platform
        self._rng = rng
        self._policy = policy
        self._clean_ms = grace_ms * CLEAN_FACTOR
        self._marks: collections.deque[tuple[float, int]] = collections.deque()
        self._cleaned = 0

    async def tend(self) -> None:
        """Compact the log if that is due, and delete what is void.

        Raises
        ------
        exceptions.PlatformError
            The platform did not answer, or another host was faster.
        claimreader.LateError
            An answer came too late to be used.
        """
        self._mark()
        if self._is_due():
            async with self._log.lock:
                await self._log.refresh()
            await self._compact()
            self._mark()
        await self._clean()

    def _is_due(self) -> bool:
        tail = self._log.tail
        if tail >= self._policy.tail_batches:
            return True
        age = self._clock.now() - self._log.head_seen
        return tail > 0 and age >= self._policy.tail_ms

    def _mark(self) -> None:
        through = self._log.head.through
        if not self._marks or self._marks[-1][1] != through:
            self._marks.append((self._clock.now(), through))

    async def _compact(self) -> None:
        log = self._log
        ledger = log.ledger
        through = ledger.position
        sealed = ledger.copy_changed()
        chunks = snapshots.split(sealed)
        names = tuple(f"{self._rng.getrandbits(64):016x}" for _ in chunks)
        leftover = log.head.dropped
        passed = self._clock.now() - log.head_seen
        head = snapshots.announce(log.head, passed, names)
        await self._write_head(head)
        # Only now can no older head come to use these any more.
        for name in leftover:
            await self._delete(claimkeys.chunk_key(log.shard, name))
        for name, chunk in zip(names, chunks, strict=True):
            await self._platform.create(
                claimkeys.chunk_key(log.shard, name),
                snapshots.encode(chunk),
            )
        head = snapshots.finish(
            head, through, names, self._policy.retention_ms
        )
        await self._write_head(head)
        if log.ledger is ledger:
            oldest = snapshots.oldest_kept_ms(head, self._policy.retention_ms)
            ledger.record_snapshot(sealed, head.elapsed_ms, oldest)
        events.log_event(
            _LOGGER,
            events.Event.CLAIM_LOG_COMPACTED,
            shard=log.shard,
            through=through,
            records=len(sealed),
        )

    async def _write_head(self, head: snapshots.Head) -> None:
        log = self._log
        ledger = log.ledger
        key = claimkeys.head_key(log.shard)
        value = snapshots.encode(head)
        version = log.head_version
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
        if log.ledger is not ledger:
            raise exceptions.VersionConflict(f"{key} was read anew")
        log.adopt(head, version, started)

    async def _delete(self, key: str) -> None:
        try:
            stored = await self._platform.get(key)
            await self._platform.delete(key, stored.version)
        except (exceptions.ObjectMissing, exceptions.VersionConflict):
            return

    async def _clean(self) -> None:
        safe = self._find_safe()
        if safe <= self._cleaned:
            return
        last = claimkeys.batch_key(self._log.shard, safe)
        prefix = claimkeys.log_prefix(self._log.shard)
        found = await self._platform.list(prefix, most=PAGE)
        void = [stored for stored in found if stored.key <= last]
        for stored in void:
            try:
                await self._platform.delete(stored.key, stored.version)
            except (exceptions.ObjectMissing, exceptions.VersionConflict):
                continue
        if len(void) < PAGE:
            self._cleaned = safe

    def _find_safe(self) -> ids.Sequence:
        latest = self._clock.now() - self._clean_ms
        safe = self._cleaned
        while self._marks and self._marks[0][0] <= latest:
            safe = self._marks[0][1]
            if len(self._marks) == 1:
                break
            self._marks.popleft()
        return ids.Sequence(safe)
