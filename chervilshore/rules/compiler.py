"""From verified chunks to the rules in force, one chunk at a time."""

from collections import abc

from chervilshore import exceptions
from chervilshore.rules import checks
from chervilshore.rules import generations
from chervilshore.rules import lines
from chervilshore.rules import model


class Compiler:
    """Compiles generations and remembers the chunks that they share."""

    def __init__(self) -> None:
        self._compiled: dict[str, model.Rules] = {}

    def compile_chunk(self, digest: str, content: bytes) -> None:
        """Compile a verified chunk ahead of its generation.

        Raises
        ------
        exceptions.RulesError
            A line of it cannot be used.
        """
        if digest not in self._compiled:
            document = _parse(content)
            rules = checks.gather(line.rule for line in document.lines)
            if len(document.lines) != checks.count(rules):
                raise exceptions.RulesError("a rule stands twice in a chunk")
            self._compiled[digest] = rules

    def compile(
        self, head: generations.Head, chunks: abc.Mapping[str, bytes]
    ) -> model.Rules:
        """Make the rules of a generation.

        Parameters
        ----------
        head : Head
            What it consists of.
        chunks : mapping
            The verified content by digest.

        Raises
        ------
        exceptions.RulesError
            The rules cannot be used as they are.
        """
        for digest in head.digests:
            self.compile_chunk(digest, chunks[digest])
        digests = [head.main, *filter(None, head.buckets)]
        parts = [self._compiled[digest] for digest in digests]
        rules = checks.merge(parts, head.generation)
        _check(_parse(chunks[head.main]), rules, sum(map(checks.count, parts)))
        self._forget(head)
        return rules

    def _forget(self, head: generations.Head) -> None:
        kept = set(head.digests)
        for digest in self._compiled.keys() - kept:
            del self._compiled[digest]


def _parse(content: bytes) -> lines.Document:
    try:
        text = content.decode()
    except UnicodeDecodeError as error:
        raise exceptions.RulesError(f"unusable chunk: {error}") from error
    document, problems = lines.parse(text, allow_internal=True)
    if problems:
        raise exceptions.RulesError(str(problems[0]))
    return document


def _check(main: lines.Document, rules: model.Rules, count: int) -> None:
    problems = checks.check_lines(main, rules)
    if problems:
        raise exceptions.RulesError(str(problems[0]))
    if count != checks.count(rules):
        raise exceptions.RulesError("a rule stands in two chunks")
