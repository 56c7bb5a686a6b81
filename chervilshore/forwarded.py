"""Requests that are forwarded unchanged, and the responses to them."""

import abc
from collections import abc as collections_abc

import msgspec

from chervilshore.clients import receiving
from chervilshore.decisions import eventpositions
from chervilshore import ids

Headers = list[tuple[str, str]]
"""Names and values of headers, in order."""


class PromptPart(msgspec.Struct, frozen=True):
    """A part of a prompt that other requests may share.

    Parameters
    ----------
    name : str
        The name; parts with the same text have the same name.
    tokens : int
        The number of tokens.
    """

    name: str
    tokens: int


class ForwardedRequest(msgspec.Struct):
    """A request as the caller sent it.

    Parameters
    ----------
    method, target : str
        The method and target of the request line, unchanged.
    host : str
        The name in the Host header, in lower case and without a port.
    path : str
        The path of the target.
    headers : list of tuple
        Headers that are passed to the endpoint unchanged.
    body : bytes
        The body.
    access_key : str
        The caller's access key; empty when there is none.
    timeout_ms : float or None
        Milliseconds that the caller waits; None when it does not say.
    parts : tuple of PromptPart
        The parts of the prompt, in order.
    tokens_in, tokens_out : int
        Tokens of the prompt, and the maximum number to generate.
    item_counts : tuple of int
        Items of each batch stage; 0 skips the stage.
    item_key : str
        Identifies the input of the first batch stages.
    last_event_id : int or None
        The event after which the caller resumes a stream; None for a new
        stream.
    resumes : RequestId
        The caller's earlier request that brought the first event of the
        stream; empty for a new stream.
    """

    method: str
    target: str
    host: str
    path: str
    headers: Headers
    body: bytes = b""
    access_key: str = ""
    timeout_ms: float | None = None
    parts: tuple[PromptPart, ...] = ()
    tokens_in: int = 0
    tokens_out: int = 0
    item_counts: tuple[int, ...] = ()
    item_key: str = ""
    last_event_id: int | None = None
    resumes: ids.RequestId = ids.RequestId("")


class StreamOrigin(msgspec.Struct, frozen=True, array_like=True):
    """What wrote the first event of a stream, and may go on with it.

    Parameters
    ----------
    pool : PoolName
        The pool of the endpoint.
    version : SoftwareVersion
        The version of its software; empty if it is not known.
    """

    pool: ids.PoolName
    version: ids.SoftwareVersion


class Response(msgspec.Struct):
    """The response of an endpoint.

    Parameters
    ----------
    status : int
        The HTTP status.
    headers : list of tuple
        Headers that are passed to the caller unchanged.
    body : bytes
        The complete body; empty when it has been relayed already.
    receipt : Receipt or None
        The memory that the body takes, until it is released.
    """

    status: int
    headers: Headers
    body: bytes = b""
    receipt: receiving.Receipt | None = None


def _do_nothing(*unused: object) -> None:
    """Ignore the call; the default callback."""


async def _wait_for_nothing(*unused: object) -> None:
    """Return at once; the default callback that may wait."""


class Relay(abc.ABC):
    """Relays a stream of events to the caller as they arrive.

    Attributes
    ----------
    head_sent : bool
        Whether the head of the answer has been sent to the caller.
    is_complete : bool
        Whether the stream has ended, and all of it has been sent.
    position : EventPosition or None
        How far the stream has come at the caller; None before the first
        event of this response.
    origin : StreamOrigin or None
        What wrote the first event, in this request or an earlier one; None
        for a new stream without an event.
    needs_version : bool
        Whether the version of what sends the events must be known for sure,
        as callers may resume the stream.
    on_sent : callable
        Called when an attempt is sent, with the endpoint's pool and version.
    confirm : coroutine function
        Awaited with them at the first event of a new stream, before it is
        sent to the caller.
    on_begun : callable
        Called when the first event of this response has come.
    on_head_sent : callable
        Called once the head has been sent, on the first event.
    """

    def __init__(self) -> None:
        self.head_sent = False
        self.is_complete = False
        self.position: eventpositions.EventPosition | None = None
        self.origin: StreamOrigin | None = None
        self.needs_version = False
        self.on_sent: collections_abc.Callable[[StreamOrigin], None] = (
            _do_nothing
        )
        self.confirm: collections_abc.Callable[
            [StreamOrigin], collections_abc.Awaitable[None]
        ] = _wait_for_nothing
        self.on_begun: collections_abc.Callable[[], None] = _do_nothing
        self.on_head_sent: collections_abc.Callable[[], None] = _do_nothing

    @property
    def last_event_id(self) -> int | None:
        """The id of the last event that was sent; None if it has none."""
        if self.position is None or not self.position.is_named:
            return None
        return self.position.last_id

    def begin_attempt(self, origin: StreamOrigin) -> None:
        """Record that an attempt is being sent."""
        if self.origin is None:
            self.on_sent(origin)

    async def begin_stream(self, origin: StreamOrigin) -> None:
        """Record what sends the first event, unless the stream had begun."""
        if self.origin is None:
            await self.confirm(origin)
            self.origin = origin
        if not self.head_sent:
            self.on_begun()

    @abc.abstractmethod
    async def send_head(self, response: Response) -> None:
        """Send the head of the answer.

        Raises
        ------
        exceptions.CallerGone
            The caller's connection has closed.
        """

    @abc.abstractmethod
    async def write(self, data: bytes) -> None:
        """Send complete events; raises the same errors as `send_head`."""


class Delivery(msgspec.Struct, frozen=True):
    """Values that are added to a request when it is sent to an endpoint.

    Parameters
    ----------
    team : TeamId
        The team whose name the endpoint gets; empty for none.
    inputs : tuple of str
        The handles of the results of the final batch stages.
    urgency : int
        The priority; 0 is served first.
    """

    team: ids.TeamId = ids.TeamId("")
    inputs: tuple[str, ...] = ()
    urgency: int = 5
