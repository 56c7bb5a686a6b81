"""The operators' tool."""

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
    """Runs commands against a platform in memory."""

    def __init__(self, folder):
        self.platform = memory.MemoryPlatform(races.QuickClock())
        self.admin = helpers.PlatformStatusClient(
            self.platform, races.QuickClock()
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
            races.QuickClock(),
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


async def test_show_edit_apply(tool):
    await tool.edit("rate=20 ", "rate=25 ")
    found = await tool.run_json("apply", str(tool.file), "--reason", "more")
    assertions.assert_that(found["exit"], matchers.Equals(0))
    assertions.assert_that(found["generation"], matchers.Equals(2))
    assertions.assert_that(found["differences"], matchers.HasLength(1))
    await tool.run("show")
    assertions.assert_that(tool.output[-1], matchers.Contains("rate=25 "))


async def test_apply_rewrites_a_shown_file_for_the_next_edit(tool):
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


async def test_an_old_edit_is_a_conflict_unless_it_is_merged(tool):
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


async def test_a_guard_ends_with_4_and_its_override_lets_it_pass(tool):
    for domain in ("scot-a", "scot-b"):
        await tool.run("domain", "out", domain, "--reason", "move")
    words = ("domain", "out", "scot-c", "--reason", "move")
    found = await tool.run_json(*words)
    assertions.assert_that(found["exit"], matchers.Equals(4))
    guard = found["dangers"][0]["guard"]
    assertions.assert_that(guard, matchers.Equals("last-domain"))
    code = await tool.run(*words, "--allow", guard)
    assertions.assert_that(code, matchers.Equals(0))


async def test_rollback_is_a_new_generation_and_stands_in_the_history(tool):
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


async def test_a_dry_run_changes_nothing_and_says_what_it_would_do(tool):
    words = ("domain", "out", "scot-b", "--reason", "flood", "--dry-run")
    code = await tool.run(*words)
    assertions.assert_that(code, matchers.Equals(0))
    assertions.assert_that(
        tool.output[0], matchers.Contains("this becomes generation 2")
    )
    found = await tool.run_json("history")
    assertions.assert_that(found["history"], matchers.HasLength(1))


async def test_hosts_that_lag_or_do_not_answer_are_listed(tool):
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


async def test_explain_names_the_rules_that_decide(tool):
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


async def test_refusals_are_added_up_over_the_hosts(tool):
    tool.admin.refusals = {"1020": 3, "3001": 1}
    found = await tool.run_json("refusals")
    counted = [(one["name"], one["count"]) for one in found["refusals"]]
    expected = [("TEAM_LIMIT", 3), ("OUTCOME_UNKNOWN", 1)]
    assertions.assert_that(counted, matchers.Equals(expected))


async def test_no_platform_ends_with_7_and_a_lost_answer_with_8(tool):
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
    tool.platform.faults = memory.plan_nothing
    await tool.run(*words)
    assertions.assert_that(await tool.run(*settle), matchers.Equals(5))


async def test_an_outage_after_the_acceptance_does_not_look_refused(tool):
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
    tool.platform.faults = memory.plan_nothing
    # The old file says what is accepted already.
    assertions.assert_that(await tool.run(*words), matchers.Equals(0))
    assertions.assert_that(
        tool.file.read_text(), matchers.StartsWith("#% generation 2")
    )
