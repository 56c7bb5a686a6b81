"""The numbered events that the daemon logs."""

import enum
import logging

import msgspec


class EventSpec(msgspec.Struct, frozen=True):
    """One row of the catalogue of events.

    Parameters
    ----------
    number : int
        The number; its thousands tell the area.
    level : int
        The level of `logging`.
    text : str
        What has happened.
    """

    number: int
    level: int
    text: str


_DEBUG = logging.DEBUG
_INFO = logging.INFO
_WARNING = logging.WARNING
_ERROR = logging.ERROR


class Event(enum.Enum):
    """Every event; docs/EVENTS.md holds the same catalogue."""

    # The daemon: 1000 to 1999.
    STARTED = EventSpec(1001, _INFO, "daemon started")
    READY = EventSpec(1002, _INFO, "daemon ready")
    DRAINING = EventSpec(1003, _INFO, "daemon draining")
    STOPPED = EventSpec(1004, _INFO, "daemon stopped")
    TASK_FAILED = EventSpec(1005, _ERROR, "background task failed")

    RELOADED = EventSpec(1006, _INFO, "settings read anew")
    SETTINGS_REFUSED = EventSpec(1007, _ERROR, "new settings refused")

    # Configuration: 2000 to 2999.
    GENERATION_IN_FORCE = EventSpec(2001, _INFO, "generation in force")
    GENERATION_REFUSED = EventSpec(2002, _ERROR, "generation refused")
    WATCHING = EventSpec(2003, _INFO, "watching the platform for its domain")

    # Membership and peers: 3000 to 3999.
    PEER_GARBAGE = EventSpec(3001, _WARNING, "unusable message from peer")
    HOST_ALIVE = EventSpec(3002, _INFO, "host is alive")
    HOST_SUSPECT = EventSpec(3003, _INFO, "host does not answer")
    HOST_LEAVING = EventSpec(3004, _INFO, "host is leaving")
    HOST_DOWN = EventSpec(3005, _WARNING, "host is down")
    LISTING_CHANGED = EventSpec(3006, _INFO, "listing of endpoints changed")
    HOST_LIST_UNREAD = EventSpec(3007, _WARNING, "host list cannot be read")
    HOST_LIST_READ = EventSpec(3008, _INFO, "host list can be read again")

    STORE_UNREAD = EventSpec(3009, _WARNING, "store cannot be read")
    STORE_READ = EventSpec(3010, _INFO, "store can be read again")
    KIND_RELAYED = EventSpec(3011, _INFO, "objects learnt from a peer")
    DOMAINS_OUT = EventSpec(3012, _INFO, "domains that are out have changed")
    ENDPOINT_LISTED = EventSpec(3013, _INFO, "endpoint listed or changed")
    ENDPOINT_GONE = EventSpec(3014, _INFO, "endpoint no longer listed")

    # Grants, routing and limits: 4000 to 4999.
    TENURE_BEGUN = EventSpec(4001, _INFO, "host became keeper of endpoint")
    ENDPOINT_COLD = EventSpec(4002, _WARNING, "endpoint has turned cold")
    KEEPER_UNREACHED = EventSpec(
        4003, _WARNING, "keeper of endpoint does not answer"
    )
    ENDPOINT_EJECTED = EventSpec(4101, _WARNING, "endpoint left out")
    ENDPOINT_RETURNED = EventSpec(4102, _INFO, "endpoint used again")
    SHEDDING_BEGAN = EventSpec(4103, _WARNING, "shedding began")
    SHEDDING_ENDED = EventSpec(4104, _INFO, "shedding ended")

    ENDPOINT_CHOSEN = EventSpec(4105, _INFO, "endpoint chosen")
    PIECES_CALLED = EventSpec(4106, _INFO, "pieces called for")
    PIECES_MADE = EventSpec(4107, _INFO, "pieces of a request ended")
    RESULTS_NOT_FREED = EventSpec(4108, _WARNING, "results not given up")
    BATCH_KEEPER_SILENT = EventSpec(
        4109, _WARNING, "keeper of pieces does not answer"
    )

    # Claims: 5000 to 5999.
    CLAIMS_LOADED = EventSpec(5001, _INFO, "log of claims loaded")
    CLAIMS_BLOCKED = EventSpec(5002, _WARNING, "log of claims not writable")
    CLAIMS_COMPACTED = EventSpec(5003, _INFO, "log of claims compacted")
    CLAIMS_LATE = EventSpec(5004, _WARNING, "answer for log of claims late")
    CLAIM_SHARDS = EventSpec(5005, _WARNING, "stored number of shards used")
    CLAIMS_NOT_COMPACTED = EventSpec(
        5006, _WARNING, "log of claims not compacted"
    )
    CLAIM_UNSTORED = EventSpec(5007, _ERROR, "outcome of claim given up")

    # Leases and orders: 6000 to 6999.
    LEASE_TAKEN = EventSpec(6001, _INFO, "lease taken")
    LEASE_LOST = EventSpec(6002, _INFO, "lease given back or lost")
    ORDER_MOVED = EventSpec(6003, _INFO, "order went on at engine")
    ORDER_UNSETTLED = EventSpec(6004, _WARNING, "order has no outcome yet")
    ORDERS_BLOCKED = EventSpec(6005, _WARNING, "orders wait for platform")

    # Requests: 7000 to 7999.
    REQUEST_DONE = EventSpec(7001, _DEBUG, "request done")
    REQUEST_REFUSED = EventSpec(7002, _INFO, "request refused")
    ANSWER_DROPPED = EventSpec(7003, _WARNING, "answer dropped")
    REQUEST_CRASHED = EventSpec(7004, _ERROR, "request crashed")
    CALLER_GONE = EventSpec(7005, _INFO, "caller gone")
    REQUEST_FORWARDED = EventSpec(7006, _INFO, "forwarded request ended")
    HEAD_LATE = EventSpec(7007, _WARNING, "head of a request came too slowly")


def log_event(logger: logging.Logger, event: Event, **fields) -> None:
    """Log an event with its number and its fields.

    Parameters
    ----------
    logger : logging.Logger
        Where to log.
    event : Event
        What has happened.
    **fields
        What it concerns; by convention ``request`` holds a request id.
    """
    spec = event.value
    if not logger.isEnabledFor(spec.level):
        return
    # Where it was logged is told by the event; to look for it costs more
    # than all the rest.
    record = logger.makeRecord(
        logger.name,
        spec.level,
        "",
        0,
        "%d %s%s",
        (spec.number, spec.text, _Words(fields)),
        None,
        extra={
            "event": spec.number,
            "event_text": spec.text,
            "fields": fields,
        },
    )
    logger.handle(record)


class _Words:
    """Fields as text, made only where somebody reads it."""

    def __init__(self, fields: dict) -> None:
        self._fields = fields

    def __str__(self) -> str:
        return "".join(
            f" {name}={value}" for name, value in self._fields.items()
        )
