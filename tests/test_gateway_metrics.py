"""Tests of the metrics of a forwarding host."""

import aiohttp
from testtools import assertions
from testtools import matchers

from chervilshore import ids
from chervilshore import metriclabels
from measure import deployment as deployments
from tests import gateway_helpers as helpers


async def read_metrics(address):
    async with aiohttp.ClientSession() as session:
        async with session.get(f"http://{address}/metrics") as response:
            return await response.text()


async def test_durations_are_recorded_by_endpoint_and_result_code(deployment):
    (port,) = deployments.find_ports(1)
    address = f"127.0.0.1:{port}"
    host, (worker,) = await helpers.serve_plain(
        deployment, host={"metrics_address": address}
    )
    worker.faults.fail = 1
    await deployment.send(host, "/look/")
    await deployment.send(host, "/look/")
    await deployment.send(host, "/nowhere/")
    text = await read_metrics(address)
    for line in (
        'chervilshore_endpoint_seconds_count{endpoint="w0",outcome="ok"} 1',
        'chervilshore_request_ended_seconds_count{code="0"} 1',
        'chervilshore_request_ended_seconds_count{code="1004"} 1',
    ):
        assertions.assert_that(text, matchers.Contains(line))
    assertions.assert_that(
        text, matchers.Contains('endpoint="w0",outcome="rejected"')
    )


def test_number_of_endpoint_labels_is_limited():
    """Endpoints get a new name with each restart, so names are unbounded."""
    labels = metriclabels.EndpointLabels()
    label_values = {
        labels.choose(ids.EndpointId(f"e{number}")) for number in range(1000)
    }
    assertions.assert_that(
        label_values, matchers.HasLength(metriclabels.MAX_ENDPOINT_LABELS + 1)
    )
    assertions.assert_that(
        labels.choose(ids.EndpointId("e0")), matchers.Equals("e0")
    )
