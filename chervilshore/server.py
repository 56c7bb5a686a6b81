"""The HTTP interface for callers and operators."""

import asyncio
from collections import abc as collections_abc
import logging
import math
import typing
import uuid

from aiohttp import web
import msgspec

from chervilshore import clock as clocks
from chervilshore import events
from chervilshore import exceptions
from chervilshore.filters import base
from chervilshore import ids
from chervilshore import metriclabels
from chervilshore import metrics
from chervilshore import requestcounts
from chervilshore import results

REQUEST_HEADER = "X-Request-Id"
"""The header with the id of a request, in requests and answers."""

CODE_HEADER = "X-Result-Code"
"""The header with the number of the result code."""

MAX_REQUEST_ID_CHARS = 100
"""Characters to which a request id of a caller is truncated."""

BODY_TIMEOUT_SECONDS = 10.0
"""Seconds that a caller has to send the body of a request."""

END_TIMEOUT_SECONDS = 5.0
"""Seconds that a caller has to read the end of a streamed answer."""

UNKNOWN_LABEL = "unknown"
"""The metric label of requests for unknown pipelines."""

DRAIN_RETRY_AFTER_MS = 0.0
"""Retry-After in milliseconds on a draining host: callers may try another
host immediately."""

_LOGGER = logging.getLogger(__name__)


class Body(msgspec.Struct, omit_defaults=False):
    """The body of every answer.

    Parameters
    ----------
    request : str
        The request's id.
    code : int
        The number of the result code.
    name : str
        The name of the result code.
    family : str
        The family of the result code.
    result : Raw or None
        The output of the last stage.
    detail : str
        Additional information for the caller.
    retry_after_ms : float or None
        Milliseconds after which the caller may retry.
    replayed : bool
        Whether this is the recorded answer of an earlier request.
    end : bool
        The end mark, always true; an answer without it is incomplete.
    """

    request: str
    code: int
    name: str
    family: str
    result: msgspec.Raw | None = None
    detail: str = ""
    retry_after_ms: float | None = None
    replayed: bool = False
    end: bool = True


def encode_body(request: ids.RequestId, answer: base.Answer) -> bytes:
    """Encode the body of an answer as JSON."""
    code = answer.code.value
    body = Body(
        request=request,
        code=code.number,
        name=answer.code.name,
        family=code.family.value,
        result=msgspec.Raw(answer.body) if answer.body else None,
        detail=answer.detail,
        retry_after_ms=answer.retry_after_ms,
        replayed=answer.replayed,
    )
    return msgspec.json.encode(body)


Section = collections_abc.Callable[[], typing.Any]
"""Returns one section of the admin view as data that JSON can encode."""


