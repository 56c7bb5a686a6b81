"""A few hosts of a domain read the store for the others.

The load: a large domain in which endpoints and the configuration change all
the time, while readers are killed, cut off or lose the store.
"""

import collections
import os
import random

import pytest
from testtools import assertions
from testtools import matchers

from chervilshore.decisions import changelog
from chervilshore.decisions import storereaders
from chervilshore import ids
from chervilshore import objects
from chervilshore import records
from tests import catalog_helpers as helpers
from tests import virtual

SCHEDULES = int(os.environ.get("SCHEDULES", "10"))
"""Random series of faults and changes."""

HOSTS = 20
"""Hosts of the domain."""

READERS = 2


def list_readers(cluster):
    """Return the hosts that the others follow."""
    followed = collections.Counter(
        host.store._reader for host in cluster.hosts if host.store._reader
    )
    return [
        host for host in cluster.hosts if host.membership.me.host in followed
    ]


def list_late(cluster, version, hosts=None):
    """Return the hosts at which a version is not in force."""
    return [
        host.membership.me.host
        for host in hosts or cluster.hosts
        if host.version < version
    ]


async def start_cluster(seed=1, count=HOSTS, readers=READERS):
    cluster = helpers.Cluster(count, seed, readers=readers)
    await cluster.start()
    # The first watches of kinds that do not change were sent directly.
    await cluster.wait(25_000.0)
    return cluster


async def count_calls(readers):
    """Return the calls to the store in 40 s, one change every 2 s."""
    cluster = await start_cluster(readers=readers)
    before = len(cluster.store.calls)
    for number in range(20):
        if number % 2:
            cluster.configure(2 + number)
        else:
            cluster.write_endpoint(f"w{number}")
        await cluster.wait(2000.0)
    return len(cluster.store.calls) - before


def test_calls_do_not_grow_with_the_hosts_of_a_domain():
    direct = virtual.run(count_calls(0))
    shared = virtual.run(count_calls(READERS))
    # Each follower makes no call, each reader as many as before.
    assertions.assert_that(
        shared, matchers.LessThan(1.5 * direct * READERS / HOSTS)
    )


def test_followers_return_to_their_readers_after_an_outage():
    async def run():
        cluster = await start_cluster()
        before = len(cluster.store.calls)
        cluster.store.faults.refuses = True
        await cluster.wait(3000.0)
        cluster.store.faults.refuses = False
        cluster.configure(2)
        await cluster.wait(helpers.IN_TOUCH_MS)
        calls = collections.Counter(
            call for _, call, _ in cluster.store.calls[before:]
        )
        return list_late(cluster, 2), calls["watch"]

    late, watches = virtual.run(run())
    assertions.assert_that(late, matchers.Equals([]))
    # Those of the readers alone: three kinds, before and after, and retries.
    assertions.assert_that(watches, matchers.LessThan(READERS * 12))


# Guards against CONFIG and DRAIN: a host that starts loses the answers to its
# first watches, and what its reader tells it waits for 20 s beside them.
def test_host_that_starts_follows_a_reader_though_its_watches_are_lost():
    async def run():
        cluster = await start_cluster()
        readers = list_readers(cluster)
        (index, *_) = (
            number
            for number, host in enumerate(cluster.hosts)
            if host not in readers
        )
        await cluster.restart(index)
        cluster.store.faults.lose_watches = len(helpers.WATCHED_KINDS)
        await cluster.wait(helpers.IN_TOUCH_MS)
        cluster.configure(2)
        cluster.write_endpoint("w0", "draining")
        await cluster.wait(helpers.IN_FORCE_MS)
        host = cluster.hosts[index]
        assertions.assert_that(
            (host.version, host.is_leaving("w0")), matchers.Equals((2, True))
        )

    virtual.run(run())


def test_small_domains_read_the_store_directly():
    async def run():
        cluster = await start_cluster(count=storereaders.MIN_DOMAIN_HOSTS - 1)
        return list_readers(cluster)

    assertions.assert_that(virtual.run(run()), matchers.Equals([]))


