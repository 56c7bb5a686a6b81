"""Which host keeps a shard, and how it is asked."""

from chervilshore.clients import peers as peers_module
from chervilshore import clock as clocks
from chervilshore.controllers import directory as directories
from chervilshore.decisions import rendezvous
from chervilshore import exceptions
from chervilshore import ids
from chervilshore import messages
from chervilshore import records


def _find_alive(
    directory: directories.Directory,
) -> dict[ids.HostId, records.HostRecord]:
    return {
        record.host: record
        for record in directory.hosts()
        if record.state is records.HostState.ALIVE
    }


def choose(directory: directories.Directory, name: str) -> ids.HostId | None:
    """Choose the live host that owns something."""
    return rendezvous.choose(_find_alive(directory), name)


class Owners:
    """Finds the owners of shards among the live hosts.

    Ownership only saves work: what two hosts that both take themselves
    for the owner do must be safe by other means.

    Parameters
    ----------
    host : HostId
        This host.
    clock : Clock
        The clock.
    directory : Directory
        Tells which hosts share the work.
    peers : PeerTransport or None
        Reaches them; without it this host owns everything.
    avoid_ms : float
        Milliseconds for which an owner that did not answer is passed
        over.
    """

    def __init__(
        self,
        host: ids.HostId,
        clock: clocks.Clock,
        directory: directories.Directory,
        peers: peers_module.PeerTransport | None,
        avoid_ms: float,
    ) -> None:
        self._host = host
        self._clock = clock
        self._directory = directory
        self._peers = peers
        self._avoid_ms = avoid_ms
        self._avoided: dict[ids.HostId, float] = {}

    def find(self, name: str) -> records.HostRecord | None:
        """Find the owner of something.

        Parameters
        ----------
        name : str
            What is owned.

        Returns
        -------
        HostRecord or None
            The owner; nothing when this host should do the work.
        """
        if self._peers is None:
            return None
        hosts = _find_alive(self._directory)
        chosen = rendezvous.choose(hosts, name)
        if chosen is None or chosen == self._host:
            return None
        now = self._clock.now()
        if self._avoided.get(chosen, now) > now:
            return None
        return hosts[chosen]

    async def send_request(
        self,
        owner: records.HostRecord,
        send_request: messages.Message,
        wait_ms: float,
    ) -> messages.Message | None:
        """Ask an owner; one that does not answer is avoided for a while.

        Returns
        -------
        Message or None
            The reply, if there was one.
        """
        try:
            return await self._peers.send_request(owner.peer_address, send_request, wait_ms)
        except exceptions.PeerError:
            until = self._clock.now() + self._avoid_ms
            self._avoided[owner.host] = until
            return None
