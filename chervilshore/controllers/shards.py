"""The number of shards of the claims, which is the same on every host."""

import asyncio
import logging

from chervilshore.clients import platform as platforms
from chervilshore import clock as clocks
from chervilshore.decisions import claimkeys
from chervilshore import events
from chervilshore import exceptions

_LOGGER = logging.getLogger(__name__)


class ShardLayout:
    """Reads the number of shards from the platform, or stores it there.

    Hosts with different numbers of shards would look for one key in
    different logs, so the stored number takes precedence over the setting.

    Parameters
    ----------
    clock : Clock
        Measures timeouts and the delay of retries.
    platform : Platform
        Stores the number.
    initial_shards : int
        The number to store if none is stored yet.
    retry_ms : float
        Milliseconds until a failed platform call is retried.

    Attributes
    ----------
    shards : int
        The number of shards; 0 while it is not known.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        platform: platforms.Platform,
        initial_shards: int,
        retry_ms: float,
    ) -> None:
        self.shards = 0
        self._clock = clock
        self._platform = platform
        self._initial_shards = initial_shards
        self._retry_ms = retry_ms
        self._read_task: asyncio.Task | None = None

    async def wait_until_known(self, wait_ms: float) -> bool:
        """Wait until the number of shards is known.

        Parameters
        ----------
        wait_ms : float
            Maximum milliseconds to wait.

        Returns
        -------
        bool
            Whether it is known.
        """
        if self.shards:
            return True
        if self._read_task is None or self._read_task.done():
            self._read_task = asyncio.ensure_future(self._read())
        shielded = asyncio.shield(self._read_task)
        try:
            await clocks.wait_for(self._clock, shielded, wait_ms)
        except TimeoutError:
            return False
        return bool(self.shards)

    def stop(self) -> None:
        """Cancel the read from the platform."""
        if self._read_task is not None:
            self._read_task.cancel()

    async def _read(self) -> None:
        while not self.shards:
            try:
                stored = await self._platform.get(claimkeys.LAYOUT_KEY)
                self.shards = int(stored.value)
            except exceptions.ObjectMissing:
                await self._create()
            except exceptions.PlatformError:
                await self._clock.sleep(self._retry_ms)
        if self.shards != self._initial_shards:
            events.log_event(
                _LOGGER, events.Event.CLAIM_SHARDS_DIFFER, shards=self.shards
            )

    async def _create(self) -> None:
        value = str(self._initial_shards).encode()
        try:
            await self._platform.create(claimkeys.LAYOUT_KEY, value)
        except exceptions.PlatformError:
            # The next read shows whether this host or another stored it.
            await self._clock.sleep(self._retry_ms)
