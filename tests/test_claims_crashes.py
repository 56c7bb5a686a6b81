"""Tests of crashes, pauses and compaction of the claim logs, one at a time."""

import asyncio

import pytest
from testtools import assertions
from testtools import matchers

from chervilshore.controllers import claimreader
from chervilshore.controllers import claimstore
from chervilshore.controllers import compaction
from chervilshore.decisions import claims
from chervilshore.filters import base
from chervilshore import results
from tests import claims_helpers
from tests import virtual

Code = results.Code
RETENTION_MS = 20_000.0
TERMS = claimstore.Terms(
    shards=1,
    answer_bytes=100,
    timing=claimreader.Timing(grace_ms=600.0),
    policy=compaction.Policy(
        retention_ms=RETENTION_MS, tail_batches=2, tail_ms=5000.0
    ),
)


def test_claim_of_crashed_host_blocks_only_until_its_budget_has_passed():
    async def run():
        cluster = claims_helpers.ClaimsCluster(terms=TERMS)

        async def crash(host, exchange):
            cluster.kill("host0")

        cluster.before_execution = crash
        await cluster.send("host0", "visit-7", budget=500)
        started = cluster.clock.now()
        answer = await cluster.send("host1", "visit-7", resend=1, budget=9000)
        # The budget of the first request ends long before this deadline.
        waited = cluster.clock.now() - started
        assertions.assert_that(waited, matchers.LessThan(2000))
        assertions.assert_that(answer.code, matchers.Is(Code.CLAIM_OPEN))

    virtual.run(run())


def test_write_with_lost_answer_is_found_by_reading_the_log():
    async def run():
        cluster = claims_helpers.ClaimsCluster(hosts=1, terms=TERMS)
        platform = cluster.hosts["host0"].platform
        platform.rates = {"unheard": 1.0}
        sending = asyncio.ensure_future(cluster.send("host0", "visit-7"))
        await cluster.clock.sleep(30)
        platform.rates = {}
        answer = await sending
        assertions.assert_that(answer.code, matchers.Is(Code.OK))
        await cluster.clock.sleep(100)
        batches = await cluster.memory.list("claims/0000/")
        assertions.assert_that(batches, matchers.HasLength(2))

    virtual.run(run())


@pytest.mark.parametrize("pause_ms", [400, 5000])
def test_paused_writer_discards_a_batch_that_was_written_too_late(
    pause_ms, monkeypatch
):
    # A host pauses before it creates a batch. Meanwhile the owner runs the
    # same key and compacts the log. After a pause longer than the grace
    # period the create succeeds, as the batches were deleted; the host must
    # not apply its batch then. During the grace period no batch is deleted.
    monkeypatch.setattr(claimstore, "MAINTENANCE_INTERVAL_MS", 50.0)

    async def run():
        cluster = claims_helpers.ClaimsCluster(hosts=2, terms=TERMS)
        cluster.unreachable.update(
            host.address for host in cluster.hosts.values()
        )
        owner, other = _find_owner(cluster)
        paused = cluster.hosts[other]
        await cluster.send(other, "first")
        await cluster.clock.sleep(50)
        await cluster.hosts[owner].claims.maybe_start()

        async def pause(call, key):
            if call == "create":
                paused.platform.before = None
                await cluster.clock.sleep(pause_ms)

        paused.platform.before = pause
        paused_request = asyncio.ensure_future(
            cluster.send(other, "visit-7", budget=20_000)
        )
        await cluster.clock.sleep(10)
        for key in ("visit-7", "second", "third"):
            await cluster.send(owner, key)
        if pause_ms > 5 * TERMS.timing.grace_ms:
            await cluster.clock.sleep(pause_ms - 500)
            batches = await cluster.memory.list("claims/0000/")
            assertions.assert_that(batches, matchers.HasLength(0))
        answer = await paused_request
        assertions.assert_that(answer.replayed, matchers.Is(True))
        assertions.assert_that(cluster.counts["visit-7"], matchers.Equals(1))

    virtual.run(run())


