"""Catalogs of several hosts on one store, in virtual time."""

import random

from chervilshore.clients import memory
from chervilshore.controllers import catalog
from chervilshore.controllers import catalogsync
from chervilshore.controllers import membership
from chervilshore.controllers import sharedstore
from chervilshore import exceptions
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


WATCHED_KINDS = ("config", "servers", "evacuations")


class StoreLink:
    """One host's path to the store.

    Attributes
    ----------
    cut : bool
        Whether calls get no answer; watches that wait are lost.
    timeout_ms : float
        Milliseconds after which the host gives up such a call.
    delay_ms : float
        Milliseconds by which answers come later.
    """

    def __init__(self, store, clock):
        self._store = store
        self._clock = clock
        self.cut = False
        self.timeout_ms = objectstore.CALL_TIMEOUT_MS
        self.delay_ms = 0.0

    def is_receiving(self, kind):
        return self._store.is_receiving(kind)

    async def list(self, kind, may_be_stale=False):
        return await self._carry(self._store.list(kind, may_be_stale), 0.0)

    async def watch(self, kind, since, wait_ms):
        call = self._store.watch(kind, since, wait_ms)
        return await self._carry(call, wait_ms)

    async def poll(self, kind, since):
        return await self._carry(self._store.poll(kind, since), 0.0)

    async def put(self, kind, name, content):
        await self._carry(self._store.put(kind, name, content), 0.0)

    async def delete(self, kind, name):
        await self._carry(self._store.delete(kind, name), 0.0)

    async def _carry(self, call, wait_ms):
        began_at = self._clock.now()
        was_cut = self.cut
        result = await call
        if self.delay_ms:
            await self._clock.sleep(self.delay_ms)
        if self.cut or was_cut:
            left_ms = self.timeout_ms + wait_ms
            left_ms -= self._clock.now() - began_at
            await self._clock.sleep(left_ms)
            raise exceptions.PlatformUnavailable("timeout")
        return result


class Host:
    """The catalog of one host, with what it needs."""

    def __init__(self, number, store, network, clock, rng, readers=0):
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
        self.link = StoreLink(store, clock)
        self.store = sharedstore.SharedStore(
            self.link, readers, self.membership, peers, clock
        )
        self.catalog = catalog.Catalog(
            self.store, kinds.DECODERS, self.membership, clock
        )
        self.sync = catalogsync.CatalogSync(
            self.catalog, self.membership, peers, clock, rng
        )

    async def start(self, with_peers):
        if with_peers:
            await self.membership.start()
            await self.sync.start()
            await self.store.start()
        await self.catalog.start()

    async def stop(self):
        """Stop as if the process had been killed, without a word to peers."""
        self.network.remove_host(self.membership.me.peer_address)
        for service in (
            self.catalog,
            self.store,
            self.sync,
            self.membership,
        ):
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

    def __init__(self, count, seed=1, readers=0):
        self.clock = virtual.LoopClock()
        self.store = objectstore.ObjectStore(self.clock)
        self.network = memory.MemoryNetwork(self.clock)
        self._rng = random.Random(seed)
        self._readers = readers
        self.hosts = [
            self._make_host(number) for number in range(1, count + 1)
        ]

    def _make_host(self, number):
        return Host(
            number,
            self.store,
            self.network,
            self.clock,
            self._rng,
            self._readers,
        )

    async def restart(self, index, is_cut=False):
        """Kill a host and start it again, with a path to the store or not."""
        await self.hosts[index].stop()
        self.hosts[index] = self._make_host(index + 1)
        self.hosts[index].link.cut = is_cut
        await self.hosts[index].start(with_peers=True)

    async def restart_all(self):
        """Kill all hosts at once and start them again."""
        for host in self.hosts:
            await host.stop()
        numbers = range(1, len(self.hosts) + 1)
        self.hosts = [self._make_host(number) for number in numbers]
        for host in self.hosts:
            await host.start(with_peers=True)

    def list_leaving(self, name):
        """List for each host whether it gives an endpoint nothing more."""
        return [host.is_leaving(name) for host in self.hosts]

    def cut_store(self, is_cut, hosts=slice(None)):
        """Cut some or all hosts off from the store, or heal their paths."""
        for host in self.hosts[hosts]:
            host.link.cut = is_cut

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

    def configure(self, version, size=0):
        """Write a version of the configuration, as the operator does.

        A field that hosts do not know makes it as large as `size`.
        """
        route = gateway_helpers.make_route("look", "ledger", note="x" * size)
        self.store.write(
            "config",
            "main",
            gateway_helpers.make_config(
                version,
                [route],
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
