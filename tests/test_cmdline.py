"""The operators' tool."""

import orjson
import pytest
from testtools import assertions
from testtools import matchers

from chervilshore.clients import memory
from chervilshore import clock as clocks
from chervilshore import cmdline
from chervilshore import records
from tests import configuration_helpers as helpers


class Tool:
    """Runs commands against a platform in memory."""

    def __init__(self, folder):
        self.platform = memory.MemoryPlatform(clocks.SystemClock())
        self.admin = helpers.FollowingAdmin(self.platform)
        self.platform.host_list = records.HostList(
            hosts=(helpers.make_host("scot-a", 0),)
        )
        self.file = folder / "edited.rules"
        self.output = []

    async def run(self, *words):
        self.output.clear()
        line = cmdline.CommandLine(
            self.platform, self.admin, self.output.append
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
