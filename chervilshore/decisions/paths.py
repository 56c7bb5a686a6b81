"""Which endpoints a host reaches itself, and which peers can relay to them."""

from collections import abc
import random

from chervilshore import ids
from chervilshore import records

RETRY_MS = 1000.0
"""Milliseconds between two tries to connect directly over a lost path."""

AVOID_MS = 2000.0
"""Milliseconds for which a peer that could not relay is asked last."""

ENDED_MS = 500.0
"""Milliseconds for which an endpoint that peers do not reach either is called
directly only."""

FORGET_MS = 60_000.0
"""Milliseconds without a call after which a lost path is forgotten."""

MAX_RELAYS = 3
"""Peers that are asked to relay one connection."""


class _LostPath:
    """A path that is lost; times are in milliseconds."""

    def __init__(self, now: float) -> None:
        self.since = now
        self.tried_at = now
        self.used_at = now


class Paths:
    """The paths from one host to endpoints.

    Parameters
    ----------
    host : HostId
        This host.
    domain : DomainId
        Its failure domain.
    rng : random.Random
        Spreads connections over the peers.
    """

    def __init__(
        self, host: ids.HostId, domain: ids.DomainId, rng: random.Random
    ) -> None:
        self._host = host
        self._domain = domain
        self._rng = rng
        self._lost: dict[ids.Address, _LostPath] = {}
        self._avoided_until: dict[ids.HostId, float] = {}
        self._ended_until: dict[ids.Address, float] = {}

    def is_lost(self, address: ids.Address) -> bool:
        """Return whether this host does not reach an endpoint itself."""
        return address in self._lost

    def may_try(self, address: ids.Address, now: float) -> bool:
        """Return whether to connect directly now; a try is recorded."""
        lost = self._lost.get(address)
        if lost is None:
            return True
        lost.used_at = now
        if now < lost.tried_at + RETRY_MS:
            return False
        lost.tried_at = now
        return True

    def record_reached(self, address: ids.Address) -> bool:
        """Record a direct connection; return whether the path was lost."""
        self._ended_until.pop(address, None)
        return self._lost.pop(address, None) is not None

    def record_lost(self, address: ids.Address, now: float) -> bool:
        """Record that only peers reach an endpoint.

        Returns
        -------
        bool
            Whether the path was not known to be lost.
        """
        self._forget(now)
        if address in self._lost:
            return False
        self._lost[address] = _LostPath(now)
        return True

    def record_ended(self, address: ids.Address, now: float) -> None:
        """Record that neither this host nor peers reach an endpoint."""
        self._ended_until = {
            known: until
            for known, until in self._ended_until.items()
            if until > now
        }
        self._ended_until[address] = now + ENDED_MS

    def record_relay(
        self, host: ids.HostId, has_worked: bool, now: float
    ) -> None:
        """Record whether a peer could relay a connection."""
        if has_worked:
            self._avoided_until.pop(host, None)
        else:
            self._avoided_until[host] = now + AVOID_MS

    def choose_relays(
        self,
        address: ids.Address,
        hosts: abc.Iterable[records.HostRecord],
        now: float,
    ) -> list[records.HostRecord]:
        """Return the peers to ask, the first one first.

        One of this host's domain is asked first, then one of another: a
        whole domain may have lost the path.
        """
        if self._ended_until.get(address, 0.0) > now:
            return []
        peers = [
            host
            for host in hosts
            if host.relay_address
            and host.host != self._host
            and host.state is records.HostState.ALIVE
        ]
        self._rng.shuffle(peers)
        peers.sort(key=lambda host: self._is_avoided(host, now))
        near = [host for host in peers if host.domain == self._domain]
        far = [host for host in peers if host.domain != self._domain]
        chosen = near[:1] + far[: MAX_RELAYS - 1]
        chosen += [host for host in peers if host not in chosen]
        chosen = chosen[:MAX_RELAYS]
        chosen.sort(key=lambda host: self._is_avoided(host, now))
        return chosen

    def describe(self, now: float) -> dict[ids.Address, int]:
        """Return the milliseconds since when paths are lost, by address."""
        return {
            address: round(now - lost.since)
            for address, lost in self._lost.items()
        }

    def _is_avoided(self, host: records.HostRecord, now: float) -> bool:
        return self._avoided_until.get(host.host, 0.0) > now

    def _forget(self, now: float) -> None:
        for address, lost in tuple(self._lost.items()):
            if now > lost.used_at + FORGET_MS:
                del self._lost[address]
