"""Runs the soak: python -m soak --seeds 50."""

import argparse
import asyncio
import collections
import pathlib
import random
import sys
import tempfile

from soak import callers
from soak import deployment as deployments
from soak import faults

HEAL_SECONDS = 5.0
"""Seconds after the last fault in which service is whole again: entries
return within two, connections that went silent are noticed within three."""

LEAST_SERVED = 0.9
"""The part of the last requests that must be served after that."""

CALLERS_PER_HOST = 2


async def run(
    seed: int,
    seconds: float,
    hosts: int,
    folder: pathlib.Path,
    timed: bool = True,
) -> list[str]:
    """Run one seed.

    Parameters
    ----------
    seed : int
        Draws the faults and the requests.
    seconds : float
        How long faults are injected.
    hosts : int
        The number of daemons.
    folder : Path
        Where settings and logs are kept.
    timed : bool
        Whether service must be whole again in time, which a machine that
        is busy otherwise cannot promise.

    Returns
    -------
    list of str
        The broken promises.
    """
    generator = random.Random(seed)
    ledger = callers.Ledger()
    deployment = deployments.Deployment(folder, hosts)
    injected = faults.Faults(deployment, generator)
    ends = asyncio.Event()
    try:
        await deployment.start()
        await asyncio.sleep(3.0)
        calling = [
            asyncio.ensure_future(
                callers.Caller(
                    f"{host.name}c{number}",
                    host.address,
                    ledger,
                    random.Random(generator.random()),
                ).run(ends)
            )
            for host in deployment.hosts
            for number in range(CALLERS_PER_HOST)
        ]
        await injected.run(seconds)
        await asyncio.sleep(HEAL_SECONDS)
        ledger.recent.clear()
        await asyncio.sleep(2.0)
        served = sum(ledger.recent) / max(1, len(ledger.recent))
        ends.set()
        await asyncio.gather(*calling)
        if timed and served < LEAST_SERVED:
            ledger.broken.append(f"only {served:.0%} served at the end")
    finally:
        await deployment.stop()
    ledger.check_runs(deployment.runs)
    counts = collections.Counter(injected.story)
    print(
        f"seed {seed}: {len(ledger.kinds)} requests, "
        f"{dict(ledger.outcomes)}, faults {dict(counts)}, "
        f"{len(ledger.broken)} broken"
    )
    return ledger.broken


def main() -> int:
    """Run the seeds that the command line names.

    Returns
    -------
    int
        The exit status.
    """
    parser = argparse.ArgumentParser(prog="python -m soak")
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--seeds", type=int, default=1, help="how many")
    parser.add_argument(
        "--seconds", type=float, default=15.0, help="of faults for each seed"
    )
    parser.add_argument("--hosts", type=int, default=3, help="daemons")
    parser.add_argument("--logs", help="folder for the daemons' logs")
    words = parser.parse_args()
    failed = 0
    for seed in range(words.seed, words.seed + words.seeds):
        root = words.logs or tempfile.mkdtemp(prefix="soak-")
        folder = pathlib.Path(root) / str(seed)
        folder.mkdir(parents=True, exist_ok=True)
        broken = asyncio.run(run(seed, words.seconds, words.hosts, folder))
        for line in broken[:10]:
            print(f"  broken: {line} (logs in {folder})")
        failed += bool(broken)
    print(f"{words.seeds} seeds, {failed} with a broken promise")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
