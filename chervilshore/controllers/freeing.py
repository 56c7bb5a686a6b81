"""Gives up results that nobody needs any more, several with one call."""

import asyncio
from collections import abc as collections_abc
import logging

from chervilshore.clients import batchclients
from chervilshore import clock as clocks
from chervilshore.controllers import directory as directories
from chervilshore import events
from chervilshore import exceptions
from chervilshore import ids
from chervilshore import records

FREE_MS = 20.0
"""Milliseconds for which handles are collected before they are given up."""

FREE_LIMIT_MS = 1000.0
"""Milliseconds to wait until an endpoint has given results up."""

_LOGGER = logging.getLogger(__name__)

OnFreed = collections_abc.Callable[[ids.EndpointId, list[str]], None]
"""Learns which handles an endpoint has given up."""


class ResultFreer:
    """Lets endpoints forget results.

    Parameters
    ----------
    clock : Clock
        The time.
    directory : Directory
        The endpoints.
    client : BatchClient
        Makes the calls.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        directory: directories.Directory,
        client: batchclients.BatchClient,
    ) -> None:
        self._clock = clock
        self._directory = directory
        self._client = client
        self._collected: dict[ids.EndpointId, list[str]] = {}
        self._running: set[asyncio.Task] = set()

    def free(
        self,
        pool: ids.PoolName,
        handles: collections_abc.Iterable[str],
        on_freed: OnFreed,
    ) -> None:
        """Give results up soon; those of endpoints that are gone have ended.

        Parameters
        ----------
        pool : PoolName
            Whose results they are.
        handles : iterable of str
            The results.
        on_freed : callable
            Is told what has been given up.
        """
        for handle in handles:
            record = self._find_maker(pool, handle)
            if record is None:
                continue
            collected = self._collected.setdefault(record.endpoint, [])
            collected.append(handle)
            if len(collected) == 1:
                task = asyncio.ensure_future(self._free_soon(record, on_freed))
                self._running.add(task)
                task.add_done_callback(self._running.discard)

    def stop(self) -> None:
        """End what runs."""
        for task in tuple(self._running):
            task.cancel()

    def _find_maker(
        self, pool: ids.PoolName, handle: str
    ) -> records.EndpointRecord | None:
        address = handle.partition("/")[0]
        for record in self._directory.endpoints(pool):
            if record.address == address:
                return record
        return None

    async def _free_soon(
        self, record: records.EndpointRecord, on_freed: OnFreed
    ) -> None:
        await self._clock.sleep(FREE_MS)
        handles = self._collected.pop(record.endpoint, [])
        try:
            await self._client.free(record, handles, FREE_LIMIT_MS)
        except exceptions.EndpointError as error:
            # They lapse by themselves after a while.
            events.log_event(
                _LOGGER,
                events.Event.RESULTS_NOT_FREED,
                endpoint=record.endpoint,
                count=len(handles),
                error=error,
            )
            return
        on_freed(record.endpoint, handles)
