"""A change is accepted whole or not at all, and what is told is true."""

import random
import re

import pytest
from testtools import assertions
from testtools import matchers

from chervilshore import changes
from chervilshore.clients import memory
from chervilshore import edits
from chervilshore import exceptions
from chervilshore import ids
from chervilshore import operations
from measure import races
from tests import configuration_helpers as helpers

FAULTS = (
    memory.Fault.DOWN,
    memory.Fault.LOST_BEFORE,
    memory.Fault.LOST_AFTER,
)
MOST_STEPS = 30


@pytest.fixture
def quick():
    return races.QuickClock()


@pytest.fixture
def store(quick):
    platform = memory.MemoryPlatform(quick)
    return platform


async def change_rate(platform, clock, rate, timeout_ms=5000.0):
    """Change one team's rate, and tell the accepted generation."""
    operator = operations.Operations(platform, None, clock)
    text = await operator.show()
    text = re.sub(
        "team borders rate=[0-9]+", f"team borders rate={rate}", text
    )
    edit = edits.Edit(edits.parse(text, "edited"), "Morag", "test")
    plan = await operator.plan(edit)
    return (await operator.apply(plan, timeout_ms)).generation


async def begin(platform, clock):
    operator = operations.Operations(platform, None, clock)
    plan = await operator.plan(helpers.make_edit())
    await operator.apply(plan, 1000.0)


async def read_rate(platform, clock):
    """Read the accepted generation and rate, every chunk verified."""
    store = changes.Store(platform, clock)
    snapshot = await store.read()
    document = await store.read_document(snapshot.head)
    rate = next(
        line.rule.rate
        for line in document.lines
        if line.key == ("team", "borders")
    )
    return snapshot.generation, rate


class FaultsFrom:
    """Lets calls pass until one, which meets a fault, as may all later."""

    def __init__(self, step, fault, once):
        self._step = step
        self._fault = fault
        self._once = once
        self.reached = False

    def __call__(self, call, key):
        self._step -= 1
        if self._step > 0 or (self._once and self.reached):
            return memory.Fault.NONE
        self.reached = True
        return self._fault


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("once", [True, False])
async def test_a_fault_at_any_step_leaves_the_truth_told(quick, fault, once):
    for step in range(1, MOST_STEPS):
        platform = memory.MemoryPlatform(quick)
        await begin(platform, quick)
        plan = FaultsFrom(step, fault, once)
        platform.faults = plan
        told = unknown = None
        try:
            told = await change_rate(platform, quick, 25)
        except exceptions.ChangeUnknown as error:
            unknown = error
        except exceptions.PlatformError:
            pass
        platform.faults = memory.plan_nothing
        generation, rate = await read_rate(platform, quick)
        found = (generation, rate) == (2, 25.0)
        assertions.assert_that(
            found or (generation, rate) == (1, 20.0), matchers.Is(True)
        )
        if unknown is None:
            assertions.assert_that(told == 2, matchers.Is(found))
        else:
            verdict = await changes.Store(platform, quick).settle(
                unknown.generation, unknown.change
            )
            accepted = verdict is changes.ChangeOutcome.ACCEPTED
            assertions.assert_that(accepted, matchers.Is(found))
        if not plan.reached:
            break
    assertions.assert_that(plan.reached, matchers.Is(False))


@pytest.mark.parametrize("after", [True, False])
async def test_a_crash_at_any_step_leaves_old_or_new_and_no_lock(quick, after):
    crashed = 0
    for step in range(1, MOST_STEPS):
        inner = memory.MemoryPlatform(quick)
        await begin(inner, quick)
        generator = random.Random(0)
        generator.random = lambda: 1.0 if after else 0.0
        platform = races.ShufflingPlatform(inner, generator, step)
        try:
            await change_rate(platform, quick, 25)
        except races.Crash:
            crashed += 1
        assertions.assert_that(
            await read_rate(inner, quick),
            matchers.MatchesAny(
                matchers.Equals((1, 20.0)), matchers.Equals((2, 25.0))
            ),
        )
        generation = await change_rate(inner, quick, 25)
        assertions.assert_that(generation, matchers.Equals(2))
    assertions.assert_that(crashed, matchers.GreaterThan(7))


async def test_racing_operators_are_told_the_truth_over_1000_seeds():
    outcome = await races.run(range(1000), rounds=1)
    assertions.assert_that(outcome.broken, matchers.Equals(0))
    for count in (outcome.accepted, outcome.conflicts, outcome.unknown):
        assertions.assert_that(count, matchers.GreaterThan(10))


async def test_a_slow_platform_changes_only_the_time(clock):
    class SlowPlatform(races.PassingPlatform):
        async def _pass(self, call, *arguments):
            await clock.sleep(400)
            found = await super()._pass(call, *arguments)
            await clock.sleep(400)
            return found

    inner = memory.MemoryPlatform(clock)
    await begin(inner, clock)
    told = await helpers.run_until_done(
        clock, change_rate(SlowPlatform(inner), clock, 25, timeout_ms=100.0)
    )
    assertions.assert_that(told, matchers.Equals(2))
    assertions.assert_that(
        await read_rate(inner, clock), matchers.Equals((2, 25.0))
    )


async def test_a_conflict_names_the_lines_and_both_authors(quick, store):
    await begin(store, quick)
    operator = operations.Operations(store, None, quick)
    text = await operator.show()
    await change_rate(store, quick, 25)
    mine = edits.parse(text.replace("rate=20 ", "rate=30 "), "mine.rules")
    with pytest.raises(exceptions.ChangeConflict) as caught:
        await operator.plan(edits.Edit(mine, "Eilidh", "test"))
    for part in (
        "mine.rules:41: team borders",
        "Eilidh: team borders rate=30 ",
        "Morag in generation 2, line 41: team borders rate=25 ",
    ):
        assertions.assert_that(str(caught.value), matchers.Contains(part))


async def test_edits_of_other_rules_join_only_when_asked_to(quick, store):
    await begin(store, quick)
    operator = operations.Operations(store, None, quick)
    text = await operator.show()
    await change_rate(store, quick, 25)
    added = "team skye rate=5  # Eilidh, new franchise\n"
    mine = edits.parse(text.replace("rate=30 ", "rate=33 ") + added, "mine")
    edit = edits.Edit(mine, "Eilidh", "test")
    with pytest.raises(exceptions.ChangeConflict):
        await operator.plan(edit)
    edit = edits.Edit(mine, "Eilidh", "test", merge=True)
    await operator.apply(await operator.plan(edit), 1000.0)
    shown = await operator.show()
    for part in ("rate=25 ", "rate=33 ", "team skye rate=5  # Eilidh"):
        assertions.assert_that(shown, matchers.Contains(part))


async def test_prune_keeps_what_the_newest_generations_need(quick, store):
    await begin(store, quick)
    for rate in range(30, 40):
        await change_rate(store, quick, rate)
    operator = operations.Operations(store, None, quick)
    removed = await operator.prune(3)
    assertions.assert_that(removed, matchers.GreaterThan(10))
    assertions.assert_that(
        await read_rate(store, quick), matchers.Equals((11, 39.0))
    )
    shown = await operator.show(ids.Generation(9))
    assertions.assert_that(shown, matchers.Contains("borders rate=37 "))
    with pytest.raises(exceptions.ObjectMissing):
        await operator.show(ids.Generation(8))
