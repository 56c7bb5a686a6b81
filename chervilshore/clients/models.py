"""Calls to encoders, retrievers, rerankers and plain services."""

import contextlib

from chervilshore.clients import endpoints
from chervilshore import exceptions
from chervilshore import records

SEARCH_TOP_K = 8
RERANK_TOP_N = 4


@contextlib.contextmanager
def _expect_whole():
    """Turn a missing part of an answer into an error of the endpoint."""
    try:
        yield
    except (KeyError, IndexError, TypeError) as error:
        detail = f"short answer: {error!r}"
        raise exceptions.EndpointBroken(detail) from error


class EncoderClient(endpoints.EndpointClient):
    """Turns the input into a vector."""

    async def call(
        self, record: records.EndpointRecord, call: endpoints.Call
    ) -> endpoints.Reply:
        """Encode the input; see `EndpointClient.call`."""
        body = {"model": call.model, "input": [str(call.value["input"])]}
        found, reply = await self._post_json(
            record, "/v1/embeddings", body, call
        )
        with _expect_whole():
            reply.value = {"embedding": found["data"][0]["embedding"]}
        return reply


class RetrieverClient(endpoints.EndpointClient):
    """Finds documents near the vector."""

    async def call(
        self, record: records.EndpointRecord, call: endpoints.Call
    ) -> endpoints.Reply:
        """Find documents; see `EndpointClient.call`."""
        body = {"embedding": call.value["embedding"], "top": SEARCH_TOP_K}
        found, reply = await self._post_json(record, "/v1/search", body, call)
        with _expect_whole():
            reply.value = {"documents": found["documents"]}
        return reply


class RerankerClient(endpoints.EndpointClient):
    """Puts the documents that fit best first."""

    async def call(
        self, record: records.EndpointRecord, call: endpoints.Call
    ) -> endpoints.Reply:
        """Order the documents; see `EndpointClient.call`."""
        documents = call.value["documents"]
        body = {
            "model": call.model,
            "query": str(call.value["input"]),
            "documents": [document["text"] for document in documents],
            "top_n": RERANK_TOP_N,
        }
        found, reply = await self._post_json(record, "/v1/rerank", body, call)
        with _expect_whole():
            order = sorted(
                found["results"], key=lambda row: -row["relevance_score"]
            )
            kept = [documents[row["index"]] for row in order]
        reply.value = {"documents": kept[:RERANK_TOP_N]}
        return reply


class PlainClient(endpoints.EndpointClient):
    """Passes the body to a plain service."""

    async def call(
        self, record: records.EndpointRecord, call: endpoints.Call
    ) -> endpoints.Reply:
        """Call the service; see `EndpointClient.call`."""
        found, reply = await self._post_json(
            record, call.path, call.value, call
        )
        reply.value = {"answer": found}
        return reply
