"""A client of the callers' interface that resends only where it is safe."""

import asyncio
from collections import abc as collections_abc
import random
import typing
import uuid

import aiohttp
import msgspec

from chervilshore import clock as clocks
from chervilshore import exceptions
from chervilshore import ids
from chervilshore import results

RESEND_HEADER = "X-Resend"
"""Tells how many earlier sends under the key may have run."""

MIN_RESEND_DELAY_MS = 5.0
"""Milliseconds between two sends of one request at the least."""

MAX_RESEND_DELAY_MS = 1000.0
"""Milliseconds between two sends of one request at the most."""

ANSWER_GRACE_MS = 500.0
"""Milliseconds past the deadline for which an answer is awaited."""

TextSink = collections_abc.Callable[[str], None]


class AnswerLost(exceptions.ChervilshoreError):
    """The connection broke, or the answer had no end mark."""


class Answer(msgspec.Struct):
    """The answer to a request, or the refusal.

    Parameters
    ----------
    request : str
        The request's id.
    code : int
        The number of the result code.
    name, family : str
        Its name and its family.
    result : object
        What the pipeline made.
    detail : str
        What the host said besides.
    retry_after_ms : float or None
        Milliseconds after which the request may be sent again.
    replayed : bool
        Whether this is the recorded answer of an earlier request.
    end : bool
        The end mark.
    text : str
        What was streamed.
    sends : int
        How often the request was sent.
    """

    request: str
    code: int
    name: str = ""
    family: str = ""
    result: typing.Any = None
    detail: str = ""
    retry_after_ms: float | None = None
    replayed: bool = False
    end: bool = False
    text: str = ""
    sends: int = 0

    @property
    def is_done(self) -> bool:
        """Whether the whole answer is there."""
        return self.code == results.Code.OK.value.number

    @property
    def is_not_run(self) -> bool:
        """Whether the request certainly did not run."""
        return self.family == results.Family.NOT_RUN.value


