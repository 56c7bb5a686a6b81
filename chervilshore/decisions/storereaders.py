"""Which hosts of a failure domain read the store for the others."""

from collections import abc as collections_abc

from chervilshore.decisions import owners
from chervilshore.decisions import rendezvous
from chervilshore import ids
from chervilshore import records

MIN_DOMAIN_HOSTS = 8
"""Hosts of a domain below which each one reads the store itself."""

AVOID_MS = 5000.0
"""Milliseconds for which a reader that did not answer is not asked."""

BLIND_MS = 1000.0
"""The same for a reader that did not reach the store."""


def choose_readers(
    hosts: collections_abc.Iterable[records.HostRecord],
    domain: ids.DomainId,
    count: int,
) -> list[records.HostRecord]:
    """Return the readers of a domain, the same on every host.

    Parameters
    ----------
    hosts : iterable of HostRecord
        The known hosts.
    domain : DomainId
        The domain.
    count : int
        Readers of a domain.

    Returns
    -------
    list of HostRecord
        The readers; empty if each host reads the store itself.
    """
    alive = {
        host.host: host
        for host in hosts
        if host.domain == domain and host.state is records.HostState.ALIVE
    }
    if len(alive) < MIN_DOMAIN_HOSTS:
        return []
    strong = owners.filter_by_capacity(alive.values())
    ranked = rendezvous.rank([host.host for host in strong], domain)
    return [alive[name] for name in ranked[:count]]


class ReaderChoice:
    """The reader that one host follows.

    Parameters
    ----------
    host : HostId
        This host.
    domain : DomainId
        Its failure domain.
    count : int
        Readers of a domain; 0 if each host reads the store itself.
    """

    def __init__(
        self, host: ids.HostId, domain: ids.DomainId, count: int
    ) -> None:
        self._host = host
        self._domain = domain
        self._count = count
        self._avoided_until: dict[ids.HostId, float] = {}

    def is_follower(
        self, hosts: collections_abc.Iterable[records.HostRecord]
    ) -> bool:
        """Return whether other hosts read the store for this one."""
        readers = self._list_readers(hosts)
        return bool(readers) and self._host not in readers

    def choose(
        self, hosts: collections_abc.Iterable[records.HostRecord], now: float
    ) -> records.HostRecord | None:
        """Return the reader to follow; None to read the store directly."""
        readers = self._list_readers(hosts)
        if self._host in readers:
            return None
        usable = [
            name
            for name in readers
            if self._avoided_until.get(name, now) <= now
        ]
        # Followers are spread over the readers of their domain.
        chosen = rendezvous.choose(usable, self._host)
        return None if chosen is None else readers[chosen]

    def avoid(
        self, reader: ids.HostId, now: float, millis: float = AVOID_MS
    ) -> None:
        """Leave out a reader for a while, since it could not tell."""
        self._avoided_until = {
            name: until
            for name, until in self._avoided_until.items()
            if until > now
        }
        self._avoided_until[reader] = now + millis

    def _list_readers(
        self, hosts: collections_abc.Iterable[records.HostRecord]
    ) -> dict[ids.HostId, records.HostRecord]:
        if not self._count:
            return {}
        readers = choose_readers(hosts, self._domain, self._count)
        return {reader.host: reader for reader in readers}
