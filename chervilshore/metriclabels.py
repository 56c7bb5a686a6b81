"""Limits the number of label values of metrics."""

import heapq

from chervilshore import ids
from chervilshore.rules import model

MAX_TEAM_LABELS = 20
"""Teams with a label of their own."""

OTHER_TEAMS = "other"
"""The label of all other teams."""


class TeamLabels:
    """Limits the number of label values for teams.

    The teams with the highest rate limits get a label of their own. These
    rarely change, while the busiest teams would change between scrapes.
    """

    def __init__(self) -> None:
        self._rules: model.Rules | None = None
        self._named: frozenset[ids.TeamId] = frozenset()

    def choose(self, team: ids.TeamId, rules: model.Rules) -> str:
        """Return the label of a team under the active rules."""
        if rules is not self._rules:
            self._rules = rules
            largest = heapq.nlargest(
                MAX_TEAM_LABELS,
                rules.teams.values(),
                key=lambda team_limits: (team_limits.rate, team_limits.name),
            )
            self._named = frozenset(
                team_limits.name for team_limits in largest
            )
        return team if team in self._named else OTHER_TEAMS


MAX_ENDPOINT_LABELS = 200
"""Endpoints with a label of their own; more than most sites run at a time,
although an endpoint gets a new name with each start."""

OTHER_ENDPOINTS = "other"
"""The label of all other endpoints."""


class EndpointLabels:
    """Limits the number of label values for endpoints.

    The first endpoints that are seen get a label of their own.
    """

    def __init__(self) -> None:
        self._named: set[ids.EndpointId] = set()

    def choose(self, endpoint: ids.EndpointId) -> str:
        """Return the label of an endpoint."""
        if len(self._named) < MAX_ENDPOINT_LABELS:
            self._named.add(endpoint)
        return endpoint if endpoint in self._named else OTHER_ENDPOINTS
