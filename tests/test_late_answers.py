"""Second copies of answers that arrive on a connection in use again.

The load: a worker sends an answer once more, when the next request has been
written to the connection, or before that, whole or in part.
"""

import asyncio
import contextlib

import msgspec
import pytest
from testtools import assertions
from testtools import matchers

from chervilshore.clients import connectionpool
from chervilshore import clock as clocks
from chervilshore import exceptions
from chervilshore.platform import batches
from chervilshore.platform import store
from standins import workers
from tests import batch_helpers
from tests import gateway_helpers as helpers
from tests import repeater_helpers


async def serve(deployment, repeater, **route):
    """Start a host whose only worker sends answers twice."""
    await deployment.configure(
        [helpers.make_route("look", "ledger", **route)],
        [helpers.make_service("ledger")],
    )
    host = await deployment.add_host()
    entry = workers.Worker("w0").describe("ledger", "a", addr=repeater.address)
    await deployment.store.write("servers", "w0", entry)
    await deployment.wait_ready(host, 1)
    return host


@pytest.mark.parametrize("copy", list(repeater_helpers.Copy))
async def test_second_copy_is_no_answer_to_another_request(
    deployment, repeater, copy
):
    host = await serve(deployment, repeater)
    repeater.copy = copy
    for _ in range(4):
        response, body = await deployment.send(host, "/look/")
        if response.status == 200:
            assertions.assert_that(
                body.decode(),
                matchers.Equals(f"answer to {response.attempt}"),
            )
        elif copy in (
            repeater_helpers.Copy.NEVER,
            repeater_helpers.Copy.BEFORE,
        ):
            # The connection has been closed in time.
            assertions.assert_that(response.status, matchers.Equals(200))
        await asyncio.sleep(0.05)


async def test_second_copy_of_a_refusal_does_not_deny_a_run(
    deployment, repeater
):
    """The next request has run; a copy of a refusal comes before its answer.

    Refusals that name their request and others are copied; only the former
    prove that a request has not run.
    """
    host = await serve(
        deployment, repeater, kind="non_idempotent", max_attempts=1
    )
    repeater.copy = repeater_helpers.Copy.AFTER
    for named, status in (("one", 503), ("", 502)):
        repeater.runs.clear()
        if named:
            repeater.refusals = [repeater_helpers.make_refusal(named)]
            response, _ = await deployment.send(
                host, "/look/", headers={"Chervilshore-Attempt-Id": "one"}
            )
        else:
            repeater.refusals = [repeater_helpers.make_refusal()]
            response, _ = await deployment.send(host, "/look/")
        assertions.assert_that(response.status, matchers.Equals(status))
        await asyncio.sleep(0.05)
        response, _ = await deployment.send(host, "/look/")
        assertions.assert_that(len(repeater.runs), matchers.Equals(1))
        assertions.assert_that(
            response.status,
            matchers.MatchesAny(*map(matchers.Equals, (200, 502))),
        )


async def test_refusals_that_name_no_request_leave_no_connections(
    deployment, repeater
):
    """An endpoint refuses many requests at once and names none of them.

    They prove nothing, also of requests that may be repeated.
    """
    host = await serve(deployment, repeater, max_attempts=1)
    repeater.refusals = [repeater_helpers.make_refusal()] * 20
    answers = await asyncio.gather(
        *(deployment.send(host, "/look/") for _ in range(20))
    )
    for response, _ in answers:
        assertions.assert_that(response.status, matchers.Equals(502))
    assertions.assert_that(
        host._connections._idle_by_address.get(repeater.address, []),
        matchers.Equals([]),
    )


def ignore_notice(record, notice):
    """Ignore what an endpoint says of itself."""


@pytest.mark.parametrize("copy", list(repeater_helpers.Copy))
async def test_second_copy_gives_no_results_to_other_items(repeater, copy):
    """Batch responses name no call; their handles are new each time."""
    repeater.copy = copy
    pool = connectionpool.ConnectionPool(clocks.SystemClock())
    client = batches.BatchClient(pool, ignore_notice)
    record = msgspec.structs.replace(
        batch_helpers.make_record("w0"), address=repeater.address
    )
    found = []
    for number in range(6):
        calls = [batches.batches.ItemCall(f"r{number}", 0, 0, 500.0, "k")]
        try:
            (result,) = await client.run(record, calls, 500.0)
        except exceptions.EndpointBroken:
            continue
        finally:
            await asyncio.sleep(0.05)
        found.append(result.handle)
        # The worker numbers its calls.
        assertions.assert_that(
            result.handle,
            matchers.Equals(f"{repeater.address}/{number + 1}.0"),
        )
    assertions.assert_that(len(found), matchers.GreaterThan(2))
    pool.close()


# Guards against MIXED: the results of a call whose answer seemed to be an old
# one without handles passed for those of the next call on its connection.
@pytest.mark.parametrize(
    "old",
    (
        repeater_helpers.make_refusal(),
        repeater_helpers.make_answer(b'{"items": [{"reason": "gone"}]}'),
    ),
    ids=("refusal", "reason"),
)
async def test_late_results_are_not_those_of_the_next_items(repeater, old):
    pool = connectionpool.ConnectionPool(clocks.SystemClock())
    client = batches.BatchClient(pool, ignore_notice)
    record = msgspec.structs.replace(
        batch_helpers.make_record("w0"), address=repeater.address
    )

    def run(number):
        call = batches.batches.ItemCall(f"r{number}", 0, 0, 500.0, "k")
        return client.run(record, [call], 500.0)

    await run(1)
    repeater.strays = [old]
    with contextlib.suppress(exceptions.EndpointBusy):
        await run(2)
    # It is sent at once, before the worker has answered the call before.
    (result,) = await run(3)
    assertions.assert_that(
        result.handle, matchers.Equals(f"{repeater.address}/3.0")
    )
    pool.close()


class RepeatingStore(repeater_helpers.Repeater):
    """A store that sends listings twice; each kind has one object."""

    def __init__(self):
        super().__init__()
        self.copy = repeater_helpers.Copy.AFTER

    def _answer(self, headers, body):
        kind = headers[":path"].rpartition("/")[2]
        item = {"metadata": {"name": f"of-{kind}", "revision": 1}}
        content = msgspec.json.encode({"items": [item], "current_rev": 1})
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(content)}\r\n\r\n"
        return head.encode() + content


async def test_second_copy_of_a_listing_is_none_of_another_kind():
    repeating_store = RepeatingStore()
    await repeating_store.start()
    client = store.MetadataStore(
        repeating_store.address, clocks.SystemClock(), 500.0
    )
    for kind in ("servers", "evacuations", "config", "servers"):
        listing = await client.list(kind)
        assertions.assert_that(
            [stored.name for stored in listing.objects],
            matchers.Equals([f"of-{kind}"]),
        )
    await client.close()
    repeating_store.stop()