class Client:
    """Sends requests to the entry hosts.

    Parameters
    ----------
    addresses : sequence of Address
        The entry hosts, or the balancer before them.
    team : TeamId
        The team in whose name requests are sent.
    clock : Clock
        Measures deadlines.
    generator : random.Random
        Chooses hosts and spreads pauses.
    """

    def __init__(
        self,
        addresses: collections_abc.Sequence[ids.Address],
        team: ids.TeamId,
        clock: clocks.Clock | None = None,
        generator: random.Random | None = None,
    ) -> None:
        self._addresses = list(addresses)
        self._team = team
        self._clock = clock or clocks.SystemClock()
        self._random = generator or random.Random()
        self._session: aiohttp.ClientSession | None = None

    def set_addresses(
        self, addresses: collections_abc.Sequence[ids.Address]
    ) -> None:
        """Send to these entry hosts from now on."""
        self._addresses = list(addresses)

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

    async def request(
        self,
        pipeline: ids.PipelineName,
        body: dict,
        deadline_ms: float = 7000.0,
        key: ids.IdempotencyKey | None = None,
        repeatable: bool = True,
        text_sink: TextSink | None = None,
        resend: bool = True,
        headers: collections_abc.Mapping[str, str] | None = None,
    ) -> Answer:
        """Send a request, and send it again while that is safe.

        A request is sent again after NOT RUN. After a lost answer or
        UNKNOWN it is sent again only when it is repeatable or carries a
        key, and then always under the same key.

        Parameters
        ----------
        pipeline : PipelineName
            The pipeline or service.
        body : dict
            The body.
        deadline_ms : float
            Milliseconds for the whole answer, all sends together.
        key : IdempotencyKey or None
            The key; one is made for a request that is not repeatable.
        repeatable : bool
            Whether the service may run the request more than once.
        text_sink : callable or None
            Takes streamed text; it makes the answer a stream.
        resend : bool
            Whether to send again at all.
        headers : mapping or None
            Headers to send besides.

        Raises
        ------
        AnswerLost
            The deadline passed and no host has given an answer.
        """
        if key is None and not repeatable:
            key = ids.IdempotencyKey(uuid.uuid4().hex)
        sending = _PendingRequest(
            pipeline, msgspec.json.encode(body), key, repeatable, text_sink
        )
        sending.headers = dict(headers or {})
        end = self._clock.now() + deadline_ms
        last: Answer | None = None
        while True:
            left = end - self._clock.now()
            if left <= 0:
                break
            try:
                last = await self._send(sending, left)
            except AnswerLost:
                if not resend or not sending.may_resend_after_loss():
                    raise
                sending.possible_runs += 1
                pause = MIN_RESEND_DELAY_MS
            else:
                if not resend or not sending.may_resend(last):
                    return last
                pause = self._resend_delay_ms(last)
            if self._clock.now() + pause >= end:
                break
            await self._clock.sleep(pause)
        if last is None:
            raise AnswerLost(f"no answer within {deadline_ms:.0f} ms")
        return last

    def _resend_delay_ms(self, answer: Answer) -> float:
        hinted = answer.retry_after_ms or 0.0
        least = max(MIN_RESEND_DELAY_MS, hinted)
        # Callers that were refused together must not come back together.
        return min(MAX_RESEND_DELAY_MS, least * self._random.uniform(1.0, 1.5))

    async def _send(self, sending: "_PendingRequest", left: float) -> Answer:
        sending.sends += 1
        address = self._random.choice(self._addresses)
        url = f"http://{address}/v1/pipelines/{sending.pipeline}"
        timeout = aiohttp.ClientTimeout(
            total=(left + ANSWER_GRACE_MS) / 1000.0
        )
        try:
            async with self._open().post(
                url,
                data=sending.body,
                headers=self._make_headers(sending, left),
                timeout=timeout,
            ) as response:
                answer = await self._read(response, sending)
        except aiohttp.ClientConnectorError as error:
            # Nothing was sent, so a resend is as good as a first send.
            return Answer(
                request="",
                code=results.Code.DRAINING.value.number,
                name="UNREACHED",
                family=results.Family.NOT_RUN.value,
                detail=str(error),
                sends=sending.sends,
            )
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            raise AnswerLost(f"{url}: {error!r}") from error
        if not answer.end:
            raise AnswerLost(f"{url}: no end mark")
        answer.sends = sending.sends
        return answer

    def _make_headers(
        self, sending: "_PendingRequest", left: float
    ) -> dict[str, str]:
        headers = {
            "Content-Type": "application/json",
            "X-Team": self._team,
            "X-Deadline-Ms": str(int(left)),
            **sending.headers,
        }
        if sending.key:
            headers["Idempotency-Key"] = sending.key
        if sending.possible_runs:
            headers[RESEND_HEADER] = str(sending.possible_runs)
        if sending.text_sink is not None:
            headers["Accept"] = "text/event-stream"
        return headers

    async def _read(
        self, response: aiohttp.ClientResponse, sending: "_PendingRequest"
    ) -> Answer:
        if response.content_type != "text/event-stream":
            return self._decode(await response.read())
        pieces: list[str] = []
        event = b""
        async for line in response.content:
            if line.startswith(b"event: "):
                event = line[7:].strip()
            elif line.startswith(b"data: ") and event == b"end":
                answer = self._decode(line[6:])
                answer.text = "".join(pieces)
                return answer
            elif line.startswith(b"data: "):
                text = msgspec.json.decode(line[6:])["text"]
                pieces.append(text)
                sending.text_sink(text)
        raise AnswerLost("the stream has no end mark")

    def _decode(self, data: bytes) -> Answer:
        try:
            return msgspec.json.decode(data, type=Answer)
        except msgspec.DecodeError as error:
            raise AnswerLost(f"unusable answer: {error}") from error

    def _open(self) -> aiohttp.ClientSession:
        if self._session is None:
            connector = aiohttp.TCPConnector(limit=0)
            self._session = aiohttp.ClientSession(connector=connector)
        return self._session


class _PendingRequest:
    """What is sent, and whether it may be sent again."""

    def __init__(self, pipeline, body, key, repeatable, text_sink) -> None:
        self.pipeline = pipeline
        self.body = body
        self.key = key
        self.repeatable = repeatable
        self.text_sink = text_sink
        self.sends = 0
        self.possible_runs = 0
        self.headers: dict[str, str] = {}
        self._streamed = False
        if text_sink is not None:
            self.text_sink = self._track_text(text_sink)

    def _track_text(self, text_sink: TextSink) -> TextSink:
        def take(text: str) -> None:
            self._streamed = True
            text_sink(text)

        return take

    def may_resend_after_loss(self) -> bool:
        """Tell whether to send again after a lost answer."""
        if self._streamed:
            return False
        return self.repeatable or bool(self.key)

    def may_resend(self, answer: Answer) -> bool:
        """Tell whether to send again after an answer."""
        if answer.is_done or self._streamed:
            return False
        if answer.is_not_run:
            return answer.code not in _FINAL_NUMBERS
        if answer.family == results.Family.UNKNOWN.value:
            self.possible_runs += 1
            return self.may_resend_after_loss()
        return False


_FINAL_NUMBERS = frozenset(
    code.value.number
    for code in results.Code
    if code.value.status in (400, 403, 404, 413, 422)
    or code is results.Code.DEADLINE_PASSED
)
"""Refusals that would only be given again."""
