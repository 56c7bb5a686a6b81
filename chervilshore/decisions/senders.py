"""Which hosts may send to endpoints, right after a host has started."""

from collections import abc as collections_abc

from chervilshore import records

SETTLE_MS = 15_000.0
"""Milliseconds after its start within which a host has met the others."""


class Senders:
    """The hosts that share what an endpoint bears.

    A host that has just started knows only some of the others. If all start
    at once, each of them would take the share of many. Until it has settled,
    a host that the store lists counts, though nobody has met it yet.

    Parameters
    ----------
    started_at : float
        When this host started, in milliseconds.
    """

    def __init__(self, started_at: float) -> None:
        self._settled_at = started_at + SETTLE_MS
        self._listed: tuple[records.HostRecord, ...] = ()

    def record_listed(
        self, hosts: collections_abc.Iterable[records.HostRecord]
    ) -> None:
        """Record the other hosts that the store lists now."""
        self._listed = tuple(hosts)

    def select(
        self, known: tuple[records.HostRecord, ...], now: float
    ) -> tuple[records.HostRecord, ...]:
        """Return the hosts that may send at a time in milliseconds.

        Parameters
        ----------
        known : tuple of HostRecord
            The hosts that are not down, as far as this host knows.
        now : float
            The time in milliseconds.
        """
        if now >= self._settled_at:
            return known
        names = {one.host for one in known}
        unmet = (one for one in self._listed if one.host not in names)
        return (*known, *unmet)
