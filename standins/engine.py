"""Stand-in of a model engine."""

import asyncio
import hashlib
import json

from aiohttp import web

from standins import base


def make_token(prompt: str, index: int) -> str:
    """Return the token at a position of the answer to a prompt.

    Tokens depend on the prompt and the position only, so that a resumed
    answer can be compared with a complete one.
    """
    digest = hashlib.blake2s(prompt.encode(), digest_size=3).hexdigest()
    return f"{digest}.{index} "


class Engine(base.Endpoint):
    """Generates tokens, streams and resumes answers, and executes orders.

    Parameters
    ----------
    checks : bool
        Whether it rejects orders whose fencing token is lower than the
        highest one seen.
    """

    def __init__(self, name, shape, seed=0, checks: bool = False) -> None:
        super().__init__(name, shape, seed)
        self._checks_fencing = checks
        self._highest_fence = 0
        self._state = {"model": "", "version": "", "role": "serve"}
        self._adapters: list[str] = []
        self._orders: list[dict] = []

    def add_routes(self, app: web.Application) -> None:
        """Add the routes; see `Endpoint.add_routes`."""
        app.router.add_post("/v1/completions", self.handle_call)
        app.router.add_get("/admin/engine", self._show_state)
        app.router.add_post("/admin/engine/orders", self._handle_order)
        app.router.add_get("/standin/orders", self._show_orders)

    async def process_call(
        self, request: web.Request, body: dict
    ) -> web.StreamResponse:
        """Generate an answer; see `Endpoint.process_call`."""
        prompt = body["prompt"]
        total_tokens = int(body.get("max_tokens", 16))
        first_index = int(body.get("resume_from", 0))
        await self.sleep_service_time(self.shape.service_ms)
        if not body.get("stream"):
            await self.sleep_service_time(
                self.shape.token_ms * (total_tokens - first_index)
            )
            text = "".join(
                make_token(prompt, i) for i in range(first_index, total_tokens)
            )
            self.counts.tokens += total_tokens - first_index
            return web.json_response(
                self._make_chunk(text, total_tokens, "stop"),
                headers=self.make_headers(request),
            )
        return await self._stream(request, prompt, first_index, total_tokens)

    async def _stream(self, request, prompt, first_index, total_tokens):
        response = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                **self.make_headers(request),
            }
        )
        await response.prepare(request)
        for index in range(first_index, total_tokens):
            await self.sleep_service_time(self.shape.token_ms)
            if 0 <= self.faults.cut_after <= index - first_index:
                raise base.ConnectionDropped
            text = make_token(prompt, index)
            await self._write_chunk(
                response, self._make_chunk(text, index + 1, None)
            )
            self.counts.tokens += 1
        await self._write_chunk(
            response, self._make_chunk("", total_tokens, "stop")
        )
        await response.write(b"data: [DONE]\n\n")
        await response.write_eof()
        return response

    async def _write_chunk(self, response, chunk: dict) -> None:
        await response.write(b"data: " + json.dumps(chunk).encode() + b"\n\n")

    def _make_chunk(self, text: str, count: int, reason: str | None) -> dict:
        return {
            "choices": [{"index": 0, "text": text, "finish_reason": reason}],
            "usage": {"completion_tokens": count},
        }

    async def _show_state(self, request: web.Request) -> web.Response:
        last = self._orders[-1]["order"] if self._orders else ""
        return web.json_response(
            {
                "instance": self._instance,
                **self._state,
                "adapters": self._adapters,
                "fence": self._highest_fence,
                "last_order": last,
            }
        )

    async def _handle_order(self, request: web.Request) -> web.Response:
        body = await request.json()
        fence = int(body["fence"])
        if self._checks_fencing and fence < self._highest_fence:
            return web.json_response(
                {"error": "old fencing number", "fence": self._highest_fence},
                status=409,
            )
        self._highest_fence = max(self._highest_fence, fence)
        self._orders.append(body)
        self._apply_order(body["kind"], body["argument"])
        if self._random.random() < self.faults.lose:
            request.transport.abort()
            raise asyncio.CancelledError
        return web.json_response({"order": body["order"]})

    def _apply_order(self, kind: str, argument: str) -> None:
        if kind == "adapter":
            self._adapters.append(argument)
        elif kind == "unload":
            self._state["model"] = ""
        elif kind == "load":
            self._state["model"] = argument
            self.reset_to_cold()
        else:
            self._state[kind] = argument

    async def _show_orders(self, request: web.Request) -> web.Response:
        return web.json_response(self._orders)
