"""Tests of the reports that the tool makes from log files."""

import msgspec
import pytest
from testtools import assertions
from testtools import matchers

from chervilshore import cmdline
from chervilshore import logreports
from chervilshore import results
from chervilshore import rolloutreports


def make_line(event, **fields):
    return msgspec.json.encode({"event": event, "time_ms": 1} | fields)


def make_end_line(code, detail="", pipeline="report"):
    return make_line(7006, code=code, detail=detail, pipeline=pipeline)


def join(*lines):
    return b"\n".join(lines).decode()


def test_refusals_are_grouped_by_code_and_detail():
    overloaded = results.Code.OVERLOADED.value.number
    log = join(
        make_end_line(0),
        make_end_line(overloaded, "pieces wait for 4029 ms"),
        make_end_line(overloaded, "pieces wait for 17 ms"),
        make_end_line(results.Code.DRAINING.value.number),
        b"cut in the mid",
    )
    report = logreports.count_refusals([(log, "one"), (log, "two")])
    assertions.assert_that(
        [(row["name"], row["count"]) for row in report.data["refusals"]],
        matchers.Equals([("OVERLOADED", 4), ("DRAINING", 2)]),
    )
    assertions.assert_that(
        report.text, matchers.Contains("pieces wait for N ms")
    )


def test_host_state_starts_again_after_a_restart():
    log = join(
        make_line(1001),
        make_line(2001, generation=3),
        make_line(3013, endpoint="e1"),
        make_line(1001),
        make_line(2001, generation=4),
        make_line(3013, endpoint="e1"),
        make_line(3013, endpoint="e2"),
        make_line(3014, endpoint="e1"),
        make_line(3009, kind="config"),
        make_line(3009, kind="servers"),
        make_line(3010, kind="config"),
        make_line(3005, host="h2"),
    )
    (row,) = logreports.describe_hosts([(log, "h1")]).data["hosts"]
    assertions.assert_that(
        row,
        matchers.Equals(
            {
                "host": "h1",
                "starts": 2,
                "generation": 4,
                "endpoints": 1,
                "unread": ["servers"],
                "down": ["h2"],
                "settings_refused": "",
            }
        ),
    )


@pytest.mark.parametrize(
    "later, expected",
    [([], "drain_ms is 'x'"), ([1006], ""), ([1001], "")],
)
def test_refused_settings_are_told_until_others_hold(later, expected):
    log = join(
        make_line(1001),
        make_line(1007, error="drain_ms is 'x'"),
        *map(make_line, later),
    )
    report = logreports.describe_hosts([(log, "h1")])
    (row,) = report.data["hosts"]
    assertions.assert_that(row["settings_refused"], matchers.Equals(expected))
    assertions.assert_that(
        "refuses new settings: drain_ms is 'x'" in report.text,
        matchers.Equals(bool(expected)),
    )


@pytest.mark.parametrize("command", ["refusals", "status"])
async def test_commands_with_logs_need_no_platform(tmp_path, command):
    path = tmp_path / "h1.log"
    path.write_text(join(make_line(1001), make_end_line(1021)))
    output = []
    tool = cmdline.CommandLine(write=output.append)
    status = await tool.run([command, "--logs", str(path)])
    assertions.assert_that(status, matchers.Equals(0))
    assertions.assert_that(output, matchers.HasLength(1))


def make_step(event, time_ms, **fields):
    base = {"pool": "llm", "version": "v2", "time_ms": time_ms}
    return make_line(event, **(base | fields))


def test_rollouts_are_shown_step_by_step():
    first = join(
        make_step(6101, 10, state=""),
        make_step(6105, 20, state="running"),
        make_step(6104, 500, phase="condemned", evidence={"reason": "slow"}),
        make_step(6102, 900, status="rolled_back"),
    )
    second = join(
        make_step(6101, 12, state=""),
        make_step(6104, 400, phase="condemned", evidence={"reason": "fails"}),
    )
    report = rolloutreports.describe_rollouts([(first, "h1"), (second, "h2")])
    (row,) = report.data["rollouts"]
    assertions.assert_that(
        [(step["name"], step["first"]) for step in row["steps"]],
        matchers.Equals(
            [
                ("started", 10.0),
                ("status written running", 20.0),
                ("phase condemned", 400.0),
                ("ended rolled_back", 900.0),
            ]
        ),
    )
    assertions.assert_that(
        report.text,
        matchers.MatchesAll(
            matchers.Contains("reason: fails"),
            matchers.Contains("2 hosts within 100 ms"),
        ),
    )


def test_logs_without_rollouts_are_reported():
    assertions.assert_that(
        rolloutreports.describe_rollouts([("", "h1")]).text,
        matchers.Contains("no roll-outs"),
    )
