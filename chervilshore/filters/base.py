"""What the filters of the request chain have in common."""

import abc
from collections import abc as collections_abc
import typing

import msgspec

from chervilshore import ids
from chervilshore import passages
from chervilshore import results
from chervilshore.rules import model


class Answer(msgspec.Struct, frozen=True):
    """What a request ends with.

    Parameters
    ----------
    code : Code
        The result code.
    body : bytes
        The JSON value of the result; empty for a refusal.
    detail : str
        What the caller should know besides.
    retry_after_ms : float or None
        Milliseconds after which the caller may come back.
    replayed : bool
        Whether this is the recorded answer of an earlier request.
    response : Response or None
        An endpoint's answer that is passed on.
    """

    code: results.Code
    body: bytes = b""
    detail: str = ""
    retry_after_ms: float | None = None
    replayed: bool = False
    response: passages.Response | None = None


Sink = collections_abc.Callable[[str], collections_abc.Awaitable[None]]
"""Takes a piece of generated text on its way to the caller."""


class Exchange:
    """One request on its way through the chain.

    Parameters
    ----------
    request : RequestId
        The request.
    pipeline_name : PipelineName
        The pipeline in the path.
    headers : mapping
        The caller's headers, with names in lower case.
    raw : bytes
        The body as it came.
    arrived : float
        The moment in milliseconds at which it came.
    sink : Sink or None
        Takes generated text; nothing when the caller does not stream.
    passage : Passage or None
        The request as it came, when it is forwarded.
    relay : Relay or None
        Carries a forwarded stream to the caller.

    Attributes
    ----------
    body : dict
        The decoded body.
    rules : Rules
        The generation that decides about this request, to its end.
    pipeline : Pipeline
        The pipeline's rule.
    team : TeamId
        The team.
    deadline : float
        The moment in milliseconds by which the answer must be there.
    key : IdempotencyKey
        The idempotency key; empty when there is none.
    dispatched : bool
        Whether the first byte has gone to an endpoint; from then on
        nothing may say NOT RUN.
    abandoned : bool
        Whether the caller has its final answer already; from then on no
        byte may go to an endpoint.
    vouched : bool
        Whether a refusal that says NOT RUN holds for every earlier send
        of the same key too.
    delivery : Delivery
        What the endpoint of a forwarded request is told besides.
    priority : int
        The priority of a forwarded request; lower goes first.
    """

    def __init__(
        self,
        request: ids.RequestId,
        pipeline_name: ids.PipelineName,
        headers: collections_abc.Mapping[str, str],
        raw: bytes,
        arrived_at: float,
        sink: Sink | None = None,
        forwarded_request: passages.Passage | None = None,
        relay: passages.Relay | None = None,
    ) -> None:
        self.request = request
        self.pipeline_name = pipeline_name
        self.headers = headers
        self.raw = raw
        self.arrived_at = arrived_at
        self.sink = sink
        self.forwarded_request = forwarded_request
        self.relay = relay
        self.delivery = passages.Delivery()
        self.priority = 5
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
        """Whether its work goes on for its outcome when the caller left.

        Nobody could ask for the outcome of a forwarded request later.
        """
        return self.forwarded_request is None and not self.pipeline.repeatable

    def begin_send(self) -> None:
        """Note that a byte may go to an endpoint from here on."""
        self._send_count += 1
        self.dispatched = True

    def withdraw_send(self) -> None:
        """Note that a send certainly ran nothing after all."""
        self._send_count -= 1
        self.dispatched = self._send_count > 0


Proceed = collections_abc.Callable[
    [Exchange], collections_abc.Awaitable[Answer]
]
"""The rest of the chain."""


class Filter(abc.ABC):
    """One step of the request chain."""

    @abc.abstractmethod
    async def handle(self, exchange: Exchange, proceed: Proceed) -> Answer:
        """Handle a request, most often by calling the rest of the chain.

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
    """Join filters into one function, in the order in which they stand.

    Parameters
    ----------
    filters : sequence of Filter
        The filters; the first one sees a request first.
    last : Proceed
        What stands behind the last filter.
    """
    joined = last
    for step in reversed(filters):
        joined = _join(step, joined)
    return joined


def _join(step: Filter, rest: Proceed) -> Proceed:
    async def proceed(exchange: Exchange) -> Answer:
        return await step.handle(exchange, rest)

    return proceed
