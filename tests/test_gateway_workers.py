"""A forwarding host before workers that look sound and are not."""

import asyncio

from testtools import assertions
from testtools import matchers

from chervilshore.platform import forwarding
from tests import gateway_helpers as helpers


async def test_what_may_run_once_does_not_use_an_idle_connection(
    deployment, monkeypatch
):
    """Pattern: workers drop idle connections without notice.

    What is sent next on one is lost, and could not be sent again.
    """
    monkeypatch.setattr(forwarding, "FRESH_IDLE_MS", 200.0)
    host, (worker,) = await helpers.serve_plain(
        deployment, kind="non_idempotent"
    )
    for pause in (0.0, 0.0, 0.5):
        await asyncio.sleep(pause)
        await deployment.ask(host, "/look/")
    peers = [received[":peer"] for received in worker.received]
    assertions.assert_that(peers[0], matchers.Equals(peers[1]))
    assertions.assert_that(peers[2], matchers.Not(matchers.Equals(peers[1])))


async def test_a_worker_that_never_answers_is_left_soon(deployment):
    """Pattern: a worker's entry and health are good, and it never answers."""
    host, (mute, sound) = await helpers.serve_plain(
        deployment, count=2, timeout_ms=300
    )
    mute.faults.mute = True
    served = 0
    for _ in range(40):
        response, _ = await deployment.ask(host, "/look/")
        served += response.status == 200
    assertions.assert_that(served, matchers.GreaterThan(30))


async def test_a_worker_that_goes_down_and_up_costs_no_request(deployment):
    """Pattern: a worker flaps; requests may be repeated within a budget."""
    host, (flapping, sound) = await helpers.serve_plain(
        deployment, count=2, host={"retry_slack": "400"}
    )
    served = 0
    for number in range(40):
        flapping.faults.reset = int(number // 5 % 2 == 0)
        response, _ = await deployment.ask(host, "/look/")
        served += response.status == 200
    assertions.assert_that(served, matchers.Equals(40))


async def test_an_instruction_runs_once_while_its_worker_flaps(deployment):
    host, found = await helpers.serve_plain(
        deployment, count=2, kind="non_idempotent"
    )
    for number in range(30):
        found[0].faults.reset = int(number % 3 == 0)
        await deployment.ask(host, "/look/")
    runs = found[0].runs + found[1].runs
    assertions.assert_that(len(runs), matchers.Equals(len(set(runs))))
