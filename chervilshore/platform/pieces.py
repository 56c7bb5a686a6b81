"""Calls for pieces of work that go before a request."""

import msgspec

from chervilshore.clients import batches
from chervilshore.clients import connections
from chervilshore import exceptions
from chervilshore.platform import names
from chervilshore import records


class _Item(msgspec.Struct, omit_defaults=True):
    id: str
    """The attempt of the caller to which the piece belongs."""
    stage: int
    piece: int
    left_ms: int
    key: str | None = None
    """What a piece without inputs works on."""
    inputs: tuple[str, ...] | None = None


class _Run(msgspec.Struct):
    items: list[_Item]


class _Made(msgspec.Struct):
    handle: str = ""
    reason: str = ""


class _Results(msgspec.Struct):
    items: list[_Made]


_RESULTS = msgspec.json.Decoder(_Results)

_REASONS = {
    "late": batches.Failure.LATE,
    "gone": batches.Failure.INPUT_GONE,
    "room": batches.Failure.OUT_OF_SPACE,
}


class BatchClient(batches.BatchClient):
    """Makes the calls.

    Parameters
    ----------
    pool : ConnectionPool
        The connections.
    """

    def __init__(self, pool: connections.ConnectionPool) -> None:
        self._pool = pool

    async def run(
        self,
        record: records.EndpointRecord,
        item_calls: list[batches.ItemCall],
        timeout_ms: float,
    ) -> list[batches.ItemResult]:
        """Have pieces made; see `BatchClient.run`."""
        items = [
            _Item(
                id=one.request,
                stage=one.stage,
                piece=one.piece,
                left_ms=max(1, int(one.left_ms)),
                key=None if one.inputs else one.key,
                inputs=one.inputs or None,
            )
            for one in item_calls
        ]
        body = msgspec.json.encode(_Run(items))
        status, content = await self._pool.fetch(
            record.address,
            _make_request(record, names.STAGE_RUN, body),
            timeout_ms,
        )
        if status in (421, 429, 503):
            raise exceptions.EndpointBusy(f"status {status}")
        if status != 200:
            raise exceptions.EndpointBroken(f"status {status}")
        try:
            found = _RESULTS.decode(content).items
        except msgspec.DecodeError as error:
            raise exceptions.EndpointBroken(str(error)) from error
        if len(found) != len(item_calls):
            raise exceptions.EndpointBroken("not as many results as pieces")
        return [_convert(one) for one in found]

    async def free(
        self,
        record: records.EndpointRecord,
        handles: list[str],
        timeout_ms: float,
    ) -> None:
        """Give results up; see `BatchClient.free`."""
        body = msgspec.json.encode({"handles": handles})
        request = _make_request(record, names.STAGE_FREE, body)
        status, content = await self._pool.fetch(
            record.address, request, timeout_ms
        )
        if status != 200:
            raise exceptions.EndpointBroken(f"status {status}: {content!r}")


def _convert(made: _Made) -> batches.ItemResult:
    if made.handle:
        return batches.ItemResult(made.handle)
    failure = _REASONS.get(made.reason, batches.Failure.ERROR)
    return batches.ItemResult("", failure)


def _make_request(
    record: records.EndpointRecord, path: str, body: bytes
) -> connections.Request:
    headers = [
        ("Host", record.address),
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
        (names.INSTANCE_EXPECTED, record.endpoint),
    ]
    return connections.Request("POST", path, headers, body)
