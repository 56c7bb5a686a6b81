"""Read and change the accepted configuration in the platform.

A change writes what it will consist of, then its chunks, and then the head
by one conditional update, which is the only step that puts it in force.
Whatever answer is lost, its change id tells later whether it was accepted.
"""

from collections import abc
import enum

import msgspec

from chervilshore.clients import platform as platforms
from chervilshore import clock as clocks
from chervilshore import exceptions
from chervilshore import ids
from chervilshore.rules import differences
from chervilshore.rules import generations
from chervilshore.rules import lines

RETRY_INTERVAL_MS = 200.0
"""Milliseconds between two tries of a call whose answer was lost."""

MAX_READ_ATTEMPTS = 3
"""Times that a read is tried before the platform counts as down."""


class ChangeOutcome(enum.Enum):
    """What became of a change."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    NOT_ACCEPTED = "not accepted"
    UNKNOWN = "unknown"


class Snapshot(msgspec.Struct, frozen=True):
    """The accepted configuration at one moment.

    Parameters
    ----------
    head : Head or None
        What is accepted; nothing before the first change.
    version : int
        The version of the head object; 0 when there is none.
    """

    head: generations.Head | None = None
    version: int = 0

    @property
    def generation(self) -> ids.Generation:
        """The accepted generation; 0 before the first change."""
        return self.head.generation if self.head else ids.Generation(0)


class Change(msgspec.Struct, frozen=True):
    """A change that is to be accepted.

    Parameters
    ----------
    change : ChangeId
        Unique to this attempt.
    author, reason : str
        Who makes it, and why.
    base : Snapshot
        The configuration that it changes.
    packed : PackedRules
        The new rules.
    carried : tuple of str
        Digests of chunks that were read and verified, and are not written.
    time_ms : float
        Milliseconds since 1970.
    """

    change: ids.ChangeId
    author: str
    reason: str
    base: Snapshot
    packed: generations.PackedRules
    stored_digests: tuple[str, ...]
    time_ms: float

    @property
    def head(self) -> generations.Head:
        """The head that it brings."""
        before = self.base.head
        return generations.Head(
            generation=ids.Generation(self.base.generation + 1),
            change=self.change,
            previous=before.change if before else ids.ChangeId(""),
            author=self.author,
            reason=self.reason,
            time_ms=self.time_ms,
            main=self.packed.main,
            buckets=self.packed.buckets,
        )


class Store:
    """The configuration's objects in the platform.

    Parameters
    ----------
    platform : Platform
        Where they are.
    clock : Clock
        Measures the time that is left.
    """

    def __init__(
        self, platform: platforms.Platform, clock: clocks.Clock
    ) -> None:
        self._platform = platform
        self._clock = clock

    async def read(self) -> Snapshot:
        """Read the accepted head."""
        try:
            stored = await self._get(generations.HEAD_KEY)
        except exceptions.ObjectMissing:
            return Snapshot()
        return Snapshot(generations.decode_head(stored.value), stored.version)

    async def read_chunks(self, head: generations.Head) -> dict[str, bytes]:
        """Read and verify the chunks of a generation.

        Raises
        ------
        exceptions.RulesError
            A chunk is lost or changed.
        """
        return {
            digest: await self._read_chunk(digest) for digest in head.digests
        }

    async def read_text(self, head: generations.Head | None) -> str:
        """Read the rules file of a generation; empty without one."""
        if head is None:
            return ""
        return generations.unpack(head, await self.read_chunks(head))

    async def read_heads(
        self, snapshot: Snapshot, generation: ids.Generation
    ) -> tuple[generations.Head, ...]:
        """Read the heads from a generation up to the accepted one.

        Parameters
        ----------
        snapshot : Snapshot
            Where to go back from.
        generation : Generation
            The earliest one wanted.

        Returns
        -------
        tuple of Head
            The newest first. Records of changes that were never accepted
            are left out. It ends early where the history was pruned.
        """
        head = snapshot.head
        if head is None or head.generation < generation:
            return ()
        heads = [head]
        kept = await self._list_history(generation, head.generation)
        while head is not None and head.generation > generation:
            before = ids.Generation(head.generation - 1)
            head = kept.get(generations.history_key(before, head.previous))
            if head is not None:
                heads.append(head)
        return tuple(heads)

    async def find_head(
        self, snapshot: Snapshot, generation: ids.Generation
    ) -> generations.Head:
        """Find the head of an accepted generation.

        Raises
        ------
        exceptions.ObjectMissing
            The history does not have it.
        """
        for head in await self.read_heads(snapshot, generation):
            if head.generation == generation:
                return head
        raise exceptions.ObjectMissing(
            f"generation {generation} is not in the history"
        )

    async def read_document(
        self, head: generations.Head | None
    ) -> lines.Document:
        """Read the parsed rules of a generation."""
        text = await self.read_text(head)
        number = head.generation if head else ids.Generation(0)
        # With its first line, so that lines have the numbers that are shown.
        document, problems = lines.parse(
            f"{lines.write_header(number)}\n{text}", f"generation {number}"
        )
        if problems:
            raise exceptions.RulesInvalid(problems)
        return document

    async def compare(
        self, before: generations.Head | None, after: generations.Head
    ) -> tuple[differences.Difference, ...]:
        """Find the rules that one generation changed.

        Only the chunks that differ are read. A rule stands in the same
        bucket in both, as long as there are equally many.
        """
        same: set[str] = set()
        if before is not None and len(before.buckets) == len(after.buckets):
            same = set(before.digests) & set(after.digests)
        old = await self._read_differing_chunks(before, same)
        new = await self._read_differing_chunks(after, same)
        return differences.compare(old, new)

    async def _read_differing_chunks(
        self, head: generations.Head | None, left_out: set[str]
    ) -> lines.Document:
        entries: list[lines.Line | str] = []
        for digest in head.digests if head else ():
            if digest not in left_out:
                content = await self._read_chunk(digest)
                document, _ = lines.parse(
                    content.decode(), allow_internal=True
                )
                entries.extend(document.entries)
        return lines.Document("", tuple(entries))

    async def publish(
        self, change: Change, timeout_ms: float
    ) -> ChangeOutcome:
        """Have a change accepted, whole or not at all.

        Parameters
        ----------
        change : Change
            The change; the same one may be published again.
        timeout_ms : float
            Milliseconds after which the outcome is given up.

        Raises
        ------
        exceptions.PlatformUnavailable
            The platform is down; the change was not accepted.
        """
        end = self._clock.now() + timeout_ms
        head = change.head
        key = generations.history_key(head.generation, head.change)
        await self._write_with_retry(key, generations.encode_head(head), end)
        for digest, content in change.packed.chunks.items():
            if digest not in change.stored_digests:
                name = generations.chunk_key(digest)
                await self._write_with_retry(name, content, end)
        return await self._commit(change, end)

    async def settle(
        self, generation: ids.Generation, change: ids.ChangeId
    ) -> ChangeOutcome:
        """Find out what became of a change whose answer was lost.

        Returns
        -------
        ChangeOutcome
            Unknown while the change might still be accepted.
        """
        snapshot = await self.read()
        if snapshot.generation < generation:
            return ChangeOutcome.UNKNOWN
        for head in await self.read_heads(snapshot, generation):
            if head.generation == generation:
                won = head.change == change
                return (
                    ChangeOutcome.ACCEPTED if won else ChangeOutcome.CONFLICT
                )
        return ChangeOutcome.UNKNOWN

    async def _commit(self, change: Change, end: float) -> ChangeOutcome:
        head = change.head
        value = generations.encode_head(head)
        asked = False
        while True:
            try:
                await self._put_head(value, change.base.version)
                return ChangeOutcome.ACCEPTED
            except exceptions.VersionConflict:
                break
            except exceptions.PlatformUnknown:
                # The write may be on its way still, so only the platform's
                # own verdict on the same version can settle it.
                asked = True
            except exceptions.PlatformUnavailable:
                pass
            if self._clock.now() >= end:
                return (
                    ChangeOutcome.UNKNOWN
                    if asked
                    else ChangeOutcome.NOT_ACCEPTED
                )
            await self._clock.sleep(RETRY_INTERVAL_MS)
        return await self._resolve_conflict(head, end)

    async def _resolve_conflict(
        self, head: generations.Head, end: float
    ) -> ChangeOutcome:
        while True:
            verdict = ChangeOutcome.UNKNOWN
            try:
                verdict = await self.settle(head.generation, head.change)
            except exceptions.PlatformError:
                pass
            if (
                verdict is not ChangeOutcome.UNKNOWN
                or self._clock.now() >= end
            ):
                return verdict
            await self._clock.sleep(RETRY_INTERVAL_MS)

    async def _put_head(self, value: bytes, version: int) -> None:
        if version:
            await self._platform.update(generations.HEAD_KEY, value, version)
        else:
            await self._platform.create(generations.HEAD_KEY, value)

    async def _write_with_retry(
        self, key: str, value: bytes, end: float
    ) -> None:
        """Make sure that an object is there with this content.

        An object that is there already is written once more: that mends
        changed content, and takes it from a prune that saw it unused.
        """
        while True:
            try:
                await self._create_or_update(key, value)
                return
            except (
                exceptions.PlatformUnknown,
                exceptions.PlatformUnavailable,
                exceptions.VersionConflict,
            ) as error:
                if self._clock.now() >= end:
                    raise exceptions.PlatformUnavailable(key) from error
            await self._clock.sleep(RETRY_INTERVAL_MS)

    async def _create_or_update(self, key: str, value: bytes) -> None:
        try:
            await self._platform.create(key, value)
        except exceptions.VersionConflict:
            stored = await self._platform.get(key)
            await self._platform.update(key, value, stored.version)

    async def _get(self, key: str) -> platforms.Stored:
        return await self._read_with_retry(self._platform.get, key)

    async def _read_with_retry(self, call: abc.Callable, *arguments):
        """Read once more when the platform did not take the call."""
        for _ in range(MAX_READ_ATTEMPTS - 1):
            try:
                return await call(*arguments)
            except exceptions.PlatformUnavailable:
                await self._clock.sleep(RETRY_INTERVAL_MS)
        return await call(*arguments)

    async def _read_chunk(self, digest: str) -> bytes:
        try:
            stored = await self._get(generations.chunk_key(digest))
        except exceptions.ObjectMissing as error:
            raise exceptions.RulesError(f"chunk {digest} is lost") from error
        if not generations.verify(digest, stored.value):
            raise exceptions.RulesError(f"chunk {digest} was changed")
        return stored.value

    async def _list_history(
        self, first: ids.Generation, last: ids.Generation
    ) -> dict[str, generations.Head]:
        after = generations.history_key(first, ids.ChangeId(""))
        end = generations.history_key(last, ids.ChangeId(""))
        found = {}
        while True:
            page = await self._read_with_retry(
                self._platform.list, generations.HISTORY_PREFIX, after, 100
            )
            for stored in page:
                if stored.key >= end:
                    return found
                found[stored.key] = generations.decode_head(stored.value)
            if len(page) < 100:
                return found
            after = page[-1].key
