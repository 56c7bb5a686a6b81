"""The HTTP interface for requests that are forwarded unchanged."""

import asyncio
from collections import abc as collections_abc
import logging

import aiohttp
from aiohttp import helpers
from aiohttp import web
import msgspec

from chervilshore.clients import sockets
from chervilshore import clock as clocks
from chervilshore import events
from chervilshore import exceptions
from chervilshore.filters import base
from chervilshore import forwarded
from chervilshore import ids
from chervilshore import listener
from chervilshore import metrics
from chervilshore import results
from chervilshore.rules import model
from chervilshore import server

WRITE_TIMEOUT_SECONDS = 5.0
"""Seconds that a caller has to read the events written to it."""

UNKNOWN_LABEL = "unknown"
"""The metric label of requests that match no route."""

PART_BYTES = 65_536
"""Bytes of an answer that are written at once."""

RETRY_AFTER_DECIMALS = 3
"""Decimal places of the seconds in a Retry-After header."""

_LOGGER = logging.getLogger(__name__)

_RETRY_STATUSES = (429, 503)

DecodeRequest = collections_abc.Callable[
    [str, str, collections_abc.Sequence[tuple[str, str]], bytes],
    forwarded.ForwardedRequest,
]
"""Decodes a request from its method, target, headers and body."""


class RequestFormat(msgspec.Struct, frozen=True):
    """Decodes the requests of one platform.

    Parameters
    ----------
    decode : callable
        Decodes a request from its method, target, headers and body;
        raises ValueError.
    read_request_id : callable
        Reads the request id from headers with names in lower case; empty
        when there is none.
    request_header : str
        The header with the request id, which is repeated in the answer.
    """

    decode: DecodeRequest
    read_request_id: collections_abc.Callable[
        [collections_abc.Mapping[str, str]], str
    ]
    request_header: str


class Ingress:
    """Serves the requests of callers.

    Parameters
    ----------
    clock : Clock
        Measures the durations of requests.
    handle : Proceed
        The complete chain of filters.
    counters : Metrics
        Counts requests and records their durations.
    request_format : RequestFormat
        Decodes requests.
    read_limits : callable
        Returns the current limits on what callers may send.

    Attributes
    ----------
    draining : bool
        Whether each connection is closed after its next answer.
    closed : bool
        Whether new requests are refused, as there is no time left to finish
        them.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        handle: base.Proceed,
        counters: metrics.Metrics,
        request_format: RequestFormat,
        read_limits: collections_abc.Callable[[], model.CallerLimits],
    ) -> None:
        self.draining = False
        self.closed = False
        self._clock = clock
        self._handle = handle
        self._metrics = counters
        self._request_format = request_format
        self._read_limits = read_limits
        self._in_flight = 0
        self._idle = asyncio.Event()
        self._idle.set()

    async def wait_idle(self) -> None:
        """Wait until no request is in flight."""
        await self._idle.wait()

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one request."""
        started = self._clock.now()
        self._begin_request()
        answer = base.Answer(results.Code.CALLER_GONE)
        exchange = None
        relay = EventRelay(request)
        try:
            if self.closed:
                answer = base.Answer(
                    results.Code.DRAINING,
                    retry_after_ms=server.DRAIN_RETRY_AFTER_MS,
                )
                return await self._write(request, relay, answer)
            exchange, answer = await self._read(request, relay, started)
            if exchange is not None:
                answer = await self._handle(exchange)
            return await self._write(request, relay, answer)
        except ConnectionError:
            answer = base.Answer(results.Code.CALLER_GONE)
            raise
        finally:
            self._end_request()
            self._record_outcome(exchange, answer, self._clock.now() - started)

    async def _read(
        self, request: web.BaseRequest, relay: "EventRelay", started: float
    ) -> tuple[base.Exchange | None, base.Answer]:
        limits = self._read_limits()
        too_large = base.Answer(results.Code.BODY_TOO_LARGE)
        if (request.content_length or 0) > limits.body_bytes:
            return None, too_large
        try:
            async with asyncio.timeout(server.BODY_TIMEOUT_SECONDS):
                body = await request.content.read(-1)
        except TimeoutError:
            return None, base.Answer(results.Code.BODY_LATE)
        if len(body) > limits.body_bytes:
            return None, too_large
        pairs = [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in request.raw_headers
        ]
        if sum(map(_header_bytes, pairs)) > limits.header_bytes:
            return None, base.Answer(results.Code.HEAD_TOO_LARGE)
        headers = {name.lower(): value for name, value in pairs}
        request_id = self._request_format.read_request_id(headers)
        if not request_id:
            return None, base.Answer(
                results.Code.BAD_HEADER,
                detail="the header with the request id is missing",
            )
        try:
            forwarded_request = self._request_format.decode(
                request.method, request.raw_path, pairs, body
            )
        except ValueError as error:
            return None, base.Answer(
                results.Code.BAD_HEADER, detail=str(error)
            )
        exchange = base.Exchange(
            request=ids.RequestId(request_id),
            pipeline_name=ids.PipelineName(""),
            headers=headers,
            raw=body,
            arrived_at=started,
            forwarded_request=forwarded_request,
            relay=relay,
        )
        return exchange, base.Answer(results.Code.OK)

    async def _write(
        self,
        request: web.BaseRequest,
        relay: "EventRelay",
        answer: base.Answer,
    ) -> web.StreamResponse:
        if relay.response is not None:
            return await self._end_stream(request, relay, answer)
        forwarded_response = answer.response
        if forwarded_response is not None:
            response = _WholeResponse(forwarded_response, request)
            _set_headers(response, forwarded_response.headers)
        else:
            response = self._make_refusal(request, answer)
        too_large = answer.code is results.Code.BODY_TOO_LARGE
        if self.draining or too_large:
            # The unread rest of a body must not be parsed as the next
            # request.
            response.force_close()
        return response

    async def _end_stream(
        self,
        request: web.BaseRequest,
        relay: "EventRelay",
        answer: base.Answer,
    ) -> web.StreamResponse:
        if answer.code is results.Code.OK:
            await relay.response.write_eof()
        elif request.transport is not None:
            # Without its end mark the caller sees that the stream is cut.
            # Older callers get no chunks, but the end of the connection.
            if request.version < aiohttp.HttpVersion11:
                sockets.set_reset_at_close(request.transport, True)
            request.transport.abort()
        return relay.response

    def _make_refusal(
        self, request: web.BaseRequest, answer: base.Answer
    ) -> web.Response:
        code = answer.code.value
        body = msgspec.json.encode(
            {
                "code": code.number,
                "name": answer.code.name,
                "family": code.family.value,
                "detail": answer.detail,
            }
        )
        response = web.Response(
            body=body, status=code.status, content_type="application/json"
        )
        header = self._request_format.request_header
        request_id = request.headers.get(header)
        if request_id:
            response.headers[header] = request_id
        if code.status in _RETRY_STATUSES:
            seconds = (answer.retry_after_ms or 0.0) / 1000.0
            text = str(round(seconds, RETRY_AFTER_DECIMALS))
            response.headers["Retry-After"] = text
        return response

    def _begin_request(self) -> None:
        self._in_flight += 1
        self._idle.clear()
        self._metrics.set(metrics.Metric.IN_FLIGHT, self._in_flight)

    def _end_request(self) -> None:
        self._in_flight -= 1
        if not self._in_flight:
            self._idle.set()
        self._metrics.set(metrics.Metric.IN_FLIGHT, self._in_flight)

    def _record_outcome(
        self,
        exchange: base.Exchange | None,
        answer: base.Answer,
        millis: float,
    ) -> None:
        known = exchange is not None and bool(exchange.pipeline.stages)
        pipeline = exchange.pipeline.name if known else UNKNOWN_LABEL
        number = answer.code.value.number
        self._metrics.count(metrics.Metric.REQUESTS, pipeline, str(number))
        self._metrics.observe(
            metrics.Metric.ENDED_SECONDS, millis, str(number)
        )
        if known:
            self._metrics.observe(
                metrics.Metric.REQUEST_SECONDS,
                millis,
                exchange.pipeline.class_name,
            )
        events.log_event(
            _LOGGER,
            events.Event.REQUEST_FORWARDED,
            request=exchange.request if exchange else "",
            pipeline=pipeline,
            generation=exchange.rules.generation if exchange else 0,
            code=number,
            status=(
                answer.response.status
                if answer.response
                else answer.code.value.status
            ),
            detail=answer.detail,
            millis=round(millis),
        )


