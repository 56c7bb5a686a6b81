"""A seeded open-loop load, and what became of each request."""

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

LOST_CODE = -1
"""Stands for a code when no answer came."""


class Kind(msgspec.Struct, frozen=True):
    """One kind of request in a mix.

    Parameters
    ----------
    pipeline : str
        The pipeline or service.
    weight : float
        Its share of the mix, against the others' weights.
    deadline_ms : float
        Milliseconds until its deadline.
    team : str
        The team that sends it.
    tokens : int
        Tokens that are asked for; 0 for a plain service.
    streams : bool
        Whether the answer is streamed.
    keyed : bool
        Whether it is an instruction with a key of its own.
    finds : bool
        Whether documents are found for it before the text is generated.
    """

    pipeline: str
    weight: float = 1.0
    deadline_ms: float = 2000.0
    team: str = "glasgow"
    tokens: int = 0
    streams: bool = False
    keyed: bool = False
    finds: bool = False


class Shot(msgspec.Struct):
    """What became of one request.

    Parameters
    ----------
    kind : Kind
        What was asked.
    number : int
        Its number, which the answer must show.
    sent : float
        Milliseconds from the begin of the load to the first send.
    millis : float
        Milliseconds to the last byte of the answer.
    first_ms : float
        Milliseconds to the first streamed text; 0 when there was none.
    code : int
        The result code's number, or `LOST_CODE`.
    family : str
        The code's family.
    own : bool
        Whether a whole answer is the one to this request.
    key : str
        The idempotency key.
    """

    kind: Kind
    number: int
    sent: float
    millis: float = 0.0
    first_ms: float = 0.0
    code: int = LOST_CODE
    family: str = ""
    own: bool = True
    key: str = ""

    @property
    def is_done(self) -> bool:
        """Whether a whole answer came."""
        return self.code == results.Code.OK.value.number

    @property
    def is_attained(self) -> bool:
        """Whether its own whole answer came within the deadline."""
        in_time = self.millis <= self.kind.deadline_ms
        return self.is_done and self.own and in_time


class Load:
    """Sends requests at moments that do not depend on the answers.

    Parameters
    ----------
    addresses : callable
        Tells the entry hosts that the balancer sends to now.
    mix : sequence of Kind
        What is sent.
    rate : float
        Requests a second.
    seed : int
        Seed of the moments and choices.
    resend : bool
        Whether callers send again where that is safe.
    """

    def __init__(
        self,
        addresses: collections_abc.Callable[[], list[str]],
        mix: collections_abc.Sequence[Kind],
        rate: float,
        seed: int = 1,
        resend: bool = True,
    ) -> None:
        self.shots: list[Shot] = []
        self._addresses = addresses
        self._mix = list(mix)
        self._rate = rate
        self._random = random.Random(seed)
        self._resend = resend
        self._clients: dict[str, clients.Client] = {}
        self._tasks: set[asyncio.Task] = set()
        self._begun = 0.0

    def set_addresses(
        self, addresses: collections_abc.Callable[[], list[str]]
    ) -> None:
        """Send to other entry hosts from now on."""
        self._addresses = addresses

    def set_rate(self, rate: float) -> None:
        """Change the requests a second."""
        self._rate = rate

    async def run(self, seconds: float) -> list[Shot]:
        """Send for a time, and wait for the last answer."""
        self._begun = self._begun or _now()
        end = _now() + seconds * 1000.0
        moment = _now()
        while True:
            moment += self._random.expovariate(self._rate) * 1000.0
            if moment >= end:
                break
            # A load that falls behind still sends what is due, at once.
            await asyncio.sleep(max(0.0, (moment - _now()) / 1000.0))
            self._fire()
        if self._tasks:
            await asyncio.wait(set(self._tasks))
        return self.shots

    async def close(self) -> None:
        """Close the connections."""
        for client in self._clients.values():
            await client.close()

    def _fire(self) -> None:
        weights = [kind.weight for kind in self._mix]
        kind = self._random.choices(self._mix, weights)[0]
        shot = Shot(kind, len(self.shots), _now() - self._begun)
        self.shots.append(shot)
        task = asyncio.ensure_future(self._send(shot))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _choose_client(self, team: str) -> clients.Client:
        client = self._clients.get(team)
        if client is None:
            client = clients.Client([], ids.TeamId(team), rng=self._random)
            self._clients[team] = client
        client.set_addresses(self._addresses())
        return client

    async def _send(self, shot: Shot) -> None:
        kind = shot.kind
        begun = _now()
        if kind.keyed:
            shot.key = f"k{self._random.getrandbits(64):x}-{shot.number}"

        def note_text(text: str) -> None:
            shot.first_ms = shot.first_ms or _now() - begun

        body = make_body(kind, shot.number)
        try:
            answer = await self._choose_client(kind.team).request(
                kind.pipeline,
                body,
                kind.deadline_ms,
                key=shot.key or None,
                repeatable=not kind.keyed,
                text_sink=note_text if kind.streams else None,
                resend=self._resend,
            )
        except clients.AnswerLost:
            shot.millis = _now() - begun
            return
        shot.millis = _now() - begun
        shot.code = answer.code
        shot.family = answer.family
        if answer.is_done:
            shot.own = is_own(kind, body, answer)


def make_body(kind: Kind, number: int) -> dict:
    """Make the body of a request; it carries the request's number."""
    if kind.tokens:
        return {"input": f"question {number}", "max_tokens": kind.tokens}
    return {"number": number}


def is_own(kind: Kind, body: dict, answer: clients.Answer) -> bool:
    """Tell whether a whole answer is the whole one to this body."""
    if not kind.tokens:
        return answer.result["answer"]["echo"] == body
    text = answer.result["text"]
    if kind.streams and answer.text != text:
        return False
    prompt = body["input"]
    if kind.finds:
        prompt = "\n".join([*find_documents(prompt), prompt])
    whole = [engine.make_token(prompt, at) for at in range(kind.tokens)]
    return text == "".join(whole)


def find_documents(text: str) -> list[str]:
    """Tell which documents the stand-ins find for an input."""
    vector = pool.encode(text)
    found = pool.search_documents(vector, models.SEARCH_TOP_K)
    ordered = list(reversed(found))
    return [row["text"] for row in ordered[: models.RERANK_TOP_N]]


def _now() -> float:
    return time.monotonic() * 1000.0
