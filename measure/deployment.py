"""Start, disturb and stop a deployment of plain processes on loopback."""

import asyncio
import contextlib
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile

import aiohttp
import msgspec

from chervilshore import ids
from chervilshore import records
from chervilshore import reports
from measure import plans
from standins import fleet
from standins import network

ROOT = pathlib.Path(__file__).resolve().parent.parent

PORTS = (15_000, 32_000)
"""The ports that servers are given."""

_GIVEN: set[int] = set()
"""Ports given out before, as their servers may not have begun to listen."""

START_SECONDS = 20.0
"""Seconds in which a deployment must be ready."""

STOP_SECONDS = 10.0
"""Seconds in which a process must end after SIGTERM."""


def find_ports(count: int) -> list[int]:
    """Find ports on loopback that nothing uses now.

    They lie below those that the system gives to outgoing connections, as
    one of these could take a port before its server does.
    """
    with contextlib.ExitStack() as stack:
        ports = []
        while len(ports) < count:
            free = stack.enter_context(socket.socket())
            port = random.SystemRandom().randrange(*PORTS)
            if port in _GIVEN:
                continue
            _GIVEN.add(port)
            with contextlib.suppress(OSError):
                free.bind(("127.0.0.1", port))
                ports.append(port)
        return ports


class Host:
    """One entry host and its daemon's process."""

    def __init__(
        self, name: str, domain: str, number: str, ports: list[int]
    ) -> None:
        self.name = name
        self.domain = domain
        self.number = number
        self.ports = ports
        self.http = f"127.0.0.1:{ports[0]}"
        self.peer = f"127.0.0.1:{ports[1]}"
        self.listen = f"127.0.0.1:{ports[2]}"
        self.process: asyncio.subprocess.Process | None = None

    def make_record(self) -> records.HostRecord:
        """Make the host's entry in the host list."""
        return records.HostRecord(
            host=ids.HostId(self.name),
            domain=ids.DomainId(self.domain),
            peer_address=ids.Address(self.peer),
            http_address=ids.Address(self.http),
        )


