"""A configuration without a batch service makes its hosts hang."""

import asyncio
import copy
import itertools
import os
import pathlib

import aiohttp

from review.common import deployment as deployments
from review.common import run
from standins import workers

RECORD = pathlib.Path(__file__).with_name("record.txt")
"""What was sent, answered and run."""

ZONES = ["a", "b"]
TIMEOUT_MS = 600
"""`timeout_ms` of the route of the lookups."""

CLIENT_DEADLINE_MS = 3000
HALF_SECOND = 0.5
WARM_SECONDS = 4.0
LAST_SECONDS = 12.0
"""Time for which clients go on after the new configuration."""

STAGES = ("parts", "rota")

LOOKUP = {
    "name": "lookup",
    "host": "desk.example",
    "path_prefix": "/lookup/",
    "kind": "idempotent",
    "service": "ledger",
    "timeout_ms": TIMEOUT_MS,
    "slo_ms": 125,
    "priority": 2,
    "max_attempts": 2,
}

REPORT = {
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
    ],
}

CONFIG = {
    "version": 3,
    "routes": [LOOKUP, REPORT],
    "services": [
        {"name": "ledger", "max_conns": 48},
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


class Clients:
    """Clients of both routes, each with a connection of its own."""

    def __init__(self, hosts: list, record: run.Record) -> None:
        self.lookups: list[dict] = []
        self._numbers = itertools.count()
        self._record = record
        self.tasks = [
            asyncio.ensure_future(self._run(host, name, pause))
            for host in hosts
            for name, pause in (
                ("lookup", 0.1),
                ("lookup", 0.1),
                ("report", 0.3),
                ("report", 0.3),
            )
        ]

    async def _run(self, host, name: str, pause: float) -> None:
        async with aiohttp.ClientSession() as session:
            while True:
                try:
                    async with asyncio.timeout(
                        CLIENT_DEADLINE_MS / 1000.0
                        if name == "lookup"
                        else None
                    ):
                        await self._send(session, host, name)
                except TimeoutError:
                    self._record.add("gave up", host=host.name, route=name)
                await asyncio.sleep(pause)

    async def _send(self, session, host, name: str) -> None:
        loop = asyncio.get_running_loop()
        attempt = f"{next(self._numbers):016x}"
        sent = {"host": host.name, "sent_at": loop.time(), "ended_at": None}
        headers = {
            "Host": "desk.example",
            "Chervilshore-Attempt-Id": attempt,
            "Chervilshore-Deadline-Ms": str(CLIENT_DEADLINE_MS),
        }
        if name == "lookup":
            self.lookups.append(sent)
        else:
            headers |= {
                "Chervilshore-Deadline-Ms": "15000",
                "Chervilshore-Model": "m",
                "Chervilshore-Token-Usage": "100,20",
                "Chervilshore-Prompt-Prefix": f"a1:50,b{attempt}:50",
                "Chervilshore-Pieces": "1,2",
                "Chervilshore-Piece-Key": "k",
            }
        url = f"http://{host.address}/{name}/x"
        status: object = None
        try:
            async with session.post(url, headers=headers, data=b"x") as got:
                status = got.status
                await got.read()
        except aiohttp.ClientError as error:
            status = type(error).__name__
        finally:
            # Answered, or given up at the client's deadline.
            sent["ended_at"] = loop.time()
        self._record.add(
            "answered",
            attempt=attempt,
            host=host.name,
            route=name,
            status=status,
            seconds=round(sent["ended_at"] - sent["sent_at"], 2),
        )


async def run_case(
    folder: pathlib.Path, record: run.Record, with_trouble: bool
) -> list[str]:
    """Take a route and its batch services out of the configuration."""
    deployment = deployments.Deployment(folder, ZONES)
    clients = None
    try:
        await deployment.start(CONFIG)
        for service in STAGES:
            for number, zone in enumerate(ZONES):
                worker = workers.Worker(f"{service}-{number}", millis=290.0)
                await deployment.add_worker(worker, service, zone)
        for number, zone in enumerate(ZONES):
            model = workers.Worker(f"llm-{number}", events=20, event_ms=50.0)
            await deployment.add_worker(model, "llm", zone)
            ledger = workers.Worker(f"ledger-{number}", millis=20.0)
            await deployment.add_worker(ledger, "ledger", zone)
        await asyncio.sleep(1.0)
        clients = Clients(deployment.hosts, record)
        await asyncio.sleep(WARM_SECONDS)
        changed = copy.deepcopy(CONFIG)
        changed["version"] = 9
        if with_trouble:
            changed["routes"] = [LOOKUP]
            changed["services"] = CONFIG["services"][:2]
        await deployment.store.write("config", "main", changed)
        record.add("configuration acknowledged", version=9)
        await asyncio.sleep(LAST_SECONDS)
        return check(clients, record)
    finally:
        if clients is not None:
            for task in clients.tasks:
                task.cancel()
        await deployment.stop()


def check(clients: Clients, record: run.Record) -> list[str]:
    """Return whether most lookups past their timeout stay unanswered."""
    now = asyncio.get_running_loop().time()
    timeout = TIMEOUT_MS / 1000.0
    old = [
        one
        for one in clients.lookups
        if one["sent_at"] < now - timeout - HALF_SECOND
    ]

    def lasts(one: dict, seconds: float) -> bool:
        return (one["ended_at"] or now) - one["sent_at"] > seconds

    late = [one for one in old if lasts(one, timeout)]
    held = [one for one in late if lasts(one, timeout + HALF_SECOND)]
    record.add(
        "lookups",
        sent=len(clients.lookups),
        unanswered_at_timeout=len(late),
        unanswered_half_a_second_later=len(held),
    )
    if len(held) <= len(late) / 2:
        return []
    longest = max((one["ended_at"] or now) - one["sent_at"] for one in held)
    return [
        f"CONFIG: of {len(late)} lookups that were unanswered at timeout_ms, "
        f"{len(held)} had no answer half a second later, the last one after "
        f"{longest:.1f} s"
    ]


if __name__ == "__main__":
    run.main(run_case, RECORD, os.environ.get("TROUBLE") != "0")
