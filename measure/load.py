"""An open-loop load generator, and the outcome of each request."""

import asyncio
from collections import abc as collections_abc
import random
import time

import msgspec

from chervilshore import client as clients
from chervilshore.clients import models
from chervilshore import ids
from chervilshore import results
from standins import engine
from standins import pool

NO_ANSWER_CODE = -1
"""Value of `RequestOutcome.code` if there was no answer."""


class RequestKind(msgspec.Struct, frozen=True):
    """One kind of request in a mix.

    Parameters
    ----------
    pipeline : str
        The pipeline or service.
    weight : float
        Its weight relative to the other kinds of the mix.
    deadline_ms : float
        Milliseconds until its deadline.
    team : str
        The team that sends it.
    tokens : int
        Tokens to generate; 0 for a plain service.
    streams : bool
        Whether the answer is streamed.
    keyed : bool
        Whether it is an instruction, sent with an idempotency key.
    finds : bool
        Whether the pipeline retrieves documents before it generates text.
    """

    pipeline: str
    weight: float = 1.0
    deadline_ms: float = 2000.0
    team: str = "glasgow"
    tokens: int = 0
    is_streamed: bool = False
    has_key: bool = False
    finds_documents: bool = False


class RequestOutcome(msgspec.Struct):
    """The outcome of one request; changes while it is in flight.

    Parameters
    ----------
    kind : RequestKind
        The kind of request.
    number : int
        Its number in the load; it is part of the body.
    sent : float
        Milliseconds from the start of the load to the first send.
    millis : float
        Milliseconds from the first send to the end of the answer; 0 while
        the request is in flight.
    first_ms : float
        Milliseconds to the first streamed text; 0 if there was none.
    code : int
        The result code's number, or `NO_ANSWER_CODE`.
    family : str
        The family of the code.
    own : bool
        False if a complete answer is not the expected one.
    key : str
        The idempotency key; empty if there is none.
    """

    kind: RequestKind
    number: int
    sent_at_ms: float
    latency_ms: float = 0.0
    first_ms: float = 0.0
    code: int = NO_ANSWER_CODE
    family: str = ""
    matches_request: bool = True
    key: str = ""

    @property
    def is_done(self) -> bool:
        """Whether a complete answer was received."""
        return self.code == results.Code.OK.value.number

    @property
    def meets_deadline(self) -> bool:
        """Whether the expected answer was complete within the deadline."""
        in_time = self.latency_ms <= self.kind.deadline_ms
        return self.is_done and self.matches_request and in_time


class Load:
    """Sends requests at random times that do not depend on the answers.

    The intervals are exponentially distributed.

    Parameters
    ----------
    addresses : callable
        Returns the addresses of the entry hosts that may receive requests.
    mix : sequence of RequestKind
        The kinds of requests, chosen at random by weight.
    rate : float
        Requests per second.
    seed : int
        Seed of all random choices.
    resend : bool
        Whether callers resend requests where that is safe.

    Attributes
    ----------
    outcomes : list of RequestOutcome
        All requests sent so far, also those in flight.
    """

    def __init__(
        self,
        addresses: collections_abc.Callable[[], list[str]],
        mix: collections_abc.Sequence[RequestKind],
        rate: float,
        seed: int = 1,
        resend: bool = True,
    ) -> None:
        self.outcomes: list[RequestOutcome] = []
        self._addresses = addresses
        self._mix = list(mix)
        self._rate = rate
        self._random = random.Random(seed)
        self._resend = resend
        self._clients: dict[str, clients.Client] = {}
        self._tasks: set[asyncio.Task] = set()
        self._started_at = 0.0

    def set_addresses(
        self, addresses: collections_abc.Callable[[], list[str]]
    ) -> None:
        """Replace the callable that returns the entry hosts."""
        self._addresses = addresses

    def set_rate(self, rate: float) -> None:
        """Change the rate, in requests per second."""
        self._rate = rate

    async def run(self, seconds: float) -> list[RequestOutcome]:
        """Send requests for some seconds and wait for all answers.

        Returns
        -------
        list of RequestOutcome
            `outcomes`, which also has the requests of earlier runs.
        """
        self._started_at = self._started_at or _now()
        end = _now() + seconds * 1000.0
        send_at = _now()
        while True:
            send_at += self._random.expovariate(self._rate) * 1000.0
            if send_at >= end:
                break
            # If sending falls behind, overdue requests are sent immediately.
            await asyncio.sleep(max(0.0, (send_at - _now()) / 1000.0))
            self._start_request()
        if self._tasks:
            await asyncio.wait(set(self._tasks))
        return self.outcomes

    async def close(self) -> None:
        """Close the connections to the entry hosts."""
        for client in self._clients.values():
            await client.close()

    def _start_request(self) -> None:
        weights = [kind.weight for kind in self._mix]
        kind = self._random.choices(self._mix, weights)[0]
        outcome = RequestOutcome(
            kind, len(self.outcomes), _now() - self._started_at
        )
        self.outcomes.append(outcome)
        task = asyncio.ensure_future(self._send(outcome))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _choose_client(self, team: str) -> clients.Client:
        client = self._clients.get(team)
        if client is None:
            client = clients.Client([], ids.TeamId(team), rng=self._random)
            self._clients[team] = client
        client.set_addresses(self._addresses())
        return client

    async def _send(self, outcome: RequestOutcome) -> None:
        kind = outcome.kind
        started_at = _now()
        if kind.has_key:
            outcome.key = f"k{self._random.getrandbits(64):x}-{outcome.number}"

        def record_first_text(text: str) -> None:
            outcome.first_ms = outcome.first_ms or _now() - started_at

        body = make_body(kind, outcome.number)
        try:
            answer = await self._choose_client(kind.team).request(
                kind.pipeline,
                body,
                kind.deadline_ms,
                key=outcome.key or None,
                repeatable=not kind.has_key,
                text_sink=record_first_text if kind.is_streamed else None,
                resend=self._resend,
            )
        except clients.AnswerLost:
            outcome.latency_ms = _now() - started_at
            return
        outcome.latency_ms = _now() - started_at
        outcome.code = answer.code
        outcome.family = answer.family
        if answer.is_done:
            outcome.matches_request = is_correct_answer(kind, body, answer)


def make_body(kind: RequestKind, number: int) -> dict:
    """Return the body of a request, which contains its number."""
    if kind.tokens:
        return {"input": f"question {number}", "max_tokens": kind.tokens}
    return {"number": number}


def is_correct_answer(
    kind: RequestKind, body: dict, answer: clients.Answer
) -> bool:
    """Return whether a complete answer is the expected one to a body."""
    if not kind.tokens:
        return answer.result["answer"]["echo"] == body
    text = answer.result["text"]
    if kind.is_streamed and answer.text != text:
        return False
    prompt = body["input"]
    if kind.finds_documents:
        prompt = "\n".join([*list_expected_documents(prompt), prompt])
    expected = [engine.make_token(prompt, at) for at in range(kind.tokens)]
    return text == "".join(expected)


def list_expected_documents(text: str) -> list[str]:
    """Return the documents that the stand-ins retrieve for an input."""
    vector = pool.encode(text)
    hits = pool.search_documents(vector, models.SEARCH_TOP_K)
    ordered = list(reversed(hits))
    return [row["text"] for row in ordered[: models.RERANK_TOP_N]]


def _now() -> float:
    return time.monotonic() * 1000.0
