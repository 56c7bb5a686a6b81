"""Odd addresses of hosts do not stop the messages to others."""

import pytest
from testtools import assertions
from testtools import matchers

from chervilshore.clients import zeromq
from chervilshore import clock as clocks
from chervilshore import exceptions
from chervilshore import ids
from chervilshore import messages

ADDRESSES = ("garbage", "", "127.0.0.1:²", "127.0.0.1:-1", "a b:1", "\x00:1")
"""Addresses that ZeroMQ does not take."""

TIMEOUT_MS = 300.0


@pytest.fixture
async def transports():
    address = ids.Address("127.0.0.1:0")
    found = [
        zeromq.ZeroMQTransport(address, clocks.SystemClock()) for _ in range(2)
    ]
    for transport in found:
        await transport.start()
    yield found
    for transport in found:
        await transport.stop()


# Addresses come from entries of the store and from what other hosts tell.
async def test_odd_address_is_a_host_that_does_not_answer(transports):
    one, two = transports
    two.handle(messages.Ping, lambda sender, ping: messages.Pong(generation=7))
    for address in ADDRESSES:
        one.send(address, messages.Ping(generation=1))
        with pytest.raises(exceptions.PeerError):
            await one.send_request(
                address, messages.Ping(generation=1), TIMEOUT_MS
            )
    assertions.assert_that(one.connections, matchers.Equals(0))
    assertions.assert_that(
        one.counts.dropped, matchers.Equals(2 * len(ADDRESSES))
    )
    reply = await one.send_request(
        two.address, messages.Ping(generation=1), 10_000.0
    )
    assertions.assert_that(reply.generation, matchers.Equals(7))
