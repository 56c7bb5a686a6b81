"""Reads the log of one shard and derives the records of its claims."""

import asyncio
from collections import abc
import logging

import msgspec

from chervilshore.clients import platform as platforms
from chervilshore import clock as clocks
from chervilshore.decisions import claimkeys
from chervilshore.decisions import claims
from chervilshore.decisions import ledger as ledgers
from chervilshore.decisions import snapshots
from chervilshore import events
from chervilshore import exceptions
from chervilshore import ids

_LOGGER = logging.getLogger(__name__)


class Timing(msgspec.Struct, frozen=True):
    """Intervals of a log.

    Parameters
    ----------
    grace_ms : float
        Milliseconds for which a host may rely on the end of the log that it
        has read. Obsolete batches are kept for longer than this.
    batch_ms : float
        Minimum milliseconds between two batches of one host.
    retry_ms : float
        Milliseconds until a failed platform call is retried.
    poll_ms : float
        Milliseconds between two reads while callers wait for an outcome.
    """

    grace_ms: float = 30_000.0
    batch_ms: float = 5.0
    retry_ms: float = 50.0
    poll_ms: float = 200.0


class LateError(exceptions.ChervilshoreError):
    """The known end of the log is too old to rely on."""


class ClaimReader:
    """Loads the snapshot of a log and replays the batches that follow it.

    Parameters
    ----------
    clock : Clock
        Measures the age of what was read.
    platform : Platform
        Stores the log.
    shard : ShardId
        The shard of the log.
    timing : Timing
        Intervals of the log.
    on_batch : callable
        Called with each batch after it was applied to the ledger.

    Attributes
    ----------
    lock : asyncio.Lock
        Must be held while the log is read or written.
    ledger : Ledger
        The records up to the last batch that was read.
    head : Head
        The current snapshot, as far as this host knows.
    head_version : int
        Version of the head's object at the platform; 0 if there is none,
        -1 before the first read.
    head_seen_at : float
        Time in milliseconds at which this host first saw that head.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        platform: platforms.Platform,
        shard: ids.ShardId,
        timing: Timing,
        on_batch: abc.Callable[[claims.Batch], None],
    ) -> None:
        self.shard = shard
        self.lock = asyncio.Lock()
        self.ledger = ledgers.Ledger()
        self.head = snapshots.Head()
        self.head_version = -1
        self.head_seen_at = clock.now()
        self._clock = clock
        self._platform = platform
        self._timing = timing
        self._on_batch = on_batch
        self._verified_at = -float("inf")

    @property
    def tail_batches(self) -> int:
        """Number of batches after the snapshot."""
        return self.ledger.position - self.head.through

    @property
    def next_key(self) -> str:
        """Object key of the next batch."""
        return claimkeys.batch_key(self.shard, self.ledger.position + 1)

    def apply(self, batch: claims.Batch, started_at: float) -> None:
        """Apply the next batch to the ledger.

        Parameters
        ----------
        batch : Batch
            The batch.
        started_at : float
            Time in milliseconds at which the platform call that read or
            wrote it started.
        """
        self.ledger.apply(batch)
        self._verified_at = started_at
        self._on_batch(batch)

    def check_fresh(self) -> None:
        """Check that an answer of the platform arrived in time to be used.

        After the grace period another host may have compacted and deleted
        batches. A create could then succeed with the key of a deleted
        batch, and a list could miss batches.

        Raises
        ------
        LateError
            The grace period is over.
        """
        if self._clock.now() - self._verified_at >= self._timing.grace_ms:
            self._verified_at = -float("inf")
            raise LateError(f"shard {self.shard}")

    async def refresh(self) -> None:
        """Read the log again if half of the grace period has passed.

        Raises
        ------
        exceptions.PlatformError
            The platform did not answer.
        LateError
            The answer came too late to be used.
        """
        now = self._clock.now()
        if now - self._verified_at < self._timing.grace_ms / 2:
            return
        head, version = await self._read_head()
        if version != self.head_version:
            await self._load_snapshot(head, version, now)
        self._verified_at = now
        await self.read_new_batches()

    async def read_new_batches(self) -> None:
        """Read and apply the batches that were written since the last read.

        Raises
        ------
        exceptions.PlatformError
            The platform did not answer.
        LateError
            The answer came too late to be used.
        """
        more = True
        while more:
            more = await self._read_page()

    async def _read_page(self) -> bool:
        started_at = self._clock.now()
        found = await self._platform.list(
            claimkeys.log_prefix(self.shard),
            claimkeys.batch_key(self.shard, self.ledger.position),
        )
        self.check_fresh()
        for stored in found:
            if stored.key != self.next_key:
                self._verified_at = -float("inf")
                raise LateError(f"{self.next_key} is missing")
            self.apply(claims.decode_batch(stored.value), started_at)
        self._verified_at = started_at
        return bool(found)

    async def _read_head(self) -> tuple[snapshots.Head, int]:
        try:
            stored = await self._platform.get(claimkeys.head_key(self.shard))
        except exceptions.ObjectMissing:
            return snapshots.Head(), 0
        return snapshots.decode_head(stored.value), stored.version

    async def _load_snapshot(
        self, head: snapshots.Head, version: int, now: float
    ) -> None:
        ledger = ledgers.Ledger()
        for chunk in head.chunks:
            key = claimkeys.chunk_key(self.shard, chunk.name)
            try:
                stored = await self._platform.get(key)
            except exceptions.ObjectMissing:
                raise LateError(f"{key} is missing") from None
            ledger.load_chunk(
                snapshots.decode_chunk(stored.value), chunk.written_ms
            )
        ledger.position = head.through
        self.adopt(head, version, now)
        self.ledger = ledger
        events.log_event(
            _LOGGER,
            events.Event.CLAIM_LOG_LOADED,
            shard=self.shard,
            position=head.through,
            records=len(ledger.records),
        )

    def adopt(self, head: snapshots.Head, version: int, now: float) -> None:
        """Record a head as the current snapshot.

        Parameters
        ----------
        head : Head
            The head that this host read or wrote.
        version : int
            Its version at the platform.
        now : float
            Time in milliseconds at which the call that read or wrote it
            started.
        """
        self.head = head
        self.head_version = version
        self.head_seen_at = now
