"""Finds out what began a stream that a caller resumes at any host."""

import asyncio
import functools
import logging

import mode

from chervilshore.clients import peers as peer_types
from chervilshore import clock as clocks
from chervilshore.controllers import directory as directories
from chervilshore.controllers import membership as memberships
from chervilshore.controllers import streamstore
from chervilshore.decisions import streamorigins
from chervilshore import events
from chervilshore import exceptions
from chervilshore.filters import base
from chervilshore import forwarded
from chervilshore import ids
from chervilshore import metrics as metric_types
from chervilshore import objects
from chervilshore import records
from chervilshore import streammessages

REPORT_MS = 100.0
"""Milliseconds between two reports to owners."""

ASK_TIMEOUT_MS = 250.0
"""Milliseconds to wait for the owners of a stream."""

STORE_TIMEOUT_MS = 1000.0
"""Milliseconds in which the store is asked for a stream that no host knows."""

STORE_RETRY_MS = 200.0
"""Milliseconds after which a store that failed is asked again."""

MAX_STARTS = 500
"""Streams in one message."""

UNLISTED_MS = 15_000.0
"""Milliseconds for which a host that does not reach the store may still begin
streams at an endpoint that is no longer listed."""

EXPIRY_MS = 5000.0
"""Milliseconds between two searches for streams to forget."""

_LOGGER = logging.getLogger(__name__)


