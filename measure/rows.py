"""Measured figures and their bounds, for tables and JSON."""

from collections import abc as collections_abc

import msgspec


class Row(msgspec.Struct, frozen=True):
    """One measured figure.

    Parameters
    ----------
    case : str
        The load or fault under which it was measured.
    figure : str
        What was measured, and its unit.
    value : float
        The measured value.
    bound : float or None
        The limit that the value must meet; None if it is only reported.
    most : bool
        Whether the bound is the highest allowed value rather than the
        lowest.
    policies : str
        The policies that the daemons used.
    """

    case: str
    figure: str
    value: float
    bound: float | None = None
    most: bool = False
    policies: str = "full"

    @property
    def is_met(self) -> bool:
        """Whether the value meets the bound."""
        if self.bound is None:
            return True
        if self.most:
            return self.value <= self.bound
        return self.value >= self.bound

    def format_bound(self) -> str:
        """Return the bound as text; empty if there is none."""
        if self.bound is None:
            return ""
        return f"{'≤' if self.most else '≥'} {self.bound:g}"

    def format_verdict(self) -> str:
        """Return the verdict; empty without a bound and for baselines."""
        if self.bound is None or self.policies != "full":
            return ""
        return "met" if self.is_met else "NOT MET"


HEADINGS = ("case", "figure", "policies", "measured", "bound", "")


def list_cells(
    rows: collections_abc.Iterable[Row],
) -> list[tuple[str, ...]]:
    """Return the table cells of each row."""
    return [
        (
            row.case,
            row.figure,
            row.policies,
            f"{row.value:.4g}",
            row.format_bound(),
            row.format_verdict(),
        )
        for row in rows
    ]
