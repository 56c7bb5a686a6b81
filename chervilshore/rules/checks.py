"""Consistency checks between rules: defined names and matching limits."""

from collections import abc

from chervilshore import ids
from chervilshore import records
from chervilshore.rules import lines
from chervilshore.rules import model


def check(
    document: lines.Document,
) -> tuple[model.Rules, tuple[lines.Problem, ...]]:
    """Collect the rules of a file and check them against each other.

    Returns
    -------
    Rules
        The rules, with generation 0.
    tuple of Problem
        Names that are used but not defined, names that are defined twice,
        and limits that contradict each other.
    """
    rules = gather(line.rule for line in document.lines)
    return rules, check_lines(document, rules)


def check_lines(
    document: lines.Document, rules: model.Rules
) -> tuple[lines.Problem, ...]:
    """Check the lines of a document against all rules.

    The document may hold only a part of them, such as one chunk.
    """
    checker = _Checker(document, rules)
    for line in document.lines:
        checker.check_line(line)
    return tuple(checker.problems)


def count_rules(rules: model.Rules) -> int:
    """Return the number of rules of all kinds."""
    named = sum(
        len(getattr(rules, attribute)) for attribute in _ATTRIBUTES.values()
    )
    return named + len(rules.routes)


def gather(
    typed: abc.Iterable, generation: ids.Generation = ids.Generation(0)
) -> model.Rules:
    """Collect typed rules into one `Rules`; routes keep their order."""
    found = {kind: {} for kind in _ATTRIBUTES}
    routes = []
    for rule in typed:
        if isinstance(rule, model.Route):
            routes.append(rule)
        elif isinstance(rule, model.Assignment):
            found[model.Assignment][rule.host] = rule
        else:
            found[type(rule)][rule.name] = rule
    by_attribute = {_ATTRIBUTES[kind]: rules for kind, rules in found.items()}
    return model.Rules(
        generation=generation, routes=tuple(routes), **by_attribute
    )


def merge(
    parts: abc.Iterable[model.Rules], generation: ids.Generation
) -> model.Rules:
    """Merge the rules of several chunks; routes keep their order."""
    by_attribute: dict[str, dict] = {
        attribute: {} for attribute in _ATTRIBUTES.values()
    }
    routes: list[model.Route] = []
    for part in parts:
        routes.extend(part.routes)
        for attribute, rules in by_attribute.items():
            rules.update(getattr(part, attribute))
    return model.Rules(
        generation=generation, routes=tuple(routes), **by_attribute
    )


def list_names(rules: model.Rules) -> set[tuple[str, str]]:
    """Return the attribute of `Rules` and the name of each rule."""
    names = {
        (attribute, name)
        for attribute in _ATTRIBUTES.values()
        for name in getattr(rules, attribute)
    }
    return names | {("routes", route.name) for route in rules.routes}


_ATTRIBUTES = {
    model.Domain: "domains",
    model.Pool: "pools",
    model.Pipeline: "pipelines",
    model.RequestClass: "classes",
    model.Team: "teams",
    model.Assignment: "assignments",
}
"""The attribute of `Rules` that holds the rules of each type by name."""


class _Checker:
    """Checks lines, one after the other, against all rules."""

    def __init__(self, document: lines.Document, rules: model.Rules) -> None:
        self.problems: list[lines.Problem] = []
        self._file = document.file
        self._invalid_rules = document.invalid_rules
        self._rules = rules
        self._seen: dict[tuple[str, str], int] = {}
        self._checks = {
            model.Pool: self._check_pool,
            model.Pipeline: self._check_pipeline,
            model.Route: self._check_route,
            model.Assignment: self._check_assignment,
        }

    def check_line(self, line: lines.Line) -> None:
        """Check one line."""
        key = line.key
        first = self._seen.setdefault(key, line.number)
        if first != line.number:
            expected = f"a new name; line {first} has this {key[0]} already"
            self._report(line, "", expected)
        check_rule = self._checks.get(type(line.rule))
        if check_rule is not None:
            check_rule(line, line.rule)

    def _check_pool(self, line: lines.Line, pool: model.Pool) -> None:
        if pool.cold > pool.most:
            self._report(line, "cold", f"at most {pool.most}, as most=")
        engine = pool.kind is records.EndpointKind.ENGINE
        if pool.resume and not engine:
            self._report(line, "resume", "no; only engines resume")

    def _check_pipeline(
        self, line: lines.Line, pipeline: model.Pipeline
    ) -> None:
        self._check_class(line, pipeline.class_name)
        names = [stage.name for stage in pipeline.stages]
        if len(set(names)) < len(names):
            self._report(line, "stages", "each stage name only once")
        field = "pool" if line.kind == "service" else "stages"
        for stage in pipeline.stages:
            self._check_defined(
                line, field, "pool", stage.pool, self._rules.pools
            )
        pool = self._rules.pools.get(pipeline.stages[0].pool)
        plain = pool is None or pool.kind is records.EndpointKind.PLAIN
        if line.kind == "service" and not plain:
            self._report(line, "pool", "a pool with kind=plain")

    def _check_class(self, line: lines.Line, name: ids.ClassName) -> None:
        if name != "default":
            self._check_defined(
                line, "class", "class", name, self._rules.classes
            )

    def _check_route(self, line: lines.Line, route: model.Route) -> None:
        rules = self._rules
        if not (route.pool or route.domains):
            self._report(line, "", "pool= or domains= on a route")
        references = (
            ("pipeline", route.pipeline, rules.pipelines),
            ("team", route.team, rules.teams),
            ("pool", route.pool, rules.pools),
        )
        for field, name, known in references:
            if name:
                self._check_defined(line, field, field, name, known)
        if route.class_name:
            self._check_class(line, route.class_name)
        if route.stage:
            self._check_defined(
                line, "stage", "stage", route.stage, self._stages_of(route)
            )
        for domain in route.domains:
            self._check_defined(
                line, "domains", "domain", domain, rules.domains
            )

    def _stages_of(self, route: model.Route) -> set[str]:
        pipeline = self._rules.pipelines.get(route.pipeline)
        # With an invalid pipeline line not all stages are known, so any name
        # is accepted.
        if any(section == "pipeline" for section, _ in self._invalid_rules):
            return {route.stage}
        pipelines = self._rules.pipelines.values()
        if pipeline is not None:
            pipelines = (pipeline,)
        return {
            stage.name for pipeline in pipelines for stage in pipeline.stages
        }

    def _check_assignment(
        self, line: lines.Line, assignment: model.Assignment
    ) -> None:
        domain = assignment.domain
        known = self._rules.domains
        self._check_defined(line, "domain", "domain", domain, known)

    def _check_defined(
        self,
        line: lines.Line,
        field: str,
        kind: str,
        name: str,
        known: abc.Collection[str],
    ) -> None:
        # An invalid line has problems of its own; rules that refer to its
        # rule are not reported too.
        if name in known or (kind, name) in self._invalid_rules:
            return
        nearest = lines.find_nearest(name, known)
        expected = f"a {kind} that a line defines, not {name!r}"
        self._report(line, field, expected, nearest)

    def _report(
        self, line: lines.Line, field: str, expected: str, nearest: str = ""
    ) -> None:
        self.problems.append(
            lines.make_problem(self._file, line, field, expected, nearest)
        )
