"""Entries that another writer may leave, and that name no endpoint."""

import json

import msgspec

ENTRY = {
    "service": "ledger",
    "addr": "127.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_left_ms": 0,
    "call_seq": 0,
    "born": 17,
}


def change(name, value):
    """Return an entry of which one field has these bytes as its value."""
    return msgspec.json.encode(ENTRY | {name: msgspec.Raw(value)})


def nest(depth, opened=b"[", closed=b"]"):
    """Return values in values."""
    return opened * depth + closed * depth


ADDRESSES = (
    "127.0.0.1:65536",
    "127.0.0.1:99999999999999999999",
    "127.0.0.1:0",
    "127.0.0.1:-1",
    "127.0.0.1:",
    "127.0.0.1",
    "127.0.0.1:8e1",
    "127.0.0.1:²",
    "127.0.0.1:٣",
    "127.0.0.1: 80",
    "127.0.0.1 :80",
    " 127.0.0.1:80",
    "127.0.0.1:80\r\nX: y",
    "127.0.0.1:" + "1" * 5000,
    ":80",
    "worker.example:80",
    "localhost:80",
    "[::1]:80",
    "::1:80",
    "0.0.0.0:80",
    "127.0.0.1/x:80",
    "é:80",
    "x" * 300 + ":80",
    "",
)

NUMBERS = (
    b"1e999",
    b"-1e999",
    b"1e400",
    b"1" + b"0" * 400,
    b"1" * 6000,
    b"123456789012345678901234567890",
    b"NaN",
    b"Infinity",
    b'"8"',
    b"null",
    b"true",
    b"[]",
)

# Each has a label, and what the store holds.
ENTRIES = (
    *(
        (f"{depth} deep in {name}", change(name, nest(depth)))
        for depth in (1100, 5000, 200_000)
        for name in (*ENTRY, "other")
    ),
    (
        "objects in objects",
        change("other", nest(5000, b'{"a":', b"}").replace(b":}", b":1}")),
    ),
    ("lists as a whole", nest(200_000)),
    *(
        (
            f"address {address[:40]!r}",
            change("addr", json.dumps(address).encode()),
        )
        for address in ADDRESSES
    ),
    *(
        (f"{name} {number[:20].decode()}", change(name, number))
        for name in ("slots", "born", "cold_left_ms")
        for number in NUMBERS
    ),
    *(
        (f"{name} {value[:20].decode()}", change(name, value))
        for name in ("service", "addr", "zone", "state", "version")
        for value in (b"1", b"1e999", b"null", b"{}", b'"' + b"x" * 300 + b'"')
    ),
    *(
        (f"without {name}", msgspec.json.encode(rest))
        for name in ("service", "addr", "zone", "state")
        if (rest := {key: ENTRY[key] for key in ENTRY if key != name})
    ),
    ("other state", change("state", b'"resting"')),
    ("half a character", change("service", b'"\\ud800"')),
    ("bytes that are no text", change("service", b'"\xff\xfe"')),
    ("brackets in a string", b'"]}[[{{\\"]"'),
    ("a large list", b"[" + b"1," * 200_000 + b"1]"),
    ("a large string", b'"' + b"x" * 400_000 + b'"'),
    ("null", b"null"),
    ("number", b"1e999"),
    ("empty string", b'""'),
)

NAMES = ("", "x" * 300, "w 1", "w\r\nX: y", "wé", "w\x00")
"""Names of entries that cannot be sent in headers."""
