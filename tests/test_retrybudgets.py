"""Retry budgets of pools."""

import pytest
from testtools import assertions
from testtools import matchers

from chervilshore.decisions import retrybudgets
from chervilshore.decisions import retryshares
from chervilshore import ids
from tests import gateway_helpers

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


# Guards against hosts that together save up more than a small slack.
@pytest.mark.parametrize(
    ("hosts", "slack"), [(9, 12), (9, 20), (76, 100), (300, 400)]
)
def test_hosts_with_little_slack_stay_within_it(hosts, slack):
    options = gateway_helpers.make_retry_options(slack)
    _, per_second, burst = retryshares.split_retry_budget(options, hosts)
    used = hosts * (burst + 10.0 * per_second)
    assertions.assert_that(used, matchers.LessThan(slack + 0.01))


# Guards against buckets that each hold a token when there are more hosts than
# tokens.
def test_hosts_with_less_slack_than_hosts_stay_within_it():
    hosts, slack = 300, 52
    options = gateway_helpers.make_retry_options(slack)
    _, per_second, burst = retryshares.split_retry_budget(options, hosts)
    used = hosts * (burst + 10.0 * per_second)
    assertions.assert_that(used, matchers.LessThan(slack + 0.01))
