"""Streams at forwarding hosts whose endpoints have several software versions.

The load: streams that break after a few events at endpoints of two versions,
and go on in the same response or in another request of the caller.
"""

import asyncio
import re

import pytest
from testtools import assertions
from testtools import matchers

from standins import workers
from tests import gateway_helpers as helpers

EVENTS = 6
EVENTS_BEFORE_CUT = 2
STREAMS = 16
VERSIONS = ("v1", "v2", "v3")

STORED_SECONDS = 0.3
"""Seconds in which what began a stream must have got to the store."""

RESUMED_SHARE = 0.9
"""Streams that go on while two endpoints of their version serve; the users
ask for half as many as new ones that begin."""


async def serve_versions(
    deployment, hosts, versions=VERSIONS, born=0, **route
):
    """Start hosts, and two endpoints of each version that cut new streams."""
    await deployment.configure(
        [
            helpers.make_route(
                "say", "llm", kind="stream", resumable=True, **route
            )
        ],
        [helpers.make_service("llm", engine={"slots": 8})],
    )
    first = await deployment.add_host(retry_slack="400")
    for number in range(1, hosts):
        await deployment.add_host(
            seeds=first._options.peer_address,
            domain="abc"[number % 3],
            retry_slack="400",
        )
    for version in versions:
        for number in range(2):
            await add_endpoint(
                deployment, f"{version}-{number}", version, born
            )
    for host in deployment.hosts:
        await deployment.wait_ready(host, 2 * len(versions))
        await deployment.wait_until(
            lambda host=host: len(host._catalog.hosts()) == hosts
        )


async def add_endpoint(deployment, name, version, born=0):
    """Start an endpoint that cuts new streams."""
    worker = await deployment.add_worker(
        name, "llm", events=EVENTS, version=version, text=version, born=born
    )
    worker.faults.cut_new = EVENTS_BEFORE_CUT


async def read_events(deployment, host, headers=()):
    """Send a request; return its id, status, whole events and completeness."""
    response, content, is_complete = await deployment.read_stream(
        host, "/say/", headers
    )
    found = re.findall(rb"id: (\d+)\ndata: (\S+)\n\n", content)
    return (
        response.attempt,
        response.status,
        [(int(number), version.decode()) for number, version in found],
        is_complete,
    )


def resume_after(attempt, events_seen):
    """Return the headers by which a caller resumes a stream."""
    return {"Resumes": attempt, "Last-Event-Id": str(events_seen[-1][0])}


def check_streams(streams):
    """Check that each stream has one version, and most are complete."""
    for events_seen in streams:
        numbers = [number for number, _ in events_seen]
        versions = {version for _, version in events_seen}
        assertions.assert_that(versions, matchers.HasLength(1))
        assertions.assert_that(
            numbers, matchers.Equals(list(range(1, len(numbers) + 1)))
        )
    complete = sum(len(events_seen) == EVENTS for events_seen in streams)
    assertions.assert_that(
        complete / len(streams),
        matchers.Not(matchers.LessThan(RESUMED_SHARE)),
    )


# A stream whose endpoint ended went on in the same response at an endpoint of
# another version, whose events do not fit to the first (incident, ORDER).
async def test_stream_goes_on_only_at_the_version_that_began_it(deployment):
    await serve_versions(deployment, hosts=1, max_attempts=2)
    streams = []
    for _ in range(STREAMS):
        _, _, events_seen, _ = await read_events(
            deployment, deployment.hosts[0]
        )
        streams.append(events_seen)
    check_streams(streams)


# A caller took a broken stream up at another host, which went on with it at an
# endpoint of any version (incident, ORDER).
@pytest.mark.parametrize("hosts", [2, 6])
async def test_callers_resume_streams_only_at_their_version(deployment, hosts):
    await serve_versions(deployment, hosts=hosts, max_attempts=1)
    streams = []
    for number in range(STREAMS):
        attempt, _, events_seen, _ = await read_events(
            deployment, deployment.hosts[number % hosts]
        )
        _, _, more_events, _ = await read_events(
            deployment,
            deployment.hosts[(number + 1 + number % 3) % hosts],
            headers=resume_after(attempt, events_seen),
        )
        streams.append(events_seen + more_events)
    check_streams(streams)


async def test_stream_that_no_host_knows_is_refused_at_once(deployment):
    await serve_versions(deployment, hosts=2, max_attempts=2)
    _, status, events_seen, _ = await read_events(
        deployment,
        deployment.hosts[0],
        headers={"Resumes": "never-sent", "Last-Event-Id": "2"},
    )
    assertions.assert_that((status, events_seen), matchers.Equals((503, [])))


