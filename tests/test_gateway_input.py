"""Tests of invalid, oversized and slow requests to a forwarding host."""

import asyncio
import contextlib

import pytest
from testtools import assertions
from testtools import matchers

from tests import gateway_helpers as helpers

HEAD = (
    b"POST /look/ HTTP/1.1\r\nHost: shop.example\r\n"
    b"Chervilshore-Attempt-Id: raw\r\nChervilshore-Key: key-of-a-team\r\n"
)


@contextlib.asynccontextmanager
async def connect(host):
    """Open a connection to the host and close it afterwards."""
    name, _, port = host.address.rpartition(":")
    reader, writer = await asyncio.open_connection(name, int(port))
    try:
        async with asyncio.timeout(5.0):
            yield reader, writer
    finally:
        writer.close()


@pytest.mark.parametrize(
    "raw",
    [
        b"POST /look/ HTTP/1.1\r\nHost: shop.example\r\n"
        b"Content-Length: 3\r\nContent-Length: 30\r\n\r\nabc",
        b"POST /look/ HTTP/1.1\r\nHost: shop.example\r\n"
        b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"POST /look/ HTTP/1.1\r\nHost: shop.example\r\n"
        b"Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
        b"POST /look/ HTTP/1.1\r\nHost: shop.example\r\n"
        b"Transfer-Encoding: gzip, chunked, x\r\n\r\n0\r\n\r\n",
        b"GET /look/ HTTP/1.1\r\nHost: shop.example\r\nBad Name: 1\r\n\r\n",
        b"GET /look/ HTTP/1.1\r\nHost: shop.example\r\nX: a\x00b\r\n\r\n",
    ],
)
async def test_smuggled_requests_reach_no_worker(deployment, raw):
    host, (worker,) = await helpers.serve_plain(deployment)
    name, _, port = host.address.rpartition(":")
    reader, writer = await asyncio.open_connection(name, int(port))
    head, rest = raw.split(b"\r\n", 1)
    identity_headers = (
        b"\r\nChervilshore-Attempt-Id: bad\r\n"
        b"Chervilshore-Key: key-of-a-team\r\n"
    )
    writer.write(head + identity_headers + rest)
    async with asyncio.timeout(5.0):
        answer = await reader.read(100)
    writer.close()
    assertions.assert_that(
        answer[:12] in (b"HTTP/1.1 400", b"HTTP/1.0 400", b""),
        matchers.Is(True),
    )
    assertions.assert_that(worker.runs, matchers.Equals([]))


async def test_body_over_the_limit_is_refused(deployment):
    host, (worker,) = await helpers.serve_plain(deployment)
    response, _ = await deployment.send(host, "/look/", data=b"x" * 100_001)
    assertions.assert_that(response.status, matchers.Equals(413))
    assertions.assert_that(worker.runs, matchers.Equals([]))


async def test_head_over_the_limit_is_refused(deployment):
    host, (worker,) = await helpers.serve_plain(deployment)
    response, _ = await deployment.send(
        host, "/look/", headers={"X-Large": "x" * 16_384}
    )
    assertions.assert_that(response.status, matchers.Equals(431))
    assertions.assert_that(worker.runs, matchers.Equals([]))


async def test_incomplete_head_times_out(deployment):
    """A slowloris attack: many callers send incomplete heads."""
    host, (worker,) = await helpers.serve_plain(
        deployment, limits={"header_timeout_ms": 300}
    )
    async with connect(host) as (reader, writer):
        writer.write(HEAD)
        answer = await reader.read()
    assertions.assert_that(
        answer, matchers.StartsWith(b"HTTP/1.1 408 Request Timeout")
    )
    assertions.assert_that(worker.runs, matchers.Equals([]))


async def test_idle_time_and_body_time_do_not_count_for_the_head_timeout(
    deployment,
):
    host, (worker,) = await helpers.serve_plain(
        deployment, limits={"header_timeout_ms": 300}
    )
    async with connect(host) as (reader, writer):
        for _ in range(2):
            await asyncio.sleep(0.6)
            writer.write(HEAD + b"Content-Length: 4\r\n\r\n")
            await asyncio.sleep(0.6)
            writer.write(b"body")
            answer = await reader.readuntil(b"answer of w0")
            assertions.assert_that(
                answer, matchers.StartsWith(b"HTTP/1.1 200")
            )
    assertions.assert_that(worker.runs, matchers.HasLength(2))
