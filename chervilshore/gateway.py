"""The parts of an entry host that forwards requests, put together."""

import random

from aiohttp import web
import mode

from chervilshore.clients import connections
from chervilshore.clients import zeromq
from chervilshore import clock as clocks
from chervilshore.controllers import batching
from chervilshore.controllers import batchstages
from chervilshore.controllers import catalog
from chervilshore.controllers import catalogsync
from chervilshore.controllers import decoders
from chervilshore.controllers import immediateslots
from chervilshore.controllers import membership
from chervilshore.controllers import submitting
from chervilshore.decisions import affinity
from chervilshore.decisions import deadlines
from chervilshore.decisions import ejection
from chervilshore.decisions import probes
from chervilshore.decisions import retries
from chervilshore.decisions import routing
from chervilshore.decisions import shedding
from chervilshore.filters import attempt
from chervilshore.filters import base
from chervilshore.filters import cutoff
from chervilshore.filters import deadline
from chervilshore.filters import forward
from chervilshore.filters import outcome
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

SHUTDOWN_SECONDS = 0.5
"""Seconds that the web server gives to answers that are being written."""

KEEPALIVE_SECONDS = 75.0
"""Seconds for which an unused connection of a caller is kept; more than
operators let callers be idle."""

MOST_FIELD_BYTES = 65_536
"""Bytes of a header that are read at all."""

LEAST_SHARING = 10
"""Hosts among which the slack of the retry budget is divided at least."""

SHARING_MARGIN = 1.3
"""Times the hosts that are known, as some may be added unseen."""

RATIO_PART = 0.7
"""The part of the retry ratio that a host uses, as windows may cut between
a request and its retry."""

PROBES = probes.ProbeSettings(period_ms=400.0)
"""Fewer probes than by default: small hosts pay for each message."""

LEAVE_MS = 2700.0
"""Milliseconds for which a leaving host goes on taking requests: the
balancer leaves it out after two missed questions, a second apart."""

