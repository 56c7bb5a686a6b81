"""Guards: each reports its kind of mistake in a change, and no other."""

import pytest
from testtools import assertions
from testtools import matchers

from chervilshore import ids
from chervilshore import records
from chervilshore.rules import checks
from chervilshore.rules import guards
from chervilshore.rules import lines
from tests import configuration_helpers as helpers

ROUTES = (
    "route a pipeline=summarise domains=scot-a  # A, why\n"
    "route b pipeline=summarise team=glasgow domains=scot-b  # A, why\n"
)


def compile_text(text):
    document, problems = lines.parse(text)
    rules, more = checks.check(document)
    assertions.assert_that((*problems, *more), matchers.Equals(()))
    return rules


def remove_lines(text, *starts):
    rows = [row for row in text.splitlines() if not row.startswith(starts)]
    return "\n".join(rows)


@pytest.fixture
def usage():
    endpoints = tuple(
        records.EndpointRecord(
            ids.EndpointId(f"ledger-{domain}"),
            ids.PoolName("ledger"),
            ids.DomainId(domain),
            ids.Address("127.0.0.1:1"),
        )
        for domain in ("scot-a", "scot-b")
    )
    return guards.Usage(endpoints, frozenset({"bill-visit"}))


CASES = [
    (
        "last-domain",
        lambda text: text.replace("state=in", "state=out"),
    ),
    (
        "last-domain",
        lambda text: text.replace(
            "scot-a region=scot-central state=in",
            "scot-a region=scot-central state=out",
        ).replace(
            "scot-b region=scot-central state=in",
            "scot-b region=scot-central state=out",
        ),
    ),
    (
        "in-use",
        lambda text: remove_lines(
            text, "pool ledger", "service bill", "service visit"
        ),
    ),
    ("in-use", lambda text: remove_lines(text, "service bill-visit")),
    ("limit-jump", lambda text: text.replace("rate=200 ", "rate=2000.5 ")),
    ("limit-jump", lambda text: text.replace("most=24", "most=2")),
    ("many-dropped", lambda text: remove_lines(text, "team ", "service rota")),
    ("never-matches", lambda text: text + ROUTES),
    (
        "contradiction",
        lambda text: text + ROUTES.replace(" team=glasgow", ""),
    ),
    (
        "contradiction",
        lambda text: text + "route a stage=generate pool=stock  # A, why\n",
    ),
    (
        "contradiction",
        lambda text: text.replace(
            "/status repeatable=yes", "/bill repeatable=yes"
        ),
    ),
]


@pytest.mark.parametrize("number", range(len(CASES)))
def test_only_the_guard_of_a_new_mistake_reports_it(number, usage):
    name, edit = CASES[number]
    before = compile_text(helpers.KELVINSIDE)
    after = compile_text(edit(helpers.KELVINSIDE))
    found = guards.find_dangers(before, after, usage)
    assertions.assert_that(
        {danger.guard.value for danger in found}, matchers.Equals({name})
    )
    unchanged = guards.find_dangers(after, after, usage)
    assertions.assert_that(unchanged, matchers.Equals(()))


def test_no_guard_reports_a_moderate_change(usage):
    before = compile_text(helpers.KELVINSIDE)
    after = compile_text(
        helpers.KELVINSIDE.replace("rate=20 ", "rate=200 ")
        + "route a team=islands domains=scot-c  # A, why\n"
    )
    assertions.assert_that(
        guards.find_dangers(before, after, usage), matchers.Equals(())
    )
