"""Interface of the filters of the request chain, and what they share."""

import abc
from collections import abc as collections_abc
import typing

import msgspec

from chervilshore import forwarded
from chervilshore import ids
from chervilshore import results
from chervilshore.rules import model


class Answer(msgspec.Struct, frozen=True):
    """The result of a request.

    Parameters
    ----------
    code : Code
        The result code.
    body : bytes
        The JSON value of the result; empty for a refusal.
    detail : str
        Additional text for the caller.
    retry_after_ms : float or None
        Milliseconds after which the caller may retry; None if not known.
    replayed : bool
        Whether this is the recorded answer of an earlier request.
    response : Response or None
        The endpoint's response to a forwarded request, passed on unchanged.
    """

    code: results.Code
    body: bytes = b""
    detail: str = ""
    retry_after_ms: float | None = None
    replayed: bool = False
    response: forwarded.Response | None = None


Sink = collections_abc.Callable[[str], collections_abc.Awaitable[None]]
"""Sends a chunk of generated text to the caller."""


class Exchange:
    """One request and its state while the chain processes it.

    Parameters
    ----------
    request : RequestId
        The request.
    pipeline_name : PipelineName
        The pipeline that the path names.
    headers : mapping
        The caller's headers, with names in lower case.
    raw : bytes
        The body as received.
    arrived_at : float
        The time in milliseconds at which it was received.
    sink : Sink or None
        Sends generated text to the caller; None if the caller does not
        stream.
    forwarded_request : ForwardedRequest or None
        The request as received, if it is to be forwarded.
    relay : Relay or None
        Sends the event stream of a forwarded request to the caller.

    Attributes
    ----------
    body : dict
        The decoded body.
    rules : Rules
        The generation of rules that applies to this request until it ends.
    pipeline : Pipeline
        The rule of the pipeline.
    team : TeamId
        The team; empty if none is known.
    deadline : float
        The time in milliseconds by which the answer must be complete.
    key : IdempotencyKey
        The idempotency key; empty if there is none.
    dispatched : bool
        Whether an endpoint may have received a byte of this request and run
        it. If so, no answer may say NOT RUN.
    abandoned : bool
        Whether the caller got its final answer or disconnected. If so, no
        byte may be sent to an endpoint any more.
    covers_earlier_sends : bool
        Whether a refusal that says NOT RUN is also true of every earlier
        send with the same key.
    delivery : Delivery
        Additional data for the endpoint of a forwarded request.
    priority : int
        The priority of a forwarded request; lower goes first.
    fingerprints : tuple of Fingerprint
        What the request may share with others that end endpoints.
    """

    def __init__(
        self,
        request: ids.RequestId,
        pipeline_name: ids.PipelineName,
        headers: collections_abc.Mapping[str, str],
        raw: bytes,
        arrived_at: float,
        sink: Sink | None = None,
        forwarded_request: forwarded.ForwardedRequest | None = None,
        relay: forwarded.Relay | None = None,
    ) -> None:
        self.request = request
        self.pipeline_name = pipeline_name
        self.headers = headers
        self.raw = raw
        self.arrived_at = arrived_at
        self.sink = sink
        self.forwarded_request = forwarded_request
        self.relay = relay
        self.delivery = forwarded.Delivery()
        self.priority = 5
        self.fingerprints: tuple[ids.Fingerprint, ...] = ()
        self.body: dict[str, typing.Any] = {}
        self.rules = model.Rules()
        self.pipeline = model.Pipeline(pipeline_name, ())
        self.team = ids.TeamId("")
        self.deadline = arrived_at
        self.key = ids.IdempotencyKey("")
        self.dispatched = False
        self.covers_earlier_sends = False
        self.abandoned = False
        self._send_count = 0

    @property
    def continues_without_caller(self) -> bool:
        """Whether its work continues without its caller.

        It does so to record the outcome of work that must not be repeated,
        but not for a forwarded request: its outcome is not recorded.
        """
        return self.forwarded_request is None and not self.pipeline.repeatable

    @property
    def stream_version(self) -> ids.SoftwareVersion | None:
        """The software version that began its stream; None for a new one."""
        if self.relay is None or self.relay.origin is None:
            return None
        return self.relay.origin.version

    def begin_send(self) -> None:
        """Record that an endpoint may get a byte of this request from now."""
        self._send_count += 1
        self.dispatched = True

    def withdraw_send(self) -> None:
        """Record that a send is now known not to have run at its endpoint."""
        self._send_count -= 1
        self.dispatched = self._send_count > 0


Proceed = collections_abc.Callable[
    [Exchange], collections_abc.Awaitable[Answer]
]
"""Calls the rest of the chain."""


class Filter(abc.ABC):
    """One step of the request chain."""

    @abc.abstractmethod
    async def handle(self, exchange: Exchange, proceed: Proceed) -> Answer:
        """Handle a request, usually by calling the rest of the chain.

        Parameters
        ----------
        exchange : Exchange
            The request.
        proceed : Proceed
            The rest of the chain; called at most once.

        Raises
        ------
        exceptions.RefusalError
            The request ends here with a result code.
        """


def chain(filters: collections_abc.Sequence[Filter], last: Proceed) -> Proceed:
    """Join filters into one function.

    Parameters
    ----------
    filters : sequence of Filter
        The filters; the first one handles a request first.
    last : Proceed
        Handles the requests that the last filter passes on.
    """
    joined = last
    for step in reversed(filters):
        joined = _join(step, joined)
    return joined


def _join(step: Filter, rest: Proceed) -> Proceed:
    async def proceed(exchange: Exchange) -> Answer:
        return await step.handle(exchange, rest)

    return proceed
