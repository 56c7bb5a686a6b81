"""Learns the capacity of endpoints together with the other hosts.

Each host reports what it sees to one host of its failure domain, the
aggregator. The aggregators tell each other the sums of their domains, and the
hosts of their domain the sum over all domains.
"""

from collections import abc as collections_abc
import logging

import mode

from chervilshore import capacitymessages
from chervilshore.clients import peers as peer_types
from chervilshore import clock as clocks
from chervilshore.controllers import directory as directories
from chervilshore.decisions.capacity import estimates as estimate_types
from chervilshore.decisions.capacity import observations
from chervilshore.decisions import owners
from chervilshore.decisions import routing
from chervilshore import events
from chervilshore import ids
from chervilshore import metriclabels
from chervilshore import metrics as metric_types
from chervilshore import records

REPORT_MS = 200.0
"""Milliseconds between two reports of a host."""

TABLE_MS = 250.0
"""Least milliseconds between two tables of an aggregator."""

MAX_TABLES_PER_S = 200.0
"""Tables that one aggregator sends to the hosts of its domain; if it has many
hosts, they get them less often."""

AGGREGATOR_KEY = "capacity"
"""Key by which the hosts of a domain choose their aggregator."""

_LOGGER = logging.getLogger(__name__)


def choose_aggregators(
    hosts: collections_abc.Iterable[records.HostRecord],
) -> dict[ids.DomainId, records.HostRecord]:
    """Choose the aggregator of each domain, the same on all hosts."""
    by_domain: dict[ids.DomainId, list[records.HostRecord]] = {}
    for host in hosts:
        if host.state is not records.HostState.LEAVING:
            by_domain.setdefault(host.domain, []).append(host)
    return {
        domain: owners.choose_by_capacity(living, AGGREGATOR_KEY)
        for domain, living in by_domain.items()
    }


def describe_choice(one: routing.Candidate) -> dict[str, object]:
    """Return log fields that say why an endpoint was chosen."""
    if not one.expected_ms:
        return {}
    fields: dict[str, object] = {
        "expected_ms": round(one.expected_ms),
        "slowness": round(one.slowness, 2),
    }
    if one.passed_over:
        fields["passed_over"] = one.passed_over
        fields["passed_over_ms"] = round(one.passed_over_ms)
    return fields


