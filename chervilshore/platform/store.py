"""Client for the platform's metadata store over HTTP."""

from collections import abc as collections_abc
import logging
import re
import typing
import urllib.parse

import msgspec

from chervilshore.clients import connectionpool
from chervilshore.clients import connections
from chervilshore.clients import connectors
from chervilshore.clients import receiving
from chervilshore.clients import sockets
from chervilshore import clock as clocks
from chervilshore.decisions import answersizes
from chervilshore import events
from chervilshore import exceptions
from chervilshore import ids
from chervilshore import metrics
from chervilshore import objects
from chervilshore.platform import names
from chervilshore.platform import storeanswers

WATCH_TIMEOUT_MARGIN_MS = 1000.0
"""Milliseconds that a watch call may take beyond its own wait time."""

MAX_RESPONSE_BYTES = 8_000_000
"""Largest response body; a page has approximately 1 MB."""


_ERA = re.compile(r"[0-9]{1,4}")
"""Form of an era: positions in the store must fit into 63 bits."""

_Decode = collections_abc.Callable[[bytes], tuple[typing.Any, list[str]]]

_LOGGER = logging.getLogger(__name__)


class MetadataStore(objects.ObjectStore):
    """Client for the metadata store.

    Parameters
    ----------
    address : Address
        Host and port of the store.
    clock : Clock
        Measures the idle time of connections.
    timeout_ms : float
        Milliseconds to wait for a response, and for more of one that arrives.
    counters : Metrics or None
        Where the calls are counted.
    """

    def __init__(
        self,
        address: ids.Address,
        clock: clocks.Clock,
        timeout_ms: float = 1000.0,
        counters: metrics.Metrics | None = None,
    ) -> None:
        self._address = address
        self.timeout_ms = timeout_ms
        self._counters = counters
        self._clock = clock
        self._pools: dict[str, connectionpool.ConnectionPool] = {}
        self._transfers: dict[str, set[connectionpool.Transfer]] = {}
        self._sizes = answersizes.AnswerSizes(MAX_RESPONSE_BYTES)

    async def close(self) -> None:
        """See `ObjectStore.close`."""
        for pool in self._pools.values():
            pool.close()

    def is_receiving(self, kind: str) -> bool:
        """See `ObjectStore.is_receiving`."""
        return any(one.is_active for one in self._transfers.get(kind, ()))

    async def list(
        self, kind: str, may_be_stale: bool = False
    ) -> objects.Listing:
        """Read all pages of a kind; see `ObjectStore.list`.

        Returns the position of the first page: a watch from there repeats
        the changes that happen while the pages are read.
        """
        objects_by_name: dict[str, objects.StoredObject] = {}
        after: str | None = None
        position = None
        while True:
            query = {} if after is None else {"after": after}
            if may_be_stale:
                query["allow_stale"] = "1"
            path = f"/objects/{kind}"
            if query:
                path += f"?{urllib.parse.urlencode(query)}"
            head, content = await self._read(path)
            era = _read_era(path, head)
            page = self._decode(kind, path, content, storeanswers.decode_page)
            if position is None:
                position = objects.make_position(era, page.current_rev)
            if era != objects.read_era(position):
                raise exceptions.StoreRestored(path)
            for item in page.items:
                objects_by_name[item.metadata.name] = _convert(item, era)
            if not page.has_more or not page.items:
                found = tuple(objects_by_name.values())
                self._sizes.record_listing(kind, objects.measure(found))
                return objects.Listing(found, position)
            last = page.items[-1].metadata.name
            if last == after:
                # The same page would follow again and again.
                raise exceptions.PlatformUnavailable(f"{path}: no end")
            after = last

    async def watch(
        self, kind: str, since: int, wait_ms: float
    ) -> objects.Changes:
        """See `ObjectStore.watch`."""
        timeout_ms = wait_ms + WATCH_TIMEOUT_MARGIN_MS
        query = f"wait_ms={int(wait_ms)}"
        return await self._read_changes(kind, since, query, timeout_ms)

    async def poll(self, kind: str, since: int) -> objects.Changes:
        """See `ObjectStore.poll`."""
        return await self._read_changes(kind, since, "wait_ms=1&allow_stale=1")

    async def _read_changes(
        self,
        kind: str,
        since: int,
        query: str,
        timeout_ms: float | None = None,
    ) -> objects.Changes:
        revision = objects.read_revision(since)
        path = f"/objects/{kind}?watch={revision}&{query}"
        try:
            head, content = await self._read(
                path,
                timeout_ms,
                single_use=False,
                max_bytes=self._sizes.bound(kind),
            )
        except exceptions.PlatformUnavailable as error:
            if isinstance(error.__cause__, exceptions.ResponseTooLarge):
                # Listings come in parts, so that any number of large
                # objects can be read, and have each object once.
                raise exceptions.HistoryGone(path) from error
            raise
        era = _read_era(path, head)
        response = self._decode(
            kind, path, content, storeanswers.decode_events
        )
        if era > objects.read_era(since):
            raise exceptions.StoreRestored(path)
        position = objects.make_position(era, response.current_rev)
        if position <= since:
            # Nothing has changed, or this is a late answer to an earlier call.
            return objects.Changes((), since)
        changes = tuple(
            objects.Change(_convert(event.object, era), event.deleted)
            for event in response.events
        )
        latest = {change.object.name: change.object for change in changes}
        self._sizes.record_changes(kind, objects.measure(latest.values()))
        return objects.Changes(changes, position)

    async def put(self, kind: str, name: str, content: bytes) -> None:
        """See `ObjectStore.put`."""
        body = msgspec.json.encode(
            {"metadata": {"name": name}, "spec": msgspec.Raw(content)}
        )
        head, _ = await self._call("POST", f"/objects/{kind}", body)
        if head.status == 409:
            path = f"/objects/{kind}/{urllib.parse.quote(name)}"
            head, _ = await self._call("PUT", path, body)
        if head.status >= 300:
            raise exceptions.PlatformUnavailable(
                f"{kind}/{name}: {head.status}"
            )

    async def replace(
        self, kind: str, name: str, content: bytes, revision: int
    ) -> int:
        """See `ObjectStore.replace`."""
        metadata: dict[str, object] = {"name": name}
        method, path = "POST", f"/objects/{kind}"
        if revision:
            metadata["revision"] = objects.read_revision(revision)
            method, path = "PUT", f"{path}/{urllib.parse.quote(name)}"
        body = msgspec.json.encode(
            {"metadata": metadata, "spec": msgspec.Raw(content)}
        )
        head, answer = await self._call(method, path, body)
        if head.status in (404, 409):
            raise exceptions.VersionConflict(f"{kind}/{name}")
        if head.status >= 300:
            raise exceptions.PlatformUnavailable(
                f"{kind}/{name}: {head.status}"
            )
        try:
            stored = storeanswers.decode_object(answer)
        except exceptions.ContentInvalid as error:
            raise exceptions.PlatformUnknown(f"{path}: {error}") from error
        return _convert(stored, objects.read_era(revision)).revision

    async def put_status(
        self, kind: str, stored: objects.StoredObject, status: bytes
    ) -> objects.StoredObject:
        """See `ObjectStore.put_status`."""
        path = f"/objects/{kind}/{urllib.parse.quote(stored.name)}/status"
        metadata = {
            "name": stored.name,
            "revision": objects.read_revision(stored.revision),
        }
        body = msgspec.json.encode(
            {"metadata": metadata, "status": msgspec.Raw(status)}
        )
        head, content = await self._call("PUT", path, body)
        if head.status == 404:
            raise exceptions.ObjectChanged(path)
        if head.status not in (200, 409):
            raise exceptions.PlatformUnavailable(f"{path}: {head.status}")
        era = _read_era(path, head)
        try:
            present = _convert(storeanswers.decode_object(content), era)
        except exceptions.ContentInvalid as error:
            raise exceptions.PlatformUnavailable(f"{path}: {error}") from error
        if head.status == 409:
            raise exceptions.ObjectChanged(path, present)
        return present

    async def delete(self, kind: str, name: str) -> None:
        """See `ObjectStore.delete`."""
        path = f"/objects/{kind}/{urllib.parse.quote(name)}"
        head, _ = await self._call("DELETE", path)
        if head.status >= 300 and head.status != 404:
            raise exceptions.PlatformUnavailable(
                f"{kind}/{name}: {head.status}"
            )

    async def _read(
        self,
        path: str,
        timeout_ms: float | None = None,
        single_use: bool = True,
        max_bytes: int = MAX_RESPONSE_BYTES,
    ) -> tuple[connections.ResponseHead, bytes]:
        """Return the response to a call that reads; see `_call`."""
        head, content = await self._call(
            "GET",
            path,
            timeout_ms=timeout_ms,
            single_use=single_use,
            max_bytes=max_bytes,
        )
        if head.status == 410:
            raise exceptions.HistoryGone(path)
        if head.status != 200:
            raise exceptions.PlatformUnavailable(f"{path}: {head.status}")
        return head, content

    def _decode(
        self, kind: str, path: str, content: bytes, decode: _Decode
    ) -> typing.Any:
        """Decode a response, without the objects that cannot be read."""
        try:
            answer, reasons = decode(content)
        except exceptions.ContentInvalid as error:
            raise exceptions.PlatformUnavailable(f"{path}: {error}") from error
        if reasons:
            # They have no name by which they could be told apart.
            events.log_event(
                _LOGGER,
                events.Event.OBJECTS_UNREADABLE,
                kind=kind,
                objects=len(reasons),
                reason=reasons[0],
            )
            if self._counters is not None:
                self._counters.count(
                    metrics.Metric.OBJECTS_UNREADABLE, kind, by=len(reasons)
                )
        return answer

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        timeout_ms: float | None = None,
        single_use: bool = True,
        max_bytes: int = MAX_RESPONSE_BYTES,
    ) -> tuple[connections.ResponseHead, bytes]:
        """Make a call.

        Responses name no call. On a kept connection the second copy of an
        earlier one could pass for the response to a later call; the changes
        of a watch show by their position that they are older.
        """
        headers = [("Host", self._address), ("Content-Length", str(len(body)))]
        if body:
            headers.append(("Content-Type", "application/json"))
        request = connections.Request(method, path, headers, body)
        limit_ms = self.timeout_ms if timeout_ms is None else timeout_ms
        limit_ms += sockets.allow_sending_ms(len(body))
        transfer = connectionpool.Transfer(
            self.timeout_ms, sockets.MAX_BODY_MS
        )
        transfers = self._transfers.setdefault(_find_kind(path), set())
        transfers.add(transfer)
        try:
            head, content = await self._find_pool(path).fetch(
                self._address,
                request,
                limit_ms,
                max_bytes,
                single_use=single_use,
                transfer=transfer,
            )
        except exceptions.EndpointUnreached as error:
            self._count_call(method, "unavailable")
            raise exceptions.PlatformUnavailable(f"{path}: {error}") from error
        except exceptions.EndpointBroken as error:
            self._count_call(method, "unknown")
            if method == "GET":
                raise exceptions.PlatformUnavailable(
                    f"{path}: {error}"
                ) from error
            raise exceptions.PlatformUnknown(f"{path}: {error}") from error
        finally:
            transfers.discard(transfer)
        self._count_call(method, str(head.status))
        if self._counters is not None:
            self._counters.count(
                metrics.Metric.STORE_BYTES, _find_kind(path), by=len(content)
            )
        return head, content

    def _find_pool(self, path: str) -> connectionpool.ConnectionPool:
        """Return the connections of the kind of objects that a path names.

        Responses do not name their kind. A second copy of one could pass for
        the response to a later watch on its connection, which is of the same
        kind, so that its position shows that it is older.
        """
        kind = _find_kind(path)
        pool = self._pools.get(kind)
        if pool is None:
            pool = connectionpool.ConnectionPool(
                self._clock,
                self.timeout_ms,
                connectors.DirectConnector(pool=receiving.STORE),
            )
            self._pools[kind] = pool
        return pool

    def _count_call(self, method: str, outcome: str) -> None:
        if self._counters is not None:
            self._counters.count(
                metrics.Metric.PLATFORM_CALLS, method.lower(), outcome
            )


def _find_kind(path: str) -> str:
    """Return the kind of objects that a path names."""
    kind = path.removeprefix("/objects/").partition("?")[0]
    return kind.partition("/")[0]


def _read_era(path: str, head: connections.ResponseHead) -> int:
    text = head.get_header(names.ERA) or "0"
    if not _ERA.fullmatch(text):
        raise exceptions.PlatformUnavailable(f"{path}: era {text[:80]}")
    return int(text)


def _convert(item: storeanswers.Object, era: int) -> objects.StoredObject:
    return objects.StoredObject(
        item.metadata.name,
        objects.make_position(era, item.metadata.revision),
        bytes(item.spec),
        bytes(item.status),
        bytes(item.metadata.created_at).decode("utf-8", "replace"),
    )
