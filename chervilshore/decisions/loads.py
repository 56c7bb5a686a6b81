"""The pace at which the fleet begins to load weights."""


class LoadRate:
    """Spaces writes of one object without comparing clocks.

    Each load is begun by a conditional write of one object, and a host
    waits a whole interval after it first saw the last write. As it cannot
    have seen it before it was written, no two loads of the fleet are
    nearer to each other than that.

    Parameters
    ----------
    interval_ms : float
        Least milliseconds between two loads.

    Attributes
    ----------
    version : int
        The last version seen; -1 when none was seen.
    """

    def __init__(self, interval_ms: float) -> None:
        self.version = -1
        self._interval_ms = interval_ms
        self._seen = 0.0

    def record_version(self, version: int, now: float) -> None:
        """Note a version that was read or written."""
        if version != self.version:
            self.version = version
            self._seen = now

    def may_begin(self, now: float) -> bool:
        """Tell whether a load may be begun, if the version still holds."""
        if self.version == 0:
            return True
        return self.version > 0 and now >= self._seen + self._interval_ms