class Streams(mode.Service):
    """Knows what began streams, by what all hosts know together.

    While a pool has only one version of endpoints, that version began its
    streams, and hosts tell each other nothing. As soon as another one is
    listed, each host tells the owners of its streams how they began.

    Parameters
    ----------
    host : HostId
        This host.
    clock : Clock
        The time.
    directory : Directory
        Lists the hosts, and knows the versions of pools.
    membership : Membership
        Tells which hosts have come or gone.
    peers : PeerTransport
        Sends and receives the messages.
    store : ObjectStore
        Keeps what outlives all hosts.
    kind : str
        The kind of the objects there.
    metrics : Metrics
        Counts the searches.
    """

    def __init__(
        self,
        host: ids.HostId,
        clock: clocks.Clock,
        directory: directories.Directory,
        membership: memberships.Membership,
        peers: peer_types.PeerTransport,
        store: objects.ObjectStore,
        kind: str,
        metrics: metric_types.Metrics,
    ) -> None:
        super().__init__()
        self._host = host
        self._clock = clock
        self._directory = directory
        self._membership = membership
        self._peers = peers
        self._stored = streamstore.StreamStore(
            host, clock, store, kind, directory, metrics
        )
        self._metrics = metrics
        self._table = streamorigins.StreamTable()
        self._windows_ms: dict[ids.PoolName, float] = {}
        self._changed: dict[ids.HostId, records.HostRecord] = {}
        self._has_work = asyncio.Event()

    async def on_start(self) -> None:
        """Register the message handlers."""
        self._peers.handle(streammessages.StreamReport, self._handle_report)
        self._peers.handle(streammessages.StreamRequest, self._handle_request)
        self._membership.listen(self._handle_change)
        await self.add_runtime_dependency(self._stored)

    def follow(self, exchange: base.Exchange) -> None:
        """Record what begins the stream of a request."""
        relay = exchange.relay
        relay.needs_version = True
        relay.on_sent = functools.partial(self._record_sent, exchange)
        relay.confirm = functools.partial(
            self._stored.confirm, exchange.request
        )
        relay.on_begun = functools.partial(self.record, exchange)

    def _record_sent(
        self, exchange: base.Exchange, origin: forwarded.StreamOrigin
    ) -> None:
        # It is in the store by the time that the first event comes.
        self._stored.record(
            exchange.request,
            origin,
            _choose_left_ms(exchange),
            choose_window_ms(exchange),
        )

    def record(self, exchange: base.Exchange) -> None:
        """Record that the first event of a request's stream has come."""
        origin = exchange.relay.origin
        self._windows_ms[origin.pool] = choose_window_ms(exchange)
        self._table.record(
            _choose_stream(exchange),
            origin,
            _choose_left_ms(exchange),
            self._clock.now(),
        )
        # A caller may resume it at once, so its owners hear at once.
        self._report_starts()
        self._has_work.set()

    async def find(
        self, exchange: base.Exchange
    ) -> forwarded.StreamOrigin | None:
        """Return what began the stream that a caller resumes.

        Returns
        -------
        StreamOrigin or None
            None if neither this host nor the owners of the stream know it.
        """
        stream = exchange.forwarded_request.resumes
        request = streammessages.StreamRequest(
            stream,
            exchange.pipeline.stages[-1].pool,
            # No host knows a stream that the caller does not name.
            choose_window_ms(exchange) if stream else None,
        )
        reply = self._answer(request)
        source = "here"
        if reply.origin is None and (stream or reply.only_version):
            # An owner may know better than the listings of this host.
            reply = await self._ask_owners(request, reply)
            source = "owner"
            if reply == streammessages.StreamReply():
                reply = await self._read_store(request)
                source = "store"
        if reply == streammessages.StreamReply() and stream:
            # The news may have been on their way.
            await self._clock.sleep(REPORT_MS)
            reply = await self._ask_owners(request, self._answer(request))
        origin = reply.origin
        if reply == streammessages.StreamReply() and stream:
            events.log_event(
                _LOGGER,
                events.Event.STREAM_UNKNOWN,
                request=exchange.request,
                resumes=stream,
                pool=request.pool,
                window_ms=request.window_ms,
                **self._stored.describe_pool(request.pool),
            )
        if origin is None and reply.only_version is not None:
            origin = forwarded.StreamOrigin(request.pool, reply.only_version)
            source = "version"
        self._metrics.count(
            metric_types.Metric.STREAMS_RESUMED,
            "unknown" if origin is None else source,
        )
        return origin

    def describe(self) -> dict[str, object]:
        """Return how many streams are known, for operators."""
        return {"known": len(self._table), "store": self._stored.describe()}

    def _answer(
        self, request: streammessages.StreamRequest
    ) -> streammessages.StreamReply:
        """Return what this host knows itself."""
        origin = self._table.find(request.stream, self._clock.now())
        version = self._directory.find_only_version(
            request.pool, request.window_ms
        )
        if request.stream:
            origin = origin or self._stored.find(request.stream)
            version = version or self._stored.find_only_version(request.pool)
        return streammessages.StreamReply(origin, version)

    async def _read_store(
        self, request: streammessages.StreamRequest
    ) -> streammessages.StreamReply:
        """Return what the store tells of a stream that no host knows.

        Without its answer nothing is known: the listing of this host may be
        old.
        """
        deadline = self._clock.now() + STORE_TIMEOUT_MS
        origin = None
        while self._clock.now() < deadline:
            try:
                origin = await self._stored.find_after_reading(request.stream)
            except exceptions.PlatformError:
                # The reading is tried again while the caller waits.
                await self._clock.sleep(STORE_RETRY_MS)
            else:
                if origin is None:
                    return self._answer_by_registry(request)
                break
        return streammessages.StreamReply(origin)

    def _answer_by_registry(
        self, request: streammessages.StreamRequest
    ) -> streammessages.StreamReply:
        """Return what follows from the versions that were just read."""
        answer = self._answer(request)
        if not self._stored.has_registered(request.pool):
            return answer
        return streammessages.StreamReply(
            answer.origin, self._stored.find_only_version(request.pool)
        )

    async def _ask_owners(
        self,
        request: streammessages.StreamRequest,
        answer: streammessages.StreamReply,
    ) -> streammessages.StreamReply:
        """Return what the owners of a stream know beyond an answer.

        A version that this host takes for the only one has to be confirmed:
        another one may have joined unnoticed.
        """
        owners = streamorigins.choose_owners(
            self._directory.hosts(), request.stream
        )
        asked = [
            asyncio.ensure_future(self._ask(owner.peer_address, request))
            for owner in owners
            if owner.host != self._host
        ]
        confirmed = set()
        try:
            for waiting in asyncio.as_completed(asked):
                reply = await waiting
                if reply.origin is not None:
                    return reply
                confirmed.add(reply.only_version)
        finally:
            for task in asked:
                task.cancel()
        if answer.origin is not None:
            return answer
        confirmed.discard(None)
        listed = {
            record.version
            for record in self._directory.endpoints(request.pool)
        }
        if confirmed and len(confirmed | listed) == 1:
            return streammessages.StreamReply(only_version=confirmed.pop())
        return streammessages.StreamReply()

    async def _ask(
        self, address: ids.Address, request: streammessages.StreamRequest
    ) -> streammessages.StreamReply:
        try:
            reply = await self._peers.send_request(
                address, request, ASK_TIMEOUT_MS
            )
        except exceptions.PeerError:
            # The other owner may answer; a refusal says that none did.
            return streammessages.StreamReply()
        if isinstance(reply, streammessages.StreamReply):
            return reply
        return streammessages.StreamReply()

    def _handle_request(
        self, sender: ids.Address, request: streammessages.StreamRequest
    ) -> streammessages.StreamReply:
        return self._answer(request)

    def _handle_report(
        self, sender: ids.Address, report: streammessages.StreamReport
    ) -> None:
        now = self._clock.now()
        hosts = self._directory.hosts()
        for start in report.starts:
            self._table.record(start.stream, start.origin, start.left_ms, now)
            self._table.share(start.stream, hosts)

    def _handle_change(self, record: records.HostRecord) -> None:
        if record.host != self._host:
            self._changed[record.host] = record
            self._has_work.set()

    @mode.Service.task
    async def _report(self) -> None:
        """Tell owners of streams what they have to know."""
        while not self.should_stop:
            await self._has_work.wait()
            self._report_starts()
            if not self._table.list_unshared():
                self._has_work.clear()
            await self._clock.sleep(REPORT_MS)

    def _report_starts(self) -> None:
        self._stored.check_versions()
        now = self._clock.now()
        hosts = self._directory.hosts()
        told: list[tuple[records.HostRecord, ids.RequestId]] = []
        changed, self._changed = self._changed, {}
        for record in changed.values():
            told += self._table.reassign(record, hosts, now)
        for pool, streams in tuple(self._table.list_unshared().items()):
            window_ms = self._windows_ms.get(
                pool, streamorigins.MAX_LIFETIME_MS
            )
            if self._directory.find_only_version(pool, window_ms) is None:
                told += [
                    (owner, stream)
                    for stream in tuple(streams)
                    for owner in self._table.share(stream, hosts)
                ]
        self._send_starts(told)

    def _send_starts(
        self, told: list[tuple[records.HostRecord, ids.RequestId]]
    ) -> None:
        now = self._clock.now()
        streams: dict[ids.Address, list[ids.RequestId]] = {}
        for owner, stream in told:
            if owner.host != self._host:
                streams.setdefault(owner.peer_address, []).append(stream)
        for address, known in streams.items():
            for first in range(0, len(known), MAX_STARTS):
                starts = tuple(
                    self._table.make_start(stream, now)
                    for stream in known[first : first + MAX_STARTS]
                )
                self._peers.send(address, streammessages.StreamReport(starts))

    @mode.Service.task
    async def _expire(self) -> None:
        while not self.should_stop:
            await self._clock.sleep(EXPIRY_MS)
            self._table.expire(self._clock.now())


def _choose_stream(exchange: base.Exchange) -> ids.RequestId:
    """Return the request that brought the first event of a stream.

    A request that names another one without the event after which it goes on
    begins a stream of its own.
    """
    forwarded_request = exchange.forwarded_request
    if forwarded_request.last_event_id is None:
        return exchange.request
    return forwarded_request.resumes or exchange.request


def _choose_left_ms(exchange: base.Exchange) -> float:
    """Return for how long the caller may resume the stream."""
    return max(
        exchange.forwarded_request.timeout_ms or 0.0,
        exchange.pipeline.deadline_ms,
    )


def choose_window_ms(exchange: base.Exchange) -> float:
    """Return for how long before now the stream of a request can have begun.

    It covers the longest attempt and a pause of the caller after it, and
    that the attempt began at an endpoint that was listed no more. Each
    attempt before went on at the version that the one before it had.
    """
    return 2.0 * exchange.pipeline.deadline_ms + UNLISTED_MS
