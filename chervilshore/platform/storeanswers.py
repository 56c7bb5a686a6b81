"""Decodes responses of the metadata store, object by object.

Writers choose most of what an object holds, and the store passes it on. One
object that cannot be decoded must not hide the others of its response.
"""

import re
import typing

import msgspec

from chervilshore import contents
from chervilshore import exceptions
from chervilshore import objects

Revision = typing.Annotated[int, msgspec.Meta(ge=0, lt=1 << objects.ERA_SHIFT)]


class Metadata(msgspec.Struct):
    """What the store says of an object."""

    name: str
    revision: Revision = 0
    created_at: msgspec.Raw = msgspec.Raw(b"")


class Object(msgspec.Struct):
    """An object, with the JSON that was written to it."""

    metadata: Metadata
    spec: msgspec.Raw = msgspec.Raw(b"null")
    status: msgspec.Raw = msgspec.Raw(objects.NO_STATUS)


class Page(msgspec.Struct):
    """A part of a listing."""

    items: list[Object]
    has_more: bool = False
    current_rev: Revision = 0


class Event(msgspec.Struct):
    """A change of an object."""

    object: Object
    deleted: bool = False


class Events(msgspec.Struct):
    """The changes that a watch returns."""

    events: list[Event]
    current_rev: Revision = 0


_OBJECT_DECODER = msgspec.json.Decoder(Object)
_METADATA_DECODER = msgspec.json.Decoder(Metadata)
_PAGE_DECODER = msgspec.json.Decoder(Page)
_EVENTS_DECODER = msgspec.json.Decoder(Events)
_FLAG_DECODER = msgspec.json.Decoder(bool)

MAX_SHOWN_BYTES = 80
"""Bytes of an object that a reason shows."""


def decode_object(content: bytes) -> Object:
    """Decode an object; what was written to it may have any content.

    Raises
    ------
    exceptions.ContentInvalid
        Its name or its revision cannot be read.
    """
    try:
        return contents.decode(_OBJECT_DECODER, content)
    except exceptions.ContentInvalid:
        members = _split_object(content)
    metadata = _split_object(members.pop("metadata", b"{}"))
    known = {
        name: msgspec.Raw(metadata[name])
        for name in Metadata.__struct_fields__
        if name in metadata
    }
    return Object(
        contents.decode(_METADATA_DECODER, msgspec.json.encode(known)),
        **{
            name: msgspec.Raw(members[name])
            for name in ("spec", "status")
            if name in members
        },
    )


def decode_page(content: bytes) -> tuple[Page, list[str]]:
    """Decode a part of a listing.

    Returns
    -------
    tuple
        The part without the objects whose name or revision cannot be read,
        and the reasons why they cannot.

    Raises
    ------
    exceptions.ContentInvalid
        It cannot be divided into objects, or another part follows and no
        object has a name from which to go on.
    """
    try:
        return contents.decode(_PAGE_DECODER, content), []
    except exceptions.ContentInvalid:
        items, rest = _take_list(content, "items")
    page = contents.decode(_PAGE_DECODER, rest)
    page.items, reasons = _decode_each(items, decode_object)
    if page.has_more and not page.items:
        raise exceptions.ContentInvalid(f"no name to go on from: {reasons}")
    return page, reasons


def decode_events(content: bytes) -> tuple[Events, list[str]]:
    """Decode the changes that a watch returns; see `decode_page`."""
    try:
        return contents.decode(_EVENTS_DECODER, content), []
    except exceptions.ContentInvalid:
        items, rest = _take_list(content, "events")
    events = contents.decode(_EVENTS_DECODER, rest)
    events.events, reasons = _decode_each(items, _decode_event)
    return events, reasons


def _decode_event(content: bytes) -> Event:
    members = _split_object(content)
    return Event(
        decode_object(members.get("object", b"{}")),
        contents.decode(_FLAG_DECODER, members.get("deleted", b"false")),
    )


def _decode_each(
    items: list[bytes], decode: typing.Callable[[bytes], typing.Any]
) -> tuple[list, list[str]]:
    decoded, reasons = [], []
    for item in items:
        try:
            decoded.append(decode(item))
        except exceptions.ContentInvalid as error:
            reasons.append(f"{error}: {item[:MAX_SHOWN_BYTES]!r}")
    return decoded, reasons


def _take_list(content: bytes, name: str) -> tuple[list[bytes], bytes]:
    """Return the items of a list in an object, and the object without."""
    members = _split_object(content)
    if name not in members:
        raise exceptions.ContentInvalid(f"no field {name}")
    items = _split_list(members[name])
    return items, _join(members | {name: b"[]"})


def _join(members: dict[str, bytes]) -> bytes:
    return msgspec.json.encode(
        {name: msgspec.Raw(value) for name, value in members.items()}
    )


# Division of JSON into its parts, without recursion and whatever they hold.

# A string without an end reaches to the end of all: it is searched once.
_SPACE = re.compile(rb"[ \t\r\n]*+")
_STRING = re.compile(rb'"(?:[^"\\]++|\\.)*+"?', re.DOTALL)
_OTHER = re.compile(rb'[^"\[\]{},: \t\r\n]++')
_SCALARS = rb'(?:[^"\[\]{}]++|"(?:[^"\\]++|\\.)*+"?)'
_BRACKETS = re.compile(
    # What leaves the depth as it is, with values that have no others in them.
    rb"(?:%b|[\[{]%b*+[\]}])++|[\[{]++|[\]}]++" % (_SCALARS, _SCALARS),
    re.DOTALL,
)
_OPENING, _CLOSING = b"[{", b"]}"


def _split_object(content: bytes) -> dict[str, bytes]:
    """Return the members of a JSON object; the last one of each name."""
    members: dict[str, bytes] = {}
    position = _skip(content, 0, b"{")
    if content[position : position + 1] == b"}":
        return members
    while True:
        end = _find_end(content, position)
        name = content[position:end].decode("utf-8", "replace").strip('"')
        position = _skip(content, end, b":")
        end = _find_end(content, position)
        members[name] = content[position:end]
        position = _SPACE.match(content, end).end()
        if content[position : position + 1] == b"}":
            return members
        position = _skip(content, position, b",")


def _split_list(content: bytes) -> list[bytes]:
    """Return the items of a JSON list."""
    items: list[bytes] = []
    position = _skip(content, 0, b"[")
    if content[position : position + 1] == b"]":
        return items
    while True:
        end = _find_end(content, position)
        items.append(content[position:end])
        position = _SPACE.match(content, end).end()
        if content[position : position + 1] == b"]":
            return items
        position = _skip(content, position, b",")


def _skip(content: bytes, position: int, expected: bytes) -> int:
    """Return the position of what follows a character and spaces."""
    position = _SPACE.match(content, position).end()
    if content[position : position + 1] != expected:
        raise exceptions.ContentInvalid(
            f"{expected.decode()} expected at byte {position}"
        )
    return _SPACE.match(content, position + 1).end()


def _find_end(content: bytes, position: int) -> int:
    """Return the end of the value that starts at a position."""
    first = content[position : position + 1]
    if first not in (b"[", b"{"):
        kind = _STRING if first == b'"' else _OTHER
        found = kind.match(content, position)
        if found is None:
            raise exceptions.ContentInvalid(f"no value at byte {position}")
        return found.end()
    depth = 1
    for found in _BRACKETS.finditer(content, position + 1):
        start, end = found.span()
        if content[end - 1] in _OPENING:
            depth += end - start
        elif content[start] in _CLOSING:
            if end - start >= depth:
                return start + depth
            depth -= end - start
    raise exceptions.ContentInvalid(f"no end of value at byte {position}")
