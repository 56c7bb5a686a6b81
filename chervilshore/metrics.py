"""The metrics that the daemon exposes."""

import enum
import heapq

import aioprometheus
import msgspec

from chervilshore import ids
from chervilshore.rules import model

SECONDS_BUCKETS = (
    0.001,
    0.003,
    0.01,
    0.03,
    0.1,
    0.3,
    1.0,
    2.0,
    4.0,
    7.0,
    15.0,
)
"""Upper bounds in seconds of the histograms of times."""


MOST_TEAM_LABELS = 20
"""Teams that have a label of their own."""

OTHER_TEAMS = "other"
"""The label of all other teams."""


class TeamLabels:
    """Bounds the labels that stand for teams.

    The teams with the highest limits keep their names; they hardly change,
    while the busiest ones would change from one scrape to the next.
    """

    def __init__(self) -> None:
        self._rules: model.Rules | None = None
        self._named: frozenset[ids.TeamId] = frozenset()

    def choose(self, team: ids.TeamId, rules: model.Rules) -> str:
        """Choose the label of a team.

        Parameters
        ----------
        team : TeamId
            The team.
        rules : Rules
            The rules in force.
        """
        if rules is not self._rules:
            self._rules = rules
            largest = heapq.nlargest(
                MOST_TEAM_LABELS,
                rules.teams.values(),
                key=lambda found: (found.rate, found.name),
            )
            self._named = frozenset(found.name for found in largest)
        return team if team in self._named else OTHER_TEAMS


MOST_ENDPOINT_LABELS = 200
"""Endpoints that have a label of their own; more than most sites have at
once, though each start of one gives it a new name."""

OTHER_ENDPOINTS = "other"
"""The label of all other endpoints."""


class EndpointLabels:
    """Bounds the labels that stand for endpoints: the first ones have one."""

    def __init__(self) -> None:
        self._named: set[ids.EndpointId] = set()

    def choose(self, endpoint: ids.EndpointId) -> str:
        """Choose the label of an endpoint."""
        if len(self._named) < MOST_ENDPOINT_LABELS:
            self._named.add(endpoint)
        return endpoint if endpoint in self._named else OTHER_ENDPOINTS


class MetricKind(enum.Enum):
    """How a metric is collected."""

    COUNTER = "counter"
    GAUGE = "gauge"
    HISTOGRAM = "histogram"


class MetricSpec(msgspec.Struct, frozen=True):
    """One row of the table of metrics.

    Parameters
    ----------
    name : str
        Its name, with the unit at the end.
    kind : MetricKind
        How it is collected.
    labels : tuple of str
        The names of its labels.
    text : str
        What it counts or measures.
    """

    name: str
    kind: MetricKind
    labels: tuple[str, ...]
    text: str


def _counter(name: str, labels: tuple[str, ...], text: str) -> MetricSpec:
    return MetricSpec(name, MetricKind.COUNTER, labels, text)


def _gauge(name: str, labels: tuple[str, ...], text: str) -> MetricSpec:
    return MetricSpec(name, MetricKind.GAUGE, labels, text)


def _histogram(name: str, labels: tuple[str, ...], text: str) -> MetricSpec:
    return MetricSpec(name, MetricKind.HISTOGRAM, labels, text)


