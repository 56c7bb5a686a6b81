"""Reports of the commands `status` and `refusals` over all hosts."""

from collections import abc
import typing

from chervilshore.clients import admin as admin_clients
from chervilshore import ids
from chervilshore import records
from chervilshore import reports
from chervilshore import results
from chervilshore.rules import model

HostAnswer = tuple[records.HostRecord, admin_clients.HostStatus | None]
"""A listed host and its status; None if the host does not answer."""

STATUS_SECTIONS = ("grants", "limits")
"""Sections of a host's status that are shown without changes."""


def report_status(
    generation: ids.Generation,
    rules: model.Rules,
    host_list: records.HostList,
    answers: abc.Sequence[HostAnswer],
) -> reports.Report:
    """Return the report about hosts, domains, endpoints, grants and limits.

    Parameters
    ----------
    generation : Generation
        The accepted generation.
    rules : Rules
        Its rules.
    host_list : HostList
        The hosts and endpoints that the platform lists.
    answers : sequence of HostAnswer
        The listed hosts and their status.
    """
    hosts = [_describe_host(record, answers) for record, _ in answers]
    domains = _describe_domains(rules, host_list)
    endpoints = _describe_endpoints(rules, host_list, answers)
    parts = [
        f"generation {generation} is accepted",
        _format_rows("hosts", hosts),
        _format_rows("domains", domains),
        _format_rows("endpoints", endpoints),
    ]
    sections = {}
    for section in STATUS_SECTIONS:
        sections |= _gather_section(section, answers)
    parts.extend(_format_rows(title, rows) for title, rows in sections.items())
    data = {
        "generation": generation,
        "hosts": hosts,
        "domains": domains,
        "endpoints": endpoints,
        "told": sections,
    }
    behind = any(
        status is None or status.generation < generation
        for _, status in answers
    )
    code = reports.ExitCode.LAGGING if behind else reports.ExitCode.DONE
    return reports.Report("\n\n".join(filter(None, parts)), data, code)


def report_refusals(answers: abc.Sequence[HostAnswer]) -> reports.Report:
    """Return the report about refused requests, counted by result code.

    Parameters
    ----------
    answers : sequence of HostAnswer
        The listed hosts and their status.
    """
    counts: dict[int, int] = {}
    missing = []
    for record, status in answers:
        if status is None or status.refusals is None:
            missing.append(record.host)
            continue
        for number, count in status.refusals.items():
            counts[int(number)] = counts.get(int(number), 0) + count
    rows = [
        _describe_code(number, counts[number]) for number in sorted(counts)
    ]
    parts = [_format_rows("refused since the hosts began", rows)]
    if not rows:
        parts = ["no request was refused since the hosts began"]
    if missing:
        parts.append(f"not told by: {', '.join(missing)}")
    data = {"refusals": rows, "silent": missing}
    code = reports.ExitCode.LAGGING if missing else reports.ExitCode.DONE
    return reports.Report("\n\n".join(parts), data, code)


def _describe_code(number: int, count: int) -> dict[str, typing.Any]:
    code = results.BY_NUMBER.get(number)
    return {
        "number": number,
        "name": code.name if code else "",
        "family": code.value.family.value if code else "",
        "count": count,
        "meaning": code.value.text if code else "of another version",
    }


def _describe_host(
    record: records.HostRecord, answers: abc.Sequence[HostAnswer]
) -> dict[str, typing.Any]:
    status = dict((one.host, found) for one, found in answers)[record.host]
    row = {
        "host": record.host,
        "domain": record.domain,
        "listed": record.state.value,
        "peers say": _count_peer_states(record.host, answers),
        "answers": _yes_or_no(status is not None),
    }
    if status is not None:
        row |= {
            "ready": _yes_or_no(status.ready),
            "draining": _yes_or_no(status.draining),
            "in flight": status.in_flight,
            "generation": status.generation,
            "watches": _yes_or_no(status.configuration.watching),
            "refused": status.configuration.refused_generation or "",
            "refusal": status.configuration.refusal,
            "settings refused": status.settings.refusal,
        }
    return row


def _count_peer_states(
    host: ids.HostId, answers: abc.Sequence[HostAnswer]
) -> str:
    """Count the hosts by the state in which they see one host."""
    states: dict[str, int] = {}
    for _, status in answers:
        if status is None:
            continue
        for member in status.membership.get("hosts", ()):
            if member.get("host") == host:
                state = member.get("state", "")
                states[state] = states.get(state, 0) + 1
    return ", ".join(f"{state} {count}" for state, count in states.items())


def _describe_domains(
    rules: model.Rules, host_list: records.HostList
) -> list[dict[str, typing.Any]]:
    listed = [record.domain for record in host_list.hosts]
    placed = [rules.domain_of(record) for record in host_list.endpoints]
    names = dict.fromkeys([*rules.domains, *listed, *placed])
    return [
        {
            "domain": name,
            "state": "out" if rules.is_out(name) else "in",
            "rule": _yes_or_no(name in rules.domains),
            "hosts": listed.count(name),
            "endpoints": placed.count(name),
        }
        for name in names
    ]


def _describe_endpoints(
    rules: model.Rules,
    host_list: records.HostList,
    answers: abc.Sequence[HostAnswer],
) -> list[dict[str, typing.Any]]:
    known = [
        {one.get("endpoint") for one in status.directory.get("endpoints", ())}
        for _, status in answers
        if status is not None
    ]
    return [
        {
            "endpoint": record.endpoint,
            "pool": record.pool,
            "domain": rules.domain_of(record),
            "listed": record.state.value,
            "rule": _yes_or_no(record.pool in rules.pools),
            "known to hosts": sum(record.endpoint in names for names in known),
        }
        for record in host_list.endpoints
    ]


def _gather_section(
    section: str, answers: abc.Sequence[HostAnswer]
) -> dict[str, list[dict[str, typing.Any]]]:
    """Gather a section of all hosts into tables.

    Its plain values become one table, each of its mappings another one.
    """
    tables: dict[str, list] = {}
    for record, status in answers:
        values = getattr(status, section, None)
        if not isinstance(values, dict):
            continue
        plain = {}
        for name, value in values.items():
            if not isinstance(value, dict):
                plain[name] = value
                continue
            rows = tables.setdefault(f"{section}: {name}", [])
            rows.extend(_to_row(record.host, *item) for item in value.items())
        if plain:
            rows = tables.setdefault(section, [])
            rows.append({"by": record.host} | plain)
    return {title: rows for title, rows in tables.items() if rows}


def _to_row(
    host: ids.HostId, name: str, value: typing.Any
) -> dict[str, typing.Any]:
    row = {"by": host, "name": name}
    return row | (value if isinstance(value, dict) else {"value": value})


def _format_rows(title: str, rows: list[dict[str, typing.Any]]) -> str:
    if not rows:
        return ""
    headings = list(dict.fromkeys(name for row in rows for name in row))
    table = [
        headings,
        *([row.get(name, "") for name in headings] for row in rows),
    ]
    return f"{title}:\n{reports.format_table(table)}"


def _yes_or_no(value: bool) -> str:
    return "yes" if value else "no"
