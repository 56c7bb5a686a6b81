"""Lists hosts and endpoints from the platform's host list and from peers.

One host of each failure domain, the reader, reads the platform's list and
pushes changes to the other hosts of its domain. These periodically ask the
reader whether they missed a change, and read the list themselves if it
does not answer.
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

JITTER_FRACTION = 0.1
"""Fraction by which the poll interval varies, to desynchronize the hosts."""

CHECK_INTERVAL_POLLS = 10
"""Poll intervals between two checks with the reader for missed changes."""

PEER_TIMEOUT_MS = 300.0
"""Milliseconds to wait for the reply of a peer."""

MAX_PUSH_ATTEMPTS = 3
"""Attempts to push a change to one host."""

MAX_CONCURRENT_PUSHES = 32
"""Hosts to which a change is pushed at the same time."""

_EndpointsByPool = dict[ids.PoolName, tuple[records.EndpointRecord, ...]]


class HostDirectory(mode.Service, directory.Directory):
    """A directory that follows the platform's host list.

    Parameters
    ----------
    membership : Membership
        Lists the entry hosts that are alive.
    clock : Clock
        Measures polls and timeouts.
    peers : PeerTransport
        Sends and receives the messages.
    platform : Platform
        Provides the host list.
    configuration : Configuration
        Provides the assignments of hosts and endpoints to failure domains.
    rng : random.Random
        Chooses peers and jitter.
    poll_ms : float
        Milliseconds between two polls of the host list.
    metrics : Metrics or None
        Counts the changes of the listing.
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
        self._listing: listings.EndpointListing | None = None
        self._by_pool: _EndpointsByPool = {}
        self._by_endpoint: dict[ids.EndpointId, records.EndpointRecord] = {}
        self._confirmed_at = -math.inf
        self._list_readable = True
        self._reader_candidates: tuple[records.HostRecord, ...] = ()
        self._cached_reader: ids.HostId | None = None
        self._poll_count = 0
        self._read_count = 0
        self._push_tasks: set[asyncio.Future] = set()
        configuration.listen(lambda rules: self._index_endpoints())

    @property
    def ready(self) -> bool:
        """Whether a listing of endpoints has been received."""
        return self._listing is not None

    def hosts(self) -> tuple[records.HostRecord, ...]:
        """List the entry hosts; see `Directory.hosts`."""
        hosts = self._membership.hosts()
        assignments = self._configuration.rules.assignments
        if not assignments:
            return hosts
        return tuple(self._apply_assignment(host, host.host) for host in hosts)

    def endpoints(
        self, pool: ids.PoolName
    ) -> tuple[records.EndpointRecord, ...]:
        """List a pool's endpoints; see `Directory.endpoints`."""
        return self._by_pool.get(pool, ())

    def endpoint(
        self, endpoint: ids.EndpointId
    ) -> records.EndpointRecord | None:
        """Return an endpoint; see `Directory.endpoint`."""
        return self._by_endpoint.get(endpoint)

    def describe(self) -> dict:
        """Return the state as JSON values, for operators."""
        return {
            "reader": self._find_reader(),
            "readable": self._list_readable,
            "reads": self._read_count,
            "digest": self._listing.digest if self._listing else "",
            "endpoints": [
                msgspec.to_builtins(record)
                for record in self._by_endpoint.values()
            ],
        }

    async def on_start(self) -> None:
        """Register the message handlers."""
        self._peers.handle(
            messages.ListingRequest, self._handle_listing_request
        )
        self._peers.handle(messages.ListingNotice, self._handle_listing_notice)

    async def on_stop(self) -> None:
        """Cancel the pushes that are running."""
        for task in tuple(self._push_tasks):
            task.cancel()

    @mode.Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            await self._poll()
            jitter = 1 + JITTER_FRACTION * (2 * self._rng.random() - 1)
            await self._clock.sleep(self._poll_ms * jitter)

    async def _poll(self) -> None:
        self._poll_count += 1
        is_reader = self._find_reader() == self._membership.me.host
        if is_reader or self._listing is None:
            if not await self._read_host_list():
                await self._request_from_random_host()
        elif self._poll_count % CHECK_INTERVAL_POLLS == 0:
            reader = self._membership.get(self._find_reader())
            if not await self._request_listing(reader.peer_address):
                await self._read_host_list()

    def _find_reader(self) -> ids.HostId | None:
        hosts = self._membership.hosts()
        # The tuple is the same object until a host changes.
        if hosts is not self._reader_candidates:
            self._reader_candidates = hosts
            self._cached_reader = listings.choose_reader(
                hosts, self._membership.me.domain, rendezvous.choose
            )
        return self._cached_reader

    async def _read_host_list(self) -> bool:
        """Read the platform's list; return whether it was usable."""
        self._read_count += 1
        try:
            host_list = await self._platform.hosts()
        except exceptions.PlatformError as error:
            self._set_readable(False, repr(error))
            return False
        self._membership.propose(host_list.hosts)
        if self._listing and not host_list.endpoints:
            # Losing all endpoints at the same time means a faulty list.
            self._set_readable(False, "the host list has no endpoints")
            return False
        self._set_readable(True)
        self._confirmed_at = self._clock.now()
        self._replace_listing(
            listings.EndpointListing(host_list.endpoints), "platform"
        )
        return True

    def _set_readable(self, readable: bool, error: str = "") -> None:
        if readable == self._list_readable:
            return
        self._list_readable = readable
        if readable:
            events.log_event(logger, events.Event.HOST_LIST_READABLE)
        else:
            events.log_event(
                logger, events.Event.HOST_LIST_UNREADABLE, error=error
            )

    def _replace_listing(
        self, listing: listings.EndpointListing, source: str
    ) -> None:
        before = self._listing or listings.EndpointListing()
        if self._listing and before.digest == listing.digest:
            return
        self._listing = listing
        self._index_endpoints()
        notice = before.diff(listing)
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

    def _index_endpoints(self) -> None:
        if self._listing is None:
            return
        by_pool: dict[ids.PoolName, list[records.EndpointRecord]] = {}
        self._by_endpoint = {}
        for endpoint, record in self._listing.endpoints.items():
            record = self._apply_assignment(record, endpoint)
            self._by_endpoint[endpoint] = record
            by_pool.setdefault(record.pool, []).append(record)
        self._by_pool = {pool: tuple(found) for pool, found in by_pool.items()}

    def _apply_assignment(self, record, name: str):
        assignment = self._configuration.rules.assignments.get(name)
        if assignment is None:
            return record
        return msgspec.structs.replace(record, domain=assignment.domain)

    def _push(self, notice: messages.ListingNotice) -> None:
        """Send a change to all other hosts of this failure domain."""
        me = self._membership.me
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_PUSHES)
        for host in self._membership.hosts():
            if host.domain != me.domain or host.host == me.host:
                continue
            task = asyncio.ensure_future(
                self._push_to(host.peer_address, notice, semaphore)
            )
            self._push_tasks.add(task)
            task.add_done_callback(self._push_tasks.discard)

    async def _push_to(
        self,
        address: ids.Address,
        notice: messages.ListingNotice,
        semaphore: asyncio.Semaphore,
    ) -> None:
        async with semaphore:
            for _ in range(MAX_PUSH_ATTEMPTS):
                try:
                    await self._peers.send_request(
                        address, notice, PEER_TIMEOUT_MS
                    )
                    return
                except exceptions.PeerError:
                    continue

    async def _handle_listing_notice(
        self, sender: ids.Address, notice: messages.ListingNotice
    ) -> messages.ListingAck:
        listing = self._listing or listings.EndpointListing()
        if notice.digest == listing.digest:
            self._confirmed_at = self._clock.now()
        else:
            applied = listing.apply(notice)
            if applied is not None:
                self._confirmed_at = self._clock.now()
                self._replace_listing(applied, "peer")
            else:
                await self._request_listing(sender)
        listing = self._listing or listings.EndpointListing()
        return messages.ListingAck(listing.digest)

    def _handle_listing_request(
        self, sender: ids.Address, request: messages.ListingRequest
    ) -> messages.ListingReply:
        if self._listing is None:
            return messages.ListingReply("")
        digest = self._listing.digest
        age_ms = self._clock.now() - self._confirmed_at
        if request.digest == digest:
            return messages.ListingReply(digest, age_ms)
        endpoints = tuple(self._listing.endpoints.values())
        return messages.ListingReply(digest, age_ms, endpoints)

    async def _request_from_random_host(self) -> None:
        others = self._membership.hosts()[1:]
        if others:
            host = self._rng.choice(others)
            await self._request_listing(host.peer_address)

    async def _request_listing(self, address: ids.Address) -> bool:
        """Request a newer listing; return whether the peer has a listing."""
        digest = self._listing.digest if self._listing else ""
        request = messages.ListingRequest(digest)
        try:
            reply = await self._peers.send_request(
                address, request, PEER_TIMEOUT_MS
            )
        except exceptions.PeerError:
            return False
        if not isinstance(reply, messages.ListingReply) or not reply.digest:
            return False
        confirmed = self._clock.now() - reply.age_ms
        if confirmed <= self._confirmed_at:
            return True
        self._confirmed_at = confirmed
        if reply.endpoints is not None:
            self._replace_listing(
                listings.EndpointListing(reply.endpoints), "peer"
            )
        return True
