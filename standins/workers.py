"""Stand-ins of the users' workers: plain, model and batch workers."""

import asyncio
import itertools
import random

from aiohttp import web
import msgspec

from standins import repeats
from standins import workerfaults

SILENCE_SECONDS = 60.0
"""Seconds until a silent worker answers; no caller waits for so long."""

STAMP = "stamp"
"""First part of the stamp on answers of requests that ran."""


class Worker:
    """A worker of any service.

    Parameters
    ----------
    name : str
        The worker's instance id.
    events : int
        Events of a stream; 0 for plain answers.
    millis : float
        Milliseconds that a plain request or a batch call takes.
    version : str
        The version of its software.
    text : str
        The data of each event.
    event_ms : float
        Milliseconds between two events.
    born : int
        Unix millisecond of its start; 0 if it does not say.
    slots : int
        Requests that it runs at a time; it refuses others. 0 for no limit.

    Attributes
    ----------
    runs : list of str
        Attempt ids of the requests that ran, one entry for each run.
    received : list of dict
        The headers of all requests, with names in lower case.
    received_at : list of float
        When they arrived, in seconds of the event loop.
    arrivals : list of tuple
        When each request arrived that names itself, with those for another
        instance, and its attempt id.
    failures : list of tuple
        Attempt id and status of each stamped failure.
    repeater : Repeater
        Writes earlier responses once more.
    version_faults : VersionFaults
        The faults of its version.
    active : int
        Requests in progress.
    failed : int
        Requests that failed by a fault of its version.
    on_crash : callable
        Called when a request ends the worker.
    bodies : list of bytes
        The bodies of all requests.
    batch_calls : list of list
        The items of each batch call.
    freed_handles : list of str
        Handles that callers gave back.
    cancelled_requests : int
        Requests whose caller disconnected under the fault `mute`.
    active_batch_calls : int
        Batch calls that are running.
    """

    def __init__(
        self,
        name: str,
        events: int = 0,
        millis: float = 1.0,
        version: str = "v1",
        text: str = "x",
        event_ms: float = 0.0,
        born: int = 0,
        slots: int = 0,
    ) -> None:
        self.name = name
        self.version = version
        self.faults = workerfaults.WorkerFaults()
        self.version_faults = workerfaults.VersionFaults()
        self.active = 0
        self.failed = 0
        self._random = random.Random(name)
        self.repeater = repeats.Repeater(self._random)
        self.runs: list[str] = []
        self.received: list[dict[str, str]] = []
        self.received_at: list[float] = []
        self.arrivals: list[tuple[float, str]] = []
        self.failures: list[tuple[str, int]] = []
        self.on_crash = lambda: None
        self.bodies: list[bytes] = []
        self.batch_calls: list[list[dict]] = []
        self.freed_handles: list[str] = []
        self.cancelled_requests = 0
        self.active_batch_calls = 0
        self.address = ""
        self._events = events
        self._text = text
        self._event_ms = event_ms
        self._born = born
        self._slots = slots
        self._millis = millis
        self._handles = itertools.count()
        self._has_crashed = False
        self._runner: web.ServerRunner | None = None
        self._site: web.TCPSite | None = None

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> str:
        """Listen; return the address as ``host:port``."""
        server = web.Server(self._serve, handler_cancellation=True)
        self._runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await self._runner.setup()
        self._site = web.TCPSite(self._runner, host, port)
        await self._site.start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"
        return self.address

    async def stop(self) -> None:
        """Stop listening and close every connection."""
        await self._runner.cleanup()

    async def crash(self) -> None:
        """Reset every connection, and stop listening now or soon after."""
        if self._has_crashed:
            return
        self._has_crashed = True
        self.on_crash()
        if self.faults.crash_linger_s:
            self._reset_connections()
            await asyncio.sleep(self.faults.crash_linger_s)
        await self._site.stop()
        self._reset_connections()

    def _reset_connections(self) -> None:
        for connection in self._runner.server.connections:
            if connection.transport is not None:
                connection.transport.abort()

    def describe(self, service: str, zone: str, **changes) -> dict:
        """Return the store entry by which the worker registers."""
        return {
            "service": service,
            "addr": self.address,
            "zone": zone,
            "version": self.version,
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "call_seq": 0,
            "born": self._born,
        } | changes

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        headers = {
            name.lower(): value for name, value in request.headers.items()
        }
        body = await request.read()
        if self._has_crashed:
            await asyncio.sleep(SILENCE_SECONDS)
        attempt = headers.get("chervilshore-attempt-id", "")
        if attempt:
            now = asyncio.get_running_loop().time()
            self.arrivals.append((now, attempt))
        expected_instance = headers.get(
            "chervilshore-expect-instance", self.name
        )
        if expected_instance != self.name:
            return web.Response(
                status=421,
                headers={"Chervilshore-Instance-Id": self.name}
                | _echo_attempt(headers),
            )
        if request.path == "/report":
            if self.faults.silent_reports:
                await asyncio.sleep(SILENCE_SECONDS)
            return web.json_response({"queued": 0, "born": self._born})
        if request.path == "/stage-free":
            self.freed_handles += msgspec.json.decode(body)["handles"]
            return web.json_response({})
        if request.path == "/stage-run":
            return await self._run_batch_call(msgspec.json.decode(body))
        peer = request.transport.get_extra_info("peername")
        self.received.append(
            headers | {":path": request.raw_path, ":peer": str(peer)}
        )
        self.received_at.append(asyncio.get_running_loop().time())
        self.bodies.append(body)
        self.active += 1
        self.repeater.begin(request.transport, attempt)
        try:
            return await self._run(request, headers)
        finally:
            self.active -= 1

    async def _run_batch_call(self, call: dict) -> web.Response:
        if self.faults.shed:
            self.faults.shed -= 1
            return self._refuse_unexecuted(503, {})
        self.batch_calls.append(call["items"])
        self.active_batch_calls += 1
        has_failed, factor = self._apply_version_faults(
            "", self.active_batch_calls
        )
        await asyncio.sleep(factor * self._millis / 1000.0)
        self.active_batch_calls -= 1
        if has_failed:
            results = [{"reason": "error"} for _ in call["items"]]
        elif self.faults.gone:
            self.faults.gone -= 1
            results = [{"reason": "gone"} for _ in call["items"]]
        else:
            results = [
                {"handle": f"{self.address}/{next(self._handles)}"}
                for _ in call["items"]
            ]
        return web.json_response(
            {"items": results}, headers=self._make_notice()
        )

    def _refuse_unexecuted(
        self, status: int, request_headers: dict[str, str]
    ) -> web.Response:
        headers = {"Chervilshore-Not-Executed": "1"} | self._make_notice()
        headers |= _echo_attempt(request_headers)
        if self.faults.retry_after:
            headers["Retry-After"] = self.faults.retry_after
        return web.Response(status=status, headers=headers)

    def _make_notice(self) -> dict[str, str]:
        """Return the headers in which the worker speaks of itself."""
        notice = {}
        if self.faults.limit:
            notice["Server-Limit"] = self.faults.limit
        if self.faults.brittle:
            notice["Server-Brittle"] = self.faults.brittle
        if self.faults.leaving:
            notice["Server-Leaving"] = "1"
        return notice

    async def _run(
        self, request: web.BaseRequest, headers: dict[str, str]
    ) -> web.StreamResponse:
        faults = self.faults
        refusal_status = self._choose_refusal()
        if refusal_status:
            refusal = self._refuse_unexecuted(refusal_status, headers)
            self.repeater.end(
                request.transport, True, refusal, b"", faults.repeat
            )
            return refusal
        attempt = headers.get("chervilshore-attempt-id", "")
        self.runs.append(attempt)
        self.repeater.write_earlier(request.transport, faults.repeat)
        if faults.mute:
            try:
                await asyncio.sleep(3600.0)
            except asyncio.CancelledError:
                self.cancelled_requests += 1
                raise
        if faults.reset:
            faults.reset -= 1
            request.transport.abort()
        if faults.crash_body and faults.crash_body == self.bodies[-1]:
            await self.crash()
        answered_id = "someone-else" if faults.cross else attempt
        response_headers = {
            "Chervilshore-Attempt-Id": answered_id,
            "Chervilshore-Response-Stamp": f"{STAMP}.{self.name}",
        } | self._make_notice()
        failure_status = self._choose_failure(headers)
        has_failed, factor = self._apply_version_faults(
            request.path, self.active
        )
        if failure_status or has_failed:
            status = failure_status or 500
            self.failures.append((attempt, status))
            return web.Response(
                status=status, headers=response_headers, body=b"failed"
            )
        if self._events:
            return await self._stream(
                request, headers, response_headers, factor
            )
        await asyncio.sleep(factor * self._millis / 1000.0)
        return await self._answer(request, response_headers)

    def _choose_refusal(self) -> int:
        """Return the status with which a request is refused; 0 for none."""
        if self.faults.shed:
            self.faults.shed -= 1
            return 503
        if self.faults.gone:
            self.faults.gone -= 1
            return 409
        if self._slots and self.active > self._slots:
            return self._random.choice((429, 503))
        return 0

    def _choose_failure(self, headers: dict[str, str]) -> int:
        """Return the status with which a run fails; 0 for none."""
        faults = self.faults
        if faults.fail:
            faults.fail -= 1
            return 500
        if faults.unmarked:
            faults.unmarked -= 1
            return self._random.choice((408, 429, 503))
        if faults.fail_resumed and "last-event-id" in headers:
            faults.fail_resumed -= 1
            return self._random.choice((404, 500, 503))
        return 0

    def _apply_version_faults(
        self, path: str, active: int
    ) -> tuple[bool, float]:
        """Return whether a request fails, and the factor on its time."""
        faults = self.version_faults
        now = asyncio.get_running_loop().time()
        if not faults.concern(path, active, now):
            return False, 1.0
        if self._random.random() < faults.fail_share:
            self.failed += 1
            return True, 1.0
        if self._random.random() < faults.slow_share:
            return False, faults.slow_factor
        return False, 1.0

    async def _answer(
        self, request: web.BaseRequest, response_headers: dict[str, str]
    ) -> web.StreamResponse:
        content = f"answer of {self.name}".encode()
        content = content.ljust(self.faults.body_bytes)
        response = web.StreamResponse(headers=response_headers)
        response.content_length = len(content)
        await response.prepare(request)
        if self.faults.cut_body:
            await response.write(content[:4])
            request.transport.close()
            return response
        await response.write(content)
        await response.write_eof()
        self.repeater.end(
            request.transport, False, response, content, self.faults.repeat
        )
        if self.faults.extra:
            request.transport.write(b"HTTP/1.1 200 OK\r\n\r\nextra")
        return response

    async def _stream(
        self,
        request: web.BaseRequest,
        headers: dict[str, str],
        response_headers: dict[str, str],
        factor: float,
    ) -> web.StreamResponse:
        response = web.StreamResponse(
            headers=response_headers | {"Content-Type": "text/event-stream"}
        )
        await response.prepare(request)
        last_event_id = int(headers.get("last-event-id", "0"))
        for number in range(last_event_id + 1, self._events + 1):
            if self.faults.is_crash(headers, number):
                await self.crash()
                return response
            if self._is_cut(number, last_event_id):
                await response.write(b"id: 9")
                request.transport.abort()
                return response
            event = f"id: {number}\ndata: {self._text}\n\n"
            await response.write(event.encode())
            await asyncio.sleep(factor * self._event_ms / 1000.0)
        await response.write_eof()
        return response

    def _is_cut(self, number: int, last_event_id: int) -> bool:
        """Return whether a stream is cut before its event of this number."""
        faults = self.faults
        if number == faults.cut_after + 1:
            faults.cut_after = -1
            return True
        is_new = not last_event_id
        return is_new and bool(faults.cut_new) and number > faults.cut_new


def _echo_attempt(headers: dict[str, str]) -> dict[str, str]:
    """Return the header by which a response names its request, if it can."""
    attempt = headers.get("chervilshore-attempt-id")
    return {"Chervilshore-Attempt-Id": attempt} if attempt else {}
