"""The kinds of values that settings and rules take."""

from collections import abc as collections_abc
import ipaddress
import re
import typing

import msgspec


class Kind(msgspec.Struct, frozen=True):
    """A kind of value.

    Parameters
    ----------
    parse : callable
        Turns text into the value; raises ValueError.
    allowed : str
        What is allowed, for people.
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


def _parse_number(text: str) -> str:
    return text and str(ipaddress.ip_address(text))


def _parse_optional_address(text: str) -> str:
    return text and _parse_address(text)


NAME = Kind(_parse_name, "1 to 63 letters, digits, dots, dashes, underlines")
ADDRESS = Kind(_parse_address, "an IP number and a port, as 127.0.0.1:7000")
ADDRESSES = Kind(_parse_addresses, "addresses separated by commas")
OPTIONAL_ADDRESS = Kind(
    _parse_optional_address, "nothing, or an IP number and a port"
)
OPTIONAL_NUMBER = Kind(_parse_number, "nothing, or an IP number")


def choice(*words: str) -> Kind:
    """Make the kind of some words."""

    def parse(text: str) -> str:
        if text not in words:
            raise ValueError(text)
        return text

    return Kind(parse, " or ".join(words))


def whole(least: int, most: int) -> Kind:
    """Make the kind of whole numbers in a range."""

    def parse(text: str) -> int:
        number = int(text)
        if not least <= number <= most:
            raise ValueError(text)
        return number

    return Kind(parse, f"a whole number from {least} to {most}")


def real(least: float, most: float) -> Kind:
    """Make the kind of numbers in a range."""

    def parse(text: str) -> float:
        number = float(text)
        if not least <= number <= most:
            raise ValueError(text)
        return number

    return Kind(parse, f"a number from {least:g} to {most:g}")
