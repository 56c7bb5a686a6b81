"""Tests of a forwarding host with workers that look healthy but fail."""

import asyncio

from testtools import assertions
from testtools import matchers

from chervilshore.platform import forwarding
from tests import gateway_helpers as helpers


async def test_non_idempotent_request_does_not_use_an_idle_connection(
    deployment, monkeypatch
):
    """Workers may close idle connections without notice.

    A request that is sent on one is lost and must not be sent again.
    """
    monkeypatch.setattr(forwarding, "FRESH_IDLE_MS", 200.0)
    host, (worker,) = await helpers.serve_plain(
        deployment, kind="non_idempotent"
    )
    for pause in (0.0, 0.0, 0.5):
        await asyncio.sleep(pause)
        await deployment.send(host, "/look/")
    peers = [received[":peer"] for received in worker.received]
    assertions.assert_that(peers[0], matchers.Equals(peers[1]))
    assertions.assert_that(peers[2], matchers.Not(matchers.Equals(peers[1])))


async def test_worker_that_never_answers_is_ejected(deployment):
    """A worker is registered and passes health checks but never answers."""
    host, (mute, healthy) = await helpers.serve_plain(
        deployment, count=2, timeout_ms=300
    )
    mute.faults.mute = True
    served = 0
    for _ in range(40):
        response, _ = await deployment.send(host, "/look/")
        served += response.status == 200
    assertions.assert_that(served, matchers.GreaterThan(30))


async def test_flapping_worker_fails_no_request(deployment):
    """A worker flaps; retries within the budget hide it from callers."""
    host, (flapping, healthy) = await helpers.serve_plain(
        deployment, count=2, host={"retry_slack": "400"}
    )
    served = 0
    for number in range(40):
        flapping.faults.reset = int(number // 5 % 2 == 0)
        response, _ = await deployment.send(host, "/look/")
        served += response.status == 200
    assertions.assert_that(served, matchers.Equals(40))


async def test_non_idempotent_request_runs_once_on_a_flapping_worker(
    deployment,
):
    host, workers = await helpers.serve_plain(
        deployment, count=2, kind="non_idempotent"
    )
    for number in range(30):
        workers[0].faults.reset = int(number % 3 == 0)
        await deployment.send(host, "/look/")
    runs = workers[0].runs + workers[1].runs
    assertions.assert_that(len(runs), matchers.Equals(len(set(runs))))
