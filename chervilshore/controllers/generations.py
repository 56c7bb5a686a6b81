"""Fetches each accepted generation and activates it on this host.

One host of each failure domain watches the platform. The others are notified
by peers and fetch from them what is missing; they read the platform only for
what no peer can provide.
"""

import asyncio
import logging
import random

import mode

from chervilshore.clients import peers as peer_clients
from chervilshore.clients import platform as platforms
from chervilshore import clock as clocks
from chervilshore.controllers import configuration
from chervilshore.controllers import directory as directories
from chervilshore.controllers import sources
from chervilshore.decisions import dissemination
from chervilshore import events
from chervilshore import exceptions
from chervilshore import ids
from chervilshore import messages
from chervilshore import metrics as metric_types
from chervilshore.rules import generations
from chervilshore.rules import model

logger = logging.getLogger(__name__)

WATCH_TIMEOUT_MS = 2000.0
"""Milliseconds that one watch of the platform waits for changes."""

HEAD_READ_INTERVAL_MS = 10_000.0
"""Milliseconds after which the watcher also reads the head directly."""

WATCHER_CHECK_INTERVAL_MS = 250.0
"""Milliseconds between two checks whether this host should watch."""

REQUESTED_WATCH_MS = 5000.0
"""Milliseconds for which a host watches after a peer requested it."""

MIN_RETRY_MS = 250.0
"""Milliseconds before the first retry of a fetch or a watch."""

MAX_RETRY_MS = 5000.0
"""Milliseconds up to which the delay between retries of a fetch grows."""

MAX_WATCH_RETRY_MS = 1000.0
"""Milliseconds up to which the delay between retries of a watch grows."""

MAX_PARALLEL_CHUNKS = 8
"""Chunks that are fetched concurrently."""


