"""Stand-ins of encoders, retrievers, rerankers and plain services."""

import hashlib

from aiohttp import web

from standins import base

DIMENSIONS = 8
"""Length of the vectors."""


def encode(text: str) -> list[float]:
    """Return the vector of a text: values from 0 to 1."""
    digest = hashlib.blake2s(text.encode(), digest_size=DIMENSIONS)
    return [byte / 255 for byte in digest.digest()]


def search_documents(vector: list[float], top: int) -> list[dict[str, str]]:
    """Return `top` documents that depend on the vector only."""
    document_key = round(sum(vector) * 1000)
    return [
        {
            "id": f"d{document_key}-{index}",
            "text": f"document {document_key}-{index}",
        }
        for index in range(top)
    ]


class Encoder(base.Endpoint):
    """Encodes texts as vectors."""

    def add_routes(self, app: web.Application) -> None:
        """Add the routes; see `Endpoint.add_routes`."""
        app.router.add_post("/v1/embeddings", self.handle_call)

    async def process_call(
        self, request: web.Request, body: dict
    ) -> web.Response:
        """Encode texts; see `Endpoint.process_call`."""
        await self.sleep_service_time(self.shape.service_ms)
        data = [{"embedding": encode(text)} for text in body["input"]]
        return web.json_response(
            {"data": data}, headers=self.make_headers(request)
        )


class Retriever(base.Endpoint):
    """Finds the documents for a vector."""

    def add_routes(self, app: web.Application) -> None:
        """Add the routes; see `Endpoint.add_routes`."""
        app.router.add_post("/v1/search", self.handle_call)

    async def process_call(
        self, request: web.Request, body: dict
    ) -> web.Response:
        """Find documents; see `Endpoint.process_call`."""
        await self.sleep_service_time(self.shape.service_ms)
        documents = search_documents(
            body["embedding"], int(body.get("top", 4))
        )
        return web.json_response(
            {"documents": documents}, headers=self.make_headers(request)
        )


class Reranker(base.Endpoint):
    """Ranks documents, the last one first."""

    def add_routes(self, app: web.Application) -> None:
        """Add the routes; see `Endpoint.add_routes`."""
        app.router.add_post("/v1/rerank", self.handle_call)

    async def process_call(
        self, request: web.Request, body: dict
    ) -> web.Response:
        """Rank documents; see `Endpoint.process_call`."""
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
    """A plain service that counts its runs by idempotency key."""

    def add_routes(self, app: web.Application) -> None:
        """Add the routes; see `Endpoint.add_routes`."""
        app.router.add_post("/{path:(?!standin/).*}", self.handle_call)

    async def process_call(
        self, request: web.Request, body: dict
    ) -> web.Response:
        """Count and answer a call; see `Endpoint.process_call`."""
        key = request.headers.get("Idempotency-Key", "")
        runs = self.counts.runs
        if key:
            runs[key] = runs.get(key, 0) + 1
        await self.sleep_service_time(self.shape.service_ms)
        return web.json_response(
            {"path": request.path, "echo": body, "by": self.name},
            headers=self.make_headers(request),
        )
