"""Measures how cost grows with size; writes the tables of docs/CAPACITY.md."""

import argparse
import time

from measure import capacity
from measure import daemons
from measure import fits
from measure import keeping
from measure import losses
from measure import scaling

CASES = {
    **losses.CASES,
    **scaling.CASES,
    **keeping.CASES,
    **daemons.CASES,
}


def main() -> None:
    """Measure the chosen series, store them and write the tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", nargs="*", choices=sorted(CASES))
    parser.add_argument(
        "--tables", action="store_true", help="write the tables only"
    )
    options = parser.parse_args()
    series_by_name = fits.load()
    names = [] if options.tables else options.only or list(CASES)
    for name in names:
        start = time.monotonic()
        measured = CASES[name]()
        # Another run may have stored other series meanwhile.
        series_by_name = fits.load()
        for series in measured:
            series_by_name[series.name] = series
            print(
                f"{series.name}: {series.start:.4g} + {series.slope:.4g} "
                f"a size, residual {series.residual:.3g}",
                flush=True,
            )
        # Store each case so that its series survive a failure of a later one.
        fits.save(series_by_name)
        capacity.write_page(series_by_name)
        seconds = time.monotonic() - start
        print(f"{name} took {seconds:.0f} s", flush=True)
    if options.tables:
        capacity.write_page(series_by_name)


if __name__ == "__main__":
    main()
