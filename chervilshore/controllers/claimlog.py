"""One host's reading and writing of one log of claims."""

import asyncio
import logging

import msgspec

from chervilshore.clients import platform as platforms
from chervilshore import clock as clocks
from chervilshore.decisions import claims
from chervilshore.decisions import snapshots
from chervilshore import events
from chervilshore import exceptions
from chervilshore import ids
from chervilshore import metrics as metrics_module

_LOGGER = logging.getLogger(__name__)

BATCH_BYTES = 900_000
"""Bytes of a batch; the platform takes a megabyte in one value."""

MOST_WAITING = 10_000
"""Entries that wait for one log at most; more claims stay pending."""


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

    grace_ms: float = 60_000.0
    batch_ms: float = 5.0
    retry_ms: float = 50.0
    poll_ms: float = 200.0


class LateError(exceptions.ChervilshoreError):
    """What is known of the end of the log is too old to build on."""


def log_prefix(shard: ids.ShardId) -> str:
    """Tell how the keys of a log's batches begin."""
    return f"claims/{shard:04d}/"


def batch_key(shard: ids.ShardId, sequence: int) -> str:
    """Tell the key of a batch."""
    return f"{log_prefix(shard)}{sequence:012d}"


def head_key(shard: ids.ShardId) -> str:
    """Tell the key of the head of a shard's snapshot."""
    return f"claimheads/{shard:04d}"


def chunk_key(shard: ids.ShardId, name: str) -> str:
    """Tell the key of a chunk of a shard's snapshot."""
    return f"claimchunks/{shard:04d}/{name}"


