"""A forwarding host before stand-ins: what callers and workers see."""

import asyncio
import contextlib

import aiohttp
import pytest
from testtools import assertions
from testtools import matchers

from chervilshore import gateway
from chervilshore import settings
from tests import gateway_helpers as helpers


async def test_a_request_and_its_answer_pass_unchanged(deployment):
    host, (worker,) = await helpers.serve_plain(deployment)
    response, body = await deployment.ask(
        host,
        "/look/a%2Fb/../c?x=%20y",
        data=b"payload",
        headers={"X-Own": "1", "Connection": "X-Hop", "X-Hop": "2"},
    )
    assertions.assert_that(response.status, matchers.Equals(200))
    assertions.assert_that(body, matchers.Equals(b"answer of w0"))
    received = worker.received[0]
    assertions.assert_that(worker.bodies, matchers.Equals([b"payload"]))
    assertions.assert_that(received["x-own"], matchers.Equals("1"))
    assertions.assert_that(
        received["chervilshore-tenant"], matchers.Equals("team1")
    )
    assertions.assert_that(
        received["chervilshore-expect-instance"], matchers.Equals("w0")
    )
    assertions.assert_that(
        int(received["chervilshore-deadline-ms"]), matchers.LessThan(5001)
    )
    for name in ("chervilshore-key", "x-hop", "connection"):
        assertions.assert_that(received, matchers.Not(matchers.Contains(name)))


@pytest.mark.parametrize(
    ("path", "headers", "status"),
    [
        ("/other/", {}, 404),
        ("/look/", {"Chervilshore-Key": "unknown"}, 401),
        ("/look/", {"Host": "else.example"}, 404),
        ("/look/", {"Chervilshore-Deadline-Ms": "soon"}, 400),
        ("/look/", {"Chervilshore-Deadline-Ms": "nan"}, 400),
        ("/look/", {"Chervilshore-Pieces": "1,-1"}, 400),
        ("/look/", {"Chervilshore-Pieces": "1000000000"}, 400),
        ("/look/", {"Chervilshore-Token-Usage": "many"}, 400),
        ("/look/", {"Chervilshore-Attempt-Id": ""}, 400),
    ],
)
async def test_what_cannot_be_meant_is_refused(
    deployment, path, headers, status
):
    host, (worker,) = await helpers.serve_plain(deployment)
    response, _ = await deployment.ask(host, path, headers=headers)
    assertions.assert_that(response.status, matchers.Equals(status))
    assertions.assert_that(worker.runs, matchers.Equals([]))


async def test_headers_that_the_system_sets_never_pass(deployment):
    host, (worker,) = await helpers.serve_plain(deployment)
    forged = {
        "Chervilshore-Tenant": "another",
        "Chervilshore-Expect-Instance": "w9",
        "Chervilshore-Hold": "h1",
        "Chervilshore-Pin-Ms": "100",
        "Chervilshore-Kv-Backup": "10.0.0.1:80",
        "Kv-From": "10.0.0.1:80/x",
        "Kv-Fetch": "10.0.0.1:80",
        "Chervilshore-Inputs": "10.0.0.1:80/x",
    }
    await deployment.ask(host, "/look/", headers=forged)
    received = worker.received[0]
    assertions.assert_that(
        received["chervilshore-tenant"], matchers.Equals("team1")
    )
    for name in ("hold", "pin-ms", "kv-backup", "inputs"):
        assertions.assert_that(
            received, matchers.Not(matchers.Contains(f"chervilshore-{name}"))
        )
    for name in ("kv-from", "kv-fetch"):
        assertions.assert_that(received, matchers.Not(matchers.Contains(name)))


async def test_repeatable_work_goes_elsewhere_after_a_failure(deployment):
    host, found = await helpers.serve_plain(deployment, count=2)
    for worker in found:
        worker.faults.fail = 1
    response, body = await deployment.ask(host, "/look/")
    runs = [len(worker.runs) for worker in found]
    assertions.assert_that(runs, matchers.Equals([1, 1]))
    # Both have failed: the caller gets the second one's own answer.
    assertions.assert_that(response.status, matchers.Equals(500))
    assertions.assert_that(
        response.headers, matchers.Contains("Chervilshore-Response-Stamp")
    )
    assertions.assert_that(body, matchers.Equals(b"failed"))


