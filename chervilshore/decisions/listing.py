"""The listing of endpoints, and the differences between two listings."""

from collections import abc
import functools

import msgspec
import xxhash

from chervilshore import ids
from chervilshore import messages
from chervilshore import records

_ENCODER = msgspec.msgpack.Encoder()


class EndpointListing:
    """An immutable listing of endpoints.

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
        """Hash of the listing."""
        encoded = _ENCODER.encode(list(self.endpoints.values()))
        return xxhash.xxh3_64_hexdigest(encoded)

    def diff(self, newer: "EndpointListing") -> messages.ListingNotice:
        """Return the notice that turns this listing into a newer one."""
        known = self.endpoints
        changed = tuple(
            endpoint
            for endpoint in newer.endpoints.values()
            if known.get(endpoint.endpoint) != endpoint
        )
        removed = tuple(known.keys() - newer.endpoints.keys())
        return messages.ListingNotice(
            self.digest, newer.digest, changed, removed
        )

    def apply(
        self, notice: messages.ListingNotice
    ) -> "EndpointListing | None":
        """Return the listing after the changes of a notice.

        Returns
        -------
        EndpointListing or None
            None if the notice starts from another listing, or if the result
            does not have the digest that the notice names.
        """
        if notice.previous != self.digest:
            return None
        endpoints = dict(self.endpoints)
        for endpoint in notice.removed:
            endpoints.pop(endpoint, None)
        for endpoint in notice.changed:
            endpoints[endpoint.endpoint] = endpoint
        applied = EndpointListing(endpoints.values())
        return applied if applied.digest == notice.digest else None


def choose_reader(
    hosts: abc.Iterable[records.HostRecord],
    domain: ids.DomainId,
    choose: abc.Callable[[list[str], str], str | None],
) -> ids.HostId | None:
    """Choose the host that reads the host list for a failure domain.

    Hosts that are leaving are not chosen.

    Parameters
    ----------
    hosts : iterable of HostRecord
        The hosts that are not down.
    domain : DomainId
        The failure domain.
    choose : callable
        Chooses one of several names for a key, as `rendezvous.choose` does.
    """
    names = [
        host.host
        for host in hosts
        if host.domain == domain
        and host.state is not records.HostState.LEAVING
    ]
    return choose(names, f"host list of {domain}")
