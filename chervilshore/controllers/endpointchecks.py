"""Finds out whether endpoints that closed connections have ended."""

from collections import abc as collections_abc

import mode

from chervilshore.clients import connectionpool
from chervilshore import clock as clocks
from chervilshore.controllers import directory as directories
from chervilshore import ids
from chervilshore import records

FIRST_LOOK_MS = 250.0
"""Milliseconds for the first look, during which the request waits; less than a
caller notices when it is sent again."""

LOOK_MS = 1000.0
"""Milliseconds for a later look, in which also peers are asked."""

LOOK_TIMES_MS = (250.0, 500.0, 1000.0, 2000.0, 4000.0)
"""Milliseconds after the loss at which an endpoint that was not refused is
looked at again: its listener may be closed after its connections are, and the
store drops an endpoint that is gone after some seconds."""

OnEnded = collections_abc.Callable[[records.EndpointRecord, float], None]
"""Called with an endpoint that has ended, and the time of the loss."""


class EndpointChecks(mode.Service):
    """Looks at endpoints until it is known whether they have ended.

    One look proves an end if the address is closed, but nothing if it is not:
    what listens there may be about to close, or another process.

    Parameters
    ----------
    clock : Clock
        The time.
    pool : ConnectionPool
        Opens connections to the endpoints.
    directory : Directory
        Lists the endpoints.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        pool: connectionpool.ConnectionPool,
        directory: directories.Directory,
    ) -> None:
        super().__init__()
        self._clock = clock
        self._pool = pool
        self._directory = directory
        self._losses: dict[ids.CrashId, list[tuple[float, OnEnded]]] = {}

    async def look(
        self, record: records.EndpointRecord
    ) -> connectionpool.Presence:
        """Return what is found at an endpoint's address at once."""
        return await self._pool.look(record.address, FIRST_LOOK_MS)

    def follow(
        self,
        record: records.EndpointRecord,
        lost_at: float,
        on_ended: OnEnded,
    ) -> None:
        """Look at an endpoint again in the background.

        Requests that it lost meanwhile share the looks.

        Parameters
        ----------
        record : EndpointRecord
            The endpoint.
        lost_at : float
            Time in milliseconds at which it closed a connection.
        on_ended : callable
            Called if it has ended.
        """
        losses = self._losses.setdefault(records.name_process(record), [])
        losses.append((lost_at, on_ended))
        if len(losses) == 1:
            self.add_future(self._follow(record, losses))

    async def _follow(
        self,
        record: records.EndpointRecord,
        losses: list[tuple[float, OnEnded]],
    ) -> None:
        has_ended = False
        followed = 0
        while not has_ended and followed < len(losses):
            # It may have ended at the last loss, but not at those before.
            followed = len(losses)
            has_ended = await self._look_again(record, losses[-1][0])
        del self._losses[records.name_process(record)]
        if has_ended:
            for lost_at, on_ended in losses:
                on_ended(record, lost_at)

    async def _look_again(
        self, record: records.EndpointRecord, lost_at: float
    ) -> bool:
        """Return whether an endpoint ends within seconds of a loss."""
        for delay_ms in LOOK_TIMES_MS:
            left_ms = lost_at + delay_ms - self._clock.now()
            if left_ms >= 0.0:
                await self._clock.sleep(left_ms)
                if await self._has_ended(record):
                    return True
        return False

    async def _has_ended(self, record: records.EndpointRecord) -> bool:
        listed = self._directory.endpoint(record.endpoint)
        if listed is None or listed.instance != record.instance:
            return True
        found = await self._pool.look(record.address, LOOK_MS)
        return found is connectionpool.Presence.REFUSED
