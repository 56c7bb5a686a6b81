"""Responses of endpoints that never end are cut at a bound.

The load: an endpoint in trouble that sends bytes until its caller closes, in
each place of a response, beside a sound one.
"""

import pytest
from testtools import assertions
from testtools import matchers

from standins import endless
from tests import gateway_helpers as helpers

MAX_SENT_BYTES = {endless.Place.BODY: 24_000_000}
"""A body may be of 16 MB, and some more is under way."""

MAX_OTHER_BYTES = 8_000_000
"""For all other places: twice what the kernel may buffer on both sides."""


# One endpoint whose bytes do not end can take all processor time and memory
# of a host.
@pytest.mark.parametrize("place", endless.Place)
async def test_endless_response_is_cut_and_a_sound_endpoint_answers(
    deployment, place
):
    kind = "stream" if place is endless.Place.EVENT else "idempotent"
    await deployment.configure(
        [helpers.make_route("look", "ledger", kind=kind, resumable=True)],
        [helpers.make_service("ledger")],
    )
    host = await deployment.add_host(retry_slack="400")
    events = 3 if place is endless.Place.EVENT else 0
    sound = await deployment.add_worker("sound", "ledger", events=events)
    worker = endless.EndlessWorker("endless", place)
    deployment.workers["endless"] = worker
    await worker.start()
    entry = sound.describe("ledger", "a") | {"addr": worker.address}
    await deployment.store.write("servers", "endless", entry)
    await deployment.wait_ready(host, 2)
    statuses = set()
    while len(worker.sent_bytes) < 3:
        response, _ = await deployment.send(host, "/look/")
        statuses.add(response.status)
    most = MAX_SENT_BYTES.get(place, MAX_OTHER_BYTES)
    assertions.assert_that(
        max(worker.sent_bytes), matchers.Not(matchers.GreaterThan(most))
    )
    assertions.assert_that(statuses, matchers.Equals({200}))