class ClaimLog:
    """A log of claims as one host sees it.

    All calls to the platform for this log are made one after another.

    Parameters
    ----------
    host : HostId
        This host.
    clock : Clock
        The clock.
    platform : Platform
        Where the log is.
    shard : ShardId
        Which log.
    timing : Timing
        The times that it goes by.
    metrics : Metrics or None
        Where batches are counted.

    Attributes
    ----------
    ledger : Ledger
        The records, as far as the log was read.
    head : Head
        The snapshot that the ledger began with.
    head_version : int
        The version of the head; 0 when there is none.
    head_seen : float
        When this host first saw that head.
    used : float
        When this log was last asked for anything.
    """

    def __init__(
        self,
        host: ids.HostId,
        clock: clocks.Clock,
        platform: platforms.Platform,
        shard: ids.ShardId,
        timing: Timing,
        metrics: metrics_module.Metrics | None = None,
    ) -> None:
        self.shard = shard
        self.ledger = claims.Ledger()
        self.head = snapshots.Head()
        self.head_version = -1
        self.head_seen = clock.now()
        self.used = clock.now()
        self.lock = asyncio.Lock()
        self._host = host
        self._clock = clock
        self._platform = platform
        self._timing = timing
        self._metrics = metrics
        self._verified = -float("inf")
        self._written = -float("inf")
        self._waiting: dict[tuple, claims.Entry] = {}
        self._maybe_sent: set[tuple] = set()
        self._changed = asyncio.Event()
        self._wake = asyncio.Event()
        self._watchers = 0
        self._worker: asyncio.Task | None = None

    @property
    def busy(self) -> bool:
        """Whether entries wait to be written or somebody waits."""
        return bool(self._waiting or self._watchers)

    @property
    def waiting(self) -> int:
        """How many entries wait to be written."""
        return len(self._waiting)

    @property
    def tail(self) -> int:
        """How many batches follow the snapshot."""
        return self.ledger.position - self.head.through

    async def decide(
        self, claim: claims.Claim, hold_ms: float
    ) -> claims.Verdict:
        """Bring a claim into the log and tell what the log says.

        Parameters
        ----------
        claim : Claim
            The claim; the same one may be brought again.
        hold_ms : float
            Milliseconds to wait while the verdict is open or pending.

        Returns
        -------
        Verdict
            The last word within that time.
        """
        self.used = self._clock.now()
        end = self.used + hold_ms
        verdict = self._judge(claim)
        self._watchers += 1
        try:
            while verdict.state in claims.WAITING:
                left = end - self._clock.now()
                if left <= 0:
                    break
                await self._wait_for_change(left)
                verdict = self._judge(claim)
        finally:
            self._watchers -= 1
        return verdict

    async def store(self, entry: claims.Entry, hold_ms: float) -> bool:
        """Bring an outcome or a release into the log.

        Returns
        -------
        bool
            Whether the log holds it within the time; if not, it goes on
            being tried.
        """
        self.used = self._clock.now()
        end = self.used + hold_ms
        if self.ledger.holds(entry):
            return True
        self._enqueue(entry)
        while _name(entry) in self._waiting:
            left = end - self._clock.now()
            if left <= 0:
                return False
            await self._wait_for_change(left)
        return True

    def withdraw(self, claim: claims.Claim) -> bool:
        """Take back a claim that waits.

        Returns
        -------
        bool
            Whether it is certain that this host has not sent it.
        """
        name = _name(claim)
        waited = self._waiting.pop(name, None) is not None
        return waited and name not in self._maybe_sent

    def stop(self) -> None:
        """Stop writing and reading."""
        if self._worker is not None:
            self._worker.cancel()

    def _judge(self, claim: claims.Claim) -> claims.Verdict:
        verdict = self.ledger.judge(claim)
        if verdict.state is claims.VerdictState.PENDING:
            if len(self._waiting) < MOST_WAITING:
                self._enqueue(claim)
        self._ensure_worker()
        return verdict

    def _enqueue(self, entry: claims.Entry) -> None:
        self._waiting.setdefault(_name(entry), entry)
        self._wake.set()
        self._ensure_worker()

    def _ensure_worker(self) -> None:
        if self._worker is None or self._worker.done():
            self._worker = asyncio.ensure_future(self._work())

    async def _wait_for_change(self, millis: float) -> None:
        try:
            await clocks.wait_for(self._clock, self._changed.wait(), millis)
        except TimeoutError:
            return

    def _tell_change(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _work(self) -> None:
        while self.busy:
            try:
                async with self.lock:
                    await self._step()
            except (LateError, exceptions.PlatformError) as error:
                self._report(error)
                await self._clock.sleep(self._timing.retry_ms)
                continue
            if not self._waiting and self._watchers:
                await self._wait_for_work()

    def _report(self, error: Exception) -> None:
        event = events.Event.CLAIMS_BLOCKED
        if isinstance(error, LateError):
            event = events.Event.CLAIMS_LATE
        events.log_event(
            _LOGGER, event, shard=self.shard, error=type(error).__name__
        )

    async def _wait_for_work(self) -> None:
        self._wake.clear()
        try:
            await clocks.wait_for(
                self._clock, self._wake.wait(), self._timing.poll_ms
            )
        except TimeoutError:
            return

    async def _step(self) -> None:
        await self.refresh()
        self._drop_held()
        if not self._waiting:
            await self.read_on()
            return
        left = self._written + self._timing.batch_ms - self._clock.now()
        if left > 0:
            await self._clock.sleep(left)
        if self._waiting:
            await self._append()

    async def _append(self) -> None:
        batch = claims.Batch(
            self._host,
            claims.take_batch(self._waiting.values(), BATCH_BYTES),
        )
        self._maybe_sent.update(_name(entry) for entry in batch.entries)
        started = self._clock.now()
        self._written = started
        key = batch_key(self.shard, self.ledger.position + 1)
        try:
            await self._platform.create(key, claims.encode_batch(batch))
        except exceptions.VersionConflict:
            self._count("conflict", 0)
            await self.read_on()
            return
        self._check_fresh()
        self._count("stored", len(batch.entries))
        self._apply(batch)
        self._verified = started
        self._drop_held()

    def _count(self, outcome: str, entries: int) -> None:
        if self._metrics is None:
            return
        metric = metrics_module.Metric
        self._metrics.count(metric.CLAIM_BATCHES, outcome)
        self._metrics.count(metric.CLAIM_ENTRIES, by=entries)

    def _apply(self, batch: claims.Batch) -> None:
        self.ledger.apply(batch)
        for entry in batch.entries:
            self._waiting.pop(_name(entry), None)

    def _drop_held(self) -> None:
        held = [
            name
            for name, entry in self._waiting.items()
            if self.ledger.holds(entry)
        ]
        for name in held:
            del self._waiting[name]
        # What waits no more needs no memory of having been sent.
        self._maybe_sent.intersection_update(self._waiting)
        self._tell_change()

    def _check_fresh(self) -> None:
        # An answer that comes later may speak of a batch that another host
        # has compacted and deleted meanwhile.
        if self._clock.now() - self._verified >= self._timing.grace_ms:
            self._verified = -float("inf")
            raise LateError(f"shard {self.shard}")

    async def refresh(self) -> None:
        """Make sure that what is known of the log's end may be used.

        Raises
        ------
        exceptions.PlatformError
            The platform did not answer.
        """
        now = self._clock.now()
        if now - self._verified < self._timing.grace_ms / 2:
            return
        head, version = await self._read_head()
        if version != self.head_version:
            await self._load(head, version, now)
        self._verified = now
        await self.read_on()

    async def read_on(self) -> None:
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
        started = self._clock.now()
        position = self.ledger.position
        found = await self._platform.list(
            log_prefix(self.shard), batch_key(self.shard, position)
        )
        self._check_fresh()
        for stored in found:
            expected = batch_key(self.shard, self.ledger.position + 1)
            if stored.key != expected:
                self._verified = -float("inf")
                raise LateError(f"shard {self.shard}: no {expected}")
            self._apply(claims.decode_batch(stored.value))
        self._verified = started
        if found:
            self._drop_held()
        return bool(found)

    async def _read_head(self) -> tuple[snapshots.Head, int]:
        try:
            stored = await self._platform.get(head_key(self.shard))
        except exceptions.ObjectMissing:
            return snapshots.Head(), 0
        return snapshots.decode_head(stored.value), stored.version

    async def _load(
        self, head: snapshots.Head, version: int, now: float
    ) -> None:
        ledger = claims.Ledger()
        for chunk in head.chunks:
            key = chunk_key(self.shard, chunk.name)
            try:
                stored = await self._platform.get(key)
            except exceptions.ObjectMissing:
                raise LateError(f"{key} is gone") from None
            ledger.load(snapshots.decode_chunk(stored.value), chunk.written_ms)
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
        self.head_seen = now


def _name(entry: claims.Entry) -> tuple:
    return (type(entry), entry.claim)