@pytest.mark.parametrize("fault", ["reset", "cut_body", "cross"])
async def test_an_instruction_that_may_have_run_is_not_sent_again(
    deployment, fault
):
    host, found = await helpers.serve_plain(
        deployment, count=2, kind="non_idempotent", max_attempts=1
    )
    for worker in found:
        setattr(worker.faults, fault, 1)
    response, _ = await deployment.ask(host, "/look/")
    assertions.assert_that(response.status, matchers.Equals(502))
    runs = [run for worker in found for run in worker.runs]
    assertions.assert_that(len(runs), matchers.Equals(1))


async def test_an_instruction_that_was_refused_goes_elsewhere(deployment):
    host, found = await helpers.serve_plain(
        deployment, count=2, kind="non_idempotent", max_attempts=1
    )
    for worker in found:
        worker.faults.shed = 1
    response, _ = await deployment.ask(host, "/look/")
    runs = [run for worker in found for run in worker.runs]
    refused = response.status == 503 and not runs
    assertions.assert_that(refused or len(runs) == 1, matchers.Is(True))


async def test_bytes_after_an_answer_belong_to_no_request(deployment):
    host, (worker,) = await helpers.serve_plain(deployment)
    worker.faults.extra = True
    for _ in range(5):
        response, body = await deployment.ask(host, "/look/")
        assertions.assert_that(response.status, matchers.Equals(200))
        assertions.assert_that(body, matchers.Equals(b"answer of w0"))


async def test_another_worker_at_an_address_runs_nothing(deployment):
    host, (worker,) = await helpers.serve_plain(deployment)
    worker.name = "someone-else"
    response, _ = await deployment.ask(host, "/look/")
    assertions.assert_that(response.status, matchers.Equals(503))
    assertions.assert_that(worker.runs, matchers.Equals([]))


async def test_a_caller_hears_at_its_routes_time(deployment):
    host, (worker,) = await helpers.serve_plain(deployment, timeout_ms=200)
    worker.faults.mute = True
    response, _ = await deployment.ask(host, "/look/")
    assertions.assert_that(response.status, matchers.Equals(504))


async def test_a_worker_stops_when_the_caller_leaves(deployment):
    host, (worker,) = await helpers.serve_plain(deployment)
    worker.faults.mute = True
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(0.3):
            await deployment.ask(host, "/look/")
    await deployment.wait(lambda: worker.cancelled_requests == 1)


async def test_a_stream_passes_event_by_event(deployment):
    host, _ = await helpers.serve_stream(deployment)
    response, body = await deployment.ask(host, "/say/")
    assertions.assert_that(response.status, matchers.Equals(200))
    assertions.assert_that(body.count(b"\n\n"), matchers.Equals(5))


async def test_a_resumable_stream_goes_on_at_another_worker(deployment):
    host, found = await helpers.serve_stream(
        deployment, count=2, resumable=True
    )
    for worker in found:
        worker.faults.cut_after = 2
    found[0].faults.cut_after = 2
    found[1].faults.cut_after = -1
    received = set()
    for number in range(6):
        _, body = await deployment.ask(
            host,
            "/say/",
            headers={"Chervilshore-Prompt-Prefix": f"s{number}:5,p:3"},
        )
        received.add(body)
    whole = b"".join(b"id: %d\ndata: x\n\n" % one for one in range(1, 6))
    assertions.assert_that(received, matchers.Equals({whole}))


async def test_a_stream_that_cannot_be_resumed_breaks_visibly(deployment):
    host, (worker,) = await helpers.serve_stream(
        deployment, resumable=False, max_attempts=1
    )
    worker.faults.cut_after = 2
    with pytest.raises(aiohttp.ClientPayloadError):
        await deployment.ask(host, "/say/")
    assertions.assert_that(len(worker.runs), matchers.Equals(1))


async def test_pieces_are_made_in_order_and_handed_over(deployment):
    host = await helpers.serve_stages(deployment)
    response, _ = await deployment.ask(
        host,
        "/say/",
        headers={
            "Chervilshore-Pieces": "2,3",
            "Chervilshore-Piece-Key": "k1",
        },
    )
    assertions.assert_that(response.status, matchers.Equals(200))
    first = deployment.workers["c0"].batch_calls[0]
    second = deployment.workers["s0"].batch_calls[0]
    assertions.assert_that(
        [(one["stage"], one["piece"], one["key"]) for one in first],
        matchers.Equals([(0, 0, "k1"), (0, 1, "k1")]),
    )
    assertions.assert_that(len(second), matchers.Equals(3))
    assertions.assert_that(len(second[0]["inputs"]), matchers.Equals(2))
    given = deployment.workers["m0"].received[0]["chervilshore-inputs"]
    assertions.assert_that(given.count("/"), matchers.Equals(3))


