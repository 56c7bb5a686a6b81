"""Random faults that are injected from outside the daemons."""

import asyncio
import itertools
import random
import signal

from soak import deployment as deployments
from soak import proxy
from standins import repeats
from standins import site
from standins import workerfaults

MODES = (
    *proxy.LOSSLESS_MODES,
    proxy.Mode.RESET,
    proxy.Mode.SILENT,
    proxy.Mode.ONE_WAY,
)
"""Modes from which a link fault is chosen."""

STALL_SECONDS = (0.05, 1.5)
"""Bounds of the time for which processes stand still."""

MAX_STALLS = 5
"""Longest series of stalls."""

REFUSALS = 1_000_000
"""Requests that a worker refuses while it refuses all."""

WEIGHTS = {"repeat": 4, "refuse_all": 2, "slow_links": 2, "stall": 2}
"""Relative frequencies of faults; those of the others are 1."""

REPEATS = (
    *(
        repeats.Repeat(refused, named, elsewhere, later)
        for refused, named, elsewhere, later in itertools.product(
            (True, False), repeat=4
        )
        # An answer that does not name its request is no repeat of a sound
        # one.
        if refused or named
    ),
    repeats.Repeat(elsewhere=True, fresh=True),
    repeats.Repeat(named=False, elsewhere=True, fresh=True),
)
"""Which responses a faulty worker writes once more."""


