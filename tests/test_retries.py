"""Retry budgets and hedges."""

from testtools import assertions
from testtools import matchers

from chervilshore.decisions import deadlines
from chervilshore.decisions import retries


def test_a_failing_pool_gets_no_retry_storm():
    budget = retries.RetryBudget()
    allowed = 0
    for index in range(2000):
        budget.note_first()
        # Every attempt fails, and each is tried three times if allowed.
        allowed += sum(budget.may_retry(index * 10.0) for _ in range(3))
    most = 2000 * retries.RETRY_RATIO + 20 * retries.RETRY_FLOOR
    assertions.assert_that(
        allowed, matchers.LessThan(most + retries.MOST_TOKENS + 1)
    )
    assertions.assert_that(allowed, matchers.GreaterThan(most - 1))


def test_hedges_wait_for_the_slow_tail_and_spend_both_budgets():
    times = deadlines.StageTimes()
    shared = retries.RetryBudget(most=2.0, floor=0.0)
    hedging = retries.Hedging(times, shared)
    assertions.assert_that(hedging.delay("p", 0.0), matchers.Is(None))
    for millis in range(1, 101):
        times.note("p", float(millis), 0.0)
    assertions.assert_that(hedging.delay("p", 0.0), matchers.Equals(150.0))
    allowed = [hedging.may_hedge(0.0) for _ in range(4)]
    assertions.assert_that(
        allowed, matchers.Equals([True, True, False, False])
    )