class GenerationService(mode.Service, configuration.Configuration):
    """Keeps the active rules of this host up to date.

    Parameters
    ----------
    host : HostId
        This host.
    domain : DomainId
        Its failure domain.
    platform : Platform
        Stores the accepted configurations.
    peers : PeerTransport
        Sends and receives the messages.
    directory : Directory
        Lists the other hosts.
    clock : Clock
        Measures delays and timeouts.
    rng : random.Random
        Chooses peers and the jitter of retries.
    metrics : Metrics or None
        Receives the number of the active generation.
    """

    def __init__(
        self,
        host: ids.HostId,
        domain: ids.DomainId,
        platform: platforms.Platform,
        peers: peer_clients.PeerTransport,
        directory: directories.Directory,
        clock: clocks.Clock,
        rng: random.Random,
        metrics: metric_types.Metrics | None = None,
    ) -> None:
        super().__init__()
        self.dissemination = dissemination.Dissemination()
        self._host = host
        self._domain = domain
        self._platform = platform
        self._peers = peers
        self._directory = directory
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._listeners: list[configuration.Listener] = []
        self._sources = sources.GenerationSources(
            platform, peers, directory, rng
        )
        self._wake = asyncio.Event()
        self._watched_version = 0
        self._watching = False
        self._next_read_at = 0.0
        self._watch_requested_until = 0.0
        self._watch_retry_ms = MIN_RETRY_MS
        peers.handle(messages.WatchRequest, self._handle_watch_request)
        peers.handle(messages.GenerationNotice, self._handle_notice)
        peers.handle(messages.HeadRequest, self._handle_head_request)
        peers.handle(messages.ChunkRequest, self._handle_chunk_request)

    @property
    def rules(self) -> model.Rules:
        """The active rules."""
        return self.dissemination.rules

    def listen(self, listener: configuration.Listener) -> None:
        """Register a listener; see `Configuration.listen`."""
        self._listeners.append(listener)

    def record_generation(
        self, generation: ids.Generation, address: ids.Address
    ) -> None:
        """Record the generation that a peer reports; fetch it if newer."""
        newer = generation > self.dissemination.highest_announced
        if self.dissemination.record_announced(generation):
            self._sources.add(address)
            if newer:
                self._wake.set()

    def describe(self) -> dict:
        """Return the state as JSON values, for operators."""
        current = self.dissemination
        return {
            "generation": current.generation,
            "change": current.head.change if current.head else "",
            "heard_generation": current.highest_announced,
            "refused_generation": current.refused_generation,
            "refusal": current.refusal,
            "watching": self._watching,
        }

    async def on_started(self) -> None:
        """Start to watch the platform and to fetch generations."""
        self.add_future(self._watch_forever())
        self.add_future(self._fetch_forever())

    # Messages.

    def _handle_notice(
        self, sender: ids.Address, notice: messages.GenerationNotice
    ) -> None:
        self.record_generation(notice.generation, sender)

    def _handle_watch_request(
        self, sender: ids.Address, request: messages.WatchRequest
    ) -> None:
        self._watch_requested_until = self._clock.now() + REQUESTED_WATCH_MS

    def _handle_head_request(
        self, sender: ids.Address, request: messages.HeadRequest
    ) -> messages.HeadReply:
        head = self.dissemination.latest
        if head is None:
            return messages.HeadReply()
        return messages.HeadReply(generations.encode_head(head))

    def _handle_chunk_request(
        self, sender: ids.Address, request: messages.ChunkRequest
    ) -> messages.ChunkReply:
        content = self.dissemination.find_chunk(request.digest)
        return messages.ChunkReply(request.digest, content)

    def _notify_peers(self, generation: ids.Generation) -> None:
        chosen = dissemination.choose_notify_targets(
            self._host,
            self._domain,
            self._directory.hosts(),
            generation,
            self._watching,
        )
        notice = messages.GenerationNotice(generation)
        for address in chosen:
            if address != self._peers.address:
                self._peers.send(address, notice)

    # Watching.

    async def _watch_forever(self) -> None:
        # At the start no peer may be known yet, and peers may have a newer
        # generation than a stale read of the platform returns.
        await asyncio.gather(self._request_peer_heads(), self._read_head())
        while not self.should_stop:
            self._set_watching(self._is_watcher())
            if self._watching:
                await self._watch_once()
            else:
                await self._clock.sleep(WATCHER_CHECK_INTERVAL_MS)

    def _is_watcher(self) -> bool:
        if self._clock.now() < self._watch_requested_until:
            return True
        ranked = dissemination.rank_watchers(
            self._directory.hosts(), self._domain
        )
        return not ranked or ranked[0].host == self._host

    def _set_watching(self, watching: bool) -> None:
        if watching and not self._watching:
            events.log_event(logger, events.Event.WATCHING)
        self._watching = watching

    async def _watch_once(self) -> None:
        before = self._watched_version
        try:
            found = await self._platform.watch(
                generations.HEAD_KEY, before, WATCH_TIMEOUT_MS
            )
        except exceptions.PlatformError:
            self._request_next_watcher()
            await self._clock.sleep(self._jitter(self._watch_retry_ms))
            self._watch_retry_ms = min(
                MAX_WATCH_RETRY_MS, self._watch_retry_ms * 2
            )
            await self._read_head()
            return
        self._watch_retry_ms = MIN_RETRY_MS
        for stored in found:
            self._apply_stored(stored)
        if found and self._watched_version == before:
            # The watch returned nothing new; the delay avoids a busy loop.
            await self._clock.sleep(self._jitter(MIN_RETRY_MS))
        if self._clock.now() >= self._next_read_at:
            # A watch may miss a change, so the head is also read directly.
            await self._read_head()

    def _request_next_watcher(self) -> None:
        """Request another host to watch, as it may reach the platform."""
        successor = dissemination.choose_next_watcher(
            self._host, self._domain, self._directory.hosts()
        )
        if successor is not None:
            self._peers.send(successor.peer_address, messages.WatchRequest())

    async def _read_head(self) -> None:
        stored = await self._sources.read_head()
        if stored is not None:
            self._next_read_at = self._clock.now() + HEAD_READ_INTERVAL_MS
            self._apply_stored(stored)

    def _apply_stored(self, stored: platforms.VersionedObject) -> None:
        self._watched_version = max(self._watched_version, stored.version)
        if stored.key != generations.HEAD_KEY:
            return
        try:
            head = generations.decode_head(stored.value)
        except exceptions.RulesError as error:
            next_generation = ids.Generation(self.dissemination.generation + 1)
            self._refuse(next_generation, str(error))
            return
        if self.dissemination.offer(head):
            # No peer is known to have the new generation yet.
            self._sources.clear()
            self._wake.set()

    # Fetching.

    async def _fetch_forever(self) -> None:
        wait = MIN_RETRY_MS
        while not self.should_stop:
            self._wake.clear()
            if not self.dissemination.is_behind:
                wait = MIN_RETRY_MS
                await self._wake.wait()
            elif not await self._fetch_once():
                woken = await self._wait_for_wake(self._jitter(wait))
                wait = MIN_RETRY_MS if woken else min(MAX_RETRY_MS, wait * 2)

    async def _wait_for_wake(self, millis: float) -> bool:
        """Wait for a newer generation; add random sources on a timeout."""
        try:
            await clocks.wait_for(self._clock, self._wake.wait(), millis)
        except TimeoutError:
            for address in self._sources.choose_peers():
                self._sources.add(address)
            return False
        return True

    async def _fetch_once(self) -> bool:
        """Fetch what is missing; return False if a retry is needed."""
        spread = self.dissemination
        if spread.highest_announced > spread.known_generation:
            await self._request_source_heads()
        if spread.wanted is None:
            if not spread.is_behind:
                return True
            await self._read_head()
        if spread.wanted is None:
            return not spread.is_behind
        if not await self._fetch_chunks():
            return False
        self._activate_wanted()
        return True

    async def _request_source_heads(self) -> None:
        for address in self._sources.addresses:
            if await self._request_head(address):
                return
            self._sources.drop(address)

    async def _request_peer_heads(self) -> None:
        chosen = self._sources.choose_peers()
        await asyncio.gather(*map(self._request_head, chosen))

    async def _request_head(self, address: ids.Address) -> bool:
        head = await self._sources.request_head(address)
        if head is None or not self.dissemination.offer(head):
            return False
        self._sources.add(address)
        self._wake.set()
        return True

    async def _fetch_chunks(self) -> bool:
        missing = self.dissemination.list_missing()
        wanted = self.dissemination.wanted
        for start in range(0, len(missing), MAX_PARALLEL_CHUNKS):
            batch = missing[start : start + MAX_PARALLEL_CHUNKS]
            await asyncio.gather(*map(self._fetch_chunk, batch))
            if self.dissemination.wanted is not wanted:
                # A higher generation was offered; fetch its chunks instead.
                return await self._fetch_chunks()
        missing = self.dissemination.list_missing()
        if missing:
            reason = f"chunk {missing[0]} is lost, changed or out of reach"
            self._refuse(wanted.generation, reason)
        return not missing

    async def _fetch_chunk(self, digest: str) -> None:
        content = await self._sources.fetch_chunk(digest)
        if not content:
            return
        self.dissemination.add_chunk(digest, content)
        try:
            self.dissemination.compile_chunk(digest)
        except Exception:
            # Activation fails with the same error and refuses the generation.
            return

    # Activating.

    def _activate_wanted(self) -> None:
        wanted = self.dissemination.wanted
        if not self.dissemination.activate():
            if wanted is not None and self.dissemination.wanted is None:
                self._log_refusal()
            return
        head = self.dissemination.head
        events.log_event(
            logger,
            events.Event.GENERATION_ACTIVE,
            generation=head.generation,
            change=head.change,
            author=head.author,
        )
        if self._metrics is not None:
            self._metrics.set(metric_types.Metric.GENERATION, head.generation)
        self._notify_listeners()
        self._notify_peers(head.generation)

    def _notify_listeners(self) -> None:
        for listener in self._listeners:
            try:
                listener(self.rules)
            except Exception:
                # A failing listener must not keep the others on old rules.
                events.log_event(
                    logger, events.Event.TASK_FAILED, task="listener"
                )
                logger.exception("a listener of the configuration failed")

    def _refuse(self, generation: ids.Generation, reason: str) -> None:
        if self.dissemination.record_refusal(generation, reason):
            self._log_refusal()

    def _log_refusal(self) -> None:
        events.log_event(
            logger,
            events.Event.GENERATION_REFUSED,
            generation=self.dissemination.refused_generation,
            reason=self.dissemination.refusal,
        )
        # Other hosts may be able to use it; if not, they log it themselves.
        self._notify_peers(self.dissemination.refused_generation)

    def _jitter(self, millis: float) -> float:
        return millis * self._rng.uniform(0.75, 1.25)
