"""Checks that the process at an endpoint is the one that is listed."""

import asyncio

import msgspec

from chervilshore.clients import connections
from chervilshore import contents
from chervilshore import exceptions
from chervilshore.platform import documents
from chervilshore.platform import names
from chervilshore import records

MAX_REPORT_BYTES = 1_000_000

REPORT_TIMEOUT_SECONDS = 0.3
"""Seconds to wait for a report, as for a connection: it needs no slot, and
nothing of the request has been sent yet."""


class _Report(msgspec.Struct):
    """What an endpoint says of itself."""

    born: int = 0


_REPORT_DECODER = msgspec.json.Decoder(_Report)


async def check_process(
    connection: connections.Connection, record: records.EndpointRecord
) -> None:
    """Ask a connection once which process of an endpoint it has reached.

    An endpoint that starts again under its name may have another software
    version, which its entry names only later. No connection outlives the
    process that accepted it.

    Raises
    ------
    exceptions.EndpointUnreached
        It is another process than the listed one, it does not answer, or the
        connection cannot be used after the question.
    """
    if connection.process == record.instance:
        return
    if record.instance == documents.make_instance(record.endpoint, 0):
        # Its entry does not tell its processes apart.
        return
    try:
        async with asyncio.timeout(REPORT_TIMEOUT_SECONDS):
            head, born = await _ask(connection, record)
    except (TimeoutError, exceptions.EndpointBroken) as error:
        raise exceptions.EndpointUnreached(f"no report: {error!r}") from error
    found = documents.make_instance(record.endpoint, born)
    if born and found != record.instance:
        raise exceptions.EndpointUnreached(
            f"process {found} is not listed, but {record.instance}"
        )
    if not connection.prepare_reuse(head):
        raise exceptions.EndpointUnreached("connection closes after a report")
    connection.process = record.instance


async def _ask(
    connection: connections.Connection, record: records.EndpointRecord
) -> tuple[connections.ResponseHead, int]:
    """Return the head of an endpoint's report, and its start time."""
    connection.send(
        connections.Request(
            "GET",
            names.REPORT,
            [
                ("Host", record.address),
                (names.INSTANCE_EXPECTED, record.endpoint),
            ],
        )
    )
    head = await connection.read_head()
    if head.get_header(names.ATTEMPT_ID) is not None:
        raise exceptions.EndpointBroken("answer to a request, not a report")
    content = await connection.read_whole_body(head, MAX_REPORT_BYTES)
    return head, _read_born(head, content)


def _read_born(head: connections.ResponseHead, content: bytes) -> int:
    """Return when a process started, or 0 if its endpoint does not say."""
    if head.status != 200:
        return 0
    try:
        return contents.decode(_REPORT_DECODER, content).born
    except exceptions.ContentInvalid:
        # An endpoint of another kind answers what it likes.
        return 0
