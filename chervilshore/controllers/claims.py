"""Acquires idempotency keys, so that a request runs at most once."""

import asyncio
import itertools
import logging
import random

import mode
import msgspec

from chervilshore.clients import peers as peers_module
from chervilshore.clients import platform as platforms
from chervilshore import clock as clocks
from chervilshore.controllers import claimstore
from chervilshore.controllers import directory as directories
from chervilshore.controllers import owners
from chervilshore.controllers import shards
from chervilshore.decisions import claims
from chervilshore import events
from chervilshore import ids
from chervilshore import messages
from chervilshore import metrics as metrics_module
from chervilshore import results

_LOGGER = logging.getLogger(__name__)

REFUSAL_MARGIN_MS = 20.0
"""Milliseconds before the deadline at which waiting for a verdict ends, so
that a refusal reaches the caller in time."""

OPEN_CLAIM_MARGIN_MS = 500.0
"""Milliseconds after its budget until the request of an open claim counts as
ended without an outcome."""

MAX_UNSTORED_ENTRIES = 10_000
"""Maximum outcomes and releases that one host keeps trying to store."""


class _ClaimAttempt(msgspec.Struct):
    """State of one call of `Claims.claim`.

    Parameters
    ----------
    claim : Claim
        The claim.
    verdict : Verdict
        The last verdict that was not pending; pending if there was none.
    open_since : float or None
        Time in milliseconds since which the verdict has been open; None if
        the last verdict was not open.
    forwarded : bool
        Whether the claim was sent to the owner of its shard.
    request_pending : bool
        Whether a request for the verdict has not returned.
    may_be_logged : bool
        Whether the claim may be in the log, or be written to it later,
        without this host knowing the verdict.
    """

    claim: claims.Claim
    verdict: claims.Verdict = claims.PENDING
    open_since: float | None = None
    forwarded: bool = False
    request_pending: bool = False
    may_be_logged: bool = False


