"""Peers over ZeroMQ, on loopback."""

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

ANSWER_MS = 10_000.0


@contextlib.asynccontextmanager
async def run(address="127.0.0.1:0"):
    peers = zeromq.ZeroMQTransport(address, clocks.SystemClock())
    await peers.start()
    try:
        yield peers
    finally:
        await peers.stop()


def answer(sender, message):
    return messages.Pong(generation=message.generation + 1)


async def answer_late(sender, message):
    await asyncio.sleep(0)
    return answer(sender, message)


async def send_request(one, address, generation=1):
    ping = messages.Ping(generation=generation)
    reply = await one.send_request(address, ping, ANSWER_MS)
    return reply.generation


@pytest.mark.parametrize("handler", [answer, answer_late])
async def test_replies_belong_to_their_questions(handler):
    async with run() as one, run() as two:
        two.handle(messages.Ping, handler)
        asks = [
            send_request(one, two.address, number) for number in range(500)
        ]
        found = await asyncio.gather(*asks)
        assertions.assert_that(found, matchers.Equals(list(range(1, 501))))


async def test_a_peer_restarted_at_its_address_is_reached_again():
    async with run() as one:
        async with run() as two:
            two.handle(messages.Ping, answer)
            await send_request(one, two.address)
        async with run(two.address) as again:
            again.handle(messages.Ping, answer)
            assertions.assert_that(
                await send_request(one, again.address, 5), matchers.Equals(6)
            )


async def test_an_absent_peer_neither_blocks_nor_grows_a_queue():
    async with run() as one:
        async with run() as gone:
            address = gone.address
        with pytest.raises(exceptions.PeerError):
            await one.send_request(address, messages.Ping(), 20)
        for _ in range(zeromq.SEND_QUEUE_MESSAGES + 10):
            one.send(address, messages.Ping())
        assertions.assert_that(one.counts.dropped, matchers.GreaterThan(9))


async def test_garbage_is_counted_and_harms_nothing(caplog):
    async with run() as one, run() as two:
        two.handle(messages.Ping, answer)
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
            await send_request(one, two.address), matchers.Equals(2)
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


async def test_a_failing_handler_leaves_the_rest_working():
    async with run() as one, run() as two:

        def fail(sender, message):
            raise ValueError("broken handler")

        two.handle(messages.HeadRequest, fail)
        two.handle(messages.Ping, answer)
        with pytest.raises(exceptions.PeerError):
            await one.send_request(two.address, messages.HeadRequest(), 50)
        assertions.assert_that(
            await send_request(one, two.address), matchers.Equals(2)
        )
