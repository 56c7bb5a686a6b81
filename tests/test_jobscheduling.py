"""Where jobs for pieces are done, so that little goes between domains."""

from testtools import assertions
from testtools import matchers

from chervilshore.decisions import jobscheduling
from chervilshore import ids

A, B, OPEN = (ids.DomainId(one) for one in ("a", "b", ""))


def test_large_results_pull_a_job_to_their_reader():
    assertions.assert_that(
        jobscheduling.choose_domain([A], 8000, B, 800_000),
        matchers.Equals((B, 800_000)),
    )


def test_inputs_that_every_piece_reads_pull_a_job_to_them():
    """Pattern: few results of a step are read by many pieces of the next.

    Six pieces read four results of 60 kB each, which are more bytes
    together than the results of most other steps.
    """
    assertions.assert_that(
        jobscheduling.choose_domain([A, A, A, B], 6 * 240_000, OPEN, 36_000),
        matchers.Equals((A, 6 * 240_000 * 3 // 4)),
    )


def test_nothing_pulls_a_job_without_inputs_and_with_an_open_reader():
    assertions.assert_that(
        jobscheduling.choose_domain([], 0, OPEN, 240_000),
        matchers.Equals((OPEN, 0)),
    )
