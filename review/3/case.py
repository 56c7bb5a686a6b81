"""Hosts use a worker whose entry was removed while their zone was cut off."""

import asyncio
import itertools
import os
import pathlib

import aiohttp

from review.common import deployment as deployments
from review.common import run
from soak import proxy
from standins import workers

RECORD = pathlib.Path(__file__).with_name("record.txt")
"""What was sent, answered and run."""

ROUNDS = 7
CUT_SECONDS = 4.0
"""Length of the cut of the zone; at most 5.5 s in the site file."""

REMOVED_SECONDS = 3.0
"""Time from the start of the cut to the removal of an entry."""

SERVING_SECONDS = 9.0
"""Time for which a worker serves on after the removal of its entry."""

SETTLE_SECONDS = 1.0
PAUSE_SECONDS = 0.1
"""Time between two requests of a caller."""

WORK_MS = 400.0
"""Time that a request takes at a worker."""

HOSTS = 3
STAYING = 1
"""Workers that stay; they are in the zone of the hosts."""

CALLERS_PER_HOST = 5

CONFIG = {
    "version": 3,
    "routes": [
        {
            "name": name,
            "host": "desk.example",
            "path_prefix": f"/{name}/",
            "kind": kind,
            "service": "ledger",
            "timeout_ms": 1500,
            "slo_ms": 125,
            "priority": 2,
            "max_attempts": attempts,
        }
        for name, kind, attempts in (
            ("lookup", "idempotent", 2),
            ("order", "non_idempotent", 1),
        )
    ],
    "services": [{"name": "ledger", "max_conns": 110}],
}


class Callers:
    """Clients that send requests to each host."""

    def __init__(self, hosts: list, record: run.Record) -> None:
        self._record = record
        self._numbers = itertools.count()
        self._tasks = [
            asyncio.ensure_future(self._call(host))
            for host in hosts
            for _ in range(CALLERS_PER_HOST)
        ]
        self.host_by_attempt: dict[str, str] = {}
        self.statuses: dict[str, object] = {}

    async def _call(self, host) -> None:
        async with aiohttp.ClientSession() as session:
            while True:
                number = next(self._numbers)
                name = "order" if number % 4 else "lookup"
                await self._send(session, host, name, f"{number:016x}")
                await asyncio.sleep(PAUSE_SECONDS)

    async def _send(self, session, host, name: str, attempt: str) -> None:
        self.host_by_attempt[attempt] = host.name
        self._record.add("sent", attempt=attempt, host=host.name, route=name)
        headers = {
            "Host": "desk.example",
            "Chervilshore-Attempt-Id": attempt,
            "Chervilshore-Deadline-Ms": "1500",
        }
        url = f"http://{host.address}/{name}/{attempt}"
        try:
            async with session.post(url, headers=headers, data=b"x") as got:
                await got.read()
                status = got.status
        except aiohttp.ClientError as error:
            status = type(error).__name__
        self.statuses[attempt] = status
        self._record.add("answered", attempt=attempt, status=status)

    def stop(self) -> None:
        """Send nothing more."""
        for task in self._tasks:
            task.cancel()


async def run_case(
    folder: pathlib.Path, record: run.Record, with_trouble: bool
) -> list[str]:
    """Remove the entry of a worker during each of several cuts."""
    deployment = deployments.Deployment(folder, ["a"] * HOSTS)
    loop = asyncio.get_running_loop()
    callers = None
    checks = []
    try:
        await deployment.start(CONFIG)
        for number in range(STAYING):
            stays = workers.Worker(f"stays-{number}", millis=WORK_MS)
            await deployment.add_worker(stays, "ledger", "a")
        callers = Callers(deployment.hosts, record)
        for number in range(ROUNDS):
            leaves = workers.Worker(f"leaves-{number}", millis=WORK_MS)
            link = await deployment.add_linked_worker(leaves, "ledger", "b")
            # All that the cut parts from the hosts: the store and zone b.
            parted = [link, *(one.store_link for one in deployment.hosts)]
            record.add("worker listed", worker=leaves.name)
            await asyncio.sleep(SETTLE_SECONDS)
            if with_trouble:
                record.add("zone cut off")
                for one in parted:
                    one.set_mode(proxy.Mode.RESET)
            await asyncio.sleep(REMOVED_SECONDS)
            await deployment.store.remove("servers", leaves.name)
            removed_at = loop.time()
            record.add("entry removed", worker=leaves.name)
            await asyncio.sleep(CUT_SECONDS - REMOVED_SECONDS)
            for one in parted:
                one.set_mode(proxy.Mode.PASS)
            healed_at = loop.time()
            record.add("zone back")
            await asyncio.sleep(removed_at + SERVING_SECONDS - loop.time())
            in_touch_at = healed_at + deployments.STABLE_SECONDS
            if not with_trouble:
                in_touch_at = 0.0
            since = max(removed_at + deployments.DRAIN_SECONDS, in_touch_at)
            checks.append((leaves, removed_at, since))
            await leaves.stop()
            record.add("worker ended", worker=leaves.name)
        callers.stop()
        return check(checks, callers, record)
    finally:
        if callers is not None:
            callers.stop()
        await deployment.stop()


def check(checks: list, callers: Callers, record: run.Record) -> list[str]:
    """Return the requests that reached workers too late after removal."""
    broken = []
    for worker, removed_at, since in checks:
        late = {
            attempt: round(at - removed_at, 2)
            for at, attempt in worker.arrivals
            if at > since
        }
        if not late:
            continue
        # The worker was at work on them when it exited.
        lost = [one for one in late if callers.statuses.get(one) != 200]
        hosts = sorted({callers.host_by_attempt[one] for one in late})
        record.add("late", worker=worker.name, late=late, lost=lost)
        broken.append(
            f"DRAIN: {len(late)} requests reached {worker.name} up to "
            f"{max(late.values())} s after the removal of its entry, from "
            f"{hosts}; {len(lost)} of them were lost as it exited"
        )
    return broken


if __name__ == "__main__":
    run.main(run_case, RECORD, os.environ.get("TROUBLE") != "0")
