"""Hosts that are stopped in turn hang, and lose requests they have read."""

import asyncio
import contextlib
import itertools
import os
import pathlib

import aiohttp

from review.common import deployment as deployments
from review.common import run
from standins import workers

RECORD = pathlib.Path(__file__).with_name("record.txt")
"""What was sent, answered and run."""

ZONES = ["a", "b", "c"]
GAP_SECONDS = 1.0
"""Time between two SIGTERMs: `gap_s` of `roll_term` in the site file."""

LOSS_SLACK_SECONDS = 0.2
DEADLINE_MS = 15000
CALLERS_PER_HOST = 4
EVENTS = 20
EVENT_MS = 50.0
WARM_SECONDS = 5.0
"""Time for which requests are served before the first SIGTERM."""

END_SECONDS = 14.0
"""Time after the first SIGTERM at which no more requests are sent."""

STAGES = ("parts", "rota", "venue")

CONFIG = {
    "version": 3,
    "routes": [
        {
            "name": "report",
            "host": "desk.example",
            "path_prefix": "/report/",
            "kind": "stream",
            "service": "llm",
            "timeout_ms": 15000,
            "slo_ms": 2000,
            "gap_target_ms": 400,
            "priority": 0,
            "max_attempts": 1,
            "sticky": True,
            "stages": [
                {"service": "parts", "after": [], "size_bytes": 8000},
                {"service": "rota", "after": [0], "size_bytes": 60000},
                {"service": "venue", "after": [1], "size_bytes": 6000},
            ],
        }
    ],
    "services": [
        {"name": "llm", "max_conns": 500, "engine": {"slots": 128}},
        *(
            {
                "name": name,
                "max_conns": 500,
                "pieces": {
                    "slots": 1,
                    "queue": 2,
                    "batch": 8,
                    "call_ms": 240.0,
                    "item_ms": 26.0,
                    "headroom_mb": 9.6,
                    "handle_s": 4.0,
                    "link_mbps": 10000,
                },
            }
            for name in STAGES
        ),
    ],
}


class StageWorker(workers.Worker):
    """A worker of a stage that keeps when it worked on a request."""

    worked: dict[str, float]

    async def _run_batch_call(self, call: dict):
        try:
            return await super()._run_batch_call(call)
        finally:
            now = asyncio.get_running_loop().time()
            for item in call["items"]:
                self.worked[item["id"]] = now


class Caller:
    """A client that keeps its connection until the process is gone."""

    numbers = itertools.count()

    def __init__(self, host, record: run.Record) -> None:
        self.requests: list[dict] = []
        self._host = host
        self._record = record

    async def run(self) -> None:
        """Send one request after the other."""
        async with aiohttp.ClientSession() as session:
            while True:
                await self._send(session)
                await asyncio.sleep(0.1)

    async def _send(self, session: aiohttp.ClientSession) -> None:
        loop = asyncio.get_running_loop()
        attempt = f"{next(self.numbers):016x}"
        headers = {
            "Host": "desk.example",
            "Chervilshore-Attempt-Id": attempt,
            "Chervilshore-Deadline-Ms": str(DEADLINE_MS),
            "Chervilshore-Model": "m",
            "Chervilshore-Token-Usage": "100,20",
            "Chervilshore-Prompt-Prefix": f"a1:50,b{attempt}:50",
            "Chervilshore-Pieces": "1,2,2",
            "Chervilshore-Piece-Key": "k",
        }
        sent = {
            "attempt": attempt,
            "host": self._host,
            "process": self._host.process.pid,
            "sent_at": loop.time(),
            "status": None,
            "complete": False,
        }
        url = f"http://{self._host.address}/report/x"
        try:
            async with session.post(url, headers=headers, data=b"x") as got:
                sent["status"] = got.status
                await got.read()
                sent["complete"] = True
        except aiohttp.ClientConnectorError:
            # Nothing listens while the host is started again.
            await asyncio.sleep(0.2)
            return
        except aiohttp.ClientError as error:
            sent["error"] = type(error).__name__
        sent["ended_at"] = loop.time()
        self.requests.append(sent)
        self._record.add(
            "answered" if sent["complete"] else "closed",
            attempt=attempt,
            host=self._host.name,
            status=sent["status"],
            seconds=round(sent["ended_at"] - sent["sent_at"], 2),
        )


