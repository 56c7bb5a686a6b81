"""ZeroMQ transport between hosts, on loopback."""

import asyncio
import contextlib

import pytest
from testtools import assertions
from testtools import matchers
import zmq

from chervilshore.clients import zeromq
from chervilshore import clock as clocks
from chervilshore import exceptions
from chervilshore import messages

REPLY_TIMEOUT_MS = 10_000.0

SEND_MS = 300
"""Milliseconds in which a message that is taken has been sent."""

MAX_WAITING_BYTES = 100_000_000
"""What one peer's messages may take of a host that stands still."""


@contextlib.asynccontextmanager
async def run(address="127.0.0.1:0"):
    peers = zeromq.ZeroMQTransport(address, clocks.SystemClock())
    await peers.start()
    try:
        yield peers
    finally:
        await peers.stop()


def reply_at_once(sender, message):
    return messages.Pong(generation=message.generation + 1)


async def reply_later(sender, message):
    await asyncio.sleep(0)
    return reply_at_once(sender, message)


async def send_ping(one, address, generation=1):
    ping = messages.Ping(generation=generation)
    reply = await one.send_request(address, ping, REPLY_TIMEOUT_MS)
    return reply.generation


@pytest.mark.parametrize("handler", [reply_at_once, reply_later])
async def test_concurrent_replies_match_their_requests(handler):
    async with run() as one, run() as two:
        two.handle(messages.Ping, handler)
        requests = [
            send_ping(one, two.address, number) for number in range(500)
        ]
        replies = await asyncio.gather(*requests)
        assertions.assert_that(replies, matchers.Equals(list(range(1, 501))))


# Guards against a late reply that is taken for that to the next request.
async def test_a_reply_after_its_timeout_answers_no_other_request():
    release = asyncio.Event()

    async def reply_when_asked(sender, message):
        if message.generation == 1:
            await release.wait()
        else:
            release.set()
            # The late reply comes first.
            await asyncio.sleep(0.05)
        return reply_at_once(sender, message)

    async with run() as one, run() as two:
        two.handle(messages.Ping, reply_when_asked)
        ping = messages.Ping(generation=1)
        with pytest.raises(exceptions.PeerError):
            await one.send_request(two.address, ping, 200.0)
        reply = await send_ping(one, two.address, 7)
        assertions.assert_that(reply, matchers.Equals(8))


async def test_a_peer_restarted_at_its_address_is_reconnected():
    async with run() as one:
        async with run() as two:
            two.handle(messages.Ping, reply_at_once)
            await send_ping(one, two.address)
        async with run(two.address) as again:
            again.handle(messages.Ping, reply_at_once)
            assertions.assert_that(
                await send_ping(one, again.address, 5), matchers.Equals(6)
            )


async def test_an_absent_peer_times_out_and_its_full_queue_drops():
    async with run() as one:
        async with run() as gone:
            address = gone.address
        with pytest.raises(exceptions.PeerError):
            await one.send_request(address, messages.Ping(), 20)
        for _ in range(zeromq.SEND_QUEUE_MESSAGES + 10):
            one.send(address, messages.Ping())
        assertions.assert_that(one.counts.dropped, matchers.GreaterThan(9))


async def test_invalid_data_is_counted_logged_and_ignored(caplog):
    async with run() as one, run() as two:
        two.handle(messages.Ping, reply_at_once)
        host, _, port = two.address.rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET / HTTP/1.1\r\n\r\n" * 20)
        await writer.drain()
        writer.close()
        context = zmq.Context()
        dealer = context.socket(zmq.DEALER)
        dealer.linger = 0
        dealer.connect(f"tcp://{two.address}")
        dealer.send(b"\xc1not a message")
        dealer.send_multipart([b"too", b"many", b"frames"])
        while two.counts.garbage < 3:
            await asyncio.sleep(0.001)
        dealer.close()
        context.term()
        assertions.assert_that(
            await send_ping(one, two.address), matchers.Equals(2)
        )
        numbers = [record.__dict__.get("event") for record in caplog.records]
        assertions.assert_that(numbers, matchers.Contains(3001))


async def test_idle_connections_are_closed():
    clock = clocks.ManualClock()
    peers = zeromq.ZeroMQTransport("127.0.0.1:0", clock, idle_ms=5000)
    await peers.start()
    peers.send("127.0.0.1:9", messages.Ping())
    assertions.assert_that(peers.connections, matchers.Equals(1))
    await clock.advance(7000)
    assertions.assert_that(peers.connections, matchers.Equals(0))
    await peers.stop()


async def test_an_exception_in_a_handler_does_not_affect_others():
    async with run() as one, run() as two:

        def fail(sender, message):
            raise ValueError("broken handler")

        two.handle(messages.HeadRequest, fail)
        two.handle(messages.Ping, reply_at_once)
        with pytest.raises(exceptions.PeerError):
            await one.send_request(two.address, messages.HeadRequest(), 50)
        assertions.assert_that(
            await send_ping(one, two.address), matchers.Equals(2)
        )


def send_until_refused(address, message, count):
    """Send messages without waiting for them to be read; return how many."""
    with zmq.Context() as context, context.socket(zmq.DEALER) as socket:
        socket.linger = 0
        socket.sndhwm = 1
        socket.connect(f"tcp://{address}")
        for sent in range(count):
            if not socket.poll(SEND_MS, zmq.POLLOUT):
                return sent
            socket.send(message, zmq.DONTWAIT)
    return count


# Guards against a host that runs out of memory while it stands still: it takes
# all that a peer sends.
async def test_messages_that_wait_are_bounded_in_bytes():
    message = bytes(zeromq.MAX_MESSAGE_BYTES)
    most = MAX_WAITING_BYTES // len(message)
    async with run() as peers:
        # Without giving way to the event loop, which would read them.
        sent = send_until_refused(peers.address, message, 2 * most)
    assertions.assert_that(sent <= most, matchers.Equals(True))
