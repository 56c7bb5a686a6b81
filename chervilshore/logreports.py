"""Reports about refusals and the state of hosts, read from log files."""

import collections
from collections import abc as collections_abc

from chervilshore import events
from chervilshore import reports
from chervilshore import results
from chervilshore import traces

Logs = collections_abc.Iterable[tuple[str, str]]
"""The text and the source of each log."""

MAX_DETAIL_CHARS = 40
"""Length of the details by which refusals are grouped."""


def count_refusals(logs: Logs) -> reports.Report:
    """Return the report about refused and failed requests, by cause.

    Parameters
    ----------
    logs : iterable of tuple
        The text and the source of each log, such as its file name.
    """
    counts: collections.Counter[tuple[int, str, str]] = collections.Counter()
    for entry in read_entries(logs):
        fields = entry.fields
        event = events.BY_NUMBER.get(fields.get("event"))
        if event is events.Event.REQUEST_FORWARDED and fields.get("code"):
            detail = _strip_numbers(str(fields.get("detail", "")))
            pipeline = str(fields.get("pipeline", ""))
            counts[fields["code"], pipeline, detail] += 1
    rows = []
    for (number, pipeline, detail), count in counts.most_common():
        code = results.BY_NUMBER.get(number)
        rows.append(
            {
                "number": number,
                "name": code.name if code else "",
                "family": code.value.family.value if code else "",
                "pipeline": pipeline,
                "detail": detail,
                "count": count,
            }
        )
    lines = [f"{sum(counts.values())} refused or failed in these logs:"]
    lines += [
        f"{row['count']:6d}  {row['number']} {row['name']}  "
        f"{row['pipeline']}  {row['detail']}".rstrip()
        for row in rows
    ]
    return reports.Report("\n".join(lines), {"refusals": rows})


def describe_hosts(logs: Logs) -> reports.Report:
    """Return the report about the state of each host at the end of its log.

    Parameters
    ----------
    logs : iterable of tuple
        The text and the source of each log, such as its file name.
    """
    hosts: dict[str, _HostState] = {}
    for entry in read_entries(logs):
        hosts.setdefault(entry.source, _HostState()).record(entry.fields)
    rows = [
        {"host": source} | state.describe()
        for source, state in sorted(hosts.items())
    ]
    lines = [
        f"{row['host']}: generation {row['generation']}, "
        f"{row['starts']} starts, {row['endpoints']} endpoints, "
        f"cannot read {', '.join(row['unread']) or 'nothing'}, "
        f"down {', '.join(row['down']) or 'nobody'}"
        f"{_format_refusal(row['settings_refused'])}"
        for row in rows
    ]
    return reports.Report("\n".join(lines), {"hosts": rows})


class _HostState:
    """State of a host, rebuilt from its log lines."""

    def __init__(self) -> None:
        self._starts = 0
        self._reset()

    def _reset(self) -> None:
        self._generation = 0
        self._endpoints: set[str] = set()
        self._unread: set[str] = set()
        self._down: set[str] = set()
        self._settings_refusal = ""

    def record(self, fields: dict) -> None:
        """Update the state from a line; lines come in the order of the log."""
        event = events.BY_NUMBER.get(fields.get("event"))
        if event is events.Event.STARTED:
            self._starts += 1
            self._reset()
        elif event is events.Event.GENERATION_ACTIVE:
            self._generation = fields["generation"]
        elif event is events.Event.ENDPOINT_LISTED:
            self._endpoints.add(fields["endpoint"])
        elif event is events.Event.ENDPOINT_UNLISTED:
            self._endpoints.discard(fields["endpoint"])
        elif event is events.Event.STORE_UNREADABLE:
            self._unread.add(fields["kind"])
        elif event is events.Event.STORE_READABLE:
            self._unread.discard(fields["kind"])
        elif event is events.Event.HOST_DOWN:
            self._down.add(fields["host"])
        elif event is events.Event.HOST_ALIVE:
            self._down.discard(fields["host"])
        elif event is events.Event.SETTINGS_REFUSED:
            self._settings_refusal = str(fields.get("error"))
        elif event is events.Event.RELOADED:
            self._settings_refusal = ""

    def describe(self) -> dict:
        """Return the state as JSON values."""
        return {
            "starts": self._starts,
            "generation": self._generation,
            "endpoints": len(self._endpoints),
            "unread": sorted(self._unread),
            "down": sorted(self._down),
            "settings_refused": self._settings_refusal,
        }


def _format_refusal(refusal: str) -> str:
    return f", refuses new settings: {refusal}" if refusal else ""


def read_entries(logs: Logs) -> collections_abc.Iterator[traces.LogEntry]:
    """Yield the entries of all logs, in the order of each."""
    for text, source in logs:
        for line in text.splitlines():
            entry = traces.parse_line(line, source)
            if entry is not None:
                yield entry


def _strip_numbers(detail: str) -> str:
    """Replace numbers by N, so that similar details are counted together."""
    words = detail.split()
    replaced = ["N" if _is_number(word) else word for word in words]
    return " ".join(replaced)[:MAX_DETAIL_CHARS]


def _is_number(word: str) -> bool:
    return word.replace(".", "", 1).isdigit()