class ReadyProbe:
    """Asks a host whether it is ready, as the platform does.

    Attributes
    ----------
    longest_s : float
        The longest time for which its running process gave no answer.
    """

    def __init__(self, host) -> None:
        self.longest_s = 0.0
        self._host = host

    async def run(self) -> None:
        """Ask every quarter of a second."""
        loop = asyncio.get_running_loop()
        async with aiohttp.ClientSession() as session:
            while True:
                asked_at = loop.time()
                url = f"http://{self._host.ready_address}/ready"
                # Errors: the process has ended, or none listens now.
                with contextlib.suppress(aiohttp.ClientError):
                    async with session.get(url) as got:
                        await got.read()
                silent_s = loop.time() - asked_at
                self.longest_s = max(self.longest_s, silent_s)
                await asyncio.sleep(0.25)


async def run_case(
    folder: pathlib.Path, record: run.Record, with_trouble: bool
) -> list[str]:
    """Stop and start the hosts in turn while they serve requests."""
    deployment = deployments.Deployment(folder, ZONES)
    loop = asyncio.get_running_loop()
    worked: dict[str, float] = {}
    tasks = []
    try:
        await deployment.start(CONFIG)
        for service in STAGES:
            for number, zone in enumerate(ZONES):
                worker = StageWorker(f"{service}-{number}", millis=290.0)
                worker.worked = worked
                await deployment.add_worker(worker, service, zone)
        for number, zone in enumerate(ZONES):
            model = workers.Worker(
                f"llm-{number}", events=EVENTS, event_ms=EVENT_MS
            )
            await deployment.add_worker(model, "llm", zone)
        await asyncio.sleep(1.0)
        callers = [
            Caller(host, record)
            for host in deployment.hosts
            for _ in range(CALLERS_PER_HOST)
        ]
        tasks = [asyncio.ensure_future(caller.run()) for caller in callers]
        probes = [ReadyProbe(host) for host in deployment.hosts]
        tasks += [asyncio.ensure_future(probe.run()) for probe in probes]
        await asyncio.sleep(WARM_SECONDS)
        stopped = {}
        restarts = []
        if with_trouble:
            for host in deployment.hosts:
                record.add("SIGTERM", host=host.name)
                stopped[host.process.pid] = loop.time()
                restarts.append(asyncio.ensure_future(restart(host, record)))
                await asyncio.sleep(GAP_SECONDS)
        await asyncio.sleep(END_SECONDS - GAP_SECONDS * len(restarts))
        await asyncio.gather(*restarts)
        await asyncio.sleep(1.0)
        for host, probe in zip(deployment.hosts, probes, strict=True):
            record.add(
                "longest silence of /ready",
                host=host.name,
                seconds=round(probe.longest_s, 2),
            )
        return check(callers, stopped, worked, record)
    finally:
        for task in tasks:
            task.cancel()
        await deployment.stop()


async def restart(host: deployments.Host, record: run.Record) -> None:
    """Stop a host as the platform does, and start it again."""
    ended = await host.terminate()
    record.add("ended" if ended else "SIGKILL after grace_s", host=host.name)
    await host.start()


def check(
    callers: list[Caller],
    stopped: dict[int, float],
    worked: dict[str, float],
    record: run.Record,
) -> list[str]:
    """Return the requests that are lost by the rule LOST."""
    lost = []
    sent = [one for caller in callers for one in caller.requests]
    for one in sent:
        since = stopped.get(one["process"])
        if one["complete"] or since is None:
            continue
        ended_at, sent_at = one["ended_at"], one["sent_at"]
        # Each stage call names the request: its host has read it whole.
        worked_at = worked.get(one["attempt"])
        last_sixth = since + deployments.GRACE_SECONDS * 5 / 6
        was_at_work = worked_at is not None and worked_at >= last_sixth
        counts = (
            worked_at is not None
            and ended_at >= since
            and sent_at <= since + deployments.GRACE_SECONDS + 1.0
            and ended_at - sent_at > LOSS_SLACK_SECONDS
            and ended_at - sent_at < DEADLINE_MS / 1000.0
            # The stream had begun: its worker may have been at work.
            and one["status"] is None
            and not was_at_work
        )
        if counts:
            lost.append(one)
            record.add(
                "lost",
                attempt=one["attempt"],
                host=one["host"].name,
                sent_after_sigterm_s=round(sent_at - since, 2),
                last_stage_work_s=round(worked_at - since, 2),
                closed_s=round(ended_at - since, 2),
            )
    if not lost:
        return []
    hosts = sorted({one["host"].name for one in lost})
    return [
        f"LOST: {len(lost)} of {len(sent)} requests were read and closed "
        f"without an answer, by {hosts}"
    ]


if __name__ == "__main__":
    run.main(run_case, RECORD, os.environ.get("TROUBLE") != "0")
