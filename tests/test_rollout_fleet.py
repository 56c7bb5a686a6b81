"""Status and evidence of roll-outs over many hosts, in virtual time.

The load: all hosts decide alike at once, and the store refuses or loses calls.
"""

import random

import pytest
from testtools import assertions
from testtools import matchers

from chervilshore.clients import memory
from chervilshore.controllers import directory as directories
from chervilshore.controllers import rolloutspread
from chervilshore.controllers import rolloutstatus
from chervilshore.decisions.rollouts import records as rollout_records
from chervilshore.decisions.rollouts import rollout
from chervilshore import ids
from chervilshore.platform import kinds
from chervilshore.platform import names
from chervilshore.platform import rollouts
from chervilshore import records
from standins import objectstore
from tests import virtual

ORDER = {"service": "llm", "to": "v2", "duration_s": 12}
MAX_WRITES = 2
SPREAD_MS = 1500.0
"""Milliseconds in which all hosts have to know that a version has failed: a
third of what the users allow, as sends take their time too."""

DECODERS = kinds.choose_decoders(True)


class Fleet:
    """What hosts have to do with one order, without what decides on it."""

    def __init__(self, count, seed=1):
        self.clock = virtual.LoopClock()
        self.store = objectstore.ObjectStore(self.clock)
        self.network = memory.MemoryNetwork(self.clock)
        rng = random.Random(seed)
        hosts = tuple(
            records.HostRecord(
                host=ids.HostId(f"h{number}"),
                domain=ids.DomainId("abc"[number % 3]),
                peer_address=ids.Address(f"10.0.{number >> 8}.{number & 255}"),
                http_address=ids.Address(""),
            )
            for number in range(count)
        )
        directory = directories.StaticDirectory(records.HostList(hosts=hosts))
        self.names = [one.host for one in hosts]
        self.writers = [
            rolloutstatus.StatusWriter(name, self.clock, self.store, DECODERS)
            for name in self.names
        ]
        self.spreads = [
            rolloutspread.RolloutSpread(
                one.host,
                self.clock,
                directory,
                self.network.join(one.peer_address),
                rng,
            )
            for one in hosts
        ]
        order = rollout_records.RolloutOrder("llm", "v2", 12_000.0, 7)
        for name, spread in zip(self.names, self.spreads, strict=True):
            decided = rollout.Rollout(
                order,
                name,
                ids.Incarnation(1),
                rollout_records.ExposureLimits(),
                0.0,
                rng,
                hosts=count,
            )
            spread.add(7, decided)

    def read(self):
        """Return the order as it is in the store."""
        return self.store._objects[names.ROLLOUTS]["llm"]

    async def want(self, state, millis):
        """Let all hosts want a state for a time, by what is in the store."""
        for _ in range(int(millis / 100.0)):
            stored = self.read()
            record = rollouts.decode_rollout(stored)
            for writer in self.writers:
                if record.state == state:
                    writer.forget("llm")
                    continue
                wanted = records.RolloutRecord(
                    "llm", "v2", record.duration_ms, state, record.created
                )
                writer.want(wanted, stored, self.names)
            await self.clock.sleep(100.0)

    def count_writes(self):
        """Return how many calls tried to write a status."""
        return sum(call == "put_status" for _, call, _ in self.store.calls)

    async def start_writers(self):
        self.store.write(names.ROLLOUTS, "llm", ORDER)
        for writer in self.writers:
            await writer.start()

    async def stop(self):
        for service in self.writers + self.spreads:
            if service.started:
                await service.stop()


@pytest.mark.parametrize("hosts", [3, 84, 370])
def test_few_hosts_write_what_all_decide(hosts):
    async def run():
        fleet = Fleet(hosts)
        await fleet.start_writers()
        await fleet.want("running", 3000.0)
        await fleet.want("completed", 3000.0)
        state = rollouts.decode_rollout(fleet.read()).state
        assertions.assert_that(state, matchers.Equals("completed"))
        assertions.assert_that(
            fleet.count_writes(),
            matchers.Not(matchers.GreaterThan(2 * MAX_WRITES)),
        )
        await fleet.stop()

    virtual.run(run())


def test_status_is_written_once_the_store_answers_again():
    async def run():
        fleet = Fleet(84)
        await fleet.start_writers()
        fleet.store.faults.refuses = True
        await fleet.want("running", 4000.0)
        fleet.store.faults.refuses = False
        await fleet.want("running", 2000.0)
        state = rollouts.decode_rollout(fleet.read()).state
        assertions.assert_that(state, matchers.Equals("running"))
        await fleet.stop()

    virtual.run(run())


def test_decision_on_an_order_that_was_replaced_is_not_written():
    async def run():
        fleet = Fleet(3)
        await fleet.start_writers()
        stored = fleet.read()
        record = records.RolloutRecord("llm", "v2", 12_000.0, "completed")
        fleet.store.write(names.ROLLOUTS, "llm", ORDER | {"to": "v3"})
        for writer in fleet.writers:
            writer.want(record, stored, fleet.names)
        await fleet.clock.sleep(5000.0)
        assertions.assert_that(
            rollouts.decode_rollout(fleet.read()).state, matchers.Equals("")
        )
        await fleet.stop()

    virtual.run(run())


@pytest.mark.parametrize("hosts", [3, 84, 370])
def test_all_hosts_learn_soon_that_a_version_has_failed(hosts):
    async def run():
        fleet = Fleet(hosts)
        for spread in fleet.spreads:
            await spread.start()
        await fleet.clock.sleep(5000.0)
        first = fleet.spreads[0]
        first.rollouts[7].set_state(
            rollout_records.RolloutState.ROLLED_BACK, fleet.clock.now()
        )
        first.hurry()
        await fleet.clock.sleep(SPREAD_MS)
        condemned = rollout_records.Phase.CONDEMNED
        knowing = sum(
            spread.rollouts[7].phase is condemned for spread in fleet.spreads
        )
        assertions.assert_that(knowing, matchers.Equals(hosts))
        await fleet.stop()

    virtual.run(run())


def test_host_that_was_cut_off_learns_it_when_it_is_back():
    async def run():
        fleet = Fleet(5)
        for spread in fleet.spreads:
            await spread.start()
        lost = ids.Address("10.0.0.4")
        fleet.network.should_drop = lambda sender, receiver: (
            lost in (sender, receiver)
        )
        first = fleet.spreads[0]
        first.rollouts[7].set_state(
            rollout_records.RolloutState.ROLLED_BACK, fleet.clock.now()
        )
        first.hurry()
        await fleet.clock.sleep(3000.0)
        fleet.network.should_drop = lambda sender, receiver: False
        await fleet.clock.sleep(SPREAD_MS)
        assertions.assert_that(
            fleet.spreads[4].rollouts[7].phase,
            matchers.Is(rollout_records.Phase.CONDEMNED),
        )
        await fleet.stop()

    virtual.run(run())
