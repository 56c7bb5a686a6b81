"""How many logs of claims there are, alike on every host."""

import asyncio
import logging

from chervilshore.clients import platform as platforms
from chervilshore import clock as clocks
from chervilshore.decisions import claimkeys
from chervilshore import events
from chervilshore import exceptions

_LOGGER = logging.getLogger(__name__)


class ShardLayout:
    """The number of shards, as the platform holds it.

    Two hosts that spread keys differently would look for one key in two
    logs, so what the platform holds goes before the setting.

    Parameters
    ----------
    clock : Clock
        The clock.
    platform : Platform
        Where the number stands.
    initial_shards : int
        The number to store when there is none.
    retry_ms : float
        Milliseconds after which a call that failed is made again.

    Attributes
    ----------
    shards : int
        The number; 0 while it is not known.
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
        """Wait until the number is known.

        Parameters
        ----------
        wait_ms : float
            Milliseconds to wait at most.

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
        """Stop reading."""
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
                _LOGGER, events.Event.CLAIM_SHARDS, shards=self.shards
            )

    async def _create(self) -> None:
        value = str(self._initial_shards).encode()
        try:
            await self._platform.create(claimkeys.LAYOUT_KEY, value)
        except exceptions.PlatformError:
            # Whatever has become of it is read next.
            await self._clock.sleep(self._retry_ms)
