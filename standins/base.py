"""Base class, faults and counters of the endpoint stand-ins."""

import abc
import asyncio
import itertools
import math
import random

from aiohttp import web
import msgspec

BINDING_HEADER = "X-Request-Id"
INSTANCE_HEADER = "X-Instance-Id"
COLD_HEADER = "X-Cold"
LOAD_HEADER = "X-Load"

CUT_OFF_CALL_SECONDS = 60.0
"""Seconds for which a call from a caller behind a network cut hangs."""

COLD_PROPAGATION_MS = 20.0
"""Milliseconds within which all callers learn from the first answer or
dropped connection that the endpoint is cold."""


class Faults(msgspec.Struct):
    """Faults that an endpoint injects.

    Parameters
    ----------
    slow : float
        Factor on every service time.
    fail : float
        Fraction of calls that are answered with an error.
    lose : float
        Fraction of calls whose connection is aborted after the call ran.
    reset : float
        Fraction of calls whose connection is aborted before the call runs.
    cut_after : int
        Tokens after which a stream is aborted; negative for never.
    cross : float
        Fraction of answers that carry the request id of another call.
    hold_ms : float
        Milliseconds added to every service time.
    deaf : bool
        Whether calls are accepted and never answered.
    cut : list of str
        IP addresses of callers whose calls hang, as in a network cut.
    """

    slow: float = 1.0
    fail: float = 0.0
    lose: float = 0.0
    reset: float = 0.0
    cut_after: int = -1
    cross: float = 0.0
    hold_ms: float = 0.0
    deaf: bool = False
    cut: list[str] = []


class Shape(msgspec.Struct):
    """Concurrency, service times and cold behaviour of an endpoint.

    Parameters
    ----------
    slots : int
        Calls that it processes concurrently; further calls wait.
    service_ms : float
        Milliseconds that a call takes, without its tokens.
    token_ms : float
        Milliseconds to generate one token.
    cold : int
        Maximum number of calls in flight while it is cold.
    cold_ms : float
        Milliseconds for which it stays cold.
    cold_factor : float
        Factor on service times while it is cold.
    fall_ms : float
        Milliseconds for which it aborts every connection after more than
        `cold` calls were in flight while it was cold.
    """

    slots: int = 4
    service_ms: float = 5.0
    token_ms: float = 2.0
    cold: int = 1
    cold_ms: float = 3000.0
    cold_factor: float = 2.0
    fall_ms: float = 1000.0


class Counts(msgspec.Struct):
    """Counters of an endpoint.

    Parameters
    ----------
    calls : int
        Calls that arrived.
    done : int
        Calls that were completed.
    cancelled : int
        Calls whose caller disconnected.
    tokens : int
        Tokens generated.
    overruns : int
        Calls that exceeded the limit of calls in flight of a cold endpoint.
    late_overruns : int
        Overruns later than `COLD_PROPAGATION_MS` after the first signal
        that the endpoint is cold.
    most_cold : int
        Highest number of calls in flight while it was cold.
    in_flight : int
        Calls in flight now.
    last_call_ms : float
        Time of the last call, on the loop's clock.
    runs : dict
        Number of runs by idempotency key.
    """

    calls: int = 0
    done: int = 0
    cancelled: int = 0
    tokens: int = 0
    overruns: int = 0
    late_overruns: int = 0
    most_cold: int = 0
    in_flight: int = 0
    last_call_ms: float = 0.0
    runs: dict[str, int] = {}


async def block_if_cut_off(request: web.Request, cut: list[str]) -> None:
    """Let a call from an address in `cut` hang, then abort its connection."""
    if request.remote in cut:
        await asyncio.sleep(CUT_OFF_CALL_SECONDS)
        request.transport.abort()
        raise asyncio.CancelledError


class ConnectionDropped(Exception):
    """Aborts the connection of a call without an answer."""


