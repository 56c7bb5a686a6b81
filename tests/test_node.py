"""One whole entry host over loopback, against the stand-ins."""

import asyncio

from aiohttp import test_utils
import msgspec
import pytest
from testtools import assertions
from testtools import matchers

from chervilshore import client as clients
from chervilshore import clock as clocks
from chervilshore import edits
from chervilshore import node
from chervilshore import operations
from chervilshore import records
from chervilshore import settings
from measure import deployment
from standins import base
from standins import platform as platforms
from standins import pool

RULES = """
domain a region=r state=in  # Ada, test
pool desk kind=plain cold=4 most=8  # Ada, test
class prompt priority=1  # Ada, test
service look pool=desk path=/look repeatable=yes class=prompt  # Ada, test
service bill pool=desk path=/bill repeatable=no class=prompt  # Ada, test
team one rate=100 burst=100 concurrency=100  # Ada, test
"""


@pytest.fixture
async def host():
    """A started node, its only endpoint's stand-in, and a client."""
    standin = pool.Plain("desk-1", base.Shape(service_ms=0.0, cold=4))
    standin.turn_cold()
    standin.warm()
    back = test_utils.TestServer(standin.make_app())
    await back.start_server()
    served = platforms.PlatformServer()
    front = test_utils.TestServer(served.make_app())
    await front.start_server()
    http, peer = deployment.find_ports(2)
    await accept_rules(served)
    served.store.host_list = records.HostList(
        endpoints=(
            records.EndpointRecord(
                "desk-1", "desk", "a", f"127.0.0.1:{back.port}"
            ),
        )
    )
    flags = {
        "host": "a-1",
        "domain": "a",
        "http_address": f"127.0.0.1:{http}",
        "peer_address": f"127.0.0.1:{peer}",
        "platform": f"127.0.0.1:{front.port}",
    }
    started = node.Node(settings.load(flags, {}), clocks.SystemClock())
    await started.start()
    while not started.server.ready():
        await asyncio.sleep(0.01)
    client = clients.Client([flags["http_address"]], "one")
    yield started, standin, client, served
    await client.close()
    await started.stop()
    await back.close()
    await front.close()


async def accept_rules(served):
    operator = operations.Operations(served.store, None, served.clock)
    edit = edits.Edit(
        author="test", reason="test", document=edits.parse(RULES, "test")
    )
    await operator.apply(await operator.plan(edit), 1000.0)


async def test_a_graceful_shutdown_cuts_no_request(host):
    served, standin, client, _ = host
    gate = asyncio.Event()

    async def wait(millis):
        await gate.wait()

    standin.serve_for = wait
    running = asyncio.ensure_future(client.request("look", {"n": 1}))
    while not standin.counts.in_flight:
        await asyncio.sleep(0.01)
    draining = asyncio.ensure_future(served.drain())
    await asyncio.sleep(0)
    late = await client.request("look", {"n": 2}, resend=False)
    assertions.assert_that(late.name, matchers.Equals("DRAINING"))
    assertions.assert_that(late.is_not_run, matchers.Is(True))
    assertions.assert_that(draining.done(), matchers.Is(False))
    gate.set()
    answer = await running
    await draining
    assertions.assert_that(answer.is_done, matchers.Is(True))


async def test_a_lost_answer_of_an_instruction_is_unknown(host):
    _, standin, client, _ = host
    standin.faults.lose = 1.0
    first = await client.request(
        "bill", {"n": 1}, key="k", repeatable=False, resend=False
    )
    standin.faults.lose = 0.0
    again = await client.request(
        "bill", {"n": 1}, key="k", repeatable=False, resend=False
    )
    for answer in (first, again):
        assertions.assert_that(answer.family, matchers.Equals("UNKNOWN"))
    assertions.assert_that(standin.counts.runs, matchers.Equals({"k": 1}))


async def test_without_the_platform_only_instructions_are_refused(host):
    _, standin, client, served = host
    served.knobs = msgspec.structs.replace(served.knobs, down=True)
    look = await client.request("look", {"n": 1})
    bill = await client.request(
        "bill",
        {"n": 1},
        deadline_ms=300,
        key="k",
        repeatable=False,
        resend=False,
    )
    assertions.assert_that(look.is_done, matchers.Is(True))
    assertions.assert_that(bill.is_not_run, matchers.Is(True))
    assertions.assert_that(standin.counts.runs, matchers.Equals({}))
