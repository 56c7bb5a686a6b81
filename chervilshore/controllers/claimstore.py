"""Loads, compacts and unloads the claim logs that a host uses."""

import logging
import random

import msgspec

from chervilshore.clients import platform as platforms
from chervilshore import clock as clocks
from chervilshore.controllers import claimlog
from chervilshore.controllers import claimreader
from chervilshore.controllers import compaction
from chervilshore.controllers import owners as owners_module
from chervilshore import events
from chervilshore import exceptions
from chervilshore import ids
from chervilshore import metrics as metrics_module

_LOGGER = logging.getLogger(__name__)

MAINTENANCE_INTERVAL_MS = 1000.0
"""Milliseconds between two checks for logs to compact or unload."""


class Terms(msgspec.Struct, frozen=True):
    """Settings of the claims of a host.

    Parameters
    ----------
    shards : int
        Number of shards to store if the platform has none stored yet.
    answer_bytes : int
        Maximum bytes of an answer that is recorded to be replayed.
    hold_ms : float
        Milliseconds for which the owner of a shard may delay a reply while
        the verdict is open or pending or an entry is not written.
    reply_ms : float
        Milliseconds after the hold until the owner counts as unreachable.
    avoid_ms : float
        Milliseconds for which an unreachable owner is skipped.
    stop_ms : float
        Milliseconds to wait at a stop until all outcomes are stored.
    timing : Timing
        Intervals of each log.
    policy : Policy
        When logs are compacted, and how long keys are kept.
    """

    shards: int = 16
    answer_bytes: int = 16_384
    hold_ms: float = 500.0
    reply_ms: float = 100.0
    avoid_ms: float = 2000.0
    stop_ms: float = 5000.0
    timing: claimreader.Timing = claimreader.Timing()
    policy: compaction.Policy = compaction.Policy()


class ClaimStore:
    """Loads logs on first use; compacts those that this host owns.

    Parameters
    ----------
    host : HostId
        This host.
    clock : Clock
        Measures intervals and timeouts.
    platform : Platform
        Stores the logs.
    owners : Owners
        Decides whether this host owns a log; the owner compacts it.
    rng : random.Random
        Generates unique names of chunks.
    terms : Terms
        Settings of the claims.
    metrics : Metrics or None
        Counts batches and entries.
    """

    def __init__(
        self,
        host: ids.HostId,
        clock: clocks.Clock,
        platform: platforms.Platform,
        owners: owners_module.Owners,
        rng: random.Random,
        terms: Terms,
        metrics: metrics_module.Metrics | None,
    ) -> None:
        self._host = host
        self._clock = clock
        self._platform = platform
        self._owners = owners
        self._rng = rng
        self._terms = terms
        self._metrics = metrics
        self._logs: dict[ids.ShardId, claimlog.ClaimLog] = {}
        self._compactors: dict[ids.ShardId, compaction.Compactor] = {}

    def get_log(self, shard: ids.ShardId) -> claimlog.ClaimLog:
        """Return the log of a shard; a new one is loaded by its worker."""
        log = self._logs.get(shard)
        if log is None:
            log = claimlog.ClaimLog(
                self._host,
                self._clock,
                self._platform,
                shard,
                self._terms.timing,
                self._metrics,
            )
            self._logs[shard] = log
            self._compactors[shard] = compaction.Compactor(
                log.reader,
                self._clock,
                self._platform,
                self._rng,
                self._terms.policy,
                self._terms.timing.grace_ms,
            )
        return log

    def stop(self) -> None:
        """Cancel the workers of all logs."""
        for log in self._logs.values():
            log.stop()

    def describe(self) -> dict:
        """Return a summary of the logs as JSON values."""
        return {
            str(shard): {
                "position": log.reader.ledger.position,
                "records": len(log.reader.ledger.records),
                "tail": log.reader.tail_batches,
                "waiting": log.queued_count,
            }
            for shard, log in sorted(self._logs.items())
        }

    async def maintain(self) -> None:
        """Periodically compact owned logs and unload unused other ones."""
        while True:
            await self._clock.sleep(MAINTENANCE_INTERVAL_MS)
            for shard in list(self._logs):
                await self._maintain_log(shard)

    async def _maintain_log(self, shard: ids.ShardId) -> None:
        if self._owners.find_remote_owner(f"claims/{shard}") is not None:
            self._unload_if_idle(shard)
            return
        try:
            await self._compactors[shard].maintain()
        except (exceptions.PlatformError, claimreader.LateError) as error:
            events.log_event(
                _LOGGER,
                events.Event.CLAIM_LOG_NOT_COMPACTED,
                shard=shard,
                error=type(error).__name__,
            )

    def _unload_if_idle(self, shard: ids.ShardId) -> None:
        log = self._logs[shard]
        idle = self._clock.now() - log.last_used_at
        if idle > self._terms.timing.grace_ms and not log.is_busy:
            del self._logs[shard]
            del self._compactors[shard]
