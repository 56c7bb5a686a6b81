"""Concurrent changes of the rules by several operators, with lost answers.

A seed determines the order of the calls to the platform, the faults and the
changes. Afterwards what was reported to the operators is compared with the
history of the rules.
"""

import asyncio
import random

import msgspec

from chervilshore import changes
from chervilshore.clients import memory
from chervilshore.clients import platform as platforms
from chervilshore import clock as clocks
from chervilshore import edits
from chervilshore import exceptions
from chervilshore import ids
from chervilshore import operations
from chervilshore import records
from chervilshore.rules import differences
from chervilshore.rules import generations

OPERATORS = ("Morag", "Ruaridh", "Eilidh")

TEAMS = ("glasgow", "islands", "borders")
"""Teams whose rates are changed."""

FAULT_FRACTION = 0.1
"""Fraction of the platform's calls that fail."""

TIMEOUTS_MS = (0.0, 300.0, 20_000.0)
"""Timeouts of a change, in milliseconds."""

INITIAL_RULES = """\
domain scot-a region=scot-central state=in  # Morag, first room
pool ledger kind=plain cold=2 most=16  # Eilidh, bills
service bill pool=ledger path=/bill repeatable=no  # Eilidh, once
team glasgow rate=10  # Morag, large
team islands rate=10  # Morag, ferries
team borders rate=10  # Morag, two vans
"""


class ToolCrash(BaseException):
    """Raised where an operator's tool is supposed to crash."""


class InstantClock(clocks.Clock):
    """A simulated clock; `sleep` advances the time and returns immediately."""

    def __init__(self) -> None:
        self._now = 0.0

    def now(self) -> float:
        """Return the time; see `Clock.now`."""
        return self._now

    def wall(self) -> float:
        """Return the time of day; see `Clock.wall`."""
        return self._now

    async def sleep(self, millis: float) -> None:
        """Advance the time; see `Clock.sleep`."""
        self._now += max(0.0, millis)
        await asyncio.sleep(0)


class PlatformProxy(platforms.Platform):
    """Forwards all calls to another platform.

    Subclasses override `_forward` to inject faults.

    Parameters
    ----------
    inner : Platform
        Receives the calls.
    """

    def __init__(self, inner: platforms.Platform) -> None:
        self._inner = inner

    async def get(self, key):
        """Read an object; see `Platform.get`."""
        return await self._forward("get", key)

    async def list(self, prefix, after="", page_size=1000):
        """Read objects; see `Platform.list`."""
        return await self._forward("list", prefix, after, page_size)

    async def create(self, key, value):
        """Write a new object; see `Platform.create`."""
        return await self._forward("create", key, value)

    async def update(self, key, value, version):
        """Write an object; see `Platform.update`."""
        return await self._forward("update", key, value, version)

    async def delete(self, key, version):
        """Remove an object; see `Platform.delete`."""
        return await self._forward("delete", key, version)

    async def watch(self, prefix, since, timeout_ms):
        """Wait for changes; see `Platform.watch`."""
        return await self._forward("watch", prefix, since, timeout_ms)

    async def hosts(self):
        """Read the host list; see `Platform.hosts`."""
        return await self._forward("hosts")

    async def _forward(self, call, *arguments):
        return await getattr(self._inner, call)(*arguments)


class InterleavingPlatform(PlatformProxy):
    """Forwards calls, and lets other tasks run before and after each.

    Parameters
    ----------
    inner : Platform
        Receives the calls.
    generator : random.Random
        Chooses how many times other tasks run.
    crash_at : int
        The number of the call that raises `ToolCrash` before or after it is
        forwarded, counted from 1; 0 for none.
    """

    def __init__(
        self,
        inner: platforms.Platform,
        generator: random.Random,
        crash_at: int = 0,
    ) -> None:
        super().__init__(inner)
        self._generator = generator
        self._calls_before_crash = crash_at

    async def _forward(self, call, *arguments):
        await self._yield_control()
        self._calls_before_crash -= 1
        if self._calls_before_crash == 0 and self._generator.random() < 0.5:
            raise ToolCrash(call)
        answer = await super()._forward(call, *arguments)
        if self._calls_before_crash == 0:
            raise ToolCrash(call)
        await self._yield_control()
        return answer

    async def _yield_control(self) -> None:
        for _ in range(self._generator.randrange(4)):
            await asyncio.sleep(0)


class ReportedChange(msgspec.Struct):
    """A change, and what was reported to the operator.

    Parameters
    ----------
    team : TeamId
        The team whose rate was changed.
    rate : int
        The new rate; it is different for each change.
    accepted : Generation or None
        The generation that was reported as accepted.
    refused : bool
        Whether the change was reported as not accepted.
    """

    team: ids.TeamId
    rate: int
    accepted: ids.Generation | None = None
    refused: bool = False


class Outcome(msgspec.Struct):
    """Counts of changes, by what was reported and whether that was wrong.

    Parameters
    ----------
    accepted, conflicts, unknown, unread, crashed : int
        Changes that were accepted, refused because of a conflict, of
        unknown result, and those where the rules could not be read or
        written and where the tool crashed.
    wrongly_acknowledged, wrongly_refused : int
        Changes reported as accepted that are not in the history, and
        changes reported as refused that are.
    reverted : int
        Signs that a change was lost from the history or came twice.
    half_applied : int
        Generations whose rules cannot be read.
    """

    accepted: int = 0
    conflicts: int = 0
    unknown: int = 0
    unread: int = 0
    crashed: int = 0
    wrongly_acknowledged: int = 0
    wrongly_refused: int = 0
    reverted: int = 0
    half_applied: int = 0

    @property
    def violations(self) -> int:
        """Number of violated guarantees."""
        return (
            self.wrongly_acknowledged
            + self.wrongly_refused
            + self.reverted
            + self.half_applied
        )


