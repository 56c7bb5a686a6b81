"""The trace of one request, from the log lines of all hosts."""

from collections import abc as collections_abc

import msgspec

from chervilshore import events
from chervilshore import reports
from chervilshore import results

HIDDEN = frozenset(
    {"time_ms", "steady_ms", "level", "module", "event", "text", "request"}
)
"""Fields that a trace shows in another place or not at all."""

_LINE = msgspec.json.Decoder(dict)


class LogEntry(msgspec.Struct, frozen=True):
    """A parsed log line.

    Parameters
    ----------
    source : str
        The file of the line, and the host if the line starts with its name.
    fields : dict
        The fields of the line.
    """

    source: str
    fields: dict

    @property
    def time_ms(self) -> float:
        """The time of the line, in milliseconds since 1970."""
        return float(self.fields.get("time_ms", 0.0))


def find_entries(
    request: str, lines: collections_abc.Iterable[str], source: str
) -> list[LogEntry]:
    """Return the lines of a log that are about a request, in order.

    Parameters
    ----------
    request : str
        The request id.
    lines : iterable of str
        The lines of a log.
    source : str
        The name of the log file.
    """
    found = []
    for line in lines:
        entry = parse_line(line, source) if request in line else None
        if entry is None:
            continue
        is_own = entry.fields.get("request") == request
        if is_own or request in entry.fields.get("requests", ()):
            found.append(entry)
    return found


def parse_line(line: str, source: str) -> LogEntry | None:
    """Parse a line of a log.

    The last word before the JSON object, such as the name of the host, is
    added to the source.

    Returns
    -------
    LogEntry or None
        None for a line that was cut or that another program wrote.
    """
    before, brace, rest = line.partition("{")
    try:
        fields = _LINE.decode(brace + rest)
    except msgspec.DecodeError:
        return None
    return LogEntry(" ".join([source, *before.split()[-1:]]), fields)


def sort_entries(entries: list[LogEntry]) -> list[LogEntry]:
    """Sort the lines of several hosts by time.

    Lines of one source keep their order even if its clock steps back.
    """
    by_source: dict[str, list[LogEntry]] = {}
    for entry in entries:
        by_source.setdefault(entry.source, []).append(entry)
    keyed = []
    for found in by_source.values():
        latest = 0.0
        for entry in found:
            latest = max(latest, entry.time_ms)
            keyed.append((latest, entry))
    keyed.sort(key=lambda pair: pair[0])
    return [entry for _, entry in keyed]


def explain(entries: list[LogEntry]) -> str:
    """Describe in words how a request ended and why."""
    ends = [
        entry.fields
        for entry in entries
        if entry.fields.get("event")
        == events.Event.REQUEST_FORWARDED.value.number
    ]
    if not ends:
        return (
            "No line tells its end: its host was killed, cut its lines "
            "under load, or its log is not among these files."
        )
    end = ends[-1]
    code = results.BY_NUMBER.get(end.get("code"))
    if code is None:
        return f"It ended with a code that is not known: {end.get('code')}."
    words = [
        f"It ended after {end.get('millis')} ms with {code.value.number} "
        f"{code.name} (status {end.get('status')}): {code.value.text}"
    ]
    if end.get("detail"):
        words.append(f"What its host said: {end['detail']}.")
    words += _find_causes(entries)
    return " ".join(words)


def _find_causes(entries: list[LogEntry]) -> list[str]:
    """Describe failures, the earliest first, then the chosen endpoints."""
    events_by_number = {event.value.number: event for event in events.Event}
    words = []
    for entry in entries:
        fields = entry.fields
        event = events_by_number.get(fields.get("event"))
        if event is events.Event.BATCH_OWNER_UNREACHABLE:
            words.append(
                f"The keeper {fields['keeper']} of pool {fields['pool']} "
                "did not answer."
            )
        elif event is events.Event.REQUEST_LOST:
            ending = "and ended" if fields["ended"] else "and runs on"
            words.append(
                f"Endpoint {fields['endpoint']} closed its connection "
                f"{ending}."
            )
        elif event is events.Event.BATCH_JOB_ENDED and fields.get("failure"):
            words.append(
                f"Stage {fields['stage']} at pool {fields['pool']} brought "
                f"nothing: {fields['failure']}."
            )
        elif event is events.Event.BATCH_CALL_ENDED:
            if fields.get("outcome") != "made":
                words.append(
                    f"A call to {fields['endpoint']} was "
                    f"{fields['outcome']} after {fields['millis']} ms."
                )
            elif fields["millis"] > 2 * fields["expected_ms"]:
                words.append(
                    f"A call to {fields['endpoint']} took "
                    f"{fields['millis']} ms, {fields['expected_ms']} were "
                    "expected."
                )
    chosen = [
        entry.fields["endpoint"]
        for entry in entries
        if entry.fields.get("event")
        == events.Event.ENDPOINT_CHOSEN.value.number
    ]
    if len(chosen) > 1:
        words.append(f"It was sent to {', then '.join(chosen)}.")
    elif chosen:
        words.append(f"It was sent to {chosen[0]}.")
    else:
        words.append("It was sent to no endpoint.")
    return words


def trace(
    request: str, logs: collections_abc.Iterable[tuple[str, str]]
) -> reports.Report:
    """Return the report that traces a request in logs.

    Parameters
    ----------
    request : str
        The request id.
    logs : iterable of tuple
        The text and the source of each log.
    """
    entries = []
    for text, source in logs:
        entries += find_entries(request, text.splitlines(), source)
    return make_report(request, sort_entries(entries))


def make_report(request: str, entries: list[LogEntry]) -> reports.Report:
    """Return the report that traces a request.

    Parameters
    ----------
    request : str
        The request id.
    entries : list of LogEntry
        The lines about the request, in order.
    """
    lines = [f"request {request}: {len(entries)} lines"]
    start_ms = entries[0].time_ms if entries else 0.0
    for entry in entries:
        fields = entry.fields
        rest = " ".join(
            f"{name}={value}"
            for name, value in fields.items()
            if name not in HIDDEN and name != "requests"
        )
        lines.append(
            f"{entry.time_ms - start_ms:+9.0f} ms  {entry.source}  "
            f"{fields.get('event', '')} {fields.get('text', '')}  {rest}"
        )
    lines.append(explain(entries))
    data = {
        "request": request,
        "lines": [
            {"source": entry.source} | entry.fields for entry in entries
        ],
        "cause": lines[-1],
    }
    return reports.Report("\n".join(lines), data)