class Deployment:
    """A platform, endpoints and entry hosts, each a plain process.

    The stand-ins of one failure domain share a process; every daemon has
    its own.

    Parameters
    ----------
    plan : Plan
        What to start.
    settings : dict of str to str
        Flags that every daemon gets besides.
    cold : bool
        Whether endpoints start cold.
    """

    def __init__(
        self,
        plan: plans.Plan,
        settings: dict[str, str] | None = None,
        cold: bool = False,
    ) -> None:
        self.plan = plan
        self.hosts: list[Host] = []
        self.endpoints: dict[str, records.EndpointRecord] = {}
        self.logs = pathlib.Path(tempfile.mkdtemp(prefix="chervilshore-"))
        self.platform = ""
        self.network = ""
        # Each domain's hosts connect from a local IP number of their own,
        # so that what they reach can be cut off from them.
        self.numbers = {
            domain: f"127.0.{turn + 1}.1"
            for turn, domain in enumerate(plan.domains)
        }
        self._settings = settings or {}
        self._cold = cold
        self._specs: dict[str, list[fleet.Spec]] = {}
        self._standins: list[asyncio.subprocess.Process] = []
        self._session: aiohttp.ClientSession | None = None
        self._lay_out()

    def _lay_out(self) -> None:
        plan = self.plan
        workers = sum(pool.workers for pool in plan.pools)
        ports = find_ports(2 + workers + 3 * plan.hosts)
        platform = ports.pop()
        self.platform = f"127.0.0.1:{platform}"
        self._specs["platform"] = [
            fleet.Spec("platform", "platform", platform)
        ]
        turn = 0
        for pool in plan.pools:
            for number in range(pool.workers):
                domain = plan.domains[turn % len(plan.domains)]
                turn += 1
                self._add_endpoint(
                    pool, f"{pool.name}-{number + 1}", domain, ports.pop()
                )
        for number in range(plan.hosts):
            domain = plan.domains[number % len(plan.domains)]
            name = f"{domain}-{number // len(plan.domains) + 1}"
            number_there = self.numbers[domain]
            own = [ports.pop(), ports.pop(), ports.pop()]
            self.hosts.append(Host(name, domain, number_there, own))
        self._lay_network(ports.pop())

    def _lay_network(self, port: int) -> None:
        lines = [
            network.HostRelay(host.ports[1], host.ports[2], host.number)
            for host in self.hosts
        ]
        self.network = f"127.0.0.1:{port}"
        self._specs["network"] = [
            fleet.Spec("network", "network", port, lines=lines)
        ]

    def _add_endpoint(
        self, pool: plans.PoolPlan, name: str, domain: str, port: int
    ) -> None:
        self.endpoints[name] = records.EndpointRecord(
            endpoint=ids.EndpointId(name),
            pool=ids.PoolName(pool.name),
            domain=ids.DomainId(domain),
            address=ids.Address(f"127.0.0.1:{port}"),
        )
        spec = fleet.Spec(pool.kind, name, port, pool.shape, cold=self._cold)
        self._specs.setdefault(domain, []).append(spec)

    async def __aenter__(self) -> "Deployment":
        """Start everything and apply the example rules."""
        self._session = aiohttp.ClientSession()
        try:
            starts = map(self._start_standins, self._specs.values())
            await asyncio.gather(*starts)
            await self.apply(ROOT / "examples" / f"{self.plan.name}.rules")
            await self.publish_hosts()
            for host in self.hosts:
                await self.start(host)
            await self.wait_ready()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *unused) -> None:
        """Stop everything that was started."""
        processes = [host.process for host in self.hosts if host.process]
        for process in [*processes, *self._standins]:
            if process.returncode is None:
                process.kill()
                await process.wait()
        await self._session.close()

    async def _start_standins(self, specs: list[fleet.Spec]) -> None:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "standins.fleet",
            msgspec.json.encode(specs).decode(),
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
        )
        self._standins.append(process)
        await asyncio.wait_for(process.stdout.readline(), START_SECONDS)

    async def start(self, host: Host) -> None:
        """Start a daemon."""
        flags = {
            "--host": host.name,
            "--domain": host.domain,
            "--http-address": host.http,
            "--peer-address": host.peer,
            "--peer-listen": host.listen,
            "--source-ip": host.number,
            "--platform": self.platform,
            **self._settings,
        }
        words = [f"{flag}={value}" for flag, value in flags.items()]
        with open(self.logs / f"{host.name}.log", "a") as log:
            host.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "chervilshore.daemon",
                *words,
                cwd=ROOT,
                stdout=log,
                stderr=log,
            )

    async def kill(self, host: Host) -> None:
        """End a daemon without warning."""
        host.process.kill()
        await host.process.wait()

    async def drain(self, host: Host) -> int:
        """Shut a daemon down gracefully.

        Returns
        -------
        int
            Its exit status.
        """
        host.process.send_signal(signal.SIGTERM)
        return await asyncio.wait_for(host.process.wait(), STOP_SECONDS)

    def pause(self, host: Host) -> None:
        """Freeze a daemon."""
        host.process.send_signal(signal.SIGSTOP)

    def resume(self, host: Host) -> None:
        """Let a frozen daemon go on."""
        host.process.send_signal(signal.SIGCONT)

    def list_records(self) -> list[records.HostRecord]:
        """List the hosts for the platform's list."""
        return [host.make_record() for host in self.hosts]

    async def publish_hosts(
        self, leaving: frozenset[str] = frozenset()
    ) -> None:
        """Give the platform its list of hosts and endpoints.

        Parameters
        ----------
        leaving : frozenset of str
            The endpoints that are marked as leaving.
        """
        host_list = records.HostList(
            hosts=tuple(self.list_records()),
            endpoints=tuple(
                msgspec.structs.replace(
                    record, state=records.EndpointState.LEAVING
                )
                if name in leaving
                else record
                for name, record in self.endpoints.items()
            ),
        )
        data = msgspec.json.encode(host_list)
        url = f"http://{self.platform}/standin/hosts"
        async with self._session.put(url, data=data) as response:
            response.raise_for_status()

    async def run_tool(self, *words: str) -> tuple[int, str]:
        """Run the command-line tool.

        Returns
        -------
        tuple of (int, str)
            Its exit status and what it printed.
        """
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "chervilshore.cmdline",
            *words,
            cwd=ROOT,
            env={**os.environ, "CHERVILSHORE_PLATFORM": self.platform},
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        output, _ = await process.communicate()
        return process.returncode, output.decode()

    async def apply(self, path: pathlib.Path) -> None:
        """Have a rules file accepted, before there are any hosts."""
        status, output = await self.run_tool(
            "apply", str(path), "--reason", "first rules", "--timeout", "0.5"
        )
        # Without hosts it can be accepted but not yet be in force.
        if status not in (reports.ExitCode.DONE, reports.ExitCode.LAGGING):
            raise RuntimeError(f"apply ended with {status}:\n{output}")

    async def wait_ready(self) -> None:
        """Wait until every daemon says that it is ready."""
        async with asyncio.timeout(START_SECONDS):
            for host in self.hosts:
                while not await self._is_ready(host):
                    await asyncio.sleep(0.05)

    async def _is_ready(self, host: Host) -> bool:
        if host.process.returncode is not None:
            log = (self.logs / f"{host.name}.log").read_text()
            raise RuntimeError(f"{host.name} has ended:\n{log[-2000:]}")
        try:
            url = f"http://{host.http}/health/ready"
            async with self._session.get(url) as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False

    async def read_state(self, host: Host) -> dict:
        """Read a daemon's admin view."""
        url = f"http://{host.http}/admin/state"
        async with self._session.get(url) as response:
            return await response.json()

    async def set_faults(self, endpoint: str, **faults) -> None:
        """Turn fault knobs of an endpoint's stand-in."""
        await self._post(self.endpoints[endpoint].address, "faults", faults)

    async def turn_cold(self, endpoint: str) -> None:
        """Let an endpoint become cold without a word."""
        await self._post(self.endpoints[endpoint].address, "cold", {})

    async def set_platform(self, **knobs) -> None:
        """Turn fault knobs of the platform's stand-in."""
        await self._post(self.platform, "faults", knobs)

    async def cut(self, domain: str) -> None:
        """Cut a domain off from all others and from the platform."""
        number = self.numbers[domain]
        others = [other for other in self.numbers.values() if other != number]
        for name, record in self.endpoints.items():
            inside = record.domain == domain
            await self.set_faults(name, cut=others if inside else [number])
        await self.set_platform(cut=[number])
        await self._post(self.network, "faults", {"cut": [number]})

    async def heal(self) -> None:
        """End every cut."""
        for name in self.endpoints:
            await self.set_faults(name, cut=[])
        await self.set_platform(cut=[])
        await self._post(self.network, "faults", {"cut": []})

    async def count(self, endpoint: str) -> dict:
        """Read what an endpoint's stand-in has counted."""
        return await self._read_counts(self.endpoints[endpoint].address)

    async def read_orders(self, pool: str) -> dict[str, list]:
        """Read the orders that a pool's engines have taken, by name."""
        found = {}
        for name, record in self.endpoints.items():
            if record.pool == pool:
                url = f"http://{record.address}/standin/orders"
                async with self._session.get(url) as response:
                    found[name] = await response.json()
        return found

    async def count_pool(self, pool: str) -> dict[str, dict]:
        """Read the counts of a pool's endpoints, by name."""
        return {
            name: await self.count(name)
            for name, record in self.endpoints.items()
            if record.pool == pool
        }

    async def count_platform(self) -> dict:
        """Read how often the platform was called."""
        return await self._read_counts(self.platform)

    async def _post(self, address: str, knob: str, body: dict) -> None:
        url = f"http://{address}/standin/{knob}"
        async with self._session.post(url, json=body) as response:
            response.raise_for_status()

    async def _read_counts(self, address: str) -> dict:
        url = f"http://{address}/standin/counts"
        async with self._session.get(url) as response:
            return await response.json()
