"""The operators' command-line tool, `chervilshore`."""

import argparse
import asyncio
from collections import abc
import contextlib
import getpass
import pathlib
import sys

import msgspec
import orjson

from chervilshore.clients import admin as admin_clients
from chervilshore.clients import platform as platforms
from chervilshore.clients import sessions
from chervilshore import clock as clocks
from chervilshore import cmdarguments
from chervilshore import commands
from chervilshore.decisions import orders
from chervilshore import edits
from chervilshore import exceptions
from chervilshore import ids
from chervilshore import logreports
from chervilshore import operations
from chervilshore import ordercommands
from chervilshore import reports
from chervilshore import rolloutreports
from chervilshore.rules import guards
from chervilshore import traces

PLATFORM_TIMEOUT_MS = 1000.0
"""Timeout of one call to the platform."""


class CommandLine:
    """Runs one command of the tool.

    Parameters
    ----------
    platform : Platform or None
        Stores the configuration; None connects to the address that the
        arguments give.
    admin : StatusClient or None
        Fetches the status of hosts; None does so over HTTP.
    write : callable
        Prints the output.
    clock : Clock or None
        Measures all waits; None means the system clock.
    """

    def __init__(
        self,
        platform: platforms.Platform | None = None,
        admin: admin_clients.StatusClient | None = None,
        write: abc.Callable[[str], None] = print,
        clock: clocks.Clock | None = None,
    ) -> None:
        self._clock = clock or clocks.SystemClock()
        self._platform = platform
        self._admin = admin
        self._write = write

    async def run(self, words: abc.Sequence[str]) -> int:
        """Run the command given by the words of a command line.

        Returns
        -------
        int
            The exit code; see `reports.ExitCode`.
        """
        arguments = cmdarguments.make_parser().parse_args(words)
        try:
            report = await self._run_command(arguments)
        except exceptions.ChervilshoreError as error:
            report = commands.report_failure(error)
        if arguments.json:
            data = {"exit": int(report.code)} | report.data
            text = orjson.dumps(data, option=orjson.OPT_INDENT_2)
            self._write(text.decode())
        elif report.text:
            self._write(report.text)
        return int(report.code)

    async def _run_command(
        self, arguments: argparse.Namespace
    ) -> reports.Report:
        if arguments.command == "check":
            return commands.check(*_read_file(arguments.file))
        if arguments.command == "format":
            return _format(arguments)
        if getattr(arguments, "logs", None):
            return _report_from_logs(arguments)
        async with contextlib.AsyncExitStack() as stack:
            session = await stack.enter_async_context(sessions.open_session())
            platform = self._platform or _connect(arguments, stack)
            if arguments.command in _ORDER_COMMANDS:
                return await _ORDER_COMMANDS[arguments.command](
                    platform, arguments
                )
            admin = self._admin or admin_clients.HttpStatusClient(session)
            operator = operations.Operations(platform, admin, self._clock)
            run = commands.Commands(
                operator, self._choose_print_line(arguments)
            )
            return await getattr(self, f"_{arguments.command}")(run, arguments)

    def _choose_print_line(
        self, arguments: argparse.Namespace
    ) -> commands.PrintLine:
        if arguments.json:
            return lambda text: None
        return self._write

    async def _show(self, run, arguments) -> reports.Report:
        return await run.show(arguments.generation)

    async def _diff(self, run, arguments) -> reports.Report:
        document = edits.parse(*_read_file(arguments.file))
        return await run.diff(document)

    async def _apply(self, run, arguments) -> reports.Report:
        text, file = _read_file(arguments.file)
        edit = _make_edit(
            arguments,
            document=edits.parse(text, file),
            base=arguments.generation,
            merge=arguments.merge,
        )
        report = await run.apply(
            edit, arguments.timeout * 1000.0, arguments.dry_run
        )
        if edit.document.generation is None or arguments.dry_run:
            return report
        return await self._rewrite(run, arguments.file, report)

    async def _rewrite(self, run, file: str, report) -> reports.Report:
        """Write the accepted rules, with the edits of others, to the file."""
        try:
            accepted = await run.show(report.data["generation"])
            _write_file(file, accepted.data["text"])
        except (exceptions.ChervilshoreError, OSError) as error:
            # The change is accepted, so the report must not look failed.
            text = f"{report.text}\n{file} was not rewritten: {error}"
            return msgspec.structs.replace(report, text=text)
        return report

    async def _rollback(self, run, arguments) -> reports.Report:
        return await run.rollback(
            arguments.generation,
            _make_edit(arguments),
            arguments.timeout * 1000.0,
            arguments.dry_run,
        )

    async def _domain(self, run, arguments) -> reports.Report:
        return await run.set_domain(
            arguments.name,
            arguments.state,
            _make_edit(arguments),
            arguments.timeout * 1000.0,
            arguments.dry_run,
        )

    async def _history(self, run, arguments) -> reports.Report:
        return await run.history(arguments.most)

    async def _status(self, run, arguments) -> reports.Report:
        return await run.status()

    async def _refusals(self, run, arguments) -> reports.Report:
        return await run.refusals()

    async def _explain(self, run, arguments) -> reports.Report:
        return await run.explain(arguments.field)

    async def _prune(self, run, arguments) -> reports.Report:
        return await run.prune(arguments.keep)

    async def _settle(self, run, arguments) -> reports.Report:
        return await run.settle(arguments.generation, arguments.change)


