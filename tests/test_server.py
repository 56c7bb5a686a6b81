"""Tests of the HTTP interface for pipelines: input, end marks, streams."""

import asyncio

import aiohttp
from aiohttp import test_utils
from aiohttp import web
import pytest
from testtools import assertions
from testtools import matchers

from chervilshore import client as clients
from chervilshore.controllers import configuration
from chervilshore import exceptions
from chervilshore.filters import base
from chervilshore.filters import decode
from chervilshore.filters import outcome
from chervilshore import metrics
from chervilshore import results
from chervilshore import server
from tests import request_helpers as helpers

KEYED = {"X-Team": "team", "Idempotency-Key": "k"}


@pytest.fixture
async def caller(clock):
    """A raw HTTP client of a server whose last filter can be replaced."""
    rules = helpers.make_rules(
        helpers.records.EndpointKind.ENGINE, repeatable=False
    )
    static_configuration = configuration.StaticConfiguration(rules)

    async def echo(exchange):
        return base.Answer(results.Code.OK, b'{"echo":1}')

    last = [echo]

    async def proceed(exchange):
        return await last[0](exchange)

    steps = [
        outcome.OutcomeFilter(),
        decode.DecodeFilter(static_configuration),
    ]
    server_under_test = server.Server(
        clock, base.chain(steps, proceed), metrics.Metrics(), 1000
    )
    web_server = test_utils.TestServer(server_under_test.make_app())
    async with test_utils.TestClient(web_server) as web_client:
        web_client.server_under_test = server_under_test
        web_client.last = last
        yield web_client


async def post(caller, data, headers, name="work"):
    response = await caller.post(
        f"/v1/pipelines/{name}", data=data, headers=headers
    )
    return response, await response.json()


@pytest.mark.parametrize(
    "data, headers, name, code",
    [
        (b"{", KEYED, "work", results.Code.BAD_JSON),
        (b"[1]", KEYED, "work", results.Code.BAD_JSON),
        (b"[" * 900, KEYED, "work", results.Code.BAD_JSON),
        (b"{}", KEYED, "work", results.Code.BAD_JSON),
        (
            b'{"input": "x", "max_tokens": true}',
            KEYED,
            "work",
            results.Code.BAD_JSON,
        ),
        (b"x" * 2000, KEYED, "work", results.Code.BODY_TOO_LARGE),
        (b"{}", KEYED, "none", results.Code.UNKNOWN_PIPELINE),
        (b"{}", {}, "work", results.Code.UNKNOWN_TEAM),
        (b"{}", {"X-Team": "team"}, "work", results.Code.KEY_NEEDED),
        (
            b"{}",
            {"X-Team": "team", "Idempotency-Key": "k" * 300},
            "work",
            results.Code.BAD_HEADER,
        ),
    ],
)
async def test_invalid_input_is_refused_with_its_result_code(
    caller, data, headers, name, code
):
    response, body = await post(caller, data, headers, name)
    assertions.assert_that(body["code"], matchers.Equals(code.value.number))
    assertions.assert_that(response.status, matchers.Equals(code.value.status))
    assertions.assert_that(body["end"], matchers.Is(True))


async def test_answer_has_request_id_and_end_mark(caller):
    headers = KEYED | {"X-Request-Id": "mine"}
    _, body = await post(caller, b'{"input": "x"}', headers)
    assertions.assert_that(body["request"], matchers.Equals("mine"))
    assertions.assert_that(body["result"], matchers.Equals({"echo": 1}))
    assertions.assert_that(body["end"], matchers.Is(True))


# Guards against requests that run again and again, as their callers chose an
# id that hosts do not repeat.
@pytest.mark.parametrize(
    "own_id", ("mine", "a/b", "x" * 101, " a ", "a b", "\u00e4", "")
)
async def test_callers_may_choose_any_request_id(caller, own_id):
    library = make_client(caller)
    answer = await library.request(
        "work",
        {"input": "x"},
        1000.0,
        repeatable=False,
        headers={"X-Request-Id": own_id},
    )
    await library.close()
    assertions.assert_that(
        (answer.result, answer.sends), matchers.Equals(({"echo": 1}, 1))
    )


async def test_draining_host_refuses_requests_as_not_run(caller):
    caller.server_under_test.draining = True
    response, body = await post(caller, b'{"input": "x"}', KEYED)
    assertions.assert_that(body["family"], matchers.Equals("NOT RUN"))
    assertions.assert_that(
        response.headers["Retry-After"], matchers.Equals("0")
    )


