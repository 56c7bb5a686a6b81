"""Requests that are passed on unchanged, and the answers to them."""

import abc
from collections import abc as collections_abc

import msgspec

from chervilshore import ids

Headers = list[tuple[str, str]]


class PromptPart(msgspec.Struct, frozen=True):
    """A part of a prompt that other requests may share.

    Parameters
    ----------
    name : str
        Its name, alike wherever its text is alike.
    tokens : int
        Its length.
    """

    name: str
    tokens: int


class Passage(msgspec.Struct):
    """A request as its caller sent it.

    Parameters
    ----------
    method, target : str
        The request line, untouched.
    host : str
        The host that it names, in lower case and without a port.
    path : str
        The path of the target.
    headers : list of tuple
        Headers that an endpoint gets unchanged.
    body : bytes
        The body.
    access_key : str
        The caller's access key; empty when there is none.
    budget_ms : float or None
        Milliseconds that the caller will wait.
    parts : tuple of PromptPart
        The prompt, in order.
    tokens_in, tokens_out : int
        Tokens of the prompt, and to be generated at most.
    piece_counts : tuple of int
        Pieces of each preparation; 0 leaves it out.
    piece_key : str
        Names what the first preparations work on.
    last_event : int or None
        The event after which the caller resumes a stream.
    """

    method: str
    target: str
    host: str
    path: str
    headers: Headers
    body: bytes = b""
    access_key: str = ""
    budget_ms: float | None = None
    parts: tuple[PromptPart, ...] = ()
    tokens_in: int = 0
    tokens_out: int = 0
    piece_counts: tuple[int, ...] = ()
    piece_key: str = ""
    last_event: int | None = None


class Response(msgspec.Struct):
    """An endpoint's answer.

    Parameters
    ----------
    status : int
        The status.
    headers : list of tuple
        Headers that the caller gets unchanged.
    body : bytes
        The whole body; empty when it has been relayed already.
    """

    status: int
    headers: Headers
    body: bytes = b""


def _do_nothing() -> None:
    """Take no notice."""


class Relay(abc.ABC):
    """Carries a stream of events to the caller as they come.

    Attributes
    ----------
    begun : bool
        Whether the caller has got the head of the answer.
    last_event : int or None
        The last event that the caller has got.
    on_begin : callable
        Is called when the first event has come.
    """

    def __init__(self) -> None:
        self.begun = False
        self.last_event: int | None = None
        self.on_begin: collections_abc.Callable[[], None] = _do_nothing

    @abc.abstractmethod
    async def begin(self, response: Response) -> None:
        """Send the head of the answer.

        Raises
        ------
        exceptions.CallerGone
            The caller's connection has closed.
        """

    @abc.abstractmethod
    async def write(self, data: bytes) -> None:
        """Send whole events; see `begin` for what it raises."""


class Delivery(msgspec.Struct, frozen=True):
    """What a forwarded request needs besides its passage.

    Parameters
    ----------
    team : TeamId
        The team that the endpoint is told of; empty for none.
    inputs : tuple of str
        The results of the last preparations.
    urgency : int
        0 goes first.
    """

    team: ids.TeamId = ids.TeamId("")
    inputs: tuple[str, ...] = ()
    urgency: int = 5
