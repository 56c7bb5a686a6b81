"""Forwards requests to endpoints and their responses to the callers."""

import asyncio
import logging

from chervilshore.clients import bodies
from chervilshore.clients import connectionpool
from chervilshore.clients import connections
from chervilshore.clients import endpoints
from chervilshore.clients import keepalive
from chervilshore import clock as clocks
from chervilshore.decisions import eventpositions
from chervilshore import events
from chervilshore import eventstreams
from chervilshore import exceptions
from chervilshore import forwarded
from chervilshore import ids
from chervilshore import metrics
from chervilshore import notices
from chervilshore.platform import headers
from chervilshore.platform import names
from chervilshore.platform import processes
from chervilshore.platform import requests
from chervilshore import records

FRESH_IDLE_MS = 1000.0
"""Milliseconds after which an idle connection is not reused for a request
that must not be repeated: endpoints close idle ones after a few seconds."""

EVENT_STREAM = "text/event-stream"

INPUTS_GONE_STATUS = 409
"""Status with which an endpoint refuses a request whose inputs are gone."""

_LOGGER = logging.getLogger(__name__)


class ForwardClient(endpoints.EndpointClient):
    """Calls endpoints with forwarded requests."""

    def __init__(
        self,
        pool: connectionpool.ConnectionPool,
        clock: clocks.Clock,
        notice_sink: notices.Sink,
        counters: metrics.Metrics,
    ) -> None:
        self._pool = pool
        self._clock = clock
        self._notice_sink = notice_sink
        self._metrics = counters

    async def call(
        self, record: records.EndpointRecord, call: endpoints.Call
    ) -> endpoints.Reply:
        """Forward a request; see `EndpointClient.call`."""
        deadline = self._clock.now() + call.millis
        max_idle_ms = (
            keepalive.DEFAULT_IDLE_MS if call.repeatable else FRESH_IDLE_MS
        )
        connection = await self._pool.acquire(record.address, max_idle_ms)
        if connection.relay:
            events.log_event(
                _LOGGER,
                events.Event.REQUEST_RELAYED,
                request=call.binding.request,
                endpoint=record.endpoint,
                relay=connection.relay,
                tunnel=connection.local_address,
            )
        if call.relay is not None:
            call.relay.begin_attempt(
                forwarded.StreamOrigin(record.pool, record.version)
            )
        try:
            async with asyncio.timeout(max(0.0, call.millis) / 1000.0):
                if call.relay is not None and call.relay.needs_version:
                    await processes.check_process(connection, record)
                left_ms = max(1, int(deadline - self._clock.now()))
                connection.send(_make_request(record, call, left_ms))
                sent_at = self._clock.now()
                head = await connection.read_head()
                self._record_refusal(connection, head, record, call, sent_at)
                _check_attempt(head, call)
                headers.pass_notice(record, head, self._notice_sink)
                response = await self._read_response(
                    connection, head, record, call
                )
        except exceptions.ResponseTooLarge as error:
            connection.close()
            events.log_event(
                _LOGGER,
                events.Event.RESPONSE_CUT,
                request=call.binding.request,
                endpoint=record.endpoint,
                pool=record.pool,
                detail=str(error),
            )
            raise
        except TimeoutError as error:
            connection.close()
            raise exceptions.EndpointBroken("response timed out") from error
        except BaseException:
            connection.close()
            raise
        if _may_return(head):
            # On this connection a second copy of the refusal would name the
            # request as well.
            connection.close()
        else:
            self._pool.release(record.address, connection, head)
        self._raise_for_status(head, response, call)
        return endpoints.Reply(
            {"response": response},
            instance=ids.InstanceId(head.get_header(names.INSTANCE) or ""),
            cold=headers.is_cold(record, head),
        )

    def _record_refusal(
        self,
        connection: connections.Connection,
        head: connections.ResponseHead,
        record: records.EndpointRecord,
        call: endpoints.Call,
        sent_at: float,
    ) -> None:
        """Log and count a response that may say that a request has not run.

        Whether it does, and is the response to this request, is decided
        later; the line tells on what grounds.
        """
        if not _is_not_executed(head) and (
            head.status not in names.NOT_RUN_STATUSES
        ):
            return
        attempt_id = head.get_header(names.ATTEMPT_ID)
        named = _describe_name(attempt_id, call.binding.request)
        is_explicit = head.get_header(names.NOT_EXECUTED) is not None
        statement = "explicit" if is_explicit else "status"
        state = "kept" if connection.reused else "new"
        self._metrics.count(
            metrics.Metric.ENDPOINT_REFUSALS, named, state, statement
        )
        events.log_event(
            _LOGGER,
            events.Event.ENDPOINT_REFUSED,
            request=call.binding.request,
            endpoint=record.endpoint,
            status=head.status,
            statement=statement,
            named=named if named != "other" else attempt_id,
            connection=state,
            millis=round(self._clock.now() - sent_at, 1),
        )

    async def _read_response(
        self,
        connection: connections.Connection,
        head: connections.ResponseHead,
        record: records.EndpointRecord,
        call: endpoints.Call,
    ) -> forwarded.Response:
        if not _is_not_executed(head):
            _check_success(head)
            _check_continuation(head, call)
        response = forwarded.Response(head.status, _select_headers(head))
        if _is_stream(head) and call.relay is not None:
            connection.expect_body(head, eventstreams.MAX_EVENT_BYTES)
            await self._relay(connection, response, record, call)
            return response
        response.body = await connection.read_whole_body(
            head, bodies.MAX_BODY_BYTES
        )
        response.receipt = connection.hand_over()
        return response

    async def _relay(
        self,
        connection: connections.Connection,
        response: forwarded.Response,
        record: records.EndpointRecord,
        call: endpoints.Call,
    ) -> None:
        """Relay each event as soon as it is complete."""
        splitter = eventstreams.EventSplitter()
        try:
            await self._relay_events(
                splitter, connection, response, record, call
            )
        finally:
            # The traceback of an error keeps the splitter for a while.
            splitter.clear()

    async def _relay_events(
        self,
        splitter: eventstreams.EventSplitter,
        connection: connections.Connection,
        response: forwarded.Response,
        record: records.EndpointRecord,
        call: endpoints.Call,
    ) -> None:
        relay = call.relay
        begin = relay.position or eventpositions.EventPosition(
            call.forwarded_request.last_event_id if call.repeatable else None
        )
        position = begin
        async for data in connection.read_body():
            complete_events = splitter.feed(data)
            del data
            if not complete_events:
                continue
            if call.repeatable:
                _check_events(
                    position,
                    splitter.event_ids,
                    is_continuation=begin.last_id is not None,
                )
            position = position.advance(splitter.event_ids)
            if call.flight is not None:
                call.flight.record_events(splitter.events, self._clock.now())
            if not relay.head_sent:
                await relay.begin_stream(
                    forwarded.StreamOrigin(record.pool, record.version)
                )
                await relay.send_head(response)
            await relay.write(complete_events)
            del complete_events
            connection.kept_bytes = splitter.buffered_bytes
            relay.position = position
        if not splitter.at_event_boundary:
            raise connection.make_error("stream ended within an event")
        if position is begin:
            raise connection.make_error("stream ended without an event")
        relay.is_complete = True

    def _raise_for_status(
        self,
        head: connections.ResponseHead,
        response: forwarded.Response,
        call: endpoints.Call,
    ) -> None:
        """Raise the error that a response stands for, if it is one."""
        status = head.status
        if _lacks_inputs(head):
            raise exceptions.InputsGone(
                "result of a batch stage no longer available"
            )
        if _is_not_executed(head):
            raise exceptions.EndpointBusy(f"status {status}")
        if status in names.NOT_RUN_STATUSES and not call.repeatable:
            # Passed on, it would promise what the endpoint does not say.
            raise exceptions.EndpointBroken(f"status {status} after a run")
        if status >= 500:
            raise exceptions.EndpointRejected(f"status {status}", response)