class Metric(enum.Enum):
    """Every metric; docs/METRICS.md holds the same table."""

    # Requests.
    REQUESTS = _counter(
        "chervilshore_requests_total",
        ("pipeline", "code"),
        "Requests by pipeline and result code.",
    )
    REQUEST_SECONDS = _histogram(
        "chervilshore_request_seconds",
        ("class",),
        "Time from arrival to the end of the answer.",
    )
    ENDED_SECONDS = _histogram(
        "chervilshore_request_ended_seconds",
        ("code",),
        "Time from arrival to the end of the answer, by what ended it.",
    )
    TEAM_SECONDS = _histogram(
        "chervilshore_team_request_seconds",
        ("team",),
        "The same for the largest teams; the rest stand under 'other'.",
    )
    STAGE_SECONDS = _histogram(
        "chervilshore_stage_seconds",
        ("pool",),
        "Time of one attempt at an endpoint.",
    )
    ENDPOINT_SECONDS = _histogram(
        "chervilshore_endpoint_seconds",
        ("endpoint", "outcome"),
        "Time of one attempt by endpoint and outcome.",
    )
    ATTEMPTS = _counter(
        "chervilshore_attempts_total",
        ("pool", "outcome"),
        "Attempts at endpoints by outcome.",
    )
    IN_FLIGHT = _gauge(
        "chervilshore_requests_in_flight", (), "Requests in flight."
    )
    DROPPED = _counter(
        "chervilshore_answers_dropped_total",
        ("reason",),
        "Answers of endpoints that belonged to no running attempt.",
    )

    # Grants, routing and limits.
    ENDPOINTS_KEPT = _gauge(
        "chervilshore_endpoints_kept",
        (),
        "Endpoints of which this host is the keeper.",
    )
    COLD_STARTS = _counter(
        "chervilshore_cold_starts_total",
        (),
        "Times that a kept endpoint has turned cold.",
    )
    GRANT_MESSAGES = _counter(
        "chervilshore_grant_messages_total",
        ("kind",),
        "Messages about grants that were sent to other hosts.",
    )
    SLOTS_VOID = _counter(
        "chervilshore_slots_void_total",
        ("pool",),
        "Slots that did not hold any more right before the send.",
    )
    QUEUE_SECONDS = _histogram(
        "chervilshore_queue_seconds",
        ("class",),
        "Time that a stage waited for a slot.",
    )
    SHED_LIMIT = _gauge(
        "chervilshore_shedding_limit",
        ("pool",),
        "Requests in flight that this host takes on for a pool.",
    )
    SHED_WAITING = _gauge(
        "chervilshore_shedding_waiting",
        ("pool",),
        "Stages that wait for a slot of a pool.",
    )
    SHED_REFUSED = _gauge(
        "chervilshore_shedding_refused",
        ("pool",),
        "Requests refused for a pool since the start.",
    )
    EJECTED = _gauge(
        "chervilshore_endpoints_ejected",
        ("pool",),
        "Endpoints that this host leaves out as failing or slow.",
    )
    RETRIES_LEFT = _gauge(
        "chervilshore_retries_left",
        (),
        "Retries that the budget allows now.",
    )
    RETRIES_DENIED = _gauge(
        "chervilshore_retries_denied",
        (),
        "Retries that the budget has denied since the start.",
    )
    TEAM_SHARES = _gauge(
        "chervilshore_team_shares",
        (),
        "Teams of whose limits this host holds a share.",
    )

    # Configuration.
    GENERATION = _gauge(
        "chervilshore_generation", (), "The generation in force."
    )

    # Membership and peers.
    PEER_TRAFFIC = _counter(
        "chervilshore_peer_traffic_total",
        ("what",),
        "Messages and bytes between entry hosts, dropped ones and garbage.",
    )
    MEMBERS = _gauge(
        "chervilshore_members",
        ("state",),
        "Other entry hosts by what is believed of them.",
    )
    LISTING_CHANGES = _counter(
        "chervilshore_listing_changes_total",
        ("source",),
        "Changes of the listing of endpoints, by where they came from.",
    )

    BATCHES = _counter(
        "chervilshore_piece_calls_total",
        ("pool", "outcome"),
        "Calls for pieces of work.",
    )
    PIECES = _counter(
        "chervilshore_pieces_total",
        ("pool", "outcome"),
        "Pieces of work in those calls.",
    )

    # Claims.
    CLAIMS = _counter(
        "chervilshore_claims_total",
        ("verdict",),
        "Requests with a key by what the log of claims said.",
    )
    CLAIM_SECONDS = _histogram(
        "chervilshore_claim_seconds",
        (),
        "Time until the log of claims had said something about a request.",
    )
    CLAIM_BATCHES = _counter(
        "chervilshore_claim_batches_total",
        ("outcome",),
        "Batches sent to logs of claims.",
    )
    CLAIM_ENTRIES = _counter(
        "chervilshore_claim_entries_total",
        (),
        "Entries in batches that were stored.",
    )

    # Leases and orders.
    ORDERS = _counter(
        "chervilshore_order_steps_total",
        ("pool", "progress"),
        "Steps of orders to engines.",
    )

    # The platform.
    PLATFORM_CALLS = _counter(
        "chervilshore_platform_calls_total",
        ("call", "outcome"),
        "Calls to the platform.",
    )


class Metrics:
    """The metrics of one daemon."""

    def __init__(self) -> None:
        self.registry = aioprometheus.Registry()
        self._collectors = {
            metric: self._make(metric.value) for metric in Metric
        }

    def _make(self, spec: MetricSpec):
        if spec.kind is MetricKind.COUNTER:
            return aioprometheus.Counter(
                spec.name, spec.text, registry=self.registry
            )
        if spec.kind is MetricKind.GAUGE:
            return aioprometheus.Gauge(
                spec.name, spec.text, registry=self.registry
            )
        return aioprometheus.Histogram(
            spec.name,
            spec.text,
            registry=self.registry,
            buckets=list(SECONDS_BUCKETS),
        )

    def count(self, metric: Metric, *labels: str, by: float = 1) -> None:
        """Add to a counter.

        Parameters
        ----------
        metric : Metric
            The counter.
        *labels : str
            The values of its labels, in their order.
        by : float
            What to add.
        """
        self._collectors[metric].add(self._name(metric, labels), by)

    def set(self, metric: Metric, value: float, *labels: str) -> None:
        """Set a gauge to a value."""
        self._collectors[metric].set(self._name(metric, labels), value)

    def observe(self, metric: Metric, millis: float, *labels: str) -> None:
        """Add a time in milliseconds to a histogram in seconds."""
        self._collectors[metric].observe(
            self._name(metric, labels), millis / 1000.0
        )

    def _name(self, metric: Metric, labels: tuple[str, ...]) -> dict:
        return dict(zip(metric.value.labels, labels, strict=True))

    def render(self) -> bytes:
        """Write all metrics in the text format."""
        content, _ = aioprometheus.render(self.registry, [])
        return content
