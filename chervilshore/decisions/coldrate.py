"""Limits the rate at which one host sends to a cold endpoint."""

from collections import abc as collections_abc

from chervilshore import clock as clocks
from chervilshore.decisions import rendezvous
from chervilshore import ids

MAX_SENDERS = 4
"""Hosts that may send to one cold endpoint.

Each of them may send one request immediately; with few hosts, such bursts
stay a small fraction of the bound.
"""


class ColdRate:
    """Divides the request rate of a cold endpoint among a few hosts.

    A rendezvous hash chooses them.  The two sides of a network partition may
    choose different hosts, so the chosen ones use only half of the rate.

    Parameters
    ----------
    host : HostId
        This host.
    """

    def __init__(self, host: ids.HostId) -> None:
        self._host = host
        self._next_send: dict[ids.EndpointId, float] = {}

    def admit(
        self,
        endpoint: ids.EndpointId,
        rate: float,
        hosts: collections_abc.Sequence[ids.HostId],
        now: float,
    ) -> bool:
        """Return whether a request may be sent now, and count it if so.

        Parameters
        ----------
        endpoint : EndpointId
            The cold endpoint.
        rate : float
            Requests per second that it sustains.
        hosts : sequence of HostId
            The known hosts, including this one.
        now : float
            The time in milliseconds.
        """
        senders = rendezvous.rank(hosts, endpoint)[:MAX_SENDERS]
        if self._host not in senders:
            return False
        interval_ms = clocks.MILLIS_PER_SECOND * 2.0 * len(senders) / rate
        if now < self._next_send.get(endpoint, 0.0):
            return False
        self._next_send[endpoint] = now + interval_ms
        return True
