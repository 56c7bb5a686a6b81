"""What operators do with the configuration, for programs and the tool."""

import asyncio
import enum
import secrets

import msgspec

from chervilshore import changes
from chervilshore.clients import admin as admin_clients
from chervilshore.clients import platform as platforms
from chervilshore import clock as clocks
from chervilshore import exceptions
from chervilshore import ids
from chervilshore import records
from chervilshore.rules import checks
from chervilshore.rules import differences
from chervilshore.rules import generations
from chervilshore.rules import guards
from chervilshore.rules import lines
from chervilshore.rules import model

POLL_MS = 100.0
"""Milliseconds between two questions to a host that lags."""

ASK_MS = 1000.0
"""Milliseconds that a host has to answer."""

MOST_TRIES = 5
"""Times that a command which changes one rule reads anew after a race."""


class Progress(enum.Enum):
    """How far a generation has come on a host."""

    IN_FORCE = "in force"
    LAGS = "lags"
    REFUSED = "refused"
    UNREACHED = "unreached"


class HostProgress(msgspec.Struct, frozen=True):
    """How far a generation has come on one host.

    Parameters
    ----------
    record : HostRecord
        The host, as the host list tells of it.
    progress : Progress
        How far it is.
    generation : Generation
        The generation in force there; 0 when it could not be reached.
    reason : str
        Why it is not further.
    """

    record: records.HostRecord
    progress: Progress
    generation: ids.Generation = ids.Generation(0)
    reason: str = ""


class Edit(msgspec.Struct, frozen=True):
    """What an operator wants to have accepted.

    Parameters
    ----------
    document : Document
        The new rules file.
    author, reason : str
        Who wants it, and why.
    base : Generation or None
        The generation that was edited; nothing takes the file's word.
    allowed : frozenset of Guard
        Guards that are overridden.
    merge : bool
        Whether it may be joined with edits of other rules.
    """

    document: lines.Document
    author: str
    reason: str
    base: ids.Generation | None = None
    allowed: frozenset[guards.Guard] = frozenset()
    merge: bool = False


class Plan(msgspec.Struct, frozen=True):
    """What an edit comes to.

    Parameters
    ----------
    edit : Edit
        The edit.
    snapshot : Snapshot
        What is accepted now.
    document : Document
        What would be accepted, with the edits of others.
    packed : Packed
        The same as chunks.
    differences : tuple of Difference
        The rules that would differ.
    dangers : tuple of Danger
        What looks like a mistake, overridden or not.
    """

    edit: Edit
    snapshot: changes.Snapshot
    document: lines.Document
    packed: generations.Packed
    differences: tuple[differences.Difference, ...]
    dangers: tuple[guards.Danger, ...]

    @property
    def refused(self) -> tuple[guards.Danger, ...]:
        """The dangers that nobody has overridden."""
        allowed = self.edit.allowed
        return tuple(
            danger for danger in self.dangers if danger.guard not in allowed
        )

    @property
    def empty(self) -> bool:
        """Whether there is nothing to change."""
        head = self.snapshot.head
        now = (head.main, head.buckets) if head else ("", ())
        return (self.packed.main, self.packed.buckets) == now


def parse(text: str, file: str) -> lines.Document:
    """Parse and check a rules file.

    Raises
    ------
    exceptions.RulesInvalid
        It has problems; all of them are told.
    """
    document, problems = lines.parse(text, file)
    _, more = checks.check(document)
    problems = (*problems, *more)
    if problems:
        raise exceptions.RulesInvalid(
            sorted(problems, key=lambda one: (one.line, one.column))
        )
    return document