class Server:
    """Serves the requests of callers and the health and admin views.

    Parameters
    ----------
    clock : Clock
        Measures the durations of requests.
    handle : Proceed
        The complete chain of filters.
    counters : Metrics
        Counts requests and records their durations.
    body_bytes : int
        The largest body of a request, in bytes.

    Attributes
    ----------
    draining : bool
        Whether new requests are refused.
    ready : callable
        Returns whether the host can serve requests.
    sections : dict of str to Section
        The sections of the admin view.
    body_timeout_seconds : float
        Seconds that a caller has to send the body of a request.
    end_timeout_seconds : float
        Seconds that a caller has to read the end of a streamed answer.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        handle: base.Proceed,
        counters: metrics.Metrics,
        body_bytes: int = 1_000_000,
    ) -> None:
        self.draining = False
        self.ready: collections_abc.Callable[[], bool] = lambda: True
        self.sections: dict[str, Section] = {}
        self.body_timeout_seconds = BODY_TIMEOUT_SECONDS
        self.end_timeout_seconds = END_TIMEOUT_SECONDS
        self._request_counts = requestcounts.RequestCounts()
        self._clock = clock
        self._handle = handle
        self._metrics = counters
        self._body_bytes = body_bytes
        self._labels = metriclabels.TeamLabels()
        self._in_flight = 0
        self._idle = asyncio.Event()
        self._idle.set()

    def make_app(self) -> web.Application:
        """Create the web application."""
        app = web.Application(client_max_size=self._body_bytes)
        app.router.add_post("/v1/pipelines/{name}", self._serve)
        app.router.add_get("/health/live", self._show_live)
        app.router.add_get("/health/ready", self._show_ready)
        app.router.add_get("/metrics", self._show_metrics)
        app.router.add_get("/admin/state", self._show_state)
        return app

    async def wait_idle(self) -> None:
        """Wait until no request is in flight."""
        await self._idle.wait()

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        writer = _ResponseWriter(
            request, self._read_request_id(request), self.end_timeout_seconds
        )
        started = self._clock.now()
        exchange: base.Exchange | None = None
        self._begin_request()
        try:
            refusal = self._refuse_draining() if self.draining else None
            if refusal is None:
                exchange, refusal = await self._read(request, writer, started)
            answer = refusal or await self._handle(exchange)
            response = await writer.end(answer)
        finally:
            self._end_request()
        self._record_outcome(answer, exchange, self._clock.now() - started)
        return response

    def _refuse_draining(self) -> base.Answer:
        return base.Answer(
            results.Code.DRAINING, retry_after_ms=DRAIN_RETRY_AFTER_MS
        )

    async def _read(
        self, request: web.Request, writer: "_ResponseWriter", started: float
    ) -> tuple[base.Exchange | None, base.Answer | None]:
        try:
            async with asyncio.timeout(self.body_timeout_seconds):
                raw = await request.read()
        except TimeoutError:
            return None, base.Answer(results.Code.BODY_LATE)
        except web.HTTPRequestEntityTooLarge:
            detail = f"at most {self._body_bytes} bytes"
            return None, base.Answer(
                results.Code.BODY_TOO_LARGE, detail=detail
            )
        headers = {
            name.lower(): value for name, value in request.headers.items()
        }
        streams = "text/event-stream" in headers.get("accept", "")
        exchange = base.Exchange(
            request=writer.request_id,
            pipeline_name=ids.PipelineName(request.match_info["name"]),
            headers=headers,
            raw=raw,
            arrived_at=started,
            sink=writer.write_text if streams else None,
        )
        return exchange, None

    def _read_request_id(self, request: web.Request) -> ids.RequestId:
        given = request.headers.get(REQUEST_HEADER, "")
        plain = given.isascii() and given.isprintable()
        # Bindings join ids with slashes, so a slash in an id is ambiguous.
        if given and plain and "/" not in given:
            return ids.RequestId(given[:MAX_REQUEST_ID_CHARS])
        return ids.RequestId(uuid.uuid4().hex)

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
        answer: base.Answer,
        exchange: base.Exchange | None,
        millis: float,
    ) -> None:
        # Arbitrary names from callers must not become metric labels.
        known = exchange is not None and exchange.pipeline.stages
        pipeline = exchange.pipeline.name if known else UNKNOWN_LABEL
        self._request_counts.count(pipeline, answer.code)
        number = str(answer.code.value.number)
        self._metrics.count(metrics.Metric.REQUESTS, pipeline, number)
        if not known:
            return
        self._metrics.observe(
            metrics.Metric.REQUEST_SECONDS,
            millis,
            exchange.pipeline.class_name,
        )
        team = self._labels.choose(exchange.team, exchange.rules)
        self._metrics.observe(metrics.Metric.TEAM_SECONDS, millis, team)

    async def _show_live(self, request: web.Request) -> web.Response:
        return web.json_response({"live": True})

    async def _show_ready(self, request: web.Request) -> web.Response:
        ready = self.ready() and not self.draining
        return web.json_response(
            {"ready": ready, "draining": self.draining},
            status=200 if ready else 503,
        )

    async def _show_metrics(self, request: web.Request) -> web.Response:
        return web.Response(
            body=self._metrics.render(), content_type="text/plain"
        )

    async def _show_state(self, request: web.Request) -> web.Response:
        state = {name: show() for name, show in self.sections.items()}
        state["ready"] = self.ready()
        state["draining"] = self.draining
        state["in_flight"] = self._in_flight
        state["pipelines"] = self._request_counts.describe_pipelines()
        state["refusals"] = self._request_counts.describe_refusals()
        return web.Response(
            body=msgspec.json.encode(state), content_type="application/json"
        )


class _ResponseWriter:
    """Writes one answer, as JSON or as a stream of events.

    A stream starts with the first part of the text. An answer that ends
    before that is plain JSON with its own HTTP status.
    """

    def __init__(
        self,
        request: web.Request,
        request_id: ids.RequestId,
        end_timeout_seconds: float,
    ) -> None:
        self.request_id = request_id
        self._end_timeout_seconds = end_timeout_seconds
        self._request = request
        self._stream: web.StreamResponse | None = None

    async def write_text(self, text: str) -> None:
        """Stream a part of the text of the answer.

        Raises
        ------
        exceptions.CallerGone
            The caller's connection has closed.
        """
        data = msgspec.json.encode({"text": text})
        try:
            if self._stream is None:
                self._stream = await self._begin()
            await self._stream.write(b"event: text\ndata: " + data + b"\n\n")
        except ConnectionError as error:
            # The HTTP client of the endpoints raises ConnectionError too; the
            # failure of the caller must not count as one of the endpoint.
            raise exceptions.CallerGone(self.request_id) from error

    async def _begin(self) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                "Cache-Control": "no-store",
                REQUEST_HEADER: self.request_id,
            }
        )
        await response.prepare(self._request)
        return response

    async def end(self, answer: base.Answer) -> web.StreamResponse:
        """Write the end of the answer."""
        body = encode_body(self.request_id, answer)
        if self._stream is None:
            return self._make_response(answer, body)
        try:
            # A caller that does not read must not keep the request in flight.
            async with asyncio.timeout(self._end_timeout_seconds):
                await self._stream.write(
                    b"event: end\ndata: " + body + b"\n\n"
                )
                await self._stream.write_eof()
        except (ConnectionError, TimeoutError):
            if self._request.transport is not None:
                self._request.transport.abort()
            events.log_event(
                _LOGGER, events.Event.CALLER_GONE, request=self.request_id
            )
        return self._stream

    def _make_response(self, answer: base.Answer, body: bytes) -> web.Response:
        headers = {
            REQUEST_HEADER: self.request_id,
            CODE_HEADER: str(answer.code.value.number),
        }
        if answer.retry_after_ms is not None:
            seconds = math.ceil(answer.retry_after_ms / 1000.0)
            headers["Retry-After"] = str(seconds)
        return web.Response(
            body=body,
            status=answer.code.value.status,
            headers=headers,
            content_type="application/json",
        )
