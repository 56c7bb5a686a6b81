"""At most one execution for each key, whatever fails."""

import asyncio
import logging
import random

import pytest
from testtools import assertions
from testtools import matchers

from chervilshore.controllers import claimreader
from chervilshore.controllers import claimstore
from chervilshore.controllers import compaction
from chervilshore import exceptions
from chervilshore import results
from tests import claims_helpers
from tests import virtual

SEEDS = 1000
PARTS = 10

# Short times, so that everything that can happen does so in a schedule.
TERMS = claimstore.Terms(
    shards=1,
    hold_ms=100.0,
    reply_ms=50.0,
    avoid_ms=300.0,
    timing=claimreader.Timing(grace_ms=600.0, retry_ms=20.0, poll_ms=60.0),
    policy=compaction.Policy(tail_batches=3, tail_ms=400.0),
)


class Schedule:
    """One seeded course of faults, requests and deaths."""

    def __init__(self, seed, keys=3):
        self.keys = [f"k{number}" for number in range(keys)]
        self.rng = random.Random(seed)
        self.cluster = claims_helpers.ClaimsCluster(3, seed, TERMS)
        self.cluster.before_execution = self._behave
        self.killing = self.rng.choice([0.0, 0.1, 0.3])
        self.refusing = self.rng.choice([0.0, 0.2, 0.5])
        self.rates = {
            fault: self.rng.choice([0.0, 0.05, 0.2])
            for fault in ("down", "lost", "unheard", "late")
        }
        self.sending = []
        self.rates["stall"] = self.rng.choice([0.0, 0.0, 0.05])

    async def run(self):
        """Run the schedule, then mend all and ask for each key again."""
        for host in self.cluster.hosts.values():
            await host.claims.maybe_start()
        self.cluster.set_rates(**self.rates)
        clients = [self._call(key) for key in self.keys]
        await asyncio.gather(self._disturb(), *clients)
        await asyncio.gather(*self.sending)
        self.rates = {}
        self.cluster.set_rates()
        self.cluster.set_down(False)
        self.cluster.before_execution = None
        await self.cluster.clock.sleep(2500)
        last = await asyncio.gather(
            *(self._send(key, 99) for key in self.keys)
        )
        for host in self.cluster.hosts.values():
            host.claims.close()
        return last

    async def _call(self, key):
        await self.cluster.clock.sleep(self.rng.uniform(0, 1000))
        if self.rng.random() < 0.3:
            await asyncio.gather(*(self._send(key, 0) for _ in range(3)))
            return
        for resend in range(self.rng.randint(1, 4)):
            patience = self.rng.uniform(5, 900)
            sending = asyncio.ensure_future(self._send(key, resend))
            self.sending.append(sending)
            await asyncio.wait({sending}, timeout=patience / 1000)
            await self.cluster.clock.sleep(self.rng.uniform(0, 100))

    async def _send(self, key, resend):
        name = self.rng.choice(sorted(self.cluster.hosts))
        budget = self.rng.choice([150, 800])
        return await self.cluster.send(name, key, resend=resend, budget=budget)

    async def _behave(self, host, exchange):
        await self.cluster.clock.sleep(self.rng.uniform(0, 20))
        if self.rng.random() < self.refusing:
            raise exceptions.RefusalError(results.Code.NO_ENDPOINT)
        if self.rng.random() < self.killing:
            self._schedule_death(host)

    def _schedule_death(self, host):
        # At once is between claim and dispatch, later between dispatch
        # and outcome.
        delay = self.rng.choice([0.0, 0.005, 0.022, 0.03])
        if not delay:
            self._replace(host)
            return
        loop = asyncio.get_running_loop()
        loop.call_later(delay, self._replace, host)

    def _replace(self, host):
        for name, living in list(self.cluster.hosts.items()):
            if living is host:
                self.cluster.kill(name)
                fresh = self.cluster.start(name)
                fresh.platform.rates = self.rates
                asyncio.ensure_future(fresh.claims.maybe_start())

    async def _disturb(self):
        sleep = self.cluster.clock.sleep
        for _ in range(3):
            await sleep(self.rng.uniform(0, 500))
            self.cluster.set_down(self.rng.random() < 0.3)
            cut = self.rng.choice(sorted(self.cluster.hosts))
            address = self.cluster.hosts[cut].address
            if self.rng.random() < 0.3:
                self.cluster.unreachable.add(address)
            await sleep(self.rng.uniform(0, 500))
            self.cluster.set_down(False)
            if cut in self.cluster.hosts:
                self.cluster.unreachable.discard(
                    self.cluster.hosts[cut].address
                )


@pytest.fixture(autouse=True)
def quiet(caplog):
    # Thousands of expected warnings would be formatted for nothing.
    caplog.set_level(logging.CRITICAL)


def find_faults(cluster):
    """Name each promise that a schedule has broken."""
    faults = [
        f"{key} ran {number} times"
        for key, number in cluster.counts.items()
        if number > 1
    ]
    for sent in cluster.sent:
        if sent.answer is not None:
            faults.extend(_judge(sent, cluster.runs))
    return faults


def _judge(sent, runs):
    code = sent.answer.code
    if code is results.Code.OK:
        if not sent.answer.body.startswith(f'"{sent.key} by'.encode()):
            yield f"{sent} is another's answer"
        return
    if code.value.family is not results.Family.NOT_RUN:
        return
    for run in runs:
        own = run.request == sent.request
        earlier = run.key == sent.key and run.resend < sent.resend
        if own or earlier:
            yield f"{sent} is false: {run}"


@pytest.mark.parametrize("part", range(PARTS))
def test_no_key_runs_twice_and_not_run_is_true(part):
    faults = []
    finals = []
    for seed in range(part, SEEDS, PARTS):
        schedule = Schedule(seed)
        finals += virtual.run(schedule.run())
        faults += [(seed, fault) for fault in find_faults(schedule.cluster)]
    assertions.assert_that(faults, matchers.Equals([]))
    # Afterwards every key has an end: the answer, or that it is unknown.
    codes = {answer.code for answer in finals}
    ends = {
        results.Code.OK,
        results.Code.CLAIM_OPEN,
        results.Code.OUTCOME_UNKNOWN,
    }
    assertions.assert_that(codes - ends, matchers.Equals(set()))
