"""Stand-in of the platform: object API and host list over HTTP."""

import asyncio
import collections

from aiohttp import web
import msgspec

from chervilshore.clients import memory
from chervilshore import clock as clocks
from chervilshore import exceptions
from chervilshore import records
from standins import base

VERSION_HEADER = "X-Version"


class Knobs(msgspec.Struct):
    """Faults and delays that the platform injects.

    Parameters
    ----------
    down : bool
        Whether every call fails as unavailable.
    slow_ms : float
        Milliseconds added to every call.
    lose_after : int
        Number of further writes that take effect but are not answered.
    list_lag_ms : float
        Milliseconds after which a new host list is served.
    cut : list of str
        IP addresses of callers whose calls hang, as in a network cut.
    """

    down: bool = False
    slow_ms: float = 2.0
    lose_after: int = 0
    list_lag_ms: float = 500.0
    cut: list[str] = []


class PlatformServer:
    """Serves a `MemoryPlatform` and publishes host lists with a delay."""

    def __init__(self) -> None:
        self.clock = clocks.SystemClock()
        self.store = memory.MemoryPlatform(self.clock)
        self.store.faults = self._choose_fault
        self.knobs = Knobs()
        self.calls: collections.Counter[str] = collections.Counter()
        self._tasks: set[asyncio.Task] = set()

    def make_app(self) -> web.Application:
        """Return the server, with routes to set knobs and read counts."""
        app = web.Application(client_max_size=2 * 1024 * 1024)
        route = app.router
        route.add_get("/objects/{key:.+}", self._get)
        route.add_get("/objects", self._list)
        route.add_put("/objects/{key:.+}", self._put)
        route.add_delete("/objects/{key:.+}", self._delete)
        route.add_get("/watch", self._watch)
        route.add_get("/hosts", self._hosts)
        route.add_put("/standin/hosts", self._set_hosts)
        route.add_post("/standin/faults", self._set_knobs)
        route.add_get("/standin/counts", self._show_counts)
        return app

    def _choose_fault(self, call: str, key: str) -> memory.Fault:
        if self.knobs.down:
            return memory.Fault.DOWN
        writes = call in ("create", "update", "delete")
        if writes and self.knobs.lose_after > 0:
            self.knobs.lose_after -= 1
            return memory.Fault.LOST_AFTER
        return memory.Fault.NONE

    async def _respond(self, request, name, call) -> web.Response:
        self.calls[name] += 1
        await base.block_if_cut_off(request, self.knobs.cut)
        await asyncio.sleep(self.knobs.slow_ms / 1000.0)
        try:
            return await call()
        except exceptions.ObjectMissing as error:
            raise web.HTTPNotFound(text=str(error)) from error
        except exceptions.VersionConflict as error:
            raise web.HTTPPreconditionFailed(text=str(error)) from error
        except exceptions.ValueTooLarge as error:
            raise web.HTTPRequestEntityTooLarge(1, 1) from error
        except exceptions.PlatformUnavailable as error:
            raise web.HTTPServiceUnavailable(text=str(error)) from error
        except exceptions.PlatformUnknown:
            request.transport.abort()
            raise asyncio.CancelledError from None

    async def _get(self, request: web.Request) -> web.Response:
        async def call():
            stored = await self.store.get(request.match_info["key"])
            headers = {VERSION_HEADER: str(stored.version)}
            return web.Response(body=stored.value, headers=headers)

        return await self._respond(request, "get", call)

    async def _list(self, request: web.Request) -> web.Response:
        async def call():
            found = await self.store.list(
                request.query.get("prefix", ""),
                request.query.get("after", ""),
                int(request.query.get("most", "1000")),
            )
            return web.Response(body=msgspec.msgpack.encode(found))

        return await self._respond(request, "list", call)

    async def _put(self, request: web.Request) -> web.Response:
        key = request.match_info["key"]
        value = await request.read()
        expected = request.headers.get("If-Match")

        async def call():
            if expected is None:
                version = await self.store.create(key, value)
            else:
                version = await self.store.update(key, value, int(expected))
            return web.Response(headers={VERSION_HEADER: str(version)})

        return await self._respond(request, "put", call)

    async def _delete(self, request: web.Request) -> web.Response:
        async def call():
            await self.store.delete(
                request.match_info["key"], int(request.headers["If-Match"])
            )
            return web.Response()

        return await self._respond(request, "delete", call)

    async def _watch(self, request: web.Request) -> web.Response:
        async def call():
            found = await self.store.watch(
                request.query.get("prefix", ""),
                int(request.query["since"]),
                float(request.query["timeout_ms"]),
            )
            return web.Response(body=msgspec.msgpack.encode(found))

        return await self._respond(request, "watch", call)

    async def _hosts(self, request: web.Request) -> web.Response:
        async def call():
            found = await self.store.hosts()
            return web.Response(body=msgspec.msgpack.encode(found))

        return await self._respond(request, "hosts", call)

    async def _set_hosts(self, request: web.Request) -> web.Response:
        found = msgspec.json.decode(
            await request.read(), type=records.HostList
        )
        task = asyncio.ensure_future(self._publish_after_lag(found))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return web.json_response({})

    async def _publish_after_lag(self, host_list: records.HostList) -> None:
        await asyncio.sleep(self.knobs.list_lag_ms / 1000.0)
        self.store.host_list = host_list

    async def _set_knobs(self, request: web.Request) -> web.Response:
        changes = await request.json()
        self.knobs = msgspec.convert(
            msgspec.to_builtins(self.knobs) | changes, Knobs
        )
        return web.json_response({})

    async def _show_counts(self, request: web.Request) -> web.Response:
        return web.json_response(dict(self.calls))
