"""docs/CAPACITY.md matches the measured slopes."""

import pytest
from testtools import assertions
from testtools import matchers

from measure import capacity
from measure import fits
from measure import roles
from measure import targets

NUMBERS = (
    "370 nodes",
    "600 workers",
    "4,800 accelerators",
    "1,800 requests",
    "720,000 tokens",
    "1.1 s",
    "67 ms",
    "19 pipelines",
    "7 s",
    "26,000 teams",
    "8 models",
    "2 regions with 6 failure domains",
    "3,000 changes",
    "4 s",
    "1.7 %",
    "128 MB",
    "2 KB",
    "16 hosts fail",
    "89 restarted",
    "rack or switch",
    "a failure domain once",
    "regions lose each other",
)


def test_page_contains_the_tables_of_the_stored_series():
    page = capacity.PAGE_PATH.read_text()
    written = capacity.render(page, fits.load())
    assertions.assert_that(written, matchers.Equals(page))


@pytest.mark.parametrize("number", NUMBERS)
def test_each_requirement_of_the_target_has_a_row(number):
    rows = targets.list_rows(fits.load(), capacity.format_number)
    named = [row for row in rows if number in row.number]
    assertions.assert_that(named, matchers.Not(matchers.HasLength(0)))


def test_fit_returns_the_line_and_its_residual():
    straight = fits.fit("a", "x", "y", [(x, 3 + 2 * x) for x in range(4)])
    assertions.assert_that(straight.predict(100), matchers.Equals(203.0))
    assertions.assert_that(straight.residual, matchers.LessThan(1e-9))
    bent = fits.fit("b", "x", "y", [(0, 0), (1, 1), (2, 0), (3, 1)])
    assertions.assert_that(bent.residual, matchers.GreaterThan(0.3))
    with pytest.raises(ValueError):
        fits.fit("c", "x", "y", [(1, 1), (2, 2), (3, 3)])


def test_probing_cost_per_host_does_not_grow_with_the_cluster():
    rows = {row.cost: row.values for row in roles.list_rows(fits.load())}
    small, _, large = rows["wire bytes/s that a host sends"]
    assertions.assert_that(large, matchers.LessThan(1.1 * small))