class Capacities(mode.Service):
    """Keeps what is known of endpoints, and exchanges it with other hosts.

    Parameters
    ----------
    host : HostId
        This host.
    domain : DomainId
        Its failure domain.
    clock : Clock
        The time.
    directory : Directory
        The hosts and endpoints.
    peers : PeerTransport
        Carries the messages.
    metrics : Metrics
        Counts sessions whose endpoint was passed over.
    """

    def __init__(
        self,
        host: ids.HostId,
        domain: ids.DomainId,
        clock: clocks.Clock,
        directory: directories.Directory,
        peers: peer_types.PeerTransport,
        metrics: metric_types.Metrics,
    ) -> None:
        super().__init__()
        self._host = host
        self._domain = domain
        self._clock = clock
        self._directory = directory
        self._peers = peers
        self._metrics = metrics
        self._labels = metriclabels.EndpointLabels()
        self._flights = observations.Flights()
        self._estimates: dict[ids.PoolName, estimate_types.Estimates] = {}
        self._reported: dict[ids.EndpointId, observations.Observation] = {}
        self._own_domain = observations.Reports(
            estimate_types.TABLE_MAX_AGE_MS
        )
        self._all_domains = observations.Reports(
            estimate_types.TABLE_MAX_AGE_MS
        )

    async def on_start(self) -> None:
        """Register the message handlers."""
        self._peers.handle(
            capacitymessages.CapacityReport, self._handle_report
        )
        self._peers.handle(
            capacitymessages.CapacityTable,
            lambda _, table: self._apply(table),
        )

    def find_estimates(self, pool: ids.PoolName) -> estimate_types.Estimates:
        """Return what is known of the endpoints of a pool."""
        return self._estimates.setdefault(pool, estimate_types.Estimates())

    def list_mine(self) -> dict[ids.EndpointId, observations.Observation]:
        """Return what this host has in flight now, by endpoint."""
        return self._flights.list_running()

    def begin(
        self, requirements: routing.StageRequirements, one: routing.Candidate
    ) -> observations.Flight | None:
        """Return what records an attempt that begins.

        Returns
        -------
        Flight or None
            None if nothing is learnt of the endpoint.
        """
        if not one.expected_ms:
            return None
        if one.passed_over:
            self._metrics.count(
                metric_types.Metric.SESSIONS_PASSED_OVER, requirements.pool
            )
        flight = observations.Flight(
            requirements.request,
            one.record.endpoint,
            one.read_tokens,
            one.tokens_ahead,
            one.expected_ms,
            self._clock.now(),
        )
        self._flights.add(flight)
        return flight

    def end(
        self, flight: observations.Flight, outcome: records.Outcome
    ) -> None:
        """Record the end of an attempt."""
        self._flights.end(flight, outcome is records.Outcome.BUSY)
        first_ms = None
        if flight.first_at is not None:
            first_ms = round(flight.first_at - flight.sent_at)
        events.log_event(
            _LOGGER,
            events.Event.ATTEMPT_MEASURED,
            request=flight.request,
            endpoint=flight.endpoint,
            outcome=outcome.value,
            read_tokens=flight.read_tokens,
            tokens_ahead=flight.tokens_ahead,
            expected_ms=round(flight.expected_ms),
            first_ms=first_ms,
            longest_pause_ms=round(flight.longest_pause_ms),
            stream_events=flight.events,
        )

    @mode.Service.task
    async def _report(self) -> None:
        """Report to the aggregator while there is something to tell."""
        while not self.should_stop:
            await self._clock.sleep(REPORT_MS)
            seen = self._flights.collect()
            if not seen and not self._reported:
                continue
            self._reported = {one.endpoint: one for one in seen}
            aggregator = self._choose_aggregators().get(self._domain)
            if aggregator is None or aggregator.host == self._host:
                self._own_domain.record(self._host, seen, self._clock.now())
            else:
                self._peers.send(
                    aggregator.peer_address,
                    capacitymessages.CapacityReport(self._host, seen),
                )

    def _choose_aggregators(self) -> dict[ids.DomainId, records.HostRecord]:
        return choose_aggregators(self._directory.hosts())

    def _handle_report(
        self, sender: ids.Address, report: capacitymessages.CapacityReport
    ) -> None:
        reports = self._all_domains if report.is_domain else self._own_domain
        reports.record(
            report.source, report.seen, self._clock.now(), report.age_ms
        )

    @mode.Service.task
    async def _aggregate(self) -> None:
        """Send tables while hosts report to this one."""
        while not self.should_stop:
            members = [
                one
                for one in self._directory.hosts()
                if one.domain == self._domain and one.host != self._host
            ]
            await self._clock.sleep(
                max(TABLE_MS, len(members) * 1000.0 / MAX_TABLES_PER_S)
            )
            if not self._own_domain.is_empty:
                self._send_domain_report()
            if not self._all_domains.is_empty:
                self._send_tables(members)

    def _send_domain_report(self) -> None:
        """Tell the other domains' aggregators what this domain saw."""
        now = self._clock.now()
        age_ms = round(self._own_domain.mean_age_ms(now))
        seen = self._own_domain.collect(now)
        self._all_domains.record(self._domain, seen, now, age_ms)
        report = capacitymessages.CapacityReport(
            self._domain, seen, is_domain=True, age_ms=age_ms
        )
        for domain, other in self._choose_aggregators().items():
            if domain != self._domain:
                self._peers.send(other.peer_address, report)

    def _send_tables(self, members: list[records.HostRecord]) -> None:
        """Tell the hosts of this domain what all domains saw."""
        now = self._clock.now()
        age_ms = round(self._all_domains.mean_age_ms(now))
        table = capacitymessages.CapacityTable(
            self._all_domains.collect(now), age_ms
        )
        for member in members:
            self._peers.send(member.peer_address, table)
        self._apply(table)

    def _apply(self, table: capacitymessages.CapacityTable) -> None:
        """Take in what all hosts saw."""
        by_pool: dict[ids.PoolName, list[observations.Observation]] = {}
        for one in table.seen:
            record = self._directory.endpoint(one.endpoint)
            if record is not None:
                by_pool.setdefault(record.pool, []).append(one)
        for pool, of_pool in by_pool.items():
            slots = {
                record.endpoint: record.slots
                for record in self._directory.endpoints(pool)
            }
            self.find_estimates(pool).record(
                tuple(of_pool),
                self._reported,
                slots,
                self._clock.now(),
                table.age_ms,
            )

    def report(self) -> None:
        """Set the metrics of the endpoints."""
        now = self._clock.now()
        for estimates in self._estimates.values():
            for endpoint, known in estimates.list_known(now).items():
                label = self._labels.choose(endpoint)
                self._metrics.set(
                    metric_types.Metric.ENDPOINT_SLOWNESS,
                    known.slowness,
                    label,
                )
                self._metrics.set(
                    metric_types.Metric.ENDPOINT_LIMIT, known.limit, label
                )

    def describe(self) -> dict[str, object]:
        """Return what is known of the endpoints, for operators."""
        now = self._clock.now()
        return {
            pool: estimates.describe(now)
            for pool, estimates in self._estimates.items()
            if estimates.has_table
        }
