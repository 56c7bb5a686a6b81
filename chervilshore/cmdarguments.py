"""The words that the operators' tool takes."""

import argparse
import os

from chervilshore.decisions import orders
from chervilshore.rules import guards

PLATFORM_VARIABLE = "CHERVILSHORE_PLATFORM"
DEFAULT_TIMEOUT_S = 10.0
"""Seconds that the platform and the hosts have unless it is said otherwise."""


def make_parser() -> argparse.ArgumentParser:
    """Make the tool's command line."""
    common = argparse.ArgumentParser(add_help=False)
    common.add_argument(
        "--json", action="store_true", help="print one JSON object"
    )
    common.add_argument(
        "--platform",
        metavar="ADDRESS",
        default=os.environ.get(PLATFORM_VARIABLE),
        help="IP number and port of the platform's object API "
        f"({PLATFORM_VARIABLE})",
    )
    change = _make_change_parser()
    parser = argparse.ArgumentParser(
        prog="chervilshore", description="Control the configuration."
    )
    add = parser.add_subparsers(
        dest="command", required=True, metavar="COMMAND"
    ).add_parser
    one = add("check", parents=[common], help="check a rules file")
    one.add_argument("file", help="the file; - reads from standard input")
    one = add("format", parents=[common], help="write it in the usual form")
    one.add_argument("file", help="the file; - reads from standard input")
    one.add_argument(
        "--write", action="store_true", help="rewrite the file itself"
    )
    one = add("diff", parents=[common], help="compare with what is accepted")
    one.add_argument("file", help="the file; - reads from standard input")
    one = add("apply", parents=[common, change], help="have a file accepted")
    one.add_argument("file", help="the file; - reads from standard input")
    one.add_argument(
        "--generation",
        type=int,
        metavar="N",
        help="the generation that was edited; the file's first line says it",
    )
    one.add_argument(
        "--merge",
        action="store_true",
        help="join it with later edits of other rules",
    )
    one = add("show", parents=[common], help="print the accepted rules")
    one.add_argument("--generation", type=int, metavar="N")
    one = add("history", parents=[common], help="who changed what and why")
    one.add_argument("--most", type=int, default=20, metavar="N")
    one = add(
        "rollback",
        parents=[common, change],
        help="have an earlier generation's rules accepted anew",
    )
    one.add_argument("generation", type=int)
    one = add(
        "domain",
        parents=[common, change],
        help="take a failure domain out or back in",
    )
    one.add_argument("state", choices=("out", "in"))
    one.add_argument("name")
    one = add("trace", parents=[common], help="what became of a request")
    one.add_argument("request", help="its id")
    one.add_argument(
        "logs", nargs="+", metavar="FILE", help="log files; - reads input"
    )
    logs = argparse.ArgumentParser(add_help=False)
    logs.add_argument("--logs", nargs="+", help="tell from these log files")
    both = [common, logs]
    add("status", parents=both, help="hosts, domains, endpoints, limits")
    add("refusals", parents=both, help="which requests were refused")
    one = add("explain", parents=[common], help="which rules would decide")
    one.add_argument(
        "field", nargs="+", help="pipeline=NAME and team=NAME of a request"
    )
    one = add("prune", parents=[common], help="remove old generations")
    one.add_argument(
        "--keep",
        type=_parse_positive,
        required=True,
        metavar="N",
        help="newest generations that stay",
    )
    one = add("settle", parents=[common], help="ask for a change's outcome")
    one.add_argument("generation", type=int)
    one.add_argument("change")
    _add_order_commands(add, common)
    return parser


def _add_order_commands(add, common: argparse.ArgumentParser) -> None:
    one = add("order", parents=[common], help="give engines an order, once")
    one.add_argument("pool")
    one.add_argument("kind", choices=[kind.value for kind in orders.OrderKind])
    one.add_argument("argument", help="the model, adapter, version or role")
    one.add_argument(
        "--endpoint",
        action="append",
        default=[],
        help="an engine; may be given again; else all of the pool",
    )
    one.add_argument("--reason", required=True, help="why it is given")
    one.add_argument("--author", help="who gives it; else the user's name")
    one.add_argument(
        "--order", default="", help="its id, to submit the same one again"
    )
    one = add("orders", parents=[common], help="what became of orders")
    one.add_argument("pool")


def _make_change_parser() -> argparse.ArgumentParser:
    change = argparse.ArgumentParser(add_help=False)
    change.add_argument("--reason", required=True, help="why it is changed")
    change.add_argument(
        "--author", default=None, help="who changes it; else the user's name"
    )
    change.add_argument(
        "--allow",
        action="append",
        default=[],
        choices=[guard.value for guard in guards.Guard],
        help="override a guard; may be given again",
    )
    change.add_argument(
        "--timeout",
        type=float,
        default=DEFAULT_TIMEOUT_S,
        metavar="S",
        help="seconds to wait for the platform, and then for the hosts",
    )
    change.add_argument(
        "--dry-run", action="store_true", help="only say what it would do"
    )
    return change


def _parse_positive(text: str) -> int:
    kept = int(text)
    if kept < 1:
        raise ValueError(text)
    return kept
