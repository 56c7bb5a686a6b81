"""Finds the owner host of a shard or a pool, and sends requests to it."""

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


def choose_owner(
    directory: directories.Directory, name: str
) -> ids.HostId | None:
    """Return the live host that owns a name; None if no host is alive."""
    return rendezvous.choose(_find_alive(directory), name)


class Owners:
    """Finds the owners of shards among the live hosts.

    Ownership only avoids duplicate work and gives no exclusive access: two
    hosts may both consider themselves the owner, so the work itself must be
    safe when both do it.

    Parameters
    ----------
    host : HostId
        This host.
    clock : Clock
        Measures how long an owner is avoided.
    directory : Directory
        Lists the hosts that share the work.
    peers : PeerTransport or None
        Sends the requests; with None, this host owns everything.
    avoid_ms : float
        Milliseconds for which an owner that did not answer is skipped.
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
        self._avoided_until: dict[ids.HostId, float] = {}

    def find_remote_owner(self, name: str) -> records.HostRecord | None:
        """Return the owner of a name if it is another, usable host.

        Returns
        -------
        HostRecord or None
            The owner. None if this host should do the work itself: it is
            the owner, or the owner has not answered recently.
        """
        if self._peers is None:
            return None
        hosts = _find_alive(self._directory)
        chosen = rendezvous.choose(hosts, name)
        if chosen is None or chosen == self._host:
            return None
        now = self._clock.now()
        if self._avoided_until.get(chosen, now) > now:
            return None
        return hosts[chosen]

    async def send_request(
        self,
        owner: records.HostRecord,
        message: messages.Message,
        timeout_ms: float,
    ) -> messages.Message | None:
        """Send a request to an owner and wait for its reply.

        An owner that does not answer is avoided for `avoid_ms`.

        Returns
        -------
        Message or None
            The reply; None if there was none in time.
        """
        try:
            return await self._peers.send_request(
                owner.peer_address, message, timeout_ms
            )
        except exceptions.PeerError:
            until = self._clock.now() + self._avoid_ms
            self._avoided_until[owner.host] = until
            return None
