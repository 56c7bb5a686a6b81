"""Tests that generations become active on all hosts, whole and in order."""

import logging

import pytest
from testtools import assertions
from testtools import matchers

from chervilshore.clients import memory
from chervilshore import ids
from chervilshore import records
from chervilshore.rules import generations
from chervilshore.rules import guards
from chervilshore import statuses
from tests import configuration_helpers as helpers

DOMAINS = ("scot-a", "scot-b", "scot-c")


@pytest.fixture
async def cluster(clock, platform, network):
    cluster = helpers.Cluster(clock, platform, network, DOMAINS)
    yield cluster
    await cluster.stop()
    assertions.assert_that(cluster.violations, matchers.Equals([]))


@pytest.fixture
async def running(cluster):
    """A cluster with generation 1 active on all hosts."""
    await cluster.start()
    await helpers.publish_rules(cluster)
    await cluster.run(1000)
    assert_generation(cluster, 1)
    return cluster


def assert_generation(cluster, generation):
    expected = [generation] * len(cluster.services)
    assertions.assert_that(
        cluster.list_generations(), matchers.Equals(expected)
    )


def copy_platform(platform, clock):
    """Copy the current platform; later it serves as a stale replica."""
    copy = memory.MemoryPlatform(clock)
    copy._objects = dict(platform._objects)
    copy.host_list = platform.host_list
    return copy


async def damage_chunk(cluster, content):
    """Publish generation 2 and damage a new chunk before a host reads it.

    The chunk is deleted if `content` is None, else replaced.
    """
    before = {stored.key for stored in await list_chunks(cluster)}
    for own in cluster.platforms.values():
        own.down = True
    await helpers.publish_rules(cluster, 1)
    new = [one for one in await list_chunks(cluster) if one.key not in before]
    if content is None:
        await cluster.platform.delete(new[0].key, new[0].version)
    else:
        await cluster.platform.update(new[0].key, content, new[0].version)
    for own in cluster.platforms.values():
        own.down = False


async def list_chunks(cluster):
    return await cluster.platform.list(generations.CHUNK_PREFIX)


async def test_change_is_active_on_all_hosts_within_500_ms(running):
    await helpers.publish_rules(running, 1)
    await running.run(500)
    assert_generation(running, 2)
    assertions.assert_that(running.list_watchers(), matchers.HasLength(3))


async def test_host_started_in_an_outage_reads_rules_from_peers(
    running, platform
):
    host = running.hosts[4]
    await running.kill(host.host)
    platform.faults = lambda call, key: memory.Fault.DOWN
    service = await running.start_host(host)
    await running.clock.advance(500)
    assertions.assert_that(service.rules.generation, matchers.Equals(1))


async def test_host_started_with_a_stale_read_gets_the_newer_rules(
    running, clock, platform
):
    old = copy_platform(platform, clock)
    await helpers.publish_rules(running, 1)
    await running.run(500)
    host = running.hosts[0]
    await running.kill(host.host)
    service = await running.start_host(host, old)
    # No notices are sent: the host asks its peers when it starts.
    await running.clock.advance(500)
    assertions.assert_that(service.rules.generation, matchers.Equals(2))


async def test_killed_watcher_does_not_delay_its_domain(running):
    for name in running.list_watchers()[:1]:
        await running.kill(name)
    await helpers.publish_rules(running, 1)
    await running.run(1000)
    assert_generation(running, 2)


async def test_watcher_without_platform_is_replaced_by_others(
    clock, platform, network
):
    cluster = helpers.Cluster(clock, platform, network, ("scot-a",), 5)
    await cluster.start()
    await helpers.publish_rules(cluster)
    await cluster.run(3000)
    (watcher,) = cluster.list_watchers()
    cluster.platforms[watcher].down = True
    await helpers.publish_rules(cluster, 1)
    await cluster.run(3500)
    assert_generation(cluster, 2)
    # In an outage for all hosts, only a few call the platform.
    cluster.cut_platform("scot-a", True)
    await cluster.run(6000)
    before = {name: own.calls for name, own in cluster.platforms.items()}
    await cluster.run(10_000)
    callers = [
        name
        for name, own in cluster.platforms.items()
        if own.calls > before[name]
    ]
    assertions.assert_that(callers, matchers.HasLength(3))
    await cluster.stop()
    assertions.assert_that(cluster.violations, matchers.Equals([]))


async def test_watchers_killed_together_are_replaced(running):
    dead = running.list_watchers()
    for name in dead:
        await running.kill(name)
    await helpers.publish_rules(running, 1)
    await running.run(2500)
    alive = tuple(host for host in running.hosts if host.host not in dead)
    for view in running.directories.values():
        view.host_list = records.HostList(hosts=alive)
    await running.run(1000)
    assert_generation(running, 2)


