"""Steps of the scenarios in configuration.feature."""

import asyncio
import shlex

import pytest
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when
from testtools import assertions
from testtools import matchers

from chervilshore.clients import memory
from chervilshore import clock as clocks
from chervilshore import cmdline
from chervilshore import exceptions
from chervilshore.rules import generations
from tests import configuration_helpers as helpers

scenarios("configuration.feature")


class World:
    """A cluster and the tool of an operator."""

    def __init__(self, folder):
        self.folder = folder
        self.loop = asyncio.new_event_loop()
        self.code = None
        self.output = []
        self.cluster = None

    def run(self, awaitable):
        return self.loop.run_until_complete(awaitable)

    async def start(self):
        clock = clocks.ManualClock()
        platform = memory.MemoryPlatform(clock)
        network = memory.MemoryNetwork(clock)
        domains = ("scot-a", "scot-b", "scot-c")
        self.cluster = helpers.Cluster(clock, platform, network, domains)
        await self.cluster.start()
        await helpers.publish_rules(self.cluster)
        await self.cluster.run(1000)

    def call_tool(self, author, words):
        self.output.clear()
        cluster = self.cluster
        line = cmdline.CommandLine(
            cluster.platform, cluster, self.output.append, cluster.clock
        )
        words = [*words, "--author", author, "--timeout", "2"]
        run = helpers.run_until_done(cluster.clock, line.run(words))
        self.code = self.run(run)

    def find_file(self, author):
        return self.folder / f"{author}.rules"


@pytest.fixture
def world(tmp_path):
    world = World(tmp_path)
    yield world
    world.run(world.cluster.stop())
    world.loop.close()
    assertions.assert_that(world.cluster.violations, matchers.Equals([]))


@given("nine hosts in three domains with the rules of Kelvinside in force")
def start_hosts(world):
    world.run(world.start())


@given(parsers.parse('{author} has run "{words}"'))
@when(parsers.parse('{author} runs "{words}"'))
def run_tool(world, author, words):
    world.call_tool(author, shlex.split(words))


@given("the platform is down")
def stop_platform(world):
    world.cluster.platform.faults = lambda call, key: memory.Fault.DOWN


@given("the answer to the next change of the head is lost")
def lose_answer(world):
    platform = world.cluster.platform

    def lose(call, key):
        if call != "update" or key != generations.HEAD_KEY:
            return memory.Fault.NONE
        platform.faults = memory.no_faults
        return memory.Fault.LOST_AFTER

    platform.faults = lose


@given(parsers.parse("{one} and {other} have both shown the rules"))
def show_rules(world, one, other):
    text = world.run(world.cluster.make_operator().show())
    for author in (one, other):
        world.find_file(author).write_text(text)


@when(parsers.parse('{author} applies them with "{words}"'))
def apply_edit(world, author, words):
    path = world.find_file(author)
    path.write_text(path.read_text().replace("islands rate=80", words))
    world.call_tool(author, ["apply", str(path), "--reason", "more"])


@given(parsers.parse("{domain} is cut off"))
def cut_off(world, domain):
    cluster = world.cluster

    def is_cut(sender, receiver):
        return (domain in sender) != (domain in receiver)

    async def fetch_status(address, timeout_ms):
        if domain in address:
            raise exceptions.PeerError(address)
        return await helpers.Cluster.fetch_status(cluster, address, timeout_ms)

    cluster.network.should_drop = is_cut
    cluster.fetch_status = fetch_status
    cluster.cut_platform(domain, True)


@when(parsers.parse("{domain} is joined again"))
def join_again(world, domain):
    world.cluster.network.should_drop = lambda sender, receiver: False
    world.cluster.cut_platform(domain, False)


@then(parsers.parse("the tool ends with {code:d}"))
def check_code(world, code):
    assertions.assert_that(world.code, matchers.Equals(code))


@then(parsers.parse('it says "{text}"'))
def check_output(world, text):
    output = "\n".join(world.output)
    assertions.assert_that(output, matchers.Contains(text))


@then(parsers.parse("within {millis:d} ms every host has generation {number}"))
def check_generation(world, millis, number):
    world.run(world.cluster.run(millis))
    found = set(world.cluster.list_generations())
    assertions.assert_that(found, matchers.Equals({int(number)}))


@then(parsers.parse("the hosts of {domain} have generation {number:d}"))
def check_cut_off(world, domain, number):
    found = {
        service.rules.generation
        for name, service in world.cluster.services.items()
        if name.startswith(domain)
    }
    assertions.assert_that(found, matchers.Equals({number}))


@then(parsers.parse("every host says that {domain} is {state}"))
def check_domain(world, domain, state):
    world.run(world.cluster.run(1000))
    found = {
        service.rules.is_out(domain)
        for service in world.cluster.services.values()
    }
    assertions.assert_that(found, matchers.Equals({state == "out"}))
