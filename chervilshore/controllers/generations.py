"""Brings each accepted generation into force on this host.

One host of each failure domain watches the platform; the others hear from
peers, and pull from them what they miss. The platform is asked directly
only where no peer can help.
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
from chervilshore.decisions import rollout
from chervilshore import events
from chervilshore import exceptions
from chervilshore import ids
from chervilshore import messages
from chervilshore import metrics
from chervilshore.rules import generations
from chervilshore.rules import model

logger = logging.getLogger(__name__)

WATCH_MS = 2000.0
"""Milliseconds that one watch waits."""

READ_MS = 10_000.0
"""Milliseconds after which the watcher reads the head besides."""

IDLE_MS = 250.0
"""Milliseconds between two looks at who should watch."""

STAND_IN_MS = 5000.0
"""Milliseconds for which a host watches after it was asked to."""

RETRY_MS = 250.0
MOST_RETRY_MS = 5000.0
"""Milliseconds before the platform or the peers are asked again."""

MOST_WATCH_WAIT_MS = 1000.0
"""Milliseconds before a watch that failed is tried again, at most."""

PARALLEL = 8
"""Chunks that are fetched at once."""


class GenerationService(mode.Service, configuration.Configuration):
    """The rules in force, kept up to date.

    Parameters
    ----------
    host : HostId
        This host.
    domain : DomainId
        Its failure domain.
    platform : Platform
        Where configurations are accepted.
    peers : PeerTransport
        The other hosts.
    directory : Directory
        Which other hosts there are.
    clock : Clock
        Measures all waits.
    generator : random.Random
        Spreads retries and the choice of peers.
    meters : Metrics or None
        Where the generation in force is shown.
    """

    def __init__(
        self,
        host: ids.HostId,
        domain: ids.DomainId,
        platform: platforms.Platform,
        peers: peer_clients.PeerTransport,
        directory: directories.Directory,
        clock: clocks.Clock,
        generator: random.Random,
        meters: metrics.Metrics | None = None,
    ) -> None:
        super().__init__()
        self.rollout = rollout.Rollout()
        self._host = host
        self._domain = domain
        self._platform = platform
        self._peers = peers
        self._directory = directory
        self._clock = clock
        self._generator = generator
        self._meters = meters
        self._listeners: list[configuration.Listener] = []
        self._sources = sources.Sources(platform, peers, directory, generator)
        self._wake = asyncio.Event()
        self._version = 0
        self._watching = False
        self._read_at = 0.0
        self._stand_in_until = 0.0
        self._watch_wait = RETRY_MS
        peers.handle(messages.WatchRequest, self._take_watch_request)
        peers.handle(messages.GenerationNotice, self._take_notice)
        peers.handle(messages.HeadRequest, self._give_head)
        peers.handle(messages.ChunkRequest, self._give_chunk)

    @property
    def rules(self) -> model.Rules:
        """The rules in force."""
        return self.rollout.rules

    def listen(self, listener: configuration.Listener) -> None:
        """Call a function on change; see `Configuration.listen`."""
        self._listeners.append(listener)

    def note_generation(
        self, generation: ids.Generation, address: ids.Address
    ) -> None:
        """Take note of the generation that a peer says it has in force."""
        newer = generation > self.rollout.heard
        if self.rollout.hear(generation):
            self._sources.add(address)
            if newer:
                self._wake.set()

    def describe(self) -> dict:
        """Tell the state for operators."""
        found = self.rollout
        return {
            "generation": found.generation,
            "change": found.head.change if found.head else "",
            "heard_generation": found.heard,
            "refused_generation": found.refused_generation,
            "refusal": found.refusal,
            "watching": self._watching,
        }

    async def on_started(self) -> None:
        """Begin to watch and to fetch."""
        self.add_future(self._watch_forever())
        self.add_future(self._fetch_forever())

    # Messages.

    def _take_notice(
        self, sender: ids.Address, notice: messages.GenerationNotice
    ) -> None:
        self.note_generation(notice.generation, sender)

    def _take_watch_request(
        self, sender: ids.Address, request: messages.WatchRequest
    ) -> None:
        self._stand_in_until = self._clock.now() + STAND_IN_MS

    def _give_head(
        self, sender: ids.Address, request: messages.HeadRequest
    ) -> messages.HeadReply:
        head = self.rollout.latest
        if head is None:
            return messages.HeadReply()
        return messages.HeadReply(generations.encode_head(head))

    def _give_chunk(
        self, sender: ids.Address, request: messages.ChunkRequest
    ) -> messages.ChunkReply:
        content = self.rollout.find_chunk(request.digest)
        return messages.ChunkReply(request.digest, content)

    def _notify(self, generation: ids.Generation) -> None:
        chosen = rollout.choose_notified(
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
        # A host that starts does not know yet who else is there, and its
        # peers may know more than an old read of the platform.
        await asyncio.gather(self._ask_peers_for_head(), self._read_head())
        while not self.should_stop:
            self._note_watching(self._is_watcher())
            if self._watching:
                await self._watch_once()
            else:
                await self._clock.sleep(IDLE_MS)

    def _is_watcher(self) -> bool:
        if self._clock.now() < self._stand_in_until:
            return True
        ranked = rollout.rank_watchers(self._directory.hosts(), self._domain)
        return not ranked or ranked[0].host == self._host

    def _note_watching(self, watching: bool) -> None:
        if watching and not self._watching:
            events.log_event(logger, events.Event.WATCHING)
        self._watching = watching

    async def _watch_once(self) -> None:
        before = self._version
        try:
            found = await self._platform.watch(
                generations.HEAD_KEY, before, WATCH_MS
            )
        except exceptions.PlatformError:
            self._ask_next_watcher()
            await self._clock.sleep(self._jitter(self._watch_wait))
            self._watch_wait = min(MOST_WATCH_WAIT_MS, self._watch_wait * 2)
            await self._read_head()
            return
        self._watch_wait = RETRY_MS
        for stored in found:
            self._take_stored(stored)
        if found and self._version == before:
            # A watch that repeats itself must not be asked in a tight loop.
            await self._clock.sleep(self._jitter(RETRY_MS))
        if self._clock.now() >= self._read_at:
            # A watch may skip a change, so the head is read besides.
            await self._read_head()

    def _ask_next_watcher(self) -> None:
        """Have another host watch, if only this one is cut off."""
        following = rollout.choose_next_watcher(
            self._host, self._domain, self._directory.hosts()
        )
        if following is not None:
            self._peers.send(following.peer_address, messages.WatchRequest())

    async def _read_head(self) -> None:
        stored = await self._sources.read_head()
        if stored is not None:
            self._read_at = self._clock.now() + READ_MS
            self._take_stored(stored)

    def _take_stored(self, stored: platforms.VersionedObject) -> None:
        self._version = max(self._version, stored.version)
        if stored.key != generations.HEAD_KEY:
            return
        try:
            head = generations.decode_head(stored.value)
        except exceptions.RulesError as error:
            following = ids.Generation(self.rollout.generation + 1)
            self._refuse(following, str(error))
            return
        if self.rollout.offer(head):
            # PeerTransport do not have it yet, as far as this host knows.
            self._sources.clear()
            self._wake.set()

    # Fetching.

    async def _fetch_forever(self) -> None:
        wait = RETRY_MS
        while not self.should_stop:
            self._wake.clear()
            if not self.rollout.behind:
                wait = RETRY_MS
                await self._wake.wait()
            elif not await self._fetch_once():
                woken = await self._wait_for_news(self._jitter(wait))
                wait = RETRY_MS if woken else min(MOST_RETRY_MS, wait * 2)

    async def _wait_for_news(self, millis: float) -> bool:
        """Wait, but only until there is something newer to fetch."""
        try:
            await clocks.wait_for(self._clock, self._wake.wait(), millis)
        except TimeoutError:
            for address in self._sources.choose_peers():
                self._sources.add(address)
            return False
        return True

    async def _fetch_once(self) -> bool:
        """Go as far as the sources allow; tell whether it was enough."""
        if self.rollout.heard > self.rollout.known:
            await self._ask_sources_for_head()
        if self.rollout.wanted is None:
            if not self.rollout.behind:
                return True
            await self._read_head()
        if self.rollout.wanted is None:
            return not self.rollout.behind
        if not await self._fetch_chunks():
            return False
        self._finish()
        return True

    async def _ask_sources_for_head(self) -> None:
        for address in self._sources.addresses:
            if await self._ask_for_head(address):
                return
            self._sources.drop(address)

    async def _ask_peers_for_head(self) -> None:
        chosen = self._sources.choose_peers()
        await asyncio.gather(*map(self._ask_for_head, chosen))

    async def _ask_for_head(self, address: ids.Address) -> bool:
        head = await self._sources.ask_head(address)
        if head is None or not self.rollout.offer(head):
            return False
        self._sources.add(address)
        self._wake.set()
        return True

    async def _fetch_chunks(self) -> bool:
        missing = self.rollout.list_missing()
        wanted = self.rollout.wanted
        for start in range(0, len(missing), PARALLEL):
            some = missing[start : start + PARALLEL]
            await asyncio.gather(*map(self._fetch_chunk, some))
            if self.rollout.wanted is not wanted:
                # A higher generation has come; its chunks matter now.
                return await self._fetch_chunks()
        still = self.rollout.list_missing()
        if still:
            reason = f"chunk {still[0]} is lost, changed or out of reach"
            self._refuse(wanted.generation, reason)
        return not still

    async def _fetch_chunk(self, digest: str) -> None:
        content = await self._sources.fetch_chunk(digest)
        if not content:
            return
        self.rollout.add_chunk(digest, content)
        try:
            self.rollout.compile_chunk(digest)
        except Exception:
            # The last step meets the same error and refuses the whole.
            return

    # Coming into force.

    def _finish(self) -> None:
        wanted = self.rollout.wanted
        if not self.rollout.finish():
            if wanted is not None and self.rollout.wanted is None:
                self._log_refusal()
            return
        head = self.rollout.head
        events.log_event(
            logger,
            events.Event.GENERATION_IN_FORCE,
            generation=head.generation,
            change=head.change,
            author=head.author,
        )
        if self._meters is not None:
            self._meters.set(metrics.Metric.GENERATION, head.generation)
        self._tell_listeners()
        self._notify(head.generation)

    def _tell_listeners(self) -> None:
        for listener in self._listeners:
            try:
                listener(self.rules)
            except Exception:
                # One part that fails must not keep the others on old rules.
                events.log_event(
                    logger, events.Event.TASK_FAILED, task="listener"
                )
                logger.exception("a listener failed")

    def _refuse(self, generation: ids.Generation, reason: str) -> None:
        if self.rollout.refuse(generation, reason):
            self._log_refusal()

    def _log_refusal(self) -> None:
        events.log_event(
            logger,
            events.Event.GENERATION_REFUSED,
            generation=self.rollout.refused_generation,
            reason=self.rollout.refusal,
        )
        # Others may be able to use it; if not, they say so themselves.
        self._notify(self.rollout.refused_generation)

    def _jitter(self, millis: float) -> float:
        return millis * self._generator.uniform(0.75, 1.25)