class Operations:
    """Reads and changes the configuration, and asks hosts about it.

    Parameters
    ----------
    platform : Platform
        Where configurations are accepted.
    admin : Admin
        How hosts are asked.
    clock : Clock
        Measures all waits.
    """

    def __init__(
        self,
        platform: platforms.Platform,
        admin: admin_clients.Admin,
        clock: clocks.Clock,
    ) -> None:
        self.store = changes.Store(platform, clock)
        self._platform = platform
        self._admin = admin
        self._clock = clock

    async def show(self, generation: ids.Generation | None = None) -> str:
        """Read the rules file of a generation, with its first line.

        Parameters
        ----------
        generation : Generation or None
            Which one; nothing means the accepted one.
        """
        snapshot = await self.store.read()
        head = snapshot.head
        if generation is not None:
            head = await self.find_head(snapshot, generation)
        number = head.generation if head else ids.Generation(0)
        text = await self.store.read_text(head)
        return f"{lines.write_header(number)}\n{text}"

    async def find_head(
        self, snapshot: changes.Snapshot, generation: ids.Generation
    ) -> generations.Head:
        """Find the head of an accepted generation.

        Raises
        ------
        exceptions.ObjectMissing
            The history does not have it.
        """
        for head in await self.store.read_past(snapshot, generation):
            if head.generation == generation:
                return head
        raise exceptions.ObjectMissing(f"generation {generation}")

    async def read_history(self, most: int) -> tuple[generations.Head, ...]:
        """Read the newest heads, the newest first."""
        snapshot = await self.store.read()
        first = max(1, snapshot.generation - most + 1)
        return await self.store.read_past(snapshot, ids.Generation(first))

    async def read_document(
        self, head: generations.Head | None
    ) -> lines.Document:
        """Read the parsed rules of a generation."""
        text = await self.store.read_text(head)
        number = head.generation if head else 0
        document, problems = lines.parse(text, f"generation {number}")
        if problems:
            raise exceptions.RulesInvalid(problems)
        return document

    async def plan(self, edit: Edit) -> Plan:
        """Work out what an edit comes to; nothing is changed.

        Raises
        ------
        exceptions.ChangeConflict
            Others have changed the same rules since.
        exceptions.RulesInvalid
            The edit does not fit with the edits of others.
        """
        snapshot = await self.store.read()
        current = await self.read_document(snapshot.head)
        document = await self._rebase(edit, snapshot, current)
        before = checks.gather(line.rule for line in current.lines)
        after = checks.gather(line.rule for line in document.lines)
        head = snapshot.head
        packed = generations.pack(document, len(head.buckets) if head else 0)
        usage = await self._read_usage(before, after)
        return Plan(
            edit=edit,
            snapshot=snapshot,
            document=document,
            packed=packed,
            differences=differences.compare(current, document),
            dangers=guards.find_dangers(before, after, usage),
        )

    async def apply(self, plan: Plan, timeout_ms: float) -> generations.Head:
        """Have a plan accepted, whole or not at all.

        Returns
        -------
        Head
            The accepted generation.

        Raises
        ------
        exceptions.GuardRefused
            It looks like a mistake.
        exceptions.ChangeConflict
            Another change was accepted first.
        exceptions.ChangeUnknown
            The platform did not say in time what became of it.
        exceptions.PlatformUnavailable
            The platform is down; nothing was accepted.
        """
        for _ in range(MOST_TRIES):
            if plan.refused:
                raise exceptions.GuardRefused(plan.refused)
            if plan.empty and plan.snapshot.head is not None:
                return plan.snapshot.head
            head = await self._publish(plan, timeout_ms)
            if head is not None:
                return head
            # This names the rules that both have changed, or joins them.
            plan = await self.plan(plan.edit)
        raise exceptions.ChangeConflict(
            f"others were faster {MOST_TRIES} times; try again"
        )

    async def _publish(
        self, plan: Plan, timeout_ms: float
    ) -> generations.Head | None:
        change = changes.Change(
            change=ids.ChangeId(secrets.token_hex(8)),
            author=plan.edit.author,
            reason=plan.edit.reason,
            base=plan.snapshot,
            packed=plan.packed,
            time_ms=self._clock.wall(),
        )
        verdict = await self.store.publish(change, timeout_ms)
        head = change.head
        if verdict is changes.Verdict.UNKNOWN:
            raise exceptions.ChangeUnknown(head.generation, head.change)
        if verdict is changes.Verdict.NOT_ACCEPTED:
            raise exceptions.PlatformUnavailable("the head; nothing changed")
        return head if verdict is changes.Verdict.ACCEPTED else None

    async def edit_rule(
        self, key: tuple[str, str], field: str, value: str, edit: Edit
    ) -> Edit:
        """Change one field of one rule of the accepted rules.

        Parameters
        ----------
        key : tuple of str
            Section and name of the rule.
        field, value : str
            The field and its new value.
        edit : Edit
            Who asks for it and why; its document is not used.

        Returns
        -------
        Edit
            The edit, to be planned; edits of other rules are joined.

        Raises
        ------
        exceptions.ObjectMissing
            There is no such rule.
        """
        snapshot = await self.store.read()
        current = await self.read_document(snapshot.head)
        comment = f"{edit.author}, {edit.reason}"
        rows = []
        found = False
        for entry in current.entries:
            if not isinstance(entry, str) and entry.key == key:
                found = True
                text = lines.set_field(entry, field, value, comment)
                rows.extend((*entry.notes, text))
            else:
                rows.append(differences.write([entry]).rstrip("\n"))
        if not found:
            raise exceptions.ObjectMissing(" ".join(key))
        return msgspec.structs.replace(
            edit,
            document=parse("\n".join(rows) + "\n", "edit"),
            base=snapshot.generation,
            merge=True,
        )

    async def edit_back(self, generation: ids.Generation, edit: Edit) -> Edit:
        """Make an edit that brings an earlier generation's rules back.

        Parameters
        ----------
        generation : Generation
            The earlier one.
        edit : Edit
            Who asks for it and why; its document is not used.

        Raises
        ------
        exceptions.ObjectMissing
            The history does not have that generation.
        """
        snapshot = await self.store.read()
        head = await self.find_head(snapshot, generation)
        text = await self.store.read_text(head)
        document = parse(text, f"generation {generation}")
        return msgspec.structs.replace(
            edit, document=document, base=snapshot.generation
        )

    async def wait(
        self, generation: ids.Generation, timeout_ms: float
    ) -> tuple[HostProgress, ...]:
        """Wait until a generation is in force on all hosts.

        Returns
        -------
        tuple of HostProgress
            All hosts of the host list, as they were at last.
        """
        end = self._clock.now() + timeout_ms
        found: dict[ids.HostId, HostProgress] = {}
        while True:
            listed = await self._list_hosts(end)
            waiting = [
                record
                for record in listed
                if not _is_done(found.get(record.host))
            ]
            asked = await asyncio.gather(
                *(self._ask_progress(record, generation) for record in waiting)
            )
            found.update((one.record.host, one) for one in asked)
            found = {
                record.host: found[record.host]
                for record in listed
                if record.host in found
            }
            done = listed and all(map(_is_done, found.values()))
            if done or self._clock.now() >= end:
                return tuple(found.values())
            await self._clock.sleep(POLL_MS)

    async def ask_hosts(
        self,
    ) -> list[tuple[records.HostRecord, admin_clients.HostStatus | None]]:
        """Ask all listed hosts for their status; nothing if unreached."""
        listed = (await self._platform.hosts()).hosts
        return list(await asyncio.gather(*map(self._ask, listed)))

    async def _ask(self, record: records.HostRecord):
        try:
            status = await self._admin.ask(record.http_address, ASK_MS)
        except exceptions.PeerError:
            return record, None
        return record, status

    async def _ask_progress(
        self, record: records.HostRecord, generation: ids.Generation
    ) -> HostProgress:
        _, status = await self._ask(record)
        if status is None:
            return HostProgress(
                record, Progress.UNREACHED, reason="it does not answer"
            )
        if status.generation >= generation:
            return HostProgress(record, Progress.IN_FORCE, status.generation)
        if status.refused_generation:
            return HostProgress(
                record, Progress.REFUSED, status.generation, status.refusal
            )
        return HostProgress(record, Progress.LAGS, status.generation)

    async def _list_hosts(self, end: float) -> list[records.HostRecord]:
        while True:
            try:
                return list((await self._platform.hosts()).hosts)
            except exceptions.PlatformError:
                if self._clock.now() >= end:
                    return []
            await self._clock.sleep(POLL_MS)

    async def _rebase(
        self, edit: Edit, snapshot: changes.Snapshot, current: lines.Document
    ) -> lines.Document:
        base = edit.base
        if base is None:
            base = edit.document.generation
        if base is None and snapshot.head is not None:
            raise exceptions.ChangeConflict(
                f"{edit.document.file} does not say which generation was "
                f"edited; generation {snapshot.generation} is accepted now"
            )
        if (base or 0) == snapshot.generation:
            return edit.document
        if not differences.compare(current, edit.document):
            return current
        return await self._merge(edit, ids.Generation(base), snapshot, current)

    async def _merge(
        self,
        edit: Edit,
        base: ids.Generation,
        snapshot: changes.Snapshot,
        current: lines.Document,
    ) -> lines.Document:
        if base > snapshot.generation:
            raise exceptions.ChangeConflict(
                f"generation {base} was never accepted; "
                f"{snapshot.generation} is the newest"
            )
        past = await self.store.read_past(snapshot, max(base, 1))
        origin = lines.Document("", ())
        if base:
            origin = await self.read_document(
                await self.find_head(snapshot, base)
            )
        mine = differences.compare(origin, edit.document)
        theirs = differences.compare(origin, current)
        pairs = differences.find_conflicts(mine, theirs)
        conflicts = [
            differences.Conflict(
                edit.document.file,
                one,
                other,
                edit.author,
                await self._find_author(past, other),
            )
            for one, other in pairs
        ]
        text = f"generation {base} was edited, {snapshot.generation} is newer"
        if conflicts:
            raise exceptions.ChangeConflict(text, conflicts)
        if not edit.merge:
            authors = ", ".join(
                sorted(
                    {head.author for head in past if head.generation > base}
                )
            )
            raise exceptions.ChangeConflict(
                f"{text} (by {authors}); other rules were changed, so "
                f"--merge would join both"
            )
        joined = differences.join(edit.document, current, mine)
        return parse(joined, edit.document.file)

    async def _find_author(
        self,
        past: tuple[generations.Head, ...],
        difference: differences.Difference,
    ) -> str:
        """Find who last made a rule what it is now."""
        if len(past) < 2:
            return past[0].author if past else ""
        after = await self.read_document(past[0])
        for newer, older in zip(past, past[1:]):
            before = await self.read_document(older)
            changed = differences.compare(before, after)
            if any(one.key == difference.key for one in changed):
                return f"{newer.author} in generation {newer.generation}"
            after = before
        return past[-1].author

    async def _read_usage(
        self, before: model.Rules, after: model.Rules
    ) -> guards.Usage:
        host_list = await self._platform.hosts()
        pipelines: frozenset | None = frozenset()
        if before.pipelines.keys() - after.pipelines.keys():
            pipelines = await self._read_pipelines()
        return guards.Usage(host_list.endpoints, pipelines)

    async def _read_pipelines(self) -> frozenset[ids.PipelineName] | None:
        served = set()
        for _, status in await self.ask_hosts():
            if status is None or status.pipelines is None:
                return None
            served.update(
                name for name, count in status.pipelines.items() if count
            )
        return frozenset(served)


def _is_done(progress: HostProgress | None) -> bool:
    return progress is not None and progress.progress is Progress.IN_FORCE
