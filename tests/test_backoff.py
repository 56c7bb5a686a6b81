"""Exponential backoff between failed calls."""

from testtools import assertions
from testtools import matchers

from chervilshore.decisions import backoff


def test_delays_double_up_to_a_maximum_and_restart_after_a_reset():
    delays = backoff.Backoff(250.0, 1000.0)
    found = [delays.next_delay_ms() for _ in range(4)]
    assertions.assert_that(
        found, matchers.Equals([250.0, 500.0, 1000.0, 1000.0])
    )
    delays.reset()
    assertions.assert_that(delays.next_delay_ms(), matchers.Equals(250.0))
