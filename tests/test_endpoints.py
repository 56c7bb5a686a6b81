"""Clients of endpoints, against the stand-ins and their faults."""

import aiohttp
from aiohttp import test_utils
from aiohttp import web
import pytest
import testtools
from testtools import assertions
from testtools import matchers

from chervilshore.clients import bodies
from chervilshore.clients import completions
from chervilshore.clients import endpoints
from chervilshore.clients import engines
from chervilshore.clients import models
from chervilshore import exceptions
from chervilshore import records
from standins import base
from standins import engine
from standins import pool
from tests import request_helpers as helpers

SHAPE = base.Shape(service_ms=0.0, token_ms=0.0)


@pytest.fixture
async def sessions():
    opened = endpoints.Sessions()
    yield opened
    await opened.close()


@pytest.fixture
async def start():
    servers = []

    async def start_standin(endpoint):
        endpoint.reset_to_cold()
        endpoint.set_warm()
        server = test_utils.TestServer(
            endpoint.make_app(), handler_cancellation=True
        )
        await server.start_server()
        servers.append(server)
        return helpers.make_record("e1", address=f"127.0.0.1:{server.port}")

    yield start_standin
    for server in servers:
        await server.close()


def make_call(value, **options):
    binding = records.Binding("r1", "do", 1, "e1")
    return endpoints.Call(binding, value, 5000.0, **options)


async def generate(sessions, record, **options):
    received = []

    async def sink(text):
        received.append(text)

    value = {"input": "hello", "max_tokens": 5}
    call = make_call(value, text_sink=sink, **options)
    reply = await completions.CompletionClient(sessions).call(record, call)
    return reply, received


async def test_a_complete_stream_delivers_every_token(sessions, start):
    record = await start(engine.Engine("e1", SHAPE))
    reply, received = await generate(sessions, record)
    expected = [engine.make_token("hello", index) for index in range(5)]
    assertions.assert_that(received, matchers.Equals(expected))
    assertions.assert_that(reply.value["tokens"], matchers.Equals(5))
    assertions.assert_that(reply.instance, matchers.Equals("e1-1"))


async def test_a_resumed_stream_starts_after_the_skipped_tokens(
    sessions, start
):
    record = await start(engine.Engine("e1", SHAPE))
    _, received = await generate(sessions, record, skip_tokens=3)
    remaining = [engine.make_token("hello", index) for index in (3, 4)]
    assertions.assert_that(received, matchers.Equals(remaining))


async def test_a_cut_stream_raises_broken(sessions, start):
    standin = engine.Engine("e1", SHAPE)
    standin.faults.cut_after = 3
    record = await start(standin)
    with pytest.raises(exceptions.EndpointBroken):
        await generate(sessions, record)


async def test_a_response_to_another_call_raises_mismatch(sessions, start):
    standin = pool.PlainService("e1", SHAPE)
    record = await start(standin)
    client = models.PlainClient(sessions)
    await client.call(record, make_call({"n": 1}, path="/do"))
    standin.faults.cross = 1.0
    other = endpoints.Call(
        records.Binding("r2", "do", 1, "e1"), {"n": 2}, 5000.0, path="/do"
    )
    with pytest.raises(exceptions.AnswerMismatch):
        await client.call(record, other)


async def test_a_lost_response_raises_broken_although_the_call_ran(
    sessions, start
):
    standin = pool.PlainService("e1", SHAPE)
    standin.faults.lose = 1.0
    record = await start(standin)
    call = make_call({"n": 1}, path="/do", repeatable=False, key="k")
    with pytest.raises(exceptions.EndpointBroken):
        await models.PlainClient(sessions).call(record, call)
    assertions.assert_that(standin.counts.runs, matchers.Equals({"k": 1}))


async def test_a_refused_connection_raises_unreached(sessions, start):
    record = helpers.make_record("e1", address="127.0.0.1:1")
    with pytest.raises(exceptions.EndpointUnreached):
        await generate(sessions, record)


async def test_a_server_error_raises_broken(sessions, start):
    standin = pool.Encoder("e1", SHAPE)
    standin.faults.fail = 1.0
    record = await start(standin)
    with pytest.raises(exceptions.EndpointBroken):
        await models.EncoderClient(sessions).call(
            record, make_call({"input": "x"})
        )


async def test_retrieval_stages_accept_the_results_of_earlier_stages(
    sessions, start
):
    value = {"input": "x"}
    for standin, client in (
        (pool.Encoder("e1", SHAPE), models.EncoderClient(sessions)),
        (pool.Retriever("e1", SHAPE), models.RetrieverClient(sessions)),
        (pool.Reranker("e1", SHAPE), models.RerankerClient(sessions)),
    ):
        record = await start(standin)
        reply = await client.call(record, make_call(value))
        value |= reply.value
    assertions.assert_that(
        len(value["documents"]), matchers.Equals(models.RERANK_TOP_N)
    )


async def test_a_cold_endpoint_fails_a_call_over_its_cold_limit(
    sessions, start
):
    standin = pool.PlainService("e1", base.Shape(cold=0, service_ms=0.0))
    record = await start(standin)
    standin.reset_to_cold()
    with pytest.raises(exceptions.EndpointBroken):
        await models.PlainClient(sessions).call(
            record, make_call({"n": 1}, path="/do")
        )
    assertions.assert_that(standin.counts.overruns, matchers.Equals(1))


# A body without an end was read into memory until the deadline.
async def test_body_without_an_end_is_cut_at_a_bound(sessions):
    sent = 0

    async def answer(request):
        nonlocal sent
        binding = request.headers[endpoints.BINDING_HEADER]
        response = web.StreamResponse(
            headers={endpoints.BINDING_HEADER: binding}
        )
        await response.prepare(request)
        while sent < 4 * bodies.MAX_BODY_BYTES:
            await response.write(b"x" * bodies.BLOCK_BYTES)
            sent += bodies.BLOCK_BYTES
        return response

    server = test_utils.RawTestServer(answer)
    await server.start_server()
    record = helpers.make_record("e1", address=f"127.0.0.1:{server.port}")
    with testtools.ExpectedException(exceptions.EndpointBroken):
        await models.EncoderClient(sessions).call(
            record, make_call({"input": "hello"})
        )
    await server.close()
    assertions.assert_that(
        sent, matchers.Not(matchers.GreaterThan(2 * bodies.MAX_BODY_BYTES))
    )


# A body of lists in lists ended the request with an error inside the host.
@pytest.mark.parametrize(
    "client_type",
    [
        models.EncoderClient,
        completions.CompletionClient,
        engines.HttpEngineClient,
    ],
)
async def test_deeply_nested_body_raises_broken(sessions, client_type):
    nested = b'{"a":' + b"[" * 5000 + b"]" * 5000 + b"}"
    is_stream = client_type is completions.CompletionClient

    async def answer(request):
        binding = request.headers.get(endpoints.BINDING_HEADER, "")
        return web.Response(
            headers={endpoints.BINDING_HEADER: binding},
            body=b"data: " + nested + b"\n\n" if is_stream else nested,
        )

    server = test_utils.RawTestServer(answer)
    await server.start_server()
    record = helpers.make_record("e1", address=f"127.0.0.1:{server.port}")
    call = make_call({"input": "hello"})
    try:
        with testtools.ExpectedException(exceptions.EndpointBroken):
            if client_type is engines.HttpEngineClient:
                async with aiohttp.ClientSession() as session:
                    await client_type(session).read(record, 5000.0)
            else:
                await client_type(sessions).call(record, call)
    finally:
        await server.close()
