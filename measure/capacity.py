"""Write the tables of docs/CAPACITY.md from the measured slopes."""

import pathlib

from chervilshore import tables
from measure import fits
from measure import roles
from measure import targets

PAGE = pathlib.Path(__file__).resolve().parent.parent / "docs" / "CAPACITY.md"


def format_number(value: float) -> str:
    """Write a number with three figures that count."""
    if value == 0:
        return "0"
    if abs(value) >= 1e6:
        return f"{value / 1e6:.3g} million"
    if abs(value) >= 1000:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def format_series(found: dict[str, fits.Series]) -> str:
    """Write the table of slopes."""
    rows = []
    for name in sorted(found):
        series = found[name]
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
    heads = (
        "series",
        "driven",
        "size",
        "cost",
        "measured",
        "slope",
        "start",
        "residual",
    )
    return tables.format_table(heads, rows)


def format_roles(found: dict[str, fits.Series]) -> str:
    """Write the table of roles at the three sizes."""
    rows = [
        (row.role, row.cost, *(format_number(value) for value in row.values))
        for row in roles.list_rows(found)
    ]
    heads = ("role", "cost", "Kelvinside", "Taawuniyat", "target")
    return tables.format_table(heads, rows)


def format_targets(found: dict[str, fits.Series]) -> str:
    """Write the table of the target's numbers."""
    rows = [
        (row.number, row.mechanism, row.predicts, row.verdict, row.change)
        for row in targets.list_rows(found, format_number)
    ]
    heads = (
        "number",
        "what carries it",
        "what the slopes predict",
        "verdict",
        "what would have to change, and where it breaks",
    )
    return tables.format_table(heads, rows)


SECTIONS = {
    "<!-- slopes: make slopes -->": format_series,
    "<!-- roles: make slopes -->": format_roles,
    "<!-- target: make slopes -->": format_targets,
}
"""The marks in the page, and what writes the table after each."""


def render(page: str, found: dict[str, fits.Series]) -> str:
    """Put the tables into the page."""
    for begin, write_table in SECTIONS.items():
        page = tables.replace_table(page, write_table(found), begin)
    return page


def write(found: dict[str, fits.Series]) -> None:
    """Rewrite the page."""
    PAGE.write_text(render(PAGE.read_text(), found))
