"""Limits the rate at which the cluster starts to load model weights."""


class LoadRate:
    """Spaces the writes of one stored object without comparing clocks.

    Each load starts with a conditional write of the object, and a host waits
    a whole interval after it first saw the latest version.  No host can see
    a version before it was written, so two loads of the cluster are at least
    this interval apart.

    Parameters
    ----------
    interval_ms : float
        Minimum milliseconds between two loads.

    Attributes
    ----------
    version : int
        The latest version seen; -1 if none was seen, 0 if there is no
        object.
    """

    def __init__(self, interval_ms: float) -> None:
        self.version = -1
        self._interval_ms = interval_ms
        self._seen_at = 0.0

    def record_version(self, version: int, now: float) -> None:
        """Record a version that was read or written."""
        if version != self.version:
            self.version = version
            self._seen_at = now

    def may_begin(self, now: float) -> bool:
        """Return whether a load may start, if the version is unchanged."""
        if self.version == 0:
            return True
        return self.version > 0 and now >= self._seen_at + self._interval_ms
