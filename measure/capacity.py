"""Writes the tables of docs/CAPACITY.md from the measured slopes."""

import pathlib

from chervilshore import tables
from measure import fits
from measure import roles
from measure import targets

PAGE_PATH = (
    pathlib.Path(__file__).resolve().parent.parent / "docs" / "CAPACITY.md"
)


def format_number(value: float) -> str:
    """Format a number with three significant digits."""
    if value == 0:
        return "0"
    if abs(value) >= 1e6:
        return f"{value / 1e6:.3g} million"
    if abs(value) >= 1000:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def format_series(series_by_name: dict[str, fits.Series]) -> str:
    """Return the table of measured series."""
    rows = []
    for name in sorted(series_by_name):
        series = series_by_name[name]
        points = ", ".join(
            f"{format_number(x)}: {format_number(y)}" for x, y in series.points
        )
        rows.append(
            (
                name,
                series.way,
                series.size,
                series.cost,
                points,
                format_number(series.slope),
                format_number(series.start),
                format_number(series.residual),
            )
        )
    headings = (
        "series",
        "driven",
        "size",
        "cost",
        "measured",
        "slope",
        "start",
        "residual",
    )
    return tables.format_table(headings, rows)


def format_roles(series_by_name: dict[str, fits.Series]) -> str:
    """Return the table of the costs of each role at the three sizes."""
    rows = [
        (row.role, row.cost, *(format_number(value) for value in row.values))
        for row in roles.list_rows(series_by_name)
    ]
    headings = ("role", "cost", "Kelvinside", "Taawuniyat", "target")
    return tables.format_table(headings, rows)


def format_targets(series_by_name: dict[str, fits.Series]) -> str:
    """Return the table of the requirements of the target size."""
    rows = [
        (row.number, row.mechanism, row.prediction, row.verdict, row.change)
        for row in targets.list_rows(series_by_name, format_number)
    ]
    headings = (
        "number",
        "what carries it",
        "what the slopes predict",
        "verdict",
        "what would have to change, and where it breaks",
    )
    return tables.format_table(headings, rows)


SECTIONS = {
    "<!-- slopes: make slopes -->": format_series,
    "<!-- roles: make slopes -->": format_roles,
    "<!-- target: make slopes -->": format_targets,
}
"""Formatter of the table that follows each marker in the page."""


def render(page: str, series_by_name: dict[str, fits.Series]) -> str:
    """Return the text of the page with new tables."""
    for marker, make_table in SECTIONS.items():
        page = tables.replace_table(page, make_table(series_by_name), marker)
    return page


def write_page(series_by_name: dict[str, fits.Series]) -> None:
    """Write the page with new tables."""
    PAGE_PATH.write_text(render(PAGE_PATH.read_text(), series_by_name))
