"""A platform that fails, stalls and answers late, by a seed."""

import asyncio

from chervilshore.clients import platform as platforms
from chervilshore import exceptions


class FaultyPlatform(platforms.Platform):
    """One host's way to a platform; a dead host's way leads nowhere.

    `rates` gives the chance of each fault for one call: down, lost (the
    answer is lost before the effect), unheard (after it), late (the
    answer is lost and the effect comes later) and stall (the host is
    paused for up to `stall_ms` before or after the effect). `before` may
    be set to a coroutine function that sees each call first.
    """

    def __init__(self, inner, clock, rng, stall_ms=2000.0):
        self.inner = inner
        self.clock = clock
        self.rng = rng
        self.stall_ms = stall_ms
        self.rates = {}
        self.down = False
        self.dead = False
        self.late = set()
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
        await self._pass(key)
        if writes and self._happens("lost"):
            raise exceptions.PlatformUnknown(key)
        if writes and self._happens("late"):
            task = asyncio.ensure_future(self._land(call, *arguments))
            self.late.add(task)
            raise exceptions.PlatformUnknown(key)
        try:
            return await call(*arguments)
        finally:
            await self._stall()
            if writes and self._happens("unheard"):
                raise exceptions.PlatformUnknown(key)

    async def _pass(self, key):
        await self._pause()
        if self.down or self._happens("down"):
            raise exceptions.PlatformUnavailable(key)

    async def _pause(self):
        await self.clock.sleep(self.rng.uniform(1, 6))
        await self._stall()

    async def _stall(self):
        if self._happens("stall"):
            await self.clock.sleep(self.rng.uniform(0, self.stall_ms))
        if self.dead:
            await asyncio.get_running_loop().create_future()

    async def _land(self, call, *arguments):
        await self.clock.sleep(self.rng.uniform(0, self.stall_ms))
        try:
            await call(*arguments)
        except exceptions.PlatformError:
            return

    def _happens(self, fault):
        rate = self.rates.get(fault, 0.0)
        return rate > 0 and self.rng.random() < rate
