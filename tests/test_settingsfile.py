"""Tests of the settings template, rendered as the users' platform does."""

import msgspec
import pytest
from testtools import assertions
from testtools import matchers

from chervilshore import exceptions
from chervilshore import settings
from standins import settingsfile
from standins import site


SEEDS = ("127.0.0.1:7003", "127.0.0.1:7013")


async def load(folder, bounds, limits=None):
    """Load the settings of a deployment with the given figures alone."""
    host = site.Host("h0", "a", folder)
    host.bounds = bounds
    host.limits = {} if limits is None else limits
    ports = [7001, 7002, 7003]
    await host.write_settings("127.0.0.1:7100", ports, list(SEEDS))
    file = settings.read_file(str(folder / "h0.json"))
    return settings.load({}, {}, file)


async def test_template_renders_valid_settings(tmp_path):
    options = await load(tmp_path, site.BOUNDS)
    assertions.assert_that(
        (options.http_address, options.peer_address, options.seeds),
        matchers.Equals(("127.0.0.1:7001", "127.0.0.1:7003", SEEDS)),
    )
    assertions.assert_that(options.retry_window_ms, matchers.Equals(10_000.0))
    assertions.assert_that(options.store_recovery_ms, matchers.Equals(3000.0))


@pytest.mark.parametrize(
    "bound, value, name, expected",
    [
        ("retry_window_s", 10, "retry_window_ms", 10_000.0),
        ("retry_window_s", 7.5, "retry_window_ms", 7500.0),
        ("retry_window_s", 10.0, "retry_window_ms", 10_000.0),
        ("retry_window_s", 2.25, "retry_window_ms", 2250.0),
        ("retry_window_s", 1e-1, "retry_window_ms", 100.0),
        ("stable_ms", 2500.5, "store_recovery_ms", 2500.5),
        ("stable_ms", 3000.0, "store_recovery_ms", 3000.0),
        ("retry_slack", 52.5, "retry_slack", 52.5),
        ("retry_slack", 0, "retry_slack", 0.0),
        ("retry_ratio", 1, "retry_ratio", 1.0),
        ("exposure_share", 0.05, "exposure_share", 0.05),
        ("exposure_slack", 50, "exposure_slack", 50.0),
        ("rollback_ms", 5000.5, "rollback_ms", 5000.5),
    ],
)
async def test_figure_keeps_its_meaning(
    tmp_path, bound, value, name, expected
):
    # A fraction, or 10.0 for 10, kept the daemon from starting.
    options = await load(tmp_path, site.BOUNDS | {bound: value})
    assertions.assert_that(getattr(options, name), matchers.Equals(expected))


@pytest.mark.parametrize("bound", [*site.BOUNDS, "exposure_share"])
async def test_figure_that_is_not_named_has_its_default(tmp_path, bound):
    # The template leaves an empty text, which kept the daemon from starting.
    bounds = {key: site.BOUNDS[key] for key in site.BOUNDS if key != bound}
    options = await load(tmp_path, bounds)
    defaults = {
        "retry_ratio": ("retry_ratio", 0.1),
        "retry_slack": ("retry_slack", 10.0),
        "retry_window_s": ("retry_window_ms", 10_000.0),
        "stable_ms": ("store_recovery_ms", 3000.0),
        "exposure_share": ("exposure_share", None),
    }
    name, expected = defaults[bound]
    assertions.assert_that(getattr(options, name), matchers.Equals(expected))


@pytest.mark.parametrize(
    "limits, expected",
    [({"link_mbps": 250}, 250.0), ({"link_mbps": 2.5}, 2.5), ({}, 1.0)],
)
async def test_capacity_is_the_link_or_its_default(tmp_path, limits, expected):
    options = await load(tmp_path, site.BOUNDS, limits)
    assertions.assert_that(options.capacity, matchers.Equals(expected))


@pytest.mark.parametrize(
    "bound, value, name",
    [
        ("retry_window_s", 0, "retry_window_ms"),
        ("retry_window_s", 700, "retry_window_ms"),
        ("retry_window_s", -7.5, "retry_window_ms"),
        ("retry_window_s", True, "retry_window_ms"),
        ("retry_window_s", False, "retry_window_ms"),
        ("retry_window_s", "nan", "retry_window_ms"),
        ("stable_ms", True, "store_recovery_ms"),
        ("retry_ratio", False, "retry_ratio"),
        ("retry_slack", -1, "retry_slack"),
        ("exposure_share", 1.5, "exposure_share"),
    ],
)
async def test_wrong_figure_gives_one_error(tmp_path, bound, value, name):
    with pytest.raises(exceptions.SettingsError) as caught:
        await load(tmp_path, site.BOUNDS | {bound: value})
    (line,) = str(caught.value).splitlines()
    assertions.assert_that(
        line, matchers.StartsWith(f"{name} in the settings file is ")
    )


def test_values_are_rendered_as_text_and_as_json():
    text = settingsfile.render(
        '{"a": {{a|json}}, "b": "{{b.c}}", "d": "{{d}}", "e": {{d.1}}}',
        {"a": 'x"y', "b": {"c": 1.5}, "d": [1, 2]},
    )
    assertions.assert_that(
        msgspec.json.decode(text),
        matchers.Equals({"a": 'x"y', "b": "1.5", "d": "1,2", "e": 2}),
    )
