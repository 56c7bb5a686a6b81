"""Reads the status of hosts, and waits until a generation is active."""

import asyncio
from collections import abc
import enum

import msgspec

from chervilshore.clients import admin as admin_clients
from chervilshore.clients import platform as platforms
from chervilshore import clock as clocks
from chervilshore import exceptions
from chervilshore import ids
from chervilshore import records

POLL_INTERVAL_MS = 100.0
"""Delay between two reads of the status of a lagging host."""

STATUS_TIMEOUT_MS = 1000.0
"""Timeout of one read of a host's status."""


class Progress(enum.Enum):
    """Whether a generation is active on a host."""

    ACTIVE = "in force"
    LAGGING = "lags"
    REFUSED = "refused"
    UNREACHABLE = "unreached"


class HostProgress(msgspec.Struct, frozen=True):
    """The progress of a generation on one host.

    Parameters
    ----------
    record : HostRecord
        The host's record in the host list.
    progress : Progress
        Whether the generation is active on the host.
    generation : Generation
        The active generation of the host; 0 if it does not answer.
    reason : str
        Why the generation is not active, as far as known.
    """

    record: records.HostRecord
    progress: Progress
    generation: ids.Generation = ids.Generation(0)
    reason: str = ""


class HostStatusReader:
    """Reads the status of the listed hosts.

    Parameters
    ----------
    platform : Platform
        Provides the host list.
    admin : StatusClient
        Fetches the status of a host.
    clock : Clock
        Measures all waits.
    """

    def __init__(
        self,
        platform: platforms.Platform,
        admin: admin_clients.StatusClient,
        clock: clocks.Clock,
    ) -> None:
        self._platform = platform
        self._admin = admin
        self._clock = clock

    async def wait_until_active(
        self,
        generation: ids.Generation,
        change: ids.ChangeId,
        timeout_ms: float,
    ) -> tuple[HostProgress, ...]:
        """Wait until a change, or a later one, is active on all hosts.

        Returns
        -------
        tuple of HostProgress
            The last progress of all listed hosts. Some may not be active if
            the timeout passed. Empty if the host list cannot be read.
        """
        end = self._clock.now() + timeout_ms
        found: dict[ids.HostId, HostProgress] = {}
        while True:
            listed = await self._list_hosts(end)
            waiting = [
                record
                for record in listed
                if not _is_active(found.get(record.host))
            ]
            fetched = await asyncio.gather(
                *(
                    self._fetch_progress(record, generation, change)
                    for record in waiting
                )
            )
            found.update((one.record.host, one) for one in fetched)
            found = {
                record.host: found[record.host]
                for record in listed
                if record.host in found
            }
            done = listed and all(map(_is_active, found.values()))
            if done or self._clock.now() >= end:
                return tuple(found.values())
            await self._clock.sleep(POLL_INTERVAL_MS)

    async def read_host_list(self) -> records.HostList:
        """Read the host list."""
        return await self._platform.hosts()

    async def fetch_all(
        self, listed: abc.Iterable[records.HostRecord]
    ) -> list[tuple[records.HostRecord, admin_clients.HostStatus | None]]:
        """Fetch the status of hosts; None for those that do not answer."""
        return list(await asyncio.gather(*map(self._fetch, listed)))

    async def _fetch(self, record: records.HostRecord):
        try:
            status = await self._admin.fetch_status(
                record.http_address, STATUS_TIMEOUT_MS
            )
        except exceptions.PeerError:
            return record, None
        return record, status

    async def _fetch_progress(
        self,
        record: records.HostRecord,
        generation: ids.Generation,
        change: ids.ChangeId,
    ) -> HostProgress:
        _, status = await self._fetch(record)
        if status is None:
            return HostProgress(
                record, Progress.UNREACHABLE, reason="it does not answer"
            )
        state = status.configuration
        if status.generation == generation and state.change != change:
            return HostProgress(
                record,
                Progress.REFUSED,
                status.generation,
                f"it has this generation from another change {state.change}",
            )
        if status.generation >= generation:
            return HostProgress(record, Progress.ACTIVE, status.generation)
        if state.refused_generation:
            return HostProgress(
                record,
                Progress.REFUSED,
                status.generation,
                state.refusal,
            )
        return HostProgress(record, Progress.LAGGING, status.generation)

    async def _list_hosts(self, end: float) -> list[records.HostRecord]:
        while True:
            try:
                return list((await self._platform.hosts()).hosts)
            except exceptions.PlatformError:
                if self._clock.now() >= end:
                    return []
            await self._clock.sleep(POLL_INTERVAL_MS)


def _is_active(progress: HostProgress | None) -> bool:
    return progress is not None and progress.progress is Progress.ACTIVE
