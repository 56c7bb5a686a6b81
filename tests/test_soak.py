"""A short seeded soak of real daemons: no promise to a caller is broken.

`python -m soak --seeds 50` runs longer ones and times the recovery.
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
    # Two restarts of one host overlapped in the run before; the daemon that
    # was left called a worker at the address of its former store.
    234,
)


@pytest.mark.parametrize("seed", SEEDS)
async def test_no_promise_is_broken(seed, tmp_path: pathlib.Path):
    broken = await soak.run(seed, 3.0, 2, tmp_path, timed=False)
    assertions.assert_that(broken, matchers.Equals([]))


class RecordingHost(site.Host):
    """Remembers every process that it has started."""

    def __init__(self, *words):
        super().__init__(*words)
        self.started = []

    async def start(self):
        await super().start()
        self.started.append(self.process)


async def test_restarts_that_overlap_leave_no_process_behind(tmp_path):
    """A daemon that nobody ends goes on calling addresses of a former run."""
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
