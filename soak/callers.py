"""Callers that keep their connections, and what they were promised."""

import asyncio
import collections
import itertools
import random
import re

import aiohttp

from standins import site

REFUSED = frozenset({408, 421, 429, 503})
"""Statuses that promise that a request has not run and never will."""

BUDGET_MS = 4000
PAUSED_SECONDS = 6.0
"""Seconds past its deadline in which a request must have its answer: a host
that is paused answers when it goes on, and two pauses of 2.5 seconds may
follow each other."""

PAUSE_SECONDS = 0.03
"""Seconds between two requests of a caller at most."""

_EVENT = re.compile(rb"id: (\d+)\n")


class Kind:
    """A kind of request.

    Parameters
    ----------
    path : str
        The path that routes it.
    once : bool
        Whether it may run at most once.
    events : int
        Events of its answer; 0 for a plain one.
    headers : dict
        Headers that it has besides.
    """

    def __init__(
        self,
        path: str,
        once: bool,
        events: int = 0,
        headers: dict[str, str] | None = None,
    ) -> None:
        self.path = path
        self.once = once
        self.events = events
        self.headers = headers or {}


KINDS = (
    Kind("/look/", once=False),
    Kind("/bill/", once=True),
    Kind(
        "/say/",
        once=True,
        events=site.STREAM_EVENTS,
        headers={"Chervilshore-Prompt-Prefix": "a:10,b:5"},
    ),
    Kind("/resume/", once=False, events=site.STREAM_EVENTS),
    Kind(
        "/staged/",
        once=True,
        events=site.STREAM_EVENTS,
        headers={
            "Chervilshore-Pieces": "1,2",
            "Chervilshore-Piece-Key": "k",
        },
    ),
)


class Ledger:
    """What was sent and answered, and which promises were broken.

    Attributes
    ----------
    kinds : dict of str to Kind
        Every id that was sent.
    refused : set of str
        Ids whose answer promised that they have not run.
    broken : list of str
        Broken promises, in words.
    outcomes : Counter
        Answers by kind of end.
    """

    def __init__(self) -> None:
        self.kinds: dict[str, Kind] = {}
        self.refused: set[str] = set()
        self.broken: list[str] = []
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.recent: collections.deque[bool] = collections.deque(maxlen=200)

    def note(self, attempt: str, outcome: str) -> None:
        """Count how a request ended."""
        self.outcomes[outcome] += 1
        self.recent.append(outcome == "200")
        if outcome.isdigit() and int(outcome) in REFUSED:
            self.refused.add(attempt)

    def check_runs(self, runs: collections.Counter[str]) -> None:
        """Compare with what ran at the workers."""
        for attempt, count in runs.items():
            kind = self.kinds.get(attempt)
            if kind is None:
                self.broken.append(f"{attempt} ran though nobody sent it")
                continue
            if kind.once and count > 1:
                self.broken.append(f"{attempt} ran {count} times")
            if kind.once and attempt in self.refused:
                self.broken.append(f"{attempt} was refused and has run")


class Caller:
    """Sends requests to one host over connections that it keeps.

    Parameters
    ----------
    name : str
        Begins the ids of its requests.
    address : str
        The host.
    ledger : Ledger
        Takes what happens.
    generator : random.Random
        Chooses kinds and pauses.
    """

    def __init__(
        self,
        name: str,
        address: str,
        ledger: Ledger,
        generator: random.Random,
    ) -> None:
        self._name = name
        self._address = address
        self._ledger = ledger
        self._random = generator
        self._numbers = itertools.count()

    async def run(self, ends: asyncio.Event) -> None:
        """Send one request after another until the event is set."""
        timeout = aiohttp.ClientTimeout(
            total=BUDGET_MS / 1000.0 + PAUSED_SECONDS
        )
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while not ends.is_set():
                await self._ask(session, self._random.choice(KINDS))
                await asyncio.sleep(PAUSE_SECONDS * self._random.random())

    async def _ask(self, session: aiohttp.ClientSession, kind: Kind) -> None:
        attempt = f"{self._name}-{next(self._numbers)}"
        self._ledger.kinds[attempt] = kind
        headers = {
            "Host": "shop.example",
            "Chervilshore-Attempt-Id": attempt,
            "Chervilshore-Deadline-Ms": str(BUDGET_MS),
            "Chervilshore-Key": site.API_KEY,
        } | kind.headers
        try:
            async with session.post(
                f"http://{self._address}{kind.path}", headers=headers
            ) as response:
                body = await response.read()
                self._check(attempt, kind, response, body)
                self._ledger.note(attempt, str(response.status))
        except TimeoutError:
            self._ledger.note(attempt, "timeout")
            self._ledger.broken.append(
                f"{attempt} had no answer long after its deadline"
            )
        except aiohttp.ClientError as error:
            self._ledger.note(attempt, type(error).__name__)
            await asyncio.sleep(PAUSE_SECONDS)

    def _check(
        self,
        attempt: str,
        kind: Kind,
        response: aiohttp.ClientResponse,
        body: bytes,
    ) -> None:
        broken = self._ledger.broken
        stamp = response.headers.get("Chervilshore-Response-Stamp")
        if response.status != 200:
            if stamp and response.status != 500:
                broken.append(f"{attempt}: stamp on {response.status}")
            return
        if not stamp:
            broken.append(f"{attempt}: success without a stamp")
        if response.headers.get("Chervilshore-Attempt-Id") != attempt:
            broken.append(f"{attempt}: another request's answer")
        if kind.events:
            numbers = [int(one) for one in _EVENT.findall(body)]
            if numbers != list(range(1, kind.events + 1)):
                broken.append(f"{attempt}: events {numbers}")
        elif not body.startswith(b"answer of "):
            broken.append(f"{attempt}: body {body[:40]!r}")
