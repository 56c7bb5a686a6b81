"""The endpoints that are listed, by name, pool and address."""

from collections import abc

import msgspec

from chervilshore.decisions import versionhistory
from chervilshore import ids
from chervilshore import records


class EndpointTable:
    """The endpoints of one host's latest listing.

    Attributes
    ----------
    endpoints : dict
        The endpoints by name.
    cold_until : dict
        The time in milliseconds until which each endpoint is cold.
    versions : VersionHistory
        The versions that the endpoints of each pool had.
    """

    def __init__(self) -> None:
        self.endpoints: dict[ids.EndpointId, records.EndpointRecord] = {}
        self.cold_until: dict[ids.EndpointId, float] = {}
        self.versions = versionhistory.VersionHistory()
        self._pools: dict[
            ids.PoolName, tuple[records.EndpointRecord, ...]
        ] = {}
        self._addresses: frozenset[ids.Address] = frozenset()

    def list_pool(
        self, pool: ids.PoolName
    ) -> tuple[records.EndpointRecord, ...]:
        """Return the endpoints of a pool."""
        return self._pools.get(pool, ())

    def has_address(self, address: ids.Address) -> bool:
        """Return whether an endpoint is listed at an address."""
        return address in self._addresses

    def update(
        self, listed: abc.Iterable[records.EndpointRecord], now: float
    ) -> tuple[list[records.EndpointRecord], set[ids.EndpointId]]:
        """Replace the endpoints by a new listing.

        Returns
        -------
        tuple
            The endpoints that are new or have changed, and the names of
            those that are listed no more.
        """
        before = self.endpoints
        found = [self._keep_leaving(record) for record in listed]
        self.endpoints = {record.endpoint: record for record in found}
        changed = [
            record for record in found if record != before.get(record.endpoint)
        ]
        removed = before.keys() - self.endpoints.keys()
        for record in changed:
            self.cold_until[record.endpoint] = now + record.cold_ms
        for endpoint in removed:
            self.cold_until.pop(endpoint, None)
        pools: dict[ids.PoolName, list[records.EndpointRecord]] = {}
        for record in found:
            pools.setdefault(record.pool, []).append(record)
        self._pools = {name: tuple(pool) for name, pool in pools.items()}
        self._addresses = frozenset(record.address for record in found)
        self.versions.record(found, now)
        return changed, set(removed)

    def _keep_leaving(
        self, record: records.EndpointRecord
    ) -> records.EndpointRecord:
        """Return an endpoint as leaving if it was seen to leave.

        No process of an endpoint stays after that; only a copy of the store
        may say so.
        """
        leaving = records.EndpointState.LEAVING
        known = self.endpoints.get(record.endpoint)
        is_same = known is not None and known.instance == record.instance
        if is_same and known.state is leaving:
            return msgspec.structs.replace(record, state=leaving)
        return record