class Race:
    """Operators that change the same few rules concurrently.

    Parameters
    ----------
    seed : int
        Seed of all random choices.
    rounds : int
        Changes that each operator tries to make.
    """

    def __init__(self, seed: int, rounds: int) -> None:
        self._rounds = rounds
        self._generator = random.Random(seed)
        self._clock = InstantClock()
        self._platform = memory.MemoryPlatform(self._clock)
        self._platform.host_list = records.HostList()
        self._reported_changes: list[ReportedChange] = []
        self._rate = 10
        self.outcome = Outcome()

    async def run(self) -> Outcome:
        """Make all changes, then compare the reports with the history."""
        await self._apply(
            self._platform, "Morag", edits.parse(INITIAL_RULES, "first")
        )
        self._platform.faults = self._choose_fault
        await asyncio.gather(*map(self._operate, OPERATORS))
        self._platform.faults = memory.no_faults
        await self._check_history()
        return self.outcome

    def _choose_fault(self, call: str, key: str) -> memory.Fault:
        if self._generator.random() > FAULT_FRACTION:
            return memory.Fault.NONE
        kinds = (
            memory.Fault.DOWN,
            memory.Fault.LOST_BEFORE,
            memory.Fault.LOST_AFTER,
        )
        return self._generator.choice(kinds)

    async def _operate(self, author: str) -> None:
        for _ in range(self._rounds):
            crash_at = 0
            if self._generator.random() < 0.2:
                crash_at = self._generator.randrange(1, 15)
            platform = InterleavingPlatform(
                self._platform, self._generator, crash_at
            )
            try:
                await self._change(platform, author)
            except ToolCrash:
                self.outcome.crashed += 1
            except exceptions.PlatformError:
                # The rules could not be read before the change.
                self.outcome.unread += 1

    async def _change(self, platform: platforms.Platform, author: str) -> None:
        operator = self._make_operator(platform)
        text = await operator.show()
        team = self._generator.choice(TEAMS)
        self._rate += 1
        rows = [
            f"team {team} rate={self._rate}  # {author}, race"
            if row.startswith(f"team {team} ")
            else row
            for row in text.splitlines()
        ]
        document = edits.parse("\n".join(rows), "edited")
        reported = ReportedChange(team, self._rate)
        self._reported_changes.append(reported)
        merge = self._generator.random() < 0.5
        await self._apply_and_record(
            platform, author, document, merge, reported
        )

    async def _apply_and_record(
        self, platform, author, document, merge, reported
    ) -> None:
        try:
            head = await self._apply(platform, author, document, merge)
            reported.accepted = head.generation
            self.outcome.accepted += 1
        except exceptions.ChangeConflict:
            reported.refused = True
            self.outcome.conflicts += 1
        except exceptions.ChangeUnknown:
            self.outcome.unknown += 1
        except exceptions.PlatformError:
            reported.refused = True
            self.outcome.unread += 1

    async def _apply(
        self, platform, author, document, merge=False
    ) -> generations.Head:
        operator = self._make_operator(platform)
        edit = edits.Edit(document, author, "race", merge=merge)
        plan = await operator.plan(edit)
        timeout_ms = self._generator.choice(TIMEOUTS_MS)
        return await operator.apply(plan, timeout_ms)

    def _make_operator(self, platform) -> operations.Operations:
        return operations.Operations(platform, None, self._clock)

    async def _check_history(self) -> None:
        store = changes.Store(self._platform, self._clock)
        snapshot = await store.read()
        heads = await store.read_heads(snapshot, ids.Generation(1))
        documents = []
        for head in reversed(heads):
            try:
                documents.append(await store.read_document(head))
            except exceptions.RulesError:
                self.outcome.half_applied += 1
        self._check_chain(snapshot, heads)
        introduced = _find_generations(documents)
        for reported in self._reported_changes:
            self._check_reported(reported, introduced)

    def _check_chain(self, snapshot, heads) -> None:
        numbers = [head.generation for head in heads]
        if numbers != list(range(snapshot.generation, 0, -1)):
            self.outcome.reverted += 1

    def _check_reported(
        self, reported: ReportedChange, introduced: dict
    ) -> None:
        generation = introduced.get((reported.team, reported.rate))
        if reported.accepted is not None and generation != reported.accepted:
            self.outcome.wrongly_acknowledged += 1
        if reported.refused and generation is not None:
            self.outcome.wrongly_refused += 1
        if generation is not None and introduced["twice"]:
            self.outcome.reverted += 1


def _find_generations(documents) -> dict:
    """Map each team and rate to the generation that introduced it.

    The value of ``twice`` is the number of generations that changed other
    than one rule, or restored a value that had been replaced before.
    """
    introduced: dict = {"twice": 0}
    for number, (before, after) in enumerate(zip(documents, documents[1:]), 2):
        changed = differences.compare(before, after)
        if len(changed) != 1:
            introduced["twice"] += 1
        for change in changed:
            value = (change.key[1], int(change.after.rule.rate))
            if value in introduced:
                introduced["twice"] += 1
            introduced[value] = number
    return introduced


async def run(seeds: range, rounds: int) -> Outcome:
    """Run a `Race` for each seed and return the sums of the counts."""
    total = Outcome()
    for seed in seeds:
        outcome = await Race(seed, rounds).run()
        for field in msgspec.structs.fields(Outcome):
            count = getattr(total, field.name) + getattr(outcome, field.name)
            setattr(total, field.name, count)
    return total
