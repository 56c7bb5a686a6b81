"""Callers that read a large answer slowly."""

import asyncio
import socket

from standins import workers
from tests import gateway_helpers

ANSWER_BYTES = 15_500_000
READ_BYTES = 250_000
RECEIVE_BUFFER_BYTES = 65_536


class LargeWorker(workers.Worker):
    """A worker whose answers are large."""

    async def _answer(self, request, response_headers):
        return workers.web.Response(
            body=bytes(ANSWER_BYTES), headers=response_headers
        )


async def add_large_worker(deployment):
    """Configure a service whose only worker gives large answers."""
    await deployment.configure(
        [gateway_helpers.make_route("look", "ledger")],
        [gateway_helpers.make_service("ledger")],
    )
    worker = LargeWorker("w0")
    await worker.start()
    deployment.workers["w0"] = worker
    entry = worker.describe("ledger", "a")
    await deployment.store.write("servers", "w0", entry)


def make_request(attempt):
    """Return the bytes of a request."""
    return (
        "GET /look/ HTTP/1.1\r\nHost: shop.example\r\n"
        f"Chervilshore-Attempt-Id: {attempt}\r\n"
        "Chervilshore-Deadline-Ms: 5000\r\n"
        f"Chervilshore-Key: {gateway_helpers.KEY}\r\n\r\n"
    ).encode()


async def begin_answer(address):
    """Send a request; return its connection when the answer has begun."""
    sock = socket.socket()
    # Set before connecting, so that the kernel keeps little of the answer.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.setblocking(False)
    host, port = address.rsplit(":", 1)
    await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
    reader, writer = await asyncio.open_connection(
        sock=sock, limit=RECEIVE_BUFFER_BYTES
    )
    writer.write(make_request("slow"))
    await reader.readuntil(b"\r\n\r\n")
    return reader, writer


async def read_slowly(reader, seconds):
    """Read an answer in a time at least; return how many bytes came."""
    read = 0
    while read < ANSWER_BYTES:
        data = await reader.read(READ_BYTES)
        if not data:
            break
        read += len(data)
        await asyncio.sleep(seconds * len(data) / ANSWER_BYTES)
    return read
