"""Tests that the tables in docs/ match the code."""

import pathlib

import pytest
from testtools import assertions
from testtools import matchers

from chervilshore import events
from chervilshore.platform import names
from chervilshore import results
from chervilshore import tables

DOCS = pathlib.Path(__file__).resolve().parent.parent / "docs"


@pytest.mark.parametrize("name", sorted(tables.TABLES))
def test_page_has_the_generated_table(name):
    page = (DOCS / name).read_text()
    table = tables.TABLES[name]()
    assertions.assert_that(page, matchers.Contains(table))


def test_numbers_of_codes_and_events_are_unique():
    for numbered in (results.Code, events.Event):
        numbers = [member.value.number for member in numbered]
        assertions.assert_that(
            len(set(numbers)), matchers.Equals(len(numbers))
        )


def test_thousands_digit_of_a_code_matches_its_family():
    families = list(results.Family)
    for code in results.Code:
        family = families[code.value.number // 1000]
        assertions.assert_that(code.value.family, matchers.Is(family))


# Guards against a status that promises "not run" for a request that may have
# run. Forwarded requests have no keys.
def test_status_that_promises_no_run_is_of_a_code_that_says_so():
    promising = {
        code
        for code in results.Code
        if code.value.status in names.NOT_RUN_STATUSES
        and code is not results.Code.CLAIM_UNKNOWN
    }
    for code in promising:
        assertions.assert_that(
            code.value.family, matchers.Is(results.Family.NOT_RUN)
        )
