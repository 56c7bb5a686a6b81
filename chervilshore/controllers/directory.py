"""Which entry hosts and endpoints there are."""

import abc

from chervilshore import ids
from chervilshore import records


class Directory(abc.ABC):
    """What a host believes of the other hosts and of the endpoints."""

    @abc.abstractmethod
    def hosts(self) -> tuple[records.HostRecord, ...]:
        """List the entry hosts that are not down, this one among them."""

    @abc.abstractmethod
    def endpoints(
        self, pool: ids.PoolName
    ) -> tuple[records.EndpointRecord, ...]:
        """List a pool's endpoints, with their domains after assignments.

        Endpoints that are leaving are listed with that state.
        """

    @abc.abstractmethod
    def endpoint(
        self, endpoint: ids.EndpointId
    ) -> records.EndpointRecord | None:
        """Find an endpoint; nothing when it is not listed any more."""

    def cold_until(self, endpoint: ids.EndpointId) -> float:
        """Tell the moment until which an endpoint is known to be cold."""
        return 0.0


class StaticDirectory(Directory):
    """A directory that is told what there is.

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
        """Find an endpoint; see `Directory.endpoint`."""
        for record in self.host_list.endpoints:
            if record.endpoint == endpoint:
                return record
        return None
