"""When a host holds a lease, and when it may take one over.

No two clocks are compared. A holder counts from the moment at which it
began the call that made the lease; a candidate counts from the moment at
which it first saw that version, which is later.
"""

import enum

import msgspec

from chervilshore import ids


class Lease(msgspec.Struct, frozen=True, array_like=True):
    """The object in the platform.

    Parameters
    ----------
    holder : HostId
        The host that holds it; empty after it was given back.
    life : str
        The holder's life; a restarted host is another candidate.
    number : int
        Rises with each write of that life.
    """

    holder: ids.HostId
    life: str
    number: int


class Terms(msgspec.Struct, frozen=True):
    """What a lease goes by, alike on all hosts, in milliseconds.

    Parameters
    ----------
    lease_ms : float
        How long a lease lasts without being renewed.
    guard_ms : float
        How long before its end the holder stops sending.
    work_ms : float
        How long after its sending something may take effect at most.
    margin_ms : float
        What a candidate waits besides, for clocks that run unlike.
    """

    lease_ms: float = 10_000.0
    guard_ms: float = 3000.0
    work_ms: float = 5000.0
    margin_ms: float = 1000.0

    @property
    def takeover_ms(self) -> float:
        """Milliseconds after which an unchanged lease may be taken."""
        return self.lease_ms + self.work_ms + self.margin_ms


class Action(enum.Enum):
    """What a host should do about a lease next."""

    READ = "read"
    ACQUIRE = "take"
    RENEW = "renew"
    WAIT = "wait"


class LeaseState:
    """What one host knows of one lease.

    Parameters
    ----------
    host : HostId
        This host.
    life : str
        This life of it.
    terms : Terms
        What the lease goes by.

    Attributes
    ----------
    version : int
        The last version seen; 0 when there is no lease yet.
    """

    def __init__(self, host: ids.HostId, life: str, terms: Terms) -> None:
        self.version = -1
        self._host = host
        self._life = life
        self._terms = terms
        self._lease: Lease | None = None
        self._seen = 0.0
        self._number = 0
        self._began: float | None = None

    @property
    def token(self) -> ids.FencingToken:
        """The fencing token of what is sent under this lease."""
        return ids.FencingToken(self.version)

    def record_read(
        self, lease: Lease | None, version: int, now: float
    ) -> None:
        """Note what was read.

        Parameters
        ----------
        lease : Lease or None
            The lease, if there is one.
        version : int
            Its version; 0 when there is none.
        now : float
            The time after the reading.
        """
        if version == self.version:
            return
        self.version = version
        self._lease = lease
        self._seen = now
        self._began = None

    def mark_unknown(self) -> None:
        """Note that the fate of a write is unknown."""
        self.version = -1
        self._began = None

    def build_lease(self) -> Lease:
        """Make the lease that a take or a renewal writes."""
        self._number += 1
        return Lease(self._host, self._life, self._number)

    def release(self) -> Lease:
        """Make the lease that frees it; nothing may be sent any more."""
        self._began = None
        self._number += 1
        return Lease(ids.HostId(""), self._life, self._number)

    def record_write(self, lease: Lease, version: int, began: float) -> None:
        """Note that a write has succeeded.

        Parameters
        ----------
        lease : Lease
            What was written.
        version : int
            Its version.
        began : float
            When the call was begun.
        """
        self.version = version
        self._lease = lease
        self._seen = began
        self._began = began if lease.holder == self._host else None

    def holds(self, now: float) -> bool:
        """Tell whether something may be sent under the lease now."""
        if self._began is None:
            return False
        last = self._began + self._terms.lease_ms - self._terms.guard_ms
        return now < last

    def next_action(self, now: float) -> Action:
        """Tell what to do about the lease."""
        if self.version < 0:
            return Action.READ
        if self.holds(now):
            renewal = self._began + self._terms.lease_ms / 3
            return Action.RENEW if now >= renewal else Action.WAIT
        if self._lease is None or not self._lease.holder:
            return Action.ACQUIRE
        if now >= self._seen + self._terms.takeover_ms:
            return Action.ACQUIRE
        return Action.READ
