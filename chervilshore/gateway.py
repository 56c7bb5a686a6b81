"""An entry host that forwards requests on the users' platform."""

import random

from aiohttp import web
import mode

from chervilshore.clients import connectionpool
from chervilshore.clients import connectors
from chervilshore.clients import relaying
from chervilshore.clients import zeromq
from chervilshore import clock as clocks
from chervilshore.controllers import batching
from chervilshore.controllers import batchstages
from chervilshore.controllers import catalog
from chervilshore.controllers import catalogsync
from chervilshore.controllers import decoders
from chervilshore.controllers import immediateslots
from chervilshore.controllers import membership
from chervilshore.controllers import noticelog
from chervilshore.controllers import quarantine
from chervilshore.controllers import streams
from chervilshore.controllers import submitting
from chervilshore.decisions import affinity
from chervilshore.decisions import deadlines
from chervilshore.decisions import ejection
from chervilshore.decisions import endpointnotices
from chervilshore.decisions import paths
from chervilshore.decisions import probes
from chervilshore.decisions import retries
from chervilshore.decisions import retryshares
from chervilshore.decisions import routing
from chervilshore.decisions import shedding
from chervilshore.filters import attempt
from chervilshore.filters import base
from chervilshore.filters import cutoff
from chervilshore.filters import deadline
from chervilshore.filters import forward
from chervilshore.filters import outcome
from chervilshore.filters import quarantine as quarantine_filter
from chervilshore.filters import resumption
from chervilshore.filters import route
from chervilshore.filters import stage
from chervilshore import ingress
from chervilshore import listener
from chervilshore import metrics
from chervilshore.platform import batches
from chervilshore.platform import documents
from chervilshore.platform import forwarding
from chervilshore.platform import names
from chervilshore.platform import requests
from chervilshore.platform import store
from chervilshore import records
from chervilshore import settings
from chervilshore import tunnelserver

PROBE_SETTINGS = probes.ProbeSettings(period_ms=400.0)
"""Fewer membership probes than by default, as each message costs CPU time on
small hosts."""

DRAIN_ACCEPT_MS = 2700.0
"""Milliseconds for which a draining host still accepts requests: the load
balancer ejects it after two failed readiness checks, a second apart."""

DECODERS = decoders.Decoders(
    rules=names.CONFIG,
    domains=names.EVACUATIONS,
    endpoints=names.SERVERS,
    hosts=names.HOSTS,
    rules_name=names.CONFIG_NAME,
    read_rules=documents.decode_rules,
    read_endpoint=documents.decode_endpoint,
    read_host=documents.decode_host,
    write_host=documents.encode_host,
)

_REQUEST_FORMAT = ingress.RequestFormat(
    decode=requests.decode_request,
    read_request_id=requests.read_attempt_id,
    request_header=names.ATTEMPT_ID,
)


