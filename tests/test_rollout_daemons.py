"""Roll-outs by real daemons, one of which is killed on the way."""

import asyncio
import collections
import itertools
import signal

import aiohttp
import msgspec
import pytest
from testtools import assertions
from testtools import matchers

from standins import site
from standins import workerfaults
from standins import workers
from tests import rollout_helpers as helpers

HOSTS = 3
CALLERS = 12
PAUSE_SECONDS = 0.03
START_SECONDS = 20.0


class Host(site.Host):
    """A daemon with the bounds of roll-outs."""

    async def render_settings(self, store, seeds):
        text = await super().render_settings(store, seeds)
        return msgspec.json.encode(
            msgspec.json.decode(text) | helpers.BOUNDS
        ).decode()


class Deployment(site.LocalDeployment):
    """Daemons that carry out roll-outs, and callers.

    Attributes
    ----------
    statuses : Counter
        Answers by status.
    new : list of Worker
        The endpoints of the new version.
    stopped : set of Host
        The hosts that are not ready after they were killed.
    """

    host_type = Host

    def __init__(self, folder):
        super().__init__(folder, HOSTS)
        self.statuses = collections.Counter()
        self.new = []
        self.stopped = set()
        self._numbers = itertools.count()

    async def add_new_version(self, **faults):
        """Order the new version and start its endpoints."""
        await self.store.write(
            "rollouts",
            "ledger",
            {
                "service": "ledger",
                "to": "v9",
                "duration_s": helpers.DURATION_SECONDS,
            },
        )
        for zone in site.ZONES:
            worker = workers.Worker(f"new-{zone}", millis=10.0, version="v9")
            worker.version_faults = workerfaults.VersionFaults(**faults)
            await worker.start()
            self.new.append(worker)
            await self.store.write(
                "servers", worker.name, worker.describe("ledger", zone)
            )

    async def call(self, session):
        """Send requests, each to the next host."""
        while True:
            number = next(self._numbers)
            host = self.hosts[number % HOSTS]
            if host in self.stopped:
                # The load balancer sends nothing to it.
                await asyncio.sleep(PAUSE_SECONDS)
                continue
            headers = {
                "Host": "shop.example",
                "Chervilshore-Attempt-Id": f"r{number}",
                "Chervilshore-Deadline-Ms": "2000",
                "Chervilshore-Key": site.API_KEY,
            }
            try:
                async with session.get(
                    f"http://{host.address}/look/", headers=headers
                ) as response:
                    await response.read()
                    self.statuses[response.status] += 1
            except aiohttp.ClientError:
                # The host was killed.
                self.statuses[0] += 1
            await asyncio.sleep(PAUSE_SECONDS)

    async def kill(self, host):
        """Kill a host and start it again, until it is ready."""
        self.stopped.add(host)
        await host.restart(signal.SIGKILL)
        await host.wait_ready()
        self.stopped.discard(host)

    async def wait_state(self, state):
        """Wait until the status of the order has a state."""
        async with asyncio.timeout(helpers.DURATION_SECONDS + 3.0):
            while True:
                status = self.store.read_status("rollouts", "ledger")
                if status and status["state"] == state:
                    return
                await asyncio.sleep(0.05)


@pytest.fixture
async def daemons(tmp_path):
    """Daemons that serve callers."""
    made = Deployment(tmp_path)
    await made.start()
    async with asyncio.timeout(START_SECONDS):
        for host in made.hosts:
            await host.wait_ready()
    async with aiohttp.ClientSession() as session:
        callers = [
            asyncio.ensure_future(made.call(session)) for _ in range(CALLERS)
        ]
        yield made
        for caller in callers:
            caller.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
    for worker in made.new:
        await worker.stop()
    await made.stop()


async def test_good_version_completes_though_a_host_is_killed(daemons):
    await daemons.add_new_version()
    await daemons.wait_state("running")
    await daemons.kill(daemons.hosts[0])
    await daemons.wait_state("completed")
    # Only callers of the host that was killed may have got no answer.
    assertions.assert_that(
        daemons.statuses.keys() - {0}, matchers.Equals({200})
    )


async def test_bad_version_is_rolled_back_though_a_host_is_killed(daemons):
    await daemons.add_new_version(fail_share=0.3)
    await daemons.wait_state("running")
    await daemons.kill(daemons.hosts[0])
    await daemons.wait_state("rolled_back")
    await asyncio.sleep(0.5)
    given = sum(len(worker.received) for worker in daemons.new)
    await asyncio.sleep(1.0)
    assertions.assert_that(
        sum(len(worker.received) for worker in daemons.new),
        matchers.Equals(given),
    )
    bound = 0.1 * sum(daemons.statuses.values()) + helpers.SLACK
    assertions.assert_that(given, matchers.Not(matchers.GreaterThan(bound)))
