"""A client for the callers' HTTP API that resends only when it is safe."""

import asyncio
from collections import abc as collections_abc
import random
import re
import typing
import uuid

import aiohttp
import msgspec

from chervilshore.clients import sessions
from chervilshore import clock as clocks
from chervilshore import exceptions
from chervilshore import ids
from chervilshore import results

RESEND_HEADER = "X-Resend"
"""Header with the number of earlier sends of the request that may have run."""

REQUEST_HEADER = "X-Request-Id"
"""Header with the request id, which an answer repeats."""

_REPEATED_ID = re.compile(r"[!-.0-~]{1,100}")
"""The request ids that hosts repeat as they are."""

MIN_RESEND_DELAY_MS = 5.0
"""Minimum delay before a request is sent again."""

MAX_RESEND_DELAY_MS = 1000.0
"""Maximum delay before a request is sent again."""

ANSWER_GRACE_MS = 500.0
"""Time past the deadline for which the client waits for the answer."""

TextSink = collections_abc.Callable[[str], None]


class AnswerLost(exceptions.ChervilshoreError):
    """The connection broke, or the answer was incomplete."""


class Answer(msgspec.Struct):
    """The answer to a request, or its refusal.

    Parameters
    ----------
    request : str
        The request id.
    code : int
        The number of the result code.
    name, family : str
        The name and the family of the result code.
    result : object
        The result of the pipeline.
    detail : str
        A message from the host, for people.
    retry_after_ms : float or None
        Milliseconds after which the request may be sent again.
    replayed : bool
        Whether this is the recorded answer of an earlier request.
    end : bool
        The end mark; an answer without it is incomplete.
    text : str
        The streamed text.
    sends : int
        How many times the request was sent.
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
        """Whether the request succeeded and the answer is complete."""
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
        The entry hosts, or the load balancer in front of them.
    team : TeamId
        The team that the requests belong to.
    clock : Clock or None
        Measures deadlines; None means the system clock.
    rng : random.Random or None
        Chooses hosts and adds jitter to the delays between sends.
    """

    def __init__(
        self,
        addresses: collections_abc.Sequence[ids.Address],
        team: ids.TeamId,
        clock: clocks.Clock | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self._addresses = list(addresses)
        self._team = team
        self._clock = clock or clocks.SystemClock()
        self._rng = rng or random.Random()
        self._session: aiohttp.ClientSession | None = None
        self._resend_session: aiohttp.ClientSession | None = None

    def set_addresses(
        self, addresses: collections_abc.Sequence[ids.Address]
    ) -> None:
        """Replace the addresses that requests are sent to."""
        self._addresses = list(addresses)

    async def close(self) -> None:
        """Close the connections."""
        for session in (self._session, self._resend_session):
            if session is not None:
                await session.close()

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
        """Send a request, and resend it while that is safe.

        A request is resent after NOT RUN. After a lost answer or UNKNOWN
        it is resent only if it is repeatable or has a key, and then always
        with the same key. It is never resent once text was streamed.

        Parameters
        ----------
        pipeline : PipelineName
            The pipeline or service.
        body : dict
            The body, sent as JSON.
        deadline_ms : float
            Milliseconds until the whole answer is due, over all sends.
        key : IdempotencyKey or None
            The key; one is generated for a request that is not repeatable.
        repeatable : bool
            Whether the service may run the request more than once.
        text_sink : callable or None
            Receives streamed text; None asks for an answer without a stream.
        resend : bool
            Whether the request may be resent at all.
        headers : mapping or None
            Additional headers. A request id that hosts do not repeat is
            replaced.

        Raises
        ------
        AnswerLost
            The connection broke and the request may not be resent, or the
            deadline passed without an answer.
        """
        if key is None and not repeatable:
            key = ids.IdempotencyKey(uuid.uuid4().hex)
        pending = _PendingRequest(
            pipeline, msgspec.json.encode(body), key, repeatable, text_sink
        )
        pending.headers = dict(headers or {})
        end = self._clock.now() + deadline_ms
        last: Answer | None = None
        while True:
            remaining_ms = end - self._clock.now()
            if remaining_ms <= 0:
                break
            try:
                last = await self._send(pending, remaining_ms)
            except AnswerLost:
                if not resend or not pending.may_resend_after_loss():
                    raise
                pending.possible_runs += 1
                delay_ms = MIN_RESEND_DELAY_MS
            else:
                if not resend or not pending.may_resend(last):
                    return last
                delay_ms = self._resend_delay_ms(last)
            if self._clock.now() + delay_ms >= end:
                break
            await self._clock.sleep(delay_ms)
        if last is None:
            raise AnswerLost(f"no answer within {deadline_ms:.0f} ms")
        return last

    def _resend_delay_ms(self, answer: Answer) -> float:
        requested_ms = answer.retry_after_ms or 0.0
        min_ms = max(MIN_RESEND_DELAY_MS, requested_ms)
        # The jitter keeps callers that were refused at the same time from
        # resending at the same time.
        return min(MAX_RESEND_DELAY_MS, min_ms * self._rng.uniform(1.0, 1.5))

    async def _send(
        self, pending: "_PendingRequest", remaining_ms: float
    ) -> Answer:
        pending.sends += 1
        address = self._rng.choice(self._addresses)
        url = f"http://{address}/v1/pipelines/{pending.pipeline}"
        timeout = aiohttp.ClientTimeout(
            total=(remaining_ms + ANSWER_GRACE_MS) / 1000.0
        )
        headers = self._make_headers(pending, remaining_ms)
        try:
            async with self._choose_session(pending).post(
                url, data=pending.body, headers=headers, timeout=timeout
            ) as response:
                self._check_request(response, headers[REQUEST_HEADER])
                answer = await self._read(response, pending)
        except aiohttp.ClientConnectorError as error:
            # No connection, so nothing was sent and a resend is safe.
            return Answer(
                request="",
                code=results.Code.DRAINING.value.number,
                name="UNREACHED",
                family=results.Family.NOT_RUN.value,
                detail=str(error),
                sends=pending.sends,
            )
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            raise AnswerLost(f"{url}: {error!r}") from error
        if not answer.end:
            raise AnswerLost(f"{url}: no end mark")
        answer.sends = pending.sends
        return answer

    def _make_headers(
        self, pending: "_PendingRequest", remaining_ms: float
    ) -> dict[str, str]:
        headers = {
            "Content-Type": "application/json",
            "X-Team": self._team,
            "X-Deadline-Ms": str(int(remaining_ms)),
            REQUEST_HEADER: uuid.uuid4().hex,
            **pending.headers,
        }
        if not _REPEATED_ID.fullmatch(headers[REQUEST_HEADER]):
            headers[REQUEST_HEADER] = uuid.uuid4().hex
        if pending.key:
            headers["Idempotency-Key"] = pending.key
        if pending.possible_runs:
            headers[RESEND_HEADER] = str(pending.possible_runs)
        if pending.text_sink is not None:
            headers["Accept"] = "text/event-stream"
        return headers

    def _check_request(
        self, response: aiohttp.ClientResponse, request: str
    ) -> None:
        """Check that an answer is not that to an earlier request."""
        answered = response.headers.get(REQUEST_HEADER)
        if answered != request:
            raise AnswerLost(f"expected {request}, got {answered}")

    async def _read(
        self, response: aiohttp.ClientResponse, pending: "_PendingRequest"
    ) -> Answer:
        if response.content_type != "text/event-stream":
            return self._decode(await response.read())
        parts: list[str] = []
        event = b""
        async for line in response.content:
            if line.startswith(b"event: "):
                event = line[7:].strip()
            elif line.startswith(b"data: ") and event == b"end":
                answer = self._decode(line[6:])
                answer.text = "".join(parts)
                return answer
            elif line.startswith(b"data: "):
                text = msgspec.json.decode(line[6:])["text"]
                parts.append(text)
                pending.text_sink(text)
        raise AnswerLost("the stream has no end mark")

    def _decode(self, data: bytes) -> Answer:
        try:
            return msgspec.json.decode(data, type=Answer)
        except msgspec.DecodeError as error:
            raise AnswerLost(f"cannot decode the answer: {error}") from error

    def _choose_session(
        self, pending: "_PendingRequest"
    ) -> aiohttp.ClientSession:
        """Return the session for a send; a resend gets a new connection.

        On a kept connection the answer that was lost may still come.
        """
        if pending.sends > 1:
            if self._resend_session is None:
                self._resend_session = sessions.open_single_use(limit=0)
            return self._resend_session
        if self._session is None:
            connector = aiohttp.TCPConnector(limit=0)
            self._session = sessions.open_session(connector)
        return self._session


class _PendingRequest:
    """A request and whether it may be sent again."""

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
        def record_text(text: str) -> None:
            self._streamed = True
            text_sink(text)

        return record_text

    def may_resend_after_loss(self) -> bool:
        """Return whether to send again after a lost answer."""
        if self._streamed:
            return False
        return self.repeatable or bool(self.key)

    def may_resend(self, answer: Answer) -> bool:
        """Return whether to send again after an answer.

        An answer of the family UNKNOWN is counted as a possible run.
        """
        if answer.is_done or self._streamed:
            return False
        if answer.is_not_run:
            return answer.code not in _FINAL_CODE_NUMBERS
        if answer.family == results.Family.UNKNOWN.value:
            self.possible_runs += 1
            return self.may_resend_after_loss()
        return False


_FINAL_CODE_NUMBERS = frozenset(
    code.value.number
    for code in results.Code
    if code.value.status in (400, 403, 404, 413, 422)
    or code is results.Code.DEADLINE_PASSED
)
"""Numbers of the refusals that a resend would only get again."""