class Claims(mode.Service):
    """Acquires keys for requests through logs that the platform stores.

    The owner of a shard writes the entries of the other hosts too. A host
    that can't reach the owner writes them itself.

    Parameters
    ----------
    host : HostId
        This host.
    clock : Clock
        Measures deadlines and timeouts.
    platform : Platform
        Stores the logs.
    directory : Directory
        Lists the hosts among which the owners are chosen.
    rng : random.Random
        Generates the ID of this process run, which makes the names of
        claims unique, and names of chunks.
    terms : Terms
        Settings of the claims.
    peers : PeerTransport or None
        Exchanges messages with other hosts; with None, this host writes all
        entries itself.
    metrics : Metrics or None
        Counts claims and their duration.
    """

    def __init__(
        self,
        host: ids.HostId,
        clock: clocks.Clock,
        platform: platforms.Platform,
        directory: directories.Directory,
        rng: random.Random,
        terms: claimstore.Terms = claimstore.Terms(),
        peers: peers_module.PeerTransport | None = None,
        metrics: metrics_module.Metrics | None = None,
    ) -> None:
        super().__init__()
        self._host = host
        self._clock = clock
        self._platform = platform
        self._owners = owners.Owners(
            host, clock, directory, peers, terms.avoid_ms
        )
        self._terms = terms
        self._metrics = metrics
        self._run_id = f"{rng.getrandbits(64):016x}"
        self._claim_numbers = itertools.count(1)
        self._layout = shards.ShardLayout(
            clock, platform, terms.shards, terms.timing.retry_ms
        )
        self._store = claimstore.ClaimStore(
            host, clock, platform, self._owners, rng, terms, metrics
        )
        self._unstored: dict[ids.ClaimId, asyncio.Task] = {}
        self._maintenance: asyncio.Future | None = None
        if peers is not None:
            peers.handle(messages.ClaimRequest, self._answer_claim)
            peers.handle(messages.EntryRequest, self._answer_entry)

    async def on_start(self) -> None:
        """Start the maintenance of the logs."""
        self._maintenance = self.add_future(self._store.maintain())

    async def on_stop(self) -> None:
        """Wait until the outcomes are stored, then stop."""
        unstored = asyncio.gather(
            *self._unstored.values(), return_exceptions=True
        )
        try:
            await clocks.wait_for(self._clock, unstored, self._terms.stop_ms)
        except TimeoutError:
            self._log_given_up(len(self._unstored))
        self.close()

    def close(self) -> None:
        """Stop immediately, without storing outcomes, as a crash would."""
        for task in self._unstored.values():
            task.cancel()
        self._store.stop()
        if self._maintenance is not None:
            self._maintenance.cancel()
        self._layout.stop()

    def make_claim(
        self,
        key: ids.KeyDigest,
        raw: bytes,
        resend: int,
        budget_ms: float,
    ) -> claims.Claim:
        """Return a new claim of a key for one request.

        Parameters
        ----------
        key : KeyDigest
            Digest of team, pipeline and key.
        raw : bytes
            The body of the request.
        resend : int
            Number of times that the caller sent the request before.
        budget_ms : float
            Milliseconds that the request may take.
        """
        name = f"{self._host}/{self._run_id}/{next(self._claim_numbers)}"
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
        """Claim a key; if an earlier claim is open, wait for its outcome.

        Parameters
        ----------
        claim : Claim
            The claim, new for each request.
        deadline : float
            The time in milliseconds by which the request must end.

        Returns
        -------
        Verdict
            What may be done with the request. It may run only if the claim
            was granted. After any other verdict, this claim will never be
            granted.
        """
        started = self._clock.now()
        attempt = _ClaimAttempt(claim)
        try:
            await self._wait_for_verdict(attempt, deadline - REFUSAL_MARGIN_MS)
        finally:
            undecided = attempt.verdict.state in claims.UNDECIDED
            if undecided and (
                attempt.may_be_logged or attempt.request_pending
            ):
                self._release_undecided(attempt)
        self._count(attempt.verdict, self._clock.now() - started)
        return attempt.verdict

    async def record(
        self, claim: claims.Claim, recorded: claims.RecordedAnswer
    ) -> None:
        """Store the outcome of a granted claim in the background.

        Parameters
        ----------
        recorded : RecordedAnswer
            The answer to replay when the request is repeated.
        """
        limited = claims.limit_answer(
            recorded,
            self._terms.answer_bytes,
            results.Code.OUTCOME_UNKNOWN.value.number,
        )
        self._store_in_background(
            claims.Outcome(claim.key, claim.claim, limited)
        )

    async def release(self, claim: claims.Claim, wait_ms: float = 0) -> bool:
        """Release a granted claim whose request has not run and never will.

        Parameters
        ----------
        claim : Claim
            The claim.
        wait_ms : float
            Milliseconds to wait until the release is stored.

        Returns
        -------
        bool
            Whether it is known to be stored. If not, it is still being
            stored in the background, unless too many entries wait for that.
        """
        task = self._store_in_background(
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
        """Return a summary of the state as JSON values."""
        return {
            "shards": self._layout.shards,
            "unstored": len(self._unstored),
            "logs": self._store.describe(),
        }

    async def _wait_for_verdict(
        self, attempt: _ClaimAttempt, end: float
    ) -> None:
        """Repeat the claim until its verdict is decided.

        Returns without a decision at `end`, or when the request of the
        open claim must have ended without an outcome.
        """
        while True:
            remaining_ms = end - self._clock.now()
            if remaining_ms <= 0:
                return
            attempt.request_pending = True
            verdict = await self._request_verdict(attempt, remaining_ms)
            attempt.request_pending = False
            if verdict.state not in claims.UNDECIDED:
                attempt.verdict = verdict
                return
            if verdict.state is claims.VerdictState.PENDING:
                attempt.may_be_logged = True
                attempt.open_since = None
                continue
            attempt.verdict = verdict
            now = self._clock.now()
            if attempt.open_since is None:
                attempt.open_since = now
            if (
                now
                >= attempt.open_since
                + verdict.budget_ms
                + OPEN_CLAIM_MARGIN_MS
            ):
                return

    async def _request_verdict(
        self, attempt: _ClaimAttempt, remaining_ms: float
    ) -> claims.Verdict:
        if not await self._layout.wait_until_known(remaining_ms):
            return claims.PENDING
        claim = attempt.claim
        shard = claims.shard_of(claim.key, self._layout.shards)
        hold_ms = min(remaining_ms, self._terms.hold_ms)
        owner = self._owners.find_remote_owner(f"claims/{shard}")
        if owner is None:
            return await self._store.get_log(shard).submit_claim(
                claim, hold_ms
            )
        attempt.forwarded = True
        request = messages.ClaimRequest(claim, hold_ms)
        timeout_ms = min(remaining_ms, hold_ms + self._terms.reply_ms)
        reply = await self._owners.send_request(owner, request, timeout_ms)
        if isinstance(reply, messages.ClaimReply):
            return reply.verdict
        return claims.PENDING

    def _release_undecided(self, attempt: _ClaimAttempt) -> None:
        """Release an undecided claim, as it may still get into the log."""
        if not self._layout.shards:
            return
        claim = attempt.claim
        shard = claims.shard_of(claim.key, self._layout.shards)
        never_sent = self._store.get_log(shard).withdraw_claim(claim)
        if never_sent and not attempt.forwarded:
            return
        self._store_in_background(
            claims.Release(claim.key, claim.claim, claim.resend)
        )

    def _store_in_background(
        self, entry: claims.Outcome | claims.Release
    ) -> asyncio.Task | None:
        if len(self._unstored) >= MAX_UNSTORED_ENTRIES:
            self._log_given_up(1)
            return None
        task = asyncio.ensure_future(self._store_with_retries(entry))
        self._unstored[entry.claim] = task
        task.add_done_callback(
            lambda done: self._unstored.pop(entry.claim, None)
        )
        return task

    async def _store_with_retries(
        self, entry: claims.Outcome | claims.Release
    ) -> None:
        hold_ms = self._terms.hold_ms
        shard = claims.shard_of(entry.key, self._layout.shards)
        stored = False
        while not stored:
            owner = self._owners.find_remote_owner(f"claims/{shard}")
            if owner is None:
                stored = await self._store.get_log(shard).store(entry, hold_ms)
                continue
            request = messages.EntryRequest(entry, hold_ms)
            timeout_ms = hold_ms + self._terms.reply_ms
            reply = await self._owners.send_request(owner, request, timeout_ms)
            stored = isinstance(reply, messages.EntryReply) and reply.stored

    def _log_given_up(self, number: int) -> None:
        events.log_event(
            _LOGGER, events.Event.CLAIM_OUTCOME_NOT_STORED, number=number
        )

    async def _answer_claim(
        self, sender: ids.Address, request: messages.ClaimRequest
    ) -> messages.ClaimReply:
        if not await self._layout.wait_until_known(request.hold_ms):
            return messages.ClaimReply(claims.PENDING)
        shard = claims.shard_of(request.claim.key, self._layout.shards)
        verdict = await self._store.get_log(shard).submit_claim(
            request.claim, request.hold_ms
        )
        return messages.ClaimReply(verdict)

    async def _answer_entry(
        self, sender: ids.Address, request: messages.EntryRequest
    ) -> messages.EntryReply:
        if not await self._layout.wait_until_known(request.hold_ms):
            return messages.EntryReply(False)
        shard = claims.shard_of(request.entry.key, self._layout.shards)
        stored = await self._store.get_log(shard).store(
            request.entry, request.hold_ms
        )
        return messages.EntryReply(stored)

    def _count(self, verdict: claims.Verdict, millis: float) -> None:
        if self._metrics is None:
            return
        metric = metrics_module.Metric
        self._metrics.count(metric.CLAIMS, verdict.state.value)
        self._metrics.observe(metric.CLAIM_SECONDS, millis)
