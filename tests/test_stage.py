"""Stages: what is tried again, what is not, and what the caller hears."""

import asyncio

import pytest
from testtools import assertions
from testtools import matchers

from chervilshore.decisions import retries
from chervilshore import exceptions
from chervilshore.filters import cutoff
from chervilshore.filters import outcome
from chervilshore import records
from chervilshore import results
from tests import request_helpers as helpers

BROKEN = exceptions.EndpointBroken("broken")
UNREACHED = exceptions.EndpointUnreached("unreached")
ENGINE = records.EndpointKind.ENGINE


async def run_stage(clock, plans, rules, sink=None, source=None):
    source = source or helpers.FakeSlots(plans)
    client = helpers.FakeClient(plans)
    runner = helpers.make_runner(clock, source, client)
    exchange = helpers.make_exchange(rules, sink=sink)
    made = await runner.run(exchange, 0, dict(exchange.body))
    return made, client, source


async def test_repeatable_work_goes_to_another_endpoint(clock):
    rules = helpers.make_rules()
    made, client, source = await run_stage(
        clock, {"e1": BROKEN, "e2": None}, rules
    )
    assertions.assert_that(made["answer"], matchers.Equals("e2"))
    assertions.assert_that(
        source.released,
        matchers.Equals(
            [("e1", records.Outcome.BROKEN), ("e2", records.Outcome.OK)]
        ),
    )


async def test_a_broken_instruction_is_not_sent_again(clock):
    rules = helpers.make_rules(repeatable=False)
    client = helpers.FakeClient({"e1": BROKEN, "e2": None})
    runner = helpers.make_runner(clock, helpers.FakeSlots(["e1"]), client)
    exchange = helpers.make_exchange(rules)
    with pytest.raises(exceptions.RefusalError) as caught:
        await runner.run(exchange, 0, {})
    assertions.assert_that(
        caught.value.code, matchers.Is(results.Code.OUTCOME_UNKNOWN)
    )
    assertions.assert_that(len(client.calls), matchers.Equals(1))


async def test_an_instruction_that_reached_nobody_is_sent_elsewhere(clock):
    rules = helpers.make_rules(repeatable=False)
    made, client, _ = await run_stage(
        clock, {"e1": UNREACHED, "e2": None}, rules
    )
    assertions.assert_that(made["answer"], matchers.Equals("e2"))


async def test_reaching_nobody_stays_not_run(clock):
    rules = helpers.make_rules(repeatable=False)
    client = helpers.FakeClient({"e1": UNREACHED, "e2": UNREACHED})
    source = helpers.FakeSlots(["e1", "e2"])
    runner = helpers.make_runner(clock, source, client)
    exchange = helpers.make_exchange(rules)
    answer = await outcome.OutcomeFilter().handle(
        exchange, lambda exchange: runner.run(exchange, 0, {})
    )
    assertions.assert_that(
        answer.code.value.family, matchers.Is(results.Family.NOT_RUN)
    )


async def test_no_endpoint_after_a_run_is_not_called_not_run(clock):
    rules = helpers.make_rules()
    client = helpers.FakeClient({"e1": BROKEN})
    runner = helpers.make_runner(clock, helpers.FakeSlots(["e1"]), client)
    exchange = helpers.make_exchange(rules)
    answer = await outcome.OutcomeFilter().handle(
        exchange, lambda exchange: runner.run(exchange, 0, {})
    )
    assertions.assert_that(
        answer.code.value.family, matchers.Is(results.Family.FAILED)
    )


async def test_a_broken_stream_goes_on_at_its_token(clock):
    rules = helpers.make_rules(ENGINE, resume=True)
    heard = []

    async def sink(text):
        heard.append(text)

    plans = {
        "e1": helpers.stream(0, 3, BROKEN),
        "e2": helpers.stream(0, 6),
    }
    made, client, _ = await run_stage(clock, plans, rules, sink)
    whole = [f"t{index} " for index in range(6)]
    assertions.assert_that(heard, matchers.Equals(whole))
    assertions.assert_that(made["text"], matchers.Equals("".join(whole)))
    assertions.assert_that(client.calls[1], matchers.Equals(("e2", 3)))


async def test_a_stream_that_cannot_go_on_is_not_joined(clock):
    rules = helpers.make_rules(ENGINE, resume=False)
    heard = []

    async def sink(text):
        heard.append(text)

    plans = {"e1": helpers.stream(0, 3, BROKEN), "e2": helpers.stream(0, 6)}
    with pytest.raises(exceptions.RefusalError) as caught:
        await run_stage(clock, plans, rules, sink)
    assertions.assert_that(
        caught.value.code, matchers.Is(results.Code.STREAM_BROKEN)
    )
    assertions.assert_that(len(heard), matchers.Equals(3))


