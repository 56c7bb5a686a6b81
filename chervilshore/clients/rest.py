"""Client for the platform's object store over HTTP."""

import asyncio

import aiohttp
import msgspec

from chervilshore.clients import bodies
from chervilshore.clients import platform
from chervilshore.clients import receiving
from chervilshore.clients import sessions
from chervilshore.clients import sockets
from chervilshore import exceptions
from chervilshore import ids
from chervilshore import metrics
from chervilshore import records

VERSION_HEADER = "X-Version"

_STORED = msgspec.msgpack.Decoder(tuple[platform.VersionedObject, ...])
_HOST_LIST = msgspec.msgpack.Decoder(records.HostList)


class RestPlatform(platform.Platform):
    """Client for the platform over HTTP.

    Parameters
    ----------
    address : Address
        Host and port of the platform.
    timeout_ms : float
        Milliseconds to wait for a response, and for more of one that arrives.
    counters : Metrics or None
        Where the calls are counted.
    source : str
        Local IP address to connect from; empty lets the system choose.
    """

    def __init__(
        self,
        address: ids.Address,
        timeout_ms: float = 1000.0,
        counters: metrics.Metrics | None = None,
        source: str = "",
    ) -> None:
        self._base = f"http://{address}"
        self._timeout_ms = timeout_ms
        self._counters = counters
        self._source = source
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def get(self, key: str) -> platform.VersionedObject:
        """See `Platform.get`."""
        headers, value = await self._call("GET", f"/objects/{key}", key)
        return platform.VersionedObject(
            key, value, int(headers[VERSION_HEADER])
        )

    async def list(
        self, prefix: str, after: str = "", page_size: int = 1000
    ) -> tuple[platform.VersionedObject, ...]:
        """See `Platform.list`."""
        query = {"prefix": prefix, "after": after, "most": str(page_size)}
        _, value = await self._call("GET", "/objects", prefix, query=query)
        return _STORED.decode(value)

    async def create(self, key: str, value: bytes) -> int:
        """See `Platform.create`."""
        conditions = {"If-None-Match": "*"}
        return await self._put(key, value, conditions)

    async def update(self, key: str, value: bytes, version: int) -> int:
        """See `Platform.update`."""
        return await self._put(key, value, {"If-Match": str(version)})

    async def delete(self, key: str, version: int) -> None:
        """See `Platform.delete`."""
        conditions = {"If-Match": str(version)}
        await self._call("DELETE", f"/objects/{key}", key, headers=conditions)

    async def watch(
        self, prefix: str, since: int, timeout_ms: float
    ) -> tuple[platform.VersionedObject, ...]:
        """See `Platform.watch`."""
        query = {
            "prefix": prefix,
            "since": str(since),
            "timeout_ms": str(timeout_ms),
        }
        _, value = await self._call(
            "GET", "/watch", prefix, query=query, wait_ms=timeout_ms
        )
        return _STORED.decode(value)

    async def hosts(self) -> records.HostList:
        """See `Platform.hosts`."""
        _, value = await self._call("GET", "/hosts", "hosts")
        return _HOST_LIST.decode(value)

    async def _put(self, key: str, value: bytes, conditions: dict) -> int:
        if len(value) > platform.MAX_VALUE_BYTES:
            raise exceptions.ValueTooLarge(f"{key}: {len(value)} bytes")
        headers, _ = await self._call(
            "PUT", f"/objects/{key}", key, headers=conditions, value=value
        )
        return int(headers[VERSION_HEADER])

    async def _call(
        self,
        method: str,
        path: str,
        key: str,
        query: dict | None = None,
        headers: dict | None = None,
        value: bytes | None = None,
        wait_ms: float = 0.0,
    ) -> tuple[aiohttp.typedefs.LooseHeaders, bytes]:
        # A value leaves this host long after it was handed to the kernel.
        sending_ms = sockets.allow_sending_ms(len(value or b""))
        silence_seconds = (self._timeout_ms + wait_ms + sending_ms) / 1000.0
        body_ms = sockets.MAX_BODY_MS if method == "GET" else 0.0
        timeout = aiohttp.ClientTimeout(
            total=silence_seconds + body_ms / 1000.0,
            connect=silence_seconds,
            sock_read=silence_seconds,
        )
        try:
            async with self._get_session().request(
                method,
                self._base + path,
                params=query,
                headers=headers,
                data=value,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                content = await bodies.read_body(
                    response, pool=receiving.STORE
                )
        except aiohttp.ClientConnectorError as error:
            self._count_call(method, "unavailable")
            raise exceptions.PlatformUnavailable(key) from error
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            self._count_call(method, "unknown")
            if method == "GET":
                raise exceptions.PlatformUnavailable(key) from error
            raise exceptions.PlatformUnknown(key) from error
        self._count_call(method, str(response.status))
        self._raise_for_status(response.status, method, key)
        return response.headers, content

    def _raise_for_status(self, status: int, method: str, key: str) -> None:
        if status < 300:
            return
        if status == 404:
            raise exceptions.ObjectMissing(key)
        if status in (409, 412):
            raise exceptions.VersionConflict(key)
        if status == 413:
            raise exceptions.ValueTooLarge(key)
        if status in (429, 503) or method == "GET":
            raise exceptions.PlatformUnavailable(f"{key}: {status}")
        raise exceptions.PlatformUnknown(f"{key}: {status}")

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = sessions.open_single_use(self._source)
        return self._session

    def _count_call(self, method: str, outcome: str) -> None:
        if self._counters is not None:
            self._counters.count(
                metrics.Metric.PLATFORM_CALLS, method.lower(), outcome
            )
