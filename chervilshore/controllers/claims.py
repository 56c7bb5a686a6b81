"""Claims of idempotency keys, so that a request runs at most once."""

import asyncio
import itertools
import logging
import random

import mode
import msgspec

from chervilshore.clients import peers as peers_module
from chervilshore.clients import platform as platforms
from chervilshore import clock as clocks
from chervilshore.controllers import claimlog
from chervilshore.controllers import directory as directories
from chervilshore.decisions import claims
from chervilshore.decisions import rendezvous
from chervilshore import events
from chervilshore import exceptions
from chervilshore import ids
from chervilshore import messages
from chervilshore import metrics as metrics_module
from chervilshore import records
from chervilshore import results

_LOGGER = logging.getLogger(__name__)

LAYOUT_KEY = "claims/layout"
"""The object that holds the number of shards for the whole fleet."""

ANSWER_MARGIN_MS = 20.0
"""Milliseconds of a deadline that are left for refusing in time."""

OPEN_SLACK_MS = 500.0
"""Milliseconds past its budget after which an open claim's request is
taken to have ended without an outcome."""

MOST_UNSTORED = 10_000
"""Outcomes and releases that one host goes on trying to store."""


class Terms(msgspec.Struct, frozen=True):
    """What the claims of a host go by.

    Parameters
    ----------
    shards : int
        Logs to spread the keys over, if the platform does not say yet.
    retention_ms : float
        Least milliseconds for which a used key is known.
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
    timing : Timing
        The times that each log goes by.
    """

    shards: int = 16
    retention_ms: float = 86_400_000.0
    answer_bytes: int = 16_384
    hold_ms: float = 500.0
    reply_ms: float = 100.0
    avoid_ms: float = 2000.0
    timing: claimlog.Timing = claimlog.Timing()


