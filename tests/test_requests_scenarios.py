"""Steps of the scenarios in `requests.feature`."""

import asyncio

import msgspec
import pytest
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when
from testtools import assertions
from testtools import matchers

from tests import node_helpers

scenarios("requests.feature")


@pytest.fixture
def loop():
    made = asyncio.new_event_loop()
    yield made
    made.close()


@pytest.fixture
def world(loop):
    asyncio.set_event_loop(loop)
    made = node_helpers.World()
    loop.run_until_complete(made.start())
    yield made
    loop.run_until_complete(made.stop())


@given("an entry host before two desks")
def start_host(world):
    assertions.assert_that(world.node.server.ready(), matchers.Is(True))


@given(parsers.parse("desk {number:d} is gone"))
def close_desk(world, loop, number):
    loop.run_until_complete(world.close_desk(number))


@given("the desks lose their answers")
def lose_answers(world):
    world.set_faults(lose=1.0)


@given("the desks cross their answers")
def cross_answers(world):
    world.set_faults(cross=1.0)


@when("the desks keep their answers")
def keep_answers(world):
    world.set_faults(lose=0.0)


@given("the desks hold their answers")
def hold_answers(world):
    world.gate.clear()


@when("the desks let their answers go")
def let_answers_go(world):
    world.gate.set()


@given("the platform is down")
def stop_platform(world):
    knobs = world.platform.knobs
    world.platform.knobs = msgspec.structs.replace(knobs, down=True)


@when(parsers.re(r'a caller sends "(?P<service>\w+)"$'))
def send(world, loop, service):
    world.answer = loop.run_until_complete(world.send(service))


@when(
    parsers.re(
        r'a caller sends "(?P<service>\w+)"(?P<how> with another body| again)?'
        r' under the key "(?P<key>\w+)"'
    )
)
def send_under_key(world, loop, service, key, how):
    body = 2 if how == " with another body" else 1
    resends = 1 if how == " again" else 0
    world.answer = loop.run_until_complete(
        world.send(service, key, body, resends)
    )


@when(parsers.re(r'a caller begins to send "(?P<service>\w+)"$'))
def start_request(world, loop, service):
    loop.run_until_complete(world.begin(service))


@when(
    parsers.parse('a caller begins to send "{service}" under the key "{key}"')
)
def start_request_under_key(world, loop, service, key):
    loop.run_until_complete(world.begin(service, key))


@when("the caller leaves")
def disconnect_caller(world, loop):
    loop.run_until_complete(world.leave())


@then("the call at the desk is cancelled")
def check_cancelled(world, loop):
    loop.run_until_complete(world.wait_cancelled())


@when("the host begins to drain")
def start_draining(world, loop):
    async def start():
        world.draining = asyncio.ensure_future(world.node.drain())
        await asyncio.sleep(0)

    loop.run_until_complete(start())


@then(parsers.parse("the answer is {family}"))
def check_family(world, family):
    assertions.assert_that(world.answer.family, matchers.Equals(family))


@then(parsers.parse("its name is {name}"))
def check_name(world, name):
    assertions.assert_that(world.answer.name, matchers.Equals(name))


@then("it is a replay")
def check_replay(world):
    assertions.assert_that(world.answer.replayed, matchers.Is(True))


@then(parsers.re(r'the key "(?P<key>\w+)" has run (?P<times>\d+) times?'))
def check_runs(world, key, times):
    assertions.assert_that(world.count_runs(key), matchers.Equals(int(times)))


@then(parsers.parse("the first caller's answer is {family}"))
def check_first_answer(world, loop, family):
    answer = loop.run_until_complete(world.first)
    assertions.assert_that(answer.family, matchers.Equals(family))


@then("the host has drained")
def check_drained(world, loop):
    loop.run_until_complete(world.draining)
