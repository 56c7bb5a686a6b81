"""Stand-in of the users' metadata store, with injected faults."""

import asyncio
import collections

from aiohttp import web
import msgspec

PAGE_ITEMS = 50
"""Objects on one page; few, so that tests cover paging."""

PAGE_BYTES = 1_000_000
"""Size from which a page takes no further object."""


class StoreFaults(msgspec.Struct):
    """Faults that the store injects.

    Parameters
    ----------
    refuse : int
        Status with which every call is refused; 0 for none.
    silent : bool
        Whether calls are accepted and never answered.
    lose : int
        Number of further writes that take effect but are not answered.
    """

    refuse: int = 0
    silent: bool = False
    lose: int = 0


class Store:
    """Stores objects by kind and name, and serves changes to watches.

    Attributes
    ----------
    faults : StoreFaults
        The faults injected now.
    revision : int
        The revision of the last change.
    history_start : int
        Lowest revision from which a watch may start; earlier ones are
        answered with 410.
    era : int
        How often the store was restored from a copy.
    watches : Counter
        Number of watch calls by kind, without those that may be stale.
    status_writes : list of tuple
        Kind, name and value of each status that was written.
    """

    def __init__(self) -> None:
        self.faults = StoreFaults()
        self.revision = 1
        self.era = 1
        self.history_start = 0
        self.watches: collections.Counter[str] = collections.Counter()
        self.status_writes: list[tuple[str, str, dict]] = []
        self._objects: dict[str, dict[str, dict]] = {}
        self._changes: list[tuple[int, str, dict, bool]] = []
        self._changed = asyncio.Condition()
        self._runner: web.AppRunner | None = None

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> str:
        """Listen; return the address as ``host:port``."""
        app = web.Application()
        app.on_response_prepare.append(self._add_era)
        app.router.add_get("/objects/{kind}", self._list)
        app.router.add_post("/objects/{kind}", self._create)
        app.router.add_get("/objects/{kind}/{name}", self._get)
        app.router.add_put("/objects/{kind}/{name}", self._replace)
        app.router.add_put(
            "/objects/{kind}/{name}/status", self._replace_status
        )
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
        """Create or replace an object, as an operator or a worker does.

        A spec of type `msgspec.Raw` is served as these bytes.
        """
        await self._put(kind, name, spec, self.read_status(kind, name))

    async def _put(self, kind: str, name: str, spec, status) -> None:
        self.revision += 1
        known = self._objects.get(kind, {}).get(name, {"metadata": {}})
        stored = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created_at": known["metadata"].get(
                    "created_at", self.revision
                ),
            },
            "spec": spec,
            "status": status,
        }
        self._objects.setdefault(kind, {})[name] = stored
        await self._append_change(kind, stored, False)

    def read_status(self, kind: str, name: str):
        """Return the status of an object; None if it has none."""
        return self._objects.get(kind, {}).get(name, {}).get("status")

    async def remove(self, kind: str, name: str) -> bool:
        """Remove an object; return whether it existed."""
        stored = self._objects.get(kind, {}).pop(name, None)
        if stored is None:
            return False
        self.revision += 1
        stored["metadata"]["revision"] = self.revision
        await self._append_change(kind, stored, True)
        return True

    def copy(self) -> tuple:
        """Return a copy of what the store holds."""
        kinds = {kind: dict(found) for kind, found in self._objects.items()}
        return self.revision, kinds, list(self._changes)

    def restore(self, copy: tuple) -> None:
        """Go back to a copy; revisions after it are given out again."""
        self.revision, self._objects, self._changes = copy
        self.era += 1

    async def _add_era(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        response.headers["Store-Era"] = str(self.era)

    def compact(self) -> None:
        """Refuse watches from revisions before the present one."""
        self.history_start = self.revision

    async def _append_change(
        self, kind: str, stored: dict, deleted: bool
    ) -> None:
        self._changes.append((self.revision, kind, stored, deleted))
        async with self._changed:
            self._changed.notify_all()

    async def _inject_fault(self) -> web.Response | None:
        if self.faults.silent:
            await asyncio.sleep(3600.0)
        if self.faults.refuse:
            return web.Response(status=self.faults.refuse)
        return None

    async def _list(self, request: web.Request) -> web.Response:
        fault_response = await self._inject_fault()
        if fault_response is not None:
            return fault_response
        kind = request.match_info["kind"]
        if "watch" in request.query:
            return await self._watch(request, kind)
        after = request.query.get("after")
        names = sorted(
            object_name
            for object_name in self._objects.get(kind, {})
            if after is None or object_name > after
        )
        items = []
        size = 0
        for object_name in names[:PAGE_ITEMS]:
            items.append(self._objects[kind][object_name])
            size += len(msgspec.json.encode(items[-1]))
            if size >= PAGE_BYTES:
                break
        return _respond(
            {
                "items": items,
                "has_more": len(names) > len(items),
                "current_rev": self.revision,
            }
        )

    async def _watch(self, request: web.Request, kind: str) -> web.Response:
        if "allow_stale" not in request.query:
            self.watches[kind] += 1
        since = int(request.query["watch"])
        wait_seconds = int(request.query.get("wait_ms", "0")) / 1000.0
        if since < self.history_start or since > self.revision:
            return web.Response(status=410)

        def list_changes() -> list[dict]:
            return [
                {"deleted": deleted, "object": stored}
                for revision, changed_kind, stored, deleted in self._changes
                if changed_kind == kind and revision > since
            ]

        try:
            async with asyncio.timeout(wait_seconds):
                async with self._changed:
                    await self._changed.wait_for(list_changes)
        except TimeoutError:
            # No change in the time to wait; the answer has no events.
            pass
        return _respond(
            {"events": list_changes(), "current_rev": self.revision}
        )

    async def _get(self, request: web.Request) -> web.Response:
        found = self._objects.get(request.match_info["kind"], {}).get(
            request.match_info["name"]
        )
        if found is None:
            return web.Response(status=404)
        return _respond(found)

    async def _answer_write(
        self, request: web.Request, stored: dict
    ) -> web.Response:
        if self.faults.lose:
            self.faults.lose -= 1
            request.transport.abort()
        return _respond(stored)

    async def _create(self, request: web.Request) -> web.Response:
        fault_response = await self._inject_fault()
        if fault_response is not None:
            return fault_response
        body = await request.json()
        kind, name = request.match_info["kind"], body["metadata"]["name"]
        existing = self._objects.get(kind, {}).get(name)
        if existing is not None:
            return _respond(existing, status=409)
        await self.write(kind, name, body["spec"])
        return await self._answer_write(request, self._objects[kind][name])

    async def _replace(self, request: web.Request) -> web.Response:
        fault_response = await self._inject_fault()
        if fault_response is not None:
            return fault_response
        body = await request.json()
        kind, name = request.match_info["kind"], request.match_info["name"]
        if name not in self._objects.get(kind, {}):
            return web.Response(status=404)
        stored = self._objects[kind][name]
        expected = body["metadata"].get("revision")
        if expected not in (None, stored["metadata"]["revision"]):
            return _respond(stored, status=409)
        if stored["spec"] != body["spec"]:
            await self.write(kind, name, body["spec"])
        return await self._answer_write(request, self._objects[kind][name])

    async def _replace_status(self, request: web.Request) -> web.Response:
        fault_response = await self._inject_fault()
        if fault_response is not None:
            return fault_response
        body = await request.json()
        kind, name = request.match_info["kind"], request.match_info["name"]
        known = self._objects.get(kind, {}).get(name)
        if known is None:
            return web.Response(status=404)
        revision = body["metadata"].get("revision")
        if revision not in (None, known["metadata"]["revision"]):
            return _respond(known, status=409)
        if known["status"] != body["status"]:
            self.status_writes.append((kind, name, body["status"]))
            await self._put(kind, name, known["spec"], body["status"])
        return await self._answer_write(request, self._objects[kind][name])

    async def _delete(self, request: web.Request) -> web.Response:
        fault_response = await self._inject_fault()
        if fault_response is not None:
            return fault_response
        kind, name = request.match_info["kind"], request.match_info["name"]
        if not await self.remove(kind, name):
            return web.Response(status=404)
        return _respond({})


def _respond(value: object, status: int = 200) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(value),
        status=status,
        content_type="application/json",
    )
