"""The argument parser of the operators' command-line tool."""

import argparse
import os

from chervilshore.decisions import orders
from chervilshore.rules import guards

PLATFORM_VARIABLE = "CHERVILSHORE_PLATFORM"
"""Environment variable with the default of --platform."""

DEFAULT_TIMEOUT_S = 10.0
"""Default time to wait for the platform, and then for the hosts."""


def make_parser() -> argparse.ArgumentParser:
    """Build the argument parser of the tool."""
    common = argparse.ArgumentParser(add_help=False)
    common.add_argument(
        "--json", action="store_true", help="print one JSON object"
    )
    common.add_argument(
        "--platform",
        metavar="ADDRESS",
        default=os.environ.get(PLATFORM_VARIABLE),
        help="IP address and port of the platform's object API "
        f"({PLATFORM_VARIABLE})",
    )
    change = _make_change_parser()
    parser = argparse.ArgumentParser(
        prog="chervilshore", description="Control the configuration."
    )
    add_command = parser.add_subparsers(
        dest="command", required=True, metavar="COMMAND"
    ).add_parser
    command = add_command("check", parents=[common], help="check a rules file")
    command.add_argument("file", help="the file; - reads from standard input")
    command = add_command(
        "format", parents=[common], help="write a rules file in canonical form"
    )
    command.add_argument("file", help="the file; - reads from standard input")
    command.add_argument(
        "--write", action="store_true", help="rewrite the file itself"
    )
    command = add_command(
        "diff", parents=[common], help="compare with the accepted rules"
    )
    command.add_argument("file", help="the file; - reads from standard input")
    command = add_command(
        "apply", parents=[common, change], help="publish a rules file"
    )
    command.add_argument("file", help="the file; - reads from standard input")
    command.add_argument(
        "--generation",
        type=int,
        metavar="N",
        help="the generation that was edited; default: the file's first line",
    )
    command.add_argument(
        "--merge",
        action="store_true",
        help="merge with later edits of other rules",
    )
    command = add_command(
        "show", parents=[common], help="print the accepted rules"
    )
    command.add_argument("--generation", type=int, metavar="N")
    command = add_command(
        "history", parents=[common], help="who changed what and why"
    )
    command.add_argument("--most", type=int, default=20, metavar="N")
    command = add_command(
        "rollback",
        parents=[common, change],
        help="publish the rules of an earlier generation again",
    )
    command.add_argument("generation", type=int)
    command = add_command(
        "domain",
        parents=[common, change],
        help="take a failure domain out or put it back in",
    )
    command.add_argument("state", choices=("out", "in"))
    command.add_argument("name")
    command = add_command(
        "trace", parents=[common], help="trace a request in log files"
    )
    command.add_argument("request", help="its id")
    command.add_argument(
        "logs", nargs="+", metavar="FILE", help="log files; - reads input"
    )
    command = add_command(
        "rollouts",
        parents=[common],
        help="steps of roll-outs, with their evidence, in log files",
    )
    command.add_argument(
        "logs", nargs="+", metavar="FILE", help="log files; - reads input"
    )
    logs = argparse.ArgumentParser(add_help=False)
    logs.add_argument(
        "--logs",
        nargs="+",
        help="read these log files instead of asking the hosts",
    )
    both = [common, logs]
    add_command(
        "status", parents=both, help="hosts, domains, endpoints, limits"
    )
    add_command("refusals", parents=both, help="which requests were refused")
    command = add_command(
        "explain", parents=[common], help="which rules apply to a request"
    )
    command.add_argument(
        "field", nargs="+", help="pipeline=NAME and team=NAME of a request"
    )
    command = add_command(
        "prune", parents=[common], help="remove old generations"
    )
    command.add_argument(
        "--keep",
        type=_parse_positive,
        required=True,
        metavar="N",
        help="number of newest generations to keep",
    )
    command = add_command(
        "settle",
        parents=[common],
        help="find out whether a change was accepted",
    )
    command.add_argument("generation", type=int)
    command.add_argument("change")
    _add_order_commands(add_command, common)
    return parser


def _add_order_commands(add_command, common: argparse.ArgumentParser) -> None:
    command = add_command(
        "order",
        parents=[common],
        help="submit an order to engines, at most once",
    )
    command.add_argument("pool")
    command.add_argument(
        "kind", choices=[kind.value for kind in orders.OrderKind]
    )
    command.add_argument(
        "argument", help="the model, adapter, version or role"
    )
    command.add_argument(
        "--endpoint",
        action="append",
        default=[],
        help="an engine; may be repeated; default: all of the pool",
    )
    command.add_argument("--reason", required=True, help="why it is submitted")
    command.add_argument(
        "--author", help="who submits it; default: the user name"
    )
    command.add_argument(
        "--order", default="", help="id of an order to submit again"
    )
    command = add_command(
        "orders", parents=[common], help="progress of the orders of a pool"
    )
    command.add_argument("pool")


def _make_change_parser() -> argparse.ArgumentParser:
    change = argparse.ArgumentParser(add_help=False)
    change.add_argument("--reason", required=True, help="why it is changed")
    change.add_argument(
        "--author", default=None, help="who changes it; default: the user name"
    )
    change.add_argument(
        "--allow",
        action="append",
        default=[],
        choices=[guard.value for guard in guards.Guard],
        help="override a guard; may be repeated",
    )
    change.add_argument(
        "--timeout",
        type=float,
        default=DEFAULT_TIMEOUT_S,
        metavar="S",
        help="seconds to wait for the platform, and then for the hosts",
    )
    change.add_argument(
        "--dry-run", action="store_true", help="only show what would change"
    )
    return change


def _parse_positive(text: str) -> int:
    number = int(text)
    if number < 1:
        raise ValueError(text)
    return number
