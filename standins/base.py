"""What the stand-ins of endpoints have in common."""

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
"""Seconds for which a call over a cut network hangs."""

COLD_PROPAGATION_MS = 20.0
"""Milliseconds that the first sign of cold may take to be known by all."""


class Faults(msgspec.Struct):
    """What goes wrong at an endpoint.

    Parameters
    ----------
    slow : float
        Factor on every service time.
    fail : float
        Share of calls that are answered with an error.
    lose : float
        Share of calls whose connection is cut after the effect.
    reset : float
        Share of calls whose connection is cut before any effect.
    cut_after : int
        Tokens after which a stream is cut; negative for never.
    cross : float
        Share of answers that carry the binding of another call.
    hold_ms : float
        Milliseconds that every call takes besides.
    deaf : bool
        Whether calls are taken and never answered.
    cut : list of str
        Local IP numbers of callers that a network cut keeps away.
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
    """How much an endpoint bears.

    Parameters
    ----------
    slots : int
        Calls that it works on at once; more of them wait.
    service_ms : float
        Milliseconds that a call takes.
    token_ms : float
        Milliseconds from token to token.
    cold : int
        Calls in flight that it bears while it is cold.
    cold_ms : float
        Milliseconds that it stays cold.
    cold_factor : float
        Factor on service times while it is cold.
    fall_ms : float
        Milliseconds for which it cuts every connection after more came
        than it bears while cold.
    """

    slots: int = 4
    service_ms: float = 5.0
    token_ms: float = 2.0
    cold: int = 1
    cold_ms: float = 3000.0
    cold_factor: float = 2.0
    fall_ms: float = 1000.0


class Counts(msgspec.Struct):
    """What an endpoint has seen.

    Parameters
    ----------
    calls : int
        Calls that came in.
    done : int
        Calls that ran to their end.
    cancelled : int
        Calls whose caller went away.
    tokens : int
        Tokens generated.
    overruns : int
        Calls that came while more were in flight than it bears cold.
    late_overruns : int
        Those of them that came later than `COLD_PROPAGATION_MS` after the first
        sign that it is cold went out.
    most_cold : int
        The most calls in flight while it was cold.
    in_flight : int
        Calls in flight now.
    last_call_ms : float
        The moment of the last call, on the loop's clock.
    runs : dict
        Effects by the caller's key.
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
    """Keep a call from a cut-off caller waiting until it gives up."""
    if request.remote in cut:
        await asyncio.sleep(CUT_OFF_CALL_SECONDS)
        request.transport.abort()
        raise asyncio.CancelledError


class ConnectionDropped(Exception):
    """The connection is to be cut without an answer."""


class Endpoint(abc.ABC):
    """A stand-in of an endpoint, with fault knobs.

    Parameters
    ----------
    name : str
        The endpoint's name.
    shape : Shape
        How much it bears.
    seed : int
        Seed of its random choices.
    """

    def __init__(self, name: str, shape: Shape, seed: int = 0) -> None:
        self.name = name
        self.shape = shape
        self.faults = Faults()
        self.counts = Counts()
        self._random = random.Random(f"{name}/{seed}")
        self._instances = itertools.count(1)
        self._instance = ""
        self._cold_until = 0.0
        self._fallen_until = 0.0
        self._signed = math.inf
        self._slots = asyncio.Semaphore(shape.slots)
        self._bindings: list[str] = []

    def now(self) -> float:
        """Tell the loop's time in milliseconds."""
        return asyncio.get_running_loop().time() * 1000.0

    def reset_to_cold(self) -> None:
        """Become cold, as a fresh process does."""
        self._instance = f"{self.name}-{next(self._instances)}"
        self._cold_until = self.now() + self.shape.cold_ms
        self._signed = math.inf

    def set_warm(self) -> None:
        """Become warm at once."""
        self._cold_until = 0.0

    @property
    def is_cold(self) -> bool:
        """Whether the endpoint is cold now."""
        return self.now() < self._cold_until

    def make_app(self) -> web.Application:
        """Make the server, with the calls and the knobs."""
        app = web.Application(client_max_size=16 * 1024 * 1024)
        self.add_routes(app)
        app.router.add_get("/standin/counts", self._show_counts)
        app.router.add_post("/standin/faults", self._set_faults)
        app.router.add_post("/standin/cold", self._become_cold)
        return app

    @abc.abstractmethod
    def add_routes(self, app: web.Application) -> None:
        """Add the calls that the endpoint takes."""

    @abc.abstractmethod
    async def process_call(
        self, request: web.Request, body: dict
    ) -> web.Response:
        """Do the work of one call that has been let in."""

    async def handle_call(self, request: web.Request) -> web.StreamResponse:
        """Take a call: count it, let it fall over, or work on it."""
        await block_if_cut_off(request, self.faults.cut)
        body = await request.json()
        counts = self.counts
        counts.calls += 1
        counts.last_call_ms = self.now()
        counts.in_flight += 1
        try:
            self._bear()
            return await self._work_with_faults(request, body)
        except ConnectionDropped:
            request.transport.abort()
            raise asyncio.CancelledError from None
        except asyncio.CancelledError:
            counts.cancelled += 1
            raise
        finally:
            counts.in_flight -= 1

    def _bear(self) -> None:
        counts = self.counts
        if self.is_cold:
            counts.most_cold = max(counts.most_cold, counts.in_flight)
            if counts.in_flight > self.shape.cold:
                counts.overruns += 1
                counts.late_overruns += self._is_known_cold()
                self._fallen_until = self.now() + self.shape.fall_ms
        if self.now() < self._fallen_until:
            self._sign()
            raise ConnectionDropped
        if self._random.random() < self.faults.reset:
            raise ConnectionDropped

    def _is_known_cold(self) -> bool:
        return self.now() > self._signed + COLD_PROPAGATION_MS

    def _sign(self) -> None:
        """Note that a sign of being cold goes out."""
        if self.is_cold:
            self._signed = min(self._signed, self.now())

    async def _work_with_faults(
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
        """Spend a service time, with the factors in force."""
        factor = self.faults.slow
        if self.is_cold:
            factor *= self.shape.cold_factor
        await asyncio.sleep((millis * factor + self.faults.hold_ms) / 1000.0)

    def make_headers(self, request: web.Request) -> dict[str, str]:
        """Make the headers of an answer: binding, instance, state."""
        binding = request.headers.get(BINDING_HEADER, "")
        if self._random.random() < self.faults.cross and self._bindings:
            binding = self._random.choice(self._bindings)
        self._sign()
        self._bindings = [*self._bindings[-15:], binding]
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

    async def _become_cold(self, request: web.Request) -> web.Response:
        self.reset_to_cold()
        return web.json_response({"instance": self._instance})
