"""What a host knows of the queues of preparing pools."""

import msgspec

from chervilshore import ids

KNOWN_MS = 3000.0
"""Milliseconds after which what a keeper said says nothing any more."""


class Waits(msgspec.Struct, frozen=True, array_like=True):
    """How long new pieces wait for their call, about.

    Parameters
    ----------
    timely_ms : float
        Milliseconds for those that can still reach their objective.
    late_ms : float
        Milliseconds for all others, which go behind.
    """

    timely_ms: float = 0.0
    late_ms: float = 0.0


class Backlog:
    """Remembers what keepers said; queues are taken to drain meanwhile."""

    def __init__(self) -> None:
        self._known: dict[ids.PoolName, tuple[float, Waits]] = {}

    def note(self, pool: ids.PoolName, waits: Waits, now: float) -> None:
        """Learn what a keeper says of its queue."""
        self._known[pool] = (now, waits)

    def find(self, pool: ids.PoolName, now: float) -> Waits:
        """Tell how long pieces wait there now, as far as it is known."""
        moment, waits = self._known.get(pool, (now, Waits()))
        passed = now - moment
        if passed > KNOWN_MS:
            return Waits()
        return Waits(
            max(0.0, waits.timely_ms - passed),
            max(0.0, waits.late_ms - passed),
        )
