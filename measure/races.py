"""Operators who race one another while the platform loses answers.

Each seed gives another order of calls, other faults and other edits. What
the operators were told is compared with what the history says.
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
FAULT_SHARE = 0.1
"""Share of the calls that meet a fault."""

TIMEOUTS_MS = (0.0, 300.0, 20_000.0)
"""Milliseconds after which an operator stops waiting."""

FIRST = """\
domain scot-a region=scot-central state=in  # Morag, first room
pool ledger kind=plain cold=2 most=16  # Eilidh, bills
service bill pool=ledger path=/bill repeatable=no  # Eilidh, once
team glasgow rate=10  # Morag, large
team islands rate=10  # Morag, ferries
team borders rate=10  # Morag, two vans
"""


class Crash(BaseException):
    """An operator's tool dies in the middle of a call."""


class QuickClock(clocks.Clock):
    """A clock on which every sleep ends at once."""

    def __init__(self) -> None:
        self._now = 0.0

    def now(self) -> float:
        """Tell the time; see `Clock.now`."""
        return self._now

    def wall(self) -> float:
        """Tell the time of day; see `Clock.wall`."""
        return self._now

    async def sleep(self, millis: float) -> None:
        """Move on; see `Clock.sleep`."""
        self._now += max(0.0, millis)
        await asyncio.sleep(0)


class PassingPlatform(platforms.Platform):
    """Passes calls on to another one; subclasses spoil some.

    Parameters
    ----------
    inner : Platform
        Takes the calls.
    """

    def __init__(self, inner: platforms.Platform) -> None:
        self._inner = inner

    async def get(self, key):
        """Read an object; see `Platform.get`."""
        return await self._pass("get", key)

    async def list(self, prefix, after="", page_size=1000):
        """Read objects; see `Platform.list`."""
        return await self._pass("list", prefix, after, page_size)

    async def create(self, key, value):
        """Write a new object; see `Platform.create`."""
        return await self._pass("create", key, value)

    async def update(self, key, value, version):
        """Write an object; see `Platform.update`."""
        return await self._pass("update", key, value, version)

    async def delete(self, key, version):
        """Remove an object; see `Platform.delete`."""
        return await self._pass("delete", key, version)

    async def watch(self, prefix, since, timeout_ms):
        """Wait for changes; see `Platform.watch`."""
        return await self._pass("watch", prefix, since, timeout_ms)

    async def hosts(self):
        """Read the host list; see `Platform.hosts`."""
        return await self._pass("hosts")

    async def _pass(self, call, *arguments):
        return await getattr(self._inner, call)(*arguments)


class ShufflingPlatform(PassingPlatform):
    """Passes calls on after other tasks have had some turns.

    Parameters
    ----------
    inner : Platform
        Takes the calls.
    generator : random.Random
        Chooses how many turns.
    crash_at : int
        The call at which the caller dies; 0 for never.
    """

    def __init__(
        self,
        inner: platforms.Platform,
        generator: random.Random,
        crash_at: int = 0,
    ) -> None:
        super().__init__(inner)
        self._generator = generator
        self._left = crash_at

    async def _pass(self, call, *arguments):
        await self._wait()
        self._left -= 1
        if self._left == 0 and self._generator.random() < 0.5:
            raise Crash(call)
        found = await super()._pass(call, *arguments)
        if self._left == 0:
            raise Crash(call)
        await self._wait()
        return found

    async def _wait(self) -> None:
        for _ in range(self._generator.randrange(4)):
            await asyncio.sleep(0)


class Told(msgspec.Struct):
    """What an operator was told of one change.

    Parameters
    ----------
    team : TeamId
        The team whose rate was changed.
    rate : int
        The new rate, which no other change uses.
    accepted : Generation or None
        The generation that the operator was told.
    refused : bool
        Whether the operator was told that nothing was accepted.
    """

    team: ids.TeamId
    rate: int
    accepted: ids.Generation | None = None
    refused: bool = False


class Outcome(msgspec.Struct):
    """What one race came to."""

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
    def broken(self) -> int:
        """Count the promises that were not kept."""
        return (
            self.wrongly_acknowledged
            + self.wrongly_refused
            + self.reverted
            + self.half_applied
        )


