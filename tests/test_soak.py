"""A short seeded soak of real daemons: no promise to a caller is broken.

`python -m soak --seeds 50` runs longer ones and times the recovery.
"""

import pathlib

import pytest
from testtools import assertions
from testtools import matchers

from soak import __main__ as soak


@pytest.mark.parametrize("seed", [1])
async def test_no_promise_is_broken(seed, tmp_path: pathlib.Path):
    broken = await soak.run(seed, 3.0, 2, tmp_path, timed=False)
    assertions.assert_that(broken, matchers.Equals([]))
