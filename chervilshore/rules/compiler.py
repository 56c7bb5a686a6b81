"""Compiles verified chunks to the rules of a generation."""

from collections import abc

from chervilshore import exceptions
from chervilshore.rules import checks
from chervilshore.rules import generations
from chervilshore.rules import lines
from chervilshore.rules import model


class Compiler:
    """Compiles generations, and caches the chunks that they share."""

    def __init__(self) -> None:
        self._compiled: dict[str, model.Rules] = {}

    def compile_chunk(self, digest: str, content: bytes) -> None:
        """Compile a verified chunk before the rest of its generation.

        Raises
        ------
        exceptions.RulesError
            A line of it is invalid, or a rule is defined twice.
        """
        if digest not in self._compiled:
            document = _parse(content)
            rules = checks.gather(line.rule for line in document.lines)
            if len(document.lines) != checks.count_rules(rules):
                raise exceptions.RulesError(
                    "a rule is defined twice in a chunk"
                )
            self._compiled[digest] = rules

    def compile(
        self, head: generations.Head, chunks: abc.Mapping[str, bytes]
    ) -> model.Rules:
        """Return the rules of a generation.

        Chunks of other generations are dropped from the cache.

        Parameters
        ----------
        head : Head
            The head of the generation, which lists its chunks.
        chunks : mapping
            The verified content of all its chunks, by digest.

        Raises
        ------
        exceptions.RulesError
            A line is invalid, a rule is defined twice, or rules contradict
            each other.
        """
        for digest in head.digests:
            self.compile_chunk(digest, chunks[digest])
        digests = [head.main, *filter(None, head.buckets)]
        parts = [self._compiled[digest] for digest in digests]
        rules = checks.merge(parts, head.generation)
        _check_rules(
            _parse(chunks[head.main]),
            rules,
            sum(map(checks.count_rules, parts)),
        )
        self._drop_unused(head)
        return rules

    def _drop_unused(self, head: generations.Head) -> None:
        used = set(head.digests)
        for digest in self._compiled.keys() - used:
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


def _check_rules(
    main: lines.Document, rules: model.Rules, parts_count: int
) -> None:
    problems = checks.check_lines(main, rules)
    if problems:
        raise exceptions.RulesError(str(problems[0]))
    if parts_count != checks.count_rules(rules):
        raise exceptions.RulesError("a rule is defined in two chunks")
