"""Passes requests on to endpoints and their answers back."""

import asyncio

from chervilshore.clients import connections
from chervilshore.clients import endpoints
from chervilshore import clock as clocks
from chervilshore import eventstreams
from chervilshore import exceptions
from chervilshore import ids
from chervilshore import passages
from chervilshore.platform import names
from chervilshore.platform import requests
from chervilshore import records

FRESH_IDLE_MS = 1000.0
"""Milliseconds for which a connection may have been idle that carries what
may not be repeated: endpoints drop idle ones after a few seconds."""

EVENT_STREAM = "text/event-stream"

MOST_BODY_BYTES = 16_000_000
"""Bytes of a plain answer that are held."""


class ForwardClient(endpoints.EndpointClient):
    """Makes the calls of forwarded requests.

    Parameters
    ----------
    pool : ConnectionPool
        The connections.
    clock : Clock
        Measures what is left of a deadline.
    """

    def __init__(
        self, pool: connections.ConnectionPool, clock: clocks.Clock
    ) -> None:
        self._pool = pool
        self._clock = clock

    async def call(
        self, record: records.EndpointRecord, call: endpoints.Call
    ) -> endpoints.Reply:
        """Pass a request on; see `EndpointClient.call`."""
        ends = self._clock.now() + call.millis
        idle = connections.IDLE_MS if call.repeatable else FRESH_IDLE_MS
        connection = await self._pool.take(record.address, idle)
        try:
            async with asyncio.timeout(max(0.0, call.millis) / 1000.0):
                left = max(1, int(ends - self._clock.now()))
                connection.send(_make_request(record, call, left))
                head = await connection.read_head()
                response = await self._answer(connection, head, call)
        except TimeoutError as error:
            connection.close()
            raise exceptions.EndpointBroken("late") from error
        except BaseException:
            connection.close()
            raise
        self._pool.give_back(record.address, connection, head)
        self._check(head, response)
        return endpoints.Reply(
            {"response": response},
            instance=ids.InstanceId(head.find(names.INSTANCE) or ""),
            cold=float(head.find(names.COLD) or 0) > 0,
        )

    async def _answer(
        self,
        connection: connections.Connection,
        head: connections.Head,
        call: endpoints.Call,
    ) -> passages.Response:
        if not _says_not_run(head):
            _check_binding(head, call)
        response = passages.Response(head.status, _pass_headers(head))
        kind = head.find("content-type") or ""
        streams = head.status == 200 and kind.startswith(EVENT_STREAM)
        if streams and call.relay is not None:
            await self._relay(connection, response, call)
            return response
        content = bytearray()
        async for data in connection.read_body():
            content += data
            if len(content) > MOST_BODY_BYTES:
                raise exceptions.EndpointBroken("answer too long")
        response.body = bytes(content)
        return response

    async def _relay(
        self,
        connection: connections.Connection,
        response: passages.Response,
        call: endpoints.Call,
    ) -> None:
        """Pass whole events on as they come."""
        relay = call.relay
        splitter = eventstreams.EventSplitter()
        async for data in connection.read_body():
            whole = splitter.feed(data)
            if not whole:
                continue
            if not relay.begun:
                await relay.begin(response)
            await relay.write(whole)
            relay.last_event = splitter.last_event
        if not splitter.is_clean:
            raise exceptions.EndpointBroken("stream ends within an event")
        if not relay.begun:
            raise exceptions.EndpointBroken("stream without an event")

    def _check(
        self, head: connections.Head, response: passages.Response
    ) -> None:
        """Tell apart the answers that are not a success."""
        status = head.status
        if _says_not_run(head):
            if status == 409:
                raise exceptions.InputsGone("a prepared result is gone")
            raise exceptions.EndpointBusy(f"status {status}")
        if status >= 500:
            raise exceptions.EndpointRejected(f"status {status}", response)


def _says_not_run(head: connections.Head) -> bool:
    return head.find(names.NOT_EXECUTED) is not None or head.status == 421


def _check_binding(head: connections.Head, call: endpoints.Call) -> None:
    answered = head.find(names.ATTEMPT_ID)
    if answered != call.binding.request:
        raise exceptions.AnswerMismatch(
            f"asked {call.binding.request}, answered {answered}"
        )
    if head.status < 300 and not head.find(names.STAMP):
        raise exceptions.AnswerMismatch("success without a stamp")
    if head.find("content-encoding"):
        raise exceptions.EndpointBroken("encoded answer")


def _pass_headers(head: connections.Head) -> passages.Headers:
    return [
        (name, value)
        for name, value in head.headers
        if name not in requests.HOP_HEADERS
    ]


def _make_request(
    record: records.EndpointRecord, call: endpoints.Call, left_ms: int
) -> connections.Request:
    forwarded_request = call.forwarded_request
    headers = list(forwarded_request.headers)
    if call.relay is not None and call.relay.last_event is not None:
        headers = [
            pair for pair in headers if pair[0].lower() != names.LAST_EVENT
        ]
        headers.append((names.LAST_EVENT, str(call.relay.last_event)))
    headers.append((names.DEADLINE, str(left_ms)))
    headers.append((names.INSTANCE_EXPECTED, record.endpoint))
    if call.delivery.team:
        headers.append((names.TENANT, call.delivery.team))
    if call.delivery.inputs:
        headers.append((names.INPUTS, ",".join(call.delivery.inputs)))
    if forwarded_request.tokens_in:
        headers.append((names.URGENCY, str(call.delivery.urgency)))
    if forwarded_request.body or forwarded_request.method not in (
        "GET",
        "HEAD",
        "DELETE",
    ):
        headers.append(("Content-Length", str(len(forwarded_request.body))))
    return connections.Request(
        forwarded_request.method,
        forwarded_request.target,
        headers,
        forwarded_request.body,
    )
