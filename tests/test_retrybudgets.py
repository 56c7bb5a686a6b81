"""Retry budgets of pools."""

from testtools import assertions
from testtools import matchers

from chervilshore.decisions import retrybudgets
from chervilshore import ids

POOL = ids.PoolName("pool")


def test_pools_first_used_after_a_start_have_no_tokens_saved():
    budgets = retrybudgets.RetryBudgets((0.0, 0.1, 1.0))
    budgets.drop_tokens(5000.0)
    assertions.assert_that(
        budgets.find(POOL).acquire_retry(6000.0), matchers.Is(False)
    )
    assertions.assert_that(
        budgets.find(POOL).acquire_retry(16_000.0), matchers.Is(True)
    )