async def test_results_are_given_up_after_their_last_reader(deployment):
    host = await helpers.serve_stages(deployment)
    await deployment.ask(
        host,
        "/say/",
        headers={
            "Chervilshore-Pieces": "2,3",
            "Chervilshore-Piece-Key": "k1",
        },
    )
    await deployment.wait(
        lambda: (
            len(deployment.workers["c0"].freed_handles) == 2
            and len(deployment.workers["s0"].freed_handles) == 3
        )
    )


async def test_results_are_given_up_while_their_reader_works(deployment):
    host = await helpers.serve_stages(deployment, second_ms=600.0)
    headers = {
        "Chervilshore-Pieces": "2,3",
        "Chervilshore-Piece-Key": "k1",
    }
    asking = asyncio.ensure_future(
        deployment.ask(host, "/say/", headers=headers)
    )
    first, second = (deployment.workers[name] for name in ("c0", "s0"))
    await deployment.wait(lambda: len(first.freed_handles) == 2)
    assertions.assert_that(second.active_batch_calls, matchers.Equals(1))
    response, _ = await asking
    assertions.assert_that(response.status, matchers.Equals(200))


async def test_results_are_given_up_when_their_caller_leaves(deployment):
    """Pattern: callers give up between two calls for one request."""
    host = await helpers.serve_stages(deployment, first_ms=300.0)
    headers = {
        "Chervilshore-Pieces": "12,1",
        "Chervilshore-Piece-Key": "k1",
    }
    asking = asyncio.ensure_future(
        deployment.ask(host, "/say/", headers=headers)
    )
    worker = deployment.workers["c0"]
    await deployment.wait(lambda: len(worker.batch_calls) == 2)
    asking.cancel()
    await deployment.wait(lambda: len(worker.freed_handles) == 8)


@pytest.mark.parametrize("worker", ["s0", "m0"])
async def test_results_that_vanish_are_made_again(deployment, worker):
    """Pattern: a maker dies, or is cut off from who reads its results."""
    host = await helpers.serve_stages(deployment)
    deployment.workers[worker].faults.gone = 1
    response, _ = await deployment.ask(
        host,
        "/say/",
        headers={"Chervilshore-Pieces": "2,3", "Chervilshore-Piece-Key": "k"},
    )
    assertions.assert_that(response.status, matchers.Equals(200))
    made = [len(call) for call in deployment.workers["c0"].batch_calls]
    assertions.assert_that(made, matchers.Equals([2, 2]))


async def test_pieces_of_two_hosts_share_calls(deployment):
    """Pattern: many small requests over all hosts, one call at a time."""
    host = await helpers.serve_stages(deployment, millis=300.0)
    other = await deployment.add_host()
    await deployment.wait_ready(other, 3)
    await deployment.wait(
        lambda: (
            len(host._catalog.hosts()) == 2
            and len(other._catalog.hosts()) == 2
        )
    )
    headers = {
        "Chervilshore-Pieces": "1,1",
        "Chervilshore-Piece-Key": "k1",
    }
    await asyncio.gather(
        *(
            deployment.ask(one, "/say/", headers=headers)
            for one in (host, other) * 4
        )
    )
    sizes = [len(call) for call in deployment.workers["c0"].batch_calls]
    assertions.assert_that(sum(sizes), matchers.Equals(8))
    assertions.assert_that(len(sizes), matchers.LessThan(4))


async def test_a_leaving_worker_gets_nothing_more(deployment):
    host, found = await helpers.serve_plain(deployment, count=2)
    entry = found[0].describe("ledger", "a", state="draining")
    await deployment.store.write("servers", "w0", entry)
    catalog = host._catalog
    await deployment.wait(
        lambda: catalog.endpoint("w0").state.value == "leaving"
    )
    for _ in range(5):
        await deployment.ask(host, "/look/")
    assertions.assert_that(found[0].runs, matchers.Equals([]))


async def test_a_domain_that_is_out_gets_nothing(deployment):
    host, found = await helpers.serve_plain(deployment)
    await deployment.store.write("evacuations", "a", {})
    await deployment.wait(lambda: host._catalog.rules.is_out("a"))
    response, _ = await deployment.ask(host, "/look/")
    assertions.assert_that(response.status, matchers.Equals(503))
    assertions.assert_that(response.headers, matchers.Contains("Retry-After"))
    await deployment.store.remove("evacuations", "a")
    await deployment.wait(lambda: not host._catalog.rules.is_out("a"))
    response, _ = await deployment.ask(host, "/look/")
    assertions.assert_that(response.status, matchers.Equals(200))


