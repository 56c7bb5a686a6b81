"""Reads what an endpoint says of itself from the headers of a response."""

import logging
import math

from chervilshore.clients import connections
from chervilshore import clock as clocks
from chervilshore import events
from chervilshore import notices
from chervilshore.platform import names
from chervilshore import records

OTHER_ENDPOINT_STATUS = 421
"""Status of a response of another endpoint than the one that was called."""

FULL_STATUS = 503
"""Status with which an endpoint that is full may ask for a pause."""

LEAVING_VALUE = "1"

_LOGGER = logging.getLogger(__name__)


def pass_notice(
    record: records.EndpointRecord,
    head: connections.ResponseHead,
    sink: notices.Sink,
) -> None:
    """Pass on what a response says about the endpoint that was called."""
    if head.status != OTHER_ENDPOINT_STATUS:
        pause_s = None
        if head.status == FULL_STATUS:
            pause_s = _read_number(record, head, names.RETRY_AFTER)
        notice = notices.Notice(
            limit_per_s=_read_number(record, head, names.LIMIT),
            leaving=head.get_header(names.LEAVING) == LEAVING_VALUE,
            pause_ms=None
            if pause_s is None
            else pause_s * clocks.MILLIS_PER_SECOND,
            max_rejections_per_s=_read_number(record, head, names.BRITTLE),
            rejected=head.status == FULL_STATUS
            and head.get_header(names.NOT_EXECUTED) is not None,
        )
        sink(record, notice)


def is_cold(
    record: records.EndpointRecord, head: connections.ResponseHead
) -> bool:
    """Return whether the endpoint says that it stays slow for some time."""
    return bool(_read_number(record, head, names.COLD))


def _read_number(
    record: records.EndpointRecord,
    head: connections.ResponseHead,
    name: str,
) -> float | None:
    """Return a number of at least 0, or None if there is none to read."""
    text = head.get_header(name)
    if text is None:
        return None
    try:
        number = float(text)
    except ValueError:
        number = math.nan
    if math.isfinite(number) and number >= 0:
        return number
    events.log_event(
        _LOGGER,
        events.Event.NOTICE_UNREADABLE,
        endpoint=record.endpoint,
        header=name,
        value=text[:80],
    )
    return None