def _describe_name(attempt_id: str | None, request: ids.RequestId) -> str:
    """Say whether a response names the request that was sent."""
    if attempt_id is None:
        return "none"
    return "own" if attempt_id == request else "other"


def _is_not_executed(head: connections.ResponseHead) -> bool:
    return (
        head.get_header(names.NOT_EXECUTED) is not None or head.status == 421
    )


def _lacks_inputs(head: connections.ResponseHead) -> bool:
    return head.status == INPUTS_GONE_STATUS and _is_not_executed(head)


def _may_return(head: connections.ResponseHead) -> bool:
    """Return whether a request may come to the address of a refusal again.

    It does with other inputs, or for another endpoint at the same address.
    """
    return _lacks_inputs(head) or head.status == headers.OTHER_ENDPOINT_STATUS


def _check_attempt(
    head: connections.ResponseHead, call: endpoints.Call
) -> None:
    """Check that a response answers this call, not an earlier one.

    A refusal without the id may be an old one that the endpoint writes once
    more, so that it proves nothing about this request.
    """
    attempt_id = head.get_header(names.ATTEMPT_ID)
    if attempt_id != call.binding.request:
        raise exceptions.AnswerMismatch(
            f"expected {call.binding.request}, got {attempt_id}, "
            f"status {head.status}"
        )


