"""Orders of roll-outs in the store, and their status."""

import msgspec
import pytest
from testtools import assertions
from testtools import matchers

from chervilshore import clock as clocks
from chervilshore import exceptions
from chervilshore import objects
from chervilshore.platform import names
from chervilshore.platform import rollouts
from chervilshore.platform import store as clients
from chervilshore import records
from standins import store as stores

ORDER = {"service": "ledger", "to": "v2", "duration_s": 12}
RUNNING = records.RolloutRecord("ledger", "v2", 12_000.0, "running", "2")


def make_object(spec, status=None):
    """Return an object as the store holds it."""
    return objects.StoredObject(
        "ledger", 7, msgspec.json.encode(spec), msgspec.json.encode(status)
    )


@pytest.mark.parametrize(
    ("status", "state"),
    [
        (None, ""),
        ({"state": "running", "to": "v2"}, "running"),
        ({"state": "completed", "to": "v1"}, ""),
        ({"state": 3, "to": "v2"}, ""),
        ({"state": "running", "to": "v2", "more": 1}, "running"),
    ],
)
def test_status_counts_if_it_answers_the_order(status, state):
    record = rollouts.decode_rollout(make_object(ORDER, status))
    assertions.assert_that(
        record,
        matchers.Equals(
            records.RolloutRecord("ledger", "v2", 12_000.0, state)
        ),
    )


@pytest.mark.parametrize(
    "changes",
    [
        {"to": ""},
        {"to": None},
        {"service": ""},
        {"duration_s": 0},
        {"duration_s": "soon"},
    ],
)
def test_invalid_order_is_none(changes):
    record = rollouts.decode_rollout(make_object(ORDER | changes))
    assertions.assert_that(record, matchers.Is(None))


@pytest.fixture
async def store():
    """A store that holds one order."""
    server = stores.Store()
    server.address = await server.start()
    await server.write(names.ROLLOUTS, "ledger", ORDER)
    yield server
    await server.stop()


@pytest.fixture
async def client(store):
    """A client of the store."""
    made = clients.MetadataStore(store.address, clocks.SystemClock())
    yield made
    await made.close()


async def read_order(client):
    listing = await client.list(names.ROLLOUTS)
    return listing.objects[0]


async def test_status_is_written_beside_the_order(store, client):
    stored = await read_order(client)
    content = rollouts.encode_rollout_status(RUNNING)
    present = await client.put_status(names.ROLLOUTS, stored, content)
    assertions.assert_that(
        rollouts.decode_rollout(present), matchers.Equals(RUNNING)
    )
    assertions.assert_that(present.created, matchers.Equals(stored.created))
    assertions.assert_that(await read_order(client), matchers.Equals(present))


async def test_status_of_a_changed_order_is_not_written(store, client):
    stored = await read_order(client)
    await store.write(names.ROLLOUTS, "ledger", ORDER | {"to": "v3"})
    with pytest.raises(exceptions.ObjectChanged) as raised:
        await client.put_status(
            names.ROLLOUTS, stored, rollouts.encode_rollout_status(RUNNING)
        )
    assertions.assert_that(
        rollouts.decode_rollout(raised.value.present),
        matchers.Equals(
            records.RolloutRecord("ledger", "v3", 12_000.0, created="2")
        ),
    )
    assertions.assert_that(store.status_writes, matchers.Equals([]))


async def test_status_of_a_removed_order_is_not_written(store, client):
    stored = await read_order(client)
    await store.remove(names.ROLLOUTS, "ledger")
    with pytest.raises(exceptions.ObjectChanged) as raised:
        await client.put_status(
            names.ROLLOUTS, stored, rollouts.encode_rollout_status(RUNNING)
        )
    assertions.assert_that(raised.value.present, matchers.Is(None))


async def test_lost_answer_leaves_the_outcome_open(store, client):
    stored = await read_order(client)
    store.faults.lose = 1
    with pytest.raises(exceptions.PlatformUnknown):
        await client.put_status(
            names.ROLLOUTS, stored, rollouts.encode_rollout_status(RUNNING)
        )
    assertions.assert_that(
        rollouts.decode_rollout(await read_order(client)),
        matchers.Equals(RUNNING),
    )
