"""Formats the output of the tool, as text and as JSON values."""

from collections import abc
import datetime
import enum
import typing

import msgspec

from chervilshore import edits
from chervilshore import operations
from chervilshore.rules import differences
from chervilshore.rules import explanations
from chervilshore.rules import generations
from chervilshore.rules import guards
from chervilshore.rules import lines
from chervilshore import statuses


MAX_HISTORY_LINES = 20
"""Lines of one change that the history shows in its text."""


class ExitCode(enum.IntEnum):
    """Exit codes of the tool; docs/EXITCODES.md lists them."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    INVALID = 3
    GUARDED = 4
    CONFLICT = 5
    LAGGING = 6
    UNAVAILABLE = 7
    UNKNOWN = 8
    MISSING = 9
    DIFFERENT = 10

    @property
    def text(self) -> str:
        """The meaning, for people."""
        return _MEANINGS[self]


_MEANINGS = {
    ExitCode.DONE: "Done; a change is in force on all hosts.",
    ExitCode.FAILED: "Another error, which the message names.",
    ExitCode.USAGE: "The command line is wrong.",
    ExitCode.INVALID: "The rules have problems; nothing was changed.",
    ExitCode.GUARDED: "A guard refused the change; nothing was changed.",
    ExitCode.CONFLICT: "Another change was accepted first; "
    "nothing was changed.",
    ExitCode.LAGGING: "A change is accepted and not yet in force on all "
    "hosts, or some hosts do not answer.",
    ExitCode.UNAVAILABLE: "The platform is down; nothing was changed.",
    ExitCode.UNKNOWN: "The change may or may not have been accepted; check "
    "with `settle`.",
    ExitCode.MISSING: "The named object does not exist.",
    ExitCode.DIFFERENT: "`diff` has found differences.",
}


class Report(msgspec.Struct, frozen=True):
    """The output of a command.

    Parameters
    ----------
    text : str
        The output for people.
    data : dict
        The same as JSON values, for programs.
    code : ExitCode
        The exit code of the tool.
    """

    text: str
    data: dict[str, typing.Any]
    code: ExitCode = ExitCode.DONE


def format_time(millis: float) -> str:
    """Format a time as date and time of day in UTC.

    Parameters
    ----------
    millis : float
        Milliseconds since 1970.
    """
    time = datetime.datetime.fromtimestamp(millis / 1000.0, datetime.UTC)
    return time.strftime("%Y-%m-%d %H:%M:%S")


def format_table(rows: abc.Sequence[abc.Sequence[typing.Any]]) -> str:
    """Format rows in aligned columns; the first row is the header."""
    cells = [[_format_cell(cell) for cell in row] for row in rows]
    widths = [max(map(len, column)) for column in zip(*cells)]
    return "\n".join(
        "  ".join(map(str.ljust, row, widths)).rstrip() for row in cells
    )


def _format_cell(cell: typing.Any) -> str:
    return f"{cell:g}" if isinstance(cell, float) else str(cell)


def report_problems(problems: abc.Sequence[lines.Problem]) -> Report:
    """Return the report about the problems of a rules file."""
    return Report(
        "\n".join(map(str, problems)),
        {"problems": msgspec.to_builtins(problems)},
        ExitCode.INVALID,
    )


def describe_differences(
    found: abc.Sequence[differences.Difference],
) -> list[dict[str, typing.Any]]:
    """Return differences as JSON values."""
    return [
        {
            "kind": one.kind.value,
            "section": one.key[0],
            "name": one.key[1],
            "before": one.before.format() if one.before else None,
            "after": one.after.format() if one.after else None,
            "line": one.after.number if one.after else None,
        }
        for one in found
    ]


def describe_dangers(
    dangers: abc.Sequence[guards.Danger],
) -> list[dict[str, str]]:
    """Return dangers as JSON values."""
    return [
        {"guard": danger.guard.value, "reason": danger.reason}
        for danger in dangers
    ]


def format_differences(
    found: abc.Sequence[differences.Difference],
) -> str:
    """Format differences by rule, with a line of counts."""
    rows = [row for one in found for row in one.describe()]
    counts = [
        f"{sum(one.kind is kind for one in found)} {kind.value}"
        for kind in differences.DifferenceKind
    ]
    return "\n".join([*rows, f"rules: {', '.join(counts)}"])


def format_plan(plan: edits.Plan) -> str:
    """Format what a plan would change and which guards refuse it."""
    head = plan.snapshot.head
    current = plan.snapshot.generation
    if plan.is_empty and head is not None:
        return f"nothing to change: generation {current} says the same"
    parts = []
    if plan.differences:
        parts.append(format_differences(plan.differences))
    else:
        parts.append("rules: no difference, only other lines")
    refused = set(plan.refused)
    for danger in plan.dangers:
        word = "refused" if danger in refused else "allowed"
        parts.append(f"{word}: {danger}")
    if not refused:
        parts.append(
            f"this becomes generation {current + 1}, by {plan.edit.author}: "
            f"{plan.edit.reason}"
        )
    return "\n".join(parts)


def describe_head(head: generations.Head) -> dict[str, typing.Any]:
    """Return a head as JSON values."""
    return {
        "generation": head.generation,
        "change": head.change,
        "author": head.author,
        "reason": head.reason,
        "time": format_time(head.time_ms),
    }


def describe_progress(
    found: abc.Iterable[statuses.HostProgress],
) -> list[dict[str, typing.Any]]:
    """Return the progress on hosts as JSON values."""
    return [
        {
            "host": one.record.host,
            "domain": one.record.domain,
            "progress": one.progress.value,
            "generation": one.generation,
            "reason": one.reason,
        }
        for one in found
    ]


def report_progress(
    head: generations.Head, found: abc.Sequence[statuses.HostProgress]
) -> Report:
    """Return the report about the hosts where a generation is active."""
    pending = [
        one for one in found if one.progress is not statuses.Progress.ACTIVE
    ]
    active = len(found) - len(pending)
    rows = [
        f"generation {head.generation} is accepted and in force on {active} "
        f"of {len(found)} hosts"
    ]
    if pending:
        table = [("host", "domain", "progress", "generation", "reason")]
        table += [
            (
                one.record.host,
                one.record.domain,
                one.progress.value,
                one.generation,
                one.reason,
            )
            for one in pending
        ]
        rows.append(format_table(table))
    data = describe_head(head) | {"hosts": describe_progress(found)}
    done = found and not pending
    code = ExitCode.DONE if done else ExitCode.LAGGING
    return Report("\n".join(rows), data, code)


def report_findings(
    found: abc.Sequence[explanations.Finding],
) -> Report:
    """Return the report about the rules that apply to a request."""
    rows = []
    for one in found:
        rows.append(f"{one.matter}: {one.outcome}")
        if one.line:
            rows.append(f"    {one.line}")
    refused = any(one.outcome.startswith("refused") for one in found)
    code = ExitCode.MISSING if refused else ExitCode.DONE
    data = {"findings": msgspec.to_builtins(found)}
    return Report("\n".join(rows), data, code)


def report_history(entries: abc.Sequence[operations.HistoryEntry]) -> Report:
    """Return the report about accepted changes, with author and reason."""
    rows = []
    for entry in entries:
        head = entry.head
        rows.append(
            f"generation {head.generation}, {format_time(head.time_ms)} UTC, "
            f"{head.author}: {head.reason} (change {head.change})"
        )
        shown = [row for one in entry.differences for row in one.describe()]
        rows.extend(f"    {row}" for row in shown[:MAX_HISTORY_LINES])
        if len(shown) > MAX_HISTORY_LINES:
            rows.append(f"    and {len(shown) - MAX_HISTORY_LINES} lines more")
    data = [
        describe_head(entry.head)
        | {"differences": describe_differences(entry.differences)}
        for entry in entries
    ]
    return Report("\n".join(rows), {"history": data})
