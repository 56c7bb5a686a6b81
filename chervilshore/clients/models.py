"""Clients for encoders, retrievers, rerankers and plain services."""

import contextlib

from chervilshore.clients import endpoints
from chervilshore import exceptions
from chervilshore import records

SEARCH_TOP_K = 8
"""Documents that a retriever returns."""

RERANK_TOP_N = 4
"""Documents that are left after reranking."""


@contextlib.contextmanager
def _check_fields():
    """Raise `EndpointBroken` if a field of the response is missing."""
    try:
        yield
    except (KeyError, IndexError, TypeError) as error:
        detail = f"incomplete response: {error!r}"
        raise exceptions.EndpointBroken(detail) from error


class EncoderClient(endpoints.EndpointClient):
    """Computes the embedding of the input."""

    async def call(
        self, record: records.EndpointRecord, call: endpoints.Call
    ) -> endpoints.Reply:
        """Encode the input; see `EndpointClient.call`."""
        body = {"model": call.model, "input": [str(call.value["input"])]}
        decoded, reply = await self._post_json(
            record, "/v1/embeddings", body, call
        )
        with _check_fields():
            reply.value = {"embedding": decoded["data"][0]["embedding"]}
        return reply


class RetrieverClient(endpoints.EndpointClient):
    """Finds the documents nearest to an embedding."""

    async def call(
        self, record: records.EndpointRecord, call: endpoints.Call
    ) -> endpoints.Reply:
        """Find documents; see `EndpointClient.call`."""
        body = {"embedding": call.value["embedding"], "top": SEARCH_TOP_K}
        decoded, reply = await self._post_json(
            record, "/v1/search", body, call
        )
        with _check_fields():
            reply.value = {"documents": decoded["documents"]}
        return reply


class RerankerClient(endpoints.EndpointClient):
    """Orders documents by relevance and keeps the best."""

    async def call(
        self, record: records.EndpointRecord, call: endpoints.Call
    ) -> endpoints.Reply:
        """Rerank the documents; see `EndpointClient.call`."""
        documents = call.value["documents"]
        body = {
            "model": call.model,
            "query": str(call.value["input"]),
            "documents": [document["text"] for document in documents],
            "top_n": RERANK_TOP_N,
        }
        decoded, reply = await self._post_json(
            record, "/v1/rerank", body, call
        )
        with _check_fields():
            order = sorted(
                decoded["results"], key=lambda row: -row["relevance_score"]
            )
            best = [documents[row["index"]] for row in order]
        reply.value = {"documents": best[:RERANK_TOP_N]}
        return reply


class PlainClient(endpoints.EndpointClient):
    """Sends the request's value to a plain service."""

    async def call(
        self, record: records.EndpointRecord, call: endpoints.Call
    ) -> endpoints.Reply:
        """Call the service; see `EndpointClient.call`."""
        decoded, reply = await self._post_json(
            record, call.path, call.value, call
        )
        reply.value = {"answer": decoded}
        return reply
