"""An entry host with the project's own interface for pipelines."""

import asyncio

from aiohttp import web
import mode

from chervilshore.clients import completions
from chervilshore.clients import endpoints
from chervilshore.clients import engines
from chervilshore.clients import models
from chervilshore.clients import rest
from chervilshore.clients import sessions
from chervilshore.clients import zeromq
from chervilshore import clock as clocks
from chervilshore.controllers import claimreader
from chervilshore.controllers import claims
from chervilshore.controllers import claimstore
from chervilshore.controllers import compaction
from chervilshore.controllers import generations
from chervilshore.controllers import grants
from chervilshore.controllers import hosts
from chervilshore.controllers import limits
from chervilshore.controllers import membership
from chervilshore.controllers import orders
from chervilshore.controllers import reporter
from chervilshore.controllers import slots
from chervilshore.decisions import leases
from chervilshore.decisions import shared_limits
from chervilshore import entryhost
from chervilshore.filters import admission
from chervilshore.filters import attempt
from chervilshore.filters import base
from chervilshore.filters import cutoff
from chervilshore.filters import deadline
from chervilshore.filters import decode
from chervilshore.filters import idempotency
from chervilshore.filters import outcome
from chervilshore.filters import pipeline
from chervilshore.filters import stage
from chervilshore import ids
from chervilshore import policies
from chervilshore import records
from chervilshore import server
from chervilshore import settings

SHUTDOWN_SECONDS = 1.0
"""Seconds that the web server waits for answers that are being written."""

MAX_FIELD_BYTES = 65_536
"""Bytes of a request line or header, beyond which the web server rejects it
without a result code; the filters refuse much shorter ones with one."""


