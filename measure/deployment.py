"""Starts a deployment of local processes, injects faults and stops it."""

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

PORT_RANGE = (15_000, 32_000)
"""Range of the ports that servers listen on, without its end."""

_ALLOCATED_PORTS: set[int] = set()
"""Ports tried before; their servers may not be listening yet."""

START_TIMEOUT_S = 20.0
"""Seconds to wait until a started deployment is ready."""

STOP_TIMEOUT_S = 10.0
"""Seconds to wait until a process ends after SIGTERM."""


def find_ports(count: int) -> list[int]:
    """Return ports on loopback that are not in use.

    They lie below the system's range for outgoing connections: one of
    those could take a port before the server binds it.
    """
    with contextlib.ExitStack() as stack:
        ports = []
        while len(ports) < count:
            probe = stack.enter_context(socket.socket())
            port = random.SystemRandom().randrange(*PORT_RANGE)
            if port in _ALLOCATED_PORTS:
                continue
            _ALLOCATED_PORTS.add(port)
            with contextlib.suppress(OSError):
                probe.bind(("127.0.0.1", port))
                ports.append(port)
        return ports


class Host:
    """An entry host, which connects from `source_ip`, and its daemon.

    Its ports are for HTTP, of the advertised peer address, and to listen
    on for peers.
    """

    def __init__(
        self, name: str, domain: str, source_ip: str, ports: list[int]
    ) -> None:
        self.name = name
        self.domain = domain
        self.source_ip = source_ip
        self.ports = ports
        self.http_address = f"127.0.0.1:{ports[0]}"
        self.peer_address = f"127.0.0.1:{ports[1]}"
        self.listen_address = f"127.0.0.1:{ports[2]}"
        self.process: asyncio.subprocess.Process | None = None

    def make_record(self) -> records.HostRecord:
        """Return the host's entry for the host list."""
        return records.HostRecord(
            host=ids.HostId(self.name),
            domain=ids.DomainId(self.domain),
            peer_address=ids.Address(self.peer_address),
            http_address=ids.Address(self.http_address),
        )


