"""Edits of the rules, and the plans of what would be published for them."""

import msgspec

from chervilshore import changes
from chervilshore import exceptions
from chervilshore import ids
from chervilshore import records
from chervilshore.rules import checks
from chervilshore.rules import differences
from chervilshore.rules import generations
from chervilshore.rules import guards
from chervilshore.rules import lines
from chervilshore.rules import model
from chervilshore import statuses


class Edit(msgspec.Struct, frozen=True):
    """A new version of the rules that an operator wants to publish.

    Parameters
    ----------
    document : Document
        The new rules file.
    author, reason : str
        Who edited the rules, and why.
    base : Generation or None
        The generation that was edited; None means the one that the header
        of the file names.
    allowed : frozenset of Guard
        Guards that are overridden.
    merge : bool
        Whether to merge the edit with later edits of other rules.
    """

    document: lines.Document
    author: str
    reason: str
    base: ids.Generation | None = None
    allowed: frozenset[guards.Guard] = frozenset()
    merge: bool = False


class Plan(msgspec.Struct, frozen=True):
    """What would be published for an edit.

    Parameters
    ----------
    edit : Edit
        The edit.
    snapshot : Snapshot
        The configuration that is accepted now.
    document : Document
        The rules to publish, merged with the edits of others.
    packed : PackedRules
        The same rules as chunks.
    differences : tuple of Difference
        The rules that differ from the accepted ones.
    dangers : tuple of Danger
        Findings of the guards, overridden or not.
    readable : bool
        Whether the accepted rules could be read completely.
    """

    edit: Edit
    snapshot: changes.Snapshot
    document: lines.Document
    packed: generations.PackedRules
    differences: tuple[differences.Difference, ...]
    dangers: tuple[guards.Danger, ...]
    readable: bool = True

    @property
    def stored_digests(self) -> tuple[str, ...]:
        """Digests of chunks that need not be written again."""
        head = self.snapshot.head
        return head.digests if head and self.readable else ()

    @property
    def refused(self) -> tuple[guards.Danger, ...]:
        """The dangers that the edit does not override."""
        allowed = self.edit.allowed
        return tuple(
            danger for danger in self.dangers if danger.guard not in allowed
        )

    @property
    def is_empty(self) -> bool:
        """Whether the accepted rules are the same already."""
        head = self.snapshot.head
        if head is None or not self.readable:
            return False
        packed = self.packed
        return (packed.main, packed.buckets) == (head.main, head.buckets)


def parse(text: str, file: str) -> lines.Document:
    """Parse and check a rules file.

    Raises
    ------
    exceptions.RulesInvalid
        The file has problems; the error holds all of them.
    """
    document, problems = lines.parse(text, file)
    _, rule_problems = checks.check(document)
    problems = (*problems, *rule_problems)
    if problems:
        raise exceptions.RulesInvalid(
            sorted(problems, key=lambda one: (one.line, one.column))
        )
    return document


class Planner:
    """Plans what to publish for an edit.

    Parameters
    ----------
    store : Store
        The accepted configuration.
    hosts : HostStatusReader
        Reads the host list and the pipelines in use.
    """

    def __init__(
        self,
        store: changes.Store,
        hosts: statuses.HostStatusReader,
    ) -> None:
        self._store = store
        self._hosts = hosts

    async def plan(self, edit: Edit) -> Plan:
        """Plan what to publish for an edit, without changing anything.

        Raises
        ------
        exceptions.ChangeConflict
            Other edits were accepted since, and they change the same rules
            or the edit does not ask for a merge.
        exceptions.RulesInvalid
            The rules have problems after the merge.
        """
        snapshot = await self._store.read()
        current, unreadable = await self._read_current(snapshot)
        document = await self._reconcile(edit, snapshot, current)
        before = checks.gather(line.rule for line in current.lines)
        after = checks.gather(line.rule for line in document.lines)
        head = snapshot.head
        packed = generations.pack(document, len(head.buckets) if head else 0)
        usage = await self._read_usage(before, after)
        dangers = guards.find_dangers(before, after, usage)
        return Plan(
            edit=edit,
            snapshot=snapshot,
            document=document,
            packed=packed,
            differences=differences.compare(current, document),
            dangers=(*unreadable, *dangers),
            readable=not unreadable,
        )

    async def _read_current(
        self, snapshot: changes.Snapshot
    ) -> tuple[lines.Document, tuple[guards.Danger, ...]]:
        """Return the newest readable rules, and a danger if they are older."""
        try:
            return await self._store.read_document(snapshot.head), ()
        except exceptions.RulesError as error:
            reason = f"generation {snapshot.generation} is unreadable: {error}"
        danger = guards.Danger(guards.Guard.UNREADABLE, reason)
        for head in await self._store.read_heads(snapshot, ids.Generation(1)):
            try:
                document = await self._store.read_document(head)
            except exceptions.RulesError:
                continue
            return document, (danger,)
        return lines.Document("", ()), (danger,)

    async def _reconcile(
        self, edit: Edit, snapshot: changes.Snapshot, current: lines.Document
    ) -> lines.Document:
        """Return the document to publish on top of the accepted rules."""
        base = edit.base
        if base is None:
            base = edit.document.generation
        if (base or 0) == snapshot.generation:
            return edit.document
        if not differences.compare(current, edit.document):
            return current
        if base is None:
            raise exceptions.ChangeConflict(
                f"{edit.document.file} does not say which generation was "
                f"edited; generation {snapshot.generation} is accepted now"
            )
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
        past = await self._store.read_heads(snapshot, max(base, 1))
        origin = lines.Document("", ())
        if base:
            origin = await self._store.read_document(
                await self._store.find_head(snapshot, base)
            )
        own_changes = differences.compare(origin, edit.document)
        other_changes = differences.compare(origin, current)
        pairs = differences.find_conflicts(own_changes, other_changes)
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
        merged = differences.join(edit.document, current, own_changes)
        return parse(merged, edit.document.file)

    async def _find_author(
        self,
        past: tuple[generations.Head, ...],
        difference: differences.Difference,
    ) -> str:
        """Return who last changed a rule, and in which generation."""
        for newer, older in zip(past, past[1:]):
            changed = await self._store.compare(older, newer)
            if any(one.key == difference.key for one in changed):
                return f"{newer.author} in generation {newer.generation}"
        return past[-1].author if past else ""

    async def _read_usage(
        self, before: model.Rules, after: model.Rules
    ) -> guards.Usage:
        host_list = await self._hosts.read_host_list()
        pipelines: frozenset | None = frozenset()
        if before.pipelines.keys() - after.pipelines.keys():
            pipelines = await self._read_pipelines(host_list.hosts)
        return guards.Usage(host_list.endpoints, pipelines)

    async def _read_pipelines(
        self, listed: tuple[records.HostRecord, ...]
    ) -> frozenset[ids.PipelineName] | None:
        """Return the pipelines in use; None if a host does not report them."""
        served = set()
        for _, status in await self._hosts.fetch_all(listed):
            if status is None or status.pipelines is None:
                return None
            served.update(
                name for name, count in status.pipelines.items() if count
            )
        return frozenset(served)
