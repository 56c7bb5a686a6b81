"""Catalogs of several hosts on one store, in virtual time."""

import random

from chervilshore.clients import memory
from chervilshore.controllers import catalog
from chervilshore.controllers import catalogsync
from chervilshore.controllers import membership
from chervilshore import ids
from chervilshore.platform import kinds
from chervilshore import records
from standins import objectstore
from tests import gateway_helpers
from tests import virtual

IN_TOUCH_MS = 3000.0
"""Milliseconds after an outage from which a host must act on the store."""

IN_FORCE_MS = 2000.0
"""Milliseconds from the acknowledgement of a change until it is in force."""


class Host:
    """The catalog of one host, with what it needs."""

    def __init__(self, number, store, network, clock, rng):
        address = ids.Address(f"10.0.0.{number}:1")
        record = records.HostRecord(
            host=ids.HostId(f"h{number}"),
            domain=ids.DomainId("a"),
            peer_address=address,
            http_address=ids.Address(""),
        )
        self.network = network
        peers = network.join(address)
        self.membership = membership.Membership(record, clock, peers, rng)
        self.catalog = catalog.Catalog(
            store, kinds.DECODERS, self.membership, clock
        )
        self.sync = catalogsync.CatalogSync(
            self.catalog, self.membership, peers, clock, rng
        )

    async def start(self, with_peers):
        if with_peers:
            await self.membership.start()
            await self.sync.start()
        await self.catalog.start()

    async def stop(self):
        """Stop as if the process had been killed, without a word to peers."""
        self.network.remove_host(self.membership.me.peer_address)
        for service in (self.catalog, self.sync, self.membership):
            await service.stop()

    @property
    def version(self):
        """The version of the configuration that is in force."""
        return self.catalog.rules.generation

    def is_leaving(self, name):
        """Whether the host gives an endpoint nothing more."""
        record = self.catalog.endpoint(ids.EndpointId(name))
        return record is None or record.state is records.EndpointState.LEAVING


class Cluster:
    """Hosts that read one store, on the running virtual loop."""

    def __init__(self, count, seed=1):
        self.clock = virtual.LoopClock()
        self.store = objectstore.ObjectStore(self.clock)
        self.network = memory.MemoryNetwork(self.clock)
        self._rng = random.Random(seed)
        self.hosts = [
            self._make_host(number) for number in range(1, count + 1)
        ]

    def _make_host(self, number):
        return Host(number, self.store, self.network, self.clock, self._rng)

    async def restart(self, index):
        """Kill a host and start it again."""
        await self.hosts[index].stop()
        self.hosts[index] = self._make_host(index + 1)
        await self.hosts[index].start(with_peers=True)

    def cut(self, addresses):
        """Cut some hosts off from the others; none to heal the network."""
        self.network.should_drop = lambda sender, receiver: (
            (sender in addresses) != (receiver in addresses)
        )

    async def start(self, with_peers=True):
        self.configure(1)
        for name in ("w0", "w1"):
            self.write_endpoint(name)
        for host in self.hosts:
            await host.start(with_peers)
        await self.clock.sleep(3000.0)

    def configure(self, version):
        """Write a version of the configuration, as the operator does."""
        self.store.write(
            "config",
            "main",
            gateway_helpers.make_config(
                version,
                [gateway_helpers.make_route("look", "ledger")],
                [gateway_helpers.make_service("ledger")],
            ),
        )

    def write_endpoint(self, name, state="ready"):
        """Write the entry of an endpoint, as its process does."""
        self.store.write(
            "servers",
            name,
            {
                "service": "ledger",
                "addr": f"10.1.0.{name[1:]}:1",
                "zone": "a",
                "state": state,
                "born": 1,
            },
        )

    async def wait(self, millis):
        """Let time pass."""
        await self.clock.sleep(millis)
