"""Measured series, and the straight line through each."""

from collections import abc
import math
import pathlib

import msgspec

DATA = (
    pathlib.Path(__file__).resolve().parent.parent
    / "docs"
    / "data"
    / "slopes.json"
)
FEWEST_SIZES = 4


class Series(msgspec.Struct, frozen=True):
    """One quantity measured at several sizes, with its fit.

    Parameters
    ----------
    name : str
        Its name.
    size, cost : str
        What grows, and what it costs, with units.
    points : tuple of (float, float)
        Sizes and costs as measured.
    slope, start : float
        The line by least squares: cost = start + slope * size.
    residual : float
        Root mean square of what the line leaves, in units of the cost.
    way : str
        What was driven: decisions or daemons.
    """

    name: str
    size: str
    cost: str
    points: tuple[tuple[float, float], ...]
    slope: float
    start: float
    residual: float
    way: str

    def predict(self, size: float) -> float:
        """Tell the cost at a size by the line; never less than nothing."""
        return max(0.0, self.start + self.slope * size)


def fit(
    name: str,
    size: str,
    cost: str,
    points: abc.Iterable[tuple[float, float]],
    way: str = "decisions",
) -> Series:
    """Lay a line through measured points by least squares."""
    points = tuple((float(x), float(y)) for x, y in points)
    if len(points) < FEWEST_SIZES:
        raise ValueError(f"{name}: {len(points)} sizes are too few")
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    start = mean_y - slope * mean_x
    left = sum((y - start - slope * x) ** 2 for x, y in points)
    residual = math.sqrt(left / count)
    return Series(name, size, cost, points, slope, start, residual, way)


def load() -> dict[str, Series]:
    """Read the series that were measured last, by name."""
    if not DATA.exists():
        return {}
    found = msgspec.json.decode(DATA.read_bytes(), type=list[Series])
    return {series.name: series for series in found}


def save(found: dict[str, Series]) -> None:
    """Keep the series."""
    DATA.parent.mkdir(parents=True, exist_ok=True)
    rows = [found[name] for name in sorted(found)]
    DATA.write_bytes(msgspec.json.format(msgspec.json.encode(rows)) + b"\n")
