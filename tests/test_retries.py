"""Retry budgets and hedges."""

from testtools import assertions
from testtools import matchers

from chervilshore.decisions import deadlines
from chervilshore.decisions import retries


def test_the_budget_prevents_a_retry_storm():
    budget = retries.RetryBudget()
    allowed = 0
    for index in range(2000):
        budget.record_request()
        # Every attempt fails, and is retried up to three times.
        allowed += sum(budget.acquire_retry(index * 10.0) for _ in range(3))
    earned = (
        2000 * retries.RETRIES_PER_REQUEST
        + 20 * retries.MIN_RETRIES_PER_SECOND
    )
    assertions.assert_that(
        allowed, matchers.LessThan(earned + retries.MAX_RETRY_TOKENS + 1)
    )
    assertions.assert_that(allowed, matchers.GreaterThan(earned - 1))


def test_hedges_wait_for_slow_attempts_and_use_both_budgets():
    times = deadlines.StageTimes()
    shared = retries.RetryBudget(max_tokens=2.0, tokens_per_second=0.0)
    hedging = retries.Hedging(times, shared)
    assertions.assert_that(hedging.hedge_delay_ms("p", 0.0), matchers.Is(None))
    for millis in range(1, 101):
        times.record_attempt("p", float(millis), 0.0)
    assertions.assert_that(
        hedging.hedge_delay_ms("p", 0.0), matchers.Equals(150.0)
    )
    allowed = [hedging.acquire_hedge(0.0) for _ in range(4)]
    assertions.assert_that(
        allowed, matchers.Equals([True, True, False, False])
    )
