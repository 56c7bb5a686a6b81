"""The page of days on the users' platform."""

from testtools import assertions
from testtools import matchers

from measure import days


def make_day(name, worth):
    return {
        "name": name,
        "score": 0.5,
        "G": worth,
        "served": 0.9,
        "refused": 0.01,
        "rules": [],
        "prices": [["machine-seconds", 1.0, 0.01]],
        "parts": [["nines", 0.28, 0.4]],
    }


def make_entry(*made):
    return {
        "id": "e1",
        "score": 0.5,
        "mode": "",
        "argv": ["score"],
        "days": list(made),
    }


def test_page_gives_the_command_for_the_weakest_day():
    entry = make_entry(make_day("quiet-1", 0.8), make_day("scale-1", 0.3))
    assertions.assert_that(
        days.format_table("site", entry),
        matchers.EndsWith(
            "Weakest day: `fleetbench run SITE scale-1 --log all`"
        ),
    )


def test_a_drawn_day_is_replayed_from_its_entry():
    entry = make_entry(make_day("quiet-1", 0.8), make_day("fresh-1a2b", 0.3))
    assertions.assert_that(
        days.format_table("site", entry),
        matchers.Contains("`fleetbench replay SITE fresh-1a2b --log all`"),
    )


def test_small_twins_are_not_taken_for_a_whole_score():
    entry = make_entry(make_day("quiet-1", 0.8))
    small = entry | {"argv": ["score", "--small"]}
    assertions.assert_that(
        [days.is_whole(one) for one in (entry, small)],
        matchers.Equals([True, False]),
    )
    assertions.assert_that(
        days.format_table("site", small),
        matchers.Contains("Entry e1 (small twins of some days)"),
    )
