"""Measured figures beside their bounds, as a table and as JSON."""

from collections import abc as collections_abc

import msgspec


class Row(msgspec.Struct, frozen=True):
    """One measured figure.

    Parameters
    ----------
    case : str
        What was done.
    figure : str
        What was measured.
    value : float
        The figure.
    bound : float or None
        What it must keep; nothing for a figure that is only shown.
    most : bool
        Whether the bound is the highest allowed value, not the lowest.
    policies : str
        The decisions that were in force.
    """

    case: str
    figure: str
    value: float
    bound: float | None = None
    most: bool = False
    policies: str = "full"

    @property
    def is_met(self) -> bool:
        """Whether the bound is kept."""
        if self.bound is None:
            return True
        if self.most:
            return self.value <= self.bound
        return self.value >= self.bound

    def write_bound(self) -> str:
        """Write the bound for people."""
        if self.bound is None:
            return ""
        return f"{'≤' if self.most else '≥'} {self.bound:g}"

    def write_verdict(self) -> str:
        """Write whether the bound is kept; baselines are not held to it."""
        if self.bound is None or self.policies != "full":
            return ""
        return "met" if self.is_met else "NOT MET"


HEADS = ("case", "figure", "policies", "measured", "bound", "")


def list_cells(
    rows: collections_abc.Iterable[Row],
) -> list[tuple[str, ...]]:
    """List the cells of a table of figures."""
    return [
        (
            row.case,
            row.figure,
            row.policies,
            f"{row.value:.4g}",
            row.write_bound(),
            row.write_verdict(),
        )
        for row in rows
    ]
