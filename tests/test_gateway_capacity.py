"""Capacity that hosts learn together, with real sockets.

The load: prompts at two hosts, for two endpoints with a slot each, one of
which pauses four times as long between its events.
"""

import asyncio

from testtools import assertions
from testtools import matchers

from tests import gateway_helpers as helpers

FAST_MS = 10.0
SLOW_MS = 40.0
EVENTS = 12


async def serve_uneven(deployment):
    """Start two hosts and two endpoints; return the hosts."""
    await deployment.configure(
        [helpers.make_route("say", "llm", kind="stream", resumable=True)],
        [helpers.make_service("llm", engine={"slots": 1})],
    )
    hosts = [await deployment.add_host()]
    seed = {"seeds": hosts[0]._options.peer_address, "domain": "b"}
    hosts.append(await deployment.add_host(**seed))
    for name, pause_ms in (("m0", FAST_MS), ("m1", SLOW_MS)):
        worker = await deployment.add_worker(
            name, "llm", events=EVENTS, event_ms=pause_ms
        )
        await deployment.store.write(
            "servers", name, worker.describe("llm", "a", slots=1)
        )
    for host in hosts:
        await deployment.wait_ready(host, 2)
    await deployment.wait_until(
        lambda: all(host._max_known_hosts == 2 for host in hosts)
    )
    return hosts


async def send_prompt(deployment, host, number):
    headers = {
        "Chervilshore-Token-Usage": "300,120",
        "Chervilshore-Prompt-Prefix": f"aa{number:02x}:100,bb{number:02x}:200",
    }
    answer, _ = await deployment.send(host, "/say/x", headers=headers)
    assertions.assert_that(answer.status, matchers.Equals(200))


async def test_hosts_learn_which_endpoint_is_slow(deployment):
    hosts = await serve_uneven(deployment)
    for number in range(10):
        await asyncio.gather(
            *(send_prompt(deployment, host, number) for host in hosts)
        )
    await asyncio.sleep(1.0)
    for host in hosts:
        known = (await deployment.read_status(host))["capacity"]["llm"]
        slowness = {
            name: one["steady_slowness"]
            for name, one in known["endpoints"].items()
        }
        assertions.assert_that(
            slowness["m1"], matchers.GreaterThan(1.3 * slowness["m0"])
        )
        assertions.assert_that(known["age_ms"], matchers.IsInstance(int))


async def test_one_host_learns_nothing(deployment):
    host, _ = await helpers.serve_stream(deployment)
    await send_prompt(deployment, host, 1)
    await asyncio.sleep(0.6)
    status = await deployment.read_status(host)
    assertions.assert_that(status["capacity"], matchers.Equals({}))
