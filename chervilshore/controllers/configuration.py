"""The interface to the rules that are active on this host."""

import abc
from collections import abc as collections_abc

from chervilshore.rules import model

Listener = collections_abc.Callable[[model.Rules], None]
"""Called with the rules whenever they change."""


class Configuration(abc.ABC):
    """Provides the active rules; their generation never decreases."""

    @property
    @abc.abstractmethod
    def rules(self) -> model.Rules:
        """The active rules; generation 0 means that there are none yet."""

    @abc.abstractmethod
    def listen(self, listener: Listener) -> None:
        """Register a function that is called with the rules on each change."""


class StaticConfiguration(Configuration):
    """A configuration whose rules the caller sets, for embedders and tests."""

    def __init__(self, rules: model.Rules) -> None:
        self._rules = rules
        self._listeners: list[Listener] = []

    @property
    def rules(self) -> model.Rules:
        """The active rules."""
        return self._rules

    def listen(self, listener: Listener) -> None:
        """Register a listener; see `Configuration.listen`."""
        self._listeners.append(listener)

    def put(self, rules: model.Rules) -> bool:
        """Activate rules, unless their generation is lower.

        Returns
        -------
        bool
            Whether the rules were activated.
        """
        if rules.generation < self._rules.generation:
            return False
        self._rules = rules
        for listener in self._listeners:
            listener(rules)
        return True
