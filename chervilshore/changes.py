"""Reads and changes the accepted configuration in the platform.

A change first writes its head to the history, then its chunks, and then
replaces the accepted head by one compare-and-swap, the only step that makes
it active. If an answer is lost, the change id shows later whether the change
was accepted.
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
"""Delay before a failed call to the platform is retried."""

MAX_READ_ATTEMPTS = 3
"""Attempts of a read before the platform is considered down."""


class Outcome(enum.Enum):
    """The outcome of publishing a change."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    NOT_ACCEPTED = "not accepted"
    UNKNOWN = "unknown"


class Snapshot(msgspec.Struct, frozen=True):
    """The accepted configuration at one time.

    Parameters
    ----------
    head : Head or None
        The accepted head; None before the first change.
    version : int
        The version of the head object; 0 if there is none.
    """

    head: generations.Head | None = None
    version: int = 0

    @property
    def generation(self) -> ids.Generation:
        """The accepted generation; 0 before the first change."""
        return self.head.generation if self.head else ids.Generation(0)


class Change(msgspec.Struct, frozen=True):
    """A change that is to be published.

    Parameters
    ----------
    change : ChangeId
        Id of this attempt to change the configuration.
    author, reason : str
        Who makes the change, and why.
    base : Snapshot
        The configuration that it replaces.
    packed : PackedRules
        The new rules.
    stored_digests : tuple of str
        Digests of chunks that were read and verified, and need not be
        written.
    time_ms : float
        Time of the change, in milliseconds since 1970.
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
        """The head that the change publishes."""
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
        Stores the objects.
    clock : Clock
        Measures timeouts and retry delays.
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
            A chunk is missing or does not match its digest.
        """
        return {
            digest: await self._read_chunk(digest) for digest in head.digests
        }

    async def read_text(self, head: generations.Head | None) -> str:
        """Return the rules file of a generation; empty if `head` is None."""
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
            The accepted configuration to start from.
        generation : Generation
            The earliest generation to read.

        Returns
        -------
        tuple of Head
            The heads, the newest first, without those of changes that were
            never accepted. Fewer if the history was pruned.
        """
        head = snapshot.head
        if head is None or head.generation < generation:
            return ()
        heads = [head]
        by_key = await self._list_history(generation, head.generation)
        while head is not None and head.generation > generation:
            before = ids.Generation(head.generation - 1)
            head = by_key.get(generations.history_key(before, head.previous))
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
            The history does not have the generation.
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
        # The header makes line numbers match those that the tool shows.
        document, problems = lines.parse(
            f"{lines.write_header(number)}\n{text}", f"generation {number}"
        )
        if problems:
            raise exceptions.RulesInvalid(problems)
        return document

    async def compare(
        self, before: generations.Head | None, after: generations.Head
    ) -> tuple[differences.Difference, ...]:
        """Return the rules that differ between two generations.

        Only chunks that differ are read: with the same number of buckets a
        rule is in the same bucket in both generations.
        """
        same: set[str] = set()
        if before is not None and len(before.buckets) == len(after.buckets):
            same = set(before.digests) & set(after.digests)
        old = await self._read_differing_chunks(before, same)
        new = await self._read_differing_chunks(after, same)
        return differences.compare(old, new)

    async def _read_differing_chunks(
        self, head: generations.Head | None, skipped: set[str]
    ) -> lines.Document:
        entries: list[lines.Line | str] = []
        for digest in head.digests if head else ():
            if digest not in skipped:
                content = await self._read_chunk(digest)
                document, _ = lines.parse(
                    content.decode(), allow_internal=True
                )
                entries.extend(document.entries)
        return lines.Document("", tuple(entries))

    async def publish(self, change: Change, timeout_ms: float) -> Outcome:
        """Publish a change atomically.

        Parameters
        ----------
        change : Change
            The change; the same one may be published again.
        timeout_ms : float
            Milliseconds after which calls are no longer retried.

        Raises
        ------
        exceptions.PlatformUnavailable
            The history or chunks could not be written; nothing was accepted.
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
    ) -> Outcome:
        """Return the outcome of a change whose answer was lost.

        Returns
        -------
        Outcome
            UNKNOWN while the change may still be accepted, and if the
            history was pruned.
        """
        snapshot = await self.read()
        if snapshot.generation < generation:
            return Outcome.UNKNOWN
        for head in await self.read_heads(snapshot, generation):
            if head.generation == generation:
                accepted = head.change == change
                return Outcome.ACCEPTED if accepted else Outcome.CONFLICT
        return Outcome.UNKNOWN

    async def _commit(self, change: Change, end: float) -> Outcome:
        head = change.head
        value = generations.encode_head(head)
        may_be_applied = False
        while True:
            try:
                await self._put_head(value, change.base.version)
                return Outcome.ACCEPTED
            except exceptions.VersionConflict:
                break
            except exceptions.PlatformUnknown:
                # The write may still be in flight, so only another write
                # with the same expected version can decide the outcome.
                may_be_applied = True
            except exceptions.PlatformUnavailable:
                pass
            if self._clock.now() >= end:
                return (
                    Outcome.UNKNOWN if may_be_applied else Outcome.NOT_ACCEPTED
                )
            await self._clock.sleep(RETRY_INTERVAL_MS)
        return await self._resolve_conflict(head, end)

    async def _resolve_conflict(
        self, head: generations.Head, end: float
    ) -> Outcome:
        while True:
            outcome = Outcome.UNKNOWN
            try:
                outcome = await self.settle(head.generation, head.change)
            except exceptions.PlatformError:
                pass
            if outcome is not Outcome.UNKNOWN or self._clock.now() >= end:
                return outcome
            await self._clock.sleep(RETRY_INTERVAL_MS)

    async def _put_head(self, value: bytes, version: int) -> None:
        if version:
            await self._platform.update(generations.HEAD_KEY, value, version)
        else:
            await self._platform.create(generations.HEAD_KEY, value)

    async def _write_with_retry(
        self, key: str, value: bytes, end: float
    ) -> None:
        """Write an object, with retries until `end`.

        An object that exists is written again. That repairs corrupt content
        and raises its version, so that a concurrent prune, which saw the
        object unused, does not delete it.
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

    async def _get(self, key: str) -> platforms.VersionedObject:
        return await self._read_with_retry(self._platform.get, key)

    async def _read_with_retry(self, call: abc.Callable, *arguments):
        """Call a read, with retries while the platform is unavailable."""
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
            raise exceptions.RulesError(
                f"chunk {digest} is missing"
            ) from error
        if not generations.verify(digest, stored.value):
            raise exceptions.RulesError(
                f"chunk {digest} does not match its digest"
            )
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
