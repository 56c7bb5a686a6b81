"""Daemons that are all killed at once learn again what endpoints said.

The load: three real daemons, a power loss of all, and endpoints that had said
that they leave, want a pause, bear a limit or are cold.
"""

import asyncio
import signal

import pytest
from testtools import assertions
from testtools import matchers

from tests import daemon_helpers
from tests import gateway_helpers as helpers

HOSTS = 3
REQUESTS = 20
LIMIT_PER_S = 1.0
LIMIT_SECONDS = 4.0
COLD_PER_S = 4.0
PAUSE_SECONDS = 30


@pytest.fixture
async def daemons(deployment, tmp_path):
    """Yield daemons that are not started, of one cluster."""
    async with daemon_helpers.make_daemons(
        deployment, tmp_path, HOSTS
    ) as found:
        yield found


async def lose_power(daemons):
    """Kill all daemons at once and start them again."""
    for daemon in daemons:
        daemon.send_signal(signal.SIGKILL)
    for daemon in daemons:
        await daemon.process.wait()
    await daemon_helpers.start_all(daemons)


async def send_to_all(deployment, daemons, requests=REQUESTS):
    """Send requests to all daemons in turn; return how many were served."""
    served = 0
    for _ in range(requests):
        for daemon in daemons:
            response, _ = await deployment.send(daemon, "/look/")
            served += response.status == 200
    return served


async def serve(deployment, daemons, **service):
    """Start the daemons with two workers."""
    await deployment.configure(
        [helpers.make_route("look", "ledger")],
        [helpers.make_service("ledger", **service)],
    )
    found = [await deployment.add_worker(f"w{n}", "ledger") for n in range(2)]
    await daemon_helpers.start_all(daemons)
    return found


async def test_endpoint_that_leaves_gets_one_more_request_of_each_host(
    deployment, daemons
):
    leaving, _ = await serve(deployment, daemons)
    leaving.faults.leaving = True
    await send_to_all(deployment, daemons)
    for _ in range(2):
        leaving.received.clear()
        await lose_power(daemons)
        served = await send_to_all(deployment, daemons)
        assertions.assert_that(served, matchers.Equals(HOSTS * REQUESTS))
        assertions.assert_that(
            len(leaving.received), matchers.Not(matchers.GreaterThan(HOSTS))
        )


async def test_endpoint_that_wants_a_pause_gets_one_more_request_of_each_host(
    deployment, daemons
):
    paused, _ = await serve(deployment, daemons)
    paused.faults.retry_after = str(PAUSE_SECONDS)
    paused.faults.shed = 1000
    await send_to_all(deployment, daemons)
    paused.faults.shed = 1000
    await lose_power(daemons)
    await send_to_all(deployment, daemons)
    refused = 1000 - paused.faults.shed
    assertions.assert_that(refused, matchers.Not(matchers.GreaterThan(HOSTS)))


async def test_limited_endpoint_gets_one_request_of_each_host_beyond_its_limit(
    deployment, daemons
):
    limited, _ = await serve(deployment, daemons)
    limited.faults.limit = str(LIMIT_PER_S)
    await send_to_all(deployment, daemons)
    await lose_power(daemons)
    limited.received.clear()
    loop = asyncio.get_running_loop()
    end = loop.time() + LIMIT_SECONDS
    while loop.time() < end:
        await send_to_all(deployment, daemons, 1)
        await asyncio.sleep(0.02)
    assertions.assert_that(
        len(limited.received),
        matchers.LessThan(HOSTS + LIMIT_PER_S * LIMIT_SECONDS + 1),
    )


async def test_cold_endpoint_is_spared_by_daemons_that_have_just_started(
    deployment, daemons
):
    cold, _ = await serve(
        deployment, daemons, cold_per_s=COLD_PER_S, cold_start_s=60.0
    )
    entry = cold.describe("ledger", "a", cold_left_ms=60_000)
    await deployment.store.write("servers", "w0", entry)
    await send_to_all(deployment, daemons)
    await lose_power(daemons)
    cold.received_at.clear()
    loop = asyncio.get_running_loop()
    end = loop.time() + 3.0
    while loop.time() < end:
        await send_to_all(deployment, daemons, 1)
    times = cold.received_at
    highest = max(
        sum(start <= time < start + 1.0 for time in times) for start in times
    )
    # Half of the rate, and a first request of each host.
    assertions.assert_that(
        highest,
        matchers.Not(matchers.GreaterThan(HOSTS + COLD_PER_S / 2.0 + 1)),
    )
