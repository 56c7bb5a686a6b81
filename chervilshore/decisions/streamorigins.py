"""Remembers what began the streams that callers may resume.

Each stream has owners, which any host finds by the stream's id alone.
"""

from collections import abc as collections_abc

import msgspec

from chervilshore.decisions import rendezvous
from chervilshore import forwarded
from chervilshore import ids
from chervilshore import records

MAX_STREAMS = 100_000
"""Streams that a host remembers, about 30 MB; the oldest are dropped first."""

MAX_LIFETIME_MS = 600_000.0
"""Milliseconds for which a stream is remembered at most."""

_OWNER_STATES = (records.HostState.ALIVE, records.HostState.SUSPECT)


class StreamStart(msgspec.Struct, frozen=True, array_like=True):
    """The start of a stream, as hosts tell each other.

    Parameters
    ----------
    stream : RequestId
        The request that brought the first event.
    origin : StreamOrigin
        What began it.
    left_ms : float
        Milliseconds for which its caller may still resume it.
    """

    stream: ids.RequestId
    origin: forwarded.StreamOrigin
    left_ms: float


class _Entry(msgspec.Struct):
    origin: forwarded.StreamOrigin
    until: float
    owners: tuple[ids.HostId, ...] = ()
    """The owners that know it; none if this host alone does."""


def choose_owners(
    hosts: collections_abc.Iterable[records.HostRecord], stream: ids.RequestId
) -> list[records.HostRecord]:
    """Return the owners of a stream, two hosts in two domains if possible.

    Parameters
    ----------
    hosts : iterable of HostRecord
        The hosts that are not down.
    stream : RequestId
        The stream.
    """
    by_name = {
        host.host: host for host in hosts if host.state in _OWNER_STATES
    }
    ranked = [by_name[name] for name in rendezvous.rank(by_name, stream)]
    if len(ranked) < 3:
        return ranked
    first = ranked[0]
    others = [host for host in ranked[1:] if host.domain != first.domain]
    return [first, (others or ranked[1:])[0]]


class StreamTable:
    """The starts of streams that one host knows."""

    def __init__(self) -> None:
        self._entries: dict[ids.RequestId, _Entry] = {}
        self._unshared: dict[ids.PoolName, set[ids.RequestId]] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def record(
        self,
        stream: ids.RequestId,
        origin: forwarded.StreamOrigin,
        left_ms: float,
        now: float,
    ) -> None:
        """Record the start of a stream, unless it is known."""
        if stream in self._entries:
            return
        while len(self._entries) >= MAX_STREAMS:
            self._forget(next(iter(self._entries)))
        self._entries[stream] = _Entry(
            origin, now + min(left_ms, MAX_LIFETIME_MS)
        )
        self._unshared.setdefault(origin.pool, set()).add(stream)

    def find(
        self, stream: ids.RequestId, now: float
    ) -> forwarded.StreamOrigin | None:
        """Return what began a stream, or None if it is not known."""
        entry = self._entries.get(stream)
        if entry is None or entry.until <= now:
            return None
        return entry.origin

    def expire(self, now: float) -> None:
        """Forget the streams that are not resumed any more."""
        expired = [
            stream
            for stream, entry in self._entries.items()
            if entry.until <= now
        ]
        for stream in expired:
            self._forget(stream)

    def _forget(self, stream: ids.RequestId) -> None:
        entry = self._entries.pop(stream)
        self._mark_shared(stream, entry.origin.pool)

    def _mark_shared(self, stream: ids.RequestId, pool: ids.PoolName) -> None:
        unshared = self._unshared.get(pool, set())
        unshared.discard(stream)
        if not unshared:
            self._unshared.pop(pool, None)

    def list_unshared(
        self,
    ) -> dict[ids.PoolName, collections_abc.Set[ids.RequestId]]:
        """Return the streams that only this host knows, by their pools."""
        return self._unshared

    def share(
        self,
        stream: ids.RequestId,
        hosts: collections_abc.Iterable[records.HostRecord],
    ) -> list[records.HostRecord]:
        """Return the hosts that are to know a stream from now on."""
        entry = self._entries[stream]
        owners = choose_owners(hosts, stream)
        entry.owners = tuple(owner.host for owner in owners)
        self._mark_shared(stream, entry.origin.pool)
        return owners

    def make_start(self, stream: ids.RequestId, now: float) -> StreamStart:
        """Return a known stream as a host tells it to another."""
        entry = self._entries[stream]
        return StreamStart(stream, entry.origin, entry.until - now)

    def reassign(
        self,
        changed: records.HostRecord,
        hosts: collections_abc.Sequence[records.HostRecord],
        now: float,
    ) -> list[tuple[records.HostRecord, ids.RequestId]]:
        """Return which streams new owners must be told after a change.

        Parameters
        ----------
        changed : HostRecord
            A host that has come, started again, or gone.
        hosts : sequence of HostRecord
            The hosts that are not down now.
        now : float
            The time in milliseconds.
        """
        told = []
        comes = changed.state is records.HostState.ALIVE
        for stream, entry in self._entries.items():
            if not entry.owners or entry.until <= now:
                continue
            is_owner = changed.host in entry.owners
            if not is_owner and not (
                comes and _may_own(changed.host, entry.owners, stream)
            ):
                continue
            before = entry.owners
            owners = choose_owners(hosts, stream)
            entry.owners = tuple(owner.host for owner in owners)
            told += [
                (owner, stream)
                for owner in owners
                if owner.host not in before
                or (comes and owner.host == changed.host)
            ]
        return told


def _may_own(
    host: ids.HostId,
    owners: tuple[ids.HostId, ...],
    stream: ids.RequestId,
) -> bool:
    """Return whether a new host scores above one of the owners."""
    lowest = min(rendezvous.score(owner, stream) for owner in owners)
    return rendezvous.score(host, stream) > lowest
