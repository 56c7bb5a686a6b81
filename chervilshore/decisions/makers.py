"""Endpoints that make pieces: how fast, how full and how sound they are."""

from chervilshore.decisions import piecejobs
from chervilshore import records

SPEED_WEIGHT = 0.4
"""The weight of one call in an endpoint's speed."""

BACKOFF_MS = 60.0
"""Milliseconds for which a full endpoint is not asked again."""

CROWDED_REST_MS = 200.0
"""Milliseconds for which an endpoint without any room is not asked again;
results of a lost keeper take up to four seconds to lapse."""

CROWDED_MS = 600.0
"""Milliseconds for which an endpoint counts as fuller than it seemed."""

FAILED_MS = 700.0
"""Milliseconds for which an endpoint rests after a first lost call."""

MOST_FAILED_MS = 5000.0
"""Milliseconds for which an endpoint rests at most."""

SLOW_SPEED = 2.0
"""Times the usual duration from which an endpoint is left while others
are free soon."""

SPEED_REST_MS = 4000.0
"""Milliseconds after which a slow endpoint is tried with a small call."""


class Maker:
    """An endpoint that makes pieces, as its planner knows it.

    Parameters
    ----------
    record : EndpointRecord
        The endpoint.

    Attributes
    ----------
    call : BatchCall or None
        The call that it has now.
    speed : float
        Times the usual duration that its calls take.
    rests_until : float
        The moment until which it is not asked.
    results : dict
        The moment at which each result lapses, and its bytes.
    """

    def __init__(self, record: records.EndpointRecord) -> None:
        self.record = record
        self.call: piecejobs.BatchCall | None = None
        self.speed = 1.0
        self.rests_until = 0.0
        self.results: dict[str, tuple[float, int]] = {}
        self._failures = 0

    def is_usable(self, now: float) -> bool:
        """Tell whether it may be asked, and is not far slower than others."""
        return self.rests_until <= now and self.speed < SLOW_SPEED

    def count_left(self, now: float) -> float:
        """Tell the milliseconds until its call should end."""
        if self.call is None:
            return 0.0
        return max(0.0, self.call.began + self.call.expected_ms - now)

    def count_used(self, now: float) -> int:
        """Count the bytes of results that it keeps."""
        gone = [name for name, (end, _) in self.results.items() if end <= now]
        for name in gone:
            del self.results[name]
        return sum(size for _, size in self.results.values())

    def reserve(
        self, call: piecejobs.BatchCall, keep_ms: float, now: float
    ) -> None:
        """Begin a call, and keep room for its results."""
        self.call = call
        ends = now + call.expected_ms + keep_ms
        for part in call.parts:
            for piece in part.item_indexes:
                name = name_piece(part.job, piece)
                self.results[name] = ends, part.job.result_bytes

    def release(self, call: piecejobs.BatchCall) -> None:
        """Give the room for a call's results back."""
        for part in call.parts:
            for piece in part.item_indexes:
                self.results.pop(name_piece(part.job, piece), None)

    def note_result(
        self,
        job: piecejobs.Job,
        piece: int,
        handle: str,
        lapses: float,
    ) -> None:
        """Count a result in place of the room that was kept for it."""
        self.results.pop(name_piece(job, piece), None)
        if handle:
            self.results[handle] = lapses, job.result_bytes

    def note_speed(self, ratio: float, now: float) -> None:
        """Learn how long a call took against what is usual."""
        self._failures = 0
        self.speed += SPEED_WEIGHT * (ratio - self.speed)
        if self.speed >= SLOW_SPEED:
            self.rests_until = now + SPEED_REST_MS
            self.speed = (self.speed + 1.0) / 2.0

    def note_late(self) -> None:
        """Learn that a call takes far longer than expected."""
        self.speed = max(self.speed, SLOW_SPEED)

    def note_full(self, now: float) -> None:
        """Learn that it had no place for a call."""
        self.rests_until = now + BACKOFF_MS

    def note_lost(self, now: float) -> None:
        """Learn that it lost a call."""
        self._failures += 1
        rest = FAILED_MS * 2.0 ** (self._failures - 1)
        self.rests_until = now + min(MOST_FAILED_MS, rest)

    def note_crowded(self, size: int, wholly: bool, now: float) -> None:
        """Learn that it had no room for results.

        Parameters
        ----------
        size : int
            Bytes for which there was no room.
        wholly : bool
            Whether there was room for none of a call's results.
        now : float
            The time in milliseconds.
        """
        self.results["crowded"] = now + CROWDED_MS, size
        if wholly:
            self.rests_until = now + CROWDED_REST_MS


def name_piece(job: piecejobs.Job, piece: int) -> str:
    """Name the place of a result that is being made."""
    return f"{job.name}/{piece}"
