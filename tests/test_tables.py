"""The tables in docs/ say what the code says."""

import pathlib

import pytest
from testtools import assertions
from testtools import matchers

from chervilshore import events
from chervilshore import results
from chervilshore import tables

DOCS = pathlib.Path(__file__).resolve().parent.parent / "docs"


@pytest.mark.parametrize("name", sorted(tables.TABLES))
def test_page_holds_the_table_of_the_code(name):
    page = (DOCS / name).read_text()
    table = tables.TABLES[name]()
    assertions.assert_that(page, matchers.Contains(table))


def test_numbers_are_unique():
    for catalogue in (results.Code, events.Event):
        numbers = [member.value.number for member in catalogue]
        assertions.assert_that(
            len(set(numbers)), matchers.Equals(len(numbers))
        )


def test_thousands_of_a_code_tell_its_family():
    order = list(results.Family)
    for code in results.Code:
        family = order[code.value.number // 1000]
        assertions.assert_that(code.value.family, matchers.Is(family))
