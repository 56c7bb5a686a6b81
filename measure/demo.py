"""Serve a deployment on loopback and check what it promises."""

import argparse
import asyncio
import contextlib
import random
import sys
import time

from chervilshore import client as clients
from chervilshore import results
from measure import deployment as deployments
from measure import load as loads
from measure import plans
from measure import platform_demo

OUT_SECONDS = 2.0
"""Seconds after acceptance in which a domain must have got its last work."""

ORDER_SECONDS = 20.0
"""Seconds in which an order must have reached all engines of a pool."""

PLATFORM = "platform"
"""The deployment that stands before the users' platform."""

RATE = 60.0
"""Requests a second of the traffic behind the checks."""


class Demo:
    """The checks, in the order in which they are shown.

    Parameters
    ----------
    deployment : Deployment
        What is running.
    """

    def __init__(self, deployment: deployments.Deployment) -> None:
        self.broken = 0
        self._deployment = deployment
        self._plan = deployment.plan
        self._left: set[str] = set()

    def list_addresses(self) -> list[str]:
        """List the hosts that the balancer sends to."""
        return [
            host.http_address
            for host in self._deployment.hosts
            if host.name not in self._left
        ]

    def report(self, kept: bool, promise: str, counted: str) -> None:
        """Print one line for a promise."""
        self.broken += not kept
        word = "kept  " if kept else "BROKEN"
        print(f"{word} {promise}: {counted}", flush=True)

    async def run(self) -> None:
        """Run all checks."""
        await self.show_configuration()
        await self.show_report()
        await self.show_instruction()
        await self.show_late_request()
        await self.show_domain()
        await self.show_order()
        await self.show_drain()

    async def show_configuration(self) -> None:
        """One accepted generation is in force on every host."""
        states = [
            await self._deployment.read_state(host)
            for host in self._deployment.hosts
        ]
        found = {state["configuration"]["generation"] for state in states}
        self.report(
            found == {1},
            "configuration in force everywhere",
            f"{len(states)} hosts, generations {sorted(found)}",
        )

    async def show_report(self) -> None:
        """A streamed report of four stages comes whole."""
        kind = loads.RequestKind(
            self._plan.report,
            team=self._plan.teams[0],
            tokens=40,
            is_streamed=True,
            finds_documents=True,
            deadline_ms=5000,
        )
        outcomes = await self._send(kind, 20, 1.0)
        whole = sum(outcome.meets_deadline for outcome in outcomes)
        first = sorted(outcome.first_ms for outcome in outcomes)
        self.report(
            whole == len(outcomes) > 0,
            "whole streamed answers of four stages",
            f"{whole} of {len(outcomes)}, first text at "
            f"{first[len(first) // 2]:.0f} ms in the middle",
        )

    async def show_instruction(self) -> None:
        """An instruction sent three times to three hosts runs once."""
        hosts = random.Random(1).sample(self._deployment.hosts, 3)
        answers = await asyncio.gather(
            *(self._instruct(host.http_address) for host in hosts)
        )
        counts = await self._deployment.count_pool(self._plan.instruction_pool)
        runs = sum(
            count["runs"].get("visit-1", 0) for count in counts.values()
        )
        codes = [answer.code for answer in answers]
        same = len({str(answer.result) for answer in answers}) == 1
        replayed = sum(answer.replayed for answer in answers)
        self.report(
            runs == 1 and codes == [0, 0, 0] and same,
            "an instruction sent three times runs once",
            f"{runs} run, codes {codes}, {replayed} replayed",
        )

    async def _instruct(self, address: str) -> clients.Answer:
        client = clients.Client([address], self._plan.teams[0])
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(client.close)
            return await client.request(
                self._plan.instruction,
                {"visit": 1},
                key="visit-1",
                repeatable=False,
            )

    async def show_late_request(self) -> None:
        """What cannot be done in time is refused and not run."""
        kind = loads.RequestKind(
            self._plan.report,
            team=self._plan.teams[0],
            tokens=4000,
            finds_documents=True,
            deadline_ms=5,
        )
        outcomes = await self._send(kind, 20, 0.5, resend=False)
        families = {outcome.family for outcome in outcomes}
        codes = sorted({outcome.code for outcome in outcomes})
        honest = families <= {
            results.Family.NOT_RUN.value,
            results.Family.FAILED.value,
        }
        self.report(
            honest and bool(outcomes),
            "late requests are refused",
            f"{len(outcomes)} refused with codes {codes}",
        )

    async def show_domain(self) -> None:
        """A domain goes out and comes back while traffic goes on."""
        domain = self._plan.domains[1]
        load, traffic = self._start_traffic(9.0)
        await asyncio.sleep(1.0)
        await self._switch(domain, "out")
        await asyncio.sleep(OUT_SECONDS)
        before = await self._count_calls(domain)
        await asyncio.sleep(1.5)
        after = await self._count_calls(domain)
        await self._switch(domain, "in")
        await traffic
        back = await self._count_calls(domain)
        attained = sum(outcome.meets_deadline for outcome in load.outcomes)
        await load.close()
        self.report(
            before == after,
            "a domain that is out gets no work",
            f"{after - before} calls in 1.5 s from {OUT_SECONDS:.0f} s on",
        )
        self.report(
            back > after and attained == len(load.outcomes),
            "service while a domain leaves and returns",
            f"{attained} of {len(load.outcomes)} in time, "
            f"{back - after} calls there since its return",
        )

    async def show_order(self) -> None:
        """An order reaches each engine of a pool once."""
        pool = self._plan.pools[0]
        status, output = await self._deployment.run_tool(
            "order", pool.name, "version", "v2", "--reason", "demo"
        )
        async with asyncio.timeout(ORDER_SECONDS):
            while True:
                found = await self._deployment.read_orders(pool.name)
                if all(len(orders) == 1 for orders in found.values()):
                    break
                await asyncio.sleep(0.2)
        _, listed = await self._deployment.run_tool("orders", pool.name)
        found = await self._deployment.read_orders(pool.name)
        counted = sorted(len(orders) for orders in found.values())
        self.report(
            status == 0 and counted == [1] * pool.workers,
            "an order reaches each engine once",
            f"{counted} for {output.strip()}, done at "
            f"{listed.count(' done')} so far",
        )

    async def show_drain(self) -> None:
        """A host leaves under load and no request is cut."""
        host = self._deployment.hosts[0]
        load, traffic = self._start_traffic(3.0)
        await asyncio.sleep(1.0)
        begun = time.monotonic()
        status = await self._deployment.drain(host)
        seconds = time.monotonic() - begun
        self._left.add(host.name)
        await traffic
        await load.close()
        attained = sum(outcome.meets_deadline for outcome in load.outcomes)
        self.report(
            status == 0 and attained == len(load.outcomes),
            "a graceful shutdown cuts no request",
            f"exit status {status} after {seconds:.1f} s, "
            f"{attained} of {len(load.outcomes)} in time",
        )

    def _start_traffic(self, seconds: float):
        teams = self._plan.teams
        load = loads.Load(
            self.list_addresses,
            [
                loads.RequestKind(self._plan.lookup, 3.0, team=teams[0]),
                loads.RequestKind(
                    self._plan.instruction, 1.0, team=teams[1], has_key=True
                ),
                loads.RequestKind(
                    self._plan.report,
                    1.0,
                    5000.0,
                    team=teams[1],
                    tokens=20,
                    is_streamed=True,
                    finds_documents=True,
                ),
            ],
            RATE,
        )
        return load, asyncio.ensure_future(load.run(seconds))

    async def _send(
        self,
        kind: loads.RequestKind,
        rate: float,
        seconds: float,
        resend: bool = True,
    ) -> list[loads.RequestOutcome]:
        load = loads.Load(self.list_addresses, [kind], rate, resend=resend)
        try:
            return await load.run(seconds)
        finally:
            await load.close()

    async def _switch(self, domain: str, state: str) -> None:
        status, output = await self._deployment.run_tool(
            "domain", state, domain, "--reason", "demo"
        )
        if status:
            raise RuntimeError(f"domain {state} ended with {status}: {output}")

    async def _count_calls(self, domain: str) -> int:
        calls = 0
        for name, record in self._deployment.endpoints.items():
            if record.domain == domain:
                calls += (await self._deployment.count(name))["calls"]
        return calls


async def show(plan: plans.Plan) -> int:
    """Start a deployment, run the checks, and stop it.

    Returns
    -------
    int
        The number of broken promises.
    """
    begun = time.monotonic()
    async with deployments.Deployment(plan) as deployment:
        print(
            f"{plan.name}: {len(deployment.hosts)} entry hosts and "
            f"{len(deployment.endpoints)} endpoints in {len(plan.domains)} "
            f"failure domains, ready after {time.monotonic() - begun:.1f} s",
            flush=True,
        )
        demo = Demo(deployment)
        await demo.run()
    print(f"{time.monotonic() - begun:.0f} s, {demo.broken} broken")
    return demo.broken


def main() -> None:
    """Run the demo for the deployment named on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--deployment",
        choices=[*sorted(plans.PLANS), PLATFORM],
        default="kelvinside",
    )
    arguments = parser.parse_args()
    if arguments.deployment == PLATFORM:
        broken = asyncio.run(platform_demo.show())
    else:
        broken = asyncio.run(show(plans.PLANS[arguments.deployment]))
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
