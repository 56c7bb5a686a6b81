"""What hosts keep in the store of streams, and what they may conclude."""

import asyncio

from testtools import assertions
from testtools import matchers

from chervilshore.decisions import storedstreams
from chervilshore import exceptions
from chervilshore import forwarded
from tests import stream_helpers as helpers
from tests import virtual

OLD = forwarded.StreamOrigin(helpers.POOL, "v1")
NEW = forwarded.StreamOrigin(helpers.POOL, "v2")

MAX_ADDED_CALLS = 0.01
"""Added calls to the store, as a share of those of a host without streams, on
days with one version."""

CALLS_PER_HOST = 31.0
"""Calls of a host to the store in a quiet day of kdc-fleet."""

STALE_PRICE = 0.1
"""Price of a call whose answer may be old, as a share of another's."""


def test_a_start_is_unwritten_until_the_store_has_it():
    journal = storedstreams.StreamJournal()
    journal.add(storedstreams.StoredStart("s", OLD, 100.0))
    change, _ = journal.list_starts()
    journal.add(storedstreams.StoredStart("t", OLD, 100.0))
    journal.record_written(change)
    assertions.assert_that(journal.has_unwritten, matchers.Equals(True))
    journal.record_written(change + 1)
    assertions.assert_that(journal.has_unwritten, matchers.Equals(False))
    journal.forget_written()
    assertions.assert_that(journal.has_unwritten, matchers.Equals(True))


def test_store_may_contradict_until_a_second_origin_is_written():
    journal = storedstreams.StreamJournal()
    journal.add(storedstreams.StoredStart("s", OLD, 100.0))
    found = [journal.may_contradict("s")]
    journal.add(storedstreams.StoredStart("s", NEW, 100.0))
    found.append(journal.may_contradict("s"))
    journal.record_written(journal.list_starts()[0])
    found.append(journal.may_contradict("s"))
    assertions.assert_that(found, matchers.Equals([False, True, False]))
    assertions.assert_that(journal.find("s"), matchers.Equals(NEW))


def test_journal_drops_the_oldest_and_the_expired():
    journal = storedstreams.StreamJournal()
    for number in range(storedstreams.MAX_STARTS + 1):
        journal.add(storedstreams.StoredStart(f"s{number}", OLD, number))
    assertions.assert_that(
        [len(journal), journal.find("s0"), journal.find("s1")],
        matchers.Equals([storedstreams.MAX_STARTS, None, OLD]),
    )
    journal.expire(float(storedstreams.MAX_STARTS - 1))
    assertions.assert_that(journal, matchers.HasLength(1))


def test_versions_are_gone_when_listed_no_more_for_the_window():
    registry = storedstreams.VersionRegistry()
    registry.add(OLD, 0.0)
    registry.add(NEW, 0.0)
    registry.record_listed(helpers.POOL, ["v2"], 90.0)
    found = [
        registry.list_gone(helpers.POOL, 100.0, now) for now in (100, 101)
    ]
    assertions.assert_that(found, matchers.Equals([[], [OLD]]))
    registry.replace([NEW], 101.0)
    assertions.assert_that(
        registry.list_versions(helpers.POOL), matchers.Equals({"v2"})
    )


async def start_world(versions, hosts=3, seed=1):
    world = helpers.World(seed)
    del world.hosts[hosts:]
    await world.start(2)
    for version in versions[1:]:
        world.add_endpoint(version)
        world.add_endpoint(version)
    await asyncio.sleep(1.0)
    return world


# A first attempt at one version fails; if the store names that one still, a
# stream that began at another must not begin.
def test_stream_does_not_begin_while_the_store_may_name_another_version():
    async def begin():
        world = await start_world(["v1", "v2"])
        host = world.hosts[0]
        await world.begin(host, "v1")
        await asyncio.sleep(1.0)
        exchange = world.make_exchange()
        host.streams.follow(exchange)
        exchange.relay.begin_attempt(OLD)
        await asyncio.sleep(0.3)
        world.store.faults.silent = True
        exchange.relay.begin_attempt(NEW)
        try:
            await exchange.relay.begin_stream(NEW)
        except exceptions.RefusalError as error:
            return error.code.name
        return None

    assertions.assert_that(
        virtual.run(begin()), matchers.Equals("STREAM_BROKEN")
    )


