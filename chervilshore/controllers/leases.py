"""Acquires, renews and releases a lease that is stored in the platform."""

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


class LeaseHolder:
    """Holds one lease for this host.

    Parameters
    ----------
    name : str
        The name of the lease, and of its object below ``leases/``.
    host : HostId
        This host.
    clock : Clock
        Measures the duration of the lease.
    platform : Platform
        Stores the lease.
    rng : random.Random
        Draws the id that distinguishes this process run of the host.
    terms : Terms
        The durations of the lease, the same on every host.
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
        run_id = f"{rng.getrandbits(64):016x}"
        self._lease_state = leases.LeaseState(host, run_id, terms)

    @property
    def token(self) -> ids.FencingToken:
        """The fencing token for calls that are made under the lease."""
        return self._lease_state.token

    def holds(self) -> bool:
        """Return whether a call may be sent under the lease now."""
        return self._lease_state.holds(self._clock.now())

    async def acquire_or_renew(self) -> bool:
        """Acquire or renew the lease if that is due and possible now.

        Returns
        -------
        bool
            Whether this host holds the lease; if not, call again later.
        """
        held_before = self.holds()
        try:
            await self._advance()
        except exceptions.VersionConflict:
            self._lease_state.mark_unknown()
        except exceptions.PlatformUnknown:
            self._lease_state.mark_unknown()
        except exceptions.PlatformUnavailable:
            pass
        holds = self.holds()
        if holds != held_before:
            self._log_change(holds)
        return holds

    async def release(self) -> None:
        """Release the lease before it expires.

        No call that was sent under it may still be in progress.
        """
        if not self.holds():
            return
        version = self._lease_state.version
        lease = self._lease_state.release()
        self._log_change(False)
        try:
            await self._write(lease, version)
        except exceptions.PlatformError:
            # Without the write the lease expires by itself.
            self._lease_state.mark_unknown()

    async def _advance(self) -> None:
        action = self._lease_state.next_action(self._clock.now())
        if action is leases.Action.READ:
            await self._read()
            action = self._lease_state.next_action(self._clock.now())
        if action in (leases.Action.ACQUIRE, leases.Action.RENEW):
            await self._write(
                self._lease_state.build_lease(), self._lease_state.version
            )

    async def _read(self) -> None:
        try:
            stored = await self._platform.get(self._key)
        except exceptions.ObjectMissing:
            self._lease_state.record_read(None, 0, self._clock.now())
            return
        lease = _DECODER.decode(stored.value)
        self._lease_state.record_read(lease, stored.version, self._clock.now())

    async def _write(self, lease: leases.Lease, version: int) -> None:
        started_at = self._clock.now()
        value = _ENCODER.encode(lease)
        if version:
            version = await self._platform.update(self._key, value, version)
        else:
            version = await self._platform.create(self._key, value)
        self._lease_state.record_write(lease, version, started_at)

    def _log_change(self, holds: bool) -> None:
        event = events.Event.LEASE_LOST
        if holds:
            event = events.Event.LEASE_ACQUIRED
        events.log_event(
            _LOGGER, event, lease=self.name, token=self._lease_state.version
        )
