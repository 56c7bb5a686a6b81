"""Hosts with membership and directory on an in-memory network."""

import random

from chervilshore.controllers import configuration as configurations
from chervilshore.controllers import hosts
from chervilshore.controllers import membership
from chervilshore import records
from chervilshore.rules import model


def make_record(number, domains=3):
    return records.HostRecord(
        host=f"host-{number}",
        domain=f"domain-{number % domains}",
        peer_address=f"10.0.0.{number}:7000",
        http_address=f"10.0.0.{number}:8000",
    )


def make_endpoint(number, state=records.EndpointState.LIVE):
    return records.EndpointRecord(
        endpoint=f"endpoint-{number}",
        pool="assistant",
        domain=f"domain-{number % 3}",
        address=f"10.1.0.{number}:9000",
        state=state,
    )


class Host:
    """The membership and directory services of one host."""

    def __init__(self, cluster, number):
        self.record = make_record(number)
        self.address = self.record.peer_address
        rng = random.Random(f"{cluster.seed}/{number}")
        self.peers = cluster.network.join(self.address)
        self.configuration = configurations.StaticConfiguration(model.Rules())
        self.membership = membership.Membership(
            self.record, cluster.clock, self.peers, rng, seeds=cluster.seeds
        )
        self.directory = hosts.HostDirectory(
            self.membership,
            cluster.clock,
            self.peers,
            cluster.platform,
            self.configuration,
            rng,
        )
        self.services = (self.membership, self.directory)

    def state_of(self, other):
        found = self.membership.get(other.record.host)
        return found.state if found else None


class Cluster:
    """Hosts that can be started and killed."""

    def __init__(self, clock, network, platform, seed=1):
        self.clock = clock
        self.network = network
        self.platform = platform
        self.seed = seed
        self.seeds = ()
        self.hosts = {}

    async def start(self, number):
        host = Host(self, number)
        self.hosts[number] = host
        for service in host.services:
            await service.start()
        return host

    async def kill(self, number):
        host = self.hosts.pop(number)
        self.network.remove_host(host.address)
        for service in reversed(host.services):
            await service.stop()
        return host

    async def stop(self):
        for number in list(self.hosts):
            await self.kill(number)

    def set_host_list(self, numbers, endpoints=()):
        self.platform.host_list = records.HostList(
            hosts=tuple(make_record(number) for number in numbers),
            endpoints=tuple(endpoints),
        )

    async def start_all(self, numbers=range(9), endpoints=()):
        self.set_host_list(numbers, endpoints)
        for number in numbers:
            await self.start(number)
        await self.clock.advance(8000)

    def views(self):
        return {
            number: {record.host for record in host.membership.hosts()}
            for number, host in self.hosts.items()
        }

    def views_agree(self):
        names = {host.record.host for host in self.hosts.values()}
        return all(view == names for view in self.views().values())
