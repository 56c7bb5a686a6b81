"""Remembers which software versions the endpoints of a pool had lately."""

from collections import abc

from chervilshore import ids
from chervilshore import records

RETENTION_MS = 600_000.0
"""Milliseconds for which a version is remembered that is listed no more; no
stream lasts longer."""


class VersionHistory:
    """The versions of each pool's endpoints in the listings of one host."""

    def __init__(self) -> None:
        self._known_since: float | None = None
        self._listed: dict[ids.PoolName, set[ids.SoftwareVersion]] = {}
        self._gone_at: dict[
            tuple[ids.PoolName, ids.SoftwareVersion], float
        ] = {}

    def record(
        self, endpoints: abc.Iterable[records.EndpointRecord], now: float
    ) -> None:
        """Record that exactly these endpoints are listed from now on."""
        if self._known_since is None:
            self._known_since = now
        listed: dict[ids.PoolName, set[ids.SoftwareVersion]] = {}
        for record in endpoints:
            listed.setdefault(record.pool, set()).add(record.version)
        for pool, versions in self._listed.items():
            for version in versions:
                self._gone_at[pool, version] = now
        self._listed = listed
        self._gone_at = {
            key: gone_at
            for key, gone_at in self._gone_at.items()
            if gone_at > now - RETENTION_MS
        }

    def find_only_version(
        self, pool: ids.PoolName, window_ms: float | None, now: float
    ) -> ids.SoftwareVersion | None:
        """Return the only version that a pool had in the last milliseconds.

        Parameters
        ----------
        pool : PoolName
            The pool.
        window_ms : float or None
            The milliseconds; None for as long as the listings reach back.
        now : float
            The time in milliseconds.

        Returns
        -------
        SoftwareVersion or None
            None if there were several or none, if one is not known, or if
            the listings do not reach back so far.
        """
        if self._known_since is None:
            return None
        start = self._known_since
        if window_ms is not None:
            start = now - min(window_ms, RETENTION_MS)
        if self._known_since > start:
            return None
        versions = self._listed.get(pool, set()) | {
            version
            for (name, version), gone_at in self._gone_at.items()
            if name == pool and gone_at >= start
        }
        if len(versions) != 1 or "" in versions:
            return None
        return next(iter(versions))
