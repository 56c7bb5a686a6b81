"""Tests of stages: retries, hedges, resumed streams, and result codes."""

import asyncio
import gc

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
    output = await runner.run(exchange, 0, dict(exchange.body))
    return output, client, source


async def test_broken_repeatable_request_is_retried_elsewhere(clock):
    rules = helpers.make_rules()
    output, client, source = await run_stage(
        clock, {"e1": BROKEN, "e2": None}, rules
    )
    assertions.assert_that(output["answer"], matchers.Equals("e2"))
    assertions.assert_that(
        source.released,
        matchers.Equals(
            [("e1", records.Outcome.BROKEN), ("e2", records.Outcome.OK)]
        ),
    )


async def test_broken_nonrepeatable_request_is_not_retried(clock):
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


async def test_unreached_nonrepeatable_request_is_retried_elsewhere(clock):
    rules = helpers.make_rules(repeatable=False)
    output, client, _ = await run_stage(
        clock, {"e1": UNREACHED, "e2": None}, rules
    )
    assertions.assert_that(output["answer"], matchers.Equals("e2"))


async def test_request_that_reached_no_endpoint_ends_as_not_run(clock):
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


async def test_no_endpoint_left_after_a_run_ends_as_failed(clock):
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


async def test_broken_stream_resumes_at_its_next_token(clock):
    rules = helpers.make_rules(ENGINE, resume=True)
    received = []

    async def sink(text):
        received.append(text)

    plans = {
        "e1": helpers.stream(0, 3, BROKEN),
        "e2": helpers.stream(0, 6),
    }
    output, client, _ = await run_stage(clock, plans, rules, sink)
    all_chunks = [f"t{index} " for index in range(6)]
    assertions.assert_that(received, matchers.Equals(all_chunks))
    assertions.assert_that(
        output["text"], matchers.Equals("".join(all_chunks))
    )
    assertions.assert_that(client.calls[1], matchers.Equals(("e2", 3)))


async def test_stream_that_cannot_resume_is_not_continued(clock):
    rules = helpers.make_rules(ENGINE, resume=False)
    received = []

    async def sink(text):
        received.append(text)

    plans = {"e1": helpers.stream(0, 3, BROKEN), "e2": helpers.stream(0, 6)}
    with pytest.raises(exceptions.RefusalError) as caught:
        await run_stage(clock, plans, rules, sink)
    assertions.assert_that(
        caught.value.code, matchers.Is(results.Code.STREAM_BROKEN)
    )
    assertions.assert_that(len(received), matchers.Equals(3))


async def test_text_that_is_not_streamed_restarts_from_its_first_token(clock):
    rules = helpers.make_rules(ENGINE, resume=False)
    plans = {"e1": helpers.stream(0, 3, BROKEN), "e2": helpers.stream(0, 4)}
    output, client, _ = await run_stage(clock, plans, rules)
    assertions.assert_that(output["text"], matchers.Equals("t0 t1 t2 t3 "))
    assertions.assert_that(client.calls[1], matchers.Equals(("e2", 0)))


async def test_slot_that_is_not_confirmed_is_not_used(clock):
    source = helpers.FakeSlots(["e1"])
    source.confirms = [False, True]
    _, client, _ = await run_stage(
        clock, {"e1": None}, helpers.make_rules(), source=source
    )
    assertions.assert_that(len(client.calls), matchers.Equals(1))
    assertions.assert_that(
        source.released[0], matchers.Equals(("e1", records.Outcome.CANCELLED))
    )


async def test_no_call_is_sent_after_the_caller_was_refused(clock):
    """The slot arrives after the deadline, when the answer was NOT RUN."""
    slot_free = asyncio.Event()
    source = helpers.FakeSlots(["e1"])
    acquire = source.acquire

    async def acquire_late(requirements):
        await slot_free.wait()
        return await acquire(requirements)

    source.acquire = acquire_late
    client = helpers.FakeClient({"e1": None})
    runner = helpers.make_runner(clock, source, client)
    exchange = helpers.make_exchange(helpers.make_rules(repeatable=False))
    cutoff_filter = cutoff.CutoffFilter(clock)
    task = asyncio.ensure_future(
        cutoff_filter.handle(
            exchange, lambda exchange: runner.run(exchange, 0, {})
        )
    )
    await clock.advance(1000)
    with pytest.raises(exceptions.RefusalError) as caught:
        await task
    assertions.assert_that(
        caught.value.code, matchers.Is(results.Code.DEADLINE_PASSED)
    )
    slot_free.set()
    await clock.advance(1)
    assertions.assert_that(client.calls, matchers.Equals([]))


