"""All hosts end at once and start again, with nothing in their memory.

The load: cold endpoints and failing requests at the hosts of a domain that
lost power, as soon as each of them is ready, when it knows no other yet.
"""

import pytest
from testtools import assertions
from testtools import matchers

from chervilshore.decisions import coldrate
from chervilshore.decisions import retries
from chervilshore.decisions import retryshares
from chervilshore import ids
from tests import catalog_helpers as helpers
from tests import gateway_helpers
from tests import virtual

COLD = ids.EndpointId("w0")
RATE = 16.0
"""Requests a second that the cold endpoint bears."""

MAX_IN_A_SECOND = RATE * 1.5 + 5
"""Requests in any second, by the users' rule."""

STEP_MS = 20.0
WATCHED_MS = 4000.0


async def count_sent(cluster):
    """Send to a cold endpoint as often as hosts may; return the times."""
    rates = [
        coldrate.ColdRate(host.membership.me.host) for host in cluster.hosts
    ]
    times = []
    start = cluster.clock.now()
    while cluster.clock.now() < start + WATCHED_MS:
        for host, rate in zip(cluster.hosts, rates, strict=True):
            if not host.catalog.ready:
                continue
            senders = [one.host for one in host.catalog.senders()]
            if rate.admit(COLD, RATE, senders, cluster.clock.now()):
                times.append(cluster.clock.now())
        await cluster.wait(STEP_MS)
    return times


@pytest.mark.parametrize("count", [6, 12, 40])
def test_cold_endpoints_are_spared_right_after_all_hosts_start(count):
    async def run():
        cluster = helpers.Cluster(count)
        await cluster.start()
        await cluster.restart_all()
        times = await count_sent(cluster)
        for host in cluster.hosts:
            await host.stop()
        return times

    times = virtual.run(run())
    highest = max(
        sum(start <= time < start + 1000.0 for time in times)
        for start in times
    )
    assertions.assert_that(highest, matchers.LessThan(MAX_IN_A_SECOND))


def use_retries(budget, begin, end):
    """Retry whenever the budget allows; return how often."""
    times = range(int(begin), int(end), int(STEP_MS))
    return sum(budget.acquire_retry(float(now)) for now in times)


@pytest.mark.parametrize(
    ("count", "slack"), [(9, 52), (10, 208), (76, 208), (300, 780)]
)
@pytest.mark.parametrize("lost_at", [500.0, 5000.0, 9000.0])
def test_retries_before_and_after_all_hosts_end_share_one_budget(
    count, slack, lost_at
):
    """Every request fails; hosts are ready again after half a second."""
    options = gateway_helpers.make_retry_options(slack)
    shares = retryshares.split_retry_budget(options, count)
    first = retries.RetryBudget(*shares)
    used = use_retries(first, 0.0, lost_at)
    second = retries.RetryBudget(*shares)
    ready_at = lost_at + 500.0
    second.drop_tokens(ready_at)
    used += use_retries(second, ready_at, options.retry_window_ms)
    assertions.assert_that(
        count * used, matchers.LessThan(options.retry_slack + 0.01)
    )


async def test_host_that_starts_beside_others_has_no_retries_saved(deployment):
    first, _ = await gateway_helpers.serve_plain(deployment)
    await deployment.wait_until(
        lambda: first._catalog._registration.is_registered
    )
    second = await deployment.add_host()
    await deployment.wait_ready(second, 1)
    alone, beside = (
        one._budgets.find("ledger").describe()["left"]
        for one in (first, second)
    )
    assertions.assert_that(alone, matchers.Not(matchers.LessThan(1.0)))
    assertions.assert_that(beside, matchers.LessThan(1.0))
