"""Tests of settings from flags and environment variables, and of errors."""

import pytest
from testtools import assertions
from testtools import matchers

from chervilshore import daemon
from chervilshore import exceptions
from chervilshore import settings

VARIABLES = {
    "CHERVILSHORE_HOST": "h1",
    "CHERVILSHORE_DOMAIN": "a",
    "CHERVILSHORE_HTTP_ADDRESS": "127.0.0.1:8000",
    "CHERVILSHORE_PEER_ADDRESS": "127.0.0.1:7000",
    "CHERVILSHORE_PLATFORM": "127.0.0.1:6000",
}


def test_flag_overrides_variable():
    loaded = settings.load({"host": "h2"}, VARIABLES)
    assertions.assert_that(loaded.host, matchers.Equals("h2"))
    assertions.assert_that(loaded.domain, matchers.Equals("a"))


def test_error_lists_each_invalid_setting_and_allowed_values():
    flags = {"http_address": "localhost:1", "deadline_ms": "-5"}
    with pytest.raises(exceptions.SettingsError) as caught:
        settings.load(flags, {})
    for words in (
        "--http-address (CHERVILSHORE_HTTP_ADDRESS) is 'localhost:1'",
        "--deadline-ms (CHERVILSHORE_DEADLINE_MS) is '-5', allowed is a "
        "whole number from 10 to 600000",
        "--host (CHERVILSHORE_HOST) is required",
    ):
        assertions.assert_that(str(caught.value), matchers.Contains(words))


@pytest.mark.parametrize(
    "name, text",
    [
        ("http_address", "127.0.0.1:0"),
        ("http_address", "127.0.0.1:70000"),
        ("http_address", "here"),
        ("host", "a b"),
        ("seeds", "127.0.0.1:1,x"),
        ("source_ip", "300.1.1.1"),
        ("policies", "best"),
        ("body_bytes", "1e6"),
        ("log_level", "loud"),
    ],
)
def test_invalid_value_is_rejected(name, text):
    with pytest.raises(exceptions.SettingsError):
        settings.load({name: text}, VARIABLES)


def test_check_flag_validates_and_exits(monkeypatch, capsys):
    for name, value in VARIABLES.items():
        monkeypatch.setenv(name, value)
    assertions.assert_that(daemon.main(["--check"]), matchers.Equals(0))
    assertions.assert_that(
        daemon.main(["--check", "--drain-ms", "x"]),
        matchers.Equals(daemon.EXIT_INVALID_SETTINGS),
    )
    assertions.assert_that(
        capsys.readouterr().err, matchers.Contains("--drain-ms")
    )
