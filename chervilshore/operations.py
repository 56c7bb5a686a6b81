"""What operators do with the configuration, for programs and the tool."""

import itertools
import secrets

import msgspec

from chervilshore import changes
from chervilshore.clients import admin as admin_clients
from chervilshore.clients import platform as platforms
from chervilshore import clock as clocks
from chervilshore import edits
from chervilshore import exceptions
from chervilshore import ids
from chervilshore import pruning
from chervilshore.rules import differences
from chervilshore.rules import generations
from chervilshore.rules import lines
from chervilshore import statuses

MAX_APPLY_ATTEMPTS = 5
"""Times that a command which changes one rule reads anew after a race."""


class HistoryEntry(msgspec.Struct, frozen=True):
    """An accepted change.

    Parameters
    ----------
    head : Head
        Its generation, with who, when and why.
    differences : tuple of Difference
        What it changed; empty for the oldest one that is kept.
    """

    head: generations.Head
    differences: tuple[differences.Difference, ...]


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
        self.hosts = statuses.HostStatusReader(platform, admin, clock)
        self._planner = edits.Planner(self.store, self.hosts)
        self._platform = platform
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
            head = await self.store.find_head(snapshot, generation)
        number = head.generation if head else ids.Generation(0)
        text = await self.store.read_text(head)
        return f"{lines.write_header(number)}\n{text}"

    async def read_history(self, most: int) -> tuple[HistoryEntry, ...]:
        """Read the newest changes, the newest first."""
        snapshot = await self.store.read()
        first = max(0, snapshot.generation - most)
        past = await self.store.read_heads(snapshot, ids.Generation(first))
        entries = []
        for head, before in itertools.zip_longest(past[:most], past[1:]):
            if head is None:
                break
            found = ()
            if before is not None or head.generation == 1:
                found = await self.store.compare(before, head)
            entries.append(HistoryEntry(head, found))
        return tuple(entries)

    async def plan(self, edit: edits.Edit) -> edits.Plan:
        """Work out what an edit comes to; see `edits.Planner.plan`."""
        return await self._planner.plan(edit)

    async def apply(
        self, plan: edits.Plan, timeout_ms: float
    ) -> generations.Head:
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
        for _ in range(MAX_APPLY_ATTEMPTS):
            if plan.refused:
                raise exceptions.GuardRefused(plan.refused)
            if plan.is_empty:
                return plan.snapshot.head
            head = await self._publish(plan, timeout_ms)
            if head is not None:
                return head
            # This names the rules that both have changed, or joins them.
            plan = await self.plan(plan.edit)
        raise exceptions.ChangeConflict(
            f"others were faster {MAX_APPLY_ATTEMPTS} times; try again"
        )

    async def _publish(
        self, plan: edits.Plan, timeout_ms: float
    ) -> generations.Head | None:
        change = changes.Change(
            change=ids.ChangeId(secrets.token_hex(8)),
            author=plan.edit.author,
            reason=plan.edit.reason,
            base=plan.snapshot,
            packed=plan.packed,
            stored_digests=plan.stored_digests,
            time_ms=self._clock.wall(),
        )
        verdict = await self.store.publish(change, timeout_ms)
        head = change.head
        if verdict is changes.ChangeOutcome.UNKNOWN:
            raise exceptions.ChangeUnknown(head.generation, head.change)
        if verdict is changes.ChangeOutcome.NOT_ACCEPTED:
            raise exceptions.PlatformUnavailable("the head; nothing changed")
        return head if verdict is changes.ChangeOutcome.ACCEPTED else None

    async def prune(self, kept: int) -> int:
        """Remove what only old generations need; see `pruning.prune`."""
        return await pruning.prune(self._platform, kept)

    async def make_field_edit(
        self, key: tuple[str, str], field: str, value: str, edit: edits.Edit
    ) -> edits.Edit:
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
        current = await self.store.read_document(snapshot.head)
        asked = f"{edit.author}, {edit.reason}"
        rows = []
        found = False
        for entry in current.entries:
            if not isinstance(entry, str) and entry.key == key:
                found = True
                if f"{field}={value}" in entry.tokens:
                    rows.extend((*entry.comments_above, entry.format()))
                    continue
                text = lines.set_field(entry, field, value, asked)
                rows.extend((*entry.comments_above, text))
            else:
                rows.append(differences.write([entry]).rstrip("\n"))
        if not found:
            names = [line.key[1] for line in current.lines]
            nearest = lines.find_nearest(key[1], names)
            hint = f"; did you mean {nearest!r}?" if nearest else ""
            raise exceptions.ObjectMissing(
                f"no rule defines {key[0]} {key[1]!r}{hint}"
            )
        return msgspec.structs.replace(
            edit,
            document=edits.parse("\n".join(rows) + "\n", "edit"),
            base=snapshot.generation,
            merge=True,
        )

    async def make_rollback_edit(
        self, generation: ids.Generation, edit: edits.Edit
    ) -> edits.Edit:
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
        head = await self.store.find_head(snapshot, generation)
        text = await self.store.read_text(head)
        document = edits.parse(text, f"generation {generation}")
        return msgspec.structs.replace(
            edit, document=document, base=snapshot.generation
        )
