"""The words of the rules file: kinds of rules, their fields and values."""

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
"""The name of a service's only stage."""


class ValueType(msgspec.Struct, frozen=True):
    """A kind of value.

    Parameters
    ----------
    parse : callable
        Turns text into the value; raises ValueError.
    expected : str
        What is allowed, for people.
    choices : tuple of str
        All allowed words, where there are few.
    """

    parse: abc.Callable[[str], typing.Any]
    expected: str
    choices: tuple[str, ...] = ()


class Field(msgspec.Struct, frozen=True):
    """A field of a rule.

    Parameters
    ----------
    word : str
        Its word in the file.
    attribute : str
        Its attribute in the typed rule.
    value : ValueType
        What it takes.
    required : bool
        Whether it must be given.
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
        What its names are unique within; services share with pipelines.
    build : callable
        Makes the typed rule of the values by attribute.
    fields : dict
        Its fields by word.
    name : ValueType
        What its name may be.
    """

    section: str
    build: abc.Callable[..., typing.Any]
    fields: dict[str, Field]
    name: ValueType


def _match(pattern: re.Pattern) -> abc.Callable[[str], str]:
    def parse(text: str) -> str:
        if not pattern.fullmatch(text):
            raise ValueError(text)
        return text

    return parse


def _choose(kind: type[enum.Enum]) -> ValueType:
    choices = tuple(member.value for member in kind)
    return ValueType(kind, " or ".join(choices), choices)


def _take(kind: settingkinds.Kind) -> ValueType:
    return ValueType(kind.parse, kind.allowed)


def _parse_yes(text: str) -> bool:
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


NAME = _take(settingkinds.NAME)
HOST = ValueType(_match(HOST_PATTERN), "a host or endpoint of the host list")
PATH = ValueType(_match(PATH_PATTERN), "a path that begins with /")
BOOLEAN = ValueType(_parse_yes, "yes or no", ("yes", "no"))
STAGES = ValueType(_parse_stages, "STAGE@POOL,STAGE@POOL,... in order")
NAMES = ValueType(_parse_names, "names separated by commas, without blanks")
MILLIS = _take(settingkinds.whole(1, 86_400_000))


def _shape(
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
    "domain": _shape(
        "domain",
        model.Domain,
        Field("region", "region", NAME, required=True),
        Field("state", "state", _choose(records.DomainState), required=True),
    ),
    "assign": _shape(
        "assign",
        _build_assignment,
        Field("domain", "domain", NAME, required=True),
        name=HOST,
    ),
    "pool": _shape(
        "pool",
        model.Pool,
        Field("kind", "kind", _choose(records.EndpointKind), required=True),
        Field("cold", "cold", _take(settingkinds.whole(1, 100_000))),
        Field("most", "most", _take(settingkinds.whole(1, 100_000))),
        Field("fencing", "fencing", _choose(model.Fencing)),
        Field("resume", "resume", BOOLEAN),
        Field("model", "model", NAME),
    ),
    "class": _shape(
        "class",
        model.RequestClass,
        Field("priority", "priority", _take(settingkinds.whole(0, 100))),
        Field("aging", "aging_ms", MILLIS),
    ),
    "pipeline": _shape(
        "pipeline",
        model.Pipeline,
        Field("stages", "stages", STAGES, required=True),
        _CLASS,
        _DEADLINE,
    ),
    "service": _shape(
        "pipeline",
        _build_service,
        Field("pool", "pool", NAME, required=True),
        Field("path", "path", PATH, required=True),
        Field("repeatable", "repeatable", BOOLEAN, required=True),
        _CLASS,
        _DEADLINE,
    ),
    "route": _shape(
        "route",
        model.Route,
        Field("pipeline", "pipeline", NAME),
        Field("team", "team", NAME),
        _CLASS,
        Field("stage", "stage", NAME),
        Field("pool", "pool", NAME),
        Field("domains", "domains", NAMES),
    ),
    "team": _shape(
        "team",
        model.Team,
        Field(
            "rate", "rate", _take(settingkinds.real(0.001, 1e9)), required=True
        ),
        Field("burst", "burst", _take(settingkinds.real(1, 1e9))),
        Field(
            "concurrency", "concurrency", _take(settingkinds.whole(1, 10**9))
        ),
    ),
}
"""Every kind of rule by its first word."""
