"""Odd addresses and messages of hosts do not stop those of others."""

import asyncio

import pytest
from testtools import assertions
from testtools import matchers
import zmq

from chervilshore.clients import zeromq
from chervilshore import clock as clocks
from chervilshore import exceptions
from chervilshore import ids
from chervilshore import messages
from chervilshore import wire

ADDRESSES = ("garbage", "", "127.0.0.1:²", "127.0.0.1:-1", "a b:1", "\x00:1")
"""Addresses that ZeroMQ does not take."""

TIMEOUT_MS = 300.0

MESSAGE = wire.encode(
    wire.Envelope("127.0.0.1:1", 0, False, messages.Ping(generation=1))
)

CONTENTS = (
    b"",
    b"\xc1",
    b"\x91" * 100_000,
    b"\x94\xa1a\x00\xc2" + b"\x91" * 100_000,
    # One element more than a message has, which is skipped.
    b"\x95" + MESSAGE[1:] + b"\x91" * 100_000,
    b"\x94\xa1\xff\x00\xc2\x92\xa1a\x80",
    b"\x94\xa1a\xcf" + b"\xff" * 8 + b"\xc2\x91\xa2??",
)
"""Bytes that are no message: nested too deeply, no text, of no known kind."""


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


async def test_odd_messages_are_counted_and_the_others_are_answered(
    transports,
):
    one, two = transports
    two.handle(messages.Ping, lambda sender, ping: messages.Pong(generation=7))
    context = zmq.Context()
    dealer = context.socket(zmq.DEALER)
    dealer.linger = 0
    dealer.connect(f"tcp://{two.address}")
    try:
        for number, content in enumerate(CONTENTS, 1):
            dealer.send(content)
            async with asyncio.timeout(10.0):
                while two.counts.garbage < number:
                    await asyncio.sleep(0.001)
            reply = await one.send_request(
                two.address, messages.Ping(generation=1), 10_000.0
            )
            assertions.assert_that(reply.generation, matchers.Equals(7))
    finally:
        dealer.close()
        context.term()