class Faults:
    """Injects faults in sequence; some of them overlap.

    Parameters
    ----------
    deployment : Deployment
        The deployment in which faults are injected.
    rng : random.Random
        Chooses the faults and their durations.
    only : tuple of str
        Names of the faults to choose from; empty for all.

    Attributes
    ----------
    history : list of str
        The names of the injected faults, in order.
    """

    def __init__(
        self,
        deployment: deployments.Deployment,
        rng: random.Random,
        only: tuple[str, ...] = (),
    ) -> None:
        self.history: list[str] = []
        self._deployment = deployment
        self._random = rng
        self._active_faults: set[asyncio.Task] = set()
        choices = {
            "kill": self._kill,
            "terminate": self._terminate,
            "pause": self._pause,
            "stall": self._stall,
            "hang_up": self._hang_up,
            "store_link": self._disturb_store_link,
            "peer_link": self._disturb_peer_link,
            "worker_link": self._disturb_worker_link,
            "caller_link": self._disturb_caller_link,
            "slow_links": self._slow_links,
            "cut_paths": self._cut_paths,
            "break_worker": self._break_worker,
            "break_resumed": self._break_resumed,
            "refuse_all": self._refuse_all,
            "repeat": self._repeat,
            "renew_worker": self._renew_worker,
            "drain_worker": self._drain_worker,
            "store": self._disturb_store,
            "configure": self._configure,
            "evacuate": self._evacuate,
        }
        self._choices = {
            name: fault
            for name, fault in choices.items()
            if name in (only or choices)
        }

    async def run(self, seconds: float) -> None:
        """Inject faults for a time, then wait until all of them ended."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + seconds
        while loop.time() < deadline:
            (name,) = self._random.choices(
                tuple(self._choices),
                [WEIGHTS.get(name, 1) for name in self._choices],
            )
            self.history.append(name)
            task = asyncio.ensure_future(self._choices[name]())
            self._active_faults.add(task)
            task.add_done_callback(self._active_faults.discard)
            await asyncio.sleep(self._random.uniform(0.1, 1.2))
        await asyncio.gather(*self._active_faults)

    async def _wait_random_time(self, max_seconds: float = 2.5) -> None:
        await asyncio.sleep(self._random.uniform(0.3, max_seconds))

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
        await self._wait_random_time()
        host.send_signal(signal.SIGCONT)

    async def _stall(self) -> None:
        """Let several hosts stand still at once, perhaps again and again.

        One of them, or another one, may be restarted or drained meanwhile.
        """
        hosts = self._random.sample(
            self._deployment.hosts,
            self._random.randint(1, len(self._deployment.hosts)),
        )
        restart = None
        if self._random.random() < 0.3:
            number = self._random.choice((signal.SIGKILL, signal.SIGTERM))
            restart = asyncio.ensure_future(self._pick_host().restart(number))
        for _ in range(self._random.randint(1, MAX_STALLS)):
            for host in hosts:
                host.send_signal(signal.SIGSTOP)
            await asyncio.sleep(self._random.uniform(*STALL_SECONDS))
            for host in hosts:
                host.send_signal(signal.SIGCONT)
            await asyncio.sleep(self._random.uniform(0.01, 0.3))
        if restart is not None:
            await restart

    async def _hang_up(self) -> None:
        self._pick_host().send_signal(signal.SIGHUP)

    async def _disturb(
        self, link: proxy.Proxy, modes: tuple[proxy.Mode, ...] = MODES
    ) -> None:
        mode = self._random.choice(modes)
        link.set_mode(mode)
        await self._wait_random_time()
        link.set_mode(proxy.Mode.PASS)
        if mode not in proxy.LOSSLESS_MODES:
            # Connections that lost bytes can't continue; a network failure
            # also ends its connections.
            link.cut()

    async def _slow_links(self) -> None:
        """Let several links of all kinds be slow at once; no byte is lost."""
        links = [
            link
            for host in self._deployment.hosts
            for link in (host.front, host.store, host.peer)
        ]
        links += [worker.proxy for worker in self._deployment.workers]
        chosen = self._random.sample(links, len(links) // 2)
        await asyncio.gather(
            *(self._disturb(link, proxy.LOSSLESS_MODES) for link in chosen)
        )

    async def _disturb_caller_link(self) -> None:
        await self._disturb(self._pick_host().front)

    async def _disturb_store_link(self) -> None:
        await self._disturb(self._pick_host().store)

    async def _disturb_peer_link(self) -> None:
        await self._disturb(self._pick_host().peer)

    async def _disturb_worker_link(self) -> None:
        await self._disturb(self._pick_worker().proxy)

    async def _cut_paths(self) -> None:
        """Cut a host, or all of a domain, off from some or all workers."""
        host = self._pick_host()
        hosts = [host]
        if self._random.random() < 0.5:
            hosts = [
                one for one in self._deployment.hosts if one.zone == host.zone
            ]
        mode = self._random.choice(MODES)
        workers = self._random.sample(
            self._deployment.workers,
            self._random.choice((3, len(self._deployment.workers))),
        )
        links = [worker.proxy for worker in workers]
        for link in links:
            for one in hosts:
                link.set_source_mode(one.source_ip, mode)
        await self._wait_random_time(5.0)
        for link in links:
            for one in hosts:
                link.mend_source(one.source_ip)

    async def _break_worker(self) -> None:
        faults = self._pick_worker().worker.faults
        name = self._random.choice(
            (
                "shed",
                "fail",
                "gone",
                "mute",
                "reset",
                "unmarked",
                "cut_after",
                "extra",
                "cut_body",
            )
        )
        setattr(faults, name, 3)
        await self._wait_random_time()
        setattr(faults, name, -1 if name == "cut_after" else 0)

    async def _break_service(
        self, service: str, max_seconds: float = 2.5, **changes
    ) -> None:
        """Set faults of all workers of a service for a time."""
        found = [
            worker.worker.faults
            for worker in self._deployment.workers
            if worker.service == service
        ]
        for faults in found:
            for name, value in changes.items():
                setattr(faults, name, value)
        await self._wait_random_time(max_seconds)
        sound = workerfaults.WorkerFaults()
        for faults in found:
            for name in changes:
                setattr(faults, name, getattr(sound, name))

    async def _break_resumed(self) -> None:
        """Let streams break off, and answer what goes on with an error."""
        await self._break_service("llm", cut_new=3, fail_resumed=REFUSALS)

    async def _refuse_all(self) -> None:
        """Let workers refuse what comes, as if full or without inputs."""
        service = self._random.choice(tuple(deployments.SLOTS))
        name = self._random.choice(("shed", "gone"))
        await self._break_service(service, 5.0, **{name: REFUSALS})

    async def _repeat(self) -> None:
        """Let workers write earlier responses once more."""
        service = self._random.choice(("ledger", "ledger", "llm"))
        repeat = self._random.choice(REPEATS)
        await self._break_service(service, repeat=repeat)

    async def _renew_worker(self) -> None:
        await self._deployment.restart_worker(self._pick_worker())

    async def _drain_worker(self) -> None:
        worker = self._pick_worker()
        await worker.register(self._deployment.store, "draining")
        await self._wait_random_time()
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
        await self._wait_random_time()
        faults.refuse, faults.silent, faults.lose = 0, False, 0

    async def _configure(self) -> None:
        await self._deployment.configure()

    async def _evacuate(self) -> None:
        zone = self._random.choice(site.ZONES)
        store = self._deployment.store
        await store.write("evacuations", zone, {})
        await self._wait_random_time()
        await store.remove("evacuations", zone)
