"""Parser of the rules file: from its text to typed rules, by line."""

from collections import abc
import difflib
import re
import shlex
import typing

import msgspec

from chervilshore import ids
from chervilshore.rules import schema

INTERNAL_MARK = "#%"
"""Start of the comments that only the package itself writes."""

_HEADER = re.compile(re.escape(INTERNAL_MARK) + r" generation (\d{1,15})")

_LEXER_CHARACTERS = frozenset("'\"\\")

_CHANGE_MARK = "; now "
"""Comes before the field that a command of the tool has set."""

_EXPECTED_COMMENT = "a comment '# who asked, why' at the end of the line"


class Problem(msgspec.Struct, frozen=True):
    """Something in a rules file that cannot be used.

    Parameters
    ----------
    file : str
        The name of the file.
    line, column : int
        The position, counted from 1.
    word : str
        The invalid word; empty when a word is missing.
    expected : str
        A description of what is valid there.
    nearest : str
        The most similar valid word; empty when none is similar.
    """

    file: str
    line: int
    column: int
    word: str
    expected: str
    nearest: str = ""

    def __str__(self) -> str:
        """Return the problem on one line, with its position first."""
        what = repr(self.word) if self.word else "something is missing"
        hint = f"; did you mean {self.nearest!r}?" if self.nearest else ""
        place = f"{self.file}:{self.line}:{self.column}"
        return f"{place}: {what}: expected {self.expected}{hint}"


class Line(msgspec.Struct, frozen=True):
    """A line of the file that defines a rule.

    Parameters
    ----------
    number : int
        The line number, from 1.
    tokens : tuple of str
        The words before the comment.
    comment : str
        Who requested the rule and why.
    rule : object
        The typed rule, one of `rules.model`.
    comments_above : tuple of str
        The comment lines directly above it.
    text : str
        The line as written in the file.
    """

    number: int
    tokens: tuple[str, ...]
    comment: str
    rule: typing.Any
    comments_above: tuple[str, ...] = ()
    text: str = ""

    @property
    def kind(self) -> str:
        """The kind of the rule: the first word."""
        return self.tokens[0]

    @property
    def key(self) -> tuple[str, str]:
        """The section and name of the rule; unique in a file."""
        return schema.RULE_KINDS[self.tokens[0]].section, self.tokens[1]

    def format(self) -> str:
        """Return the line in its canonical form."""
        return f"{' '.join(self.tokens)}  # {self.comment}"


class Document(msgspec.Struct, frozen=True):
    """A parsed file.

    Parameters
    ----------
    file : str
        The name of the file.
    entries : tuple of Line or str
        Rules, and the comments and blank lines between them.
    generation : Generation or None
        The generation that was edited, if the first line names one.
    invalid_rules : frozenset of (str, str)
        Section and name of rules whose lines have problems.
    """

    file: str
    entries: tuple[Line | str, ...]
    generation: ids.Generation | None = None
    invalid_rules: frozenset[tuple[str, str]] = frozenset()

    @property
    def lines(self) -> tuple[Line, ...]:
        """The lines that define rules."""
        return tuple(
            entry for entry in self.entries if isinstance(entry, Line)
        )


def find_nearest(word: str, choices: abc.Iterable[str]) -> str:
    """Return the choice most similar to a word, or an empty string."""
    found = difflib.get_close_matches(word, list(choices), n=1, cutoff=0.6)
    return found[0] if found else ""


def find_column(text: str, tokens: abc.Sequence[str], index: int) -> int:
    """Return the column, from 1, of a token of a line."""
    position = 0
    for token in tokens[:index]:
        # A token that had quotes inside it is not found in the text.
        position = max(text.find(token, position), position) + len(token)
    return max(text.find(tokens[index], position), position) + 1


def make_problem(
    file: str, line: Line, field: str, expected: str, nearest: str = ""
) -> Problem:
    """Return a problem at the value of a field, or else at the rule's name."""
    index = 1
    skip = 0
    for at, token in enumerate(line.tokens[2:], 2):
        if token.startswith(field + "="):
            index = at
            skip = len(field) + 1
    column = find_column(line.text, line.tokens, index) + skip
    word = line.tokens[index][skip:]
    return Problem(file, line.number, column, word, expected, nearest)


