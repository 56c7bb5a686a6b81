"""Tests of the commands of the operators' tool and of its exit codes."""

import orjson
import pytest
from testtools import assertions
from testtools import matchers

from chervilshore.clients import memory
from chervilshore import cmdline
from chervilshore import records
from measure import races
from tests import configuration_helpers as helpers


class Tool:
    """Runs the tool with a platform in memory."""

    def __init__(self, folder):
        self.platform = memory.MemoryPlatform(races.InstantClock())
        self.admin = helpers.PlatformStatusClient(
            self.platform, races.InstantClock()
        )
        self.platform.host_list = records.HostList(
            hosts=(helpers.make_host("scot-a", 0),)
        )
        self.file = folder / "edited.rules"
        self.output = []

    async def run(self, *words):
        self.output.clear()
        line = cmdline.CommandLine(
            self.platform,
            self.admin,
            self.output.append,
            races.InstantClock(),
        )
        return await line.run(words)

    async def run_json(self, *words):
        await self.run(*words, "--json")
        return orjson.loads(self.output[-1])

    async def edit(self, before, after):
        await self.run("show")
        text = self.output[-1] + "\n"
        assert before in text
        self.file.write_text(text.replace(before, after))


@pytest.fixture
async def tool(tmp_path):
    tool = Tool(tmp_path)
    tool.file.write_text(helpers.KELVINSIDE)
    code = await tool.run("apply", str(tool.file), "--reason", "first")
    assertions.assert_that(code, matchers.Equals(0))
    return tool


async def test_check_ends_with_3_and_lists_problems(tool):
    tool.file.write_text("domian scot-a region=r state=in  # A, b\n")
    found = await tool.run_json("check", str(tool.file))
    assertions.assert_that(found["exit"], matchers.Equals(3))
    assertions.assert_that(
        found["problems"][0]["nearest"], matchers.Equals("domain")
    )


async def test_shown_rules_can_be_edited_and_applied(tool):
    await tool.edit("rate=20 ", "rate=25 ")
    found = await tool.run_json("apply", str(tool.file), "--reason", "more")
    assertions.assert_that(found["exit"], matchers.Equals(0))
    assertions.assert_that(found["generation"], matchers.Equals(2))
    assertions.assert_that(found["differences"], matchers.HasLength(1))
    await tool.run("show")
    assertions.assert_that(tool.output[-1], matchers.Contains("rate=25 "))


async def test_apply_updates_the_generation_in_the_file(tool):
    await tool.edit("borders rate=20", "borders rate=25")
    for generation, rate in ((2, 25), (3, 30)):
        text = tool.file.read_text()
        tool.file.write_text(text.replace("rate=25", f"rate={rate}"))
        code = await tool.run("apply", str(tool.file), "--reason", "more")
        assertions.assert_that(code, matchers.Equals(0))
        assertions.assert_that(
            tool.file.read_text().splitlines()[0],
            matchers.Equals(f"#% generation {generation}"),
        )


async def test_outdated_edit_conflicts_unless_merged(tool):
    await tool.edit("borders rate=20", "borders rate=25")
    code = await tool.run("domain", "out", "scot-b", "--reason", "flood")
    assertions.assert_that(code, matchers.Equals(0))
    words = ("apply", str(tool.file), "--reason", "more", "--author", "Me")
    found = await tool.run_json(*words)
    assertions.assert_that(found["exit"], matchers.Equals(5))
    found = await tool.run_json(*words, "--merge")
    assertions.assert_that(found["exit"], matchers.Equals(0))
    await tool.run("show")
    for part in ("borders rate=25", "scot-b region=scot-central state=out"):
        assertions.assert_that(tool.output[-1], matchers.Contains(part))


async def test_guard_ends_with_4_unless_overridden(tool):
    for domain in ("scot-a", "scot-b"):
        await tool.run("domain", "out", domain, "--reason", "move")
    words = ("domain", "out", "scot-c", "--reason", "move")
    found = await tool.run_json(*words)
    assertions.assert_that(found["exit"], matchers.Equals(4))
    guard = found["dangers"][0]["guard"]
    assertions.assert_that(guard, matchers.Equals("last-domain"))
    code = await tool.run(*words, "--allow", guard)
    assertions.assert_that(code, matchers.Equals(0))


async def test_rollback_creates_a_generation_shown_in_the_history(tool):
    await tool.run("domain", "out", "scot-b", "--reason", "flood")
    code = await tool.run("rollback", "1", "--reason", "dry again")
    assertions.assert_that(code, matchers.Equals(0))
    found = await tool.run_json("history")
    assertions.assert_that(
        [(one["generation"], one["reason"]) for one in found["history"]],
        matchers.Equals([(3, "dry again"), (2, "flood"), (1, "first")]),
    )
    await tool.run("show")
    assertions.assert_that(
        tool.output[-1], matchers.Not(matchers.Contains("state=out"))
    )


