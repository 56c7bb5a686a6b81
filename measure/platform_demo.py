"""Runs a small site of the users' platform and checks its guarantees."""

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

READY_TIMEOUT_SECONDS = 20.0
"""Seconds to wait until a started host is ready."""

PROPAGATION_SECONDS = 2.0
"""Seconds in which a change must be active on every host."""

PROBE_INTERVAL_SECONDS = 1.0
"""Seconds between readiness probes of the load balancer."""

MAX_FAILED_PROBES = 2
"""Failed probes in a row after which a host receives no requests."""

DEADLINE_MS = 4000
"""Deadline of each request, in milliseconds from its arrival."""

CALLERS = 8
"""Callers that send requests during a shutdown, and requests to each host
in other checks."""

NOT_RUN = frozenset({408, 421, 429, 503})
"""HTTP statuses that say that the request was not executed."""


class Answer:
    """The response to one request, with the request's attempt id."""

    def __init__(self, attempt_id: str, status: int, body: bytes) -> None:
        self.attempt_id = attempt_id
        self.status = status
        self.body = body


class Demo:
    """Runs the checks and prints a line for each.

    Parameters
    ----------
    site : LocalDeployment
        The running site.
    session : ClientSession
        Sends the callers' requests.

    Attributes
    ----------
    failed_checks : int
        Checks that have failed so far.
    """

    def __init__(
        self, site: sites.LocalDeployment, session: aiohttp.ClientSession
    ) -> None:
        self.failed_checks = 0
        self._site = site
        self._session = session
        self._attempt_numbers = itertools.count()
        self._balanced_hosts = site.hosts

    def report(self, passed: bool, guarantee: str, details: str) -> None:
        """Print the result of a check, and count it if it failed."""
        self.failed_checks += not passed
        word = "kept  " if passed else "BROKEN"
        print(f"{word} {guarantee}: {details}", flush=True)

    async def run(self) -> None:
        """Run all checks, in the order in which they are printed."""
        await self.check_configuration()
        await self.check_retry()
        await self.check_instruction()
        await self.check_stream()
        await self.check_batches()
        await self.check_domain_out()
        await self.check_draining_worker()
        await self.check_start_without_store()
        await self.check_drain()

    async def check_configuration(self) -> None:
        """Check that a new route becomes active on every host."""
        await self._site.configure(
            (("new", "ledger", {"kind": "idempotent"}),)
        )
        await asyncio.sleep(PROPAGATION_SECONDS)
        answers = [
            await self._send(host, "/new/") for host in self._site.hosts
        ]
        statuses = collections.Counter(answer.status for answer in answers)
        self.report(
            statuses == {200: HOSTS},
            "a new route is active on every host",
            f"{PROPAGATION_SECONDS:.0f} s later, {dict(statuses)}",
        )

    async def check_retry(self) -> None:
        """Check that idempotent requests are retried at another worker."""
        self._list_workers("ledger")[0].faults.reset = 1
        answers = [
            await self._send(self._site.hosts[0], "/look/") for _ in range(12)
        ]
        runs = [self._count_runs(answer) for answer in answers]
        served = sum(answer.status == 200 for answer in answers)
        self.report(
            served == len(answers) and max(runs) == 2,
            "repeatable requests are retried after a lost connection",
            f"{served} of {len(answers)} served, {sum(runs)} runs",
        )

    async def check_instruction(self) -> None:
        """Check that an instruction is never executed twice."""
        for worker in self._list_workers("ledger"):
            worker.faults.reset = 1
        answers = [
            await self._send(self._site.hosts[0], "/bill/") for _ in range(9)
        ]
        runs = [self._count_runs(answer) for answer in answers]
        none_refused_ran = all(
            count == 0
            for answer, count in zip(answers, runs, strict=True)
            if answer.status in NOT_RUN
        )
        statuses = collections.Counter(answer.status for answer in answers)
        self.report(
            max(runs) == 1 and none_refused_ran,
            "an instruction runs at most once, and no refused one runs",
            f"{sum(runs)} runs, answers {dict(statuses)}",
        )

    async def check_stream(self) -> None:
        """Check that a broken stream is resumed at another worker."""
        for worker, events in zip(
            self._list_workers("llm"), (4, 8), strict=False
        ):
            worker.faults.cut_after = events
        answers = [
            await self._send(self._site.hosts[1], "/resume/") for _ in range(6)
        ]
        for worker in self._list_workers("llm"):
            worker.faults.cut_after = -1
        complete = sum(
            _list_event_ids(answer) == list(range(1, sites.STREAM_EVENTS + 1))
            for answer in answers
        )
        runs = sum(self._count_runs(answer) for answer in answers)
        self.report(
            complete == len(answers) < runs,
            "a broken stream is resumed at another worker without a gap",
            f"{complete} of {len(answers)} complete, {runs} runs",
        )

    async def check_batches(self) -> None:
        """Check that batch calls combine items of requests to all hosts."""
        headers = {
            "Chervilshore-Pieces": "2,2",
            "Chervilshore-Piece-Key": "k",
        }
        answers = await asyncio.gather(
            *(
                self._send(host, "/staged/", headers)
                for host in self._site.hosts * 4
            )
        )
        served = sum(answer.status == 200 for answer in answers)
        workers = self._list_workers("cut") + self._list_workers("sew")
        call_sizes = [
            len(call) for worker in workers for call in worker.batch_calls
        ]
        executed, expected = sum(call_sizes), 4 * len(answers)
        await asyncio.sleep(0.5)
        released = sum(len(worker.freed_handles) for worker in workers)
        self.report(
            served == len(answers) and executed == released == expected,
            "batch items of all hosts share calls, and results are freed",
            f"{executed} items in {len(call_sizes)} calls, {released} freed",
        )

    async def check_domain_out(self) -> None:
        """Check that a domain that is taken out receives no requests."""
        zone = sites.ZONES[1]
        store = self._site.store
        await store.write("evacuations", zone, {})
        await asyncio.sleep(PROPAGATION_SECONDS)
        before = self._count_received(zone)
        answers = await self._send_to_all("/look/")
        after = self._count_received(zone)
        await store.remove("evacuations", zone)
        await asyncio.sleep(PROPAGATION_SECONDS)
        await self._send_to_all("/look/")
        returned = self._count_received(zone)
        served = sum(answer.status == 200 for answer in answers)
        self.report(
            before == after < returned and served == len(answers),
            "a domain that is out receives no requests until it is back in",
            f"{after - before} requests while out, {returned - after} after, "
            f"{served} of {len(answers)} served meanwhile",
        )

    async def check_draining_worker(self) -> None:
        """Check that a draining worker receives no requests."""
        draining = self._find_workers("ledger")[0]
        await draining.register(self._site.store, "draining")
        await asyncio.sleep(PROPAGATION_SECONDS)
        before = len(draining.worker.received)
        answers = await self._send_to_all("/look/")
        sent = len(draining.worker.received) - before
        await draining.register(self._site.store, "ready")
        served = sum(answer.status == 200 for answer in answers)
        self.report(
            sent == 0 and served == len(answers),
            "a draining worker receives no requests",
            f"{sent} of {len(answers)} requests",
        )

    async def check_start_without_store(self) -> None:
        """Check that a host loads its state from peers if the store fails."""
        host = self._site.hosts[-1]
        faults = self._site.store.faults
        faults.refuse = 503
        started_at = time.monotonic()
        await host.restart(signal.SIGKILL)
        async with asyncio.timeout(READY_TIMEOUT_SECONDS):
            await host.wait_ready()
        seconds = time.monotonic() - started_at
        answer = await self._send(host, "/look/")
        faults.refuse = 0
        self.report(
            answer.status == 200,
            "a host that starts without the store loads its state from peers",
            f"ready after {seconds:.1f} s, answer {answer.status}",
        )

    async def check_drain(self) -> None:
        """Check that a graceful shutdown under load fails no request."""
        stop = asyncio.Event()
        balancer = asyncio.ensure_future(self._balance())
        callers = [
            asyncio.ensure_future(self._call_until(stop))
            for _ in range(CALLERS)
        ]
        await asyncio.sleep(1.0)
        started_at = time.monotonic()
        status = await self._site.hosts[0].signal_and_wait(signal.SIGTERM)
        seconds = time.monotonic() - started_at
        stop.set()
        results: collections.Counter[str] = collections.Counter()
        for caller_results in await asyncio.gather(*callers):
            results.update(caller_results)
        balancer.cancel()
        self.report(
            status == 0 and set(results) == {"200"},
            "a graceful shutdown fails no request",
            f"exit status {status} after {seconds:.1f} s, {dict(results)}",
        )

    async def _balance(self) -> None:
        """Probe the hosts and select the ready ones, as a load balancer."""
        failed_probes: collections.Counter[str] = collections.Counter()
        while True:
            for host in self._site.hosts:
                ready = await host.is_ready(self._session)
                failed_probes[host.name] = (
                    0 if ready else failed_probes[host.name] + 1
                )
            self._balanced_hosts = [
                host
                for host in self._site.hosts
                if failed_probes[host.name] < MAX_FAILED_PROBES
            ]
            await asyncio.sleep(PROBE_INTERVAL_SECONDS)

    async def _call_until(
        self, stop: asyncio.Event
    ) -> collections.Counter[str]:
        """Send requests until `stop` is set; count statuses and errors."""
        results: collections.Counter[str] = collections.Counter()
        for number in itertools.count():
            if stop.is_set():
                return results
            host = self._balanced_hosts[number % len(self._balanced_hosts)]
            try:
                answer = await self._send(host, "/look/")
                results[str(answer.status)] += 1
            except aiohttp.ClientError as error:
                results[type(error).__name__] += 1

    async def _send_to_all(self, path: str) -> list[Answer]:
        return [
            await self._send(host, path) for host in self._site.hosts * CALLERS
        ]

    async def _send(
        self, host: sites.Host, path: str, headers: dict | None = None
    ) -> Answer:
        attempt_id = f"demo-{next(self._attempt_numbers)}"
        request_headers = {
            "Host": "shop.example",
            "Chervilshore-Attempt-Id": attempt_id,
            "Chervilshore-Deadline-Ms": str(DEADLINE_MS),
            "Chervilshore-Key": sites.API_KEY,
        } | (headers or {})
        async with self._session.post(
            f"http://{host.address}{path}", headers=request_headers
        ) as response:
            return Answer(attempt_id, response.status, await response.read())

    def _find_workers(self, service: str) -> list[sites.Worker]:
        return [
            worker
            for worker in self._site.workers
            if worker.service == service
        ]

    def _list_workers(self, service: str) -> list:
        return [found.worker for found in self._find_workers(service)]

    def _count_runs(self, answer: Answer) -> int:
        return sum(
            site_worker.worker.runs.count(answer.attempt_id)
            for site_worker in self._site.workers
        )

    def _count_received(self, zone: str) -> int:
        return sum(
            len(site_worker.worker.received)
            for site_worker in self._site.workers
            if site_worker.zone == zone
        )


def _list_event_ids(answer: Answer) -> list[int]:
    """Return the ids of the events of a streamed answer."""
    return [
        int(line.removeprefix(b"id: "))
        for line in answer.body.splitlines()
        if line.startswith(b"id: ")
    ]


async def run_demo() -> int:
    """Start a site, run the checks and stop it.

    Returns
    -------
    int
        The number of checks that failed.
    """
    started_at = time.monotonic()
    directory = pathlib.Path(tempfile.mkdtemp(prefix="chervilshore-"))
    site = sites.LocalDeployment(directory, HOSTS)
    try:
        await site.start()
        async with asyncio.timeout(READY_TIMEOUT_SECONDS):
            for host in site.hosts:
                await host.wait_ready()
        print(
            f"platform: {HOSTS} entry hosts and {len(site.workers)} workers "
            f"in {len(sites.ZONES)} zones, ready after "
            f"{time.monotonic() - started_at:.1f} s, logs in {directory}",
            flush=True,
        )
        async with aiohttp.ClientSession() as session:
            demo = Demo(site, session)
            await demo.run()
    finally:
        await site.stop()
    print(
        f"{time.monotonic() - started_at:.0f} s, {demo.failed_checks} broken"
    )
    return demo.failed_checks