class Node(entryhost.EntryHost):
    """An entry host that runs pipelines for its callers.

    Parameters
    ----------
    options : Settings
        The validated settings.
    clock : Clock
        The clock of all parts.

    Attributes
    ----------
    server : Server
        The HTTP interface for callers and operators.
    """

    def __init__(
        self, options: settings.Settings, clock: clocks.Clock
    ) -> None:
        super().__init__(options, clock)
        self._runner: web.AppRunner | None = None
        self._make_clients()
        self._make_control_plane()
        self._orders = self._make_orders()
        self._make_policies()
        self._limits = self._make_limits()
        self._reporter = self._make_reporter()
        self.server = server.Server(
            clock, self._make_chain(), self._metrics, options.body_bytes
        )
        self.server.ready = self._is_ready
        self._add_state_sections()

    def _make_clients(self) -> None:
        options = self._options
        self._platform = rest.RestPlatform(
            options.platform,
            options.platform_ms,
            self._metrics,
            options.source_ip,
        )
        self._sessions = endpoints.Sessions(
            options.connect_ms, options.source_ip
        )
        self._peers = zeromq.ZeroMQTransport(
            options.peer_address,
            self._clock,
            self._metrics,
            listen=options.peer_listen,
            source=options.source_ip,
        )

    def _make_control_plane(self) -> None:
        options = self._options
        record = records.HostRecord(
            host=options.host,
            domain=options.domain,
            peer_address=options.peer_address,
            http_address=options.http_address,
        )
        self._membership = membership.Membership(
            record,
            self._clock,
            self._peers,
            self._random,
            options.seeds,
            metrics=self._metrics,
        )
        self._configuration = generations.GenerationService(
            options.host,
            options.domain,
            self._platform,
            self._peers,
            self._membership,
            self._clock,
            self._random,
            self._metrics,
        )
        self._membership.generation_source = self._read_generation
        self._membership.on_generation = self._configuration.record_generation
        self._directory = hosts.HostDirectory(
            self._membership,
            self._clock,
            self._peers,
            self._platform,
            self._configuration,
            self._random,
            options.hosts_poll_ms,
            self._metrics,
        )
        self._claims = claims.Claims(
            options.host,
            self._clock,
            self._platform,
            self._directory,
            self._random,
            self._make_claim_terms(),
            self._peers,
            self._metrics,
        )

    def _make_orders(self) -> orders.OrderService:
        options = self._options
        self._order_session = sessions.open_single_use(options.source_ip)
        terms = orders.Terms(
            load_spacing_ms=options.load_interval_ms,
            lease=leases.Terms(
                lease_ms=options.lease_ms, work_ms=options.order_ms
            ),
        )
        return orders.OrderService(
            options.host,
            self._clock,
            self._platform,
            self._directory,
            self._configuration,
            engines.HttpEngineClient(self._order_session),
            self._random,
            terms,
            self._metrics,
        )

    def _make_claim_terms(self) -> claimstore.Terms:
        options = self._options
        return claimstore.Terms(
            shards=options.claim_shards,
            answer_bytes=options.claim_answer_bytes,
            timing=claimreader.Timing(batch_ms=options.claim_batch_ms),
            policy=compaction.Policy(retention_ms=options.claim_retention_ms),
        )

    def _make_policies(self) -> None:
        options = self._options
        self._policy_set = policies.PolicySet(options.policies)
        self._policies = policies.make_policies(
            self._policy_set, options.domain, self._is_out, self._random
        )
        self._slots = self._make_slots()

    def _make_slots(self) -> slots.Slots:
        if self._policy_set is policies.PolicySet.BASELINE:
            return slots.UnboundedSlots(
                self._directory, self._configuration, self._random
            )
        return grants.GrantedSlots(
            self._options.host,
            self._clock,
            self._peers,
            self._directory,
            self._configuration,
            self._policies.make_router,
            self._policies.make_queue,
            self._random,
            self._metrics,
            self._options.deadline_ms + attempt.SETTLE_MS,
        )

    def _is_out(self, domain: ids.DomainId) -> bool:
        return self._configuration.rules.is_out(domain)

    def _make_limits(self) -> limits.ClusterLimits | None:
        """Return None for the baseline, which splits team limits evenly."""
        team_limits = self._policies.team_limits
        self._membership.listen(lambda *unused: self._update_host_count())
        if not isinstance(team_limits, shared_limits.SharedLimits):
            return None
        return limits.ClusterLimits(
            self._options.host,
            self._clock,
            self._peers,
            self._directory,
            self._configuration,
            team_limits,
            self._options.limit_report_ms,
            self._options.limit_share_ms,
            self._random,
        )

    def _make_reporter(self) -> reporter.FlowReporter | None:
        if self._limits is None:
            return None
        return reporter.FlowReporter(
            self._clock,
            self._metrics,
            self._policies.load_shedding,
            self._policies.retry_policy,
            self._read_ejected,
            self._policies.team_limits.count_shares,
        )

    def _read_ejected(self) -> reporter.EjectedEndpoints:
        """Return the milliseconds until ejected endpoints may be probed."""
        by_pool: reporter.EjectedEndpoints = {}
        for router in self._policies.routers:
            ejected = router.describe(self._clock.now())
            for endpoint, millis in ejected.items():
                record = self._directory.endpoint(endpoint)
                if record is not None:
                    by_pool.setdefault(record.pool, {})[endpoint] = millis
        return by_pool

    def _make_chain(self) -> base.Proceed:
        chosen = self._policies
        attempts = attempt.AttemptRunner(
            self._clock,
            self._slots,
            self._make_endpoint_clients(),
            chosen.deadline_policy,
            chosen.load_shedding,
            self._metrics,
        )
        runner = stage.StageRunner(
            self._clock,
            attempts,
            lambda pool: chosen.retry_policy,
            chosen.hedging,
        )
        self._cutoff = cutoff.CutoffFilter(self._clock)
        steps = (
            outcome.OutcomeFilter(),
            idempotency.ResendFilter(),
            decode.DecodeFilter(self._configuration),
            deadline.DeadlineFilter(
                self._clock, chosen.deadline_policy, self._options.deadline_ms
            ),
            self._cutoff,
            admission.AdmissionFilter(
                self._clock, chosen.team_limits, chosen.load_shedding
            ),
            idempotency.IdempotencyFilter(self._claims, self._clock),
        )
        return base.chain(steps, pipeline.PipelineFilter(runner).run)

    def _make_endpoint_clients(
        self,
    ) -> dict[records.EndpointKind, endpoints.EndpointClient]:
        kinds = records.EndpointKind
        return {
            kinds.ENGINE: completions.CompletionClient(self._sessions),
            kinds.ENCODER: models.EncoderClient(self._sessions),
            kinds.RETRIEVER: models.RetrieverClient(self._sessions),
            kinds.RERANKER: models.RerankerClient(self._sessions),
            kinds.PLAIN: models.PlainClient(self._sessions),
        }

    def _add_state_sections(self) -> None:
        now = self._clock.now
        self.server.sections = {
            "host": lambda: self._options.host,
            "domain": lambda: self._options.domain,
            "settings": self.describe_settings,
            "generation": self._read_generation,
            "configuration": self._configuration.describe,
            "membership": self._membership.describe,
            "directory": self._directory.describe,
            "grants": self._slots.describe,
            "claims": self._claims.describe,
            "orders": self._orders.describe,
            "shedding": self._policies.load_shedding.describe,
        }
        if self._policy_set is policies.PolicySet.FULL:
            chosen = self._policies
            self.server.sections |= {
                "limits": self._limits.describe,
                "ejected": self._read_ejected,
                "retries": chosen.retry_policy.describe,
                "stage_times": lambda: chosen.deadline_policy.describe(now()),
            }

    def _read_generation(self):
        return self._configuration.rules.generation

    def _update_host_count(self) -> None:
        self._policies.team_limits.set_host_count(
            len(self._membership.hosts())
        )

    def _is_ready(self) -> bool:
        return bool(self._read_generation()) and self._directory.ready

    async def on_start(self) -> None:
        """Start all services, then listen for callers."""
        for service in self._list_services():
            await self.add_runtime_dependency(service)
        await self._listen()

    def _list_services(self) -> list[mode.Service]:
        services = [
            self._peers,
            self._membership,
            self._directory,
            self._configuration,
            self._claims,
            self._orders,
        ]
        if self._limits is not None:
            services += [self._limits, self._reporter]
        if isinstance(self._slots, mode.Service):
            services.append(self._slots)
        return services

    async def _listen(self) -> None:
        self._runner = web.AppRunner(
            self.server.make_app(),
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=SHUTDOWN_SECONDS,
            max_field_size=MAX_FIELD_BYTES,
            max_line_size=MAX_FIELD_BYTES,
        )
        await self._runner.setup()
        host, _, port = self._options.http_address.rpartition(":")
        site = web.TCPSite(self._runner, host.strip("[]"), int(port))
        await site.start()

    async def drain(self) -> None:
        """Refuse new requests; finish running ones, for up to ``drain_ms``."""
        self.server.draining = True
        self._membership.leave()
        try:
            async with asyncio.timeout(self._options.drain_ms / 1000.0):
                await self.server.wait_idle()
                await self._cutoff.finish()
        except TimeoutError:
            self._cutoff.end()

    async def on_stop(self) -> None:
        """Close the connections of callers, to endpoints and to engines."""
        if self._runner is not None:
            await self._runner.cleanup()
        await self._sessions.close()
        await self._order_session.close()

    async def on_shutdown(self) -> None:
        """Close the platform last, as stopping services still use it."""
        await self._platform.close()
