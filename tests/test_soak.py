"""Short seeded soak tests of daemon processes: no guarantee is violated.

`python -m soak --seeds 50` runs longer ones and checks the recovery time.
"""

import asyncio
import pathlib
import signal

import pytest
from testtools import assertions
from testtools import matchers

from measure import deployment as deployments
from soak import __main__ as soak
from soak import checks
from soak import proxy
from standins import site


# Seed and faults, all if there are none.
RUNS = (
    (1, ()),
    # In the preceding run two restarts of one host overlapped and left a
    # daemon running, which called a worker of this run that listened at the
    # address of its former store.
    (234, ()),
    # REFUSED and TWICE: workers wrote old refusals that name no request on
    # kept and on new connections.
    (4, ("repeat",)),
    # BUDGET: requests whose inputs were gone were sent again without a token
    # of the retry budget.
    (8, ("refuse_all",)),
    # ORDER: a stream that had begun ended as complete when the endpoint that
    # was to go on with it answered 404.
    (24, ("break_resumed",)),
)


@pytest.mark.parametrize("seed, only", RUNS)
async def test_no_guarantee_is_violated(seed, only, tmp_path: pathlib.Path):
    violations = await soak.run(seed, 3.0, 2, tmp_path, False, only)
    assertions.assert_that(violations, matchers.Equals([]))


def test_budget_counts_sliding_windows():
    """Each of 40 requests arrives twice within ten seconds."""
    sent = [float(number) / 10.0 for number in range(40)]
    arrivals = [
        (time + delay, f"r{time}") for time in sent for delay in (1.0, 3.0)
    ]
    assertions.assert_that(
        checks.find_excess(arrivals, sent),
        matchers.Equals(40 - 0.2 * 40 - 20),
    )
    late = [(time + 20.0, attempt) for time, attempt in arrivals]
    assertions.assert_that(
        checks.find_excess(late, sent), matchers.Equals(40 - 20)
    )


@pytest.mark.parametrize("mode", proxy.LOSSLESS_MODES)
async def test_slow_links_lose_nothing_and_keep_the_order(mode):
    sent = bytes(range(256)) * 4

    async def echo(reader, writer):
        writer.write(await reader.readexactly(len(sent)))
        writer.close()

    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    link = proxy.Proxy(f"{host}:{port}")
    host, _, port = (await link.start()).rpartition(":")
    link.set_mode(mode)
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(sent[:300])
    await asyncio.sleep(0.01)
    writer.write(sent[300:])
    assertions.assert_that(
        await reader.readexactly(len(sent)), matchers.Equals(sent)
    )
    writer.close()
    await link.stop()
    server.close()


class RecordingHost(site.Host):
    """Records every process that it starts."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.started = []

    async def start(self):
        await super().start()
        self.started.append(self.process)


async def test_overlapping_restarts_leave_no_process_running(tmp_path):
    """A daemon left running goes on calling addresses of an earlier run."""
    host = RecordingHost("h0", "a", tmp_path)
    await host.write_settings("127.0.0.1:9", deployments.find_ports(3), [])
    await host.start()
    await asyncio.gather(
        host.restart(signal.SIGKILL), host.restart(signal.SIGTERM)
    )
    await host.stop()
    assertions.assert_that(
        [process.returncode is None for process in host.started],
        matchers.Equals([False] * 3),
    )