def _check_success(head: connections.ResponseHead) -> None:
    if head.status < 300 and not head.get_header(names.STAMP):
        raise exceptions.AnswerMismatch("successful response without a stamp")
    if head.get_header("content-encoding"):
        raise exceptions.EndpointBroken("response has a content encoding")


def _check_continuation(
    head: connections.ResponseHead, call: endpoints.Call
) -> None:
    """Check that a response can go on with a stream that has begun.

    Its body is not awaited, which need not end.

    Raises
    ------
    exceptions.StreamMismatch
        The response is no stream of events.
    """
    has_begun = call.relay is not None and call.relay.head_sent
    if not has_begun or head.status >= 500 or _is_stream(head):
        return
    content_type = head.get_header("content-type")
    raise exceptions.StreamMismatch(
        f"status {head.status}, {content_type}, after the stream has begun"
    )


def _check_events(
    position: eventpositions.EventPosition,
    event_ids: eventpositions.EventIds,
    is_continuation: bool,
) -> None:
    """Check that events go on with a stream that may be resumed.

    Raises
    ------
    exceptions.StreamMismatch
        They do not follow what the caller has got.
    """
    reason = position.find_mismatch(event_ids, is_continuation)
    if reason is not None:
        raise exceptions.StreamMismatch(reason)


def _is_stream(head: connections.ResponseHead) -> bool:
    content_type = head.get_header("content-type") or ""
    is_event_stream = content_type.lower().startswith(EVENT_STREAM)
    is_run = head.status == 200 and not _is_not_executed(head)
    return is_run and is_event_stream


def _select_headers(head: connections.ResponseHead) -> forwarded.Headers:
    return [
        (name, value)
        for name, value in head.headers
        if name not in requests.HOP_HEADERS
    ]


def _make_request(
    record: records.EndpointRecord, call: endpoints.Call, left_ms: int
) -> connections.Request:
    forwarded_request = call.forwarded_request
    pairs = list(forwarded_request.headers)
    if call.relay is not None and call.relay.last_event_id is not None:
        pairs = [pair for pair in pairs if pair[0].lower() != names.LAST_EVENT]
        pairs.append((names.LAST_EVENT, str(call.relay.last_event_id)))
    pairs.append((names.DEADLINE, str(left_ms)))
    pairs.append((names.INSTANCE_EXPECTED, record.endpoint))
    if call.delivery.team:
        pairs.append((names.TENANT, call.delivery.team))
    if call.delivery.inputs:
        pairs.append((names.INPUTS, ",".join(call.delivery.inputs)))
    if forwarded_request.tokens_in:
        pairs.append((names.URGENCY, str(call.delivery.urgency)))
    if forwarded_request.body or forwarded_request.method not in (
        "GET",
        "HEAD",
        "DELETE",
    ):
        pairs.append(("Content-Length", str(len(forwarded_request.body))))
    return connections.Request(
        forwarded_request.method,
        forwarded_request.target,
        pairs,
        forwarded_request.body,
    )
