"""The endpoints that a host knows, and how one listing becomes another."""

from collections import abc
import functools

import msgspec
import xxhash

from chervilshore import ids
from chervilshore import messages
from chervilshore import records

_ENCODER = msgspec.msgpack.Encoder()


class EndpointListing:
    """A listing of endpoints; it never changes.

    Parameters
    ----------
    endpoints : iterable of EndpointRecord
        The endpoints.
    """

    def __init__(
        self, endpoints: abc.Iterable[records.EndpointRecord] = ()
    ) -> None:
        self.endpoints = {
            endpoint.endpoint: endpoint
            for endpoint in sorted(endpoints, key=lambda e: e.endpoint)
        }

    @functools.cached_property
    def digest(self) -> str:
        """A hash of the listing."""
        encoded = _ENCODER.encode(list(self.endpoints.values()))
        return xxhash.xxh3_64_hexdigest(encoded)

    def diff(self, newer: "EndpointListing") -> messages.ListingNotice:
        """Tell how this listing becomes a newer one."""
        mine = self.endpoints
        changed = tuple(
            endpoint
            for endpoint in newer.endpoints.values()
            if mine.get(endpoint.endpoint) != endpoint
        )
        removed = tuple(mine.keys() - newer.endpoints.keys())
        return messages.ListingNotice(
            self.digest, newer.digest, changed, removed
        )

    def apply(
        self, notice: messages.ListingNotice
    ) -> "EndpointListing | None":
        """Make the listing that a notice tells of.

        Returns
        -------
        EndpointListing or None
            Nothing when the notice starts from another listing.
        """
        if notice.previous != self.digest:
            return None
        endpoints = dict(self.endpoints)
        for endpoint in notice.removed:
            endpoints.pop(endpoint, None)
        for endpoint in notice.changed:
            endpoints[endpoint.endpoint] = endpoint
        made = EndpointListing(endpoints.values())
        return made if made.digest == notice.digest else None


def choose_reader(
    hosts: abc.Iterable[records.HostRecord],
    domain: ids.DomainId,
    choose: abc.Callable[[list[str], str], str | None],
) -> ids.HostId | None:
    """Choose the host that reads the host list for a failure domain.

    Parameters
    ----------
    hosts : iterable of HostRecord
        The hosts that are not down.
    domain : DomainId
        The failure domain.
    choose : callable
        Chooses one of several names for a key, as `rendezvous.choose`.
    """
    names = [
        host.host
        for host in hosts
        if host.domain == domain
        and host.state is not records.HostState.LEAVING
    ]
    return choose(names, f"host list of {domain}")
