"""Callers with persistent connections, and checks of the answers they get."""

import asyncio
import collections
import itertools
import random
import re

import aiohttp

from standins import site

REFUSED_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that guarantee that a request has not run and never will."""

DEADLINE_MS = 4000
"""Milliseconds until the deadline of each request."""
PAUSED_HOST_GRACE_SECONDS = 6.0
"""Seconds after its deadline within which a request must be answered: a
paused host answers when it is resumed, and two pauses of 2.5 seconds may
follow each other."""

MAX_PAUSE_SECONDS = 0.03
"""Maximum seconds between two requests of a caller."""

_EVENT_ID = re.compile(rb"id: (\d+)\n")


class Kind:
    """A kind of request.

    Parameters
    ----------
    path : str
        The path, which selects the route.
    at_most_once : bool
        Whether it must not run more than once.
    events : int
        Events of a streamed answer; 0 for a plain answer.
    headers : dict
        Additional headers.
    """

    def __init__(
        self,
        path: str,
        at_most_once: bool,
        events: int = 0,
        headers: dict[str, str] | None = None,
    ) -> None:
        self.path = path
        self.at_most_once = at_most_once
        self.events = events
        self.headers = headers or {}


KINDS = (
    Kind("/look/", at_most_once=False),
    Kind("/bill/", at_most_once=True),
    Kind(
        "/say/",
        at_most_once=True,
        events=site.STREAM_EVENTS,
        headers={"Chervilshore-Prompt-Prefix": "a:10,b:5"},
    ),
    Kind("/resume/", at_most_once=False, events=site.STREAM_EVENTS),
    Kind(
        "/staged/",
        at_most_once=True,
        events=site.STREAM_EVENTS,
        headers={
            "Chervilshore-Pieces": "1,2",
            "Chervilshore-Piece-Key": "k",
        },
    ),
)


class RequestTracker:
    """Records sent requests and outcomes, and detects violated guarantees.

    Attributes
    ----------
    kinds : dict of str to Kind
        The kind of every request that was sent, by attempt id.
    refused : set of str
        Attempt ids whose answer guarantees that they have not run.
    violations : list of str
        Violated guarantees, in words.
    outcomes : Counter
        Requests by outcome: a status, ``timeout`` or an error class.
    recent_served : deque of bool
        Whether each of the latest requests was answered with 200.
    """

    def __init__(self) -> None:
        self.kinds: dict[str, Kind] = {}
        self.refused: set[str] = set()
        self.violations: list[str] = []
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.recent_served: collections.deque[bool] = collections.deque(
            maxlen=200
        )

    def record_outcome(self, attempt: str, outcome: str) -> None:
        """Record how a request ended."""
        self.outcomes[outcome] += 1
        self.recent_served.append(outcome == "200")
        if outcome.isdigit() and int(outcome) in REFUSED_STATUSES:
            self.refused.add(attempt)

    def check_runs(self, runs: collections.Counter[str]) -> None:
        """Check the runs at the workers, by attempt id.

        Only requests that were sent may run, and one that must run at most
        once may neither run twice nor run after it was refused.
        """
        for attempt, count in runs.items():
            kind = self.kinds.get(attempt)
            if kind is None:
                self.violations.append(f"{attempt} ran but was never sent")
                continue
            if kind.at_most_once and count > 1:
                self.violations.append(f"{attempt} ran {count} times")
            if kind.at_most_once and attempt in self.refused:
                self.violations.append(f"{attempt} was refused and has run")


class Caller:
    """Sends requests to one host over persistent connections.

    Parameters
    ----------
    name : str
        Prefix of the attempt ids of its requests.
    address : str
        The host's address.
    tracker : RequestTracker
        Records the requests, outcomes and violations.
    rng : random.Random
        Chooses kinds of requests and pauses.
    """

    def __init__(
        self,
        name: str,
        address: str,
        tracker: RequestTracker,
        rng: random.Random,
    ) -> None:
        self._name = name
        self._address = address
        self._tracker = tracker
        self._random = rng
        self._numbers = itertools.count()

    async def run(self, stop: asyncio.Event) -> None:
        """Send one request after another until the event is set."""
        timeout = aiohttp.ClientTimeout(
            total=DEADLINE_MS / 1000.0 + PAUSED_HOST_GRACE_SECONDS
        )
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while not stop.is_set():
                await self._send_request(session, self._random.choice(KINDS))
                await asyncio.sleep(MAX_PAUSE_SECONDS * self._random.random())

    async def _send_request(
        self, session: aiohttp.ClientSession, kind: Kind
    ) -> None:
        attempt = f"{self._name}-{next(self._numbers)}"
        self._tracker.kinds[attempt] = kind
        headers = {
            "Host": "shop.example",
            "Chervilshore-Attempt-Id": attempt,
            "Chervilshore-Deadline-Ms": str(DEADLINE_MS),
            "Chervilshore-Key": site.API_KEY,
        } | kind.headers
        try:
            async with session.post(
                f"http://{self._address}{kind.path}", headers=headers
            ) as response:
                body = await response.read()
                self._check_response(attempt, kind, response, body)
                self._tracker.record_outcome(attempt, str(response.status))
        except TimeoutError:
            self._tracker.record_outcome(attempt, "timeout")
            self._tracker.violations.append(
                f"{attempt} was not answered long after its deadline"
            )
        except aiohttp.ClientError as error:
            self._tracker.record_outcome(attempt, type(error).__name__)
            await asyncio.sleep(MAX_PAUSE_SECONDS)

    def _check_response(
        self,
        attempt: str,
        kind: Kind,
        response: aiohttp.ClientResponse,
        body: bytes,
    ) -> None:
        violations = self._tracker.violations
        stamp = response.headers.get("Chervilshore-Response-Stamp")
        if response.status != 200:
            if stamp and response.status != 500:
                violations.append(f"{attempt}: stamp on {response.status}")
            return
        if not stamp:
            violations.append(f"{attempt}: status 200 without a stamp")
        if response.headers.get("Chervilshore-Attempt-Id") != attempt:
            violations.append(f"{attempt}: answer of another request")
        if kind.events:
            numbers = [int(number) for number in _EVENT_ID.findall(body)]
            if numbers != list(range(1, kind.events + 1)):
                violations.append(f"{attempt}: events {numbers}")
        elif not body.startswith(b"answer of "):
            violations.append(f"{attempt}: body {body[:40]!r}")