class Deployment:
    """A platform, a network, endpoints and entry hosts as local processes.

    The stand-ins of the endpoints of one failure domain share a process;
    each daemon has a process of its own.

    Parameters
    ----------
    plan : Plan
        What to start.
    settings : dict of str to str
        Additional command-line flags of every daemon.
    cold : bool
        Whether endpoints start cold.

    Attributes
    ----------
    directory : pathlib.Path
        Holds the daemons' logs; it is not deleted.
    platform, network : str
        The addresses of these stand-ins.
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
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="chervilshore-"))
        self.platform = ""
        self.network = ""
        # Stand-ins recognize a caller's domain by its source IP address,
        # and so can reject the callers of an isolated domain.
        self.source_ips = {
            domain: f"127.0.{index + 1}.1"
            for index, domain in enumerate(plan.domains)
        }
        self._settings = settings or {}
        self._cold = cold
        self._specs: dict[str, list[fleet.Spec]] = {}
        self._standin_processes: list[asyncio.subprocess.Process] = []
        self._session: aiohttp.ClientSession | None = None
        self._plan_standins()

    def _plan_standins(self) -> None:
        plan = self.plan
        workers = sum(pool.workers for pool in plan.pools)
        ports = find_ports(2 + workers + 3 * plan.hosts)
        platform_port = ports.pop()
        self.platform = f"127.0.0.1:{platform_port}"
        self._specs["platform"] = [
            fleet.Spec("platform", "platform", platform_port)
        ]
        index = 0
        for pool in plan.pools:
            for number in range(pool.workers):
                domain = plan.domains[index % len(plan.domains)]
                index += 1
                self._add_endpoint(
                    pool, f"{pool.name}-{number + 1}", domain, ports.pop()
                )
        for number in range(plan.hosts):
            domain = plan.domains[number % len(plan.domains)]
            name = f"{domain}-{number // len(plan.domains) + 1}"
            source_ip = self.source_ips[domain]
            host_ports = [ports.pop(), ports.pop(), ports.pop()]
            self.hosts.append(Host(name, domain, source_ip, host_ports))
        self._plan_network(ports.pop())

    def _plan_network(self, port: int) -> None:
        lines = [
            network.HostRelay(host.ports[1], host.ports[2], host.source_ip)
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
        """Start all processes and apply the example rules of the plan."""
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
        """Kill all processes."""
        processes = [host.process for host in self.hosts if host.process]
        for process in [*processes, *self._standin_processes]:
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
        self._standin_processes.append(process)
        await asyncio.wait_for(process.stdout.readline(), START_TIMEOUT_S)

    async def start(self, host: Host) -> None:
        """Start the daemon of a host; its log is appended to."""
        flags = {
            "--host": host.name,
            "--domain": host.domain,
            "--http-address": host.http_address,
            "--peer-address": host.peer_address,
            "--peer-listen": host.listen_address,
            "--source-ip": host.source_ip,
            "--platform": self.platform,
            **self._settings,
        }
        arguments = [f"{flag}={value}" for flag, value in flags.items()]
        with open(self.directory / f"{host.name}.log", "a") as log:
            host.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "chervilshore.daemon",
                *arguments,
                cwd=ROOT,
                stdout=log,
                stderr=log,
            )

    async def kill(self, host: Host) -> None:
        """Kill a daemon with SIGKILL."""
        host.process.kill()
        await host.process.wait()

    async def drain(self, host: Host) -> int:
        """Shut a daemon down with SIGTERM and return its exit status."""
        host.process.send_signal(signal.SIGTERM)
        return await asyncio.wait_for(host.process.wait(), STOP_TIMEOUT_S)

    def pause(self, host: Host) -> None:
        """Suspend a daemon with SIGSTOP."""
        host.process.send_signal(signal.SIGSTOP)

    def resume(self, host: Host) -> None:
        """Continue a daemon that was paused."""
        host.process.send_signal(signal.SIGCONT)

    def list_records(self) -> list[records.HostRecord]:
        """Return the host records to publish; subclasses may add some."""
        return [host.make_record() for host in self.hosts]

    async def publish_hosts(
        self, leaving: frozenset[str] = frozenset()
    ) -> None:
        """Write the host list, with these endpoints marked as leaving."""
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

    async def run_tool(self, *arguments: str) -> tuple[int, str]:
        """Run the command-line tool; return its exit status and output."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "chervilshore.cmdline",
            *arguments,
            cwd=ROOT,
            env={**os.environ, "CHERVILSHORE_PLATFORM": self.platform},
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        output, _ = await process.communicate()
        return process.returncode, output.decode()

    async def apply(self, path: pathlib.Path) -> None:
        """Apply a rules file; called before any host is started."""
        status, output = await self.run_tool(
            "apply", str(path), "--reason", "first rules", "--timeout", "0.5"
        )
        # Without hosts the rules are accepted but not yet active.
        if status not in (reports.ExitCode.DONE, reports.ExitCode.LAGGING):
            raise RuntimeError(f"apply exited with status {status}:\n{output}")

    async def wait_ready(self) -> None:
        """Wait until all daemons are ready; raise if one ends first."""
        async with asyncio.timeout(START_TIMEOUT_S):
            for host in self.hosts:
                while not await self._is_ready(host):
                    await asyncio.sleep(0.05)

    async def _is_ready(self, host: Host) -> bool:
        if host.process.returncode is not None:
            log = (self.directory / f"{host.name}.log").read_text()
            raise RuntimeError(
                f"daemon of {host.name} has ended:\n{log[-2000:]}"
            )
        try:
            url = f"http://{host.http_address}/health/ready"
            async with self._session.get(url) as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False

    async def read_state(self, host: Host) -> dict:
        """Fetch the state that a daemon shows to operators."""
        url = f"http://{host.http_address}/admin/state"
        async with self._session.get(url) as response:
            return await response.json()

    async def set_faults(self, endpoint: str, **faults) -> None:
        """Set faults of an endpoint's stand-in; see `standins.base.Faults`."""
        await self._post(self.endpoints[endpoint].address, "faults", faults)

    async def reset_to_cold(self, endpoint: str) -> None:
        """Make an endpoint cold without notifying any host."""
        await self._post(self.endpoints[endpoint].address, "cold", {})

    async def set_platform_faults(self, **faults) -> None:
        """Set faults of the platform's stand-in."""
        await self._post(self.platform, "faults", faults)

    async def isolate_domain(self, domain: str) -> None:
        """Cut a domain's network to all other domains and to the platform."""
        source_ip = self.source_ips[domain]
        others = [ip for ip in self.source_ips.values() if ip != source_ip]
        for name, record in self.endpoints.items():
            inside = record.domain == domain
            await self.set_faults(name, cut=others if inside else [source_ip])
        await self.set_platform_faults(cut=[source_ip])
        await self._post(self.network, "faults", {"cut": [source_ip]})

    async def reconnect_domains(self) -> None:
        """End the isolation of all domains."""
        for name in self.endpoints:
            await self.set_faults(name, cut=[])
        await self.set_platform_faults(cut=[])
        await self._post(self.network, "faults", {"cut": []})

    async def count(self, endpoint: str) -> dict:
        """Return the counters of an endpoint's stand-in."""
        return await self._read_counts(self.endpoints[endpoint].address)

    async def read_orders(self, pool: str) -> dict[str, list]:
        """Return the orders received by each engine of a pool, by name."""
        orders = {}
        for name, record in self.endpoints.items():
            if record.pool == pool:
                url = f"http://{record.address}/standin/orders"
                async with self._session.get(url) as response:
                    orders[name] = await response.json()
        return orders

    async def count_pool(self, pool: str) -> dict[str, dict]:
        """Return the counters of each endpoint of a pool, by name."""
        return {
            name: await self.count(name)
            for name, record in self.endpoints.items()
            if record.pool == pool
        }

    async def count_platform(self) -> dict:
        """Return the number of calls to the platform, by kind of call."""
        return await self._read_counts(self.platform)

    async def _post(self, address: str, path: str, body: dict) -> None:
        url = f"http://{address}/standin/{path}"
        async with self._session.post(url, json=body) as response:
            response.raise_for_status()

    async def _read_counts(self, address: str) -> dict:
        url = f"http://{address}/standin/counts"
        async with self._session.get(url) as response:
            return await response.json()
