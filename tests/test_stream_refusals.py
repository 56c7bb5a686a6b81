"""Streams that may run once, and the answers that callers get to them.

The load: the first of two endpoints answers with a status that may promise
that the request has not run, breaks off, or refuses it.
"""

import pytest
from testtools import assertions
from testtools import matchers

from chervilshore.platform import names
from tests import gateway_helpers
from tests import script_helpers

WHOLE = script_helpers.make_events(1, script_helpers.EVENTS)
RESET = script_helpers.End.RESET
KEEP = script_helpers.End.KEEP

RUNS = {
    f"{status} without a mark": (
        script_helpers.make_answer(
            b"error text", f"{status} Failed", "text/plain", "length"
        ),
        KEEP,
    )
    for status in (408, 429, 500, 503, 504)
} | {
    "no answer": (b"", RESET),
    "no answer, closed": (b"", script_helpers.End.CLOSE),
    "no head": (b"error text\r\n\r\n", KEEP),
    "refusal of another request": (
        script_helpers.make_refusal("503 Full").replace(
            b"ATTEMPT", b"another"
        ),
        KEEP,
    ),
    "half a refusal": (
        script_helpers.make_refusal("503 Full").rstrip() + b"\r\n",
        RESET,
    ),
    "head alone": (script_helpers.make_answer(is_cut=True), RESET),
    "no event": (script_helpers.make_answer(), KEEP),
    "part of an event": (
        script_helpers.make_answer(script_helpers.CUT_EVENT, is_cut=True),
        RESET,
    ),
    "encoded": (
        script_helpers.make_answer(
            WHOLE,
            headers=[
                "Chervilshore-Response-Stamp: s",
                "Content-Encoding: gzip",
            ],
        ),
        KEEP,
    ),
    "without a stamp": (script_helpers.make_answer(WHOLE, headers=()), KEEP),
    "error after an interim head": (
        b"HTTP/1.1 103 Early Hints\r\n\r\n"
        + script_helpers.make_answer(
            b"text", "503 Failed", "text/plain", "length"
        ),
        KEEP,
    ),
}
"""What an endpoint sends that may have run the request."""

REFUSALS = {
    status: (script_helpers.make_refusal(f"{status} Refused"), KEEP)
    for status in (400, 421, 429, 503)
}


@pytest.fixture
def script():
    new_script = script_helpers.Script()
    yield new_script
    new_script.stop()


async def serve(deployment, script):
    """Start a host and two endpoints for streams that may run once."""
    return await script_helpers.serve(
        deployment, script, count=2, resumable=False, max_attempts=2
    )


# Guards against REFUSED and TWICE for streams that may not be resumed.
@pytest.mark.parametrize("name", RUNS)
async def test_stream_that_may_have_run_is_neither_denied_nor_sent_again(
    deployment, script, name
):
    host = await serve(deployment, script)
    script.answers = [RUNS[name]]
    status, content, _ = await script_helpers.read_stream(deployment, host)
    assertions.assert_that(len(script.received), matchers.Equals(1))
    assertions.assert_that(
        names.NOT_RUN_STATUSES, matchers.Not(matchers.Contains(status))
    )
    assertions.assert_that(content, matchers.Not(matchers.Equals(WHOLE)))


# Guards against REFUSED by a refusal that is passed on after another send.
@pytest.mark.parametrize("status", REFUSALS)
async def test_refused_stream_runs_once_at_another_endpoint(
    deployment, script, status
):
    host = await serve(deployment, script)
    script.answers = [REFUSALS[status]]
    assertions.assert_that(
        await script_helpers.read_stream(deployment, host),
        matchers.Equals((200, WHOLE, True)),
    )
    script.answers = [REFUSALS[status], (b"", RESET)]
    last, _, _ = await script_helpers.read_stream(deployment, host)
    assertions.assert_that(last, matchers.Equals(502))
    assertions.assert_that(len(script.received), matchers.Equals(4))


# Guards against BUDGET: more runs than the route allows, as the results of
# batch stages are gone after the first run.
async def test_runs_are_counted_though_batch_stages_run_again(
    deployment, script
):
    stages = [{"service": "cut", "after": [], "size_bytes": 1000}]
    await deployment.configure(
        [
            gateway_helpers.make_route(
                "say",
                "llm",
                kind="stream",
                resumable=True,
                max_attempts=2,
                stages=stages,
            )
        ],
        [
            gateway_helpers.make_service("llm", engine={"slots": 8}),
            gateway_helpers.make_service(
                "cut", pieces=gateway_helpers.make_batching()
            ),
        ],
    )
    host = await deployment.add_host(retry_slack="400")
    for number in range(4):
        await script.add_endpoint(deployment, f"m{number}", "llm")
    await deployment.add_worker("c0", "cut", millis=5.0)
    await deployment.wait_ready(host, 5)
    broken = (script_helpers.make_answer(is_cut=True), RESET)
    gone = (script_helpers.make_refusal("409 Conflict"), KEEP)
    script.answers = [broken, gone, broken, broken, broken]
    await script_helpers.read_stream(
        deployment,
        host,
        headers={"Chervilshore-Pieces": "1", "Chervilshore-Piece-Key": "k"},
    )
    runs = 5 - len(script.answers) - 1
    assertions.assert_that(runs, matchers.Equals(2))
