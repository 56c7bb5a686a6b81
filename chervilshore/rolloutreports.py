"""The report about roll-outs, read from the log files of hosts."""

import msgspec

from chervilshore import events
from chervilshore import logreports
from chervilshore import reports
from chervilshore import traces

_NAMES = {
    events.Event.ROLLOUT_STARTED: "started",
    events.Event.ROLLOUT_PHASE: "phase",
    events.Event.ROLLOUT_STATUS_WRITTEN: "status written",
    events.Event.ROLLOUT_STATUS_UNWRITTEN: "status not written",
    events.Event.ROLLOUT_ENDED: "ended",
    events.Event.ROLLOUT_DROPPED: "order gone",
}
"""The steps that are shown."""


class _Step(msgspec.Struct):
    """One step of a roll-out, with the hosts that logged it.

    Parameters
    ----------
    name : str
        What happened, with the phase or state.
    first : float
        The time in milliseconds at which the first host logged it.
    last : float
        The time at which the last one did.
    hosts : list of str
        The hosts, in the order of the logs.
    evidence : dict
        What the first host knew then.
    """

    name: str
    first: float
    last: float
    hosts: list[str]
    evidence: dict


def describe_rollouts(logs: logreports.Logs) -> reports.Report:
    """Return the report about the steps of each roll-out.

    Parameters
    ----------
    logs : iterable of tuple
        The text and the source of each log, such as its file name.
    """
    steps: dict[tuple[str, str], dict[str, _Step]] = {}
    for entry in logreports.read_entries(logs):
        event = events.BY_NUMBER.get(entry.fields.get("event"))
        if event in _NAMES:
            name = (entry.fields["pool"], entry.fields["version"])
            _add(steps.setdefault(name, {}), event, entry)
    rows = [
        {
            "pool": pool,
            "version": version,
            "steps": [
                msgspec.to_builtins(step)
                for step in sorted(found.values(), key=_first)
            ],
        }
        for (pool, version), found in sorted(steps.items())
    ]
    lines = [line for row in rows for line in _format(row)]
    if not lines:
        lines = ["no roll-outs in these logs"]
    return reports.Report("\n".join(lines), {"rollouts": rows})


def _first(step: _Step) -> float:
    return step.first


def _add(
    steps: dict[str, _Step], event: events.Event, entry: traces.LogEntry
) -> None:
    fields = entry.fields
    name = _NAMES[event]
    if event is events.Event.ROLLOUT_PHASE:
        name = f"{name} {fields['phase']}"
    elif event is events.Event.ROLLOUT_ENDED:
        name = f"{name} {fields['status']}"
    elif "state" in fields and event is not events.Event.ROLLOUT_STARTED:
        name = f"{name} {fields['state']}"
    time_ms = float(fields.get("time_ms", 0.0))
    step = steps.get(name)
    if step is None:
        evidence = fields.get("evidence") or {}
        step = steps[name] = _Step(name, time_ms, time_ms, [], evidence)
    elif time_ms < step.first:
        step.first = time_ms
        step.evidence = fields.get("evidence") or {}
    step.last = max(step.last, time_ms)
    if entry.source not in step.hosts:
        step.hosts.append(entry.source)


def _format(row: dict) -> list[str]:
    began_at = row["steps"][0]["first"]
    lines = [f"{row['pool']} to {row['version']}:"]
    for step in row["steps"]:
        spread_ms = step["last"] - step["first"]
        lines.append(
            f"  +{step['first'] - began_at:.0f} ms  {step['name']}  "
            f"{len(step['hosts'])} hosts within {spread_ms:.0f} ms"
        )
        lines += [
            f"      {name}: {value}"
            for name, value in step["evidence"].items()
            if value not in ("", [], None)
        ]
    return lines
