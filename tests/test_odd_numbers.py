"""Numbers in headers that are no ASCII digits, or too long."""

import asyncio

import pytest
from testtools import assertions
from testtools import matchers

from chervilshore.clients import connectionpool
from chervilshore.clients import connections
from chervilshore.clients import keepalive
from chervilshore import clock as clocks
from chervilshore import exceptions
from chervilshore.platform import requests
from chervilshore.platform import store as store_clients
from tests import script_helpers

DIGITS = ("²", "٣", "1²", "9" * 5000)
"""Digits that `int` or `float` does not read, or reads without a bound."""


def decode(**headers):
    pairs = [(name.replace("_", "-"), headers[name]) for name in headers]
    return requests.decode_request("GET", "/a", pairs, b"")


@pytest.mark.parametrize("text", [*DIGITS, "", "x", "-1"])
def test_event_id_that_is_no_number_names_no_event(text):
    assertions.assert_that(
        decode(last_event_id=text).last_event_id, matchers.Is(None)
    )


def test_tokens_of_a_prompt_part_are_bounded():
    parts = decode(chervilshore_prompt_prefix=f"a:{'9' * 400},b:-1").parts
    assertions.assert_that(
        [part.tokens for part in parts],
        matchers.Equals([requests.MAX_TOKENS, 0]),
    )


@pytest.mark.parametrize("text", DIGITS)
def test_keep_alive_timeout_that_is_no_number_is_the_default(text):
    assertions.assert_that(
        keepalive.read_idle_ms(f"timeout={text}"),
        matchers.Equals(keepalive.DEFAULT_IDLE_MS),
    )


@pytest.mark.parametrize("text", [*DIGITS, "-1", "70000"])
def test_era_that_is_no_small_number_is_a_failed_call(text):
    head = connections.ResponseHead(200, [("store-era", text)])
    with pytest.raises(exceptions.PlatformUnavailable):
        store_clients._read_era("/objects/servers", head)


RESPONSE = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
    b"Keep-Alive: timeout=\xb2\r\n\r\nok"
)


# Guards against a whole answer that is replaced by an error, as the endpoint
# said in an odd way that it is cold.
async def test_answer_with_an_odd_cold_time_is_passed_on(deployment):
    script = script_helpers.Script()
    answer = script_helpers.make_answer(
        b"x",
        content_type="text/plain",
        framing="length",
        headers=["Chervilshore-Response-Stamp: s", "Chervilshore-Cold-Ms: x"],
    )
    script.answers = [(answer, script_helpers.End.KEEP)]
    host = await script_helpers.serve(deployment, script, count=1)
    found = await script_helpers.read_stream(deployment, host)
    assertions.assert_that(found, matchers.Equals((200, b"x", True)))
    script.stop()


class Server(asyncio.Protocol):
    """Answers each request with the same bytes."""

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.transport.write(RESPONSE)


# A timeout that is no number was an error after the whole response.
async def test_response_with_an_odd_keep_alive_timeout_is_complete():
    loop = asyncio.get_running_loop()
    server = await loop.create_server(Server, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    pool = connectionpool.ConnectionPool(clocks.SystemClock(), 1000.0)
    request = connections.Request("GET", "/", [("Host", "a")])
    try:
        for _ in range(2):
            head, content = await pool.fetch(
                f"127.0.0.1:{port}", request, 5000.0
            )
            assertions.assert_that(
                (head.status, content), matchers.Equals((200, b"ok"))
            )
    finally:
        pool.close()
        server.close()
        await server.wait_closed()
        # Closes the transports before the loop ends.
        await asyncio.sleep(0.01)
