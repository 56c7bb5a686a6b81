"""The rules file: parsing, problems, canonical form and chunks."""

import pytest
from testtools import assertions
from testtools import matchers

from chervilshore import edits
from chervilshore import exceptions
from chervilshore.rules import checks
from chervilshore.rules import generations
from chervilshore.rules import lines
from tests import configuration_helpers as helpers

BROKEN = """\
domian scot-a region=r state=in  # A, b
domain scot-b regoin=r state=inn  # A, b
pool p kind=engin cold=9 most=3  # A, b
team t
service s pool=p path=x repeatable=maybe  # A
route r pipeline=sumarise pool=p  # A, b
pipeline summarise stages=generate@q  # A, b
team u rate=1  # A, b
team u rate=2  # A, b
"""


@pytest.mark.parametrize("name", ["kelvinside", "taawuniyat"])
def test_canonical_form_of_the_examples_keeps_all_rules_and_is_stable(name):
    text = (helpers.EXAMPLES / f"{name}.rules").read_text()
    document = edits.parse(text, name)
    written = generations.format_document(document)
    again = edits.parse(written, name)
    assertions.assert_that(
        sorted(line.format() for line in again.lines),
        matchers.Equals(sorted(line.format() for line in document.lines)),
    )
    assertions.assert_that(
        generations.format_document(again), matchers.Equals(written)
    )


def test_parse_reports_all_problems_with_position_and_nearest_word():
    with pytest.raises(exceptions.RulesInvalid) as caught:
        edits.parse(BROKEN, "f")
    found = [
        (one.line, one.column, one.word, one.nearest)
        for one in caught.value.problems
    ]
    assertions.assert_that(
        found,
        matchers.Equals(
            [
                (1, 1, "domian", "domain"),
                (2, 15, "regoin=r", "region"),
                (2, 30, "inn", "in"),
                (3, 13, "engin", "engine"),
                (4, 7, "", ""),
                (4, 7, "", ""),
                (5, 23, "x", ""),
                (5, 36, "maybe", ""),
                (5, 43, "# A", ""),
                (6, 18, "sumarise", "summarise"),
                (7, 27, "generate@q", ""),
                (9, 6, "u", ""),
            ]
        ),
    )


def test_canonical_form_keeps_comments_above_their_rules():
    text = (
        "# head\n\n"
        "team b rate=1   # A, why b\n"
        "# above a\n"
        "team  a rate=2 # A, why a\n"
        "\n\n# tail\n"
    )
    document, problems = lines.parse(text)
    assertions.assert_that(problems, matchers.Equals(()))
    assertions.assert_that(
        generations.format_document(document),
        matchers.Equals(
            "# head\n\n"
            "# above a\n"
            "team a rate=2  # A, why a\n"
            "team b rate=1  # A, why b\n"
            "\n# tail\n"
        ),
    )


def test_change_of_one_team_changes_one_small_chunk():
    rows = [f"team t{n} rate={n + 1}  # A, why\n" for n in range(3000)]
    before = generations.pack(lines.parse("".join(rows))[0])
    rows[1234] = "team t1234 rate=7  # B, more\n"
    document = lines.parse("".join(rows))[0]
    after = generations.pack(document, len(before.buckets))
    new = after.chunks.keys() - before.chunks.keys()
    assertions.assert_that(new, matchers.HasLength(1))
    size = len(after.chunks[new.pop()])
    assertions.assert_that(size, matchers.LessThan(16_000))
    rules, _ = checks.check(document)
    assertions.assert_that(rules.teams["t1234"].rate, matchers.Equals(7.0))


def test_pack_rejects_rules_that_exceed_the_size_of_a_chunk():
    rows = "".join(
        f"class c{number} priority=1  # Morag, {'why ' * 50}\n"
        for number in range(2500)
    )
    with pytest.raises(exceptions.RulesError):
        generations.pack(lines.parse(rows)[0])
