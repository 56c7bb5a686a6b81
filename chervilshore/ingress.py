"""The interface for callers whose requests are passed on unchanged."""

import asyncio
from collections import abc as collections_abc
import logging

from aiohttp import web
import msgspec

from chervilshore import clock as clocks
from chervilshore import events
from chervilshore import exceptions
from chervilshore.filters import base
from chervilshore import ids
from chervilshore import metrics
from chervilshore import passages
from chervilshore import results
from chervilshore.rules import model
from chervilshore import server

WRITE_SECONDS = 5.0
"""Seconds in which a caller must have taken what was written to it."""

UNKNOWN_LABEL = "unknown"
"""The label of requests that no route takes."""

RETRY_DECIMALS = 3
"""Decimals of the seconds after which a caller may come back."""

_LOGGER = logging.getLogger(__name__)

_RETRY_STATUSES = (429, 503)

Decode = collections_abc.Callable[
    [str, str, collections_abc.Sequence[tuple[str, str]], bytes],
    passages.Passage,
]
"""Makes a passage from method, target, headers and body."""


class Dialect(msgspec.Struct, frozen=True):
    """How requests are read.

    Parameters
    ----------
    decode : callable
        Makes a passage from method, target, headers and body; raises
        ValueError.
    read_request : callable
        Reads the request's id from headers with names in lower case.
    request_header : str
        The header by which the caller knows the answer again.
    """

    decode: Decode
    read_request: collections_abc.Callable[
        [collections_abc.Mapping[str, str]], str
    ]
    request_header: str


class Ingress:
    """Takes callers' requests.

    Parameters
    ----------
    clock : Clock
        Measures requests.
    handle : Proceed
        The whole chain of filters.
    counters : Metrics
        Counts requests.
    dialect : Dialect
        Reads requests.
    read_limits : callable
        Tells what callers may send.

    Attributes
    ----------
    draining : bool
        Whether connections end with the answers on them.
    closed : bool
        Whether new requests are refused, as they could not be finished.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        handle: base.Proceed,
        counters: metrics.Metrics,
        dialect: Dialect,
        read_limits: collections_abc.Callable[[], model.CallerLimits],
    ) -> None:
        self.draining = False
        self.closed = False
        self._clock = clock
        self._handle = handle
        self._metrics = counters
        self._dialect = dialect
        self._read_limits = read_limits
        self._in_flight = 0
        self._idle = asyncio.Event()
        self._idle.set()

    async def wait_idle(self) -> None:
        """Wait until no request is in flight."""
        await self._idle.wait()

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one request."""
        begun = self._clock.now()
        self._enter()
        answer = base.Answer(results.Code.CALLER_GONE)
        exchange = None
        relay = EventRelay(request)
        try:
            if self.closed:
                answer = base.Answer(
                    results.Code.DRAINING,
                    retry_after_ms=server.DRAIN_RETRY_MS,
                )
                return await self._write(request, relay, answer)
            exchange, answer = await self._read(request, relay, begun)
            if exchange is not None:
                answer = await self._handle(exchange)
            return await self._write(request, relay, answer)
        except ConnectionError:
            answer = base.Answer(results.Code.CALLER_GONE)
            raise
        finally:
            self._leave()
            self._count(exchange, answer, self._clock.now() - begun)

    async def _read(
        self, request: web.BaseRequest, relay: "EventRelay", begun: float
    ) -> tuple[base.Exchange | None, base.Answer]:
        limits = self._read_limits()
        refused = base.Answer(results.Code.BODY_TOO_LARGE)
        if (request.content_length or 0) > limits.body_bytes:
            return None, refused
        try:
            async with asyncio.timeout(server.READ_SECONDS):
                body = await request.content.read(-1)
        except TimeoutError:
            return None, base.Answer(results.Code.BODY_LATE)
        if len(body) > limits.body_bytes:
            return None, refused
        pairs = [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in request.raw_headers
        ]
        if sum(map(_count_bytes, pairs)) > limits.header_bytes:
            return None, base.Answer(results.Code.HEAD_TOO_LARGE)
        headers = {name.lower(): value for name, value in pairs}
        request_id = self._dialect.read_request(headers)
        if not request_id:
            return None, base.Answer(
                results.Code.BAD_HEADER, detail="the request has no id"
            )
        try:
            forwarded_request = self._dialect.decode(
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
            arrived_at=begun,
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
        found = answer.response
        if found is not None:
            response = web.Response(status=found.status, body=found.body)
            _set_headers(response, found.headers)
        else:
            response = self._make_refusal(request, answer)
        too_large = answer.code is results.Code.BODY_TOO_LARGE
        if self.draining or too_large:
            # The rest of a body that is not read must not be taken for
            # another request.
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
            # Without its end the stream cannot pass for a whole one.
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
        header = self._dialect.request_header
        request_id = request.headers.get(header)
        if request_id:
            response.headers[header] = request_id
        if code.status in _RETRY_STATUSES:
            seconds = (answer.retry_after_ms or 0.0) / 1000.0
            text = str(round(seconds, RETRY_DECIMALS))
            response.headers["Retry-After"] = text
        return response

    def _enter(self) -> None:
        self._in_flight += 1
        self._idle.clear()
        self._metrics.set(metrics.Metric.IN_FLIGHT, self._in_flight)

    def _leave(self) -> None:
        self._in_flight -= 1
        if not self._in_flight:
            self._idle.set()
        self._metrics.set(metrics.Metric.IN_FLIGHT, self._in_flight)

    def _count(
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


class EventRelay(passages.Relay):
    """Carries a stream of events over a caller's connection.

    Parameters
    ----------
    request : BaseRequest
        The caller's request.

    Attributes
    ----------
    response : StreamResponse or None
        The answer that has been begun.
    """

    def __init__(self, request: web.BaseRequest) -> None:
        super().__init__()
        self._request = request
        self.response: web.StreamResponse | None = None

    async def begin(self, response: passages.Response) -> None:
        """Send the head; see `Relay.begin`."""
        self.begun = True
        self.response = web.StreamResponse(status=response.status)
        _set_headers(self.response, response.headers)
        try:
            await self.response.prepare(self._request)
        except ConnectionError as error:
            raise exceptions.CallerGone(str(error)) from error
        self.on_begin()

    async def write(self, data: bytes) -> None:
        """Send events; see `Relay.write`."""
        try:
            async with asyncio.timeout(WRITE_SECONDS):
                await self.response.write(data)
        except (ConnectionError, TimeoutError) as error:
            raise exceptions.CallerGone(str(error)) from error


def _count_bytes(header: tuple[str, str]) -> int:
    name, value = header
    return len(name) + len(value)


def _set_headers(
    response: web.StreamResponse, headers: passages.Headers
) -> None:
    for name, value in headers:
        if name.lower() == "content-type":
            response.headers[name] = value
        else:
            response.headers.add(name, value)
