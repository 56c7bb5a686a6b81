"""Explains which rules apply to a request."""

from collections import abc

import msgspec

from chervilshore import exceptions
from chervilshore import ids
from chervilshore.rules import checks
from chervilshore.rules import lines
from chervilshore.rules import model

FIELDS = ("pipeline", "team")
"""The properties of a request that can be given."""


class Finding(msgspec.Struct, frozen=True):
    """The effect of a rule on a request.

    Parameters
    ----------
    matter : str
        The decision, such as the class or a stage.
    outcome : str
        Its result.
    line : str
        The line of the rule with its comment; empty where a default applies.
    """

    matter: str
    outcome: str
    line: str = ""


def parse_fields(texts: abc.Iterable[str]) -> dict[str, str]:
    """Parse the properties of a request from texts such as "team=a".

    Raises
    ------
    exceptions.RulesError
        A text is not FIELD=VALUE with a field of `FIELDS`.
    """
    found = {}
    for text in texts:
        field, equals, value = text.partition("=")
        if field not in FIELDS or not equals:
            nearest = lines.find_nearest(field, FIELDS)
            hint = f"; did you mean {nearest}=?" if nearest else ""
            names = " or ".join(f"{name}=NAME" for name in FIELDS)
            raise exceptions.RulesError(f"{text!r}: expected {names}{hint}")
        found[field] = value
    return found


def explain(
    document: lines.Document, fields: abc.Mapping[str, str]
) -> tuple[Finding, ...]:
    """Return the effects of the rules on a request, in their order.

    Parameters
    ----------
    document : Document
        The active rules.
    fields : mapping
        The properties of the request, from `parse_fields`.
    """
    return tuple(_Explainer(document).explain(fields))


class _Explainer:
    """Applies the rules to a request in the order in which a host does."""

    def __init__(self, document: lines.Document) -> None:
        self._rules = checks.gather(line.rule for line in document.lines)
        self._lines = {line.key: line.format() for line in document.lines}

    def explain(self, fields: abc.Mapping[str, str]) -> abc.Iterator[Finding]:
        """Yield the effects of the rules, from the team to the domains."""
        name = ids.PipelineName(fields.get("pipeline", ""))
        pipeline = self._rules.pipelines.get(name)
        team = ids.TeamId(fields.get("team", ""))
        yield self._explain_team(team)
        if pipeline is None:
            nearest = lines.find_nearest(name, self._rules.pipelines)
            hint = f"; did you mean {nearest!r}?" if nearest else ""
            yield Finding(
                "pipeline", f"refused: nothing is named {name!r}{hint}"
            )
            return
        yield self._explain_pipeline(pipeline)
        yield self._explain_class(pipeline)
        for stage in pipeline.stages:
            yield from self._explain_stage(pipeline, team, stage)
        yield from self._explain_domains()

    def _find(self, section: str, name: str) -> str:
        return self._lines.get((section, name), "")

    def _explain_team(self, team: ids.TeamId) -> Finding:
        rule = self._rules.teams.get(team)
        if rule is None:
            nearest = lines.find_nearest(team, self._rules.teams)
            hint = f"; did you mean {nearest!r}?" if nearest else ""
            return Finding("team", f"refused: no team {team!r}{hint}")
        outcome = f"at most {rule.rate:g} a second, {rule.burst:g} at once, "
        outcome += f"{rule.concurrency} in flight"
        return Finding("team", outcome, self._find("team", team))

    def _explain_pipeline(self, pipeline: model.Pipeline) -> Finding:
        repetition = "may be repeated"
        if not pipeline.repeatable:
            repetition = "runs at most once and needs an idempotency key"
        outcome = f"{repetition}; {pipeline.deadline_ms} ms without a deadline"
        line = self._find("pipeline", pipeline.name)
        return Finding("pipeline", outcome, line)

    def _explain_class(self, pipeline: model.Pipeline) -> Finding:
        rule = self._rules.class_of(pipeline)
        outcome = f"priority {rule.priority}, a step for each "
        outcome += f"{rule.aging_ms} ms of waiting"
        return Finding("class", outcome, self._find("class", rule.name))

    def _explain_stage(
        self, pipeline: model.Pipeline, team: ids.TeamId, stage: model.Stage
    ) -> abc.Iterator[Finding]:
        route = self._rules.route_for(pipeline, team, stage.name)
        pool = route.pool or stage.pool if route else stage.pool
        if route is not None:
            domains = ", ".join(route.domains) or "any domain"
            outcome = f"pool {pool}, {domains}"
            line = self._find("route", route.name)
            yield Finding(f"route of stage {stage.name}", outcome, line)
        rule = self._rules.pools.get(pool)
        outcome = f"pool {pool}"
        if rule is not None:
            outcome += f", {rule.cold} in flight at a cold endpoint, "
            outcome += f"{rule.most} at most"
        line = self._find("pool", pool)
        yield Finding(f"stage {stage.name}", outcome, line)

    def _explain_domains(self) -> abc.Iterator[Finding]:
        for name in self._rules.domains:
            if self._rules.is_out(name):
                line = self._find("domain", name)
                yield Finding(f"domain {name}", "out: gets no new work", line)