async def play_fault(name):
    """Break all readers in one way; return which hosts were late."""
    cluster = await start_cluster()
    readers = list_readers(cluster)
    assertions.assert_that(readers, matchers.HasLength(READERS))
    others = [host for host in cluster.hosts if host not in readers]
    if name == "killed":
        for reader in readers:
            await reader.stop()
    elif name.startswith("cut off from the store"):
        for reader in readers:
            reader.link.cut = True
            if "patient" in name:
                reader.link.timeout_ms = 10_000.0
    else:
        addresses = {host.membership.me.peer_address for host in readers}
        cluster.cut(addresses)
    cluster.configure(2)
    cluster.write_endpoint("w0", "draining")
    await cluster.wait(helpers.IN_FORCE_MS)
    return list_late(cluster, 2, others) + [
        host.membership.me.host for host in others if not host.is_leaving("w0")
    ]


@pytest.mark.parametrize(
    "name",
    [
        "killed",
        "cut off from the store",
        "cut off from the store, patient",
        "cut off from peers",
    ],
)
def test_changes_are_in_force_in_time_without_readers(name):
    late = virtual.run(play_fault(name))
    assertions.assert_that(late, matchers.Equals([]))


def test_followers_go_on_when_the_store_forgets_its_history():
    async def run():
        cluster = await start_cluster()
        before = len(cluster.store.calls)
        for version in range(2, 8):
            cluster.configure(version)
            cluster.store.forget()
            await cluster.wait(helpers.IN_FORCE_MS)
        return list_late(cluster, 7), len(cluster.store.calls) - before

    late, calls = virtual.run(run())
    assertions.assert_that(late, matchers.Equals([]))
    # Six listings of each of two kinds by each reader, watches and polls.
    assertions.assert_that(calls, matchers.LessThan(READERS * 80))


def test_followers_take_over_what_a_restored_store_lacks():
    async def run():
        cluster = await start_cluster()
        copy = cluster.store.copy()
        cluster.configure(5)
        await cluster.wait(helpers.IN_FORCE_MS)
        cluster.store.restore(copy)
        cluster.configure(6)
        await cluster.wait(helpers.IN_TOUCH_MS)
        return list_late(cluster, 6)

    assertions.assert_that(virtual.run(run()), matchers.Equals([]))


async def run_schedule(seed):
    """Play faults and changes; return the versions that were in force late."""
    rng = random.Random(seed)
    cluster = await start_cluster(seed)
    late = {}
    version = 1
    for _ in range(5):
        readers = list_readers(cluster)
        broken = set()
        for reader in readers:
            fault = rng.choice(["none", "kill", "store", "both"])
            if fault == "none":
                continue
            broken.add(reader)
            if fault == "kill":
                index = cluster.hosts.index(reader)
                await reader.stop()
                broken.add(index)
            else:
                reader.link.cut = True
        for _ in range(rng.randrange(1, 4)):
            version += 1
            cluster.configure(version)
            await cluster.wait(rng.uniform(0.0, 300.0))
        await cluster.wait(helpers.IN_FORCE_MS)
        sound = [host for host in cluster.hosts if host not in broken]
        if names := list_late(cluster, version, sound):
            late[version] = names
        for host in cluster.hosts:
            host.link.cut = False
        for index in [one for one in broken if isinstance(one, int)]:
            await cluster.restart(index)
        await cluster.wait(rng.uniform(helpers.IN_TOUCH_MS, 12_000.0))
    return late


def test_changes_are_in_force_in_time_whatever_readers_do():
    late = {
        seed: versions
        for seed in range(SCHEDULES)
        if (versions := virtual.run(run_schedule(seed)))
    }
    assertions.assert_that(late, matchers.Equals({}))


# Decisions.


