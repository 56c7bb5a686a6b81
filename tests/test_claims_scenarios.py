"""Steps of the scenarios in `claims.feature`."""

import asyncio

import pytest
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when
from testtools import assertions
from testtools import matchers

from chervilshore import exceptions
from chervilshore import results
from tests import claims_helpers
from tests import virtual

scenarios("claims.feature")


class World:
    """A cluster on a virtual event loop for one scenario."""

    def __init__(self):
        self.session = virtual.Session()
        self.cluster = None
        self.answers = []

    def run(self, awaitable):
        return self.session.run(awaitable)

    async def start(self, hosts):
        self.cluster = claims_helpers.ClaimsCluster(hosts)

    async def send(self, *names, **options):
        self.answers = await asyncio.gather(
            *(self.cluster.send(name, **options) for name in names)
        )
        self.cluster.before_execution = None


@pytest.fixture
def world():
    context = World()
    yield context
    context.session.close()


@given(parsers.parse("{hosts:d} hosts that bill visits under keys"))
def start_hosts(world, hosts):
    world.run(world.start(hosts))


@given("the platform is down")
def stop_platform(world):
    world.cluster.set_down(True)


@given("the next request is refused before it is sent on")
def refuse_next(world):
    async def refuse(host, exchange):
        raise exceptions.RefusalError(results.Code.NO_ENDPOINT)

    world.cluster.before_execution = refuse


@given(
    parsers.parse(
        "the next request ends with the death of its host {moment} it is "
        "sent on"
    )
)
def crash_next(world, moment):
    async def crash(host, exchange):
        delay = 0.01 if moment == "after" else 0
        loop = asyncio.get_running_loop()
        loop.call_later(delay, world.cluster.kill, "host0")
        await world.cluster.clock.sleep(5)

    world.cluster.before_execution = crash


@when(parsers.parse('all hosts are sent "{key}"'))
def send_to_all(world, key):
    world.run(world.send(*world.cluster.hosts, key=key))


@when(parsers.parse('{name} is sent "{key}"'))
def send_first(world, name, key):
    world.run(world.send(name, key=key))


@when(parsers.parse('{name} is sent "{key}" again as number {resend:d}'))
def send_again(world, name, key, resend):
    world.run(world.send(name, key=key, resend=resend, budget=4000))


@when("the platform comes back")
def restore_platform(world):
    world.cluster.set_down(False)


@then(parsers.parse("the answer is {code}"))
@then(parsers.parse("all answers are {code}"))
def check_answers(world, code):
    assertions.assert_that(
        {answer.code.name for answer in world.answers},
        matchers.Equals({code}),
    )


@then("all answers but one are replayed")
def check_replayed(world):
    replayed = [answer.replayed for answer in world.answers]
    assertions.assert_that(replayed.count(False), matchers.Equals(1))


@then(parsers.parse('"{key}" was billed {number:d} time'))
@then(parsers.parse('"{key}" was billed {number:d} times'))
def check_runs(world, key, number):
    assertions.assert_that(world.cluster.counts[key], matchers.Equals(number))
