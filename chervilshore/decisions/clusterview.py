"""The hosts and endpoints known to a host, and each endpoint's owner."""

import msgspec
import xxhash

from chervilshore.decisions import rendezvous
from chervilshore import ids
from chervilshore import records


class EndpointPlacement(msgspec.Struct, frozen=True):
    """The properties of an endpoint that matter for its grants.

    Parameters
    ----------
    domain : DomainId
        Its failure domain after assignments.
    cold_bound : int
        Concurrent attempts that it sustains while it is cold.
    max_bound : int
        Maximum of concurrent attempts.
    is_domain_out : bool
        Whether its failure domain is out of service.
    """

    domain: ids.DomainId
    cold_bound: int
    max_bound: int
    is_domain_out: bool = False


class Topology(msgspec.Struct, frozen=True):
    """The hosts and endpoints, as one host knows them at one time.

    Parameters
    ----------
    hosts : dict
        The failure domain and state of each host that is not down.
    placements : dict
        The endpoints.
    """

    hosts: dict[ids.HostId, tuple[ids.DomainId, records.HostState]] = {}
    placements: dict[ids.EndpointId, EndpointPlacement] = {}

    def list_owner_candidates(
        self, domain: ids.DomainId
    ) -> frozenset[ids.HostId]:
        """Return the hosts that may own the endpoints of a failure domain."""
        return frozenset(
            host
            for host, (home, state) in self.hosts.items()
            if home == domain and state is not records.HostState.LEAVING
        )


class ClusterView:
    """The current topology, recently vanished hosts and endpoint owners.

    Parameters
    ----------
    memory_ms : float
        Milliseconds for which a vanished host is remembered.

    Attributes
    ----------
    topology : Topology
        The current topology.
    owners : dict
        The owner of each endpoint; None where its failure domain has no
        host.
    hosts_digest : int
        A digest of the names of the hosts.
    """

    def __init__(self, memory_ms: float) -> None:
        self.topology = Topology()
        self.owners: dict[ids.EndpointId, ids.HostId | None] = {}
        self.hosts_digest = 0
        self._memory_ms = memory_ms
        self._candidates: dict[ids.DomainId, frozenset[ids.HostId]] = {}
        self._lost: dict[ids.HostId, float] = {}
        self._left: dict[ids.HostId, float] = {}

    @property
    def alive(self) -> frozenset[ids.HostId]:
        """Hosts that are not down, including leaving ones."""
        return frozenset(self.topology.hosts)

    @property
    def lost(self) -> frozenset[ids.HostId]:
        """Hosts that recently vanished without leaving."""
        return frozenset(self._lost)

    @property
    def left(self) -> frozenset[ids.HostId]:
        """Hosts that were leaving when they recently vanished."""
        return frozenset(self._left)

    def update(self, topology: Topology, now: float) -> Topology:
        """Replace the topology and choose owners.

        Returns
        -------
        Topology
            The previous one.
        """
        previous, self.topology = self.topology, topology
        self.hosts_digest = digest("\x00".join(sorted(topology.hosts)))
        for host, (_, state) in previous.hosts.items():
            if host not in topology.hosts:
                has_left = state is records.HostState.LEAVING
                (self._left if has_left else self._lost)[host] = now
        self._lost = self._keep_recent(self._lost, now)
        self._left = self._keep_recent(self._left, now)
        self._choose_owners(previous)
        return previous

    def _keep_recent(
        self, gone: dict[ids.HostId, float], now: float
    ) -> dict[ids.HostId, float]:
        return {
            host: since
            for host, since in gone.items()
            if host not in self.topology.hosts
            and now < since + self._memory_ms
        }

    def _choose_owners(self, previous: Topology) -> None:
        """Choose owners where the endpoint or its candidates changed."""
        domains = {
            placement.domain for placement in self.topology.placements.values()
        }
        candidates = {
            domain: self.topology.list_owner_candidates(domain)
            for domain in domains
        }
        for endpoint, placement in self.topology.placements.items():
            before = previous.placements.get(endpoint)
            same = before is not None and before.domain == placement.domain
            hosts = candidates[placement.domain]
            if not same or self._candidates.get(placement.domain) != hosts:
                self.owners[endpoint] = rendezvous.choose(hosts, endpoint)
        self._candidates = candidates
        for endpoint in (
            previous.placements.keys() - self.topology.placements.keys()
        ):
            del self.owners[endpoint]


def digest(text: str) -> int:
    """Return a 63-bit hash of a text, which fits into a message field."""
    return xxhash.xxh3_64_intdigest(text.encode()) >> 1
