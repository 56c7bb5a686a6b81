"""Tests of claims of keys by several hosts."""

import asyncio

from testtools import assertions
from testtools import matchers

from chervilshore import results
from tests import claims_helpers
from tests import virtual

Code = results.Code


def test_concurrent_requests_with_one_key_run_once():
    async def run():
        cluster = claims_helpers.ClaimsCluster(hosts=9)
        answers = await asyncio.gather(
            *(cluster.send(name, "visit-7") for name in cluster.hosts)
        )
        assertions.assert_that(cluster.runs, matchers.HasLength(1))
        request = cluster.runs[0].request
        assertions.assert_that(
            {(answer.code, answer.body) for answer in answers},
            matchers.Equals({(Code.OK, f'"visit-7 by {request}"'.encode())}),
        )
        replayed = sum(answer.replayed for answer in answers)
        assertions.assert_that(replayed, matchers.Equals(8))

    virtual.run(run())


def test_key_reused_with_another_body_is_refused():
    async def run():
        cluster = claims_helpers.ClaimsCluster()
        await cluster.send("host0", "visit-7")
        answer = await cluster.send("host1", "visit-7", b'{"other":1}')
        assertions.assert_that(answer.code, matchers.Is(Code.KEY_REUSED))
        assertions.assert_that(cluster.runs, matchers.HasLength(1))

    virtual.run(run())


def test_missing_and_malformed_keys_are_refused():
    async def run():
        cluster = claims_helpers.ClaimsCluster()
        codes = [
            (await cluster.send("host0", key)).code
            for key in ("", "k" * 201, "a\nb")
        ]
        assertions.assert_that(
            codes,
            matchers.Equals(
                [Code.KEY_NEEDED, Code.BAD_HEADER, Code.BAD_HEADER]
            ),
        )

    virtual.run(run())