def parse(
    text: str, file: str = "rules", allow_internal: bool = False
) -> tuple[Document, tuple[Problem, ...]]:
    """Parse a rules file; a problem does not stop it.

    Parameters
    ----------
    file : str
        The name of the file, for the problems.
    allow_internal : bool
        Whether it may hold comments that only the package writes.

    Returns
    -------
    Document
        The valid lines.
    tuple of Problem
        The problems of the other lines.
    """
    parser = _Parser(file, allow_internal)
    for number, line in enumerate(text.splitlines(), 1):
        parser.feed(number, line)
    parser.flush_comments()
    document = Document(
        file,
        tuple(parser.entries),
        parser.generation,
        frozenset(parser.invalid_rules),
    )
    return document, tuple(parser.problems)


def set_field(line: Line, field: str, value: str, requester: str) -> str:
    """Return the text of a line with another value of a field.

    Parameters
    ----------
    requester : str
        Who requested the new value, and why. It is added to the comment,
        which still says who requested the rule itself.
    """
    word = f"{field}={value}"
    tokens = [
        word if token.startswith(f"{field}=") else token
        for token in line.tokens
    ]
    if word not in tokens:
        tokens.append(word)
    origin = line.comment.partition(_CHANGE_MARK)[0]
    return f"{' '.join(tokens)}  # {origin}{_CHANGE_MARK}{word} by {requester}"


def write_header(generation: ids.Generation) -> str:
    """Return the first line of a file, which names its generation."""
    return f"{INTERNAL_MARK} generation {generation}"