async def test_dry_run_shows_the_change_without_publishing_it(tool):
    words = ("domain", "out", "scot-b", "--reason", "flood", "--dry-run")
    code = await tool.run(*words)
    assertions.assert_that(code, matchers.Equals(0))
    assertions.assert_that(
        tool.output[0], matchers.Contains("this becomes generation 2")
    )
    found = await tool.run_json("history")
    assertions.assert_that(found["history"], matchers.HasLength(1))


async def test_lagging_and_silent_hosts_are_listed(tool):
    lagging = helpers.make_host("scot-b", 0)
    silent = helpers.make_host("scot-c", 0)
    listed = (*tool.platform.host_list.hosts, lagging, silent)
    tool.platform.host_list = records.HostList(hosts=listed)
    tool.admin.generations[lagging.http_address] = 1
    tool.admin.silent.add(silent.http_address)
    found = await tool.run_json(
        "domain", "out", "scot-b", "--reason", "flood", "--timeout", "0.2"
    )
    assertions.assert_that(found["exit"], matchers.Equals(6))
    progress = {one["host"]: one["progress"] for one in found["hosts"]}
    expected = {
        "scot-a-0": "in force",
        "scot-b-0": "lags",
        "scot-c-0": "unreached",
    }
    assertions.assert_that(progress, matchers.Equals(expected))
    found = await tool.run_json("status")
    assertions.assert_that(found["exit"], matchers.Equals(6))


async def test_explain_names_the_rules_that_apply(tool):
    await tool.edit(
        "# Teams and",
        "route far team=islands domains=scot-c  # Morag, near the ferries\n"
        "# Teams and",
    )
    await tool.run("apply", str(tool.file), "--reason", "route")
    words = ("explain", "pipeline=service-report", "team=islands")
    found = await tool.run_json(*words)
    matters = [one["matter"] for one in found["findings"]]
    assertions.assert_that(matters, matchers.Contains("stage rerank"))
    lines = "\n".join(one["line"] for one in found["findings"])
    assertions.assert_that(lines, matchers.Contains("near the ferries"))
    found = await tool.run_json("explain", "pipeline=bil-visit", "team=x")
    assertions.assert_that(found["exit"], matchers.Equals(9))


async def test_refusals_are_summed_over_the_hosts(tool):
    tool.admin.refusals = {"1020": 3, "3001": 1}
    found = await tool.run_json("refusals")
    counted = [(one["name"], one["count"]) for one in found["refusals"]]
    expected = [("TEAM_LIMIT", 3), ("OUTCOME_UNKNOWN", 1)]
    assertions.assert_that(counted, matchers.Equals(expected))


async def test_platform_outage_ends_with_7_and_lost_answer_with_8(tool):
    tool.platform.faults = lambda call, key: memory.Fault.DOWN
    words = ("domain", "out", "scot-b", "--reason", "x", "--timeout", "0.1")
    assertions.assert_that(await tool.run(*words), matchers.Equals(7))

    def lose_head(call, key):
        lost = call == "update" and key == "configuration/head"
        return memory.Fault.LOST_BEFORE if lost else memory.Fault.NONE

    tool.platform.faults = lose_head
    found = await tool.run_json(*words)
    assertions.assert_that(found["exit"], matchers.Equals(8))
    settle = ("settle", str(found["generation"]), found["change"])
    assertions.assert_that(await tool.run(*settle), matchers.Equals(8))
    tool.platform.faults = memory.no_faults
    await tool.run(*words)
    assertions.assert_that(await tool.run(*settle), matchers.Equals(5))


async def test_outage_after_acceptance_is_not_reported_as_refusal(tool):
    await tool.edit("borders rate=20", "borders rate=25")

    def stop_after_head(call, key):
        if call == "update" and key == "configuration/head":
            tool.platform.faults = lambda call, key: memory.Fault.DOWN
        return memory.Fault.NONE

    tool.platform.faults = stop_after_head
    words = ("apply", str(tool.file), "--reason", "more")
    assertions.assert_that(await tool.run(*words), matchers.Equals(6))
    output = "\n".join(tool.output)
    for part in ("generation 2 is accepted", "was not rewritten"):
        assertions.assert_that(output, matchers.Contains(part))
    tool.platform.faults = memory.no_faults
    # The file still has the old generation, but the accepted rules.
    assertions.assert_that(await tool.run(*words), matchers.Equals(0))
    assertions.assert_that(
        tool.file.read_text(), matchers.StartsWith("#% generation 2")
    )
