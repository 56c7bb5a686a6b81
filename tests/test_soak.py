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
from standins import site


SEEDS = (
    1,
    # In the preceding run two restarts of one host overlapped and left a
    # daemon running, which called a worker of this run that listened at the
    # address of its former store.
    234,
)


@pytest.mark.parametrize("seed", SEEDS)
async def test_no_guarantee_is_violated(seed, tmp_path: pathlib.Path):
    violations = await soak.run(seed, 3.0, 2, tmp_path, timed=False)
    assertions.assert_that(violations, matchers.Equals([]))


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