async def test_watch_that_skips_or_repeats_events_is_harmless(
    running, clock, platform
):
    stored = await platform.get(generations.HEAD_KEY)
    watchers = running.list_watchers()

    async def skip(prefix, since, timeout_ms):
        await clock.sleep(timeout_ms)
        return ()

    async def repeat(prefix, since, timeout_ms):
        return (stored,)

    for name, watch in zip(watchers, (skip, repeat, skip)):
        running.platforms[name].watch = watch
    await running.run(3000)
    await helpers.publish_rules(running, 1)
    calls = sum(own.calls for own in running.platforms.values())
    await running.run(10_000)
    assert_generation(running, 2)
    more = sum(own.calls for own in running.platforms.values()) - calls
    assertions.assert_that(more, matchers.LessThan(60))


async def test_domain_cut_off_for_three_changes_catches_up(running, network):
    def is_cut(sender, receiver):
        return ("scot-c" in sender) != ("scot-c" in receiver)

    network.should_drop = is_cut
    running.cut_platform("scot-c", True)
    for number in (1, 2, 3):
        await helpers.publish_rules(running, number)
        await running.run(2000)
    expected = [4] * 6 + [1] * 3
    assertions.assert_that(
        running.list_generations(), matchers.Equals(expected)
    )
    # Only the peers are reachable again; the platform is not needed.
    network.should_drop = lambda sender, receiver: False
    await running.run(4000)
    assert_generation(running, 4)


@pytest.mark.parametrize("content", [None, b"team borders rate=9  # A, b\n"])
async def test_missing_or_damaged_chunk_keeps_the_old_rules(
    running, clock, caplog, content
):
    caplog.set_level(logging.ERROR)
    await damage_chunk(running, content)
    await running.run(5000)
    assert_generation(running, 1)
    operator = running.make_operator()
    found = await helpers.run_until_done(
        clock, operator.hosts.wait_until_active(ids.Generation(2), "", 500)
    )
    assertions.assert_that(
        {one.progress for one in found},
        matchers.Equals({statuses.Progress.REFUSED}),
    )
    refusals = [one for one in caplog.records if one.event == 2002]
    assertions.assert_that(refusals, matchers.HasLength(9))
    # Publishing the rules again writes every chunk.
    edit = helpers.make_edit(
        helpers.write_rules(1),
        base=2,
        allowed=frozenset({guards.Guard.UNREADABLE}),
    )
    plan = await operator.plan(edit)
    assertions.assert_that(
        [danger.guard for danger in plan.dangers],
        matchers.Equals([guards.Guard.UNREADABLE]),
    )
    await helpers.run_until_done(clock, operator.apply(plan, 1000.0))
    await running.run(4000)
    assert_generation(running, 3)
    state = next(iter(running.services.values())).describe()
    assertions.assert_that(state["refusal"], matchers.Equals(""))


@pytest.mark.parametrize("row", ["teem x rate=1  # A, b", "garbage"])
async def test_generation_that_cannot_be_parsed_is_refused(
    running, platform, row
):
    stored = await platform.get(generations.HEAD_KEY)
    head = generations.decode_head(stored.value)
    content = f"{row}\n".encode()
    name = generations.digest(content)
    await platform.create(generations.chunk_key(name), content)
    value = generations.encode_head(
        generations.Head(
            ids.Generation(2), "x", head.change, "A", "b", 0.0, name, ()
        )
    )
    if row == "garbage":
        value = content
    version = await platform.update(
        generations.HEAD_KEY, value, stored.version
    )
    await running.run(4000)
    assert_generation(running, 1)
    for service in running.services.values():
        refused = service.describe()["refused_generation"]
        watching = service.describe()["watching"]
        if watching or row != "garbage":
            assertions.assert_that(refused, matchers.Equals(2))
    value = generations.encode_head(
        generations.Head(
            ids.Generation(3),
            "y",
            "x",
            "A",
            "b",
            0.0,
            head.main,
            head.buckets,
        )
    )
    await platform.update(generations.HEAD_KEY, value, version)
    await running.run(2000)
    assert_generation(running, 3)


async def test_failing_listener_does_not_stop_other_listeners(running, caplog):
    service = next(iter(running.services.values()))
    seen = []
    service.listen(lambda rules: 1 / 0)
    service.listen(lambda rules: seen.append(rules.generation))
    await helpers.publish_rules(running, 1)
    await running.run(500)
    assertions.assert_that(seen, matchers.Equals([2]))