async def test_crash_in_filter_has_unknown_outcome(caller):
    async def crash(exchange):
        raise KeyError("x")

    caller.last[0] = crash
    _, body = await post(caller, b'{"input": "x"}', KEYED)
    assertions.assert_that(body["family"], matchers.Equals("UNKNOWN"))


async def test_incomplete_body_times_out(caller):
    """A half-open connection must not keep a request in flight forever."""
    caller.server_under_test.body_timeout_seconds = 0.05
    reader, writer = await asyncio.open_connection(
        "127.0.0.1", caller.server.port
    )
    writer.write(
        b"POST /v1/pipelines/work HTTP/1.1\r\nHost: x\r\n"
        b"Content-Length: 10\r\n\r\n{"
    )
    line = await reader.readline()
    assertions.assert_that(line, matchers.Contains(b" 408 "))
    await caller.server_under_test.wait_idle()
    writer.close()


async def test_caller_that_does_not_read_is_disconnected(caller):
    caller.server_under_test.end_timeout_seconds = 0.05

    async def flood(exchange):
        await exchange.sink("x" * 100)
        return base.Answer(results.Code.OK, b'"' + b"y" * 30_000_000 + b'"')

    caller.last[0] = flood
    reader, writer = await asyncio.open_connection(
        "127.0.0.1", caller.server.port, limit=1000
    )
    writer.write(
        b"POST /v1/pipelines/work HTTP/1.1\r\nHost: x\r\n"
        b"X-Team: team\r\nIdempotency-Key: k\r\n"
        b"Accept: text/event-stream\r\n"
        b'Content-Length: 14\r\n\r\n{"input": "x"}'
    )
    await reader.readline()
    await caller.server_under_test.wait_idle()
    writer.close()


async def test_closed_caller_connection_is_not_an_endpoint_error(
    caller, monkeypatch
):
    """A write to a closed caller raises the error of the endpoints' client.

    It must reach the filters as CallerGone, not as a failure of the
    endpoint.
    """
    raised = []

    async def fail(response, data):
        raise aiohttp.ClientConnectionResetError("closing transport")

    async def stream(exchange):
        try:
            await exchange.sink("x")
        except Exception as error:
            raised.append(type(error))
            raise

    monkeypatch.setattr(web.StreamResponse, "write", fail)
    caller.last[0] = stream
    with pytest.raises(aiohttp.ClientError):
        response = await caller.post(
            "/v1/pipelines/work",
            data=b'{"input": "x"}',
            headers=KEYED | {"Accept": "text/event-stream"},
        )
        await response.read()
    await caller.server_under_test.wait_idle()
    assertions.assert_that(raised, matchers.Equals([exceptions.CallerGone]))


def make_client(caller):
    address = f"127.0.0.1:{caller.server.port}"
    return clients.Client([address], "team")


async def test_client_reads_stream_to_its_end(caller):
    async def stream(exchange):
        await exchange.sink("a ")
        await exchange.sink("b")
        return base.Answer(results.Code.OK, b'{"text":"a b"}')

    caller.last[0] = stream
    received = []
    client = make_client(caller)
    answer = await client.request(
        "work", {"input": "x"}, key="k", text_sink=received.append
    )
    await client.close()
    assertions.assert_that(answer.text, matchers.Equals("a b"))
    assertions.assert_that(answer.is_done, matchers.Is(True))
    assertions.assert_that(received, matchers.Equals(["a ", "b"]))


async def test_client_resends_unknown_outcome_with_its_key(caller):
    seen = []

    async def uncertain(exchange):
        seen.append((exchange.key, exchange.headers.get("x-resend")))
        if len(seen) == 1:
            return base.Answer(results.Code.OUTCOME_UNKNOWN)
        return base.Answer(results.Code.OK, b"{}", replayed=True)

    caller.last[0] = uncertain
    client = make_client(caller)
    answer = await client.request(
        "work", {"input": "x"}, key="k", repeatable=False
    )
    await client.close()
    assertions.assert_that(answer.replayed, matchers.Is(True))
    assertions.assert_that(seen, matchers.Equals([("k", None), ("k", "1")]))


async def test_client_does_not_resend_failed_request(caller):
    seen = []

    async def fail(exchange):
        seen.append(1)
        return base.Answer(results.Code.STAGE_FAILED)

    caller.last[0] = fail
    client = make_client(caller)
    answer = await client.request("work", {"input": "x"}, key="k")
    await client.close()
    assertions.assert_that(answer.family, matchers.Equals("FAILED"))
    assertions.assert_that(len(seen), matchers.Equals(1))
