"""The callers' interface: bad input, end marks, streams, the client."""

from aiohttp import test_utils
import pytest
from testtools import assertions
from testtools import matchers

from chervilshore import client as clients
from chervilshore.controllers import configuration
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
    """A server whose last filter can be replaced, and a raw client."""
    rules = helpers.make_rules(
        helpers.records.EndpointKind.ENGINE, repeatable=False
    )
    held = configuration.StaticConfiguration(rules)

    async def echo(exchange):
        return base.Answer(results.Code.OK, b'{"echo":1}')

    last = [echo]

    async def proceed(exchange):
        return await last[0](exchange)

    steps = [outcome.OutcomeFilter(), decode.DecodeFilter(held)]
    served = server.Server(
        clock, base.chain(steps, proceed), metrics.Metrics(), 1000
    )
    web_server = test_utils.TestServer(served.make_app())
    async with test_utils.TestClient(web_server) as web_client:
        web_client.served = served
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
async def test_bad_input_gets_a_number(caller, data, headers, name, code):
    response, body = await post(caller, data, headers, name)
    assertions.assert_that(body["code"], matchers.Equals(code.value.number))
    assertions.assert_that(response.status, matchers.Equals(code.value.status))
    assertions.assert_that(body["end"], matchers.Is(True))


async def test_a_whole_answer_has_id_and_end(caller):
    headers = KEYED | {"X-Request-Id": "mine"}
    _, body = await post(caller, b'{"input": "x"}', headers)
    assertions.assert_that(body["request"], matchers.Equals("mine"))
    assertions.assert_that(body["result"], matchers.Equals({"echo": 1}))
    assertions.assert_that(body["end"], matchers.Is(True))


async def test_a_draining_host_refuses_not_run(caller):
    caller.served.draining = True
    response, body = await post(caller, b'{"input": "x"}', KEYED)
    assertions.assert_that(body["family"], matchers.Equals("NOT RUN"))
    assertions.assert_that(
        response.headers["Retry-After"], matchers.Equals("0")
    )


async def test_a_crash_does_not_claim_that_nothing_ran(caller):
    async def crash(exchange):
        raise KeyError("x")

    caller.last[0] = crash
    _, body = await post(caller, b'{"input": "x"}', KEYED)
    assertions.assert_that(body["family"], matchers.Equals("UNKNOWN"))


def make_client(caller):
    address = f"127.0.0.1:{caller.server.port}"
    return clients.Client([address], "team")


async def test_the_client_reads_a_stream_to_its_end(caller):
    async def stream(exchange):
        await exchange.sink("a ")
        await exchange.sink("b")
        return base.Answer(results.Code.OK, b'{"text":"a b"}')

    caller.last[0] = stream
    heard = []
    client = make_client(caller)
    answer = await client.request(
        "work", {"input": "x"}, key="k", text_sink=heard.append
    )
    await client.close()
    assertions.assert_that(answer.text, matchers.Equals("a b"))
    assertions.assert_that(answer.is_done, matchers.Is(True))
    assertions.assert_that(heard, matchers.Equals(["a ", "b"]))


async def test_the_client_resends_an_unknown_only_under_its_key(caller):
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


async def test_the_client_does_not_resend_what_failed(caller):
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