async def _order(platform, arguments) -> reports.Report:
    order = orders.Order(
        order=ids.OrderId(arguments.order),
        pool=ids.PoolName(arguments.pool),
        kind=orders.OrderKind(arguments.kind),
        argument=arguments.argument,
        endpoints=tuple(map(ids.EndpointId, arguments.endpoint)),
        author=arguments.author or getpass.getuser(),
        reason=arguments.reason,
    )
    return await ordercommands.submit(platform, order)


async def _orders(platform, arguments) -> reports.Report:
    return await ordercommands.show(platform, ids.PoolName(arguments.pool))


_ORDER_COMMANDS = {"order": _order, "orders": _orders}


def _make_edit(arguments: argparse.Namespace, **fields) -> edits.Edit:
    fields.setdefault("document", None)
    return edits.Edit(
        author=arguments.author or getpass.getuser(),
        reason=" ".join(arguments.reason.split()),
        allowed=frozenset(map(guards.Guard, arguments.allow)),
        **fields,
    )


def _read_file(name: str) -> tuple[str, str]:
    if name == "-":
        return sys.stdin.read(), "standard input"
    try:
        # Some editors begin a file with a byte order mark.
        return pathlib.Path(name).read_text("utf-8-sig"), name
    except (OSError, UnicodeDecodeError) as error:
        raise exceptions.RulesError(f"{name}: {error}") from error


def _write_file(file: str, text: str) -> None:
    if file == "-":
        return
    # Renaming is atomic: a crash leaves the old file or the new one.
    path = pathlib.Path(file)
    temporary = path.with_name(path.name + ".new")
    temporary.write_text(text)
    temporary.replace(path)


def _format(arguments: argparse.Namespace) -> reports.Report:
    report = commands.format_file(*_read_file(arguments.file))
    if not arguments.write or arguments.file == "-":
        return report
    _write_file(arguments.file, report.data["text"])
    word = "rewritten" if report.data["changed"] else "unchanged"
    return reports.Report(f"{arguments.file}: {word}", report.data)


def _report_from_logs(arguments: argparse.Namespace) -> reports.Report:
    logs = map(_read_file, arguments.logs)
    if arguments.command == "trace":
        return traces.trace(arguments.request, logs)
    if arguments.command == "rollouts":
        return rolloutreports.describe_rollouts(logs)
    if arguments.command == "status":
        return logreports.describe_hosts(logs)
    return logreports.count_refusals(logs)


def _connect(
    arguments: argparse.Namespace, stack: contextlib.AsyncExitStack
) -> platforms.Platform:
    if not arguments.platform:
        raise exceptions.SettingsError(
            f"--platform ({cmdarguments.PLATFORM_VARIABLE}) is required"
        )
    # Imported here: checking a file needs no network client.
    from chervilshore.clients import rest

    platform = rest.RestPlatform(arguments.platform, PLATFORM_TIMEOUT_MS)
    stack.push_async_callback(platform.close)
    return platform


def main() -> None:
    """Run the tool with the arguments of the process."""
    sys.exit(asyncio.run(CommandLine().run(sys.argv[1:])))


if __name__ == "__main__":
    main()