async def test_caller_that_names_no_stream_resumes_at_the_only_version(
    deployment,
):
    host, workers = await helpers.serve_stream(
        deployment, count=2, resumable=True
    )
    headers = {"Last-Event-Id": "2"}
    _, status, events_seen, _ = await read_events(deployment, host, headers)
    assertions.assert_that(status, matchers.Equals(200))
    assertions.assert_that(
        [number for number, _ in events_seen], matchers.Equals([3, 4, 5])
    )
    await add_endpoint(deployment, "new", "v2")
    await deployment.wait_ready(host, 3)
    _, status, _, _ = await read_events(deployment, host, headers)
    assertions.assert_that(status, matchers.Equals(503))


async def test_stream_is_refused_while_its_version_has_no_endpoint(deployment):
    await serve_versions(deployment, hosts=2, max_attempts=1)
    attempt, _, events_seen, _ = await read_events(
        deployment, deployment.hosts[0]
    )
    version = events_seen[0][1]
    for number in range(2):
        await deployment.store.remove("servers", f"{version}-{number}")
    host = deployment.hosts[1]
    await deployment.wait_ready(host, 2 * len(VERSIONS) - 2)
    _, status, more_events, _ = await read_events(
        deployment, host, resume_after(attempt, events_seen)
    )
    assertions.assert_that((status, more_events), matchers.Equals((503, [])))


async def restart_hosts(deployment, endpoints):
    """End all hosts at once; start new ones under their names."""
    names = [host._options.host for host in deployment.hosts]
    await asyncio.gather(*(host.stop() for host in deployment.hosts))
    deployment.hosts.clear()
    first = await deployment.add_host(host=names[0], retry_slack="400")
    for number, name in enumerate(names[1:], start=1):
        await deployment.add_host(
            host=name,
            seeds=first._options.peer_address,
            domain="abc"[number % 3],
            retry_slack="400",
        )
    for host in deployment.hosts:
        await deployment.wait_ready(host, endpoints)


# All hosts lost power at once; they came back and nobody knew any more what
# began the streams that broke, so each was refused (incident, LOST).
@pytest.mark.parametrize("versions", [VERSIONS[:1], VERSIONS[:2], VERSIONS])
async def test_streams_go_on_after_all_hosts_ended_at_once(
    deployment, versions
):
    await serve_versions(deployment, 3, versions, max_attempts=1)
    begun = []
    for number in range(STREAMS):
        begun.append(
            await read_events(deployment, deployment.hosts[number % 3])
        )
    await asyncio.sleep(STORED_SECONDS)
    await restart_hosts(deployment, 2 * len(versions))
    streams = []
    for number, (attempt, _, events_seen, _) in enumerate(begun):
        _, _, more_events, _ = await read_events(
            deployment,
            deployment.hosts[number % 2],
            headers=resume_after(attempt, events_seen),
        )
        streams.append(events_seen + more_events)
    check_streams(streams)


# An endpoint started again under its name and address with another version;
# until the store listed it anew, hosts took it for the old one (issue 33).
async def test_endpoint_that_started_again_is_not_taken_for_the_old_one(
    deployment,
):
    await serve_versions(deployment, 1, VERSIONS[:1], max_attempts=2, born=1)
    host = deployment.hosts[0]
    begun = [await read_events(deployment, host) for _ in range(STREAMS)]
    old = deployment.workers["v1-0"]
    await old.stop()
    new = workers.Worker(
        "v1-0", events=EVENTS, version="v2", text="v2", born=2
    )
    await new.start(port=int(old.address.rpartition(":")[2]))
    deployment.workers["v1-0"] = new
    new.faults.cut_new = EVENTS_BEFORE_CUT
    begun += [await read_events(deployment, host) for _ in range(STREAMS)]
    streams = []
    for attempt, _, events_seen, _ in begun:
        _, _, more_events, _ = await read_events(
            deployment, host, resume_after(attempt, events_seen)
        )
        streams.append(events_seen + more_events)
    check_streams(streams)
    assertions.assert_that(new.runs, matchers.Equals([]))


# An endpoint that does not answer the question which process it is would hold
# a request until its deadline.
async def test_endpoint_without_a_report_delays_no_stream(deployment):
    await serve_versions(deployment, 1, VERSIONS[:1], max_attempts=2, born=1)
    host = deployment.hosts[0]
    silent, sound = (deployment.workers[f"v1-{number}"] for number in (0, 1))
    silent.faults.silent_reports = True
    for worker in (silent, sound):
        worker.faults.cut_new = 0
    began_at = asyncio.get_running_loop().time()
    found = [await read_events(deployment, host) for _ in range(4)]
    took_seconds = asyncio.get_running_loop().time() - began_at
    assertions.assert_that(
        [(status, len(events)) for _, status, events, _ in found],
        matchers.Equals([(200, EVENTS)] * 4),
    )
    assertions.assert_that(took_seconds, matchers.LessThan(4 * 1.0))