class Race:
    """Three operators who change the same few rules at once.

    Parameters
    ----------
    seed : int
        Decides about everything that is left to chance.
    rounds : int
        Changes that each operator tries to make.
    """

    def __init__(self, seed: int, rounds: int) -> None:
        self._rounds = rounds
        self._generator = random.Random(seed)
        self._clock = QuickClock()
        self._inner = memory.MemoryPlatform(self._clock)
        self._inner.host_list = records.HostList()
        self._told: list[Told] = []
        self._rate = 10
        self.outcome = Outcome()

    async def run(self) -> Outcome:
        """Run the race and compare what was told with what is there."""
        await self._apply(self._inner, "Morag", edits.parse(FIRST, "first"))
        self._inner.faults = self._choose_fault
        await asyncio.gather(*map(self._operate, OPERATORS))
        self._inner.faults = memory.no_faults
        await self._compare()
        return self.outcome

    def _choose_fault(self, call: str, key: str) -> memory.Fault:
        if self._generator.random() > FAULT_SHARE:
            return memory.Fault.NONE
        faults = (
            memory.Fault.DOWN,
            memory.Fault.LOST_BEFORE,
            memory.Fault.LOST_AFTER,
        )
        return self._generator.choice(faults)

    async def _operate(self, author: str) -> None:
        for _ in range(self._rounds):
            crash_at = 0
            if self._generator.random() < 0.2:
                crash_at = self._generator.randrange(1, 15)
            platform = ShufflingPlatform(
                self._inner, self._generator, crash_at
            )
            try:
                await self._change(platform, author)
            except Crash:
                self.outcome.crashed += 1
            except exceptions.PlatformError:
                # The rules could not even be read.
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
        told = Told(team, self._rate)
        self._told.append(told)
        merge = self._generator.random() < 0.5
        await self._tell(platform, author, document, merge, told)

    async def _tell(self, platform, author, document, merge, told) -> None:
        try:
            head = await self._apply(platform, author, document, merge)
            told.accepted = head.generation
            self.outcome.accepted += 1
        except exceptions.ChangeConflict:
            told.refused = True
            self.outcome.conflicts += 1
        except exceptions.ChangeUnknown:
            self.outcome.unknown += 1
        except exceptions.PlatformError:
            told.refused = True
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

    async def _compare(self) -> None:
        store = changes.Store(self._inner, self._clock)
        snapshot = await store.read()
        past = await store.read_heads(snapshot, ids.Generation(1))
        documents = []
        for head in reversed(past):
            try:
                documents.append(await store.read_document(head))
            except exceptions.RulesError:
                self.outcome.half_applied += 1
        self._count_broken_chain(snapshot, past)
        brought = _list_brought(documents)
        for told in self._told:
            self._compare_told(told, brought)

    def _count_broken_chain(self, snapshot, past) -> None:
        numbers = [head.generation for head in past]
        if numbers != list(range(snapshot.generation, 0, -1)):
            self.outcome.reverted += 1

    def _compare_told(self, told: Told, brought: dict) -> None:
        generation = brought.get((told.team, told.rate))
        if told.accepted is not None and generation != told.accepted:
            self.outcome.wrongly_acknowledged += 1
        if told.refused and generation is not None:
            self.outcome.wrongly_refused += 1
        if generation is not None and brought["twice"]:
            self.outcome.reverted += 1


def _list_brought(documents) -> dict:
    """Map each team and rate to the generation that brought it.

    Under ``twice`` stands how many generations brought more than one
    rule, or brought back what an earlier one had replaced.
    """
    brought: dict = {"twice": 0}
    for number, (before, after) in enumerate(zip(documents, documents[1:]), 2):
        found = differences.compare(before, after)
        if len(found) != 1:
            brought["twice"] += 1
        for one in found:
            value = (one.key[1], int(one.after.rule.rate))
            if value in brought:
                brought["twice"] += 1
            brought[value] = number
    return brought


async def run(seeds: range, rounds: int) -> Outcome:
    """Run a race for each seed and add up the outcomes."""
    total = Outcome()
    for seed in seeds:
        outcome = await Race(seed, rounds).run()
        for field in msgspec.structs.fields(Outcome):
            count = getattr(total, field.name) + getattr(outcome, field.name)
            setattr(total, field.name, count)
    return total
