"""Tests that a change is atomic and that its reported outcome is true."""

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
MAX_STEPS = 30
"""Upper bound of the platform calls of one change."""


@pytest.fixture
def quick_clock():
    return races.InstantClock()


@pytest.fixture
def memory_platform(quick_clock):
    platform = memory.MemoryPlatform(quick_clock)
    return platform


async def change_rate(platform, clock, rate, timeout_ms=5000.0):
    """Change the rate of one team and return the accepted generation."""
    operator = operations.Operations(platform, None, clock)
    text = await operator.show()
    text = re.sub(
        "team borders rate=[0-9]+", f"team borders rate={rate}", text
    )
    edit = edits.Edit(edits.parse(text, "edited"), "Morag", "test")
    plan = await operator.plan(edit)
    return (await operator.apply(plan, timeout_ms)).generation


async def publish_first(platform, clock):
    """Publish generation 1."""
    operator = operations.Operations(platform, None, clock)
    plan = await operator.plan(helpers.make_edit())
    await operator.apply(plan, 1000.0)


async def read_rate(platform, clock):
    """Return the accepted generation and rate, with verified chunks."""
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
    """Injects a fault into one call, and into all later ones unless `once`."""

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
async def test_reported_outcome_is_true_after_a_fault_at_any_call(
    quick_clock, fault, once
):
    for step in range(1, MAX_STEPS):
        platform = memory.MemoryPlatform(quick_clock)
        await publish_first(platform, quick_clock)
        plan = FaultsFrom(step, fault, once)
        platform.faults = plan
        accepted = unknown = None
        try:
            accepted = await change_rate(platform, quick_clock, 25)
        except exceptions.ChangeUnknown as error:
            unknown = error
        except exceptions.PlatformError:
            pass
        platform.faults = memory.no_faults
        generation, rate = await read_rate(platform, quick_clock)
        changed = (generation, rate) == (2, 25.0)
        assertions.assert_that(
            changed or (generation, rate) == (1, 20.0), matchers.Is(True)
        )
        if unknown is None:
            assertions.assert_that(accepted == 2, matchers.Is(changed))
        else:
            outcome = await changes.Store(platform, quick_clock).settle(
                unknown.generation, unknown.change
            )
            settled = outcome is changes.Outcome.ACCEPTED
            assertions.assert_that(settled, matchers.Is(changed))
        if not plan.reached:
            break
    assertions.assert_that(plan.reached, matchers.Is(False))


@pytest.mark.parametrize("after", [True, False])
async def test_crash_at_any_call_leaves_old_or_new_rules_and_no_lock(
    quick_clock, after
):
    crashed = 0
    for step in range(1, MAX_STEPS):
        inner = memory.MemoryPlatform(quick_clock)
        await publish_first(inner, quick_clock)
        generator = random.Random(0)
        generator.random = lambda: 1.0 if after else 0.0
        platform = races.InterleavingPlatform(inner, generator, step)
        try:
            await change_rate(platform, quick_clock, 25)
        except races.ToolCrash:
            crashed += 1
        assertions.assert_that(
            await read_rate(inner, quick_clock),
            matchers.MatchesAny(
                matchers.Equals((1, 20.0)), matchers.Equals((2, 25.0))
            ),
        )
        generation = await change_rate(inner, quick_clock, 25)
        assertions.assert_that(generation, matchers.Equals(2))
    assertions.assert_that(crashed, matchers.GreaterThan(7))


async def test_concurrent_operators_get_true_outcomes_over_1000_seeds():
    outcome = await races.run(range(1000), rounds=1)
    assertions.assert_that(outcome.violations, matchers.Equals(0))
    for count in (outcome.accepted, outcome.conflicts, outcome.unknown):
        assertions.assert_that(count, matchers.GreaterThan(10))


async def test_change_is_accepted_by_a_slow_platform(clock):
    class SlowPlatform(races.PlatformProxy):
        async def _forward(self, call, *arguments):
            await clock.sleep(400)
            value = await super()._forward(call, *arguments)
            await clock.sleep(400)
            return value

    inner = memory.MemoryPlatform(clock)
    await publish_first(inner, clock)
    generation = await helpers.run_until_done(
        clock, change_rate(SlowPlatform(inner), clock, 25, timeout_ms=100.0)
    )
    assertions.assert_that(generation, matchers.Equals(2))
    assertions.assert_that(
        await read_rate(inner, clock), matchers.Equals((2, 25.0))
    )


async def test_conflict_names_the_lines_and_both_authors(
    quick_clock, memory_platform
):
    await publish_first(memory_platform, quick_clock)
    operator = operations.Operations(memory_platform, None, quick_clock)
    text = await operator.show()
    await change_rate(memory_platform, quick_clock, 25)
    edited = edits.parse(text.replace("rate=20 ", "rate=30 "), "mine.rules")
    with pytest.raises(exceptions.ChangeConflict) as caught:
        await operator.plan(edits.Edit(edited, "Eilidh", "test"))
    for part in (
        "mine.rules:41: team borders",
        "Eilidh: team borders rate=30 ",
        "Morag in generation 2, line 41: team borders rate=25 ",
    ):
        assertions.assert_that(str(caught.value), matchers.Contains(part))


async def test_edits_of_different_rules_merge_only_on_request(
    quick_clock, memory_platform
):
    await publish_first(memory_platform, quick_clock)
    operator = operations.Operations(memory_platform, None, quick_clock)
    text = await operator.show()
    await change_rate(memory_platform, quick_clock, 25)
    added = "team skye rate=5  # Eilidh, new franchise\n"
    edited = edits.parse(text.replace("rate=30 ", "rate=33 ") + added, "mine")
    edit = edits.Edit(edited, "Eilidh", "test")
    with pytest.raises(exceptions.ChangeConflict):
        await operator.plan(edit)
    edit = edits.Edit(edited, "Eilidh", "test", merge=True)
    await operator.apply(await operator.plan(edit), 1000.0)
    shown = await operator.show()
    for part in ("rate=25 ", "rate=33 ", "team skye rate=5  # Eilidh"):
        assertions.assert_that(shown, matchers.Contains(part))


async def test_prune_keeps_the_newest_generations_readable(
    quick_clock, memory_platform
):
    await publish_first(memory_platform, quick_clock)
    for rate in range(30, 40):
        await change_rate(memory_platform, quick_clock, rate)
    operator = operations.Operations(memory_platform, None, quick_clock)
    removed = await operator.prune(3)
    assertions.assert_that(removed, matchers.GreaterThan(10))
    assertions.assert_that(
        await read_rate(memory_platform, quick_clock),
        matchers.Equals((11, 39.0)),
    )
    shown = await operator.show(ids.Generation(9))
    assertions.assert_that(shown, matchers.Contains("borders rate=37 "))
    with pytest.raises(exceptions.ObjectMissing):
        await operator.show(ids.Generation(8))
