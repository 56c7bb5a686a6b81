"""The interface that lists the entry hosts and endpoints of the cluster."""

import abc

from chervilshore import ids
from chervilshore import records


class Directory(abc.ABC):
    """One host's view of the entry hosts and endpoints."""

    @abc.abstractmethod
    def hosts(self) -> tuple[records.HostRecord, ...]:
        """List the entry hosts that are not down, including this one."""

    def senders(self) -> tuple[records.HostRecord, ...]:
        """List the entry hosts that may send to endpoints now.

        These are the known ones, and after a start also those that it does
        not know yet.
        """
        return self.hosts()

    @abc.abstractmethod
    def endpoints(
        self, pool: ids.PoolName
    ) -> tuple[records.EndpointRecord, ...]:
        """List a pool's endpoints, including those that are leaving.

        Their domains are those after the assignments of the rules.
        """

    @abc.abstractmethod
    def endpoint(
        self, endpoint: ids.EndpointId
    ) -> records.EndpointRecord | None:
        """Return an endpoint, or None if it is not listed."""

    def cold_until(self, endpoint: ids.EndpointId) -> float:
        """Return the time until which an endpoint is known to be cold.

        It is in milliseconds of the clock; 0 if none is known.
        """
        return 0.0

    def has_address(self, address: ids.Address) -> bool:
        """Return whether an endpoint is listed at an address."""
        return False

    def find_only_version(
        self, pool: ids.PoolName, window_ms: float | None
    ) -> ids.SoftwareVersion | None:
        """Return the only version that a pool had in the last milliseconds.

        It is None if there were several, or if this host cannot know. A
        window of None reaches back as far as this host knows.
        """
        return None

    def read_era(self) -> int:
        """Return how often the store is known to have been restored."""
        return 0


class StaticDirectory(Directory):
    """A directory with given contents, for embedders and tests.

    Parameters
    ----------
    host_list : HostList
        The hosts and endpoints; it may be replaced at any time.
    """

    def __init__(self, host_list: records.HostList) -> None:
        self.host_list = host_list

    def hosts(self) -> tuple[records.HostRecord, ...]:
        """List the entry hosts; see `Directory.hosts`."""
        return tuple(
            host
            for host in self.host_list.hosts
            if host.state is not records.HostState.DOWN
        )

    def endpoints(
        self, pool: ids.PoolName
    ) -> tuple[records.EndpointRecord, ...]:
        """List a pool's endpoints; see `Directory.endpoints`."""
        return tuple(
            record
            for record in self.host_list.endpoints
            if record.pool == pool
        )

    def endpoint(
        self, endpoint: ids.EndpointId
    ) -> records.EndpointRecord | None:
        """Return an endpoint; see `Directory.endpoint`."""
        for record in self.host_list.endpoints:
            if record.endpoint == endpoint:
                return record
        return None
