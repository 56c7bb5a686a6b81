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
from chervilshore import metrics
from chervilshore import results
from chervilshore import tallies

REQUEST_HEADER = "X-Request-Id"
CODE_HEADER = "X-Result-Code"
MOST_REQUEST_ID = 100
"""Characters that a caller's request id may have."""

READ_SECONDS = 10.0
"""Seconds in which the body of a request must have come."""

END_SECONDS = 5.0
"""Seconds in which a caller must have taken the end of its answer."""

UNKNOWN_LABEL = "unknown"
"""The label of pipelines that no rule names."""

DRAIN_RETRY_MS = 0.0
"""A draining host's callers may go to another host at once."""

_LOGGER = logging.getLogger(__name__)


class Body(msgspec.Struct, omit_defaults=False):
    """The body of every answer; ``end`` is its end mark.

    Parameters
    ----------
    request : str
        The request's id.
    code : int
        The number of the result code.
    name : str
        Its name.
    family : str
        Its family.
    result : Raw or None
        What the last stage made.
    detail : str
        What the caller should know besides.
    retry_after_ms : float or None
        Milliseconds after which the caller may come back.
    replayed : bool
        Whether this is the recorded answer of an earlier request.
    end : bool
        Always true; an answer without it is not whole.
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


def write_body(request: ids.RequestId, answer: base.Answer) -> bytes:
    """Write the body of an answer."""
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
"""Gives one part of the admin view as JSON-able data."""


class Server:
    """Takes callers' requests and shows the daemon's state.

    Parameters
    ----------
    clock : Clock
        Measures requests.
    handle : Proceed
        The whole chain of filters.
    counters : Metrics
        Counts requests.
    body_bytes : int
        Bytes that a body may have.

    Attributes
    ----------
    draining : bool
        Whether new requests are refused.
    ready : callable
        Tells whether the host can serve.
    sections : dict of str to Section
        The parts of the admin view.
    read_seconds : float
        Seconds in which a body must have come.
    end_seconds : float
        Seconds in which a caller must have taken the end of its answer.
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
        self.read_seconds = READ_SECONDS
        self.end_seconds = END_SECONDS
        self._tallies = tallies.Tallies()
        self._clock = clock
        self._handle = handle
        self._metrics = counters
        self._body_bytes = body_bytes
        self._labels = metrics.TeamLabels()
        self._in_flight = 0
        self._idle = asyncio.Event()
        self._idle.set()

    def make_app(self) -> web.Application:
        """Make the web application."""
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
        writer = _Writer(
            request, self._read_request_id(request), self.end_seconds
        )
        begun = self._clock.now()
        exchange: base.Exchange | None = None
        self._enter()
        try:
            refusal = self._refuse_draining() if self.draining else None
            if refusal is None:
                exchange, refusal = await self._read(request, writer, begun)
            answer = refusal or await self._handle(exchange)
            response = await writer.end(answer)
        finally:
            self._leave()
        self._count(answer, exchange, self._clock.now() - begun)
        return response

    def _refuse_draining(self) -> base.Answer:
        return base.Answer(
            results.Code.DRAINING, retry_after_ms=DRAIN_RETRY_MS
        )

    async def _read(
        self, request: web.Request, writer: "_Writer", begun: float
    ) -> tuple[base.Exchange | None, base.Answer | None]:
        try:
            async with asyncio.timeout(self.read_seconds):
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
            arrived_at=begun,
            sink=writer.write_text if streams else None,
        )
        return exchange, None

    def _read_request_id(self, request: web.Request) -> ids.RequestId:
        given = request.headers.get(REQUEST_HEADER, "")
        plain = given.isascii() and given.isprintable()
        # A slash would blur the parts of a binding.
        if given and plain and "/" not in given:
            return ids.RequestId(given[:MOST_REQUEST_ID])
        return ids.RequestId(uuid.uuid4().hex)

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
        answer: base.Answer,
        exchange: base.Exchange | None,
        millis: float,
    ) -> None:
        # Names that a caller made up must not become labels.
        known = exchange is not None and exchange.pipeline.stages
        pipeline = exchange.pipeline.name if known else UNKNOWN_LABEL
        self._tallies.count(pipeline, answer.code)
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
        state["pipelines"] = self._tallies.describe_pipelines()
        state["refusals"] = self._tallies.describe_refusals()
        return web.Response(
            body=msgspec.json.encode(state), content_type="application/json"
        )


class _Writer:
    """Writes one answer, as JSON or as a stream of events.

    A stream begins with the first piece of text. An answer that ends
    before that is plain JSON with its own HTTP status.
    """

    def __init__(
        self,
        request: web.Request,
        request_id: ids.RequestId,
        end_seconds: float,
    ) -> None:
        self.request_id = request_id
        self._end_seconds = end_seconds
        self._request = request
        self._stream: web.StreamResponse | None = None

    async def write_text(self, text: str) -> None:
        """Pass on a piece of text.

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
            # It must not pass for an error of the endpoint, whose client
            # library raises the same one.
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
        body = write_body(self.request_id, answer)
        if self._stream is None:
            return self._make_response(answer, body)
        try:
            # A caller that does not read must not keep the request open.
            async with asyncio.timeout(self._end_seconds):
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
