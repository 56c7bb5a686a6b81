"""The platform's metadata store over HTTP."""

import urllib.parse

import msgspec

from chervilshore.clients import connections
from chervilshore import clock as clocks
from chervilshore import exceptions
from chervilshore import ids
from chervilshore import metrics
from chervilshore import objects

WATCH_SLACK_MS = 1000.0
"""Milliseconds past a watch's own wait after which it counts as silent."""

ANSWER_BYTES = 8_000_000
"""Bytes of the largest answer: a page of about 1 MB, with room to spare."""


class _Metadata(msgspec.Struct):
    name: str
    revision: int = 0


class _Object(msgspec.Struct):
    metadata: _Metadata
    spec: msgspec.Raw = msgspec.Raw(b"null")


class _Page(msgspec.Struct):
    items: list[_Object]
    has_more: bool = False
    current_rev: int = 0


class _Event(msgspec.Struct):
    object: _Object
    deleted: bool = False


class _Events(msgspec.Struct):
    events: list[_Event]
    current_rev: int = 0


_PAGE = msgspec.json.Decoder(_Page)
_EVENTS = msgspec.json.Decoder(_Events)


class MetadataStore(objects.ObjectStore):
    """Calls the store.

    Parameters
    ----------
    address : Address
        Where it is.
    clock : Clock
        Measures time limits.
    timeout_ms : float
        Milliseconds to wait for an answer.
    counters : Metrics or None
        Counts the calls.
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
        self._pool = connections.ConnectionPool(clock, connect_ms=timeout_ms)

    async def close(self) -> None:
        """Close the connections; see `ObjectStore.close`."""
        self._pool.close()

    async def list(self, kind: str) -> objects.Listing:
        """Read all pages of a kind; see `ObjectStore.list`.

        What changes between two pages is told again by a watch from the
        first page's revision.
        """
        found: dict[str, objects.StoredObject] = {}
        after = ""
        revision = None
        while True:
            query = f"?after={urllib.parse.quote(after)}" if after else ""
            page = await self._read(f"/objects/{kind}{query}", _PAGE)
            if revision is None:
                revision = page.current_rev
            for item in page.items:
                found[item.metadata.name] = _convert(item)
                after = item.metadata.name
            if not page.has_more or not page.items:
                return objects.Listing(tuple(found.values()), revision)

    async def watch(
        self, kind: str, since: int, wait_ms: float
    ) -> objects.Changes:
        """Wait for changes; see `ObjectStore.watch`."""
        path = f"/objects/{kind}?watch={since}&wait_ms={int(wait_ms)}"
        limit = wait_ms + WATCH_SLACK_MS
        answer = await self._read(path, _EVENTS, limit)
        changes = tuple(
            objects.Change(_convert(event.object), event.deleted)
            for event in answer.events
        )
        return objects.Changes(changes, answer.current_rev)

    async def put(self, kind: str, name: str, content: bytes) -> None:
        """Create or replace an object; see `ObjectStore.put`."""
        body = msgspec.json.encode(
            {"metadata": {"name": name}, "spec": msgspec.Raw(content)}
        )
        status, _ = await self._call("POST", f"/objects/{kind}", body)
        if status == 409:
            path = f"/objects/{kind}/{urllib.parse.quote(name)}"
            status, _ = await self._call("PUT", path, body)
        if status >= 300:
            raise exceptions.PlatformUnavailable(f"{kind}/{name}: {status}")

    async def delete(self, kind: str, name: str) -> None:
        """Remove an object; see `ObjectStore.delete`."""
        path = f"/objects/{kind}/{urllib.parse.quote(name)}"
        status, _ = await self._call("DELETE", path)
        if status >= 300 and status != 404:
            raise exceptions.PlatformUnavailable(f"{kind}/{name}: {status}")

    async def _read(self, path: str, decoder, limit_ms: float | None = None):
        status, content = await self._call("GET", path, limit_ms=limit_ms)
        if status == 410:
            raise exceptions.HistoryGone(path)
        if status != 200:
            raise exceptions.PlatformUnavailable(f"{path}: {status}")
        try:
            return decoder.decode(content)
        except msgspec.DecodeError as error:
            raise exceptions.PlatformUnavailable(f"{path}: {error}") from error

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        limit_ms: float | None = None,
    ) -> tuple[int, bytes]:
        headers = [("Host", self._address), ("Content-Length", str(len(body)))]
        if body:
            headers.append(("Content-Type", "application/json"))
        request = connections.Request(method, path, headers, body)
        limit = self.timeout_ms if limit_ms is None else limit_ms
        try:
            status, content = await self._pool.fetch(
                self._address, request, limit, ANSWER_BYTES
            )
        except exceptions.EndpointUnreached as error:
            self._count(method, "unavailable")
            raise exceptions.PlatformUnavailable(f"{path}: {error}") from error
        except exceptions.EndpointBroken as error:
            self._count(method, "unknown")
            if method == "GET":
                raise exceptions.PlatformUnavailable(
                    f"{path}: {error}"
                ) from error
            raise exceptions.PlatformUnknown(f"{path}: {error}") from error
        self._count(method, str(status))
        return status, content

    def _count(self, method: str, outcome: str) -> None:
        if self._counters is not None:
            self._counters.count(
                metrics.Metric.PLATFORM_CALLS, method.lower(), outcome
            )


def _convert(item: _Object) -> objects.StoredObject:
    return objects.StoredObject(
        item.metadata.name, item.metadata.revision, bytes(item.spec)
    )
