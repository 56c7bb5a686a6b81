"""Decoding of the platform's documents and of callers' headers."""

import hypothesis
from hypothesis import strategies
import msgspec
import pytest
from testtools import assertions
from testtools import matchers

from chervilshore import exceptions
from chervilshore.platform import documents
from chervilshore.platform import requests
from chervilshore import records
from tests import gateway_helpers as helpers

ENTRY = {
    "service": "ledger",
    "addr": "10.0.0.1:80",
    "zone": "a",
    "state": "ready",
    "cold_left_ms": 250,
    "born": 17,
}


def decode(routes, services, **changes):
    config = helpers.make_config(7, routes, services) | changes
    return documents.decode_rules(msgspec.json.encode(config))


def test_a_route_is_decoded_into_a_pipeline_with_its_pools():
    route = helpers.make_route(
        "say",
        "",
        kind="stream",
        resumable=True,
        gap_target_ms=400,
        backends=[
            {"service": "llm", "weight": 90},
            {"service": "new", "weight": 10},
            {"service": "old", "weight": 0},
        ],
        stages=[{"service": "cut", "after": [], "size_bytes": 8000}],
    )
    rules = decode([route], [helpers.make_service("llm", engine={})])
    pipeline = rules.pipelines["say"]
    assertions.assert_that(
        [(target.pool, target.weight) for target in pipeline.targets],
        matchers.Equals([("llm", 90), ("new", 10)]),
    )
    assertions.assert_that(pipeline.repeatable, matchers.Is(True))
    assertions.assert_that(pipeline.gap_ms, matchers.Equals(400))
    assertions.assert_that(
        pipeline.batch_stages[0].result_bytes, matchers.Equals(8000)
    )
    assertions.assert_that(
        rules.pools["llm"].kind, matchers.Is(records.EndpointKind.ENGINE)
    )


@pytest.mark.parametrize(
    ("kind", "resumable", "repeatable"),
    [
        ("idempotent", False, True),
        ("non_idempotent", False, False),
        ("stream", True, True),
        ("stream", False, False),
        ("something new", True, False),
    ],
)
def test_the_kind_of_route_determines_repeatability(
    kind, resumable, repeatable
):
    route = helpers.make_route("r", "s", kind=kind, resumable=resumable)
    rules = decode([route], [helpers.make_service("s")])
    assertions.assert_that(
        rules.pipelines["r"].repeatable, matchers.Is(repeatable)
    )


def test_an_invalid_configuration_raises_rules_error():
    with pytest.raises(exceptions.RulesError):
        documents.decode_rules(b'{"version": "seven"}')


def test_an_entry_is_decoded_into_an_endpoint():
    record = documents.decode_endpoint("w1", msgspec.json.encode(ENTRY))
    assertions.assert_that(record.cold_ms, matchers.Equals(250))
    assertions.assert_that(record.instance, matchers.Equals("w1/17"))
    assertions.assert_that(
        record.state, matchers.Is(records.EndpointState.LIVE)
    )


@hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
@hypothesis.given(
    strategies.one_of(
        strategies.binary(max_size=60),
        strategies.dictionaries(
            strategies.sampled_from(list(ENTRY)),
            strategies.one_of(
                strategies.none(),
                strategies.booleans(),
                strategies.integers(),
                strategies.text(max_size=8),
                strategies.just("ready"),
                strategies.just("10.0.0.1:80"),
            ),
        ).map(lambda changes: msgspec.json.encode(ENTRY | changes)),
    )
)
def test_any_entry_is_decoded_or_ignored(content):
    try:
        record = documents.decode_endpoint("w1", content)
    except exceptions.ContentInvalid:
        return
    assertions.assert_that(record.address, matchers.Contains(":"))


@hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(
                [
                    "Chervilshore-Token-Usage",
                    "Chervilshore-Prompt-Prefix",
                    "Chervilshore-Pieces",
                    "Chervilshore-Deadline-Ms",
                    "Last-Event-Id",
                    "Connection",
                    "Host",
                ]
            ),
            strategies.text(max_size=20),
        )
    )
)
def test_any_headers_are_decoded_or_raise_value_error(headers):
    try:
        request = requests.decode_request("GET", "/a", headers, b"")
    except ValueError:
        return
    names = {name.lower() for name, _ in request.headers}
    assertions.assert_that(
        names & requests.HOP_HEADERS, matchers.Equals(set())
    )
