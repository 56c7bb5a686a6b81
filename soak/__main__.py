"""Command line of the soak test: python -m soak --seeds 50."""

import argparse
import asyncio
import collections
import pathlib
import random
import sys
import tempfile

from soak import callers
from soak import checks
from soak import deployment as deployments
from soak import faults
from standins import site

RECOVERY_SECONDS = 5.0
"""Seconds after the last fault within which requests must be served again:
entries return within two, and silent connections are detected within three."""

MIN_SERVED_FRACTION = 0.9
"""Fraction of requests that must be served after `RECOVERY_SECONDS`."""

SETTLE_SECONDS = 3.0
"""Seconds after the last answer in which refused requests may still run."""

CALLERS_PER_HOST = 4
"""Concurrent callers of each host."""


async def run(
    seed: int,
    seconds: float,
    hosts: int,
    folder: pathlib.Path,
    timed: bool = True,
    only: tuple[str, ...] = (),
) -> list[str]:
    """Run the soak with one seed.

    Parameters
    ----------
    seed : int
        Seed of the random faults and requests.
    seconds : float
        Seconds for which faults are injected.
    hosts : int
        The number of daemons.
    folder : Path
        Directory of settings files and logs.
    timed : bool
        Whether service must recover within `RECOVERY_SECONDS`, which cannot
        be expected on a machine that is busy with other work.
    only : tuple of str
        Names of the faults to choose from; empty for all.

    Returns
    -------
    list of str
        The violated guarantees, in words.
    """
    rng = random.Random(seed)
    tracker = callers.RequestTracker()
    tracker.weights = rng.choice(callers.WEIGHTS)
    deployment = deployments.Deployment(folder, hosts)
    injector = faults.Faults(deployment, rng, only)
    stop_event = asyncio.Event()
    try:
        await deployment.start()
        await asyncio.sleep(3.0)
        caller_tasks = [
            asyncio.ensure_future(
                callers.Caller(
                    f"{host.name}c{number}",
                    host.front.address,
                    [one.front.address for one in deployment.hosts],
                    tracker,
                    random.Random(rng.random()),
                ).run(stop_event)
            )
            for host in deployment.hosts
            for number in range(CALLERS_PER_HOST)
        ]
        await injector.run(seconds)
        tracker.calm = True
        if timed:
            await asyncio.sleep(RECOVERY_SECONDS)
            tracker.recent_served.clear()
            await asyncio.sleep(2.0)
            served_fraction = sum(tracker.recent_served) / max(
                1, len(tracker.recent_served)
            )
        stop_event.set()
        await asyncio.gather(*caller_tasks)
        await asyncio.sleep(SETTLE_SECONDS)
        if timed and served_fraction < MIN_SERVED_FRACTION:
            tracker.violations.append(
                f"RECOVER only {served_fraction:.0%} served at the end"
            )
    finally:
        await deployment.stop()
    violations = checks.find_violations(tracker, deployment)
    counts = collections.Counter(injector.history)
    print(
        f"seed {seed}: {len(tracker.kinds)} requests, "
        f"{dict(tracker.outcomes)}, faults {dict(counts)}, "
        f"budgets {checks.measure_budgets(tracker, deployment)}, "
        f"disturbed {dict(checks.count_disturbed(deployment))}, "
        f"{len(violations)} violations"
    )
    return violations


def main() -> int:
    """Run the seeds given on the command line; return the exit status."""
    parser = argparse.ArgumentParser(prog="python -m soak")
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument(
        "--seconds",
        type=float,
        default=15.0,
        help="seconds of faults for each seed",
    )
    parser.add_argument(
        "--hosts", type=int, default=3, help="number of daemons"
    )
    parser.add_argument(
        "--only", default="", help="faults to choose from, with commas"
    )
    parser.add_argument(
        "--code",
        type=pathlib.Path,
        default=site.Host.code,
        help="checkout whose daemon runs",
    )
    parser.add_argument("--logs", help="directory for the daemons' logs")
    arguments = parser.parse_args()
    site.Host.code = arguments.code
    only = tuple(arguments.only.split(",")) if arguments.only else ()
    failed = 0
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        root = arguments.logs or tempfile.mkdtemp(prefix="soak-")
        folder = pathlib.Path(root) / str(seed)
        folder.mkdir(parents=True, exist_ok=True)
        violations = asyncio.run(
            run(seed, arguments.seconds, arguments.hosts, folder, only=only)
        )
        for line in violations:
            print(f"  violation: {line} (logs in {folder})")
        failed += bool(violations)
    print(f"{arguments.seeds} seeds, {failed} with violations")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
