"""Pauses between calls that fail."""

from testtools import assertions
from testtools import matchers

from chervilshore.decisions import backoff


def test_pauses_grow_to_a_bound_and_begin_anew():
    pauses = backoff.Backoff(250.0, 1000.0)
    taken = [pauses.next_delay_ms() for _ in range(4)]
    assertions.assert_that(
        taken, matchers.Equals([250.0, 500.0, 1000.0, 1000.0])
    )
    pauses.reset()
    assertions.assert_that(pauses.next_delay_ms(), matchers.Equals(250.0))
