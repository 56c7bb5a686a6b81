"""The metrics that the daemon exposes."""

import enum

import aioprometheus

from chervilshore import metricspecs

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
"""Upper bounds of the buckets of all histograms, in seconds."""


_counter = metricspecs.make_counter
_gauge = metricspecs.make_gauge
_histogram = metricspecs.make_histogram


class Metric(enum.Enum):
    """All metrics; docs/METRICS.md shows them as a table."""

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
        "Time from arrival to the end of the answer, by result code.",
    )
    TEAM_SECONDS = _histogram(
        "chervilshore_team_request_seconds",
        ("team",),
        "Time from arrival to the end of the answer, for the teams with the "
        "highest limits; the label of the rest is 'other'.",
    )
    STAGE_SECONDS = _histogram(
        "chervilshore_stage_seconds",
        ("pool",),
        "Duration of one attempt at an endpoint.",
    )
    ENDPOINT_SECONDS = _histogram(
        "chervilshore_endpoint_seconds",
        ("endpoint", "outcome"),
        "Duration of one attempt by endpoint and outcome.",
    )
    ATTEMPTS = _counter(
        "chervilshore_attempts_total",
        ("pool", "outcome"),
        "Attempts at endpoints by outcome.",
    )
    IN_FLIGHT = _gauge(
        "chervilshore_requests_in_flight", (), "Requests in flight."
    )
    ANSWERS_DROPPED = _counter(
        "chervilshore_answers_dropped_total",
        ("reason",),
        "Answers of endpoints that belong to no running attempt, or do not go "
        "on with a stream.",
    )
    ENDPOINT_REFUSALS = _counter(
        "chervilshore_endpoint_refusals_total",
        ("named", "connection", "statement"),
        "Responses that say, or whose status says, that a request has not "
        "run: whether they name it ('own', 'other', 'none'), come on a 'new' "
        "or 'kept' connection, and state it ('explicit', 'status').",
    )

    # Grants, routing and limits.
    ENDPOINTS_OWNED = _gauge(
        "chervilshore_endpoints_kept",
        (),
        "Endpoints that this host owns.",
    )
    COLD_STARTS = _counter(
        "chervilshore_cold_starts_total",
        (),
        "Times that an owned endpoint became cold.",
    )
    GRANT_MESSAGES = _counter(
        "chervilshore_grant_messages_total",
        ("kind",),
        "Grant messages sent to other hosts.",
    )
    SLOTS_VOID = _counter(
        "chervilshore_slots_void_total",
        ("pool",),
        "Slots that were no longer valid right before the send.",
    )
    QUEUE_SECONDS = _histogram(
        "chervilshore_queue_seconds",
        ("class",),
        "Time that a stage waited for a slot.",
    )
    SHED_LIMIT = _gauge(
        "chervilshore_shedding_limit",
        ("pool",),
        "Limit of requests in flight that this host admits for a pool.",
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
        "Endpoints that this host has ejected as failing or slow.",
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
    POOL_RETRIES = _gauge(
        "chervilshore_pool_retries",
        ("pool", "state"),
        "The retry budget of a pool on this host: tokens 'left' and "
        "'reserved' now, retries 'allowed' and 'denied' since the start.",
    )
    TEAM_SHARES = _gauge(
        "chervilshore_team_shares",
        (),
        "Teams for whose limits this host holds a share.",
    )

    ENDPOINT_NOTICES = _counter(
        "chervilshore_endpoint_notices_total",
        ("pool", "what"),
        "Times that an endpoint changed its limit, asked for a pause or said "
        "that it leaves.",
    )

    REQUESTS_LOST = _counter(
        "chervilshore_requests_lost_total",
        ("pool", "ended"),
        "Requests whose endpoint closed the connection before the end of its "
        "response, by whether the endpoint itself has ended.",
    )
    SUSPECTS_CLEARED = _counter(
        "chervilshore_suspects_cleared_total",
        (),
        "Fingerprints that an answer clears of having ended endpoints.",
    )
    HOLDS_STORED = _counter(
        "chervilshore_holds_stored_total",
        ("outcome",),
        "Calls that keep in the store what is held back, by outcome.",
    )
    CRASH_FACTS_DROPPED = _counter(
        "chervilshore_crash_facts_dropped_total",
        (),
        "Times that facts on ended endpoints were dropped for want of room.",
    )
    VERSION_ATTEMPTS = _counter(
        "chervilshore_rollout_attempts_total",
        ("pool", "version", "outcome"),
        "Attempts at pools under an order of a roll-out, by version.",
    )
    ROLLOUT_PHASE = _gauge(
        "chervilshore_rollout_phase",
        ("pool",),
        "How far this host has moved a pool's requests: 0 canary, 1 moving, "
        "2 switched, 3 condemned.",
    )
    ROLLOUT_SHARE = _gauge(
        "chervilshore_rollout_new_share",
        ("pool",),
        "Share of this host's requests at the pool that the ordered version "
        "got since the order.",
    )
    HELD = _gauge(
        "chervilshore_held_fingerprints",
        (),
        "Parts of prompts whose requests are held back, as endpoints ended "
        "under them.",
    )
    RELAYED = _counter(
        "chervilshore_connections_relayed_total",
        ("side",),
        "Connections through a peer, by whether this host asked or relayed.",
    )
    ENDPOINT_SLOWNESS = _gauge(
        "chervilshore_endpoint_slowness",
        ("endpoint",),
        "How slow an endpoint is, compared with a usual one of its pool.",
    )
    ENDPOINT_LIMIT = _gauge(
        "chervilshore_endpoint_good_concurrency",
        ("endpoint",),
        "Requests that an endpoint bears before it slows down.",
    )
    SESSIONS_PASSED_OVER = _counter(
        "chervilshore_sessions_passed_over_total",
        ("pool",),
        "Prompts that were not sent to the endpoint of their session, as "
        "another one was expected to answer sooner.",
    )
    STREAMS_RESUMED = _counter(
        "chervilshore_streams_resumed_total",
        ("source",),
        "Streams that callers resumed, by where it was known what began them.",
    )
    STREAMS_STORED = _counter(
        "chervilshore_streams_stored_total",
        ("outcome",),
        "Batches in which what began streams was written to the store.",
    )

    # Configuration.
    SETTINGS_REFUSED = _gauge(
        "chervilshore_settings_refused",
        (),
        "1 while the newest settings are invalid: the host goes on with the "
        "former ones, but its process could not start again.",
    )
    GENERATION = _gauge(
        "chervilshore_generation", (), "The active generation."
    )

    # Membership and peers.
    PEER_TRAFFIC = _counter(
        "chervilshore_peer_traffic_total",
        ("what",),
        "Messages and bytes between entry hosts, and messages that were "
        "dropped or could not be decoded.",
    )
    MEMBERS = _gauge(
        "chervilshore_members",
        ("state",),
        "Other entry hosts by membership state.",
    )
    LISTING_CHANGES = _counter(
        "chervilshore_listing_changes_total",
        ("source",),
        "Changes of the endpoint listing, by source.",
    )

    # Batches.
    BATCH_CALLS = _counter(
        "chervilshore_piece_calls_total",
        ("pool", "outcome"),
        "Batch calls by outcome.",
    )
    BATCH_ITEMS = _counter(
        "chervilshore_pieces_total",
        ("pool", "outcome"),
        "Items in batch calls, by outcome of the call.",
    )

    # Claims.
    CLAIMS = _counter(
        "chervilshore_claims_total",
        ("verdict",),
        "Requests with an idempotency key, by verdict of the claim log.",
    )
    CLAIM_SECONDS = _histogram(
        "chervilshore_claim_seconds",
        (),
        "Time until the claim log returned the verdict on a request.",
    )
    CLAIM_BATCHES = _counter(
        "chervilshore_claim_batches_total",
        ("outcome",),
        "Batches of entries written to claim logs.",
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
        "Steps in the progress of orders to engines.",
    )

    # The platform.
    PLATFORM_CALLS = _counter(
        "chervilshore_platform_calls_total",
        ("call", "outcome"),
        "Calls to the platform.",
    )
    STORE_BYTES = _counter(
        "chervilshore_store_received_bytes_total",
        ("kind",),
        "Bytes of the bodies of whole answers of the store.",
    )
    ENTRIES_SKIPPED = _gauge(
        "chervilshore_store_entries_skipped",
        ("kind",),
        "Entries that are in the store and cannot be used.",
    )
    OBJECTS_UNREADABLE = _counter(
        "chervilshore_store_objects_unreadable_total",
        ("kind",),
        "Objects in responses of the store whose name cannot be read.",
    )
    STORE_UNCONFIRMED = _gauge(
        "chervilshore_store_unconfirmed_seconds",
        ("kind",),
        "Time since the store last answered for a kind of objects.",
    )


class Metrics:
    """The collectors of all metrics of one host."""

    def __init__(self) -> None:
        self.registry = aioprometheus.Registry()
        self._collectors = {
            metric: self._make(metric.value) for metric in Metric
        }

    def _make(self, spec: metricspecs.MetricSpec):
        if spec.kind is metricspecs.MetricKind.COUNTER:
            return aioprometheus.Counter(
                spec.name, spec.text, registry=self.registry
            )
        if spec.kind is metricspecs.MetricKind.GAUGE:
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
            The label values, in the order of the label names.
        by : float
            The amount to add.
        """
        self._collectors[metric].add(self._make_labels(metric, labels), by)

    def set(self, metric: Metric, value: float, *labels: str) -> None:
        """Set a gauge."""
        self._collectors[metric].set(self._make_labels(metric, labels), value)

    def observe(self, metric: Metric, millis: float, *labels: str) -> None:
        """Add a time in milliseconds to a histogram in seconds."""
        self._collectors[metric].observe(
            self._make_labels(metric, labels), millis / 1000.0
        )

    def _make_labels(self, metric: Metric, labels: tuple[str, ...]) -> dict:
        return dict(zip(metric.value.labels, labels, strict=True))

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        content, _ = aioprometheus.render(self.registry, [])
        return content
