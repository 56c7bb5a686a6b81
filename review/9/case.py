"""Settings with a fraction among the bounds keep the daemon from starting."""

import asyncio
import signal
import time

from review.harness import deployment
from review.harness import parties

ROUTE = "billing"
RETRY_WINDOW_S = 10
CHANGED_RETRY_WINDOW_S = 7.5
RESTART_S = 0.5
"""Delay after which the platform starts a process that has ended again."""

GRACE_S = 8.0
GAP_S = 3.0
WATCH_S = 12.0
ENDS = 3
"""Ends by itself in the day that count, on two machines at least."""


class Supervisor:
    """Starts a process again whenever it has ended, as the platform does."""

    def __init__(self, host, record: deployment.Record) -> None:
        self.host = host
        self.own_ends = 0
        self._record = record
        self._stopping = False

    async def run(self) -> None:
        """Watch the process."""
        while True:
            status = await self.host.process.wait()
            if not self._stopping:
                self.own_ends += 1
            self._record.add(
                f"{self.host.name} ended with {status}, "
                f"{'stopped' if self._stopping else 'by itself'}"
            )
            self._stopping = False
            await asyncio.sleep(RESTART_S)
            await self.host.start()

    async def stop(self) -> None:
        """Send SIGTERM, and SIGKILL after the grace; see `run`."""
        self._record.add(f"SIGTERM to {self.host.name}")
        self._stopping = True
        process = self.host.process
        self.host.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_S):
                await process.wait()
        except TimeoutError:
            process.kill()


async def run(folder, record: deployment.Record, trouble: bool) -> bool:
    """Play the case; return whether the rule was broken."""
    store, store_address = await deployment.start_store()
    worker = parties.PlainWorker("w1", record)
    routes = [
        deployment.make_route(
            ROUTE, "visit-ledger", "non_idempotent", timeout_ms=1500
        )
    ]
    services = [{"name": "visit-ledger", "max_conns": 48}]
    await store.write(
        "config", "main", deployment.make_config(1, routes, services)
    )
    await deployment.register(
        store, "w1", "visit-ledger", "a", await worker.start(), 6
    )
    hosts = [
        deployment.Host(f"front-{zone}-1", zone, folder) for zone in "abc"
    ]
    seeds = [host.control for host in hosts]
    for host in hosts:
        host.write_settings(store_address, seeds)
        await host.start()
    for host in hosts:
        await host.wait_ready()
    supervisors = [Supervisor(host, record) for host in hosts]
    tasks = [asyncio.ensure_future(one.run()) for one in supervisors]
    await asyncio.sleep(4.0)
    for host in hosts:
        window_s = CHANGED_RETRY_WINDOW_S if trouble else RETRY_WINDOW_S
        host.write_settings(store_address, seeds, {"retry_window_s": window_s})
        host.send_signal(signal.SIGHUP)
        record.add(
            f"SIGHUP to {host.name}: its settings have retry_window_s "
            f"{window_s}"
        )
    await asyncio.sleep(GAP_S)
    for supervisor in supervisors:
        await supervisor.stop()
        await asyncio.sleep(GAP_S)
    end = time.monotonic() + WATCH_S
    outcomes = []
    while time.monotonic() < end:
        for host in hosts:
            attempt = f"{len(outcomes):016x}"
            outcomes.append(
                await parties.send(host.front, attempt, ROUTE, record)
            )
        await asyncio.sleep(1.0)
    for task in tasks:
        task.cancel()
    served = outcomes.count("200")
    record.add(f"{served} of {len(outcomes)} requests were served at the end")
    ended = [one for one in supervisors if one.own_ends >= ENDS]
    for one in supervisors:
        record.add(f"{one.host.name} ended by itself {one.own_ends} times")
    return len(ended) >= 2