async def test_without_a_listener_a_stream_begins_afresh(clock):
    rules = helpers.make_rules(ENGINE, resume=False)
    plans = {"e1": helpers.stream(0, 3, BROKEN), "e2": helpers.stream(0, 4)}
    made, client, _ = await run_stage(clock, plans, rules)
    assertions.assert_that(made["text"], matchers.Equals("t0 t1 t2 t3 "))
    assertions.assert_that(client.calls[1], matchers.Equals(("e2", 0)))


async def test_a_lapsed_slot_is_not_used(clock):
    source = helpers.FakeSlots(["e1"])
    source.confirms = [False, True]
    _, client, _ = await run_stage(
        clock, {"e1": None}, helpers.make_rules(), source=source
    )
    assertions.assert_that(len(client.calls), matchers.Equals(1))
    assertions.assert_that(
        source.released[0], matchers.Equals(("e1", records.Outcome.CANCELLED))
    )


async def test_nothing_is_sent_once_the_caller_has_its_refusal(clock):
    """The slot comes after the deadline, and NOT RUN was said."""
    late = asyncio.Event()
    source = helpers.FakeSlots(["e1"])
    acquire = source.acquire

    async def acquire_late(requirements):
        await late.wait()
        return await acquire(requirements)

    source.acquire = acquire_late
    client = helpers.FakeClient({"e1": None})
    runner = helpers.make_runner(clock, source, client)
    exchange = helpers.make_exchange(helpers.make_rules(repeatable=False))
    step = cutoff.CutoffFilter(clock)
    task = asyncio.ensure_future(
        step.handle(exchange, lambda exchange: runner.run(exchange, 0, {}))
    )
    await clock.advance(1000)
    with pytest.raises(exceptions.RefusalError) as caught:
        await task
    assertions.assert_that(
        caught.value.code, matchers.Is(results.Code.DEADLINE_PASSED)
    )
    late.set()
    await clock.advance(1)
    assertions.assert_that(client.calls, matchers.Equals([]))


async def test_an_instruction_goes_on_without_its_caller(clock):
    gate = asyncio.Event()
    finished = []

    async def plan(call):
        await gate.wait()
        finished.append(call.binding.request)
        return helpers.endpoints.Reply({"answer": 1})

    client = helpers.FakeClient({"e1": plan})
    runner = helpers.make_runner(clock, helpers.FakeSlots(["e1"]), client)
    exchange = helpers.make_exchange(helpers.make_rules(repeatable=False))
    step = cutoff.CutoffFilter(clock)
    task = asyncio.ensure_future(
        step.handle(exchange, lambda exchange: runner.run(exchange, 0, {}))
    )
    await clock.advance(1000)
    with pytest.raises(exceptions.RefusalError) as caught:
        await task
    assertions.assert_that(
        caught.value.code, matchers.Is(results.Code.OUTCOME_UNKNOWN)
    )
    gate.set()
    await step.finish()
    assertions.assert_that(finished, matchers.Equals(["r1"]))


class FixedHedging:
    def record_first_attempt(self):
        pass

    def hedge_delay_ms(self, pool, now):
        return 50.0

    def acquire_hedge(self, now):
        return True


async def test_a_hedge_overtakes_a_slow_endpoint(clock):
    gate = asyncio.Event()

    async def stuck(call):
        await gate.wait()

    source = helpers.FakeSlots(["e1", "e2"])
    client = helpers.FakeClient({"e1": stuck, "e2": None})
    runner = helpers.make_runner(clock, source, client, FixedHedging())
    exchange = helpers.make_exchange(helpers.make_rules())
    task = asyncio.ensure_future(runner.run(exchange, 0, {}))
    await clock.advance(60)
    made = await task
    await clock.advance(1)
    assertions.assert_that(made["answer"], matchers.Equals("e2"))
    assertions.assert_that(
        source.released,
        matchers.Contains(("e1", records.Outcome.CANCELLED)),
    )


async def test_what_reached_nobody_draws_on_no_budget(clock):
    """Pattern: a domain is cut off and every connection there fails."""
    rules = helpers.make_rules()
    plans = {"e1": UNREACHED, "e2": UNREACHED, "e3": None}
    source = helpers.FakeSlots(plans)
    client = helpers.FakeClient(plans)
    budget = retries.RetryBudget(
        tokens_per_attempt=0.0, tokens_per_second=0.0, max_tokens=0.0
    )
    runner = helpers.make_runner(clock, source, client, budget=budget)
    exchange = helpers.make_exchange(rules)
    made = await runner.run(exchange, 0, dict(exchange.body))
    assertions.assert_that(made["answer"], matchers.Equals("e3"))
