"""Writes claims, outcomes and releases to the log of one shard."""

import asyncio
from collections import abc
import logging

import msgspec

from chervilshore.clients import platform as platforms
from chervilshore import clock as clocks
from chervilshore.controllers import claimreader
from chervilshore.decisions import claims
from chervilshore import events
from chervilshore import exceptions
from chervilshore import ids
from chervilshore import metrics as metrics_module

_LOGGER = logging.getLogger(__name__)

MAX_BATCH_BYTES = 900_000
"""Maximum bytes of a batch; the platform limits a value to a megabyte."""

MAX_QUEUED_ENTRIES = 10_000
"""Maximum queued entries of one log; further claims stay pending."""


class ClaimLog:
    """One host's access to the log of a shard.

    Queued entries are written in batches by a worker task, which runs while
    entries are queued or callers wait. It makes one platform call at a time.

    Parameters
    ----------
    host : HostId
        This host, recorded as the writer of its batches.
    clock : Clock
        Measures intervals and timeouts.
    platform : Platform
        Stores the log.
    shard : ShardId
        The shard of the log.
    timing : Timing
        Intervals of reads, writes and retries.
    metrics : Metrics or None
        Counts batches and entries.

    Attributes
    ----------
    reader : ClaimReader
        Reads the log and derives the records.
    last_used_at : float
        Time in milliseconds of the last call that submitted an entry.
    """

    def __init__(
        self,
        host: ids.HostId,
        clock: clocks.Clock,
        platform: platforms.Platform,
        shard: ids.ShardId,
        timing: claimreader.Timing,
        metrics: metrics_module.Metrics | None = None,
    ) -> None:
        self.reader = claimreader.ClaimReader(
            clock, platform, shard, timing, self._handle_batch
        )
        self.last_used_at = clock.now()
        self._host = host
        self._clock = clock
        self._platform = platform
        self._timing = timing
        self._metrics = metrics
        self._last_write_at = -float("inf")
        self._queued: dict[tuple, claims.Entry] = {}
        self._maybe_sent: set[tuple] = set()
        self._changed = asyncio.get_running_loop().create_future()
        self._wake = asyncio.Event()
        self._waiter_count = 0
        self._worker: asyncio.Task | None = None

    @property
    def is_busy(self) -> bool:
        """Whether entries are queued or callers wait for a change."""
        return bool(self._queued or self._waiter_count)

    @property
    def queued_count(self) -> int:
        """Number of entries that wait to be written."""
        return len(self._queued)

    async def submit_claim(
        self, claim: claims.Claim, hold_ms: float
    ) -> claims.Verdict:
        """Write a claim to the log and return the verdict on it.

        Parameters
        ----------
        claim : Claim
            The claim; the same one may be submitted again.
        hold_ms : float
            Milliseconds to wait while the verdict is open or pending.

        Returns
        -------
        Verdict
            The verdict at the end of the wait; still open or pending if it
            was not decided in time.
        """
        self.last_used_at = self._clock.now()
        self._waiter_count += 1
        try:
            await self._wait_until(
                lambda: (
                    self._evaluate_or_enqueue(claim).state
                    not in claims.UNDECIDED
                ),
                hold_ms,
            )
        finally:
            self._waiter_count -= 1
        return self.reader.ledger.evaluate(claim)

    async def store(self, entry: claims.Entry, hold_ms: float) -> bool:
        """Write an outcome or a release to the log.

        Returns
        -------
        bool
            Whether it was written within `hold_ms` milliseconds. If not, it
            stays queued.
        """
        self.last_used_at = self._clock.now()
        if self.reader.ledger.is_recorded(entry):
            return True
        self._enqueue(entry)
        return await self._wait_until(
            lambda: _entry_id(entry) not in self._queued, hold_ms
        )

    def withdraw_claim(self, claim: claims.Claim) -> bool:
        """Remove a claim from the queue.

        Returns
        -------
        bool
            Whether it is certain that this host has not sent the claim to
            the platform.
        """
        entry_id = _entry_id(claim)
        was_queued = self._queued.pop(entry_id, None) is not None
        return was_queued and entry_id not in self._maybe_sent

    def stop(self) -> None:
        """Cancel the worker that reads and writes the log."""
        if self._worker is not None:
            self._worker.cancel()

    def _evaluate_or_enqueue(self, claim: claims.Claim) -> claims.Verdict:
        verdict = self.reader.ledger.evaluate(claim)
        if verdict.state is claims.VerdictState.PENDING:
            if len(self._queued) < MAX_QUEUED_ENTRIES:
                self._enqueue(claim)
        self._ensure_worker()
        return verdict

    def _enqueue(self, entry: claims.Entry) -> None:
        self._queued.setdefault(_entry_id(entry), entry)
        self._wake.set()
        self._ensure_worker()

    def _ensure_worker(self) -> None:
        if self._worker is None or self._worker.done():
            self._worker = asyncio.ensure_future(self._run_worker())

    async def _wait_until(
        self, is_done: abc.Callable[[], bool], millis: float
    ) -> bool:
        if is_done():
            return True
        timer = asyncio.ensure_future(self._clock.sleep(millis))
        try:
            while not timer.done():
                await asyncio.wait(
                    {timer, self._changed},
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if is_done():
                    return True
            return False
        finally:
            timer.cancel()

    def _notify_waiters(self) -> None:
        self._changed.set_result(None)
        self._changed = asyncio.get_running_loop().create_future()

    async def _run_worker(self) -> None:
        while self.is_busy:
            try:
                async with self.reader.lock:
                    await self._read_and_write()
            except (
                claimreader.LateError,
                exceptions.PlatformError,
                msgspec.DecodeError,
            ) as error:
                self._log_failure(error)
                await self._clock.sleep(self._timing.retry_ms)
                continue
            if not self._queued and self._waiter_count:
                await self._wait_for_entries()

    def _log_failure(self, error: Exception) -> None:
        event = events.Event.CLAIM_LOG_UNWRITABLE
        if isinstance(error, claimreader.LateError):
            event = events.Event.CLAIM_LOG_LATE
        events.log_event(
            _LOGGER, event, shard=self.reader.shard, error=type(error).__name__
        )

    async def _wait_for_entries(self) -> None:
        self._wake.clear()
        try:
            await clocks.wait_for(
                self._clock, self._wake.wait(), self._timing.poll_ms
            )
        except TimeoutError:
            return

    async def _read_and_write(self) -> None:
        await self.reader.refresh()
        self._drop_recorded()
        if not self._queued:
            await self.reader.read_new_batches()
            return
        remaining_ms = (
            self._last_write_at + self._timing.batch_ms - self._clock.now()
        )
        if remaining_ms > 0:
            await self._clock.sleep(remaining_ms)
        if self._queued:
            await self._append()

    async def _append(self) -> None:
        batch = claims.Batch(
            self._host,
            claims.select_batch(self._queued.values(), MAX_BATCH_BYTES),
        )
        self._maybe_sent.update(_entry_id(entry) for entry in batch.entries)
        started = self._clock.now()
        self._last_write_at = started
        try:
            await self._platform.create(
                self.reader.next_key, claims.encode_batch(batch)
            )
        except exceptions.VersionConflict:
            self._count_batch("conflict", 0)
            await self.reader.read_new_batches()
            return
        self.reader.check_fresh()
        self._count_batch("stored", len(batch.entries))
        self.reader.apply(batch, started)

    def _count_batch(self, outcome: str, entries: int) -> None:
        if self._metrics is None:
            return
        metric = metrics_module.Metric
        self._metrics.count(metric.CLAIM_BATCHES, outcome)
        self._metrics.count(metric.CLAIM_ENTRIES, by=entries)

    def _handle_batch(self, batch: claims.Batch) -> None:
        for entry in batch.entries:
            self._queued.pop(_entry_id(entry), None)
        self._drop_recorded()

    def _drop_recorded(self) -> None:
        recorded = [
            entry_id
            for entry_id, entry in self._queued.items()
            if self.reader.ledger.is_recorded(entry)
        ]
        for entry_id in recorded:
            del self._queued[entry_id]
        # Only `withdraw_claim` reads this set, and only for queued entries.
        self._maybe_sent.intersection_update(self._queued)
        self._notify_waiters()


def _entry_id(entry: claims.Entry) -> tuple:
    return (type(entry), entry.claim)