class _Parser:
    """Parses the lines of one file and collects their problems."""

    def __init__(self, file: str, allow_internal: bool) -> None:
        self.file = file
        self.allow_internal = allow_internal
        self.entries: list[Line | str] = []
        self.problems: list[Problem] = []
        self.generation: ids.Generation | None = None
        self.invalid_rules: set[tuple[str, str]] = set()
        self._pending_comments: list[str] = []
        self._number = 0
        self._text = ""
        self._tokens: list[str] = []

    def feed(self, number: int, text: str) -> None:
        """Parse one line."""
        self._number = number
        self._text = text
        before, mark, comment = text.partition("#")
        try:
            self._tokens = split_tokens(before)
        except ValueError:
            self._report(len(before.rstrip()), "", "a closing quote")
            return
        if self._tokens:
            self._feed_rule(comment if mark else None)
        elif mark:
            self._feed_comment(text.strip())
        else:
            self.flush_comments()
            self.entries.append("")

    def flush_comments(self) -> None:
        """Keep the pending comment lines as entries that precede no rule."""
        self.entries.extend(self._pending_comments)
        self._pending_comments.clear()

    def _feed_comment(self, comment: str) -> None:
        header = _HEADER.fullmatch(comment)
        if header and self._number == 1:
            self.generation = ids.Generation(int(header[1]))
            return
        if comment.startswith(INTERNAL_MARK) and not self.allow_internal:
            self._report(
                self._text.index(INTERNAL_MARK) + 1,
                INTERNAL_MARK,
                "a comment of your own",
            )
        self._pending_comments.append(comment)

    def _feed_rule(self, comment: str | None) -> None:
        before = len(self.problems)
        comment = self._check_comment(comment)
        rule = self._read_rule()
        comments = tuple(self._pending_comments)
        self._pending_comments.clear()
        if len(self.problems) > before:
            self._record_invalid_rule()
            return
        tokens = tuple(self._tokens)
        self.entries.append(
            Line(self._number, tokens, comment, rule, comments, self._text)
        )

    def _record_invalid_rule(self) -> None:
        rule_kind = schema.RULE_KINDS.get(self._tokens[0])
        if rule_kind is None:
            nearest = find_nearest(self._tokens[0], schema.RULE_KINDS)
            rule_kind = schema.RULE_KINDS.get(nearest)
        if rule_kind is not None and len(self._tokens) > 1:
            self.invalid_rules.add((rule_kind.section, self._tokens[1]))

    def _check_comment(self, comment: str | None) -> str:
        if comment is None:
            self._report(len(self._text.rstrip()) + 1, "", _EXPECTED_COMMENT)
            return ""
        comment = comment.strip()
        who, comma, why = comment.partition(",")
        if not (who.strip() and comma and why.strip()):
            column = self._text.index("#") + 1
            self._report(column, f"# {comment}".strip(), _EXPECTED_COMMENT)
        return comment

    def _read_rule(self) -> typing.Any:
        kind = self._tokens[0]
        rule_kind = schema.RULE_KINDS.get(kind)
        if rule_kind is None:
            kinds = ", ".join(schema.RULE_KINDS)
            nearest = find_nearest(kind, schema.RULE_KINDS)
            self._report_token(0, 0, f"one of {kinds}", nearest)
            return None
        if len(self._tokens) < 2 or "=" in self._tokens[1]:
            self._report_missing(f"{rule_kind.name.expected} after {kind!r}")
            return None
        values = {"name": self._read_value(1, 0, rule_kind.name)}
        for index in range(2, len(self._tokens)):
            self._read_field(rule_kind, index, values)
        if not self._check_required(rule_kind, values):
            return None
        return rule_kind.build(**values)

    def _read_field(
        self, rule_kind: schema.RuleKind, index: int, values: dict
    ) -> None:
        word, equals, _ = self._tokens[index].partition("=")
        field = rule_kind.fields.get(word)
        if field is None:
            fields = ", ".join(f"{name}=" for name in rule_kind.fields)
            nearest = find_nearest(word, rule_kind.fields)
            self._report_token(index, 0, f"one of {fields}", nearest)
            # Counts as the field that it resembles, so that this is not
            # reported as missing too.
            if nearest:
                values.setdefault(rule_kind.fields[nearest].attribute, None)
        elif not equals:
            self._report_token(index, 0, f"{word}={field.value.expected}")
            values.setdefault(field.attribute, None)
        elif field.attribute in values:
            self._report_token(index, 0, f"{word}= only once on a line")
        else:
            values[field.attribute] = self._read_value(
                index, len(word) + 1, field.value
            )

    def _read_value(
        self, index: int, skip: int, value: schema.ValueType
    ) -> typing.Any:
        text = self._tokens[index][skip:]
        try:
            return value.parse(text)
        except ValueError:
            nearest = find_nearest(text, value.choices)
            self._report_token(index, skip, value.expected, nearest)
            return None

    def _check_required(
        self, rule_kind: schema.RuleKind, values: dict
    ) -> bool:
        missing = [
            field
            for field in rule_kind.fields.values()
            if field.required and field.attribute not in values
        ]
        for field in missing:
            self._report_missing(f"{field.word}={field.value.expected}")
        return not missing and None not in values.values()

    def _report_token(
        self, index: int, skip: int, expected: str, nearest: str = ""
    ) -> None:
        column = find_column(self._text, self._tokens, index) + skip
        word = self._tokens[index][skip:]
        self._report(column, word, expected, nearest)

    def _report_missing(self, expected: str) -> None:
        end = len(self._text.partition("#")[0].rstrip()) + 1
        self._report(end, "", expected)

    def _report(
        self, column: int, word: str, expected: str, nearest: str = ""
    ) -> None:
        self.problems.append(
            Problem(self.file, self._number, column, word, expected, nearest)
        )


def split_tokens(text: str) -> list[str]:
    """Split the part of a line before its comment into tokens.

    Raises
    ------
    ValueError
        A quote is not closed.
    """
    # Without quotes and escapes str.split gives the same tokens as the lexer,
    # in a tenth of the time on 26,000 lines.
    if _LEXER_CHARACTERS.isdisjoint(text):
        return text.split()
    lexer = shlex.shlex(text, posix=True)
    lexer.whitespace_split = True
    lexer.commenters = ""
    return list(lexer)
