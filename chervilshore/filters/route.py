"""Finds the pipeline, pool and team of a forwarded request."""

from collections import abc as collections_abc
import random

from chervilshore.controllers import configuration as configurations
from chervilshore import exceptions
from chervilshore.filters import base
from chervilshore import forwarded
from chervilshore import ids
from chervilshore import results
from chervilshore.rules import model

NOT_READY_RETRY_MS = 500.0
"""Milliseconds after which a caller may retry at a host that has no
configuration yet; a starting host usually has it by then."""


class RouteTable:
    """Index of the pipelines and access keys of one generation of rules."""

    def __init__(self, rules: model.Rules) -> None:
        self.rules = rules
        self._by_host: dict[str, list[model.Pipeline]] = {}
        for pipeline in rules.pipelines.values():
            if pipeline.stages:
                self._by_host.setdefault(pipeline.host, []).append(pipeline)
        for found in self._by_host.values():
            # The longest matching prefix takes precedence.
            found.sort(key=lambda rule: len(rule.prefix), reverse=True)
        self._teams = {
            key: team for team in rules.teams.values() for key in team.keys
        }

    def find_pipeline(self, host: str, path: str) -> model.Pipeline | None:
        """Return the pipeline with the longest matching prefix, or None."""
        for pipeline in self._by_host.get(host, ()):
            if path.startswith(pipeline.prefix):
                return pipeline
        return None

    def find_team(self, key: str) -> model.Team | None:
        """Return the team of an access key; None if it is unknown or empty."""
        return self._teams.get(key) if key else None


class RouteFilter(base.Filter):
    """Finds the pipeline, pool and team of a request.

    It also fixes the generation of rules that the request uses.

    Parameters
    ----------
    configuration : Configuration
        Provides the active rules.
    rng : random.Random
        Chooses among the pools of a pipeline.
    """

    def __init__(
        self,
        configuration: configurations.Configuration,
        rng: random.Random,
    ) -> None:
        self._configuration = configuration
        self._rng = rng
        self._table = RouteTable(configuration.rules)

    async def handle(
        self, exchange: base.Exchange, proceed: base.Proceed
    ) -> base.Answer:
        """Find the target of a request; see `Filter.handle`."""
        rules = self._configuration.rules
        if not rules.generation:
            raise exceptions.RefusalError(
                results.Code.NOT_READY, retry_after_ms=NOT_READY_RETRY_MS
            )
        if rules is not self._table.rules:
            self._table = RouteTable(rules)
        forwarded_request = exchange.forwarded_request
        found = self._table.find_pipeline(
            forwarded_request.host, forwarded_request.path
        )
        if found is None:
            raise exceptions.RefusalError(results.Code.UNKNOWN_PIPELINE)
        exchange.rules = rules
        exchange.pipeline = self._choose_target(found)
        priority = rules.class_of(found).priority
        team = self._find_team(forwarded_request, found)
        if team is not None:
            exchange.team = team.name
            if team.priority is not None:
                priority = team.priority
        exchange.priority = priority
        exchange.delivery = forwarded.Delivery(
            team=exchange.team, urgency=min(9, max(0, priority))
        )
        return await proceed(exchange)

    def _find_team(
        self,
        forwarded_request: forwarded.ForwardedRequest,
        pipeline: model.Pipeline,
    ) -> model.Team | None:
        team = self._table.find_team(forwarded_request.access_key)
        if team is None and not pipeline.public and self._table.rules.teams:
            raise exceptions.RefusalError(results.Code.UNKNOWN_KEY)
        return team

    def _choose_target(self, pipeline: model.Pipeline) -> model.Pipeline:
        """Return the pipeline with one of its target pools, by weight."""
        if len(pipeline.targets) < 2:
            return pipeline
        pool = _choose_pool(pipeline.targets, self._rng)
        return model.with_final_pool(pipeline, pool)


def _choose_pool(
    targets: collections_abc.Sequence[model.Target],
    rng: random.Random,
) -> ids.PoolName:
    weights = [target.weight for target in targets]
    return rng.choices(targets, weights)[0].pool
