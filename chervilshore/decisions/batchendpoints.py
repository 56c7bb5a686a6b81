"""State of the endpoints of a batch pool: speed, space and backoff."""

from chervilshore.decisions import batchjobs
from chervilshore import records

SLOWDOWN_WEIGHT = 0.4
"""Weight of the newest call in the moving average of the slowdown."""

BUSY_BACKOFF_MS = 60.0
"""Backoff after an endpoint rejected a call because it was busy."""

OUT_OF_SPACE_BACKOFF_MS = 200.0
"""Backoff after an endpoint had no space for any result of a call; results
of an owner that was lost take up to four seconds to expire."""

OUT_OF_SPACE_MS = 600.0
"""Time for which space that was missing at an endpoint counts as used."""

FAILURE_BACKOFF_MS = 700.0
"""Backoff after a first failed call; it doubles with each further one."""

MAX_FAILURE_BACKOFF_MS = 5000.0
"""Longest backoff after failed calls."""

SLOW_FACTOR = 2.0
"""Multiple of the usual duration from which an endpoint counts as slow."""

SLOW_BACKOFF_MS = 4000.0
"""Backoff of a slow endpoint, after which it gets a call again."""


class BatchEndpoint:
    """An endpoint of a batch pool as its planner knows it.

    Parameters
    ----------
    record : EndpointRecord
        The endpoint.

    Attributes
    ----------
    call : BatchCall or None
        The call that is running there.
    slowdown : float
        Moving average of the duration of its calls, as a multiple of the
        usual one.
    backoff_until : float
        The time until which it gets no call.
    begins_calls_at_once : bool
        Whether its last call began when it was sent. If not, it is slow or
        also runs calls of another owner.
    results : dict
        For each result that uses space, its expiry time and its bytes. The
        key is its handle, or the name of an item that is in a call.
    """

    def __init__(self, record: records.EndpointRecord) -> None:
        self.record = record
        self.call: batchjobs.BatchCall | None = None
        self.slowdown = 1.0
        self.backoff_until = 0.0
        self.begins_calls_at_once = False
        self.results: dict[str, tuple[float, int]] = {}
        self._failures = 0

    def is_usable(self, now: float) -> bool:
        """Return whether it is neither in backoff nor slow."""
        return self.backoff_until <= now and self.slowdown < SLOW_FACTOR

    def remaining_ms(self, now: float) -> float:
        """Return the milliseconds until its call should end."""
        if self.call is None:
            return 0.0
        return max(0.0, self.call.started_at + self.call.expected_ms - now)

    def used_bytes(self, now: float) -> int:
        """Return the bytes that results use there, and drop expired ones."""
        expired = [
            name for name, (end, _) in self.results.items() if end <= now
        ]
        for name in expired:
            del self.results[name]
        return sum(size for _, size in self.results.values())

    def reserve(
        self, call: batchjobs.BatchCall, keep_ms: float, now: float
    ) -> None:
        """Start a call, and reserve the space for its results.

        Parameters
        ----------
        call : BatchCall
            The call.
        keep_ms : float
            Milliseconds for which the endpoint keeps a result.
        now : float
            The time in milliseconds.
        """
        self.call = call
        expires = now + call.expected_ms + keep_ms
        for part in call.parts:
            for index in part.item_indexes:
                name = name_item(part.job, index)
                self.results[name] = expires, part.job.result_bytes

    def release(self, call: batchjobs.BatchCall) -> None:
        """Release the space that was reserved for a call."""
        for part in call.parts:
            for index in part.item_indexes:
                self.results.pop(name_item(part.job, index), None)

    def record_result(
        self,
        job: batchjobs.Job,
        index: int,
        handle: str,
        expires: float,
    ) -> None:
        """Replace the space reserved for an item by that of its result.

        An empty handle means that there is no result.
        """
        self.results.pop(name_item(job, index), None)
        if handle:
            self.results[handle] = expires, job.result_bytes

    def record_duration(self, ratio: float, now: float) -> None:
        """Record how long a call took, as a multiple of the usual time."""
        self._failures = 0
        self.slowdown += SLOWDOWN_WEIGHT * (ratio - self.slowdown)
        if self.slowdown >= SLOW_FACTOR:
            self.backoff_until = now + SLOW_BACKOFF_MS
            self.slowdown = (self.slowdown + 1.0) / 2.0

    def record_overdue(self) -> None:
        """Record that its call takes far longer than expected."""
        self.slowdown = max(self.slowdown, SLOW_FACTOR)

    def record_busy(self, now: float) -> None:
        """Record that it rejected a call because it was busy."""
        self.backoff_until = now + BUSY_BACKOFF_MS

    def record_failure(self, now: float) -> None:
        """Record that a call failed."""
        self._failures += 1
        backoff_ms = FAILURE_BACKOFF_MS * 2.0 ** (self._failures - 1)
        self.backoff_until = now + min(MAX_FAILURE_BACKOFF_MS, backoff_ms)

    def record_out_of_space(
        self, size: int, none_fit: bool, now: float
    ) -> None:
        """Record that it was out of space for results.

        Parameters
        ----------
        size : int
            Bytes of the results that it could not keep.
        none_fit : bool
            Whether there was no space for any result of the call.
        now : float
            The time in milliseconds.
        """
        # The fixed key lets a new shortage replace the one before.
        self.results["crowded"] = now + OUT_OF_SPACE_MS, size
        if none_fit:
            self.backoff_until = now + OUT_OF_SPACE_BACKOFF_MS


def name_item(job: batchjobs.Job, index: int) -> str:
    """Return the name of an item, which stands for a result in progress."""
    return f"{job.name}/{index}"