async def test_entries_that_cannot_be_read_name_no_worker(deployment):
    host, found = await helpers.serve_plain(deployment)
    for name, entry in {
        "x1": {"service": 5},
        "x2": "nothing",
        "x3": found[0].describe("ledger", "a", state="resting"),
        "x4": found[0].describe("ledger", "a", addr="nowhere"),
    }.items():
        await deployment.store.write("servers", name, entry)
    await deployment.store.write(
        "servers", "last", found[0].describe("ledger", "a")
    )
    await deployment.wait(lambda: host._catalog.endpoint("last") is not None)
    assertions.assert_that(
        host._catalog.describe()["endpoints"], matchers.Equals(2)
    )


async def test_a_leaving_host_finishes_what_it_has_taken(deployment):
    host, (worker,) = await helpers.serve_plain(deployment)
    worker._millis = 500.0
    asked = asyncio.ensure_future(deployment.ask(host, "/look/"))
    await deployment.wait(lambda: worker.runs)
    draining = asyncio.ensure_future(host.drain())
    response, _ = await asked
    assertions.assert_that(response.status, matchers.Equals(200))
    assertions.assert_that(host.is_ready, matchers.Is(False))
    again, _ = await deployment.ask(host, "/look/")
    assertions.assert_that(again.status, matchers.Equals(200))
    assertions.assert_that(
        again.headers["Connection"], matchers.Equals("close")
    )
    await draining


async def test_a_leaving_host_refuses_what_it_could_not_finish(deployment):
    """Pattern: connections that callers keep to a host that stops."""
    host, (worker,) = await helpers.serve_plain(deployment)
    host.ingress.draining = host.ingress.closed = True
    response, _ = await deployment.ask(host, "/look/")
    assertions.assert_that(response.status, matchers.Equals(503))
    assertions.assert_that(
        float(response.headers["Retry-After"]), matchers.Equals(0.0)
    )
    assertions.assert_that(
        response.headers["Connection"], matchers.Equals("close")
    )
    assertions.assert_that(worker.runs, matchers.Equals([]))


@pytest.mark.parametrize("hosts", [1, 6, 9, 68, 76, 300])
def test_retries_of_all_hosts_stay_within_the_budget(hosts):
    """Pattern: every host of a fleet uses its whole share at once."""
    options = settings.load(
        {
            "host": "h1",
            "domain": "a",
            "http_address": "127.0.0.1:1",
            "peer_address": "127.0.0.1:2",
            "platform": "127.0.0.1:3",
            "retry_ratio": "0.2",
            "retry_slack": str(52 if hosts < 10 else 2.6 * hosts),
            "retry_window_ms": "10000",
        },
        {},
    )
    ratio, floor, most = gateway._share_budget(options, hosts)
    used = hosts * (most + 10.0 * floor)
    assertions.assert_that(used, matchers.LessThan(options.retry_slack + 0.01))
    assertions.assert_that(ratio, matchers.LessThan(0.2))


async def test_a_leaving_keeper_hands_its_waiting_jobs_over(deployment):
    """Pattern: hosts that restart in turn while pieces wait for a call."""
    host = await helpers.serve_stages(deployment, millis=300.0)
    other = await deployment.add_host()
    await deployment.wait_ready(other, 3)
    await deployment.wait(
        lambda: (
            len(host._catalog.hosts()) == 2
            and len(other._catalog.hosts()) == 2
        )
    )
    headers = {"Chervilshore-Pieces": "8,1", "Chervilshore-Piece-Key": "k1"}
    asked = [
        asyncio.ensure_future(deployment.ask(one, "/say/", headers=headers))
        for one in (host, other, host)
    ]
    worker = deployment.workers["c0"]
    await deployment.wait(lambda: worker.batch_calls)
    keeper = next(
        one for one in (host, other) if one._keeper._pool_states.get("cut")
    )
    drained = asyncio.ensure_future(keeper.drain())
    for response, _ in await asyncio.gather(*asked):
        assertions.assert_that(response.status, matchers.Equals(200))
    pieces = [
        (one["id"], one["piece"])
        for call in worker.batch_calls
        for one in call
    ]
    assertions.assert_that(len(pieces), matchers.Equals(len(set(pieces))))
    await drained
