"""Serve a small site of the users' platform and check what it promises."""

import asyncio
import collections
import itertools
import pathlib
import signal
import tempfile
import time

import aiohttp

from standins import site as sites

HOSTS = 4
READY_SECONDS = 20.0
SPREAD_SECONDS = 2.0
"""Seconds in which a change must be in force on every host."""

PROBE_SECONDS = 1.0
"""Seconds between two questions of the balancer."""

MISSED = 2
"""Questions without a good answer after which a host gets nothing more."""

BUDGET_MS = 4000
CALLERS = 8
NOT_RUN = frozenset({408, 421, 429, 503})
"""Statuses which say that a request has not run."""


class Answer:
    """What a caller got."""

    def __init__(self, number: str, status: int, body: bytes) -> None:
        self.number = number
        self.status = status
        self.body = body


class Demo:
    """The checks, in the order in which they are shown.

    Parameters
    ----------
    site : LocalDeployment
        What is running.
    session : ClientSession
        Carries the callers' requests.
    """

    def __init__(
        self, site: sites.LocalDeployment, session: aiohttp.ClientSession
    ) -> None:
        self.broken = 0
        self._site = site
        self._session = session
        self._numbers = itertools.count()
        self._balanced = site.hosts

    def report(self, kept: bool, promise: str, counted: str) -> None:
        """Print one line for a promise."""
        self.broken += not kept
        word = "kept  " if kept else "BROKEN"
        print(f"{word} {promise}: {counted}", flush=True)

    async def run(self) -> None:
        """Run all checks."""
        await self.show_configuration()
        await self.show_retry()
        await self.show_instruction()
        await self.show_stream()
        await self.show_pieces()
        await self.show_domain()
        await self.show_leaving_worker()
        await self.show_lonely_host()
        await self.show_drain()

    async def show_configuration(self) -> None:
        """A new route is in force on every host."""
        await self._site.configure(
            (("new", "ledger", {"kind": "idempotent"}),)
        )
        await asyncio.sleep(SPREAD_SECONDS)
        answers = [await self._ask(host, "/new/") for host in self._site.hosts]
        found = collections.Counter(answer.status for answer in answers)
        self.report(
            found == {200: HOSTS},
            "a new route is in force everywhere",
            f"{SPREAD_SECONDS:.0f} s later, {dict(found)}",
        )

    async def show_retry(self) -> None:
        """What may be repeated goes elsewhere when a worker fails."""
        self._list_workers("ledger")[0].faults.reset = 1
        answers = [
            await self._ask(self._site.hosts[0], "/look/") for _ in range(12)
        ]
        runs = [self._count_runs(answer) for answer in answers]
        served = sum(answer.status == 200 for answer in answers)
        self.report(
            served == len(answers) and max(runs) == 2,
            "repeatable requests go elsewhere after a lost connection",
            f"{served} of {len(answers)} served, {sum(runs)} runs",
        )

    async def show_instruction(self) -> None:
        """An instruction runs once, whatever happens to its answer."""
        for worker in self._list_workers("ledger"):
            worker.faults.reset = 1
        answers = [
            await self._ask(self._site.hosts[0], "/bill/") for _ in range(9)
        ]
        runs = [self._count_runs(answer) for answer in answers]
        honest = all(
            count == 0
            for answer, count in zip(answers, runs, strict=True)
            if answer.status in NOT_RUN
        )
        found = collections.Counter(answer.status for answer in answers)
        self.report(
            max(runs) == 1 and honest,
            "an instruction runs once at most, and no refused one runs",
            f"{sum(runs)} runs, answers {dict(found)}",
        )

    async def show_stream(self) -> None:
        """A stream that breaks goes on at another worker."""
        for worker, events in zip(
            self._list_workers("llm"), (4, 8), strict=False
        ):
            worker.faults.cut_after = events
        answers = [
            await self._ask(self._site.hosts[1], "/resume/") for _ in range(6)
        ]
        for worker in self._list_workers("llm"):
            worker.faults.cut_after = -1
        whole = sum(
            _list_events(answer) == list(range(1, sites.STREAM_EVENTS + 1))
            for answer in answers
        )
        runs = sum(self._count_runs(answer) for answer in answers)
        self.report(
            whole == len(answers) < runs,
            "a broken stream goes on at another worker without a gap",
            f"{whole} of {len(answers)} whole, {runs} runs",
        )

    async def show_pieces(self) -> None:
        """Requests of all hosts share the calls for their pieces."""
        headers = {
            "Chervilshore-Pieces": "2,2",
            "Chervilshore-Piece-Key": "k",
        }
        answers = await asyncio.gather(
            *(
                self._ask(host, "/staged/", headers)
                for host in self._site.hosts * 4
            )
        )
        served = sum(answer.status == 200 for answer in answers)
        workers = self._list_workers("cut") + self._list_workers("sew")
        batch_calls = [
            len(call) for worker in workers for call in worker.batch_calls
        ]
        made, needed = sum(batch_calls), 4 * len(answers)
        await asyncio.sleep(0.5)
        freed_handles = sum(len(worker.freed_handles) for worker in workers)
        self.report(
            served == len(answers) and made == freed_handles == needed,
            "pieces of all hosts share calls, and are given up",
            f"{made} pieces in {len(batch_calls)} calls, {freed_handles} given up",
        )

    async def show_domain(self) -> None:
        """A domain that is taken out gets nothing."""
        zone = sites.ZONES[1]
        store = self._site.store
        await store.write("evacuations", zone, {})
        await asyncio.sleep(SPREAD_SECONDS)
        before = self._count_seen(zone)
        answers = await self._ask_all("/look/")
        after = self._count_seen(zone)
        await store.remove("evacuations", zone)
        await asyncio.sleep(SPREAD_SECONDS)
        await self._ask_all("/look/")
        back = self._count_seen(zone)
        served = sum(answer.status == 200 for answer in answers)
        self.report(
            before == after < back and served == len(answers),
            "a domain that is out gets nothing, and gets work again later",
            f"{after - before} requests while out, {back - after} after, "
            f"{served} of {len(answers)} served meanwhile",
        )

    async def show_leaving_worker(self) -> None:
        """A worker that leaves gets nothing more."""
        leaving = self._find_workers("ledger")[0]
        await leaving.register(self._site.store, "draining")
        await asyncio.sleep(SPREAD_SECONDS)
        before = len(leaving.worker.received)
        answers = await self._ask_all("/look/")
        sent = len(leaving.worker.received) - before
        await leaving.register(self._site.store, "ready")
        served = sum(answer.status == 200 for answer in answers)
        self.report(
            sent == 0 and served == len(answers),
            "a worker that leaves gets nothing more",
            f"{sent} of {len(answers)} requests",
        )

    async def show_lonely_host(self) -> None:
        """A host that starts while the store is away learns from peers."""
        host = self._site.hosts[-1]
        faults = self._site.store.faults
        faults.refuse = 503
        begun = time.monotonic()
        await host.restart(signal.SIGKILL)
        async with asyncio.timeout(READY_SECONDS):
            await host.wait_ready()
        seconds = time.monotonic() - begun
        answer = await self._ask(host, "/look/")
        faults.refuse = 0
        self.report(
            answer.status == 200,
            "a host that starts without the store learns from its peers",
            f"ready after {seconds:.1f} s, answer {answer.status}",
        )

    async def show_drain(self) -> None:
        """A host leaves under load and cuts no request."""
        ends = asyncio.Event()
        balancing = asyncio.ensure_future(self._balance())
        calling = [
            asyncio.ensure_future(self._call(ends)) for _ in range(CALLERS)
        ]
        await asyncio.sleep(1.0)
        begun = time.monotonic()
        status = await self._site.hosts[0].signal_and_wait(signal.SIGTERM)
        seconds = time.monotonic() - begun
        ends.set()
        found: collections.Counter[str] = collections.Counter()
        for one in await asyncio.gather(*calling):
            found.update(one)
        balancing.cancel()
        self.report(
            status == 0 and set(found) == {"200"},
            "a host that leaves cuts no request",
            f"exit status {status} after {seconds:.1f} s, {dict(found)}",
        )

    async def _balance(self) -> None:
        """Send callers to the hosts that are ready, as a balancer does."""
        missed: collections.Counter[str] = collections.Counter()
        while True:
            for host in self._site.hosts:
                ready = await host.is_ready(self._session)
                missed[host.name] = 0 if ready else missed[host.name] + 1
            self._balanced = [
                host for host in self._site.hosts if missed[host.name] < MISSED
            ]
            await asyncio.sleep(PROBE_SECONDS)

    async def _call(self, ends: asyncio.Event) -> collections.Counter[str]:
        found: collections.Counter[str] = collections.Counter()
        for number in itertools.count():
            if ends.is_set():
                return found
            host = self._balanced[number % len(self._balanced)]
            try:
                answer = await self._ask(host, "/look/")
                found[str(answer.status)] += 1
            except aiohttp.ClientError as error:
                found[type(error).__name__] += 1

    async def _ask_all(self, path: str) -> list[Answer]:
        return [
            await self._ask(host, path) for host in self._site.hosts * CALLERS
        ]

    async def _ask(
        self, host: sites.Host, path: str, headers: dict | None = None
    ) -> Answer:
        number = f"demo-{next(self._numbers)}"
        sent = {
            "Host": "shop.example",
            "Chervilshore-Attempt-Id": number,
            "Chervilshore-Deadline-Ms": str(BUDGET_MS),
            "Chervilshore-Key": sites.API_KEY,
        } | (headers or {})
        async with self._session.post(
            f"http://{host.address}{path}", headers=sent
        ) as response:
            return Answer(number, response.status, await response.read())

    def _find_workers(self, service: str) -> list[sites.Worker]:
        return [one for one in self._site.workers if one.service == service]

    def _list_workers(self, service: str) -> list:
        return [one.worker for one in self._find_workers(service)]

    def _count_runs(self, answer: Answer) -> int:
        return sum(
            one.worker.runs.count(answer.number) for one in self._site.workers
        )

    def _count_seen(self, zone: str) -> int:
        return sum(
            len(one.worker.received)
            for one in self._site.workers
            if one.zone == zone
        )


def _list_events(answer: Answer) -> list[int]:
    return [
        int(line.removeprefix(b"id: "))
        for line in answer.body.splitlines()
        if line.startswith(b"id: ")
    ]


async def show() -> int:
    """Start a site, run the checks, and stop it.

    Returns
    -------
    int
        The number of broken promises.
    """
    begun = time.monotonic()
    folder = pathlib.Path(tempfile.mkdtemp(prefix="chervilshore-"))
    site = sites.LocalDeployment(folder, HOSTS)
    try:
        await site.start()
        async with asyncio.timeout(READY_SECONDS):
            for host in site.hosts:
                await host.wait_ready()
        print(
            f"platform: {HOSTS} entry hosts and {len(site.workers)} workers "
            f"in {len(sites.ZONES)} zones, ready after "
            f"{time.monotonic() - begun:.1f} s, logs in {folder}",
            flush=True,
        )
        async with aiohttp.ClientSession() as session:
            demo = Demo(site, session)
            await demo.run()
    finally:
        await site.stop()
    print(f"{time.monotonic() - begun:.0f} s, {demo.broken} broken")
    return demo.broken
