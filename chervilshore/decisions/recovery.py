"""How a new owner accounts for attempts of earlier ownerships."""

from collections import abc as collections_abc

from chervilshore import grantmessages
from chervilshore import ids
from chervilshore import records

MAX_REPORT_AGE_MS = 5000.0
"""Milliseconds after which a reported limit is too old to be used."""

NO_HOST = ids.HostId("")
"""Stands in reports for a host that does not exist or is not known."""


class Recovery:
    """Collects what the holders of an endpoint report to its new owner.

    Recovery is complete once all hosts have reported and no further ones
    can become known, or once all attempts of earlier ownerships have ended.

    Parameters
    ----------
    hosts : iterable of HostId
        Hosts that may have attempts at the endpoint.
    not_before : float
        The time in milliseconds before which further hosts may become
        known.
    ends_at : float
        The time in milliseconds by which all attempts that started before
        the ownership have ended.

    Attributes
    ----------
    missing : set of HostId
        Hosts that have not reported yet.
    """

    def __init__(
        self,
        hosts: collections_abc.Iterable[ids.HostId],
        not_before: float,
        ends_at: float,
    ) -> None:
        self.missing = set(hosts)
        self.ends_at = ends_at
        self._alive = frozenset(self.missing)
        self._reported: set[ids.HostId] = set()
        self._named: set[ids.HostId] = set()
        self._not_before = not_before
        # Epoch, time of receipt and value; the value is 0 if it was cold.
        self._latest_limit = (ids.Epoch(0), float("-inf"), 0)
        self._is_complete = False

    def is_complete(self, now: float) -> bool:
        """Return whether no unreported attempt can be running any more."""
        if self._is_complete:
            return True
        all_reported = not self.missing and now >= self._not_before
        self._is_complete = all_reported or now >= self.ends_at
        return self._is_complete

    def discovery_remaining_ms(self, now: float) -> float:
        """Return the milliseconds until all hosts should be known."""
        if self.is_complete(now):
            return 0.0
        return max(0.0, self._not_before - now)

    def mark_complete(self) -> None:
        """End the recovery, whatever hosts are missing."""
        self._is_complete = True

    def set_hosts(
        self,
        alive: frozenset[ids.HostId],
        left: frozenset[ids.HostId],
    ) -> None:
        """Update which hosts exist.

        Parameters
        ----------
        alive : frozenset of HostId
            Hosts that are alive, including leaving ones.
        left : frozenset of HostId
            Hosts that recently left with nothing in flight.
        """
        self._alive = alive
        # A host that another one names may have returned.
        self.missing -= left - self._named

    def add_hosts(self, hosts: set[ids.HostId]) -> None:
        """Add hosts that, as another host reports, may have attempts."""
        self._named |= hosts
        self.missing |= hosts - self._reported - {NO_HOST}

    def record_report(
        self, host: ids.HostId, holding: grantmessages.Holding, now: float
    ) -> None:
        """Record the report of a host."""
        self._reported.add(host)
        self.missing.discard(host)
        discovered_at = now + holding.discovery_ms
        if holding.discovery_ms > 0:
            # The former owner waits for a host that this one may not know.
            self._not_before = max(self._not_before, discovered_at)
        self._merge_limit(holding, now)

    def _merge_limit(self, holding: grantmessages.Holding, now: float) -> None:
        if holding.limit_age_ms > MAX_REPORT_AGE_MS:
            return
        is_cold = holding.warmth is records.Warmth.COLD
        limit = 0 if is_cold else holding.limit
        found = (holding.limit_epoch, now - holding.limit_age_ms, limit)
        self._latest_limit = max(self._latest_limit, found)

    def find_warm_limit(self) -> int:
        """Return the limit of a warm endpoint, once all live hosts reported.

        Returns
        -------
        int
            The latest limit that any of them received; 0 if the endpoint is
            not known to be warm, a live host has not reported, or the
            recovery is complete.
        """
        if self._is_complete or self.missing & self._alive:
            return 0
        return self._latest_limit[2]
