"""Generates the tables in docs/ from the code."""

from collections import abc as collections_abc
import enum
import logging
import pathlib

import msgspec

from chervilshore import events
from chervilshore import metrics
from chervilshore import reports
from chervilshore import results
from chervilshore.rules import guards
from chervilshore.rules import model
from chervilshore.rules import schema
from chervilshore import settingspecs

BEGIN = "<!-- table from the code: make tables -->"
"""Mark before a generated table."""

END = "<!-- end of table -->"
"""Mark after a generated table."""


def format_table(
    headings: collections_abc.Sequence[str],
    rows: collections_abc.Iterable[collections_abc.Sequence[str]],
) -> str:
    """Format a table in Markdown.

    Parameters
    ----------
    headings : sequence of str
        The headings of the columns.
    rows : iterable of sequences of str
        The cells of each row.
    """
    lines = ["| " + " | ".join(headings) + " |"]
    lines.append("| " + " | ".join("---" for _ in headings) + " |")
    lines.extend("| " + " | ".join(row) + " |" for row in rows)
    return "\n".join(lines)


def format_results() -> str:
    """Format the table of result codes."""
    rows = [
        (
            str(code.value.number),
            code.name,
            code.value.family.value,
            str(code.value.status),
            code.value.text,
        )
        for code in results.Code
    ]
    headings = ("number", "name", "family", "HTTP status", "meaning")
    return format_table(headings, rows)


def format_events() -> str:
    """Format the table of events."""
    rows = [
        (
            str(event.value.number),
            event.name,
            logging.getLevelName(event.value.level).lower(),
            event.value.text,
        )
        for event in events.Event
    ]
    return format_table(("number", "name", "level", "text"), rows)


def format_metrics() -> str:
    """Format the table of metrics."""
    rows = [
        (
            metric.value.name,
            metric.value.kind.value,
            ", ".join(metric.value.labels),
            metric.value.text,
        )
        for metric in metrics.Metric
    ]
    return format_table(("name", "kind", "labels", "meaning"), rows)


def format_settings() -> str:
    """Format the table of settings."""
    rows = [
        (
            setting.flag,
            setting.variable,
            "required" if setting.default is None else setting.default,
            setting.kind.allowed,
            setting.text,
        )
        for setting in settingspecs.SETTINGS
    ]
    headings = ("flag", "variable", "default", "allowed", "meaning")
    return format_table(headings, rows)


def format_rules() -> str:
    """Format the table of rules and their fields."""
    rows = [
        (
            kind,
            f"{word}=",
            _format_default(rule_kind, field),
            field.value.expected,
        )
        for kind, rule_kind in schema.RULE_KINDS.items()
        for word, field in rule_kind.fields.items()
    ]
    return format_table(("rule", "field", "default", "allowed"), rows)


def _format_default(rule_kind: schema.RuleKind, field: schema.Field) -> str:
    if field.required:
        return "required"
    # The build of a service is a function that returns a Pipeline.
    rule_type = (
        rule_kind.build
        if isinstance(rule_kind.build, type)
        else model.Pipeline
    )
    default = next(
        known.default
        for known in msgspec.structs.fields(rule_type)
        if known.name == field.attribute
    )
    if isinstance(default, bool):
        return "yes" if default else "no"
    if isinstance(default, enum.Enum):
        return default.value
    if isinstance(default, float):
        return f"{default:g}"
    if default in ("", ()):
        return "any" if rule_type is model.Route else "none"
    return str(default)


def format_guards() -> str:
    """Format the table of guards."""
    rows = [(guard.value, guard.text) for guard in guards.Guard]
    return format_table(("override", "refused without it"), rows)


def format_exit_codes() -> str:
    """Format the table of the tool's exit codes."""
    rows = [(str(code.value), code.text) for code in reports.ExitCode]
    return format_table(("exit code", "meaning"), rows)


TABLES = {
    "RESULTS.md": format_results,
    "EVENTS.md": format_events,
    "METRICS.md": format_metrics,
    "SETTINGS.md": format_settings,
    "RULES.md": format_rules,
    "GUARDS.md": format_guards,
    "EXITCODES.md": format_exit_codes,
}
"""The function that formats the table of each page."""


def replace_table(page: str, table: str, begin: str = BEGIN) -> str:
    """Return a page with its generated table replaced.

    Parameters
    ----------
    page : str
        The text of the page.
    table : str
        The new table.
    begin : str
        The mark before the table.
    """
    before, _, rest = page.partition(begin)
    _, _, after = rest.partition(END)
    return f"{before}{begin}\n\n{table}\n\n{END}{after}"


def main() -> None:
    """Rewrite the generated tables of all pages."""
    docs = pathlib.Path(__file__).resolve().parent.parent / "docs"
    for name, make_table in TABLES.items():
        path = docs / name
        path.write_text(replace_table(path.read_text(), make_table()))


if __name__ == "__main__":
    main()
