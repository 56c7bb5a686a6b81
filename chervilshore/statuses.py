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

POLL_MS = 100.0
"""Milliseconds between two questions to a host that lags."""

ASK_MS = 1000.0
"""Milliseconds that a host has to answer."""


class Progress(enum.Enum):
    """How far a generation has come on a host."""

    IN_FORCE = "in force"
    LAGS = "lags"
    REFUSED = "refused"
    UNREACHED = "unreached"


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


class Statuses:
    """Asks the hosts of the host list.

    Parameters
    ----------
    platform : Platform
        Gives the host list.
    admin : StatusClient
        How hosts are asked.
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

    async def wait(
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
                if not _is_done(found.get(record.host))
            ]
            asked = await asyncio.gather(
                *(
                    self._ask_progress(record, generation, change)
                    for record in waiting
                )
            )
            found.update((one.record.host, one) for one in asked)
            found = {
                record.host: found[record.host]
                for record in listed
                if record.host in found
            }
            done = listed and all(map(_is_done, found.values()))
            if done or self._clock.now() >= end:
                return tuple(found.values())
            await self._clock.sleep(POLL_MS)

    async def read_list(self) -> records.HostList:
        """Read the host list."""
        return await self._platform.hosts()

    async def ask_all(
        self, listed: abc.Iterable[records.HostRecord]
    ) -> list[tuple[records.HostRecord, admin_clients.HostStatus | None]]:
        """Ask hosts for their status; nothing for those not reached."""
        return list(await asyncio.gather(*map(self._ask, listed)))

    async def _ask(self, record: records.HostRecord):
        try:
            status = await self._admin.fetch_status(
                record.http_address, ASK_MS
            )
        except exceptions.PeerError:
            return record, None
        return record, status

    async def _ask_progress(
        self,
        record: records.HostRecord,
        generation: ids.Generation,
        change: ids.ChangeId,
    ) -> HostProgress:
        _, status = await self._ask(record)
        if status is None:
            return HostProgress(
                record, Progress.UNREACHED, reason="it does not answer"
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
            return HostProgress(record, Progress.IN_FORCE, status.generation)
        if told.refused_generation:
            return HostProgress(
                record, Progress.REFUSED, status.generation, told.refusal
            )
        return HostProgress(record, Progress.LAGS, status.generation)

    async def _list_hosts(self, end: float) -> list[records.HostRecord]:
        while True:
            try:
                return list((await self._platform.hosts()).hosts)
            except exceptions.PlatformError:
                if self._clock.now() >= end:
                    return []
            await self._clock.sleep(POLL_MS)


def _is_done(progress: HostProgress | None) -> bool:
    return progress is not None and progress.progress is Progress.IN_FORCE
