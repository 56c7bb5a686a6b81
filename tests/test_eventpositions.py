"""Which events may follow those of a stream that broke off."""

import pytest
from testtools import assertions
from testtools import matchers

from chervilshore.decisions import eventpositions

FIRST = (1, 2)
"""The ids of the events before the stream broke off."""


def find_mismatch(first_ids, event_ids, is_continuation=True):
    """Return why events do not follow the first ones of a stream."""
    position = eventpositions.EventPosition().advance(first_ids)
    return position.find_mismatch(event_ids, is_continuation)


@pytest.mark.parametrize(
    ("first_ids", "event_ids"),
    [
        (FIRST, (3, 4)),
        ((6, 12), (18, 24)),
        ((6, 12), (19,)),
        ((3, 4, 7), (9,)),
        ((0, 1), (3,)),
    ],
)
def test_events_with_rising_ids_follow(first_ids, event_ids):
    assertions.assert_that(
        find_mismatch(first_ids, event_ids), matchers.Is(None)
    )


@pytest.mark.parametrize(
    ("event_ids", "reason"),
    [
        ((1,), "event 1 after 2"),
        ((2,), "event 2 after 2"),
        ((4,), "event 4 after 2"),
        ((3, 5), "event 5 after 3"),
        ((3, 3), "event 3 after 3"),
        ((3, None), "event without an id"),
    ],
)
def test_other_events_do_not_follow(event_ids, reason):
    assertions.assert_that(
        find_mismatch(FIRST, event_ids), matchers.Equals(reason)
    )


def test_first_endpoint_may_leave_out_ids_but_not_go_back():
    found = [
        find_mismatch(FIRST, event_ids, is_continuation=False)
        for event_ids in ((4, None, 5), (2,))
    ]
    assertions.assert_that(found, matchers.Equals([None, "event 2 after 2"]))


def test_stream_is_resumed_only_after_an_event_with_an_id():
    position = eventpositions.EventPosition().advance((1, None))
    assertions.assert_that(position.is_named, matchers.Is(False))
    assertions.assert_that(
        position.advance((2,)),
        matchers.Equals(eventpositions.EventPosition(2, True, True)),
    )
