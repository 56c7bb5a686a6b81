"""Measures real daemons under load and faults, case by case."""

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
"""The cases by their names for `--only`."""

BASELINE_CASES = ("overload", "slow", "cold", "allcold")
"""Cases that are also run with the baseline policies.

The baseline runs are concurrent: the compared figures are so far apart that
the runs may disturb each other.
"""


async def measure(name: str, policies: str) -> list[rows.Row]:
    """Run one case.

    Parameters
    ----------
    name : str
        The case.
    policies : str
        The policies to use: ``full`` or ``baseline``.
    """
    started = time.monotonic()
    results = await CASES[name](policies)
    seconds = time.monotonic() - started
    print(f"{name} ({policies}): {seconds:.0f} s", flush=True)
    benches.print_rows(results)
    return results


async def measure_all(names: list[str], compare: bool) -> list[rows.Row]:
    """Run cases one after the other, then the baselines if wanted."""
    results = []
    for name in names:
        results += await measure(name, "full")
    if compare:
        runs = [
            measure(name, "baseline")
            for name in names
            if name in BASELINE_CASES
        ]
        for baseline_rows in await asyncio.gather(*runs):
            results += baseline_rows
    return results


def write_page(results: list[rows.Row]) -> None:
    """Write the JSON file and the table of docs/MEASURES.md."""
    data = msgspec.json.format(msgspec.json.encode(results), indent=1)
    (DOCS / "data" / "measures.json").write_bytes(data + b"\n")
    page = DOCS / "MEASURES.md"
    table = tables.format_table(rows.HEADINGS, rows.list_cells(results))
    page.write_text(tables.replace_table(page.read_text(), table))


def main() -> None:
    """Run the cases that are named on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--only", action="append", choices=sorted(CASES), metavar="NAME"
    )
    parser.add_argument(
        "--no-baseline", action="store_true", help="skip the baseline runs"
    )
    parser.add_argument(
        "--write", action="store_true", help="write docs/MEASURES.md"
    )
    arguments = parser.parse_args()
    names = arguments.only or list(CASES)
    results = asyncio.run(measure_all(names, not arguments.no_baseline))
    if arguments.write:
        write_page(results)
    missed = [row for row in results if row.format_verdict() == "NOT MET"]
    print(f"{len(results)} figures, {len(missed)} bounds not met")
    sys.exit(1 if missed else 0)


if __name__ == "__main__":
    main()
