"""How fast one host may send to a cold endpoint."""

from collections import abc as collections_abc

from chervilshore import clock as clocks
from chervilshore.decisions import rendezvous
from chervilshore import ids

MOST_SENDERS = 4
"""Hosts that may send to one cold endpoint, so that the requests that each
may send at once stay a small part of the bound."""


class ColdRate:
    """Divides the rate of a cold endpoint among a few hosts.

    A rendezvous hash chooses them; hosts that are cut off from each other
    may choose differently, so that each side stays at half of the rate.

    Parameters
    ----------
    host : HostId
        This host.
    """

    def __init__(self, host: ids.HostId) -> None:
        self._host = host
        self._next: dict[ids.EndpointId, float] = {}

    def admit(
        self,
        endpoint: ids.EndpointId,
        rate: float,
        hosts: collections_abc.Sequence[ids.HostId],
        now: float,
    ) -> bool:
        """Tell whether a request may go there now, and count it if so.

        Parameters
        ----------
        endpoint : EndpointId
            The cold endpoint.
        rate : float
            Requests a second that it bears.
        hosts : sequence of HostId
            The hosts that are known, this one among them.
        now : float
            The time in milliseconds.
        """
        senders = rendezvous.rank(hosts, endpoint)[:MOST_SENDERS]
        if self._host not in senders:
            return False
        gap = clocks.MILLIS_PER_SECOND * 2.0 * len(senders) / rate
        if now < self._next.get(endpoint, 0.0):
            return False
        self._next[endpoint] = now + gap
        return True
