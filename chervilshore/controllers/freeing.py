"""Frees results that are no longer needed, several in one call."""

import asyncio
from collections import abc as collections_abc
import logging

from chervilshore.clients import batches
from chervilshore import clock as clocks
from chervilshore.controllers import directory as directories
from chervilshore.decisions import endpointnotices
from chervilshore import events
from chervilshore import exceptions
from chervilshore import ids
from chervilshore import records

FREE_DELAY_MS = 20.0
"""Milliseconds for which handles are collected before the call that frees
them."""

FREE_TIMEOUT_MS = 1000.0
"""Milliseconds to wait until an endpoint has freed results."""

_LOGGER = logging.getLogger(__name__)

OnFreed = collections_abc.Callable[[ids.EndpointId, list[str]], None]
"""Called with the handles that an endpoint has freed."""


class ResultFreer:
    """Frees results at endpoints, with one call for several handles.

    Parameters
    ----------
    clock : Clock
        The time.
    directory : Directory
        The endpoints.
    client : BatchClient
        Makes the calls.
    notices : EndpointNotices
        Which endpoints want no calls now.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        directory: directories.Directory,
        client: batches.BatchClient,
        notices: endpointnotices.EndpointNotices,
    ) -> None:
        self._clock = clock
        self._directory = directory
        self._client = client
        self._notices = notices
        self._collected: dict[ids.EndpointId, list[str]] = {}
        self._running: set[asyncio.Task] = set()

    def free(
        self,
        pool: ids.PoolName,
        handles: collections_abc.Iterable[str],
        on_freed: OnFreed,
    ) -> None:
        """Free results after a short delay.

        Handles of endpoints that are no longer listed are skipped: their
        results ended with the endpoint.

        Parameters
        ----------
        pool : PoolName
            The pool whose endpoints hold the results.
        handles : iterable of str
            The results.
        on_freed : callable
            Called with the handles after each successful call.
        """
        for handle in handles:
            record = self._find_endpoint(pool, handle)
            if record is None:
                continue
            collected = self._collected.setdefault(record.endpoint, [])
            collected.append(handle)
            if len(collected) == 1:
                task = asyncio.ensure_future(
                    self._free_collected(record, on_freed)
                )
                self._running.add(task)
                task.add_done_callback(self._running.discard)

    def stop(self) -> None:
        """Cancel the calls that wait or run."""
        for task in tuple(self._running):
            task.cancel()

    def _find_endpoint(
        self, pool: ids.PoolName, handle: str
    ) -> records.EndpointRecord | None:
        """Return the endpoint whose address the handle starts with."""
        address = handle.partition("/")[0]
        for record in self._directory.endpoints(pool):
            if record.address == address:
                return record
        return None

    async def _free_collected(
        self, record: records.EndpointRecord, on_freed: OnFreed
    ) -> None:
        await self._clock.sleep(FREE_DELAY_MS)
        handles = self._collected.pop(record.endpoint, [])
        try:
            if self._clock.now() < self._notices.paused_until(record):
                raise exceptions.EndpointBusy("it asked for a pause")
            await self._client.free(record, handles, FREE_TIMEOUT_MS)
        except exceptions.EndpointError as error:
            # No retry: unused results expire at the endpoint after a while.
            events.log_event(
                _LOGGER,
                events.Event.RESULTS_NOT_FREED,
                endpoint=record.endpoint,
                count=len(handles),
                error=error,
            )
            return
        on_freed(record.endpoint, handles)
