"""Which hosts and endpoints a host sees, and who keeps what."""

import msgspec
import xxhash

from chervilshore.decisions import rendezvous
from chervilshore import ids
from chervilshore import records


class Place(msgspec.Struct, frozen=True):
    """An endpoint as far as grants go.

    Parameters
    ----------
    domain : DomainId
        Its failure domain after assignments.
    cold : int
        Attempts at once that it bears when it is cold.
    most : int
        Attempts at once that it is given at most.
    is_out : bool
        Whether its failure domain is out.
    """

    domain: ids.DomainId
    cold: int
    most: int
    is_out: bool = False


class View(msgspec.Struct, frozen=True):
    """What a host believes of the others and of the endpoints.

    Parameters
    ----------
    hosts : dict
        The failure domain and state of each host that is not down.
    places : dict
        The endpoints.
    """

    hosts: dict[ids.HostId, tuple[ids.DomainId, records.HostState]] = {}
    places: dict[ids.EndpointId, Place] = {}

    def list_keepers(self, domain: ids.DomainId) -> frozenset[ids.HostId]:
        """List the hosts that may keep a domain's endpoints."""
        return frozenset(
            host
            for host, (home, state) in self.hosts.items()
            if home == domain and state is not records.HostState.LEAVING
        )


class Outlook:
    """A host's view, who was lost of late, and each endpoint's keeper.

    Parameters
    ----------
    memory_ms : float
        Milliseconds for which a vanished host is remembered.

    Attributes
    ----------
    view : View
        What the host believes now.
    chosen : dict
        The keeper of each endpoint; nothing where its failure domain has
        no host.
    known : int
        A digest of the names of the hosts.
    """

    def __init__(self, memory_ms: float) -> None:
        self.view = View()
        self.chosen: dict[ids.EndpointId, ids.HostId | None] = {}
        self.known = 0
        self._memory_ms = memory_ms
        self._domains: dict[ids.DomainId, frozenset[ids.HostId]] = {}
        self._lost: dict[ids.HostId, float] = {}
        self._left: dict[ids.HostId, float] = {}

    @property
    def alive(self) -> frozenset[ids.HostId]:
        """Hosts that are there, leaving ones among them."""
        return frozenset(self.view.hosts)

    @property
    def lost(self) -> frozenset[ids.HostId]:
        """Hosts that vanished of late without leaving."""
        return frozenset(self._lost)

    @property
    def left(self) -> frozenset[ids.HostId]:
        """Hosts that were leaving when they vanished of late."""
        return frozenset(self._left)

    def change(self, view: View, now: float) -> View:
        """Take a new view.

        Returns
        -------
        View
            The former one.
        """
        former, self.view = self.view, view
        self.known = digest("\x00".join(sorted(view.hosts)))
        for host, (_, state) in former.hosts.items():
            if host not in view.hosts:
                has_left = state is records.HostState.LEAVING
                (self._left if has_left else self._lost)[host] = now
        self._lost = self._keep_recent(self._lost, now)
        self._left = self._keep_recent(self._left, now)
        self._choose(former)
        return former

    def _keep_recent(
        self, gone: dict[ids.HostId, float], now: float
    ) -> dict[ids.HostId, float]:
        return {
            host: since
            for host, since in gone.items()
            if host not in self.view.hosts and now < since + self._memory_ms
        }

    def _choose(self, former: View) -> None:
        domains = {place.domain for place in self.view.places.values()}
        homes = {domain: self.view.list_keepers(domain) for domain in domains}
        for endpoint, place in self.view.places.items():
            before = former.places.get(endpoint)
            same = before is not None and before.domain == place.domain
            home = homes[place.domain]
            if not same or self._domains.get(place.domain) != home:
                self.chosen[endpoint] = rendezvous.choose(home, endpoint)
        self._domains = homes
        for endpoint in former.places.keys() - self.view.places.keys():
            del self.chosen[endpoint]


def digest(text: str) -> int:
    """Make a number of a text that fits into a message."""
    return xxhash.xxh3_64_intdigest(text.encode()) >> 1
