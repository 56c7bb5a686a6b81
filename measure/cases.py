"""The measured cases: real daemons under load and faults."""

import argparse
import asyncio
from collections import abc as collections_abc
import pathlib
import sys
import time

import msgspec

from chervilshore import tables
from measure import bench as benches
from measure import faults
from measure import overhead
from measure import rows
from measure import steady

DOCS = pathlib.Path(__file__).resolve().parent.parent / "docs"

CASES: dict[str, collections_abc.Callable] = {
    "overhead": overhead.measure_overhead,
    "steady": steady.measure_steady,
    "overload": steady.measure_overload,
    "team": steady.measure_team,
    "slow": faults.measure_slow,
    "cold": faults.measure_cold,
    "allcold": faults.measure_all_cold,
    "domain": faults.measure_domain,
    "keeper": faults.measure_owner_failure,
    "cut": faults.measure_isolated_domain,
}
"""The cases by the name that `--only` takes."""

COMPARED = ("overload", "slow", "cold", "allcold")
"""The cases that are also run with the baselines, all at the same time:
what is compared there is far apart."""


async def measure(name: str, policies: str) -> list[rows.Row]:
    """Run one case.

    Parameters
    ----------
    name : str
        The case.
    policies : str
        The decisions to use: ``full`` or ``baseline``.
    """
    begun = time.monotonic()
    found = await CASES[name](policies)
    seconds = time.monotonic() - begun
    print(f"{name} ({policies}): {seconds:.0f} s", flush=True)
    benches.show(found)
    return found


async def measure_all(names: list[str], compare: bool) -> list[rows.Row]:
    """Run cases one after the other."""
    found = []
    for name in names:
        found += await measure(name, "full")
    if compare:
        runs = [
            measure(name, "baseline") for name in names if name in COMPARED
        ]
        for rows_of_one in await asyncio.gather(*runs):
            found += rows_of_one
    return found


def write_page(found: list[rows.Row]) -> None:
    """Write the JSON and the table in docs/MEASURES.md."""
    data = msgspec.json.format(msgspec.json.encode(found), indent=1)
    (DOCS / "data" / "measures.json").write_bytes(data + b"\n")
    page = DOCS / "MEASURES.md"
    table = tables.format_table(rows.HEADS, rows.list_cells(found))
    page.write_text(tables.replace_table(page.read_text(), table))


def main() -> None:
    """Run the cases that the command line names."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--only", action="append", choices=sorted(CASES), metavar="NAME"
    )
    parser.add_argument(
        "--no-baseline", action="store_true", help="leave the baselines out"
    )
    parser.add_argument(
        "--write", action="store_true", help="write docs/MEASURES.md"
    )
    arguments = parser.parse_args()
    names = arguments.only or list(CASES)
    found = asyncio.run(measure_all(names, not arguments.no_baseline))
    if arguments.write:
        write_page(found)
    missed = [row for row in found if row.write_verdict() == "NOT MET"]
    print(f"{len(found)} figures, {len(missed)} bounds not met")
    sys.exit(1 if missed else 0)


if __name__ == "__main__":
    main()
