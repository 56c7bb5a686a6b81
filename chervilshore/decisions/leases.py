"""When a host holds a lease, and when another host may take it over.

Clocks of two hosts are never compared. A holder counts from the time at
which it began the call that wrote the lease; a candidate counts from the
time at which it first read that version, which is later.
"""

import enum

import msgspec

from chervilshore import ids


class Lease(msgspec.Struct, frozen=True, array_like=True):
    """The lease as it is stored at the platform.

    Parameters
    ----------
    holder : HostId
        The host that holds it; empty after it was released.
    run_id : str
        The holder's process run; a restarted host is another candidate.
    number : int
        Rises with each write of that process run.
    """

    holder: ids.HostId
    run_id: str
    number: int


class Terms(msgspec.Struct, frozen=True):
    """Times of a lease in milliseconds, the same on all hosts.

    Parameters
    ----------
    lease_ms : float
        Time that a lease lasts without renewal.
    guard_ms : float
        Time before its end at which the holder stops sending.
    work_ms : float
        Maximum time from sending to taking effect.
    margin_ms : float
        Additional wait of a candidate, for clocks that run at different
        rates.
    """

    lease_ms: float = 10_000.0
    guard_ms: float = 3000.0
    work_ms: float = 5000.0
    margin_ms: float = 1000.0

    @property
    def takeover_ms(self) -> float:
        """Milliseconds after which an unchanged lease may be taken over."""
        return self.lease_ms + self.work_ms + self.margin_ms


class Action(enum.Enum):
    """What a host should do next about a lease."""

    READ = "read"
    ACQUIRE = "take"
    RENEW = "renew"
    WAIT = "wait"


class LeaseState:
    """One host's view of one lease, and its next action.

    Parameters
    ----------
    host : HostId
        This host.
    run_id : str
        Identifies this process run of the host.
    terms : Terms
        Times of the lease.

    Attributes
    ----------
    version : int
        The last version seen; 0 if there is no lease yet, -1 if unknown.
    """

    def __init__(self, host: ids.HostId, run_id: str, terms: Terms) -> None:
        self.version = -1
        self._host = host
        self._run_id = run_id
        self._terms = terms
        self._lease: Lease | None = None
        self._seen_at = 0.0
        self._number = 0
        self._write_began: float | None = None

    @property
    def token(self) -> ids.FencingToken:
        """Fencing token for what is sent under this lease."""
        return ids.FencingToken(self.version)

    def record_read(
        self, lease: Lease | None, version: int, now: float
    ) -> None:
        """Record what was read from the platform.

        Parameters
        ----------
        lease : Lease or None
            The lease; None if there is none.
        version : int
            Its version; 0 if there is none.
        now : float
            The time after the read, in milliseconds.
        """
        if version == self.version:
            return
        self.version = version
        self._lease = lease
        self._seen_at = now
        self._write_began = None

    def mark_unknown(self) -> None:
        """Record that it is unknown whether a write took effect."""
        self.version = -1
        self._write_began = None

    def build_lease(self) -> Lease:
        """Build the lease to write when acquiring or renewing it."""
        self._number += 1
        return Lease(self._host, self._run_id, self._number)

    def release(self) -> Lease:
        """Build the lease without a holder; this host stops sending."""
        self._write_began = None
        self._number += 1
        return Lease(ids.HostId(""), self._run_id, self._number)

    def record_write(
        self, lease: Lease, version: int, began_at: float
    ) -> None:
        """Record that a write has succeeded.

        Parameters
        ----------
        lease : Lease
            The lease that was written.
        version : int
            Its version.
        began_at : float
            The time in milliseconds before the call.
        """
        self.version = version
        self._lease = lease
        self._seen_at = began_at
        self._write_began = began_at if lease.holder == self._host else None

    def holds(self, now: float) -> bool:
        """Return whether this host may send under the lease now."""
        if self._write_began is None:
            return False
        last = self._write_began + self._terms.lease_ms - self._terms.guard_ms
        return now < last

    def next_action(self, now: float) -> Action:
        """Return what to do about the lease now."""
        if self.version < 0:
            return Action.READ
        if self.holds(now):
            renewal = self._write_began + self._terms.lease_ms / 3
            return Action.RENEW if now >= renewal else Action.WAIT
        if self._lease is None or not self._lease.holder:
            return Action.ACQUIRE
        if now >= self._seen_at + self._terms.takeover_ms:
            return Action.ACQUIRE
        return Action.READ