_DECODERS = decoders.Decoders(
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

_DIALECT = ingress.Dialect(
    decode=requests.decode_request,
    read_request=requests.read_attempt_id,
    request_header=names.ATTEMPT_ID,
)


class Gateway(mode.Service):
    """An entry host on the users' platform.

    Parameters
    ----------
    options : Settings
        The checked settings.
    clock : Clock
        Measures everything.
    """

    def __init__(
        self, options: settings.Settings, clock: clocks.Clock
    ) -> None:
        super().__init__()
        self._options = options
        self._clock = clock
        self._metrics = metrics.Metrics()
        # Seeded by the system, so that no two hosts draw the same numbers.
        self._random = random.Random()
        self._runners: list[web.ServerRunner] = []
        self._leaving = False
        self._most_hosts = 1
        self._make_control()
        self._make_work()
        self.ingress = ingress.Ingress(
            clock,
            self._make_chain(),
            self._metrics,
            _DIALECT,
            lambda: self._catalog.rules.limits,
        )

    def _make_control(self) -> None:
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
        )
        self._membership = membership.Membership(
            record,
            self._clock,
            self._peers,
            self._random,
            options.seeds,
            probe_settings=PROBES,
            metrics=self._metrics,
        )
        self._catalog = catalog.Catalog(
            self._store, _DECODERS, self._membership, self._clock
        )
        self._catalog_sync = catalogsync.CatalogSync(
            self._catalog,
            self._membership,
            self._peers,
            self._clock,
            self._random,
        )

    def _make_work(self) -> None:
        options = self._options
        self._connections = connections.ConnectionPool(
            self._clock, options.connect_ms
        )
        self._keeper = batching.BatchService(
            self._clock,
            self._peers,
            self._catalog,
            self._catalog,
            batches.BatchClient(self._connections),
            self._metrics,
        )
        self._keepers = submitting.BatchPoolClient(
            options.host,
            self._clock,
            self._peers,
            self._catalog,
            self._keeper,
        )
        self._preparer = batchstages.BatchStageRunner(
            options.host, self._clock, self._catalog, self._keepers
        )
        self._slots = immediateslots.ImmediateSlots(
            options.host,
            self._clock,
            self._catalog,
            self._catalog,
            self._make_router,
        )

    def _make_router(self) -> routing.Router:
        return affinity.AffinityRouter(
            self._options.domain, self._random, ejection.OutlierEjection()
        )

    def _make_chain(self) -> base.Proceed:
        times = deadlines.WholeDeadline()
        client = forwarding.ForwardClient(self._connections, self._clock)
        kinds = records.EndpointKind
        attempts = attempt.AttemptRunner(
            self._clock,
            self._slots,
            {kinds.ENGINE: client, kinds.PLAIN: client},
            times,
            shedding.NoShedding(),
            self._metrics,
        )
        self._budget = retries.RetryBudget(
            *_share_budget(self._options, self._most_hosts)
        )
        self._membership.listen(lambda *unused: self._count_hosts())
        runner = stage.StageRunner(self._clock, attempts, self._budget)
        self._cutoff = cutoff.CutoffFilter(self._clock)
        steps = (
            outcome.OutcomeFilter(),
            route.RouteFilter(self._catalog, self._random),
            deadline.DeadlineFilter(
                self._clock, times, self._options.deadline_ms
            ),
            self._cutoff,
        )
        last = forward.ForwardFilter(self._clock, self._preparer, runner)
        return base.chain(steps, last.run)

    def _count_hosts(self) -> None:
        """Share the budget among all hosts that have ever been known.

        Hosts that seem down may only be cut off, and go on retrying.
        """
        known = len(self._membership.hosts())
        if known > self._most_hosts:
            self._most_hosts = known
            self._budget.reconfigure(*_share_budget(self._options, known))

    @property
    def is_ready(self) -> bool:
        """Whether callers may be sent here."""
        return not self._leaving and self._catalog.ready

    async def on_start(self) -> None:
        """Start every part, and take callers last."""
        for service in (
            self._peers,
            self._membership,
            self._catalog,
            self._catalog_sync,
            self._keeper,
            self._keepers,
        ):
            await self.add_runtime_dependency(service)
        await self._listen(self.ingress.serve, self._options.http_address)
        await self._listen(self._show, self._options.ready_address)
        if self._options.metrics_address:
            await self._listen(self._show, self._options.metrics_address)

    async def _listen(self, handler, address: str) -> None:
        runner = web.ServerRunner(
            listener.Listener(
                handler,
                self._read_head_seconds,
                keepalive_timeout=KEEPALIVE_SECONDS,
                access_log=None,
                max_field_size=MOST_FIELD_BYTES,
                max_line_size=MOST_FIELD_BYTES,
                auto_decompress=False,
            ),
            shutdown_timeout=SHUTDOWN_SECONDS,
        )
        await runner.setup()
        host, _, port = address.rpartition(":")
        await web.TCPSite(runner, host, int(port)).start()
        self._runners.append(runner)

    def _read_head_seconds(self) -> float:
        limits = self._catalog.rules.limits
        return limits.header_ms / clocks.MILLIS_PER_SECOND

    async def _show(self, request: web.BaseRequest) -> web.Response:
        if request.path == "/metrics":
            return web.Response(
                body=self._metrics.render(), content_type="text/plain"
            )
        ready = self.is_ready
        return web.json_response(
            {
                "ready": ready,
                "leaving": self._leaving,
                "catalog": self._catalog.describe(),
            },
            status=200 if ready else 503,
        )

    def reload(self, options: settings.Settings) -> None:
        """Take new settings, as far as they may change while it runs."""
        self._options = options
        self._connections.connect_ms = options.connect_ms
        self._store.timeout_ms = options.platform_ms
        self._budget.reconfigure(*_share_budget(options, self._most_hosts))

    async def drain(self) -> None:
        """Let the balancer turn away, and finish what runs."""
        self._leaving = True
        self.ingress.draining = True
        self._membership.leave()
        self._keeper.leave()
        await self._catalog.unregister()
        await self._clock.sleep(LEAVE_MS)
        # What comes later has a better chance at any other host.
        self.ingress.closed = True
        left = self._options.drain_ms - LEAVE_MS
        try:
            await clocks.wait_for(
                self._clock, self.ingress.wait_idle(), max(0.0, left)
            )
        except TimeoutError:
            return

    async def on_stop(self) -> None:
        """Close what callers and endpoints are connected by."""
        for runner in self._runners:
            await runner.cleanup()
        self._connections.close()

    async def on_shutdown(self) -> None:
        """Close the store's connections, which stopping parts use."""
        await self._store.close()


def _share_budget(
    options: settings.Settings, hosts: int
) -> tuple[float, float, float]:
    """Tell this host's part of the retry budget, without any agreement.

    Parameters
    ----------
    options : Settings
        Has the budget of all hosts.
    hosts : int
        Hosts that are known.

    Returns
    -------
    tuple of float
        Ratio, retries a second and retries at once.
    """
    sharing = max(LEAST_SHARING, hosts * SHARING_MARGIN)
    slack = options.retry_slack / sharing
    window = options.retry_window_ms / clocks.MILLIS_PER_SECOND
    ratio = options.retry_ratio * RATIO_PART
    return ratio, slack / 2.0 / window, max(1.0, slack / 2.0)
