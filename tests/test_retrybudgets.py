"""Retry budgets of pools, and what one request uses of them."""

import asyncio

import msgspec
import pytest
from testtools import assertions
from testtools import matchers

from chervilshore.controllers import batchstages
from chervilshore.decisions import retries
from chervilshore.decisions import retrybudgets
from chervilshore.decisions import retryshares
from chervilshore import exceptions
from chervilshore.filters import forward
from chervilshore import forwarded
from chervilshore import ids
from chervilshore import results
from tests import gateway_helpers
from tests import request_helpers as helpers

POOL = ids.PoolName("pool")
BROKEN = exceptions.EndpointBroken("broken")
GONE = exceptions.InputsGone("gone")
UNREACHED = exceptions.EndpointUnreached("unreached")


class FakeBatchStages:
    """Batch stages that end when they are told to."""

    def __init__(self):
        self.may_end = asyncio.Event()
        self.may_end.set()
        self.error = None
        self.runs = 0

    async def run_stages(self, exchange):
        self.runs += 1
        await self.may_end.wait()
        if self.error is not None and self.runs > 1:
            raise self.error
        return batchstages.BatchStageResults()

    def free_results(self, stage_results):
        pass


def make_budget(**changes):
    values = {
        "tokens_per_request": 0.0,
        "tokens_per_second": 0.0,
        "max_tokens": 2.0,
    }
    return retries.RetryBudget(**values | changes)


def make_filter(clock, outcomes, budget, attempts=2):
    """Return a filter, its client, and a request to endpoints that fail."""
    rules = helpers.make_rules()
    exchange = helpers.make_exchange(rules)
    exchange.pipeline = msgspec.structs.replace(
        exchange.pipeline, attempts=attempts
    )
    left = list(outcomes)

    async def plan(call):
        error = left.pop(0)
        if error is not None:
            raise error
        response = forwarded.Response(200, [])
        return helpers.endpoints.Reply({"response": response})

    names = ["e1", "e2", "e3", "e4"]
    client = helpers.FakeClient(dict.fromkeys(names, plan))
    runner = helpers.make_runner(
        clock, helpers.FakeSlots(names), client, budget=budget
    )
    batch_stages = FakeBatchStages()
    return (
        forward.ForwardFilter(clock, batch_stages, runner),
        client,
        batch_stages,
        exchange,
    )


# Guards against requests that run at more endpoints than their pipeline
# allows, as their batch stages have run again in between.
async def test_runs_before_and_after_inputs_are_gone_count_together(clock):
    outcomes = [BROKEN, GONE, BROKEN, BROKEN, None]
    step, client, _, exchange = make_filter(
        clock, outcomes, make_budget(max_tokens=10.0), attempts=2
    )
    with pytest.raises(exceptions.RefusalError) as caught:
        await step.run(exchange)
    assertions.assert_that(
        caught.value.code, matchers.Is(results.Code.STAGE_BROKEN)
    )
    assertions.assert_that(len(client.calls), matchers.Equals(3))


# Guards against tokens that a backlog of requests earns when it is released,
# in one window, though callers sent them over several.
async def test_requests_earn_tokens_when_they_arrive_and_once(clock):
    budget = make_budget(tokens_per_request=0.5)
    budget.drop_tokens(0.0)
    step, _, batch_stages, exchange = make_filter(clock, [GONE, None], budget)
    batch_stages.may_end.clear()
    running = asyncio.ensure_future(step.run(exchange))
    await clock.advance(1)
    assertions.assert_that(budget.describe()["left"], matchers.Equals(0.5))
    budget.record_request()
    batch_stages.may_end.set()
    await running
    # The second send used what both had earned.
    assertions.assert_that(budget.describe()["left"], matchers.Equals(0.0))


async def test_request_that_may_not_be_sent_again_is_refused_at_once(clock):
    step, client, batch_stages, exchange = make_filter(
        clock, [GONE, None], make_budget(max_tokens=0.0)
    )
    with pytest.raises(exceptions.RefusalError) as caught:
        await step.run(exchange)
    assertions.assert_that(
        caught.value.code.value.family, matchers.Is(results.Family.NOT_RUN)
    )
    assertions.assert_that(exchange.dispatched, matchers.Is(False))
    assertions.assert_that(batch_stages.runs, matchers.Equals(1))


async def test_token_of_a_send_that_does_not_follow_is_returned(clock):
    budget = make_budget()
    step, _, batch_stages, exchange = make_filter(clock, [GONE], budget)
    batch_stages.error = exceptions.RefusalError(results.Code.OVERLOADED)
    with pytest.raises(exceptions.RefusalError):
        await step.run(exchange)
    assertions.assert_that(
        budget.describe(),
        matchers.Equals(
            {"left": 2.0, "reserved": 0, "allowed": 0, "denied": 0}
        ),
    )


async def test_unreached_retry_keeps_its_token_for_the_next_one(clock):
    budget = make_budget()
    step, client, _, exchange = make_filter(
        clock, [exceptions.EndpointBusy("full"), UNREACHED, None], budget
    )
    await step.run(exchange)
    assertions.assert_that(len(client.calls), matchers.Equals(3))
    assertions.assert_that(
        budget.describe(),
        matchers.Equals(
            {"left": 1.0, "reserved": 0, "allowed": 1, "denied": 0}
        ),
    )


# Guards against tokens that are reserved in one window and used in the next
# one, beside all that are saved up until then.
def test_reserved_tokens_take_space_until_they_are_used():
    budget = make_budget(tokens_per_second=1.0)
    used = sum(budget.reserve_retry(0.0) for _ in range(3))
    for _ in range(used):
        budget.use_retry()
    later = 60_000.0
    assertions.assert_that(used, matchers.Equals(2))
    waiting = make_budget(tokens_per_second=1.0)
    waiting.reserve_retry(0.0)
    waiting.reserve_retry(0.0)
    assertions.assert_that(waiting.reserve_retry(later), matchers.Is(False))
    waiting.use_retry()
    waiting.use_retry()
    assertions.assert_that(waiting.acquire_retry(later), matchers.Is(False))
    # What is earned from now on may be used.
    assertions.assert_that(
        waiting.acquire_retry(later + 1000.0), matchers.Is(True)
    )


def test_send_without_a_token_is_an_error():
    sends = retrybudgets.Sends(make_budget(max_tokens=0.0))
    sends.begin()
    assertions.assert_that(sends.reserve(0.0), matchers.Is(False))
    with pytest.raises(ValueError):
        sends.begin()


def test_hedge_pays_for_the_later_of_two_sends():
    """The hedge gets a slot before the attempt that waits for one."""
    budget = make_budget()
    sends = retrybudgets.Sends(budget)
    sends.begin(is_hedge=True)
    assertions.assert_that(sends.begin(), matchers.Is(False))
    assertions.assert_that(sends.reserve(0.0), matchers.Is(True))
    assertions.assert_that(budget.describe()["reserved"], matchers.Equals(1))


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
