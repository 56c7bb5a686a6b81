"""The kinds of values that settings and rules take."""

from collections import abc as collections_abc
import ipaddress
import re
import typing

import msgspec

from chervilshore import clock as clocks


class Kind(msgspec.Struct, frozen=True):
    """A kind of value.

    Parameters
    ----------
    parse : callable
        Turns text into the value; raises ValueError.
    allowed : str
        Describes the allowed values in help texts and errors.
    """

    parse: collections_abc.Callable[[str], typing.Any]
    allowed: str


def _parse_name(text: str) -> str:
    if not re.fullmatch(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}", text):
        raise ValueError(text)
    return text


def _parse_address(text: str) -> str:
    host, _, port = text.rpartition(":")
    ipaddress.ip_address(host.strip("[]"))
    if not 0 < int(port) < 65536:
        raise ValueError(text)
    return text


def _parse_addresses(text: str) -> tuple[str, ...]:
    parts = [part.strip() for part in text.split(",") if part.strip()]
    return tuple(_parse_address(part) for part in parts)


def _parse_optional_ip(text: str) -> str:
    return text and str(ipaddress.ip_address(text))


def _parse_optional_address(text: str) -> str:
    return text and _parse_address(text)


NAME = Kind(_parse_name, "1 to 63 letters, digits, dots, hyphens, underscores")
ADDRESS = Kind(
    _parse_address, "an IP address and a port, such as 127.0.0.1:7000"
)
ADDRESSES = Kind(_parse_addresses, "addresses separated by commas")
OPTIONAL_ADDRESS = Kind(
    _parse_optional_address, "empty, or an IP address and a port"
)
OPTIONAL_IP = Kind(_parse_optional_ip, "empty, or an IP address")

_UNITS_MS = {"": 1.0, "ms": 1.0, "s": clocks.MILLIS_PER_SECOND}


def choice(*words: str) -> Kind:
    """Make a kind that allows only the given words."""

    def parse(text: str) -> str:
        if text not in words:
            raise ValueError(text)
        return text

    return Kind(parse, " or ".join(words))


def integer(minimum: int, maximum: int) -> Kind:
    """Make a kind for integers in an inclusive range."""

    def parse(text: str) -> int:
        value = int(text)
        if not minimum <= value <= maximum:
            raise ValueError(text)
        return value

    return Kind(parse, f"a whole number from {minimum} to {maximum}")


def number(minimum: float, maximum: float) -> Kind:
    """Make a kind for numbers in an inclusive range."""

    def parse(text: str) -> float:
        value = float(text)
        if not minimum <= value <= maximum:
            raise ValueError(text)
        return value

    return Kind(parse, f"a number from {minimum:g} to {maximum:g}")


def duration(minimum_ms: float, maximum_ms: float) -> Kind:
    """Make a kind for durations in an inclusive range, in milliseconds."""

    def parse(text: str) -> float:
        match = re.fullmatch(r"([0-9.eE+-]+) ?(ms|s|)", text)
        if match is None:
            raise ValueError(text)
        value = float(match[1]) * _UNITS_MS[match[2]]
        if not minimum_ms <= value <= maximum_ms:
            raise ValueError(text)
        return value

    return Kind(
        parse,
        f"from {minimum_ms:g} to {maximum_ms:g} milliseconds, as a number or "
        "with a unit, such as 500, 2.5 ms or 7.5 s",
    )


def optional_number(minimum: float, maximum: float) -> Kind:
    """Make a kind for numbers in an inclusive range, or None if empty."""
    required = number(minimum, maximum)

    def parse(text: str) -> float | None:
        return required.parse(text) if text else None

    return Kind(parse, f"empty, or {required.allowed}")