# A first attempt at one version was read by a host; the stream began at
# another version then, and all other hosts ended.
def test_what_a_stream_was_sent_to_first_is_not_taken_for_its_origin():
    async def resume():
        world = await start_world(["v1", "v2"])
        first, reader, _ = world.hosts
        exchange = world.make_exchange()
        first.streams.follow(exchange)
        exchange.relay.begin_attempt(OLD)
        await asyncio.sleep(0.5)
        await world.find(reader, "never-sent")
        exchange.relay.begin_attempt(NEW)
        await asyncio.sleep(0.5)
        await exchange.relay.begin_stream(NEW)
        for host in (first, world.hosts[2]):
            await host.stop()
        return await world.find(reader, exchange.request)

    assertions.assert_that(virtual.run(resume()), matchers.Equals(NEW))


# All hosts end while one version is replaced by another; what was listed
# before is not known to any of them.
def test_registered_version_is_not_trusted_while_another_is_listed():
    async def resume():
        world = await start_world(["v1"])
        stream = await world.begin(world.hosts[0], "v1")
        await asyncio.sleep(1.0)
        for host in world.hosts:
            await host.stop()
        for name in tuple(world.endpoints):
            world.remove_endpoint(name)
        world.add_endpoint("v2")
        for host in world.hosts:
            await host.start()
        await asyncio.sleep(1.0)
        return await world.find(world.hosts[1], stream)

    assertions.assert_that(virtual.run(resume()), matchers.Equals(None))


def test_streams_go_on_when_the_store_is_away_for_a_moment():
    async def resume():
        world = await start_world(["v1", "v2"])
        stream = await world.begin(world.hosts[0], "v2")
        await asyncio.sleep(1.0)
        await world.kill_all(1.0)
        world.store.faults.refuses = True
        found = asyncio.ensure_future(world.find(world.hosts[1], stream))
        await asyncio.sleep(0.5)
        world.store.faults.refuses = False
        return await found

    assertions.assert_that(virtual.run(resume()), matchers.Equals(NEW))


def test_starts_are_written_again_after_the_store_was_restored():
    async def resume():
        world = await start_world(["v1", "v2"])
        copy = world.store.copy()
        stream = await world.begin(world.hosts[0], "v2")
        await asyncio.sleep(1.0)
        world.store.restore(copy)
        await asyncio.sleep(6.0)
        await world.kill_all(1.0)
        return await world.find(world.hosts[1], stream)

    assertions.assert_that(virtual.run(resume()), matchers.Equals(NEW))


def test_one_version_adds_few_calls_to_the_store():
    async def serve():
        world = await start_world(["v1"], hosts=6, seed=0)
        for _ in range(600):
            world.spawn(world.begin(world.rng.choice(world.hosts), "v1"))
            await asyncio.sleep(0.1)
        return [call for _, call, _ in world.store.calls], len(world.hosts)

    calls, hosts = virtual.run(serve())
    price = sum(STALE_PRICE if "stale" in call else 1.0 for call in calls)
    assertions.assert_that(
        price / (hosts * CALLS_PER_HOST),
        matchers.Not(matchers.GreaterThan(MAX_ADDED_CALLS)),
    )


# A host that ended wrote what streams were sent to, and came back; all hosts
# end again before those streams have gone on.
def test_starts_of_the_run_before_are_kept():
    async def resume():
        world = await start_world(["v1", "v2"])
        stream = await world.begin(world.hosts[0], "v2")
        await asyncio.sleep(1.0)
        await world.kill_all(1.0)
        await world.begin(world.hosts[0], "v1")
        await asyncio.sleep(1.0)
        await world.kill_all(1.0)
        return await world.find(world.hosts[1], stream)

    assertions.assert_that(virtual.run(resume()), matchers.Equals(NEW))
