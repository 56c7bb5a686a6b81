"""The stand-ins of encoders, retrievers and rerankers."""

import hashlib

from aiohttp import web

from standins import base

DIMENSIONS = 8


def encode(text: str) -> list[float]:
    """Turn a text into a vector."""
    digest = hashlib.blake2s(text.encode(), digest_size=DIMENSIONS)
    return [byte / 255 for byte in digest.digest()]


def search_documents(vector: list[float], top: int) -> list[dict[str, str]]:
    """Find the documents for a vector."""
    stem = round(sum(vector) * 1000)
    return [
        {"id": f"d{stem}-{index}", "text": f"document {stem}-{index}"}
        for index in range(top)
    ]


class Encoder(base.Endpoint):
    """Turns texts into vectors."""

    def add_routes(self, app: web.Application) -> None:
        """Add the calls; see `Endpoint.add_calls`."""
        app.router.add_post("/v1/embeddings", self.handle_call)

    async def process_call(
        self, request: web.Request, body: dict
    ) -> web.Response:
        """Encode texts; see `Endpoint.work`."""
        await self.sleep_service_time(self.shape.service_ms)
        data = [{"embedding": encode(text)} for text in body["input"]]
        return web.json_response(
            {"data": data}, headers=self.make_headers(request)
        )


class Retriever(base.Endpoint):
    """Finds documents near a vector."""

    def add_routes(self, app: web.Application) -> None:
        """Add the calls; see `Endpoint.add_calls`."""
        app.router.add_post("/v1/search", self.handle_call)

    async def process_call(
        self, request: web.Request, body: dict
    ) -> web.Response:
        """Find documents; see `Endpoint.work`."""
        await self.sleep_service_time(self.shape.service_ms)
        documents = search_documents(
            body["embedding"], int(body.get("top", 4))
        )
        return web.json_response(
            {"documents": documents}, headers=self.make_headers(request)
        )


class Reranker(base.Endpoint):
    """Orders documents for a query."""

    def add_routes(self, app: web.Application) -> None:
        """Add the calls; see `Endpoint.add_calls`."""
        app.router.add_post("/v1/rerank", self.handle_call)

    async def process_call(
        self, request: web.Request, body: dict
    ) -> web.Response:
        """Order documents; see `Endpoint.work`."""
        await self.sleep_service_time(self.shape.service_ms)
        count = len(body["documents"])
        results = [
            {"index": index, "relevance_score": 1.0 - rank / count}
            for rank, index in enumerate(reversed(range(count)))
        ]
        return web.json_response(
            {"results": results}, headers=self.make_headers(request)
        )


class PlainService(base.Endpoint):
    """A plain service; each call is an effect under the caller's key."""

    def add_routes(self, app: web.Application) -> None:
        """Add the calls; see `Endpoint.add_calls`."""
        app.router.add_post("/{path:(?!standin/).*}", self.handle_call)

    async def process_call(
        self, request: web.Request, body: dict
    ) -> web.Response:
        """Run a call and count its effect; see `Endpoint.work`."""
        key = request.headers.get("Idempotency-Key", "")
        runs = self.counts.runs
        if key:
            runs[key] = runs.get(key, 0) + 1
        await self.sleep_service_time(self.shape.service_ms)
        return web.json_response(
            {"path": request.path, "echo": body, "by": self.name},
            headers=self.make_headers(request),
        )
