"""The rules that are in force on this host."""

import abc
from collections import abc as collections_abc

from chervilshore.rules import model

Listener = collections_abc.Callable[[model.Rules], None]
"""Is told the rules each time a generation comes into force."""


class Configuration(abc.ABC):
    """Holds the rules in force; a generation never gives way to a lower."""

    @property
    @abc.abstractmethod
    def rules(self) -> model.Rules:
        """The rules in force; generation 0 means that there are none yet."""

    @abc.abstractmethod
    def listen(self, listener: Listener) -> None:
        """Call a function whenever a generation comes into force."""


class StaticConfiguration(Configuration):
    """Rules that are given from outside, for embedders and tests."""

    def __init__(self, rules: model.Rules) -> None:
        self._rules = rules
        self._listeners: list[Listener] = []

    @property
    def rules(self) -> model.Rules:
        """The rules in force."""
        return self._rules

    def listen(self, listener: Listener) -> None:
        """Call a function on change; see `Configuration.listen`."""
        self._listeners.append(listener)

    def put(self, rules: model.Rules) -> bool:
        """Put rules in force unless they are older.

        Returns
        -------
        bool
            Whether they are in force now.
        """
        if rules.generation < self._rules.generation:
            return False
        self._rules = rules
        for listener in self._listeners:
            listener(rules)
        return True
