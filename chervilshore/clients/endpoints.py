"""Base class and types of the clients that call endpoints."""

import abc
import asyncio
from collections import abc as collections_abc
import contextlib
import typing

import aiohttp
import msgspec

from chervilshore.clients import bodies
from chervilshore.clients import sessions
from chervilshore import contents
from chervilshore.decisions.capacity import observations
from chervilshore import exceptions
from chervilshore import forwarded
from chervilshore import ids
from chervilshore import records

BINDING_HEADER = "X-Request-Id"
INSTANCE_HEADER = "X-Instance-Id"
COLD_HEADER = "X-Cold"
DEADLINE_HEADER = "X-Deadline-Ms"

BUSY_STATUS = 429
"""Status with which an endpoint refuses a call without running it."""

MAX_CONNECTIONS = 0
"""Connection limit of a session; 0 for none, as slots bound the calls."""

_VALUE_DECODER = msgspec.json.Decoder(dict)

TextSink = collections_abc.Callable[[str], collections_abc.Awaitable[None]]


class Call(msgspec.Struct):
    """One call of a stage to an endpoint.

    Parameters
    ----------
    binding : Binding
        Request, stage, attempt and endpoint; the response must repeat its
        token.
    value : dict
        Input of the stage: the request's body with the results of earlier
        stages.
    millis : float
        Milliseconds left for the call.
    repeatable : bool
        Whether the call may be made again.
    key : IdempotencyKey
        The caller's idempotency key; empty for none.
    path : str
        Path of a plain service.
    model : str
        Model of the endpoint's pool.
    priority : int
        Priority of the request's class.
    skip_tokens : int
        Tokens that the caller has received already; a resumed stream
        starts after them.
    text_sink : TextSink or None
        Called with each part of the generated text.
    forwarded_request : ForwardedRequest or None
        The caller's request, when it is forwarded unchanged.
    delivery : Delivery
        Team, inputs and urgency that a forwarded request carries.
    relay : Relay or None
        Sends a stream of events on to the caller.
    flight : Flight or None
        Records when the events of a stream come.
    """

    binding: records.Binding
    value: dict[str, typing.Any]
    millis: float
    repeatable: bool = True
    key: ids.IdempotencyKey = ids.IdempotencyKey("")
    path: str = ""
    model: str = ""
    priority: int = 5
    skip_tokens: int = 0
    text_sink: TextSink | None = None
    forwarded_request: forwarded.ForwardedRequest | None = None
    delivery: forwarded.Delivery = forwarded.Delivery()
    relay: forwarded.Relay | None = None
    flight: observations.Flight | None = None


class Reply(msgspec.Struct):
    """Response of an endpoint.

    Parameters
    ----------
    value : dict
        Results that the stage adds to the request's value.
    instance : InstanceId
        The process that responded; empty if it is not named.
    cold : bool
        Whether the endpoint reports that it is cold.
    """

    value: dict[str, typing.Any]
    instance: ids.InstanceId = ids.InstanceId("")
    cold: bool = False


class Sessions:
    """HTTP sessions for the calls to all endpoints.

    Parameters
    ----------
    connect_ms : float
        Milliseconds to wait for a connection.
    source : str
        Local IP address to connect from; empty lets the system choose.
    """

    def __init__(self, connect_ms: float = 500.0, source: str = "") -> None:
        self._connect_ms = connect_ms
        self._source = (source, 0) if source else None
        self._keepalive_session: aiohttp.ClientSession | None = None
        self._single_use_session: aiohttp.ClientSession | None = None

    def choose(self, repeatable: bool) -> aiohttp.ClientSession:
        """Return the session for a call, with or without connection reuse.

        The server may close a reused connection just as a call is written
        to it, and it is then unknown whether the call has run. A call that
        must not be repeated therefore gets a new connection.
        """
        if repeatable:
            self._keepalive_session = self._keepalive_session or self._open(
                False
            )
            return self._keepalive_session
        self._single_use_session = self._single_use_session or self._open(True)
        return self._single_use_session

    def _open(self, force_close: bool) -> aiohttp.ClientSession:
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=self._connect_ms / 1000.0
        )
        connector = aiohttp.TCPConnector(
            limit=MAX_CONNECTIONS,
            force_close=force_close,
            local_addr=self._source,
        )
        return sessions.open_session(
            connector, timeout=timeout, auto_decompress=False
        )

    async def close(self) -> None:
        """Close all connections."""
        for session in (self._keepalive_session, self._single_use_session):
            if session is not None:
                await session.close()


class EndpointClient(abc.ABC):
    """Calls the endpoints of one kind."""

    def __init__(self, sessions: Sessions) -> None:
        self._sessions = sessions

    @abc.abstractmethod
    async def call(self, record: records.EndpointRecord, call: Call) -> Reply:
        """Call an endpoint once, without retries.

        Raises
        ------
        exceptions.EndpointUnreached
            No byte of the call was sent.
        exceptions.EndpointBusy
            The endpoint refused the call without running it.
        exceptions.EndpointRejected
            The endpoint ran the call and responded with an error.
        exceptions.AnswerMismatch
            The response belongs to another call.
        exceptions.EndpointBroken
            Any other failure; the call may have run.
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
        except (
            aiohttp.ClientError,
            exceptions.ContentInvalid,
            TimeoutError,
            ValueError,
        ) as error:
            detail = f"{record.endpoint}: {type(error).__name__} {error}"
            raise exceptions.EndpointBroken(detail) from error

    def _check_binding(
        self, response: aiohttp.ClientResponse, binding: records.Binding
    ) -> None:
        token = response.headers.get(BINDING_HEADER, "")
        if token != binding.token():
            raise exceptions.AnswerMismatch(
                f"expected {binding.token()}, got {token}"
            )

    async def _check_status(self, response: aiohttp.ClientResponse) -> None:
        if response.status < 300:
            return
        detail = (await bodies.read_text(response))[:200]
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
            content = await bodies.read_body(response)
            decoded = contents.decode(_VALUE_DECODER, content)
            return decoded, make_reply(response)


def make_reply(response: aiohttp.ClientResponse) -> Reply:
    """Build a reply without a value from the headers of a response."""
    headers = response.headers
    return Reply(
        value={},
        instance=ids.InstanceId(headers.get(INSTANCE_HEADER, "")),
        cold=headers.get(COLD_HEADER) == "yes",
    )