class Endpoint(abc.ABC):
    """An endpoint stand-in that injects faults on request.

    Parameters
    ----------
    name : str
        The endpoint's name.
    shape : Shape
        Concurrency, service times and cold behaviour.
    seed : int
        Seed of the random faults.
    """

    def __init__(self, name: str, shape: Shape, seed: int = 0) -> None:
        self.name = name
        self.shape = shape
        self.faults = Faults()
        self.counts = Counts()
        self._random = random.Random(f"{name}/{seed}")
        self._instances = itertools.count(1)
        self._instance = ""
        self._cold_until_ms = 0.0
        self._overloaded_until_ms = 0.0
        self._cold_signal_ms = math.inf
        self._slots = asyncio.Semaphore(shape.slots)
        self._recent_bindings: list[str] = []

    def now(self) -> float:
        """Return the loop's time in milliseconds."""
        return asyncio.get_running_loop().time() * 1000.0

    def reset_to_cold(self) -> None:
        """Become cold under a new instance id, like a restarted process."""
        self._instance = f"{self.name}-{next(self._instances)}"
        self._cold_until_ms = self.now() + self.shape.cold_ms
        self._cold_signal_ms = math.inf

    def set_warm(self) -> None:
        """End the cold period."""
        self._cold_until_ms = 0.0

    @property
    def is_cold(self) -> bool:
        """Whether the endpoint is cold now."""
        return self.now() < self._cold_until_ms

    def make_app(self) -> web.Application:
        """Return the server, with the routes to set faults and read counts."""
        app = web.Application(client_max_size=16 * 1024 * 1024)
        self.add_routes(app)
        app.router.add_get("/standin/counts", self._show_counts)
        app.router.add_post("/standin/faults", self._set_faults)
        app.router.add_post("/standin/cold", self._start_cold_period)
        return app

    @abc.abstractmethod
    def add_routes(self, app: web.Application) -> None:
        """Add the routes of the endpoint's own calls."""

    @abc.abstractmethod
    async def process_call(
        self, request: web.Request, body: dict
    ) -> web.Response:
        """Run one accepted call and return its answer."""

    async def handle_call(self, request: web.Request) -> web.StreamResponse:
        """Count a call and run it, or inject a fault."""
        await block_if_cut_off(request, self.faults.cut)
        body = await request.json()
        counts = self.counts
        counts.calls += 1
        counts.last_call_ms = self.now()
        counts.in_flight += 1
        try:
            self._raise_if_dropped()
            return await self._process_with_faults(request, body)
        except ConnectionDropped:
            request.transport.abort()
            raise asyncio.CancelledError from None
        except asyncio.CancelledError:
            counts.cancelled += 1
            raise
        finally:
            counts.in_flight -= 1

    def _raise_if_dropped(self) -> None:
        """Raise if a cold endpoint is overloaded or a reset is injected."""
        counts = self.counts
        if self.is_cold:
            counts.most_cold = max(counts.most_cold, counts.in_flight)
            if counts.in_flight > self.shape.cold:
                counts.overruns += 1
                counts.late_overruns += self._should_be_known_cold()
                self._overloaded_until_ms = self.now() + self.shape.fall_ms
        if self.now() < self._overloaded_until_ms:
            self._record_cold_signal()
            raise ConnectionDropped
        if self._random.random() < self.faults.reset:
            raise ConnectionDropped

    def _should_be_known_cold(self) -> bool:
        return self.now() > self._cold_signal_ms + COLD_PROPAGATION_MS

    def _record_cold_signal(self) -> None:
        """Record the first answer or abort since the endpoint became cold."""
        if self.is_cold:
            self._cold_signal_ms = min(self._cold_signal_ms, self.now())

    async def _process_with_faults(
        self, request: web.Request, body: dict
    ) -> web.StreamResponse:
        if self.faults.deaf:
            await asyncio.sleep(3600)
        if self._random.random() < self.faults.fail:
            return web.json_response(
                {"error": "the endpoint failed"},
                status=500,
                headers=self.make_headers(request),
            )
        async with self._slots:
            response = await self.process_call(request, body)
        self.counts.done += 1
        if self._random.random() < self.faults.lose:
            raise ConnectionDropped
        return response

    async def sleep_service_time(self, millis: float) -> None:
        """Sleep for a service time, scaled by faults and the cold state."""
        factor = self.faults.slow
        if self.is_cold:
            factor *= self.shape.cold_factor
        await asyncio.sleep((millis * factor + self.faults.hold_ms) / 1000.0)

    def make_headers(self, request: web.Request) -> dict[str, str]:
        """Return an answer's headers: request id, instance, state, load."""
        binding = request.headers.get(BINDING_HEADER, "")
        if self._random.random() < self.faults.cross and self._recent_bindings:
            binding = self._random.choice(self._recent_bindings)
        self._record_cold_signal()
        self._recent_bindings = [*self._recent_bindings[-15:], binding]
        return {
            BINDING_HEADER: binding,
            INSTANCE_HEADER: self._instance,
            COLD_HEADER: "yes" if self.is_cold else "no",
            LOAD_HEADER: str(self.counts.in_flight),
        }

    async def _show_counts(self, request: web.Request) -> web.Response:
        return web.Response(
            body=msgspec.json.encode(self.counts),
            content_type="application/json",
        )

    async def _set_faults(self, request: web.Request) -> web.Response:
        changes = await request.json()
        self.faults = msgspec.convert(
            msgspec.to_builtins(self.faults) | changes, Faults
        )
        return web.json_response({})

    async def _start_cold_period(self, request: web.Request) -> web.Response:
        self.reset_to_cold()
        return web.json_response({"instance": self._instance})
