"""The orders to engines, as they stand in the platform."""

import random

import msgspec

from chervilshore.clients import platform as platforms
from chervilshore import clock as clocks
from chervilshore.decisions import loads
from chervilshore.decisions import orders
from chervilshore import exceptions
from chervilshore import ids

KEPT_ORDERS = 50
"""Orders of a pool that are kept after their end."""

LOADS_KEY = "limits/loads"
"""The object by which the fleet spaces loads of weights."""

_ENCODER = msgspec.json.Encoder()
_DECODER = msgspec.json.Decoder(orders.Order)


class Booked(msgspec.Struct, frozen=True):
    """An order with its place in the platform."""

    key: str
    version: int
    order: orders.Order


def _prefix(pool: ids.PoolName) -> str:
    return f"orders/{pool}/"


async def list_orders(
    platform: platforms.Platform, pool: ids.PoolName
) -> list[Booked]:
    """Read the orders of a pool, the oldest first.

    Parameters
    ----------
    platform : Platform
        Where they are.
    pool : PoolName
        The pool.
    """
    found = await platform.list(_prefix(pool))
    return [
        Booked(stored.key, stored.version, _DECODER.decode(stored.value))
        for stored in found
    ]


async def submit(
    platform: platforms.Platform, order: orders.Order, attempts: int = 20
) -> str:
    """Put an order behind all others of its pool, once.

    The same order may be submitted again when an answer was lost; it is
    found by its id.

    Parameters
    ----------
    platform : Platform
        Where orders are.
    order : Order
        The order.
    attempts : int
        Places to try while others submit orders too.

    Returns
    -------
    str
        The order's key.

    Raises
    ------
    exceptions.PlatformUnknown
        It may be in force; submit the same order again.
    exceptions.PlatformError
        It is not in force.
    """
    for _ in range(attempts):
        booked = await list_orders(platform, order.pool)
        for found in booked:
            if found.order.order == order.order:
                return found.key
        number = 1
        if booked:
            number += int(booked[-1].key.rpartition("/")[2])
        key = f"{_prefix(order.pool)}{number:010d}"
        try:
            await platform.create(key, _ENCODER.encode(order))
        except exceptions.VersionConflict:
            continue
        return key
    raise exceptions.PlatformUnavailable(_prefix(order.pool))


async def rewrite(
    platform: platforms.Platform, booked: Booked, order: orders.Order
) -> Booked:
    """Store what has become of an order.

    Raises
    ------
    exceptions.PlatformError
        It was not stored, or its fate is unknown.
    """
    version = await platform.update(
        booked.key, _ENCODER.encode(order), booked.version
    )
    return Booked(booked.key, version, order)


async def forget_old(
    platform: platforms.Platform, booked: list[Booked]
) -> None:
    """Delete the oldest orders that are over, but for some of them.

    The newest order always stays, so that no number is given out twice.
    """
    over = [found for found in booked if found.order.is_finished]
    for found in over[:-KEPT_ORDERS]:
        await platform.delete(found.key, found.version)


class LoadLimit:
    """Spaces the loads of weights over the whole fleet.

    Parameters
    ----------
    clock : Clock
        The clock.
    platform : Platform
        Where the object is by which they are spaced.
    rng : random.Random
        Makes each write unlike the others.
    interval_ms : float
        Least milliseconds between two loads.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        platform: platforms.Platform,
        rng: random.Random,
        interval_ms: float,
    ) -> None:
        self._clock = clock
        self._platform = platform
        self._rng = rng
        self._pace = loads.Pace(interval_ms)

    async def take(self) -> bool:
        """Take leave for one load.

        Returns
        -------
        bool
            Whether a load may be begun; if not, ask again later.

        Raises
        ------
        exceptions.PlatformError
            The platform did not answer.
        """
        try:
            stored = await self._platform.get(LOADS_KEY)
            version = stored.version
        except exceptions.ObjectMissing:
            version = 0
        self._pace.see(version, self._clock.now())
        if not self._pace.may_take(self._clock.now()):
            return False
        value = f"{self._rng.getrandbits(64):016x}".encode()
        try:
            if version:
                version = await self._platform.update(
                    LOADS_KEY, value, version
                )
            else:
                version = await self._platform.create(LOADS_KEY, value)
        except (exceptions.VersionConflict, exceptions.PlatformUnknown):
            return False
        self._pace.see(version, self._clock.now())
        return True
