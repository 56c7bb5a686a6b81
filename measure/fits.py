"""Measured series and the least-squares line through each."""

from collections import abc
import math
import pathlib

import msgspec

DATA_PATH = (
    pathlib.Path(__file__).resolve().parent.parent
    / "docs"
    / "data"
    / "slopes.json"
)
MIN_SIZES = 4
"""Fewest sizes that a line is fitted to."""


class Series(msgspec.Struct, frozen=True):
    """One quantity measured at several sizes, with its fitted line.

    Parameters
    ----------
    name : str
        The name of the series.
    size, cost : str
        The independent and the measured quantity, with units.
    points : tuple of (float, float)
        Measured pairs of size and cost.
    slope, start : float
        The fitted line: cost = start + slope * size.
    residual : float
        Root mean square of the residuals, in units of the cost.
    way : str
        What was measured: ``decisions`` in one process or ``daemons``.
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
        """Return the cost at a size by the fitted line, at least 0."""
        return max(0.0, self.start + self.slope * size)


def fit(
    name: str,
    size: str,
    cost: str,
    points: abc.Iterable[tuple[float, float]],
    way: str = "decisions",
) -> Series:
    """Fit a line to measured points by least squares.

    Raises
    ------
    ValueError
        When there are fewer than `MIN_SIZES` points.
    """
    points = tuple((float(x), float(y)) for x, y in points)
    if len(points) < MIN_SIZES:
        raise ValueError(f"{name}: {len(points)} sizes are too few")
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    start = mean_y - slope * mean_x
    squares = sum((y - start - slope * x) ** 2 for x, y in points)
    residual = math.sqrt(squares / count)
    return Series(name, size, cost, points, slope, start, residual, way)


def load() -> dict[str, Series]:
    """Read the stored series, by name; empty if there are none."""
    if not DATA_PATH.exists():
        return {}
    stored = msgspec.json.decode(DATA_PATH.read_bytes(), type=list[Series])
    return {series.name: series for series in stored}


def save(series_by_name: dict[str, Series]) -> None:
    """Write the series to the data file."""
    DATA_PATH.parent.mkdir(parents=True, exist_ok=True)
    rows = [series_by_name[name] for name in sorted(series_by_name)]
    DATA_PATH.write_bytes(
        msgspec.json.format(msgspec.json.encode(rows)) + b"\n"
    )
