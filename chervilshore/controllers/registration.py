"""Keeps a host's own entry in the store."""

import asyncio
import logging

import mode

from chervilshore import clock as clocks
from chervilshore.controllers import decoders as decoding
from chervilshore.controllers import membership as memberships
from chervilshore.controllers import storereader
from chervilshore.decisions import backoff
from chervilshore import events
from chervilshore import exceptions
from chervilshore import objects

_LOGGER = logging.getLogger(__name__)


class Registration(mode.Service):
    """Writes the entry by which other hosts find this one.

    Parameters
    ----------
    store : ObjectStore
        The platform's store.
    decoders : Decoders
        Encode the entry.
    membership : Membership
        Knows this host.
    clock : Clock
        Measures the delays between tries.

    Attributes
    ----------
    is_registered : bool
        Whether the entry has been written.
    """

    def __init__(
        self,
        store: objects.ObjectStore,
        decoders: decoding.Decoders,
        membership: memberships.Membership,
        clock: clocks.Clock,
    ) -> None:
        super().__init__()
        self._store = store
        self._decoders = decoders
        self._membership = membership
        self._clock = clock
        self._due = asyncio.Event()
        self._due.set()
        self.is_registered = False
        self._is_leaving = False

    def renew(self) -> None:
        """Write the entry again, as the store may have lost it."""
        self._due.set()

    async def unregister(self) -> None:
        """Delete the entry, and write none any more."""
        self._is_leaving = True
        if not self.is_registered:
            return
        try:
            await self._store.delete(
                self._decoders.hosts, self._membership.me.host
            )
        except exceptions.PlatformError as error:
            # Other hosts detect by probing that this one has stopped.
            events.log_event(
                _LOGGER,
                events.Event.STORE_UNREADABLE,
                kind="host",
                error=error,
            )

    @mode.Service.task
    async def _register(self) -> None:
        """Write the entry, and again after each restore."""
        me = self._membership.me
        content = self._decoders.write_host(me)
        retry_delays = backoff.Backoff(
            storereader.MIN_RETRY_MS, storereader.MAX_RETRY_MS
        )
        while not self.should_stop:
            await self._due.wait()
            if self._is_leaving:
                return
            self._due.clear()
            try:
                await self._store.put(self._decoders.hosts, me.host, content)
            except exceptions.PlatformError:
                self._due.set()
                await self._clock.sleep(retry_delays.next_delay_ms())
            else:
                self.is_registered = True
                retry_delays.reset()
