"""One host's reading of one log of claims."""

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
    """The times that a log goes by, in milliseconds.

    Parameters
    ----------
    grace_ms : float
        What a host knows of the end of a log counts this long; void
        batches stay in the platform for longer than this.
    batch_ms : float
        Least time between two batches.
    retry_ms : float
        Time after which a call that failed is made again.
    poll_ms : float
        Time between two readings while somebody waits for an outcome.
    """

    grace_ms: float = 30_000.0
    batch_ms: float = 5.0
    retry_ms: float = 50.0
    poll_ms: float = 200.0


class LateError(exceptions.ChervilshoreError):
    """What is known of the end of the log is too old to build on."""


class ClaimReader:
    """Folds the batches of a log into a ledger.

    Parameters
    ----------
    clock : Clock
        The clock.
    platform : Platform
        Where the log is.
    shard : ShardId
        Which log.
    timing : Timing
        The times that it goes by.
    on_batch : callable
        Is told each batch that was folded in.

    Attributes
    ----------
    lock : asyncio.Lock
        Held by whoever reads or writes the log.
    ledger : Ledger
        The records, as far as the log was read.
    head : Head
        The snapshot that the ledger began with.
    head_version : int
        The version of the head; 0 when there is none.
    head_seen_at : float
        When this host first saw that head.
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
        """How many batches follow the snapshot."""
        return self.ledger.position - self.head.through

    @property
    def next_key(self) -> str:
        """The key of the batch that comes next."""
        return claimkeys.batch_key(self.shard, self.ledger.position + 1)

    def apply(self, batch: claims.Batch, started_at: float) -> None:
        """Fold in the batch that comes next.

        Parameters
        ----------
        batch : Batch
            The batch.
        started_at : float
            When the call that brought or wrote it was begun.
        """
        self.ledger.apply(batch)
        self._verified_at = started_at
        self._on_batch(batch)

    def check_fresh(self) -> None:
        """Make sure that an answer of the platform may still be used.

        Later it may speak of a batch that another host has compacted and
        deleted meanwhile.

        Raises
        ------
        LateError
            The answer came too late.
        """
        if self._clock.now() - self._verified_at >= self._timing.grace_ms:
            self._verified_at = -float("inf")
            raise LateError(f"shard {self.shard}")

    async def refresh(self) -> None:
        """Make sure that what is known of the log's end may be used.

        Raises
        ------
        exceptions.PlatformError
            The platform did not answer.
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
        """Fold in the batches that others have written since.

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
                raise LateError(f"no {self.next_key}")
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
                raise LateError(f"{key} is gone") from None
            ledger.load_chunk(
                snapshots.decode_chunk(stored.value), chunk.written_ms
            )
        ledger.position = head.through
        self.adopt(head, version, now)
        self.ledger = ledger
        events.log_event(
            _LOGGER,
            events.Event.CLAIMS_LOADED,
            shard=self.shard,
            position=head.through,
            records=len(ledger.records),
        )

    def adopt(self, head: snapshots.Head, version: int, now: float) -> None:
        """Take a head as the one that the ledger stands on."""
        self.head = head
        self.head_version = version
        self.head_seen_at = now
