"""Answers that are lost after their request may have run.

The load: an endpoint, reached directly or through a peer, of which an answer
gets lost in any way, on a new connection and on one in use again.
"""

import asyncio
import enum
import socket
import struct

import pytest
from testtools import assertions
from testtools import matchers

from chervilshore.platform import names
from standins import workers
from tests import gateway_helpers as helpers
from tests import path_helpers


class Loss(enum.Enum):
    """How an answer gets lost."""

    RESET = "the connection is reset"
    CLOSE = "the connection is closed"
    PART = "the connection is closed within the head"
    INFORMATION = "the connection is closed after a head before the answer"
    GARBAGE = "bytes that are no answer"
    SILENCE = "some bytes of the head, and no more"
    UNAVAILABLE = "503, though it does not say that it has not run"
    TOO_MANY = "429 in the same way"
    LATE = "408 in the same way"


SENT = {
    Loss.PART: b"HTTP/1.1 200 OK\r\nContent-Le",
    Loss.INFORMATION: b"HTTP/1.1 100 Continue\r\n\r\n",
    Loss.GARBAGE: b"\x16\x03\x01 no answer\r\n\r\n",
    Loss.SILENCE: b"HTTP/1.1 ",
    Loss.UNAVAILABLE: b"HTTP/1.1 503 Oops\r\nContent-Length: 0\r\n",
    Loss.TOO_MANY: b"HTTP/1.1 429 Oops\r\nContent-Length: 0\r\n",
    Loss.LATE: b"HTTP/1.1 408 Oops\r\nContent-Length: 0\r\n",
}
"""What is sent of an answer; the end of a whole head is added."""

WHOLE = (Loss.UNAVAILABLE, Loss.TOO_MANY, Loss.LATE)


class LosingWorker:
    """A worker that runs requests and loses some answers.

    Attributes
    ----------
    loss : Loss or None
        How the next answers get lost.
    runs : list of str
        Attempt ids of the requests that ran.
    """

    def __init__(self):
        self.loss = None
        self.runs = []
        self.address = ""
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def stop(self):
        self._server.close()

    async def _serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                attempt = head.partition("attempt-id: ")[2].split("\r\n")[0]
                self.runs.append(attempt)
                named = (
                    f"Chervilshore-Attempt-Id: {attempt}\r\n"
                    "Chervilshore-Response-Stamp: s\r\n\r\n"
                ).encode()
                if self.loss is None:
                    writer.write(
                        b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + named
                    )
                elif self.loss in WHOLE:
                    writer.write(SENT[self.loss] + named)
                else:
                    writer.write(SENT.get(self.loss, b""))
                    await self._end(writer)
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def _end(self, writer):
        if self.loss is Loss.SILENCE:
            await asyncio.sleep(3600.0)
        if self.loss is Loss.RESET:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
        writer.close()


async def serve(deployment, kind):
    """Start two hosts, and two workers that lose answers."""
    await deployment.configure(
        [
            helpers.make_route(
                "pay", "ledger", kind=kind, timeout_ms=1000, max_attempts=2
            )
        ],
        [helpers.make_service("ledger")],
    )
    losing = []
    for number in range(2):
        worker = LosingWorker()
        await worker.start()
        deployment.workers[f"w{number}"] = worker
        entry = workers.Worker(f"w{number}").describe(
            "ledger", "a", addr=worker.address
        )
        await deployment.store.write("servers", f"w{number}", entry)
        losing.append(worker)
    for _ in range(2):
        await deployment.add_host(
            connector=path_helpers.CuttableConnector(), retry_ratio="10"
        )
    for host in deployment.hosts:
        await deployment.wait_ready(host, 2)
    await deployment.wait_until(
        lambda: all(len(one._catalog.hosts()) == 2 for one in deployment.hosts)
    )
    return deployment.hosts[0], losing


@pytest.mark.parametrize(
    ("relayed", "reused"), [(False, False), (False, True), (True, True)]
)
@pytest.mark.parametrize("loss", list(Loss))
async def test_request_whose_answer_is_lost_runs_once_and_is_not_denied(
    deployment, loss, relayed, reused
):
    host, losing = await serve(deployment, "non_idempotent")
    if relayed:
        host._connector.cut(path_helpers.Cut.REFUSE)
    if reused:
        for _ in range(6):
            response, _ = await deployment.send(host, "/pay/")
            assertions.assert_that(response.status, matchers.Equals(200))
    for worker in losing:
        worker.loss = loss
        worker.runs.clear()
    response, _ = await deployment.send(host, "/pay/")
    runs = [run for worker in losing for run in worker.runs]
    assertions.assert_that(runs, matchers.Equals([response.attempt]))
    assertions.assert_that(
        names.NOT_RUN_STATUSES,
        matchers.Not(matchers.Contains(response.status)),
    )


# Guards against 503, which promises "not run", for a request that has run and
# whose repeat found no endpoint.
async def test_run_whose_repeat_is_refused_is_not_denied(deployment):
    host, (worker,) = await helpers.serve_plain(deployment)
    worker.faults.reset = 1
    response, _ = await deployment.send(host, "/look/")
    assertions.assert_that(worker.runs, matchers.Equals([response.attempt]))
    assertions.assert_that(response.status, matchers.Equals(502))
