"""Tests that only complete events are returned, however bytes arrive."""

import hypothesis
from hypothesis import strategies
import testtools
from testtools import assertions
from testtools import matchers

from chervilshore import eventstreams
from chervilshore import exceptions

STREAM = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"


@hypothesis.settings(deadline=None, derandomize=True)
@hypothesis.given(strategies.lists(strategies.integers(0, len(STREAM))))
def test_events_do_not_depend_on_how_bytes_are_split(cuts):
    splitter = eventstreams.EventSplitter()
    edges = [0, *sorted(cuts), len(STREAM)]
    complete = b""
    event_ids = []
    for begin, end in zip(edges, edges[1:], strict=False):
        complete += splitter.feed(STREAM[begin:end])
        event_ids += splitter.event_ids
    assertions.assert_that(complete, matchers.Equals(STREAM))
    assertions.assert_that(event_ids, matchers.Equals([1, 2, 3]))
    assertions.assert_that(splitter.at_event_boundary, matchers.Is(True))


def test_incomplete_event_is_buffered():
    splitter = eventstreams.EventSplitter()
    complete = splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    assertions.assert_that(complete, matchers.Equals(b"id: 1\ndata: a\n\n"))
    assertions.assert_that(splitter.event_ids, matchers.Equals([1]))
    assertions.assert_that(splitter.at_event_boundary, matchers.Is(False))


def test_comments_are_no_events_and_events_may_lack_an_id():
    splitter = eventstreams.EventSplitter()
    splitter.feed(b": a\n\nid: 1\n: b\ndata: c\n\ndata: id: 2\n\nHTTP\n\n")
    assertions.assert_that(
        splitter.event_ids, matchers.Equals([1, None, None])
    )


# An event that never ends took the whole buffer, and was searched from its
# start at each read: 30 s of processor time for 16 MB.
def test_event_without_an_end_is_cut_at_a_bound():
    splitter = eventstreams.EventSplitter()
    most = eventstreams.MAX_EVENT_BYTES
    splitter.feed(b"id: 1\ndata: a\n\n" + b"x" * most)
    with testtools.ExpectedException(exceptions.ResponseTooLarge):
        splitter.feed(b"x")
