"""What hosts say of themselves, and how far a generation has come."""

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
"""Milliseconds between two questions to a host that lags."""

STATUS_TIMEOUT_MS = 1000.0
"""Milliseconds that a host has to answer."""


class Progress(enum.Enum):
    """How far a generation has come on a host."""

    ACTIVE = "in force"
    LAGGING = "lags"
    REFUSED = "refused"
    UNREACHABLE = "unreached"


class HostProgress(msgspec.Struct, frozen=True):
    """How far a generation has come on one host.

    Parameters
    ----------
    record : HostRecord
        The host, as the host list tells of it.
    progress : Progress
        How far it is.
    generation : Generation
        The generation in force there; 0 when it could not be reached.
    reason : str
        Why it is not further.
    """

    record: records.HostRecord
    progress: Progress
    generation: ids.Generation = ids.Generation(0)
    reason: str = ""


class HostStatusReader:
    """Asks the hosts of the host list.

    Parameters
    ----------
    platform : Platform
        Gives the host list.
    admin : Admin
        How hosts are asked.
    clock : Clock
        Measures all waits.
    """

    def __init__(
        self,
        platform: platforms.Platform,
        admin: admin_clients.Admin,
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
        """Wait until a change, or a later one, is in force on all hosts.

        Returns
        -------
        tuple of HostProgress
            All hosts of the host list, as they were at last.
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
            asked = await asyncio.gather(
                *(
                    self._fetch_progress(record, generation, change)
                    for record in waiting
                )
            )
            found.update((one.record.host, one) for one in asked)
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
        """Ask hosts for their status; nothing for those not reached."""
        return list(await asyncio.gather(*map(self._fetch, listed)))

    async def _fetch(self, record: records.HostRecord):
        try:
            status = await self._admin.ask(
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
        told = status.configuration
        if status.generation == generation and told.change != change:
            return HostProgress(
                record,
                Progress.REFUSED,
                status.generation,
                f"it has this generation from another change {told.change}",
            )
        if status.generation >= generation:
            return HostProgress(record, Progress.ACTIVE, status.generation)
        if told.refused_generation:
            return HostProgress(
                record, Progress.REFUSED, status.generation, told.refusal
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
