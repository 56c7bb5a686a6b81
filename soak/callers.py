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
MAX_CALM_PAUSE_SECONDS = 1.0
"""Maximum seconds between two requests of a caller, in general and while the
workers must not get more than they can run."""

MAX_BODY_BYTES = 3000
"""Upper bound of the bytes of a request's body."""

BURST_SHARE = 0.15
BURST_REQUESTS = 8
"""Share of the times at which a caller sends so many requests at once."""

_EVENT = re.compile(rb"id: (\d+)\ndata: (\S+)\n\n")


class Kind:
    """A kind of request.

    Parameters
    ----------
    path : str
        The path, which selects the route.
    service : str
        The service of the route.
    resumable : bool
        Whether callers resume a broken stream at another host.
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
        service: str,
        at_most_once: bool,
        events: int = 0,
        headers: dict[str, str] | None = None,
        resumable: bool = False,
    ) -> None:
        self.path = path
        self.service = service
        self.resumable = resumable
        self.at_most_once = at_most_once
        self.events = events
        self.headers = headers or {}


KINDS = (
    Kind("/look/", "ledger", at_most_once=False),
    Kind("/bill/", "ledger", at_most_once=True),
    Kind(
        "/say/",
        "llm",
        at_most_once=True,
        events=site.STREAM_EVENTS,
        headers={"Chervilshore-Prompt-Prefix": "a:10,b:5"},
    ),
    Kind(
        "/resume/",
        "llm",
        at_most_once=False,
        events=site.STREAM_EVENTS,
        resumable=True,
    ),
    Kind(
        "/staged/",
        "llm",
        at_most_once=True,
        events=site.STREAM_EVENTS,
        headers={
            "Chervilshore-Pieces": "1,2",
            "Chervilshore-Piece-Key": "k",
        },
    ),
)


WEIGHTS = ((3, 6, 1, 1, 1), (20, 20, 1, 1, 1), (1, 3, 1, 1, 6))
"""Relative frequencies of the kinds, one of which is chosen for each run."""


class RequestTracker:
    """Records sent requests and outcomes, and detects violated guarantees.

    Attributes
    ----------
    kinds : dict of str to Kind
        The kind of every request that was sent, by attempt id.
    refused : set of str
        Attempt ids whose answer guarantees that they have not run.
    violations : list of str
        Violated guarantees: the rule and words.
    sent : dict of str to list
        When requests were sent, in seconds of the event loop, by service.
    stamped_failures : list of tuple
        Attempt id and status of each failure with a worker's stamp.
    outcomes : Counter
        Requests by outcome: a status, ``timeout`` or an error class.
    weights : tuple of int
        Relative frequencies of the kinds.
    calm : bool
        Whether callers send no more than the workers can run.
    recent_served : deque of bool
        Whether each of the latest requests was answered with 200.
    """

    def __init__(self) -> None:
        self.kinds: dict[str, Kind] = {}
        self.refused: set[str] = set()
        self.violations: list[str] = []
        self.sent = collections.defaultdict(list)
        self.stamped_failures: list[tuple[str, int]] = []
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.weights = WEIGHTS[0]
        self.calm = False
        self.recent_served: collections.deque[bool] = collections.deque(
            maxlen=200
        )

    def record_outcome(self, attempt: str, outcome: str) -> None:
        """Record how a request ended."""
        self.outcomes[outcome] += 1
        self.recent_served.append(outcome == "200")
        if outcome.isdigit() and int(outcome) in REFUSED_STATUSES:
            self.refused.add(attempt)


class Caller:
    """Sends requests to one host over persistent connections.

    It resumes broken streams at any host.

    Parameters
    ----------
    name : str
        Prefix of the attempt ids of its requests.
    address : str
        The host's address.
    others : list of str
        The addresses of all hosts.
    tracker : RequestTracker
        Records the requests, outcomes and violations.
    rng : random.Random
        Chooses kinds of requests and pauses.
    """

    def __init__(
        self,
        name: str,
        address: str,
        others: list[str],
        tracker: RequestTracker,
        rng: random.Random,
    ) -> None:
        self._name = name
        self._address = address
        self._others = others
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
                (kind,) = self._random.choices(KINDS, self._tracker.weights)
                burst = self._random.random() < BURST_SHARE
                if burst and not self._tracker.calm:
                    await asyncio.gather(
                        *(
                            self._send_new(session, kind)
                            for _ in range(BURST_REQUESTS)
                        )
                    )
                else:
                    await self._send_new(session, kind)
                pause_seconds = (
                    MAX_CALM_PAUSE_SECONDS
                    if self._tracker.calm
                    else MAX_PAUSE_SECONDS
                )
                await asyncio.sleep(pause_seconds * self._random.random())

    async def _send_new(
        self, session: aiohttp.ClientSession, kind: Kind
    ) -> None:
        """Send a request; resume its stream if it breaks and may be."""
        attempt = self._make_attempt(kind)
        body = await self._send_request(session, kind, attempt, self._address)
        if kind.resumable:
            await self._resume(session, kind, attempt, body)

    def _make_attempt(self, kind: Kind) -> str:
        attempt = f"{self._name}-{next(self._numbers)}"
        self._tracker.kinds[attempt] = kind
        now = asyncio.get_running_loop().time()
        self._tracker.sent[kind.service].append(now)
        return attempt

    async def _resume(
        self,
        session: aiohttp.ClientSession,
        kind: Kind,
        attempt: str,
        body: bytes,
    ) -> None:
        """Resume a stream that broke after its first events, once."""
        events = _EVENT.findall(body)
        if not events or len(events) == kind.events:
            return
        headers = {
            "Resumes": attempt,
            "Last-Event-Id": events[-1][0].decode(),
        }
        more = await self._send_request(
            session,
            kind,
            self._make_attempt(kind),
            self._random.choice(self._others),
            headers,
        )
        versions = {version for _, version in events + _EVENT.findall(more)}
        if len(versions) > 1:
            self._tracker.violations.append(
                f"ORDER {attempt}: resumed at other versions {versions}"
            )
        self._tracker.outcomes["resumed" if more else "not resumed"] += 1

    async def _send_request(
        self,
        session: aiohttp.ClientSession,
        kind: Kind,
        attempt: str,
        address: str,
        more_headers: dict[str, str] | None = None,
    ) -> bytes:
        """Send a request; return what came of its body."""
        headers = {
            "Host": "shop.example",
            "Chervilshore-Attempt-Id": attempt,
            "Chervilshore-Deadline-Ms": str(DEADLINE_MS),
            "Chervilshore-Key": site.API_KEY,
        } | kind.headers
        headers |= more_headers or {}
        body = b""
        first = int(headers.get("Last-Event-Id", 0)) + 1
        try:
            async with session.post(
                f"http://{address}{kind.path}",
                headers=headers,
                data=b"x" * self._random.randrange(MAX_BODY_BYTES),
            ) as response:
                async for data in response.content.iter_any():
                    body += data
                    if response.status == 200 and kind.events:
                        self._check_events(attempt, body, first)
                self._check_response(attempt, kind, response, body, first)
                self._tracker.record_outcome(attempt, str(response.status))
        except TimeoutError:
            self._tracker.record_outcome(attempt, "timeout")
            self._tracker.violations.append(
                f"LATE {attempt} was not answered long after its deadline"
            )
        except aiohttp.ClientError as error:
            self._tracker.record_outcome(attempt, type(error).__name__)
            await asyncio.sleep(MAX_PAUSE_SECONDS)
        return body

    def _check_response(
        self,
        attempt: str,
        kind: Kind,
        response: aiohttp.ClientResponse,
        body: bytes,
        first: int,
    ) -> None:
        violations = self._tracker.violations
        stamp = response.headers.get("Chervilshore-Response-Stamp", "")
        if response.status != 200:
            if stamp:
                self._tracker.stamped_failures.append(
                    (attempt, response.status)
                )
            return
        if not stamp:
            violations.append(f"MIXED {attempt}: status 200 without a stamp")
        if response.headers.get("Chervilshore-Attempt-Id") != attempt:
            violations.append(f"MIXED {attempt}: answer of another request")
        if kind.events:
            numbers = [int(number) for number, _ in _EVENT.findall(body)]
            if numbers != list(range(first, kind.events + 1)):
                violations.append(f"ORDER {attempt}: complete with {numbers}")
        elif body != f"answer of {stamp.partition('.')[2]}".encode():
            violations.append(f"MIXED {attempt}: body {body[:40]!r}")

    def _check_events(self, attempt: str, body: bytes, first: int) -> None:
        """Check the part of a stream that has come."""
        found = _EVENT.findall(body)
        numbers = [int(number) for number, _ in found]
        rest = _EVENT.sub(b"", body)
        sound = (
            numbers == list(range(first, first + len(numbers)))
            and len({version for _, version in found}) < 2
            and b"\n\n" not in rest
            and rest[:4] == b"id: "[: len(rest)]
        )
        violation = f"ORDER {attempt}: {body[-80:]!r}"
        if not sound and violation not in self._tracker.violations:
            self._tracker.violations.append(violation)
