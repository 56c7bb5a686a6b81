"""The commands of the operators' command-line tool."""

from collections import abc

import msgspec

from chervilshore import changes
from chervilshore import edits
from chervilshore import exceptions
from chervilshore import ids
from chervilshore import operations
from chervilshore import overviews
from chervilshore import reports
from chervilshore.rules import checks
from chervilshore.rules import differences
from chervilshore.rules import explanations
from chervilshore.rules import generations
from chervilshore.rules import lines

PrintLine = abc.Callable[[str], None]
"""Prints a line for people while the command is still running."""


def check(text: str, file: str) -> reports.Report:
    """Check a rules file and count its rules.

    Raises
    ------
    exceptions.RulesInvalid
        The file has problems.
    """
    document = edits.parse(text, file)
    counts: dict[str, int] = {}
    for line in document.lines:
        counts[line.kind] = counts.get(line.kind, 0) + 1
    summary = ", ".join(f"{count} {kind}" for kind, count in counts.items())
    total = len(document.lines)
    return reports.Report(
        f"{file}: {total} rules, no problems ({summary})",
        {"file": file, "rules": total, "counts": counts, "problems": []},
    )


def format_file(text: str, file: str) -> reports.Report:
    """Return a rules file in its canonical form."""
    document = edits.parse(text, file)
    formatted = generations.format_document(document)
    if document.generation is not None:
        header = lines.write_header(document.generation)
        formatted = f"{header}\n{formatted}"
    changed = formatted != text
    return reports.Report(
        formatted.rstrip("\n"), {"text": formatted, "changed": changed}
    )


class Commands:
    """The commands that use the platform.

    Parameters
    ----------
    operator : Operations
        Reads and changes the configuration.
    print_line : callable
        Prints lines for people before the command ends.
    """

    def __init__(
        self, operator: operations.Operations, print_line: PrintLine
    ) -> None:
        self._operator = operator
        self._print_line = print_line

    async def show(self, generation: ids.Generation | None) -> reports.Report:
        """Show the rules file of a generation."""
        text = await self._operator.show(generation)
        return reports.Report(text.rstrip("\n"), {"text": text})

    async def diff(self, document: lines.Document) -> reports.Report:
        """Show the rules that differ between a file and the accepted ones."""
        snapshot = await self._operator.store.read()
        current = await self._operator.store.read_document(snapshot.head)
        found = differences.compare(current, document)
        code = reports.ExitCode.DONE
        if found:
            code = reports.ExitCode.DIFFERENT
        data = {
            "generation": snapshot.generation,
            "differences": reports.describe_differences(found),
        }
        return reports.Report(reports.format_differences(found), data, code)

    async def apply(
        self, edit: edits.Edit, timeout_ms: float, dry_run: bool = False
    ) -> reports.Report:
        """Publish an edit and wait until it is active on all hosts.

        With `dry_run`, only check it.

        Raises
        ------
        exceptions.GuardRefused
            The edit looks like a mistake and no override allows it.
        """
        plan = await self._operator.plan(edit)
        self._print_line(reports.format_plan(plan))
        if plan.refused:
            raise exceptions.GuardRefused(plan.refused)
        data = {
            "base": plan.snapshot.generation,
            "differences": reports.describe_differences(plan.differences),
            "overridden": reports.describe_dangers(plan.dangers),
        }
        if dry_run:
            return reports.Report("nothing was changed (--dry-run)", data)
        head = await self._operator.apply(plan, timeout_ms)
        found = await self._operator.hosts.wait_until_active(
            head.generation, head.change, timeout_ms
        )
        report = reports.report_progress(head, found)
        return msgspec.structs.replace(report, data=data | report.data)

    async def rollback(
        self,
        generation: ids.Generation,
        edit: edits.Edit,
        timeout_ms: float,
        dry_run: bool = False,
    ) -> reports.Report:
        """Publish the rules of an earlier generation as a new one."""
        edit = await self._operator.make_rollback_edit(generation, edit)
        return await self.apply(edit, timeout_ms, dry_run)

    async def set_domain(
        self,
        domain: ids.DomainId,
        state: str,
        edit: edits.Edit,
        timeout_ms: float,
        dry_run: bool = False,
    ) -> reports.Report:
        """Set the state of a failure domain, `out` or `in`."""
        key = ("domain", domain)
        edit = await self._operator.make_field_edit(key, "state", state, edit)
        return await self.apply(edit, timeout_ms, dry_run)

    async def history(self, max_entries: int) -> reports.Report:
        """Show up to `max_entries` accepted changes, the newest first."""
        return reports.report_history(
            await self._operator.read_history(max_entries)
        )

    async def status(self) -> reports.Report:
        """Show hosts, domains, endpoints, grants and limits."""
        snapshot = await self._operator.store.read()
        document = await self._operator.store.read_document(snapshot.head)
        rules = checks.gather(line.rule for line in document.lines)
        host_list = await self._operator.hosts.read_host_list()
        answers = await self._operator.hosts.fetch_all(host_list.hosts)
        return overviews.report_status(
            snapshot.generation, rules, host_list, answers
        )

    async def refusals(self) -> reports.Report:
        """Show how many requests were refused, by result code."""
        host_list = await self._operator.hosts.read_host_list()
        answers = await self._operator.hosts.fetch_all(host_list.hosts)
        return overviews.report_refusals(answers)

    async def explain(self, words: abc.Iterable[str]) -> reports.Report:
        """Show which rules apply to a request.

        Parameters
        ----------
        words : iterable of str
            Fields of the request, as `pipeline=NAME` and `team=NAME`.
        """
        fields = explanations.parse_fields(words)
        snapshot = await self._operator.store.read()
        document = await self._operator.store.read_document(snapshot.head)
        found = explanations.explain(document, fields)
        return reports.report_findings(found)

    async def prune(self, keep_count: int) -> reports.Report:
        """Remove what only generations before the last `keep_count` need."""
        removed = await self._operator.prune(keep_count)
        text = (
            f"{removed} objects removed; "
            f"the last {keep_count} generations stay"
        )
        return reports.Report(text, {"removed": removed, "kept": keep_count})

    async def settle(
        self, generation: ids.Generation, change: ids.ChangeId
    ) -> reports.Report:
        """Show whether a change with an unknown outcome was accepted."""
        outcome = await self._operator.store.settle(generation, change)
        code = _OUTCOME_CODES[outcome]
        text = f"change {change} for generation {generation}: "
        text += _OUTCOME_TEXTS[outcome]
        return reports.Report(text, {"verdict": outcome.value}, code)