class Gateway(mode.Service):
    """An entry host that forwards requests on the users' platform.

    Parameters
    ----------
    options : Settings
        The validated settings.
    clock : Clock
        The clock of all parts.
    connector : DirectConnector or None
        Opens connections from this host to endpoints; None for the usual one.

    Attributes
    ----------
    ingress : Ingress
        The HTTP interface for callers.
    """

    def __init__(
        self,
        options: settings.Settings,
        clock: clocks.Clock,
        connector: connectors.DirectConnector | None = None,
    ) -> None:
        super().__init__()
        self._options = options
        self._connector = connector or connectors.DirectConnector(
            options.source_ip
        )
        self._clock = clock
        self._metrics = metrics.Metrics()
        # Seeded by the system, so that hosts draw different numbers.
        self._random = random.Random()
        self._listeners = listener.Listeners(self._head_timeout_seconds)
        self._is_leaving = False
        self._max_known_hosts = 1
        self._make_control_plane()
        self._make_data_plane()
        self.ingress = ingress.Ingress(
            clock,
            self._make_chain(),
            self._metrics,
            _REQUEST_FORMAT,
            lambda: self._catalog.rules.limits,
        )

    def _make_control_plane(self) -> None:
        options = self._options
        self._store = store.MetadataStore(
            options.platform, self._clock, options.platform_ms, self._metrics
        )
        self._peers = zeromq.ZeroMQTransport(
            options.peer_address,
            self._clock,
            self._metrics,
            listen=options.peer_listen,
        )
        record = records.HostRecord(
            host=options.host,
            domain=options.domain,
            peer_address=options.peer_address,
            http_address=options.http_address,
            capacity=options.capacity,
            relay_address=options.relay_address,
        )
        self._membership = membership.Membership(
            record,
            self._clock,
            self._peers,
            self._random,
            options.seeds,
            probe_settings=PROBE_SETTINGS,
            metrics=self._metrics,
        )
        self._catalog = catalog.Catalog(
            self._store,
            DECODERS,
            self._membership,
            self._clock,
            options.store_recovery_ms,
        )
        self._catalog_sync = catalogsync.CatalogSync(
            self._catalog,
            self._membership,
            self._peers,
            self._clock,
            self._random,
        )

    def _make_data_plane(self) -> None:
        options = self._options
        self._notices = endpointnotices.EndpointNotices(self._random)
        notice_log = noticelog.NoticeLog(
            self._clock, self._notices, self._metrics
        )
        self._paths = paths.Paths(options.host, options.domain, self._random)
        relaying_connector = relaying.RelayingConnector(
            self._connector,
            self._paths,
            self._clock,
            self._catalog,
            self._metrics,
        )
        self._connections = connectionpool.ConnectionPool(
            self._clock, options.connect_ms, relaying_connector
        )
        relaying_connector.on_path_lost = self._connections.close_idle
        self._tunnels = tunnelserver.TunnelServer(
            options.relay_address,
            self._catalog,
            self._connector,
            self._metrics,
            options.connect_ms,
        )
        self._batch_service = batching.BatchService(
            self._clock,
            self._peers,
            self._catalog,
            self._catalog,
            batches.BatchClient(self._connections, notice_log.record),
            self._metrics,
            self._notices,
        )
        self._batch_pools = submitting.BatchPoolClient(
            options.host,
            self._clock,
            self._peers,
            self._catalog,
            self._batch_service,
        )
        self._batch_stages = batchstages.BatchStageRunner(
            options.host, self._clock, self._catalog, self._batch_pools
        )
        self._client = forwarding.ForwardClient(
            self._connections, self._clock, notice_log.record
        )
        self._quarantine = quarantine.Quarantine(
            options.host,
            self._clock,
            self._connections,
            self._catalog,
            self._peers,
            self._random,
            self._metrics,
        )
        self._streams = streams.Streams(
            options.host,
            self._clock,
            self._catalog,
            self._membership,
            self._peers,
            self._metrics,
        )
        self._slots = immediateslots.ImmediateSlots(
            options.host,
            self._clock,
            self._catalog,
            self._catalog,
            self._make_router,
            self._notices,
        )

    def _make_router(self) -> routing.Router:
        return affinity.AffinityRouter(
            self._options.domain, self._random, ejection.OutlierEjection()
        )

    def _make_chain(self) -> base.Proceed:
        deadline_policy = deadlines.WholeDeadline()
        kinds = records.EndpointKind
        attempts = attempt.AttemptRunner(
            self._clock,
            self._slots,
            dict.fromkeys((kinds.ENGINE, kinds.PLAIN), self._client),
            deadline_policy,
            shedding.NoShedding(),
            self._metrics,
        )
        self._budget = retries.RetryBudget(
            *retryshares.split_retry_budget(
                self._options, self._max_known_hosts
            )
        )
        self._membership.listen(lambda *unused: self._update_shares())
        self._catalog.on_hosts_listed = self._update_shares
        runner = stage.StageRunner(
            self._clock,
            attempts,
            self._budget,
            quarantine=self._quarantine,
        )
        self._cutoff = cutoff.CutoffFilter(self._clock)
        steps = (
            outcome.OutcomeFilter(),
            route.RouteFilter(self._catalog, self._random),
            quarantine_filter.QuarantineFilter(self._quarantine),
            deadline.DeadlineFilter(
                self._clock, deadline_policy, self._options.deadline_ms
            ),
            self._cutoff,
            resumption.ResumptionFilter(self._streams),
        )
        last = forward.ForwardFilter(self._clock, self._batch_stages, runner)
        return base.chain(steps, last.run)

    def _update_shares(self) -> None:
        """Divide budgets and limits among the most hosts known at any time.

        Hosts that seem down may only be partitioned and still send.
        """
        known = len(self._catalog.senders())
        if known > self._max_known_hosts:
            if self._max_known_hosts == 1:
                # All hosts may have ended at once, with their shares used.
                self._budget.drop_tokens(self._clock.now())
            self._max_known_hosts = known
            self._notices.record_hosts(known)
            self._budget.reconfigure(
                *retryshares.split_retry_budget(self._options, known)
            )

    @property
    def is_ready(self) -> bool:
        """Whether load balancers may send callers to this host."""
        return not self._is_leaving and self._catalog.ready

    async def on_start(self) -> None:
        """Start all services, then listen for callers."""
        for service in (
            self._peers,
            self._membership,
            self._catalog,
            self._catalog_sync,
            self._batch_service,
            self._batch_pools,
            self._quarantine,
            self._streams,
            self._tunnels,
        ):
            await self.add_runtime_dependency(service)
        options = self._options
        await self._listeners.listen(self.ingress.serve, options.http_address)
        for address in (options.ready_address, options.metrics_address):
            if address:
                await self._listeners.listen(self._serve_status, address)

    def _head_timeout_seconds(self) -> float:
        limits = self._catalog.rules.limits
        return limits.header_ms / clocks.MILLIS_PER_SECOND

    async def _serve_status(self, request: web.BaseRequest) -> web.Response:
        if request.path == "/metrics":
            self._catalog.report(self._metrics)
            return web.Response(
                body=self._metrics.render(), content_type="text/plain"
            )
        ready = self.is_ready
        return web.json_response(
            {
                "ready": ready,
                "leaving": self._is_leaving,
                "catalog": self._catalog.describe(),
                "held": self._quarantine.describe(),
                "streams": self._streams.describe(),
                "paths_lost_ms": self._paths.describe(self._clock.now()),
            },
            status=200 if ready else 503,
        )

    def reload(self, options: settings.Settings) -> None:
        """Apply the new values of the settings that can change."""
        self._options = options
        self._connections.connect_ms = options.connect_ms
        self._tunnels.connect_ms = options.connect_ms
        self._store.timeout_ms = options.platform_ms
        self._budget.reconfigure(
            *retryshares.split_retry_budget(options, self._max_known_hosts)
        )

    async def drain(self) -> None:
        """Wait until the load balancer ejects this host, then finish.

        Returns when no request is in flight or ``drain_ms`` have passed.
        """
        self._is_leaving = True
        self.ingress.draining = True
        self._membership.leave()
        self._batch_service.leave()
        await self._catalog.unregister()
        await self._clock.sleep(DRAIN_ACCEPT_MS)
        # Later requests have a better chance at another host.
        self.ingress.closed = True
        self._tunnels.closed = True
        remaining_ms = self._options.drain_ms - DRAIN_ACCEPT_MS
        try:
            await clocks.wait_for(
                self._clock, self._wait_idle(), max(0.0, remaining_ms)
            )
        except TimeoutError:
            return

    async def _wait_idle(self) -> None:
        await self.ingress.wait_idle()
        await self._batch_service.wait_idle()
        await self._tunnels.wait_idle()
        await self._listeners.wait_sent()

    async def on_stop(self) -> None:
        """Close the connections of callers and to endpoints."""
        await self._listeners.close()
        self._connections.close()

    async def on_shutdown(self) -> None:
        """Close the store last, as stopping services still use it."""
        await self._store.close()