@pytest.mark.parametrize(
    ("dispatched", "repeatable", "code"),
    [
        (False, True, results.Code.DRAINING),
        (False, False, results.Code.DRAINING),
        (True, True, results.Code.STAGE_BROKEN),
        (True, False, results.Code.OUTCOME_UNKNOWN),
    ],
)
async def test_requests_are_answered_when_their_host_must_end(
    clock, dispatched, repeatable, code
):
    exchange = helpers.make_exchange(helpers.make_rules(repeatable=repeatable))
    exchange.dispatched = dispatched
    cutoff_filter = cutoff.CutoffFilter(clock)
    waiting = asyncio.Event()
    task = asyncio.ensure_future(
        cutoff_filter.handle(exchange, lambda exchange: waiting.wait())
    )
    await asyncio.sleep(0)
    cutoff_filter.end()
    with pytest.raises(exceptions.RefusalError) as caught:
        await task
    assertions.assert_that(caught.value.code, matchers.Is(code))
    waiting.set()


# Guards against errors in the log for requests that fail as callers leave.
async def test_failure_is_not_logged_when_its_caller_leaves_with_it(clock):
    tasks = []

    async def fail(exchange):
        tasks.pop().cancel()
        raise exceptions.RefusalError(results.Code.DEADLINE_HOPELESS)

    async def run():
        exchange = helpers.make_exchange(helpers.make_rules())
        await cutoff.CutoffFilter(clock).handle(exchange, fail)

    logged = []
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda loop, context: logged.append(context))
    tasks.append(asyncio.ensure_future(run()))
    await asyncio.wait(tasks)
    await asyncio.sleep(0)
    gc.collect()
    assertions.assert_that(logged, matchers.Equals([]))


async def test_nonrepeatable_call_continues_after_the_deadline(clock):
    may_finish = asyncio.Event()
    finished = []

    async def plan(call):
        await may_finish.wait()
        finished.append(call.binding.request)
        return helpers.endpoints.Reply({"answer": 1})

    client = helpers.FakeClient({"e1": plan})
    runner = helpers.make_runner(clock, helpers.FakeSlots(["e1"]), client)
    exchange = helpers.make_exchange(helpers.make_rules(repeatable=False))
    cutoff_filter = cutoff.CutoffFilter(clock)
    task = asyncio.ensure_future(
        cutoff_filter.handle(
            exchange, lambda exchange: runner.run(exchange, 0, {})
        )
    )
    await clock.advance(1000)
    with pytest.raises(exceptions.RefusalError) as caught:
        await task
    assertions.assert_that(
        caught.value.code, matchers.Is(results.Code.OUTCOME_UNKNOWN)
    )
    may_finish.set()
    await cutoff_filter.finish()
    assertions.assert_that(finished, matchers.Equals(["r1"]))


class FixedHedging:
    def record_first_attempt(self):
        pass

    def hedge_delay_ms(self, pool, now):
        return 50.0

    def acquire_hedge(self, now):
        return True


async def test_hedge_answers_before_a_slow_endpoint(clock):
    may_finish = asyncio.Event()

    async def stuck(call):
        await may_finish.wait()

    source = helpers.FakeSlots(["e1", "e2"])
    client = helpers.FakeClient({"e1": stuck, "e2": None})
    runner = helpers.make_runner(clock, source, client, FixedHedging())
    exchange = helpers.make_exchange(helpers.make_rules())
    task = asyncio.ensure_future(runner.run(exchange, 0, {}))
    await clock.advance(60)
    output = await task
    await clock.advance(1)
    assertions.assert_that(output["answer"], matchers.Equals("e2"))
    assertions.assert_that(
        source.released,
        matchers.Contains(("e1", records.Outcome.CANCELLED)),
    )


async def test_unreached_attempts_use_no_retry_budget(clock):
    """A failure domain is unreachable: every connection to it fails."""
    rules = helpers.make_rules()
    plans = {"e1": UNREACHED, "e2": UNREACHED, "e3": None}
    source = helpers.FakeSlots(plans)
    client = helpers.FakeClient(plans)
    budget = retries.RetryBudget(
        tokens_per_request=0.0, tokens_per_second=0.0, max_tokens=0.0
    )
    runner = helpers.make_runner(clock, source, client, budget=budget)
    exchange = helpers.make_exchange(rules)
    output = await runner.run(exchange, 0, dict(exchange.body))
    assertions.assert_that(output["answer"], matchers.Equals("e3"))
