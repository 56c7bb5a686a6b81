"""The logs of claims that one host has loaded."""

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
"""Milliseconds between two looks at what is to be compacted."""


class Terms(msgspec.Struct, frozen=True):
    """What the claims of a host go by.

    Parameters
    ----------
    shards : int
        Logs to spread the keys over, if the platform does not say yet.
    answer_bytes : int
        Largest answer that is kept for repeats.
    hold_ms : float
        Milliseconds for which the owner of a shard holds a question back
        while it has no better verdict.
    reply_ms : float
        Milliseconds after the hold after which the owner is taken to be
        away.
    avoid_ms : float
        Milliseconds for which an owner that was away is not asked.
    stop_ms : float
        Milliseconds to wait on a stop until all outcomes are stored.
    timing : Timing
        The times that each log goes by.
    policy : Policy
        When logs are compacted and what is forgotten.
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
    """Loads logs when they are asked for, and looks after them.

    Parameters
    ----------
    host : HostId
        This host.
    clock : Clock
        The clock.
    platform : Platform
        Where the logs are.
    owners : Owners
        Tells whether this host owns a log; the owner compacts it.
    rng : random.Random
        Makes names unique.
    terms : Terms
        What the claims go by.
    metrics : Metrics or None
        Where batches are counted.
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
        """Find a log, or begin to load it."""
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
        """Stop all logs at once."""
        for log in self._logs.values():
            log.stop()

    def describe(self) -> dict:
        """Summarise the logs as JSON values."""
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
        """Compact own logs and unload the others, for ever."""
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
                events.Event.CLAIMS_NOT_COMPACTED,
                shard=shard,
                error=type(error).__name__,
            )

    def _unload_if_idle(self, shard: ids.ShardId) -> None:
        log = self._logs[shard]
        idle = self._clock.now() - log.last_used_at
        if idle > self._terms.timing.grace_ms and not log.is_busy:
            del self._logs[shard]
            del self._compactors[shard]
