"""Schema of the rules file: kinds of rules, their fields and values."""

from collections import abc
import enum
import re
import typing

import msgspec

from chervilshore import records
from chervilshore.rules import model
from chervilshore import settingkinds

HOST_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9.:_-]{0,126}")
PATH_PATTERN = re.compile(r"/[A-Za-z0-9._~/-]{0,254}")

SERVICE_STAGE = "call"
"""The name of the only stage of a service."""


class ValueType(msgspec.Struct, frozen=True):
    """A type of value.

    Parameters
    ----------
    parse : callable
        Converts text to the value; raises ValueError if it is invalid.
    expected : str
        A description of the valid values, for operators.
    choices : tuple of str
        All valid words, for a type that has only a few.
    """

    parse: abc.Callable[[str], typing.Any]
    expected: str
    choices: tuple[str, ...] = ()


class Field(msgspec.Struct, frozen=True):
    """A field of a rule.

    Parameters
    ----------
    word : str
        The name of the field in the file.
    attribute : str
        The attribute of the typed rule that holds the value.
    value : ValueType
        The type of the value.
    required : bool
        Whether every rule of the kind must give it.
    """

    word: str
    attribute: str
    value: ValueType
    required: bool = False


class RuleKind(msgspec.Struct, frozen=True):
    """A kind of rule.

    Parameters
    ----------
    section : str
        The namespace of the rule names, in which each is unique; services
        share that of pipelines.
    build : callable
        Returns the typed rule; takes the values as keywords, by attribute.
    fields : dict
        The fields by their name in the file.
    name : ValueType
        The type of the rule name.
    """

    section: str
    build: abc.Callable[..., typing.Any]
    fields: dict[str, Field]
    name: ValueType


def _match_pattern(pattern: re.Pattern) -> abc.Callable[[str], str]:
    def parse(text: str) -> str:
        if not pattern.fullmatch(text):
            raise ValueError(text)
        return text

    return parse


def _enum_type(kind: type[enum.Enum]) -> ValueType:
    choices = tuple(member.value for member in kind)
    return ValueType(kind, " or ".join(choices), choices)


def _setting_type(kind: settingkinds.Kind) -> ValueType:
    return ValueType(kind.parse, kind.allowed)


def _parse_boolean(text: str) -> bool:
    if text not in ("yes", "no"):
        raise ValueError(text)
    return text == "yes"


def _parse_stages(text: str) -> tuple[model.Stage, ...]:
    return tuple(_parse_stage(part) for part in text.split(","))


def _parse_stage(text: str) -> model.Stage:
    name, _, pool = text.partition("@")
    return model.Stage(NAME.parse(name), NAME.parse(pool))


def _parse_names(text: str) -> tuple[str, ...]:
    return tuple(NAME.parse(part) for part in text.split(","))


NAME = _setting_type(settingkinds.NAME)
HOST = ValueType(
    _match_pattern(HOST_PATTERN), "a host or endpoint of the host list"
)
PATH = ValueType(_match_pattern(PATH_PATTERN), "a path that begins with /")
BOOLEAN = ValueType(_parse_boolean, "yes or no", ("yes", "no"))
STAGES = ValueType(_parse_stages, "STAGE@POOL,STAGE@POOL,... in order")
NAMES = ValueType(_parse_names, "names separated by commas, without blanks")
MILLIS = _setting_type(settingkinds.integer(1, 86_400_000))


def _rule_kind(
    section: str,
    build: abc.Callable[..., typing.Any],
    *fields: Field,
    name: ValueType = NAME,
) -> RuleKind:
    return RuleKind(
        section, build, {field.word: field for field in fields}, name
    )


def _build_service(name, pool, **values) -> model.Pipeline:
    stage = model.Stage(SERVICE_STAGE, pool)
    return model.Pipeline(name, (stage,), **values)


def _build_assignment(name, domain) -> model.Assignment:
    return model.Assignment(name, domain)


_CLASS = Field("class", "class_name", NAME)
_DEADLINE = Field("deadline", "deadline_ms", MILLIS)

RULE_KINDS = {
    "domain": _rule_kind(
        "domain",
        model.Domain,
        Field("region", "region", NAME, required=True),
        Field(
            "state", "state", _enum_type(records.DomainState), required=True
        ),
    ),
    "assign": _rule_kind(
        "assign",
        _build_assignment,
        Field("domain", "domain", NAME, required=True),
        name=HOST,
    ),
    "pool": _rule_kind(
        "pool",
        model.Pool,
        Field("kind", "kind", _enum_type(records.EndpointKind), required=True),
        Field("cold", "cold", _setting_type(settingkinds.integer(1, 100_000))),
        Field("most", "most", _setting_type(settingkinds.integer(1, 100_000))),
        Field("fencing", "fencing", _enum_type(model.Fencing)),
        Field("resume", "resume", BOOLEAN),
        Field("model", "model", NAME),
    ),
    "class": _rule_kind(
        "class",
        model.RequestClass,
        Field(
            "priority", "priority", _setting_type(settingkinds.integer(0, 100))
        ),
        Field("aging", "aging_ms", MILLIS),
    ),
    "pipeline": _rule_kind(
        "pipeline",
        model.Pipeline,
        Field("stages", "stages", STAGES, required=True),
        _CLASS,
        _DEADLINE,
    ),
    "service": _rule_kind(
        "pipeline",
        _build_service,
        Field("pool", "pool", NAME, required=True),
        Field("path", "path", PATH, required=True),
        Field("repeatable", "repeatable", BOOLEAN, required=True),
        _CLASS,
        _DEADLINE,
    ),
    "route": _rule_kind(
        "route",
        model.Route,
        Field("pipeline", "pipeline", NAME),
        Field("team", "team", NAME),
        _CLASS,
        Field("stage", "stage", NAME),
        Field("pool", "pool", NAME),
        Field("domains", "domains", NAMES),
    ),
    "team": _rule_kind(
        "team",
        model.Team,
        Field(
            "rate",
            "rate",
            _setting_type(settingkinds.number(0.001, 1e9)),
            required=True,
        ),
        Field("burst", "burst", _setting_type(settingkinds.number(1, 1e9))),
        Field(
            "concurrency",
            "concurrency",
            _setting_type(settingkinds.integer(1, 10**9)),
        ),
    ),
}
"""The kinds of rules by the first word of their lines."""
