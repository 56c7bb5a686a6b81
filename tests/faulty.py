"""Platform client with random failures, pauses and late writes."""

import asyncio

from chervilshore.clients import platform as platforms
from chervilshore import exceptions


class FaultyPlatform(platforms.Platform):
    """One host's client for a platform, with injected faults.

    `rates` gives the probability of each fault of a call: down (the call
    is rejected), lost (a write is lost before it takes effect), unheard
    (the response to a write is lost), late (the response is lost and the
    write takes effect later) and stall (the host pauses for up to
    `stall_ms` before or after the call). `before` may be set to a
    coroutine function that is awaited before each call. The calls of a
    `dead` host never return.
    """

    def __init__(self, inner, clock, rng, stall_ms=2000.0):
        self.inner = inner
        self.clock = clock
        self.rng = rng
        self.stall_ms = stall_ms
        self.rates = {}
        self.down = False
        self.dead = False
        self.late_writes = set()
        self.before = None

    async def get(self, key):
        return await self._call(False, key, self.inner.get, key)

    async def list(self, prefix, after="", page_size=1000):
        return await self._call(
            False, prefix, self.inner.list, prefix, after, page_size
        )

    async def create(self, key, value):
        return await self._call(True, key, self.inner.create, key, value)

    async def update(self, key, value, version):
        return await self._call(
            True, key, self.inner.update, key, value, version
        )

    async def delete(self, key, version):
        return await self._call(True, key, self.inner.delete, key, version)

    async def watch(self, prefix, since, timeout_ms):
        return await self._call(
            False, prefix, self.inner.watch, prefix, since, timeout_ms
        )

    async def hosts(self):
        return await self.inner.hosts()

    async def _call(self, writes, key, call, *arguments):
        if self.before is not None:
            await self.before(call.__name__, key)
        await self._begin_call(key)
        if writes and self._draw_fault("lost"):
            raise exceptions.PlatformUnknown(key)
        if writes and self._draw_fault("late"):
            task = asyncio.ensure_future(self._apply_late(call, *arguments))
            self.late_writes.add(task)
            raise exceptions.PlatformUnknown(key)
        try:
            return await call(*arguments)
        finally:
            await self._stall()
            if writes and self._draw_fault("unheard"):
                raise exceptions.PlatformUnknown(key)

    async def _begin_call(self, key):
        await self._delay_request()
        if self.down or self._draw_fault("down"):
            raise exceptions.PlatformUnavailable(key)

    async def _delay_request(self):
        await self.clock.sleep(self.rng.uniform(1, 6))
        await self._stall()

    async def _stall(self):
        if self._draw_fault("stall"):
            await self.clock.sleep(self.rng.uniform(0, self.stall_ms))
        if self.dead:
            await asyncio.get_running_loop().create_future()

    async def _apply_late(self, call, *arguments):
        await self.clock.sleep(self.rng.uniform(0, self.stall_ms))
        try:
            await call(*arguments)
        except exceptions.PlatformError:
            return

    def _draw_fault(self, fault):
        rate = self.rates.get(fault, 0.0)
        return rate > 0 and self.rng.random() < rate
