"""Tests that each key runs at most once under random faults."""

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
PART_COUNT = 10

# Short intervals, so that timeouts and compactions happen in each schedule.
TERMS = claimstore.Terms(
    shards=1,
    hold_ms=100.0,
    reply_ms=50.0,
    avoid_ms=300.0,
    timing=claimreader.Timing(grace_ms=600.0, retry_ms=20.0, poll_ms=60.0),
    policy=compaction.Policy(tail_batches=3, tail_ms=400.0),
)


class Schedule:
    """A random sequence of requests, faults and crashes, from a seed."""

    def __init__(self, seed, keys=3):
        self.keys = [f"k{number}" for number in range(keys)]
        self.rng = random.Random(seed)
        self.cluster = claims_helpers.ClaimsCluster(3, seed, TERMS)
        self.cluster.before_execution = self._inject_fault
        self.crash_probability = self.rng.choice([0.0, 0.1, 0.3])
        self.refusal_probability = self.rng.choice([0.0, 0.2, 0.5])
        self.rates = {
            fault: self.rng.choice([0.0, 0.05, 0.2])
            for fault in ("down", "lost", "unheard", "late")
        }
        self.requests = []
        self.rates["stall"] = self.rng.choice([0.0, 0.0, 0.05])

    async def run(self):
        """Run the schedule, end all faults, and send each key once more."""
        for host in self.cluster.hosts.values():
            await host.claims.maybe_start()
        self.cluster.set_rates(**self.rates)
        clients = [self._call(key) for key in self.keys]
        await asyncio.gather(self._inject_outages(), *clients)
        await asyncio.gather(*self.requests)
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
            timeout_ms = self.rng.uniform(5, 900)
            sending = asyncio.ensure_future(self._send(key, resend))
            self.requests.append(sending)
            await asyncio.wait({sending}, timeout=timeout_ms / 1000)
            await self.cluster.clock.sleep(self.rng.uniform(0, 100))

    async def _send(self, key, resend):
        name = self.rng.choice(sorted(self.cluster.hosts))
        budget = self.rng.choice([150, 800])
        return await self.cluster.send(name, key, resend=resend, budget=budget)

    async def _inject_fault(self, host, exchange):
        await self.cluster.clock.sleep(self.rng.uniform(0, 20))
        if self.rng.random() < self.refusal_probability:
            raise exceptions.RefusalError(results.Code.NO_ENDPOINT)
        if self.rng.random() < self.crash_probability:
            self._schedule_crash(host)

    def _schedule_crash(self, host):
        # Without a delay the host crashes between claim and dispatch, else
        # between dispatch and outcome.
        delay = self.rng.choice([0.0, 0.005, 0.022, 0.03])
        if not delay:
            self._restart(host)
            return
        loop = asyncio.get_running_loop()
        loop.call_later(delay, self._restart, host)

    def _restart(self, host):
        for name, candidate in list(self.cluster.hosts.items()):
            if candidate is host:
                self.cluster.kill(name)
                restarted = self.cluster.start(name)
                restarted.platform.rates = self.rates
                asyncio.ensure_future(restarted.claims.maybe_start())

    async def _inject_outages(self):
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
    # Formatting thousands of expected warnings would slow down the test.
    caplog.set_level(logging.CRITICAL)


def find_violations(cluster):
    """List the violations of the guarantees of claims in a schedule."""
    violations = [
        f"{key} ran {number} times"
        for key, number in cluster.counts.items()
        if number > 1
    ]
    for sent in cluster.sent:
        if sent.answer is not None:
            violations.extend(_check_answer(sent, cluster.runs))
    return violations


def _check_answer(sent, runs):
    code = sent.answer.code
    if code is results.Code.OK:
        if not sent.answer.body.startswith(f'"{sent.key} by'.encode()):
            yield f"{sent} has the answer of another key"
        return
    if code.value.family is not results.Family.NOT_RUN:
        return
    for run in runs:
        same_request = run.request == sent.request
        earlier = run.key == sent.key and run.resend < sent.resend
        if same_request or earlier:
            yield f"{sent} says NOT RUN, but ran: {run}"


@pytest.mark.parametrize("part", range(PART_COUNT))
def test_keys_run_at_most_once_and_not_run_is_true(part):
    violations = []
    final_answers = []
    for seed in range(part, SEEDS, PART_COUNT):
        schedule = Schedule(seed)
        final_answers += virtual.run(schedule.run())
        violations += [
            (seed, violation)
            for violation in find_violations(schedule.cluster)
        ]
    assertions.assert_that(violations, matchers.Equals([]))
    # In the end each key has its answer, or its outcome is unknown.
    codes = {answer.code for answer in final_answers}
    final_codes = {
        results.Code.OK,
        results.Code.CLAIM_OPEN,
        results.Code.OUTCOME_UNKNOWN,
    }
    assertions.assert_that(codes - final_codes, matchers.Equals(set()))
