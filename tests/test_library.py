"""Tests that the examples in docs/LIBRARY.md print what the page shows."""

import contextlib
import io
import pathlib
import re

import pytest
from testtools import assertions
from testtools import matchers

PAGE = pathlib.Path(__file__).resolve().parent.parent / "docs/LIBRARY.md"
EXAMPLE = re.compile(
    r"```python\n(.*?)```\n\nIt prints:\n\n```text\n(.*?)```", re.DOTALL
)
EXAMPLES = EXAMPLE.findall(PAGE.read_text())


def test_each_example_shows_its_output():
    programs = PAGE.read_text().count("```python")
    assertions.assert_that(EXAMPLES, matchers.HasLength(programs))


@pytest.mark.parametrize("number", range(len(EXAMPLES)))
def test_example_prints_the_output_on_the_page(number):
    program, expected = EXAMPLES[number]
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        exec(compile(program, str(PAGE), "exec"), {"__name__": "__main__"})
    assertions.assert_that(output.getvalue(), matchers.Equals(expected))