class _WholeResponse(web.Response):
    """The response of an endpoint, held until its caller has taken it.

    A large one is written in parts, as the transport copies what it cannot
    send at once.
    """

    def __init__(
        self, response: forwarded.Response, request: web.BaseRequest
    ) -> None:
        super().__init__(status=response.status, body=response.body)
        self._receipt = response.receipt
        self._connection: listener.Connection = request.protocol
        self._has_parts = len(
            response.body
        ) > PART_BYTES and not helpers.must_be_empty_body(
            request.method, response.status
        )

    async def write_eof(self, data: bytes = b"") -> None:
        """Send the body, and give back the memory that it took."""
        try:
            if self._has_parts:
                await self._write_parts()
            else:
                await super().write_eof(data)
        finally:
            # The web server refers to it until the next request.
            self.body = None
            if self._receipt is not None:
                self._receipt.release()

    async def _write_parts(self) -> None:
        body = memoryview(self.body)
        connection = self._connection
        try:
            for start in range(0, len(body), PART_BYTES):
                part = body[start : start + PART_BYTES]
                connection.unwritten_bytes = len(body) - start - len(part)
                await self.write(part)
            await web.StreamResponse.write_eof(self)
        finally:
            connection.unwritten_bytes = 0


class EventRelay(forwarded.Relay):
    """Relays a stream of events over a caller's connection.

    Parameters
    ----------
    request : BaseRequest
        The caller's request.

    Attributes
    ----------
    response : StreamResponse or None
        The response whose head has been sent.
    """

    def __init__(self, request: web.BaseRequest) -> None:
        super().__init__()
        self._request = request
        self.response: web.StreamResponse | None = None

    async def send_head(self, response: forwarded.Response) -> None:
        """Send the head; see `Relay.send_head`."""
        self.head_sent = True
        self.response = web.StreamResponse(status=response.status)
        _set_headers(self.response, response.headers)
        try:
            await self.response.prepare(self._request)
        except ConnectionError as error:
            raise exceptions.CallerGone(str(error)) from error
        self.on_head_sent()

    async def write(self, data: bytes) -> None:
        """Send events; see `Relay.write`."""
        try:
            async with asyncio.timeout(WRITE_TIMEOUT_SECONDS):
                await self.response.write(data)
        except (ConnectionError, TimeoutError) as error:
            raise exceptions.CallerGone(str(error)) from error


def _header_bytes(header: tuple[str, str]) -> int:
    name, value = header
    return len(name) + len(value)


def _set_headers(
    response: web.StreamResponse, headers: forwarded.Headers
) -> None:
    for name, value in headers:
        if name.lower() == "content-type":
            response.headers[name] = value
        else:
            response.headers.add(name, value)
