"""The orders to engines, as they stand in the platform."""

import random

import msgspec

from chervilshore.clients import platform as platforms
from chervilshore import clock as clocks
from chervilshore.decisions import loads
from chervilshore.decisions import orders
from chervilshore import exceptions
from chervilshore import ids

MAX_FINISHED_ORDERS = 50
"""Orders of a pool that are kept after their end."""

LOAD_RATE_KEY = "limits/loads"
"""The object by which the fleet spaces loads of weights."""

_ENCODER = msgspec.json.Encoder()
_DECODER = msgspec.json.Decoder(orders.Order)


class StoredOrder(msgspec.Struct, frozen=True):
    """An order with its place in the platform."""

    key: str
    version: int
    order: orders.Order


def _make_prefix(pool: ids.PoolName) -> str:
    return f"orders/{pool}/"


async def list_orders(
    platform: platforms.Platform, pool: ids.PoolName
) -> list[StoredOrder]:
    """Read the orders of a pool, the oldest first.

    Parameters
    ----------
    platform : Platform
        Where they are.
    pool : PoolName
        The pool.
    """
    found = await platform.list(_make_prefix(pool))
    return [
        StoredOrder(stored.key, stored.version, _DECODER.decode(stored.value))
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
        key = f"{_make_prefix(order.pool)}{number:010d}"
        try:
            await platform.create(key, _ENCODER.encode(order))
        except exceptions.VersionConflict:
            continue
        return key
    raise exceptions.PlatformUnavailable(_make_prefix(order.pool))


async def update_order(
    platform: platforms.Platform, booked: StoredOrder, order: orders.Order
) -> StoredOrder:
    """Store what has become of an order.

    Raises
    ------
    exceptions.PlatformError
        It was not stored, or its fate is unknown.
    """
    version = await platform.update(
        booked.key, _ENCODER.encode(order), booked.version
    )
    return StoredOrder(booked.key, version, order)


async def delete_finished(
    platform: platforms.Platform, booked: list[StoredOrder]
) -> None:
    """Delete the oldest orders that are over, but for some of them.

    The newest order always stays, so that no number is given out twice.
    """
    over = [found for found in booked if found.order.is_over]
    for found in over[:-MAX_FINISHED_ORDERS]:
        await platform.delete(found.key, found.version)


class LoadRateLimiter:
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
        self._load_rate = loads.Pace(interval_ms)

    async def acquire(self) -> bool:
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
            stored = await self._platform.get(LOAD_RATE_KEY)
            version = stored.version
        except exceptions.ObjectMissing:
            version = 0
        self._load_rate.see(version, self._clock.now())
        if not self._load_rate.may_take(self._clock.now()):
            return False
        value = f"{self._rng.getrandbits(64):016x}".encode()
        try:
            if version:
                version = await self._platform.update(
                    LOAD_RATE_KEY, value, version
                )
            else:
                version = await self._platform.create(LOAD_RATE_KEY, value)
        except (exceptions.VersionConflict, exceptions.PlatformUnknown):
            return False
        self._load_rate.see(version, self._clock.now())
        return True
