"""Client for the platform's calls that run batch items and free results."""

import msgspec

from chervilshore.clients import batches
from chervilshore.clients import connectionpool
from chervilshore.clients import connections
from chervilshore import contents
from chervilshore import exceptions
from chervilshore import notices
from chervilshore.platform import headers
from chervilshore.platform import names
from chervilshore import records

MAX_SEEN_HANDLES = 20_000
"""Handles that are remembered; a second copy of a response comes with the
next one on its connection, some calls later at most."""


class _Item(msgspec.Struct, omit_defaults=True):
    id: str
    """Request id: the caller's attempt to which the item belongs."""
    stage: int
    piece: int
    """Index of the item in its batch stage."""
    left_ms: int
    key: str | None = None
    """What an item without inputs works on."""
    inputs: tuple[str, ...] | None = None


class _Run(msgspec.Struct):
    items: list[_Item]


class _ItemResult(msgspec.Struct):
    """Result of an item: a handle, or the reason why there is none."""

    handle: str = ""
    reason: str = ""


class _Results(msgspec.Struct):
    items: list[_ItemResult]


_RESULTS_DECODER = msgspec.json.Decoder(_Results)

_REASONS = {
    "late": batches.Failure.LATE,
    "gone": batches.Failure.INPUT_GONE,
    "room": batches.Failure.OUT_OF_SPACE,
}


class BatchClient(batches.BatchClient):
    """Runs batch items at the platform's endpoints."""

    def __init__(
        self, pool: connectionpool.ConnectionPool, notice_sink: notices.Sink
    ) -> None:
        self._pool = pool
        self._notice_sink = notice_sink
        self._seen_handles: dict[str, None] = {}

    async def run(
        self,
        record: records.EndpointRecord,
        item_calls: list[batches.ItemCall],
        timeout_ms: float,
    ) -> list[batches.ItemResult]:
        """Run items in one call; see `BatchClient.run`."""
        items = [
            _Item(
                id=call.request,
                stage=call.stage,
                piece=call.item_index,
                left_ms=max(1, int(call.left_ms)),
                key=None if call.inputs else call.key,
                inputs=call.inputs or None,
            )
            for call in item_calls
        ]
        body = msgspec.json.encode(_Run(items))
        results: list[_ItemResult] = []

        def read_results(
            head: connections.ResponseHead, content: bytes
        ) -> bool:
            if head.status == 200:
                results.extend(self._read_results(content, len(items)))
            # Nothing but a new handle shows that a response is not an old
            # one, after which the results of this call still come.
            return any(result.handle for result in results)

        status, _ = await self._call(
            record, names.STAGE_RUN, body, timeout_ms, read_results
        )
        if status in (421, 429, 503):
            raise exceptions.EndpointBusy(f"status {status}")
        if status != 200:
            raise exceptions.EndpointBroken(f"status {status}")
        return [_convert(result) for result in results]

    def _read_results(self, content: bytes, count: int) -> list[_ItemResult]:
        """Decode the results of a call, and check that they are its own.

        Responses name no call. As each result has a new handle, a second
        copy of an earlier response shows by handles that are known.
        """
        try:
            results = contents.decode(_RESULTS_DECODER, content).items
        except exceptions.ContentInvalid as error:
            raise exceptions.EndpointBroken(str(error)) from error
        if len(results) != count:
            raise exceptions.EndpointBroken(
                "number of results differs from number of items"
            )
        for handle in filter(None, (result.handle for result in results)):
            if handle in self._seen_handles:
                raise exceptions.AnswerMismatch(f"known result {handle}")
            self._seen_handles[handle] = None
            if len(self._seen_handles) > MAX_SEEN_HANDLES:
                del self._seen_handles[next(iter(self._seen_handles))]
        return results

    async def free(
        self,
        record: records.EndpointRecord,
        handles: list[str],
        timeout_ms: float,
    ) -> None:
        """Free results; see `BatchClient.free`."""
        body = msgspec.json.encode({"handles": handles})
        status, content = await self._call(
            record, names.STAGE_FREE, body, timeout_ms
        )
        if status != 200:
            raise exceptions.EndpointBroken(f"status {status}: {content!r}")

    async def _call(
        self,
        record: records.EndpointRecord,
        path: str,
        body: bytes,
        timeout_ms: float,
        check: connectionpool.Check = connectionpool.accept,
    ) -> tuple[int, bytes]:
        head, content = await self._pool.fetch(
            record.address,
            _make_request(record, path, body),
            timeout_ms,
            check=check,
        )
        headers.pass_notice(record, head, self._notice_sink)
        return head.status, content


def _convert(result: _ItemResult) -> batches.ItemResult:
    if result.handle:
        return batches.ItemResult(result.handle)
    failure = _REASONS.get(result.reason, batches.Failure.ERROR)
    return batches.ItemResult("", failure)


def _make_request(
    record: records.EndpointRecord, path: str, body: bytes
) -> connections.Request:
    pairs = [
        ("Host", record.address),
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
        (names.INSTANCE_EXPECTED, record.endpoint),
    ]
    return connections.Request("POST", path, pairs, body)
