"""The choice of a job's domain, which saves traffic between domains."""

from testtools import assertions
from testtools import matchers

from chervilshore.decisions import jobscheduling
from chervilshore import ids

A, B, OPEN = (ids.DomainId(one) for one in ("a", "b", ""))


def test_a_job_with_large_results_runs_in_the_domain_of_its_reader():
    assertions.assert_that(
        jobscheduling.choose_domain([A], 8000, B, 800_000),
        matchers.Equals((B, 800_000)),
    )


def test_a_job_runs_in_the_domain_of_most_inputs_if_they_are_larger():
    """Inputs count once for each item that reads them.

    Six items read four results of 60 kB each, together more bytes than the
    results of most other stages.
    """
    assertions.assert_that(
        jobscheduling.choose_domain([A, A, A, B], 6 * 240_000, OPEN, 36_000),
        matchers.Equals((A, 6 * 240_000 * 3 // 4)),
    )


def test_a_job_without_inputs_or_known_reader_may_run_anywhere():
    assertions.assert_that(
        jobscheduling.choose_domain([], 0, OPEN, 240_000),
        matchers.Equals((OPEN, 0)),
    )
