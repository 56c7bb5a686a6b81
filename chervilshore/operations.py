"""Operations on the configuration, for the tool and for other programs."""

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
"""Attempts to publish an edit; each is planned again after a conflict."""


class HistoryEntry(msgspec.Struct, frozen=True):
    """An accepted change.

    Parameters
    ----------
    head : Head
        The head of its generation, with author, time and reason.
    differences : tuple of Difference
        The rules that it changed; empty for the oldest head of a pruned
        history.
    """

    head: generations.Head
    differences: tuple[differences.Difference, ...]


class Operations:
    """Reads and changes the configuration and fetches the status of hosts.

    Parameters
    ----------
    platform : Platform
        Stores the configuration.
    admin : StatusClient
        Fetches the status of a host.
    clock : Clock
        Measures all waits.
    """

    def __init__(
        self,
        platform: platforms.Platform,
        admin: admin_clients.StatusClient,
        clock: clocks.Clock,
    ) -> None:
        self.store = changes.Store(platform, clock)
        self.hosts = statuses.HostStatusReader(platform, admin, clock)
        self._planner = edits.Planner(self.store, self.hosts)
        self._platform = platform
        self._clock = clock

    async def show(self, generation: ids.Generation | None = None) -> str:
        """Return the rules file of a generation, with its header line.

        Parameters
        ----------
        generation : Generation or None
            The generation; None means the accepted one.
        """
        snapshot = await self.store.read()
        head = snapshot.head
        if generation is not None:
            head = await self.store.find_head(snapshot, generation)
        number = head.generation if head else ids.Generation(0)
        text = await self.store.read_text(head)
        return f"{lines.write_header(number)}\n{text}"

    async def read_history(self, max_entries: int) -> tuple[HistoryEntry, ...]:
        """Return up to `max_entries` accepted changes, the newest first."""
        snapshot = await self.store.read()
        first = max(0, snapshot.generation - max_entries)
        past = await self.store.read_heads(snapshot, ids.Generation(first))
        entries = []
        for head, before in itertools.zip_longest(
            past[:max_entries], past[1:]
        ):
            if head is None:
                break
            found = ()
            if before is not None or head.generation == 1:
                found = await self.store.compare(before, head)
            entries.append(HistoryEntry(head, found))
        return tuple(entries)

    async def plan(self, edit: edits.Edit) -> edits.Plan:
        """Plan what to publish for an edit; see `edits.Planner.plan`."""
        return await self._planner.plan(edit)

    async def apply(
        self, plan: edits.Plan, timeout_ms: float
    ) -> generations.Head:
        """Publish a plan atomically.

        Returns
        -------
        Head
            The accepted generation.

        Raises
        ------
        exceptions.GuardRefused
            A guard refuses the plan.
        exceptions.ChangeConflict
            Another change was accepted first.
        exceptions.ChangeUnknown
            The outcome was not known within the timeout.
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
            # Planning again merges the other change or reports the conflict.
            plan = await self.plan(plan.edit)
        raise exceptions.ChangeConflict(
            f"another change was accepted first {MAX_APPLY_ATTEMPTS} times; "
            f"try again"
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
        outcome = await self.store.publish(change, timeout_ms)
        head = change.head
        if outcome is changes.Outcome.UNKNOWN:
            raise exceptions.ChangeUnknown(head.generation, head.change)
        if outcome is changes.Outcome.NOT_ACCEPTED:
            raise exceptions.PlatformUnavailable("the head was not written")
        return head if outcome is changes.Outcome.ACCEPTED else None

    async def prune(self, keep_count: int) -> int:
        """Remove old generations and their chunks; see `pruning.prune`."""
        return await pruning.prune(self._platform, keep_count)

    async def make_field_edit(
        self, key: tuple[str, str], field: str, value: str, edit: edits.Edit
    ) -> edits.Edit:
        """Make an edit that changes one field of one accepted rule.

        Parameters
        ----------
        key : tuple of str
            Section and name of the rule.
        field, value : str
            The field and its new value.
        edit : Edit
            The author, the reason and the overrides; its document is not
            used.

        Returns
        -------
        Edit
            The edit to plan; it merges with later edits of other rules.

        Raises
        ------
        exceptions.ObjectMissing
            The accepted rules have no such rule.
        """
        snapshot = await self.store.read()
        current = await self.store.read_document(snapshot.head)
        comment = f"{edit.author}, {edit.reason}"
        rows = []
        found = False
        for entry in current.entries:
            if not isinstance(entry, str) and entry.key == key:
                found = True
                if f"{field}={value}" in entry.tokens:
                    rows.extend((*entry.comments_above, entry.format()))
                    continue
                text = lines.set_field(entry, field, value, comment)
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
        """Make an edit that restores the rules of an earlier generation.

        Parameters
        ----------
        generation : Generation
            The earlier generation.
        edit : Edit
            The author, the reason and the overrides; its document is not
            used.

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
