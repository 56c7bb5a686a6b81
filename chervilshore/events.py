"""The numbered events that the daemon logs."""

import enum
import logging

import msgspec


class EventSpec(msgspec.Struct, frozen=True):
    """One row of the table of events.

    Parameters
    ----------
    number : int
        The number; its thousands digit stands for the area.
    level : int
        The level of `logging`.
    text : str
        The message of the log line.
    """

    number: int
    level: int
    text: str


_DEBUG = logging.DEBUG
_INFO = logging.INFO
_WARNING = logging.WARNING
_ERROR = logging.ERROR


class Event(enum.Enum):
    """All events; docs/EVENTS.md lists them."""

    # The daemon: 1000 to 1999.
    STARTED = EventSpec(1001, _INFO, "daemon started")
    READY = EventSpec(1002, _INFO, "daemon ready")
    DRAINING = EventSpec(1003, _INFO, "daemon draining")
    STOPPED = EventSpec(1004, _INFO, "daemon stopped")
    TASK_FAILED = EventSpec(1005, _ERROR, "background task failed")

    RELOADED = EventSpec(1006, _INFO, "settings reloaded")
    SETTINGS_REFUSED = EventSpec(1007, _ERROR, "new settings refused")

    # Configuration: 2000 to 2999.
    GENERATION_ACTIVE = EventSpec(2001, _INFO, "generation active")
    GENERATION_REFUSED = EventSpec(2002, _ERROR, "generation refused")
    WATCHING = EventSpec(2003, _INFO, "watching the platform for its domain")

    # Membership and peers: 3000 to 3999.
    INVALID_PEER_MESSAGE = EventSpec(
        3001, _WARNING, "invalid message from peer"
    )
    HOST_ALIVE = EventSpec(3002, _INFO, "host is alive")
    HOST_SUSPECT = EventSpec(3003, _INFO, "host does not answer")
    HOST_LEAVING = EventSpec(3004, _INFO, "host is leaving")
    HOST_DOWN = EventSpec(3005, _WARNING, "host is down")
    LISTING_CHANGED = EventSpec(3006, _INFO, "listing of endpoints changed")
    HOST_LIST_UNREADABLE = EventSpec(
        3007, _WARNING, "host list cannot be read"
    )
    HOST_LIST_READABLE = EventSpec(3008, _INFO, "host list can be read again")

    STORE_UNREADABLE = EventSpec(3009, _WARNING, "store cannot be read")
    STORE_READABLE = EventSpec(3010, _INFO, "store can be read again")
    OBJECTS_COPIED = EventSpec(3011, _INFO, "objects copied from a peer")
    OUT_DOMAINS_CHANGED = EventSpec(
        3012, _INFO, "domains that are out have changed"
    )
    ENDPOINT_LISTED = EventSpec(3013, _INFO, "endpoint listed or changed")
    ENDPOINT_UNLISTED = EventSpec(3014, _INFO, "endpoint no longer listed")
    OLDER_OBJECTS_SKIPPED = EventSpec(
        3015, _WARNING, "older objects of the store skipped"
    )
    STORE_RESTORED = EventSpec(
        3017, _WARNING, "store was restored from a copy"
    )
    WATCH_REPLACED = EventSpec(3016, _INFO, "watch of the store replaced")
    STORE_SOURCE = EventSpec(
        3018, _INFO, "store is read through another host or directly"
    )

    # Grants, routing and limits: 4000 to 4999.
    OWNERSHIP_STARTED = EventSpec(4001, _INFO, "host became owner of endpoint")
    ENDPOINT_COLD = EventSpec(4002, _WARNING, "endpoint became cold")
    OWNER_UNREACHABLE = EventSpec(
        4003, _WARNING, "owner of endpoint does not answer"
    )
    ENDPOINT_EJECTED = EventSpec(4101, _WARNING, "endpoint ejected")
    EJECTION_ENDED = EventSpec(4102, _INFO, "endpoint no longer ejected")
    SHEDDING_STARTED = EventSpec(4103, _WARNING, "load shedding started")
    SHEDDING_ENDED = EventSpec(4104, _INFO, "load shedding ended")

    ENDPOINT_CHOSEN = EventSpec(4105, _INFO, "endpoint chosen")
    BATCH_CALL_ENDED = EventSpec(4106, _INFO, "batch call ended")
    BATCH_JOB_ENDED = EventSpec(4107, _INFO, "batch job ended")
    RESULTS_NOT_FREED = EventSpec(4108, _WARNING, "results not freed")
    BATCH_OWNER_UNREACHABLE = EventSpec(
        4109, _WARNING, "owner of batch pool does not answer"
    )

    NOTICE_UNREADABLE = EventSpec(
        4110, _WARNING, "notice of endpoint unreadable"
    )
    ENDPOINT_LIMIT_CHANGED = EventSpec(
        4111, _INFO, "endpoint changed its limit"
    )
    ENDPOINT_PAUSED = EventSpec(4113, _INFO, "endpoint asks for a pause")
    ENDPOINT_LEAVES = EventSpec(4112, _INFO, "endpoint says that it leaves")

    REQUEST_LOST = EventSpec(
        4114, _WARNING, "endpoint closed connection of request"
    )

    HOLD_STARTED = EventSpec(4115, _WARNING, "requests held back")
    HOLD_ENDED = EventSpec(4116, _INFO, "requests no longer held back")
    HOLD_TRIED = EventSpec(4117, _INFO, "held request sent as a trial")

    RESPONSE_CUT = EventSpec(
        4118, _WARNING, "response of endpoint exceeds a bound"
    )

    STREAM_RESUMED = EventSpec(4119, _INFO, "caller resumes a stream")
    CONNECTION_FAILED = EventSpec(4120, _INFO, "connection not opened")
    PATH_LOST = EventSpec(4121, _WARNING, "only peers reach an endpoint")
    PATH_REGAINED = EventSpec(4122, _INFO, "endpoint reached again")
    REQUEST_RELAYED = EventSpec(4123, _INFO, "request sent through a peer")
    TUNNEL_OPENED = EventSpec(4124, _INFO, "connection relayed for a peer")
    TUNNEL_REFUSED = EventSpec(
        4125, _INFO, "connection not relayed for a peer"
    )

    ENDPOINT_BRITTLE = EventSpec(
        4126, _INFO, "endpoint is brittle, or no longer"
    )
    STREAM_VERSION_REGISTERED = EventSpec(
        4127, _INFO, "version of a pool with streams is in the store"
    )
    STREAMS_NOT_STORED = EventSpec(
        4128, _WARNING, "what began streams could not be stored"
    )
    STREAMS_UNREADABLE = EventSpec(
        4129, _WARNING, "record of streams in the store cannot be read"
    )
    STREAM_UNKNOWN = EventSpec(
        4130, _WARNING, "no host and no record tells what began a stream"
    )

    ATTEMPT_MEASURED = EventSpec(4131, _INFO, "events of attempt measured")
    ENDPOINT_REFUSED = EventSpec(
        4132,
        _INFO,
        "endpoint refused a request, or used a status that says so",
    )

    SUSPECT_CLEARED = EventSpec(
        4133, _INFO, "answer clears requests of having ended endpoints"
    )
    CRASH_FACTS_DROPPED = EventSpec(
        4134, _WARNING, "facts on ended endpoints dropped for want of room"
    )

    HOLDS_NOT_STORED = EventSpec(
        4135, _WARNING, "what is held back cannot be stored or read"
    )

    REQUEST_SENT_AGAIN = EventSpec(
        4140, _INFO, "request sent again, with a token of the retry budget"
    )
    RETRY_DENIED = EventSpec(4141, _INFO, "request not sent again")

    ENTRY_SKIPPED = EventSpec(
        4145, _WARNING, "entry of the store cannot be used"
    )
    OBJECTS_UNREADABLE = EventSpec(
        4146, _WARNING, "objects of the store without a readable name"
    )

    # Claims: 5000 to 5999.
    CLAIM_LOG_LOADED = EventSpec(5001, _INFO, "claim log loaded")
    CLAIM_LOG_UNWRITABLE = EventSpec(5002, _WARNING, "claim log not writable")
    CLAIM_LOG_COMPACTED = EventSpec(5003, _INFO, "claim log compacted")
    CLAIM_LOG_LATE = EventSpec(
        5004, _WARNING, "response for claim log too late"
    )
    CLAIM_SHARDS_DIFFER = EventSpec(
        5005, _WARNING, "stored number of claim shards used"
    )
    CLAIM_LOG_NOT_COMPACTED = EventSpec(
        5006, _WARNING, "claim log not compacted"
    )
    CLAIM_OUTCOME_NOT_STORED = EventSpec(
        5007, _ERROR, "outcome of claim not stored"
    )

    # Leases and orders: 6000 to 6999.
    LEASE_ACQUIRED = EventSpec(6001, _INFO, "lease acquired")
    LEASE_LOST = EventSpec(6002, _INFO, "lease released or lost")
    ORDER_PROGRESSED = EventSpec(6003, _INFO, "order progressed at engine")
    ORDER_UNSETTLED = EventSpec(6004, _WARNING, "order has no outcome yet")
    ORDERS_BLOCKED = EventSpec(6005, _WARNING, "orders wait for platform")

    # Roll-outs of software versions: 6100 to 6199.
    ROLLOUT_STARTED = EventSpec(6101, _INFO, "roll-out started")
    ROLLOUT_ENDED = EventSpec(6102, _INFO, "roll-out ended")
    ROLLOUT_DECIDED = EventSpec(6103, _INFO, "roll-out decided")
    ROLLOUT_PHASE = EventSpec(6104, _INFO, "roll-out entered a phase")
    ROLLOUT_STATUS_WRITTEN = EventSpec(
        6105, _INFO, "status of roll-out written"
    )
    ROLLOUT_STATUS_UNWRITTEN = EventSpec(
        6106, _WARNING, "status of roll-out not written"
    )
    ROLLOUT_REFUSED = EventSpec(6107, _WARNING, "order of roll-out invalid")
    ROLLOUT_DROPPED = EventSpec(6108, _INFO, "order of roll-out gone")

    # Requests: 7000 to 7999.
    REQUEST_DONE = EventSpec(7001, _DEBUG, "request done")
    REQUEST_REFUSED = EventSpec(7002, _INFO, "request refused")
    ANSWER_DROPPED = EventSpec(7003, _WARNING, "answer dropped")
    REQUEST_CRASHED = EventSpec(7004, _ERROR, "request crashed")
    CALLER_GONE = EventSpec(7005, _INFO, "caller gone")
    REQUEST_FORWARDED = EventSpec(7006, _INFO, "forwarded request ended")
    HEAD_LATE = EventSpec(7007, _WARNING, "request head received too slowly")
    ANSWER_UNREAD = EventSpec(7008, _WARNING, "answer read too slowly")


BY_NUMBER = {event.value.number: event for event in Event}
"""The events by their number."""


def log_event(logger: logging.Logger, event: Event, **fields) -> None:
    """Log an event with its number and its fields.

    Parameters
    ----------
    logger : logging.Logger
        The logger to use.
    event : Event
        The event, which gives the level and the text.
    **fields
        The fields of the log line; ``request`` holds a request id.
    """
    spec = event.value
    if not logger.isEnabledFor(spec.level):
        return
    # Built without the caller's file and line: the event identifies the
    # place, and looking up the stack costs more than the rest of the call.
    record = logger.makeRecord(
        logger.name,
        spec.level,
        "",
        0,
        "%d %s%s",
        (spec.number, spec.text, _FormattedFields(fields)),
        None,
        extra={
            "event": spec.number,
            "event_text": spec.text,
            "fields": fields,
        },
    )
    logger.handle(record)


class _FormattedFields:
    """Formats fields as text lazily, when a handler writes the record."""

    def __init__(self, fields: dict) -> None:
        self._fields = fields

    def __str__(self) -> str:
        return "".join(
            f" {name}={value}" for name, value in self._fields.items()
        )
