"""Runs a local deployment and checks its guarantees."""

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

EVACUATION_SECONDS = 2.0
"""Seconds after a domain is taken out in which it may still receive calls."""

ORDER_TIMEOUT_SECONDS = 20.0
"""Seconds to wait until an order has reached all engines of a pool."""

PLATFORM = "platform"
"""Value of --deployment for `platform_demo`."""

BACKGROUND_RATE = 60.0
"""Requests per second of the load that `_start_load` starts."""


class Demo:
    """Runs the checks and prints a line for each.

    Parameters
    ----------
    deployment : Deployment
        The running deployment.

    Attributes
    ----------
    failed_checks : int
        Checks that have failed so far.
    """

    def __init__(self, deployment: deployments.Deployment) -> None:
        self.failed_checks = 0
        self._deployment = deployment
        self._plan = deployment.plan
        self._stopped_hosts: set[str] = set()

    def list_addresses(self) -> list[str]:
        """Return the addresses of the hosts that are still running."""
        return [
            host.http_address
            for host in self._deployment.hosts
            if host.name not in self._stopped_hosts
        ]

    def report(self, passed: bool, guarantee: str, details: str) -> None:
        """Print the result of a check, and count it if it failed."""
        self.failed_checks += not passed
        word = "kept  " if passed else "BROKEN"
        print(f"{word} {guarantee}: {details}", flush=True)

    async def run(self) -> None:
        """Run all checks, in the order in which they are printed."""
        await self.check_configuration()
        await self.check_report()
        await self.check_instruction()
        await self.check_short_deadline()
        await self.check_domain_out()
        await self.check_order()
        await self.check_drain()

    async def check_configuration(self) -> None:
        """Check that the accepted generation is active on every host."""
        states = [
            await self._deployment.read_state(host)
            for host in self._deployment.hosts
        ]
        generations = {
            state["configuration"]["generation"] for state in states
        }
        self.report(
            generations == {1},
            "configuration active on every host",
            f"{len(states)} hosts, generations {sorted(generations)}",
        )

    async def check_report(self) -> None:
        """Check that streamed answers of four stages are complete."""
        kind = loads.RequestKind(
            self._plan.report,
            team=self._plan.teams[0],
            tokens=40,
            is_streamed=True,
            finds_documents=True,
            deadline_ms=5000,
        )
        outcomes = await self._send(kind, 20, 1.0)
        complete = sum(outcome.meets_deadline for outcome in outcomes)
        first_text_ms = sorted(outcome.first_ms for outcome in outcomes)
        self.report(
            complete == len(outcomes) > 0,
            "complete streamed answers of four stages",
            f"{complete} of {len(outcomes)}, first text after "
            f"{first_text_ms[len(first_text_ms) // 2]:.0f} ms (median)",
        )

    async def check_instruction(self) -> None:
        """Check that an instruction sent three times with a key runs once."""
        hosts = random.Random(1).sample(self._deployment.hosts, 3)
        answers = await asyncio.gather(
            *(self._send_instruction(host.http_address) for host in hosts)
        )
        counts = await self._deployment.count_pool(self._plan.instruction_pool)
        runs = sum(
            count["runs"].get("visit-1", 0) for count in counts.values()
        )
        codes = [answer.code for answer in answers]
        same_result = len({str(answer.result) for answer in answers}) == 1
        replayed = sum(answer.replayed for answer in answers)
        self.report(
            runs == 1 and codes == [0, 0, 0] and same_result,
            "an instruction sent three times runs once",
            f"{runs} run, codes {codes}, {replayed} replayed",
        )

    async def _send_instruction(self, address: str) -> clients.Answer:
        client = clients.Client([address], self._plan.teams[0])
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(client.close)
            return await client.request(
                self._plan.instruction,
                {"visit": 1},
                key="visit-1",
                repeatable=False,
            )

    async def check_short_deadline(self) -> None:
        """Check that requests that cannot meet their deadline are refused."""
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
        valid = families <= {
            results.Family.NOT_RUN.value,
            results.Family.FAILED.value,
        }
        self.report(
            valid and bool(outcomes),
            "requests that cannot meet their deadline are refused",
            f"{len(outcomes)} refused with codes {codes}",
        )

    async def check_domain_out(self) -> None:
        """Check calls to a domain that is taken out and back in under load."""
        domain = self._plan.domains[1]
        load, load_task = self._start_load(9.0)
        await asyncio.sleep(1.0)
        await self._set_domain_state(domain, "out")
        await asyncio.sleep(EVACUATION_SECONDS)
        before = await self._count_calls(domain)
        await asyncio.sleep(1.5)
        after = await self._count_calls(domain)
        await self._set_domain_state(domain, "in")
        await load_task
        returned = await self._count_calls(domain)
        in_time = sum(outcome.meets_deadline for outcome in load.outcomes)
        await load.close()
        self.report(
            before == after,
            "a domain that is out receives no calls",
            f"{after - before} calls in 1.5 s, from "
            f"{EVACUATION_SECONDS:.0f} s after it was taken out",
        )
        self.report(
            returned > after and in_time == len(load.outcomes),
            "requests are answered while a domain is out and after its return",
            f"{in_time} of {len(load.outcomes)} in time, "
            f"{returned - after} calls to the domain since its return",
        )

    async def check_order(self) -> None:
        """Check that an order reaches each engine of a pool once."""
        pool = self._plan.pools[0]
        status, output = await self._deployment.run_tool(
            "order", pool.name, "version", "v2", "--reason", "demo"
        )
        async with asyncio.timeout(ORDER_TIMEOUT_SECONDS):
            while True:
                received = await self._deployment.read_orders(pool.name)
                if all(len(orders) == 1 for orders in received.values()):
                    break
                await asyncio.sleep(0.2)
        _, order_list = await self._deployment.run_tool("orders", pool.name)
        received = await self._deployment.read_orders(pool.name)
        counts = sorted(len(orders) for orders in received.values())
        self.report(
            status == 0 and counts == [1] * pool.workers,
            "an order reaches each engine once",
            f"{counts} for {output.strip()}, done at "
            f"{order_list.count(' done')} so far",
        )

    async def check_drain(self) -> None:
        """Check that a graceful shutdown under load fails no request."""
        host = self._deployment.hosts[0]
        load, load_task = self._start_load(3.0)
        await asyncio.sleep(1.0)
        started_at = time.monotonic()
        status = await self._deployment.drain(host)
        seconds = time.monotonic() - started_at
        self._stopped_hosts.add(host.name)
        await load_task
        await load.close()
        in_time = sum(outcome.meets_deadline for outcome in load.outcomes)
        self.report(
            status == 0 and in_time == len(load.outcomes),
            "a graceful shutdown fails no request",
            f"exit status {status} after {seconds:.1f} s, "
            f"{in_time} of {len(load.outcomes)} in time",
        )

    def _start_load(self, seconds: float):
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
            BACKGROUND_RATE,
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

    async def _set_domain_state(self, domain: str, state: str) -> None:
        status, output = await self._deployment.run_tool(
            "domain", state, domain, "--reason", "demo"
        )
        if status:
            raise RuntimeError(
                f"domain {state} exited with status {status}: {output}"
            )

    async def _count_calls(self, domain: str) -> int:
        calls = 0
        for name, record in self._deployment.endpoints.items():
            if record.domain == domain:
                calls += (await self._deployment.count(name))["calls"]
        return calls


async def run_demo(plan: plans.Plan) -> int:
    """Start a deployment, run the checks and stop it.

    Returns
    -------
    int
        The number of checks that failed.
    """
    started_at = time.monotonic()
    async with deployments.Deployment(plan) as deployment:
        print(
            f"{plan.name}: {len(deployment.hosts)} entry hosts and "
            f"{len(deployment.endpoints)} endpoints in {len(plan.domains)} "
            f"failure domains, ready after "
            f"{time.monotonic() - started_at:.1f} s",
            flush=True,
        )
        demo = Demo(deployment)
        await demo.run()
    print(
        f"{time.monotonic() - started_at:.0f} s, {demo.failed_checks} broken"
    )
    return demo.failed_checks


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
        failed = asyncio.run(platform_demo.run_demo())
    else:
        failed = asyncio.run(run_demo(plans.PLANS[arguments.deployment]))
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
