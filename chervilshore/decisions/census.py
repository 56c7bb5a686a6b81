"""Whether a new keeper has accounted for all that may run somewhere."""

from collections import abc as collections_abc

from chervilshore import grantmessages
from chervilshore import ids
from chervilshore import records

FRESH_MS = 5000.0
"""Milliseconds for which a report of a warm endpoint is believed."""

NOBODY = ids.HostId("")
"""Stands in reports where no host is meant."""


class Census:
    """Which hosts a new keeper has heard, and what they said.

    Parameters
    ----------
    hosts : iterable of HostId
        Hosts that may have something at the endpoint.
    not_before : float
        The moment before which more hosts may come to be known.
    ends : float
        The moment by which all has ended that began before the tenure.

    Attributes
    ----------
    unheard : set of HostId
        Hosts that have not reported yet.
    ends : float
        As above.
    """

    def __init__(
        self,
        hosts: collections_abc.Iterable[ids.HostId],
        not_before: float,
        ends: float,
    ) -> None:
        self.unheard = set(hosts)
        self.ends = ends
        self._alive = frozenset(self.unheard)
        self._heard: set[ids.HostId] = set()
        self._named: set[ids.HostId] = set()
        self._not_before = not_before
        self._evidence = (ids.Epoch(0), float("-inf"), 0)
        self._is_settled = False

    def is_settled(self, now: float) -> bool:
        """Tell whether nothing unknown can be running any more."""
        if self._is_settled:
            return True
        is_known = not self.unheard and now >= self._not_before
        self._is_settled = is_known or now >= self.ends
        return self._is_settled

    def count_unsettled_ms(self, now: float) -> float:
        """Count the milliseconds until all hosts should be known."""
        if self.is_settled(now):
            return 0.0
        return max(0.0, self._not_before - now)

    def settle(self) -> None:
        """Let what is unknown not matter any more."""
        self._is_settled = True

    def set_hosts(
        self,
        alive: frozenset[ids.HostId],
        left: frozenset[ids.HostId],
    ) -> None:
        """Learn which hosts are there.

        Parameters
        ----------
        alive : frozenset of HostId
            Hosts that are there.
        left : frozenset of HostId
            Hosts that left of late with nothing in flight.
        """
        self._alive = alive
        # A host that somebody names may be there again.
        self.unheard -= left - self._named

    def expect(self, hosts: set[ids.HostId]) -> None:
        """Learn of hosts that may have something there too."""
        self._named |= hosts
        self.unheard |= hosts - self._heard - {NOBODY}

    def hear(
        self, host: ids.HostId, holding: grantmessages.Holding, now: float
    ) -> None:
        """Take what a host reported.

        Parameters
        ----------
        host : HostId
            The host.
        holding : Holding
            What it has and knows.
        now : float
            The time in milliseconds.
        """
        self._heard.add(host)
        self.unheard.discard(host)
        inherited = now + holding.unsettled_ms
        if holding.unsettled_ms > 0:
            # The former keeper waits for a host that this one may not know.
            self._not_before = max(self._not_before, inherited)
        self._weigh(holding, now)

    def _weigh(self, holding: grantmessages.Holding, now: float) -> None:
        if holding.age_ms > FRESH_MS:
            return
        is_cold = holding.warmth is records.Warmth.COLD
        limit = 0 if is_cold else holding.limit
        found = (holding.heard, now - holding.age_ms, limit)
        self._evidence = max(self._evidence, found)

    def find_limit(self) -> int:
        """Find the limit of a warm endpoint, once all live hosts are heard.

        Returns
        -------
        int
            The limit as last heard by any of them; 0 when the endpoint is
            not known to be warm, or when the matter is settled already.
        """
        if self._is_settled or self.unheard & self._alive:
            return 0
        return self._evidence[2]