def make_host(number, domain="a", capacity=1.0, state=None):
    return records.HostRecord(
        host=ids.HostId(f"h{number}"),
        domain=ids.DomainId(domain),
        peer_address=ids.Address(f"10.0.0.{number}:1"),
        http_address=ids.Address(""),
        capacity=capacity,
        state=state or records.HostState.ALIVE,
    )


def test_readers_are_hosts_of_high_capacity_that_are_alive():
    down = records.HostState.DOWN
    hosts = [make_host(number) for number in range(10)]
    hosts += [make_host(number, capacity=10.0) for number in range(10, 14)]
    hosts += [make_host(20, capacity=10.0, state=down)]
    hosts += [make_host(30, domain="b", capacity=10.0)]
    readers = storereaders.choose_readers(hosts, ids.DomainId("a"), 2)
    names = {host.host for host in readers}
    assertions.assert_that(names, matchers.HasLength(2))
    assertions.assert_that(
        names <= {f"h{number}" for number in range(10, 14)}, matchers.Is(True)
    )


def test_reader_that_failed_is_avoided_for_a_while():
    hosts = [make_host(number) for number in range(12)]
    readers = storereaders.choose_readers(hosts, ids.DomainId("a"), 2)
    follower = next(host for host in hosts if host not in readers)
    choice = storereaders.ReaderChoice(follower.host, follower.domain, 2)
    first = choice.choose(hosts, 0.0)
    choice.avoid(first.host, 0.0)
    second = choice.choose(hosts, 0.0)
    choice.avoid(second.host, 0.0)
    later = storereaders.AVOID_MS
    assertions.assert_that(
        [second in readers, choice.choose(hosts, 0.0)],
        matchers.Equals([True, None]),
    )
    assertions.assert_that(choice.choose(hosts, later), matchers.Equals(first))


def make_changes(*revisions):
    return objects.Changes(
        tuple(
            objects.Change(objects.StoredObject(f"n{revision}", revision, b""))
            for revision in revisions
        ),
        revisions[-1],
    )


def test_log_of_changes_knows_how_far_it_reaches_back():
    log = changelog.ChangeLog()
    log.reset(10)
    log.extend(10, make_changes(11, 12))
    # A copy of the store that is behind repeats what is known.
    log.extend(10, make_changes(11))
    log.extend(12, make_changes(15))
    assertions.assert_that(log.read(9), matchers.Is(None))
    assertions.assert_that(log.read(12), matchers.Equals(make_changes(15)))
    assertions.assert_that(
        log.read(20), matchers.Equals(objects.Changes((), 20))
    )


def test_log_of_changes_goes_on_after_a_listing():
    log = changelog.ChangeLog()
    stored = {
        name: objects.StoredObject(name, 5, b"") for name in ("kept", "gone")
    }
    log.replace(objects.Listing(tuple(stored.values()), 10))
    new = objects.StoredObject("new", 18, b"")
    log.replace(objects.Listing((stored["kept"], new), 20))
    assertions.assert_that(
        log.read(10),
        matchers.Equals(
            objects.Changes(
                (
                    objects.Change(stored["gone"], removed=True),
                    objects.Change(new),
                ),
                20,
            )
        ),
    )


def test_log_of_changes_starts_anew_when_the_store_was_restored():
    log = changelog.ChangeLog()
    log.replace(objects.Listing((), 10))
    position = objects.make_position(1, 5)
    log.replace(objects.Listing((), position))
    assertions.assert_that(log.read(10), matchers.Is(None))
    assertions.assert_that(log.position, matchers.Equals(position))


def test_log_of_changes_is_bounded():
    log = changelog.ChangeLog()
    log.reset(1)
    for revision in range(2, changelog.MAX_BATCHES + 10):
        log.extend(revision - 1, make_changes(revision))
    assertions.assert_that(log.read(1), matchers.Is(None))
    found = log.read(changelog.MAX_BATCHES)
    assertions.assert_that(found.changes, matchers.HasLength(9))
