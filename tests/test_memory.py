"""In-memory platform and network."""

import asyncio

import pytest
from testtools import assertions
from testtools import matchers

from chervilshore.clients import memory
from chervilshore import exceptions
from chervilshore import messages


async def test_create_and_update_check_the_version(platform):
    version = await platform.create("a/1", b"x")
    with pytest.raises(exceptions.VersionConflict):
        await platform.create("a/1", b"y")
    await platform.update("a/1", b"y", version)
    with pytest.raises(exceptions.VersionConflict):
        await platform.update("a/1", b"z", version)
    stored = await platform.get("a/1")
    assertions.assert_that(stored.value, matchers.Equals(b"y"))


async def test_a_write_with_a_lost_response_takes_effect(platform):
    platform.faults = lambda call, key: memory.Fault.LOST_AFTER
    with pytest.raises(exceptions.PlatformUnknown):
        await platform.create("a", b"x")
    platform.faults = memory.no_faults
    stored = await platform.get("a")
    assertions.assert_that(stored.value, matchers.Equals(b"x"))


async def test_watch_returns_on_a_change_of_its_prefix(platform, clock):
    waiting = asyncio.ensure_future(platform.watch("a/", 0, 1000))
    await clock.advance(10)
    await platform.create("b/1", b"no")
    await clock.advance(10)
    await platform.create("a/1", b"yes")
    await clock.advance(10)
    found = await waiting
    assertions.assert_that(
        [stored.key for stored in found], matchers.Equals(["a/1"])
    )


async def test_a_request_is_answered_unless_messages_are_dropped(
    network, clock
):
    one = network.join("127.0.0.1:1")
    two = network.join("127.0.0.1:2")
    two.handle(messages.Ping, lambda sender, message: messages.Pong())
    task = asyncio.ensure_future(
        one.send_request(two.address, messages.Ping(), 100)
    )
    await clock.advance(5)
    assertions.assert_that(await task, matchers.IsInstance(messages.Pong))
    network.should_drop = lambda sender, receiver: True
    task = asyncio.ensure_future(
        one.send_request(two.address, messages.Ping(), 100)
    )
    await clock.advance(100)
    with pytest.raises(exceptions.PeerError):
        await task
