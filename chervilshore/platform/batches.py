"""Client for the platform's calls that run batch items and free results."""

import msgspec

from chervilshore.clients import batches
from chervilshore.clients import connectionpool
from chervilshore.clients import connections
from chervilshore import exceptions
from chervilshore import notices
from chervilshore.platform import headers
from chervilshore.platform import names
from chervilshore import records


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
        status, content = await self._call(
            record, names.STAGE_RUN, body, timeout_ms
        )
        if status in (421, 429, 503):
            raise exceptions.EndpointBusy(f"status {status}")
        if status != 200:
            raise exceptions.EndpointBroken(f"status {status}")
        try:
            results = _RESULTS_DECODER.decode(content).items
        except msgspec.DecodeError as error:
            raise exceptions.EndpointBroken(str(error)) from error
        if len(results) != len(item_calls):
            raise exceptions.EndpointBroken(
                "number of results differs from number of items"
            )
        return [_convert(result) for result in results]

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
    ) -> tuple[int, bytes]:
        head, content = await self._pool.fetch(
            record.address, _make_request(record, path, body), timeout_ms
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