@pytest.mark.parametrize("step", range(1, 9))
def test_crash_during_compaction_loses_no_key(step):
    async def run():
        cluster = claims_helpers.ClaimsCluster(hosts=2, terms=TERMS)
        name, other = _find_owner(cluster)
        for key in ("first", "second"):
            await cluster.send(name, key)
        await cluster.clock.sleep(200)
        call_count = 0

        async def crash(call, key):
            nonlocal call_count
            call_count += key != "claims/0000/" or call != "list"
            if call_count == step:
                cluster.kill(name)

        cluster.hosts[name].platform.before = crash
        await cluster.hosts[name].claims.maybe_start()
        await cluster.clock.sleep(6000)
        await cluster.hosts[other].claims.maybe_start()
        for key in ("third", "fourth", "first", "second"):
            await cluster.send(other, key, resend=1)
        await cluster.clock.sleep(8000)
        for key in ("first", "second", "third", "fourth"):
            answer = await cluster.send(other, key, resend=2)
            assertions.assert_that(answer.replayed, matchers.Is(True))
        assertions.assert_that(set(cluster.counts.values()), _is({1}))
        chunks = await cluster.memory.list("claimchunks/")
        names = {stored.key.rpartition("/")[2] for stored in chunks}
        log = cluster.hosts[other].claims._store.get_log(0)
        head = log.reader.head
        known_names = {chunk.name for chunk in head.chunks} | set(head.dropped)
        assertions.assert_that(names - known_names, _is(set()))

    virtual.run(run())


def test_key_is_kept_for_the_retention_and_then_removed():
    async def run():
        cluster = claims_helpers.ClaimsCluster(hosts=1, terms=TERMS)
        await cluster.hosts["host0"].claims.maybe_start()
        await cluster.send("host0", "visit-7")
        end = cluster.clock.now() + RETENTION_MS
        while cluster.clock.now() < end - 2000:
            await cluster.send("host0", f"at {cluster.clock.now()}")
            await cluster.clock.sleep(500)
        cluster.kill("host0")
        await cluster.start("host0").claims.maybe_start()
        answer = await cluster.send("host0", "visit-7", resend=1)
        assertions.assert_that(answer.replayed, matchers.Is(True))
        for _ in range(60):
            await cluster.send("host0", f"at {cluster.clock.now()}")
            await cluster.clock.sleep(500)
        ledger = cluster.hosts["host0"].claims._store.get_log(0).reader.ledger
        expired_key = claims.digest_key("vans", "billing", "visit-7")
        assertions.assert_that(
            expired_key in ledger.records, matchers.Is(False)
        )
        count = len(await cluster.memory.list("claim"))
        assertions.assert_that(count, matchers.LessThan(60))

    virtual.run(run())


def test_answer_too_large_to_record_is_replayed_as_unknown_outcome():
    async def run():
        cluster = claims_helpers.ClaimsCluster(hosts=1, terms=TERMS)
        key = "v" * 150
        first = await cluster.send("host0", key)
        assertions.assert_that(len(first.body), matchers.GreaterThan(100))
        await cluster.clock.sleep(100)
        replayed = await cluster.send("host0", key, resend=1)
        expected = base.Answer(
            Code.OUTCOME_UNKNOWN, b"", replayed.detail, replayed=True
        )
        assertions.assert_that(replayed, matchers.Equals(expected))
        assertions.assert_that(
            replayed.detail, matchers.Contains("ended with 0")
        )
        large = claims.RecordedAnswer(0, b"1", "d" * 2_000_000)
        limited = claims.limit_answer(large, 100, 3001)
        assertions.assert_that(
            claims.max_entry_bytes(claims.Outcome("k", "c", limited)),
            matchers.LessThan(10_000),
        )

    virtual.run(run())


def _find_owner(cluster):
    """Return the names of the owner of shard 0 and of the other host."""
    found = cluster.hosts["host0"].claims._owners.find_remote_owner("claims/0")
    if found is None:
        return "host0", "host1"
    return "host1", "host0"


def _is(value):
    return matchers.Equals(value)
