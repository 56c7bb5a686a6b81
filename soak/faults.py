"""Faults from outside the daemons, drawn by a seed."""

import asyncio
import random
import signal

from soak import deployment as deployments
from soak import proxy
from standins import site

MODES = (
    proxy.Mode.DELAY,
    proxy.Mode.RESET,
    proxy.Mode.SILENT,
    proxy.Mode.ONE_WAY,
)


class Faults:
    """Injects faults, some after and some on top of each other.

    Parameters
    ----------
    deployment : Deployment
        What is disturbed.
    generator : random.Random
        Chooses them.

    Attributes
    ----------
    story : list of str
        What was done, in order.
    """

    def __init__(
        self, deployment: deployments.Deployment, generator: random.Random
    ) -> None:
        self.story: list[str] = []
        self._deployment = deployment
        self._random = generator
        self._running: set[asyncio.Task] = set()
        self._choices = (
            self._kill,
            self._terminate,
            self._pause,
            self._hang_up,
            self._disturb_store_link,
            self._disturb_peer_link,
            self._disturb_worker_link,
            self._break_worker,
            self._renew_worker,
            self._drain_worker,
            self._disturb_store,
            self._configure,
            self._evacuate,
        )

    async def run(self, seconds: float) -> None:
        """Inject faults for a time, then wait until all have healed."""
        loop = asyncio.get_running_loop()
        ends = loop.time() + seconds
        while loop.time() < ends:
            fault = self._random.choice(self._choices)
            self.story.append(fault.__name__.strip("_"))
            task = asyncio.ensure_future(fault())
            self._running.add(task)
            task.add_done_callback(self._running.discard)
            await asyncio.sleep(self._random.uniform(0.1, 1.2))
        await asyncio.gather(*self._running)

    async def _hold(self, most: float = 2.5) -> None:
        await asyncio.sleep(self._random.uniform(0.3, most))

    def _pick_host(self) -> deployments.Host:
        return self._random.choice(self._deployment.hosts)

    def _pick_worker(self) -> deployments.Worker:
        return self._random.choice(self._deployment.workers)

    async def _kill(self) -> None:
        await self._pick_host().restart(signal.SIGKILL)

    async def _terminate(self) -> None:
        await self._pick_host().restart(signal.SIGTERM)

    async def _pause(self) -> None:
        host = self._pick_host()
        host.send_signal(signal.SIGSTOP)
        await self._hold()
        host.send_signal(signal.SIGCONT)

    async def _hang_up(self) -> None:
        self._pick_host().send_signal(signal.SIGHUP)

    async def _disturb(self, link: proxy.Proxy) -> None:
        link.set_mode(self._random.choice(MODES))
        await self._hold()
        link.set_mode(proxy.Mode.PASS)
        # What was silenced stays spoilt; a real cut ends it too.
        link.cut()

    async def _disturb_store_link(self) -> None:
        await self._disturb(self._pick_host().store)

    async def _disturb_peer_link(self) -> None:
        await self._disturb(self._pick_host().peer)

    async def _disturb_worker_link(self) -> None:
        await self._disturb(self._pick_worker().proxy)

    async def _break_worker(self) -> None:
        faults = self._pick_worker().worker.faults
        name = self._random.choice(
            ("shed", "fail", "reset", "cut_after", "extra", "cut_body")
        )
        setattr(faults, name, 3)
        await self._hold()
        setattr(faults, name, -1 if name == "cut_after" else 0)

    async def _renew_worker(self) -> None:
        await self._deployment.restart_worker(self._pick_worker())

    async def _drain_worker(self) -> None:
        worker = self._pick_worker()
        await worker.register(self._deployment.store, "draining")
        await self._hold()
        await worker.register(self._deployment.store, "ready")

    async def _disturb_store(self) -> None:
        faults = self._deployment.store.faults
        choice = self._random.choice(("refuse", "silent", "lose", "compact"))
        if choice == "compact":
            self._deployment.store.compact()
        elif choice == "refuse":
            faults.refuse = self._random.choice((429, 503))
        else:
            setattr(faults, choice, 2)
        await self._hold()
        faults.refuse, faults.silent, faults.lose = 0, False, 0

    async def _configure(self) -> None:
        await self._deployment.configure()

    async def _evacuate(self) -> None:
        zone = self._random.choice(site.ZONES)
        store = self._deployment.store
        await store.write("evacuations", zone, {})
        await self._hold()
        await store.remove("evacuations", zone)
