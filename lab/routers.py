"""Baseline routers."""

import random

from chervilshore.decisions import routing


class RandomRouter(routing.Router):
    """Ranks the endpoints in random order."""

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator

    def rank(self, requirements, candidates, now):
        return self._generator.sample(candidates, len(candidates))


class TwoChoicesRouter(routing.Router):
    """Ranks the one of two random endpoints with fewer attempts first."""

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator

    def rank(self, requirements, candidates, now):
        ranked = self._generator.sample(candidates, len(candidates))
        ranked[:2] = sorted(ranked[:2], key=lambda one: one.in_flight)
        return ranked
