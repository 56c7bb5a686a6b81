"""An entry host that forwards requests on the users' platform."""

from aiohttp import web

from chervilshore.clients import connectionpool
from chervilshore.clients import connectors
from chervilshore.clients import relaying
from chervilshore import clock as clocks
from chervilshore.controllers import batching
from chervilshore.controllers import batchstages
from chervilshore.controllers import capacities
from chervilshore.controllers import holdstore
from chervilshore.controllers import immediateslots
from chervilshore.controllers import noticelog
from chervilshore.controllers import quarantine
from chervilshore.controllers import rollouts
from chervilshore.controllers import streams
from chervilshore.controllers import submitting
from chervilshore import controlplane
from chervilshore.decisions.capacity import router as capacityrouter
from chervilshore.decisions import deadlines
from chervilshore.decisions import ejection
from chervilshore.decisions import endpointnotices
from chervilshore.decisions import paths
from chervilshore.decisions import retrybudgets
from chervilshore.decisions import retryshares
from chervilshore.decisions import routing
from chervilshore.decisions import shedding
from chervilshore import entryhost
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
from chervilshore import ids
from chervilshore import ingress
from chervilshore import listener
from chervilshore import metrics
from chervilshore.platform import batches
from chervilshore.platform import forwarding
from chervilshore.platform import names
from chervilshore.platform import requests
from chervilshore import records
from chervilshore import settings
from chervilshore import tunnelserver

DRAIN_ACCEPT_MS = 2700.0
"""Milliseconds for which a draining host still accepts requests: the load
balancer ejects it after two failed readiness checks, a second apart."""

_REQUEST_FORMAT = ingress.RequestFormat(
    decode=requests.decode_request,
    read_request_id=requests.read_attempt_id,
    request_header=names.ATTEMPT_ID,
)


class Gateway(entryhost.EntryHost):
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
        super().__init__(options, clock)
        self._connector = connector or connectors.DirectConnector(
            options.source_ip
        )
        self._listeners = listener.Listeners(self._head_timeout_seconds)
        self._is_leaving = False
        self._max_known_hosts = 1
        plane = controlplane.ControlPlane(
            options, clock, self._metrics, self._random
        )
        self._control_services = plane.services
        self._store = plane.store
        self._peers = plane.peers
        self._membership = plane.membership
        self._decoders = plane.decoders
        self._catalog = plane.catalog
        self._make_data_plane()
        self.ingress = ingress.Ingress(
            clock,
            self._make_chain(),
            self._metrics,
            _REQUEST_FORMAT,
            lambda: self._catalog.rules.limits,
        )

    def _make_data_plane(self) -> None:
        options = self._options
        self._rollouts, self._versions = rollouts.assemble(
            options,
            self._clock,
            self._store,
            self._catalog,
            self._decoders,
            self._membership,
            self._peers,
            self._random,
            self._metrics,
        )
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
            self._versions,
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
            self._connections, self._clock, notice_log.record, self._metrics
        )
        self._quarantine = quarantine.Quarantine(
            options.host,
            self._clock,
            self._connections,
            self._catalog,
            self._peers,
            self._random,
            self._metrics,
            self._versions,
            holdstore.HoldStore(
                options.host,
                self._clock,
                self._store,
                names.HOLDS,
                self._catalog,
                self._metrics,
            ),
        )
        self._streams = streams.Streams(
            options.host,
            self._clock,
            self._catalog,
            self._membership,
            self._peers,
            self._store,
            names.STREAMS,
            self._metrics,
        )
        self._capacities = capacities.Capacities(
            options.host,
            options.domain,
            self._clock,
            self._catalog,
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
            self._capacities,
            self._versions,
        )

    def _make_router(self, pool: ids.PoolName) -> routing.Router:
        return capacityrouter.CapacityRouter(
            self._options.domain,
            self._random,
            ejection.OutlierEjection(),
            self._capacities.find_estimates(pool),
            self._capacities.list_mine,
            lambda: self._max_known_hosts,
        )

    def _make_chain(self) -> base.Proceed:
        deadline_policy = deadlines.WholeDeadline()
        kind = records.EndpointKind
        attempts = attempt.AttemptRunner(
            self._clock,
            self._slots,
            dict.fromkeys((kind.ENGINE, kind.PLAIN), self._client),
            deadline_policy,
            shedding.NoShedding(),
            self._metrics,
        )
        self._budgets = retrybudgets.RetryBudgets(
            retryshares.split_retry_budget(
                self._options, self._max_known_hosts
            )
        )
        self._membership.listen(lambda *unused: self._update_shares())
        self._catalog.on_hosts_listed = self._update_shares
        runner = stage.StageRunner(
            self._clock,
            attempts,
            self._budgets.find,
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
                self._budgets.drop_tokens(self._clock.now())
            self._max_known_hosts = known
            self._notices.record_hosts(known)
            self._budgets.reconfigure(
                retryshares.split_retry_budget(self._options, known)
            )

    @property
    def is_ready(self) -> bool:
        """Whether load balancers may send callers to this host.

        If one service has ended by an error, the tasks of all have ended.
        """
        return (
            not self._is_leaving and not self.crashed and self._catalog.ready
        )

    async def on_start(self) -> None:
        """Start all services, then listen for callers."""
        for service in (
            *self._control_services,
            self._batch_service,
            self._batch_pools,
            self._quarantine,
            self._streams,
            self._capacities,
            self._tunnels,
            self._rollouts,
        ):
            if service is not None:
                await self.add_runtime_dependency(service)
        options = self._options
        await self._listeners.listen(self.ingress.serve, options.http_address)
        addresses = (options.ready_address, options.metrics_address)
        for address in filter(None, addresses):
            await self._listeners.listen(self._serve_status, address)

    def _head_timeout_seconds(self) -> float:
        limits = self._catalog.rules.limits
        return limits.header_ms / clocks.MILLIS_PER_SECOND

    async def _serve_status(self, request: web.BaseRequest) -> web.Response:
        if request.path == "/metrics":
            self._catalog.report(self._metrics)
            self._capacities.report()
            self._report_retries()
            return web.Response(
                body=self._metrics.render(), content_type="text/plain"
            )
        ready = self.is_ready
        return web.json_response(
            {
                "ready": ready,
                "leaving": self._is_leaving,
                "settings": self.describe_settings(),
                "catalog": self._catalog.describe(),
                "rollouts": self._rollouts and self._rollouts.describe(),
                "held": self._quarantine.describe(),
                "streams": self._streams.describe(),
                "capacity": self._capacities.describe(),
                "retries": self._budgets.describe(),
                "paths_lost_ms": self._paths.describe(self._clock.now()),
            },
            status=200 if ready else 503,
        )

    def _report_retries(self) -> None:
        for pool, budget in self._budgets.describe().items():
            for state, value in budget.items():
                self._metrics.set(
                    metrics.Metric.POOL_RETRIES, value, pool, state
                )

    def reload(self, options: settings.Settings) -> None:
        """Apply the new values of the settings that can change."""
        super().reload(options)
        self._connections.connect_ms = options.connect_ms
        self._tunnels.connect_ms = options.connect_ms
        self._store.timeout_ms = options.platform_ms
        self._budgets.reconfigure(
            retryshares.split_retry_budget(options, self._max_known_hosts)
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
            self._cutoff.end()

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
