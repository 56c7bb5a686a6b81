"""Stand-ins of the users' workers: plain, model and preparing ones."""

import asyncio
import itertools

from aiohttp import web
import msgspec

STAMP = "stamp"


class WorkerFaults(msgspec.Struct):
    """What goes wrong at a worker.

    Parameters
    ----------
    shed : int
        Requests that are refused as not run.
    fail : int
        Requests that are run and answered with 500.
    reset : int
        Requests after which the connection is cut without an answer.
    cut_after : int
        Events after which a stream is cut; negative for never.
    mute : bool
        Whether requests are taken and never answered.
    cross : bool
        Whether answers carry another request's id.
    extra : bool
        Whether bytes follow a whole answer.
    cut_body : bool
        Whether an answer ends before its whole body.
    gone : int
        Calls whose inputs are said to be gone.
    """

    shed: int = 0
    fail: int = 0
    reset: int = 0
    cut_after: int = -1
    mute: bool = False
    cross: bool = False
    extra: bool = False
    cut_body: bool = False
    gone: int = 0


class Worker:
    """A worker of any service.

    Parameters
    ----------
    name : str
        Its id.
    events : int
        Events of a stream; 0 for plain answers.
    millis : float
        Milliseconds that a plain request or a piece call takes.

    Attributes
    ----------
    runs : list of str
        The ids of the requests that it ran, one entry a run.
    seen : list of dict
        The headers of all requests that arrived, in lower case.
    calls : list of list
        The items of each call for pieces.
    freed : list of str
        Handles that were given up.
    busy : int
        Calls for pieces that are worked on.
    """

    def __init__(
        self, name: str, events: int = 0, millis: float = 1.0
    ) -> None:
        self.name = name
        self.faults = WorkerFaults()
        self.runs: list[str] = []
        self.received: list[dict[str, str]] = []
        self.bodies: list[bytes] = []
        self.batch_calls: list[list[dict]] = []
        self.freed_handles: list[str] = []
        self.cancelled_requests = 0
        self.active_batch_calls = 0
        self.address = ""
        self._events = events
        self._millis = millis
        self._handles = itertools.count()
        self._runner: web.ServerRunner | None = None

    async def start(self, host: str = "127.0.0.1") -> str:
        """Listen; return the address."""
        server = web.Server(self._serve, handler_cancellation=True)
        self._runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, host, 0).start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"
        return self.address

    async def stop(self) -> None:
        """Stop listening and cut every connection."""
        await self._runner.cleanup()

    def describe(self, service: str, zone: str, **changes) -> dict:
        """Write the entry by which the worker registers."""
        return {
            "service": service,
            "addr": self.address,
            "zone": zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "call_seq": 0,
        } | changes

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        headers = {
            name.lower(): value for name, value in request.headers.items()
        }
        body = await request.read()
        expected = headers.get("chervilshore-expect-instance", self.name)
        if expected != self.name:
            return web.Response(
                status=421,
                headers={"Chervilshore-Instance-Id": self.name},
            )
        if request.path == "/stage-free":
            self.freed_handles += msgspec.json.decode(body)["handles"]
            return web.json_response({})
        if request.path == "/stage-run":
            return await self._run_pieces(msgspec.json.decode(body))
        peer = request.transport.get_extra_info("peername")
        self.received.append(
            headers | {":path": request.raw_path, ":peer": str(peer)}
        )
        self.bodies.append(body)
        return await self._run(request, headers)

    async def _run_pieces(self, call: dict) -> web.Response:
        if self.faults.shed:
            self.faults.shed -= 1
            return self._refuse(503)
        self.batch_calls.append(call["items"])
        self.active_batch_calls += 1
        await asyncio.sleep(self._millis / 1000.0)
        self.active_batch_calls -= 1
        if self.faults.gone:
            self.faults.gone -= 1
            made = [{"reason": "gone"} for _ in call["items"]]
        else:
            made = [
                {"handle": f"{self.address}/{next(self._handles)}"}
                for _ in call["items"]
            ]
        return web.json_response({"items": made})

    def _refuse(self, status: int) -> web.Response:
        return web.Response(
            status=status, headers={"Chervilshore-Not-Executed": "1"}
        )

    async def _run(
        self, request: web.BaseRequest, headers: dict[str, str]
    ) -> web.StreamResponse:
        faults = self.faults
        if faults.shed:
            faults.shed -= 1
            return self._refuse(503)
        if faults.gone:
            faults.gone -= 1
            return self._refuse(409)
        attempt = headers.get("chervilshore-attempt-id", "")
        self.runs.append(attempt)
        if faults.mute:
            try:
                await asyncio.sleep(3600.0)
            except asyncio.CancelledError:
                self.cancelled_requests += 1
                raise
        if faults.reset:
            faults.reset -= 1
            request.transport.abort()
        answered = "someone-else" if faults.cross else attempt
        marks = {
            "Chervilshore-Attempt-Id": answered,
            "Chervilshore-Response-Stamp": f"{STAMP}.{self.name}",
        }
        if faults.fail:
            faults.fail -= 1
            return web.Response(status=500, headers=marks, body=b"failed")
        if self._events:
            return await self._stream(request, headers, marks)
        await asyncio.sleep(self._millis / 1000.0)
        return await self._answer(request, marks)

    async def _answer(
        self, request: web.BaseRequest, marks: dict[str, str]
    ) -> web.StreamResponse:
        content = f"answer of {self.name}".encode()
        response = web.StreamResponse(headers=marks)
        response.content_length = len(content)
        await response.prepare(request)
        if self.faults.cut_body:
            await response.write(content[:4])
            request.transport.close()
            return response
        await response.write(content)
        await response.write_eof()
        if self.faults.extra:
            request.transport.write(b"HTTP/1.1 200 OK\r\n\r\nextra")
        return response

    async def _stream(
        self,
        request: web.BaseRequest,
        headers: dict[str, str],
        marks: dict[str, str],
    ) -> web.StreamResponse:
        response = web.StreamResponse(
            headers=marks | {"Content-Type": "text/event-stream"}
        )
        await response.prepare(request)
        begin = int(headers.get("last-event-id", "0"))
        for number in range(begin + 1, self._events + 1):
            if number == self.faults.cut_after + 1:
                self.faults.cut_after = -1
                await response.write(b"id: 9")
                request.transport.abort()
                return response
            await response.write(f"id: {number}\ndata: x\n\n".encode())
            await asyncio.sleep(0)
        await response.write_eof()
        return response
