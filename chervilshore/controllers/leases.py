"""Holding a lease in the platform."""

import logging
import random

import msgspec

from chervilshore.clients import platform as platforms
from chervilshore import clock as clocks
from chervilshore.decisions import leases
from chervilshore import events
from chervilshore import exceptions
from chervilshore import ids

_LOGGER = logging.getLogger(__name__)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(leases.Lease)


class LeaseKeeper:
    """Takes, renews and gives back one lease for this host.

    Parameters
    ----------
    name : str
        What the lease is for.
    host : HostId
        This host.
    clock : Clock
        The clock.
    platform : Platform
        Where the lease is.
    rng : random.Random
        Makes this life unlike earlier ones of the host.
    terms : Terms
        What the lease goes by.
    """

    def __init__(
        self,
        name: str,
        host: ids.HostId,
        clock: clocks.Clock,
        platform: platforms.Platform,
        rng: random.Random,
        terms: leases.Terms = leases.Terms(),
    ) -> None:
        self.name = name
        self._key = f"leases/{name}"
        self._clock = clock
        self._platform = platform
        life = f"{rng.getrandbits(64):016x}"
        self._tenure = leases.LeaseState(host, life, terms)

    @property
    def token(self) -> ids.FencingToken:
        """The fencing token to send along."""
        return self._tenure.token

    def holds(self) -> bool:
        """Tell whether something may be sent under the lease right now."""
        return self._tenure.holds(self._clock.now())

    async def hold(self) -> bool:
        """Take or renew the lease if that is due and possible now.

        Returns
        -------
        bool
            Whether this host holds it; if not, ask again later.
        """
        held = self.holds()
        try:
            await self._move()
        except exceptions.VersionConflict:
            self._tenure.mark_unknown()
        except exceptions.PlatformUnknown:
            self._tenure.mark_unknown()
        except exceptions.PlatformUnavailable:
            pass
        holds = self.holds()
        if holds != held:
            self._report(holds)
        return holds

    async def release(self) -> None:
        """Free the lease at once; nothing sent may be under way."""
        if not self.holds():
            return
        version = self._tenure.version
        lease = self._tenure.release()
        self._report(False)
        try:
            await self._write(lease, version)
        except exceptions.PlatformError:
            # Then it simply runs out.
            self._tenure.mark_unknown()

    async def _move(self) -> None:
        move = self._tenure.next_action(self._clock.now())
        if move is leases.Action.READ:
            await self._read()
            move = self._tenure.next_action(self._clock.now())
        if move in (leases.Action.ACQUIRE, leases.Action.RENEW):
            await self._write(self._tenure.build_lease(), self._tenure.version)

    async def _read(self) -> None:
        try:
            stored = await self._platform.get(self._key)
        except exceptions.ObjectMissing:
            self._tenure.record_read(None, 0, self._clock.now())
            return
        lease = _DECODER.decode(stored.value)
        self._tenure.record_read(lease, stored.version, self._clock.now())

    async def _write(self, lease: leases.Lease, version: int) -> None:
        began = self._clock.now()
        value = _ENCODER.encode(lease)
        if version:
            version = await self._platform.update(self._key, value, version)
        else:
            version = await self._platform.create(self._key, value)
        self._tenure.record_write(lease, version, began)

    def _report(self, holds: bool) -> None:
        event = events.Event.LEASE_LOST
        if holds:
            event = events.Event.LEASE_TAKEN
        events.log_event(
            _LOGGER, event, lease=self.name, token=self._tenure.version
        )
