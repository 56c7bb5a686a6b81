"""A stand-in of the users' metadata store, with faults."""

import asyncio
import collections

from aiohttp import web
import msgspec

PAGE_ITEMS = 50
"""Objects on one page, few so that paging is met in tests."""


class StoreFaults(msgspec.Struct):
    """What goes wrong at the store.

    Parameters
    ----------
    refuse : int
        Status of every answer; 0 for none.
    silent : bool
        Whether calls are taken and never answered.
    lose : int
        Writes that take effect and are not answered.
    """

    refuse: int = 0
    silent: bool = False
    lose: int = 0


class Store:
    """Keeps objects by kind and name, and tells of changes.

    Attributes
    ----------
    faults : StoreFaults
        What goes wrong now.
    revision : int
        The revision of the last change.
    history_from : int
        The first revision from which changes are still told.
    watches : Counter
        Calls that waited for changes, by kind.
    """

    def __init__(self) -> None:
        self.faults = StoreFaults()
        self.revision = 1
        self.history_from = 0
        self.watches: collections.Counter[str] = collections.Counter()
        self._kinds: dict[str, dict[str, dict]] = {}
        self._log: list[tuple[int, str, dict, bool]] = []
        self._changed = asyncio.Condition()
        self._runner: web.AppRunner | None = None

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> str:
        """Listen; return the address."""
        app = web.Application()
        app.router.add_get("/objects/{kind}", self._list)
        app.router.add_post("/objects/{kind}", self._create)
        app.router.add_get("/objects/{kind}/{name}", self._get)
        app.router.add_put("/objects/{kind}/{name}", self._replace)
        app.router.add_delete("/objects/{kind}/{name}", self._delete)
        self._runner = web.AppRunner(
            app, handler_cancellation=True, shutdown_timeout=0.1
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, host, port)
        await site.start()
        host, port = self._runner.addresses[0][:2]
        return f"{host}:{port}"

    async def stop(self) -> None:
        """Stop listening."""
        await self._runner.cleanup()

    async def write(self, kind: str, name: str, spec) -> None:
        """Create or replace an object, as the operator or a worker does."""
        self.revision += 1
        stored = {
            "metadata": {"name": name, "revision": self.revision},
            "spec": spec,
            "status": None,
        }
        self._kinds.setdefault(kind, {})[name] = stored
        await self._note(kind, stored, False)

    async def remove(self, kind: str, name: str) -> bool:
        """Remove an object; tell whether it was there."""
        stored = self._kinds.get(kind, {}).pop(name, None)
        if stored is None:
            return False
        self.revision += 1
        stored["metadata"]["revision"] = self.revision
        await self._note(kind, stored, True)
        return True

    def compact(self) -> None:
        """Forget the history."""
        self.history_from = self.revision

    async def _note(self, kind: str, stored: dict, deleted: bool) -> None:
        self._log.append((self.revision, kind, stored, deleted))
        async with self._changed:
            self._changed.notify_all()

    async def _hinder(self) -> web.Response | None:
        if self.faults.silent:
            await asyncio.sleep(3600.0)
        if self.faults.refuse:
            return web.Response(status=self.faults.refuse)
        return None

    async def _list(self, request: web.Request) -> web.Response:
        hindered = await self._hinder()
        if hindered is not None:
            return hindered
        kind = request.match_info["kind"]
        if "watch" in request.query:
            return await self._watch(request, kind)
        after = request.query.get("after", "")
        names = sorted(one for one in self._kinds.get(kind, {}) if one > after)
        items = [self._kinds[kind][one] for one in names[:PAGE_ITEMS]]
        return web.json_response(
            {
                "items": items,
                "has_more": len(names) > PAGE_ITEMS,
                "current_rev": self.revision,
            }
        )

    async def _watch(self, request: web.Request, kind: str) -> web.Response:
        self.watches[kind] += 1
        since = int(request.query["watch"])
        wait = int(request.query.get("wait_ms", "0")) / 1000.0
        if since < self.history_from:
            return web.Response(status=410)

        def find() -> list[dict]:
            return [
                {"deleted": deleted, "object": stored}
                for revision, of_kind, stored, deleted in self._log
                if of_kind == kind and revision > since
            ]

        try:
            async with asyncio.timeout(wait):
                async with self._changed:
                    await self._changed.wait_for(find)
        except TimeoutError:
            # Nothing has changed in that time.
            pass
        return web.json_response(
            {"events": find(), "current_rev": self.revision}
        )

    async def _get(self, request: web.Request) -> web.Response:
        found = self._kinds.get(request.match_info["kind"], {}).get(
            request.match_info["name"]
        )
        if found is None:
            return web.Response(status=404)
        return web.json_response(found)

    async def _end_write(
        self, request: web.Request, stored: dict
    ) -> web.Response:
        if self.faults.lose:
            self.faults.lose -= 1
            request.transport.abort()
        return web.json_response(stored)

    async def _create(self, request: web.Request) -> web.Response:
        hindered = await self._hinder()
        if hindered is not None:
            return hindered
        body = await request.json()
        kind, name = request.match_info["kind"], body["metadata"]["name"]
        known = self._kinds.get(kind, {}).get(name)
        if known is not None:
            return web.json_response(known, status=409)
        await self.write(kind, name, body["spec"])
        return await self._end_write(request, self._kinds[kind][name])

    async def _replace(self, request: web.Request) -> web.Response:
        hindered = await self._hinder()
        if hindered is not None:
            return hindered
        body = await request.json()
        kind, name = request.match_info["kind"], request.match_info["name"]
        if name not in self._kinds.get(kind, {}):
            return web.Response(status=404)
        if self._kinds[kind][name]["spec"] != body["spec"]:
            await self.write(kind, name, body["spec"])
        return await self._end_write(request, self._kinds[kind][name])

    async def _delete(self, request: web.Request) -> web.Response:
        hindered = await self._hinder()
        if hindered is not None:
            return hindered
        kind, name = request.match_info["kind"], request.match_info["name"]
        if not await self.remove(kind, name):
            return web.Response(status=404)
        return web.json_response({})
