"""Calls to endpoints: what all kinds have in common."""

import abc
import asyncio
from collections import abc as collections_abc
import contextlib
import typing

import aiohttp
import msgspec

from chervilshore import exceptions
from chervilshore import ids
from chervilshore import passages
from chervilshore import records

BINDING_HEADER = "X-Request-Id"
INSTANCE_HEADER = "X-Instance-Id"
COLD_HEADER = "X-Cold"
DEADLINE_HEADER = "X-Deadline-Ms"

BUSY_STATUS = 429
"""The one status by which an endpoint says that it did not run a call."""

MOST_CONNECTIONS = 0
"""Connections that a session keeps; grants bound them, so no limit."""

TextSink = collections_abc.Callable[[str], collections_abc.Awaitable[None]]


class Call(msgspec.Struct):
    """What a stage asks an endpoint to do.

    Parameters
    ----------
    binding : Binding
        What the answer must carry.
    value : dict
        What the stages before have made of the request.
    millis : float
        Milliseconds that are left for the call.
    repeatable : bool
        Whether the call may be made again.
    key : IdempotencyKey
        The caller's key; empty when there is none.
    path : str
        The path of a plain service.
    model : str
        The model of an engine's pool.
    priority : int
        The priority of the request's class.
    skip : int
        Tokens that the stream has brought already, to resume after them.
    text_sink : TextSink or None
        Takes each piece of generated text.
    passage : Passage or None
        The request to pass on, for forwarded requests.
    delivery : Delivery
        What the endpoint is told besides.
    relay : Relay or None
        Takes a stream of events on its way to the caller.
    """

    binding: records.Binding
    value: dict[str, typing.Any]
    millis: float
    repeatable: bool = True
    key: ids.IdempotencyKey = ids.IdempotencyKey("")
    path: str = ""
    model: str = ""
    priority: int = 5
    skip: int = 0
    text_sink: TextSink | None = None
    forwarded_request: passages.Passage | None = None
    delivery: passages.Delivery = passages.Delivery()
    relay: passages.Relay | None = None


class Reply(msgspec.Struct):
    """What an endpoint answered.

    Parameters
    ----------
    value : dict
        What the stage adds to the request's value.
    instance : InstanceId
        The process that answered.
    cold : bool
        Whether the endpoint says that it is cold.
    """

    value: dict[str, typing.Any]
    instance: ids.InstanceId = ids.InstanceId("")
    cold: bool = False


class Sessions:
    """The connections to all endpoints.

    Parameters
    ----------
    connect_ms : float
        Milliseconds to wait for a connection.
    source : str
        The local IP number to connect from; empty lets the system choose.
    """

    def __init__(self, connect_ms: float = 500.0, source: str = "") -> None:
        self._connect_ms = connect_ms
        self._source = (source, 0) if source else None
        self._kept: aiohttp.ClientSession | None = None
        self._fresh: aiohttp.ClientSession | None = None

    def choose(self, repeatable: bool) -> aiohttp.ClientSession:
        """Choose the connections for a call.

        A kept connection may turn out to have been closed by the other
        side after the call was written, which leaves its fate unknown.
        A call that may not be repeated therefore gets a fresh one.
        """
        if repeatable:
            self._kept = self._kept or self._open(False)
            return self._kept
        self._fresh = self._fresh or self._open(True)
        return self._fresh

    def _open(self, force_close: bool) -> aiohttp.ClientSession:
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=self._connect_ms / 1000.0
        )
        connector = aiohttp.TCPConnector(
            limit=MOST_CONNECTIONS,
            force_close=force_close,
            local_addr=self._source,
        )
        return aiohttp.ClientSession(
            connector=connector, timeout=timeout, auto_decompress=False
        )

    async def close(self) -> None:
        """Close all connections."""
        for session in (self._kept, self._fresh):
            if session is not None:
                await session.close()


class EndpointClient(abc.ABC):
    """Makes the calls of one kind of endpoint.

    Parameters
    ----------
    sessions : Sessions
        The connections.
    """

    def __init__(self, sessions: Sessions) -> None:
        self._sessions = sessions

    @abc.abstractmethod
    async def call(self, record: records.EndpointRecord, call: Call) -> Reply:
        """Make one attempt.

        Parameters
        ----------
        record : EndpointRecord
            The endpoint.
        call : Call
            What it is asked.

        Raises
        ------
        exceptions.EndpointUnreached
            No byte went out.
        exceptions.EndpointBusy
            The endpoint says that it did not run the call.
        exceptions.EndpointRejected
            The endpoint ran the call and answered with an error.
        exceptions.AnswerMismatch
            The answer belongs to something else.
        exceptions.EndpointBroken
            Anything else; the call may have run.
        """

    @contextlib.asynccontextmanager
    async def _post(
        self,
        record: records.EndpointRecord,
        path: str,
        body: dict,
        call: Call,
    ):
        session = self._sessions.choose(call.repeatable)
        headers = {
            BINDING_HEADER: call.binding.token(),
            DEADLINE_HEADER: str(int(call.millis)),
            "Content-Type": "application/json",
        }
        if call.key:
            headers["Idempotency-Key"] = call.key
        try:
            async with asyncio.timeout(max(0.0, call.millis) / 1000.0):
                async with session.post(
                    f"http://{record.address}{path}",
                    data=msgspec.json.encode(body),
                    headers=headers,
                    allow_redirects=False,
                ) as response:
                    self._check_binding(response, call.binding)
                    await self._check_status(response)
                    yield response
        except aiohttp.ClientConnectorError as error:
            raise exceptions.EndpointUnreached(str(error)) from error
        except aiohttp.ConnectionTimeoutError as error:
            raise exceptions.EndpointUnreached(str(error)) from error
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            detail = f"{record.endpoint}: {type(error).__name__} {error}"
            raise exceptions.EndpointBroken(detail) from error

    def _check_binding(
        self, response: aiohttp.ClientResponse, binding: records.Binding
    ) -> None:
        answered = response.headers.get(BINDING_HEADER, "")
        if answered != binding.token():
            raise exceptions.AnswerMismatch(
                f"asked {binding.token()}, answered {answered}"
            )

    async def _check_status(self, response: aiohttp.ClientResponse) -> None:
        if response.status < 300:
            return
        detail = (await response.text())[:200]
        if response.status == BUSY_STATUS:
            raise exceptions.EndpointBusy(detail)
        if response.status < 500:
            raise exceptions.EndpointRejected(detail)
        raise exceptions.EndpointBroken(f"{response.status} {detail}")

    async def _post_json(
        self,
        record: records.EndpointRecord,
        path: str,
        body: dict,
        call: Call,
    ) -> tuple[dict, Reply]:
        async with self._post(record, path, body, call) as response:
            content = await response.read()
            found = msgspec.json.decode(content, type=dict)
            return found, make_reply(response)


def make_reply(response: aiohttp.ClientResponse) -> Reply:
    """Take from the headers what every kind of endpoint tells."""
    headers = response.headers
    return Reply(
        value={},
        instance=ids.InstanceId(headers.get(INSTANCE_HEADER, "")),
        cold=headers.get(COLD_HEADER) == "yes",
    )
