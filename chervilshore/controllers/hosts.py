"""Hosts and endpoints from the platform's list, peers and the rules.

One host of each failure domain reads the platform's list and pushes what
changes to the others of its domain; they ask it now and then whether
they missed something, and read the list themselves when it is silent.
"""

import asyncio
import logging
import math
import random

import mode
import msgspec

from chervilshore.clients import peers as peer_types
from chervilshore.clients import platform as platform_types
from chervilshore import clock as clocks
from chervilshore.controllers import configuration as configurations
from chervilshore.controllers import directory
from chervilshore.controllers import membership as memberships
from chervilshore.decisions import listing as listings
from chervilshore.decisions import rendezvous
from chervilshore import events
from chervilshore import exceptions
from chervilshore import ids
from chervilshore import messages
from chervilshore import metrics as metric_types
from chervilshore import records

logger = logging.getLogger(__name__)

JITTER = 0.1
CHECK_POLLS = 10
"""Polls of the reader between two questions whether one missed something."""

ASK_MS = 300.0
PUSH_TRIES = 3
PUSHES_AT_ONCE = 32

_BY_POOL = dict[ids.PoolName, tuple[records.EndpointRecord, ...]]


class HostDirectory(mode.Service, directory.Directory):
    """What this host believes of hosts and endpoints.

    Parameters
    ----------
    membership : Membership
        Which entry hosts are alive.
    clock : Clock
        Measures polls and timeouts.
    peers : PeerTransport
        Carries the messages.
    platform : Platform
        Has the host list.
    configuration : Configuration
        Has the assignments of failure domains.
    rng : random.Random
        Chooses peers and jitter.
    poll_ms : float
        Milliseconds between two readings of the host list.
    metrics : Metrics or None
        Where to count.
    """

    def __init__(
        self,
        membership: memberships.Membership,
        clock: clocks.Clock,
        peers: peer_types.PeerTransport,
        platform: platform_types.Platform,
        configuration: configurations.Configuration,
        rng: random.Random,
        poll_ms: float = 1000.0,
        metrics: metric_types.Metrics | None = None,
    ) -> None:
        super().__init__()
        self._membership = membership
        self._clock = clock
        self._peers = peers
        self._platform = platform
        self._configuration = configuration
        self._rng = rng
        self._poll_ms = poll_ms
        self._metrics = metrics
        self._listing: listings.Listing | None = None
        self._by_pool: _BY_POOL = {}
        self._assigned: dict[ids.EndpointId, records.EndpointRecord] = {}
        self._confirmed = -math.inf
        self._readable = True
        self._chosen_from: tuple[records.HostRecord, ...] = ()
        self._chosen: ids.HostId | None = None
        self._polls = 0
        self._reads = 0
        self._pushing: set[asyncio.Future] = set()
        configuration.listen(lambda rules: self._index())

    @property
    def ready(self) -> bool:
        """Whether there is a listing of endpoints."""
        return self._listing is not None

    def hosts(self) -> tuple[records.HostRecord, ...]:
        """List the entry hosts; see `Directory.hosts`."""
        hosts = self._membership.hosts()
        assignments = self._configuration.rules.assignments
        if not assignments:
            return hosts
        return tuple(self._assign(host, host.host) for host in hosts)

    def endpoints(
        self, pool: ids.PoolName
    ) -> tuple[records.EndpointRecord, ...]:
        """List a pool's endpoints; see `Directory.endpoints`."""
        return self._by_pool.get(pool, ())

    def endpoint(
        self, endpoint: ids.EndpointId
    ) -> records.EndpointRecord | None:
        """Find an endpoint; see `Directory.endpoint`."""
        return self._assigned.get(endpoint)

    def describe(self) -> dict:
        """Describe the state for operators."""
        return {
            "reader": self._reader(),
            "readable": self._readable,
            "reads": self._reads,
            "digest": self._listing.digest if self._listing else "",
            "endpoints": [
                msgspec.to_builtins(record)
                for record in self._assigned.values()
            ],
        }

    async def on_start(self) -> None:
        """Begin to answer questions about the listing."""
        self._peers.handle(messages.ListingRequest, self._answer)
        self._peers.handle(messages.ListingNotice, self._take_notice)

    async def on_stop(self) -> None:
        """End the pushes that are under way."""
        for task in tuple(self._pushing):
            task.cancel()

    @mode.Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            await self._poll()
            jitter = 1 + JITTER * (2 * self._rng.random() - 1)
            await self._clock.sleep(self._poll_ms * jitter)

    async def _poll(self) -> None:
        self._polls += 1
        reads = self._reader() == self._membership.me.host
        if reads or self._listing is None:
            if not await self._read():
                await self._ask_anyone()
        elif self._polls % CHECK_POLLS == 0:
            reader = self._membership.get(self._reader())
            if not await self._ask(reader.peer_address):
                await self._read()

    def _reader(self) -> ids.HostId | None:
        hosts = self._membership.hosts()
        # The list is the same object until something has changed.
        if hosts is not self._chosen_from:
            self._chosen_from = hosts
            self._chosen = listings.choose_reader(
                hosts, self._membership.me.domain, rendezvous.choose
            )
        return self._chosen

    async def _read(self) -> bool:
        self._reads += 1
        try:
            host_list = await self._platform.hosts()
        except exceptions.PlatformError as error:
            self._note_readable(False, repr(error))
            return False
        self._membership.propose(host_list.hosts)
        if self._listing and not host_list.endpoints:
            # All endpoints gone at once is a fault of the list.
            self._note_readable(False, "the list is empty")
            return False
        self._note_readable(True)
        self._confirmed = self._clock.now()
        self._put(listings.Listing(host_list.endpoints), "platform")
        return True

    def _note_readable(self, readable: bool, error: str = "") -> None:
        if readable == self._readable:
            return
        self._readable = readable
        if readable:
            events.log_event(logger, events.Event.HOST_LIST_READ)
        else:
            events.log_event(
                logger, events.Event.HOST_LIST_UNREAD, error=error
            )

    def _put(self, listing: listings.Listing, source: str) -> None:
        before = self._listing or listings.Listing()
        if self._listing and before.digest == listing.digest:
            return
        self._listing = listing
        self._index()
        notice = before.compare(listing)
        events.log_event(
            logger,
            events.Event.LISTING_CHANGED,
            source=source,
            changed=len(notice.changed),
            removed=len(notice.removed),
        )
        if self._metrics is not None:
            self._metrics.count(metric_types.Metric.LISTING_CHANGES, source)
        if source == "platform":
            self._push(notice)

    def _index(self) -> None:
        if self._listing is None:
            return
        by_pool: dict[ids.PoolName, list[records.EndpointRecord]] = {}
        self._assigned = {}
        for endpoint, record in self._listing.endpoints.items():
            record = self._assign(record, endpoint)
            self._assigned[endpoint] = record
            by_pool.setdefault(record.pool, []).append(record)
        self._by_pool = {pool: tuple(found) for pool, found in by_pool.items()}

    def _assign(self, record, name: str):
        assignment = self._configuration.rules.assignments.get(name)
        if assignment is None:
            return record
        return msgspec.structs.replace(record, domain=assignment.domain)

    def _push(self, notice: messages.ListingNotice) -> None:
        me = self._membership.me
        limit = asyncio.Semaphore(PUSHES_AT_ONCE)
        for host in self._membership.hosts():
            if host.domain != me.domain or host.host == me.host:
                continue
            task = asyncio.ensure_future(
                self._push_to(host.peer_address, notice, limit)
            )
            self._pushing.add(task)
            task.add_done_callback(self._pushing.discard)

    async def _push_to(
        self,
        address: ids.Address,
        notice: messages.ListingNotice,
        limit: asyncio.Semaphore,
    ) -> None:
        async with limit:
            for _ in range(PUSH_TRIES):
                try:
                    await self._peers.send_request(address, notice, ASK_MS)
                    return
                except exceptions.PeerError:
                    continue

    async def _take_notice(
        self, sender: ids.Address, notice: messages.ListingNotice
    ) -> messages.ListingTaken:
        listing = self._listing or listings.Listing()
        if notice.digest == listing.digest:
            self._confirmed = self._clock.now()
        else:
            applied = listing.apply(notice)
            if applied is not None:
                self._confirmed = self._clock.now()
                self._put(applied, "peer")
            else:
                await self._ask(sender)
        listing = self._listing or listings.Listing()
        return messages.ListingTaken(listing.digest)

    def _answer(
        self, sender: ids.Address, request: messages.ListingRequest
    ) -> messages.ListingReply:
        if self._listing is None:
            return messages.ListingReply("")
        digest = self._listing.digest
        age_ms = self._clock.now() - self._confirmed
        if request.digest == digest:
            return messages.ListingReply(digest, age_ms)
        endpoints = tuple(self._listing.endpoints.values())
        return messages.ListingReply(digest, age_ms, endpoints)

    async def _ask_anyone(self) -> None:
        others = self._membership.hosts()[1:]
        if others:
            host = self._rng.choice(others)
            await self._ask(host.peer_address)

    async def _ask(self, address: ids.Address) -> bool:
        digest = self._listing.digest if self._listing else ""
        request = messages.ListingRequest(digest)
        try:
            reply = await self._peers.send_request(address, request, ASK_MS)
        except exceptions.PeerError:
            return False
        if not isinstance(reply, messages.ListingReply) or not reply.digest:
            return False
        confirmed = self._clock.now() - reply.age_ms
        if confirmed <= self._confirmed:
            return True
        self._confirmed = confirmed
        if reply.endpoints is not None:
            self._put(listings.Listing(reply.endpoints), "peer")
        return True