class Claims(mode.Service):
    """Claims keys in logs that stand in the platform.

    Parameters
    ----------
    host : HostId
        This host.
    clock : Clock
        The clock.
    platform : Platform
        Where the logs are.
    directory : Directory
        Tells which hosts share the work.
    peers : Peers or None
        Reaches the other hosts; without it this host writes alone.
    rng : random.Random
        Makes the names of claims unique over lives of this host.
    terms : Terms
        What the claims go by.
    metrics : Metrics or None
        Where claims are counted.
    """

    def __init__(
        self,
        host: ids.HostId,
        clock: clocks.Clock,
        platform: platforms.Platform,
        directory: directories.Directory,
        rng: random.Random,
        terms: Terms = Terms(),
        peers: peers_module.Peers | None = None,
        metrics: metrics_module.Metrics | None = None,
    ) -> None:
        super().__init__()
        self._host = host
        self._clock = clock
        self._platform = platform
        self._directory = directory
        self._peers = peers
        self._terms = terms
        self._metrics = metrics
        self._life = f"{rng.getrandbits(64):016x}"
        self._numbers = itertools.count(1)
        self._shards = 0
        self._layout: asyncio.Task | None = None
        self._logs: dict[ids.ShardId, claimlog.ClaimLog] = {}
        self._avoided: dict[ids.HostId, float] = {}
        self._unstored: dict[ids.ClaimId, asyncio.Task] = {}
        if peers is not None:
            peers.handle(messages.ClaimAsk, self._answer_claim)
            peers.handle(messages.EntryAsk, self._answer_entry)

    async def on_stop(self) -> None:
        """Store what is still unstored, then stop."""
        if self._unstored:
            await asyncio.wait(set(self._unstored.values()))
        self.close()

    def close(self) -> None:
        """Stop at once, as a process that dies does."""
        for task in self._unstored.values():
            task.cancel()
        for log in self._logs.values():
            log.stop()
        if self._layout is not None:
            self._layout.cancel()

    def make_claim(
        self,
        key: ids.KeyDigest,
        raw: bytes,
        resend: int,
        budget_ms: float,
    ) -> claims.Claim:
        """Make a new claim of a key for one request.

        Parameters
        ----------
        key : KeyDigest
            The key, with its scope.
        raw : bytes
            The body of the request.
        resend : int
            How often the caller had sent it before.
        budget_ms : float
            Milliseconds that the request may take.
        """
        name = f"{self._host}/{self._life}/{next(self._numbers)}"
        return claims.Claim(
            key,
            ids.ClaimId(name),
            claims.digest_body(raw),
            resend,
            budget_ms,
        )

    async def claim(
        self, claim: claims.Claim, deadline: float
    ) -> claims.Verdict:
        """Claim a key and wait for an outcome of an earlier claim.

        Parameters
        ----------
        claim : Claim
            The claim, new for each request.
        deadline : float
            The moment in milliseconds by which the request must end.

        Returns
        -------
        Verdict
            What may be done. Only a granted claim may be run. After any
            other verdict this claim will never be granted.
        """
        started = self._clock.now()
        verdict = claims.PENDING
        try:
            verdict = await self._settle(claim, deadline - ANSWER_MARGIN_MS)
        finally:
            if verdict.state is claims.VerdictState.PENDING:
                self._abandon(claim)
        self._count(verdict, self._clock.now() - started)
        return verdict

    async def record(
        self, claim: claims.Claim, recorded: claims.Recorded
    ) -> None:
        """Keep the outcome of a granted claim, without waiting for it.

        Parameters
        ----------
        claim : Claim
            The claim.
        recorded : Recorded
            The answer that repeats are to get.
        """
        bounded = claims.bound_answer(
            recorded,
            self._terms.answer_bytes,
            results.Code.OUTCOME_UNKNOWN.value.number,
        )
        self._keep_storing(claims.Outcome(claim.key, claim.claim, bounded))

    async def release(self, claim: claims.Claim, wait_ms: float = 0) -> bool:
        """Say that a granted claim has not run and never will.

        Parameters
        ----------
        claim : Claim
            The claim.
        wait_ms : float
            Milliseconds to wait until the log holds this.

        Returns
        -------
        bool
            Whether the log holds it; if not, it goes on being tried.
        """
        task = self._keep_storing(
            claims.Release(claim.key, claim.claim, claim.resend)
        )
        if wait_ms <= 0 or task is None:
            return False
        shielded = asyncio.shield(task)
        try:
            await clocks.wait_for(self._clock, shielded, wait_ms)
        except TimeoutError:
            return False
        return True

    def describe(self) -> dict:
        """Summarise the state as JSON values."""
        return {
            "shards": self._shards,
            "unstored": len(self._unstored),
            "logs": {
                str(shard): {
                    "position": log.ledger.position,
                    "records": len(log.ledger.records),
                    "tail": log.tail,
                    "waiting": log.waiting,
                }
                for shard, log in sorted(self._logs.items())
            },
        }

    async def _settle(self, claim: claims.Claim, end: float) -> claims.Verdict:
        verdict = claims.PENDING
        opened = None
        while True:
            left = end - self._clock.now()
            if left <= 0:
                return verdict
            verdict = await self._ask(claim, left)
            if verdict.state not in claims.WAITING:
                return verdict
            if verdict.state is claims.VerdictState.PENDING:
                opened = None
                continue
            if opened is None:
                opened = self._clock.now()
            ends = opened + verdict.budget_ms + OPEN_SLACK_MS
            if self._clock.now() >= ends:
                return verdict

    async def _ask(self, claim: claims.Claim, left: float) -> claims.Verdict:
        if not await self._know_shards(left):
            return claims.PENDING
        shard = claims.shard_of(claim.key, self._shards)
        hold = min(left, self._terms.hold_ms)
        owner = self._find_owner(shard)
        if owner is None:
            return await self._log(shard).decide(claim, hold)
        ask = messages.ClaimAsk(claim, hold)
        reply = await self._ask_owner(owner, ask, hold, left)
        if isinstance(reply, messages.ClaimReply):
            return reply.verdict
        return claims.PENDING

    def _abandon(self, claim: claims.Claim) -> None:
        shard = claims.shard_of(claim.key, max(1, self._shards))
        log = self._logs.get(shard)
        alone = self._peers is None and log is not None
        if not self._shards or (alone and log.withdraw(claim)):
            return
        if log is not None:
            log.withdraw(claim)
        self._keep_storing(
            claims.Release(claim.key, claim.claim, claim.resend)
        )

    def _keep_storing(
        self, entry: claims.Outcome | claims.Release
    ) -> asyncio.Task | None:
        if len(self._unstored) >= MOST_UNSTORED:
            return None
        task = asyncio.ensure_future(self._store(entry))
        self._unstored[entry.claim] = task
        task.add_done_callback(
            lambda done: self._unstored.pop(entry.claim, None)
        )
        return task

    async def _store(self, entry: claims.Outcome | claims.Release) -> None:
        hold = self._terms.hold_ms
        shard = claims.shard_of(entry.key, self._shards)
        stored = False
        while not stored:
            owner = self._find_owner(shard)
            if owner is None:
                stored = await self._log(shard).store(entry, hold)
                continue
            ask = messages.EntryAsk(entry, hold)
            reply = await self._ask_owner(owner, ask, hold, hold)
            stored = isinstance(reply, messages.EntryReply) and reply.stored

    async def _ask_owner(
        self,
        owner: records.HostRecord,
        ask: messages.Message,
        hold: float,
        left: float,
    ) -> messages.Message | None:
        wait = min(left, hold + self._terms.reply_ms)
        try:
            return await self._peers.ask(owner.peer_address, ask, wait)
        except exceptions.PeerError:
            until = self._clock.now() + self._terms.avoid_ms
            self._avoided[owner.host] = until
            return None

    def _find_owner(self, shard: ids.ShardId) -> records.HostRecord | None:
        if self._peers is None:
            return None
        now = self._clock.now()
        hosts = {
            record.host: record
            for record in self._directory.hosts()
            if record.state is records.HostState.ALIVE
        }
        chosen = rendezvous.choose(hosts, f"claims/{shard}")
        if chosen is None or chosen == self._host:
            return None
        if self._avoided.get(chosen, now) > now:
            return None
        return hosts[chosen]

    def _log(self, shard: ids.ShardId) -> claimlog.ClaimLog:
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
        return log

    async def _answer_claim(
        self, sender: ids.Address, ask: messages.ClaimAsk
    ) -> messages.ClaimReply:
        if not await self._know_shards(ask.hold_ms):
            return messages.ClaimReply(claims.PENDING)
        shard = claims.shard_of(ask.claim.key, self._shards)
        verdict = await self._log(shard).decide(ask.claim, ask.hold_ms)
        return messages.ClaimReply(verdict)

    async def _answer_entry(
        self, sender: ids.Address, ask: messages.EntryAsk
    ) -> messages.EntryReply:
        if not await self._know_shards(ask.hold_ms):
            return messages.EntryReply(False)
        shard = claims.shard_of(ask.entry.key, self._shards)
        stored = await self._log(shard).store(ask.entry, ask.hold_ms)
        return messages.EntryReply(stored)

    async def _know_shards(self, wait_ms: float) -> bool:
        if self._shards:
            return True
        if self._layout is None or self._layout.done():
            self._layout = asyncio.ensure_future(self._read_layout())
        shielded = asyncio.shield(self._layout)
        try:
            await clocks.wait_for(self._clock, shielded, wait_ms)
        except TimeoutError:
            return False
        return bool(self._shards)

    async def _read_layout(self) -> None:
        # Two hosts that spread keys differently would look for one key in
        # two logs, so what the platform holds goes before the setting.
        wanted = str(self._terms.shards).encode()
        while not self._shards:
            try:
                stored = await self._platform.get(LAYOUT_KEY)
                self._shards = int(stored.value)
            except exceptions.ObjectMissing:
                await self._create_layout(wanted)
            except exceptions.PlatformError:
                await self._clock.sleep(self._terms.timing.retry_ms)
        if self._shards != self._terms.shards:
            events.log_event(
                _LOGGER, events.Event.CLAIM_SHARDS, shards=self._shards
            )

    async def _create_layout(self, wanted: bytes) -> None:
        try:
            await self._platform.create(LAYOUT_KEY, wanted)
        except exceptions.PlatformError:
            # Whatever has become of it is read next.
            await self._clock.sleep(self._terms.timing.retry_ms)

    def _count(self, verdict: claims.Verdict, millis: float) -> None:
        if self._metrics is None:
            return
        metric = metrics_module.Metric
        self._metrics.count(metric.CLAIMS, verdict.state.value)
        self._metrics.observe(metric.CLAIM_SECONDS, millis)