_OUTCOME_CODES = {
    changes.Outcome.ACCEPTED: reports.ExitCode.DONE,
    changes.Outcome.CONFLICT: reports.ExitCode.CONFLICT,
    changes.Outcome.NOT_ACCEPTED: reports.ExitCode.CONFLICT,
    changes.Outcome.UNKNOWN: reports.ExitCode.UNKNOWN,
}


_OUTCOME_TEXTS = {
    changes.Outcome.ACCEPTED: "it was accepted",
    changes.Outcome.CONFLICT: "not accepted; another change has that number",
    changes.Outcome.NOT_ACCEPTED: "not accepted",
    changes.Outcome.UNKNOWN: "not known yet; it may still be accepted",
}


_ERROR_CODES = (
    (exceptions.GuardRefused, reports.ExitCode.GUARDED),
    (exceptions.ChangeConflict, reports.ExitCode.CONFLICT),
    (exceptions.ChangeUnknown, reports.ExitCode.UNKNOWN),
    (exceptions.ObjectMissing, reports.ExitCode.MISSING),
    (exceptions.PlatformError, reports.ExitCode.UNAVAILABLE),
    (exceptions.ChervilshoreError, reports.ExitCode.FAILED),
)


def report_failure(error: exceptions.ChervilshoreError) -> reports.Report:
    """Return the report for an error, with the exit code of its class."""
    if isinstance(error, exceptions.RulesInvalid):
        return reports.report_problems(error.problems)
    code = next(code for kind, code in _ERROR_CODES if isinstance(error, kind))
    data = {"error": type(error).__name__, "text": str(error)}
    if isinstance(error, exceptions.GuardRefused):
        data["dangers"] = reports.describe_dangers(error.dangers)
    if isinstance(error, exceptions.ChangeConflict):
        data["conflicts"] = [str(one) for one in error.conflicts]
    if isinstance(error, exceptions.ChangeUnknown):
        data |= {"generation": error.generation, "change": error.change}
    text = f"{code.name.lower()}: {error}"
    if code is reports.ExitCode.UNAVAILABLE:
        text = f"the platform does not answer, nothing was changed: {error}"
    return reports.Report(text, data, code)
