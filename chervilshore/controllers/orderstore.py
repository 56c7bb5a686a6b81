"""Reads and writes the orders to engines that the platform stores."""

import random

import msgspec

from chervilshore.clients import platform as platforms
from chervilshore import clock as clocks
from chervilshore.decisions import loadrate
from chervilshore.decisions import orders
from chervilshore import exceptions
from chervilshore import ids

MAX_FINISHED_ORDERS = 50
"""Finished orders of a pool that are kept."""

LOAD_RATE_KEY = "limits/loads"
"""The object by which all hosts limit the rate of weight loads."""

_ENCODER = msgspec.json.Encoder()
_DECODER = msgspec.json.Decoder(orders.Order)


class StoredOrder(msgspec.Struct, frozen=True):
    """An order with the key and version of its object in the platform."""

    key: str
    version: int
    order: orders.Order


def _make_prefix(pool: ids.PoolName) -> str:
    return f"orders/{pool}/"


async def list_orders(
    platform: platforms.Platform, pool: ids.PoolName
) -> list[StoredOrder]:
    """Read the orders of a pool, the oldest first."""
    found = await platform.list(_make_prefix(pool))
    return [
        StoredOrder(stored.key, stored.version, _DECODER.decode(stored.value))
        for stored in found
    ]


async def submit(
    platform: platforms.Platform, order: orders.Order, attempts: int = 20
) -> str:
    """Store an order after all others of its pool, at most once.

    The call may be repeated with the same order if its response was lost:
    an order that is already stored is found by its id.

    Parameters
    ----------
    platform : Platform
        Stores the orders.
    order : Order
        The order.
    attempts : int
        Attempts to write while other hosts submit orders concurrently.

    Returns
    -------
    str
        The key of the stored order.

    Raises
    ------
    exceptions.PlatformUnknown
        The order may be stored; submit the same order again.
    exceptions.PlatformError
        The order is not stored.
    """
    for _ in range(attempts):
        stored_orders = await list_orders(platform, order.pool)
        for stored in stored_orders:
            if stored.order.order == order.order:
                return stored.key
        number = 1
        if stored_orders:
            number += int(stored_orders[-1].key.rpartition("/")[2])
        key = f"{_make_prefix(order.pool)}{number:010d}"
        try:
            await platform.create(key, _ENCODER.encode(order))
        except exceptions.VersionConflict:
            continue
        return key
    raise exceptions.PlatformUnavailable(_make_prefix(order.pool))


async def update_order(
    platform: platforms.Platform, stored: StoredOrder, order: orders.Order
) -> StoredOrder:
    """Replace a stored order, unless it has changed since it was read.

    Raises
    ------
    exceptions.PlatformError
        It was not replaced, or that is unknown.
    """
    version = await platform.update(
        stored.key, _ENCODER.encode(order), stored.version
    )
    return StoredOrder(stored.key, version, order)


async def delete_finished(
    platform: platforms.Platform, stored_orders: list[StoredOrder]
) -> None:
    """Delete the finished orders but the newest `MAX_FINISHED_ORDERS`.

    The newest order always stays, so that no number is assigned twice.
    """
    finished = [stored for stored in stored_orders if stored.order.is_finished]
    for stored in finished[:-MAX_FINISHED_ORDERS]:
        await platform.delete(stored.key, stored.version)


class LoadRateLimiter:
    """Limits the rate of weight loads over the whole cluster.

    Parameters
    ----------
    clock : Clock
        Measures the interval.
    platform : Platform
        Stores the object whose version changes with each load.
    rng : random.Random
        Draws a distinct value for each write.
    interval_ms : float
        Minimum milliseconds between two loads.
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
        self._load_rate = loadrate.LoadRate(interval_ms)

    async def acquire(self) -> bool:
        """Acquire permission to start one load.

        Returns
        -------
        bool
            Whether a load may start; if not, call again later.

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
        self._load_rate.record_version(version, self._clock.now())
        if not self._load_rate.may_begin(self._clock.now()):
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
        self._load_rate.record_version(version, self._clock.now())
        return True
