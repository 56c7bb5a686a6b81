"""Callers' requests and the calls that pass them on."""

from collections import abc as collections_abc
import math

from chervilshore import forwarded
from chervilshore.platform import names

HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)
"""Headers that concern one connection only."""

MOST_PARTS = 64
"""Parts of a prompt or preparations that are read."""

MOST_PIECES = 10_000
"""Pieces that a request may name; far more than any pool makes in time."""

MOST_TOKENS = 100_000_000
"""Tokens that a request may name."""


def decode_passage(
    method: str,
    target: str,
    headers: collections_abc.Sequence[tuple[str, str]],
    body: bytes,
) -> forwarded.ForwardedRequest:
    """Decode a caller's request.

    Parameters
    ----------
    method, target : str
        The request line.
    headers : sequence of tuple
        Names and values as they came.
    body : bytes
        The whole body.

    Raises
    ------
    ValueError
        A header has a value that cannot be used.
    """
    first: dict[str, str] = {}
    for name, value in headers:
        first.setdefault(name.lower(), value)
    listed = {
        part.strip().lower()
        for part in first.get("connection", "").split(",")
        if part.strip()
    }
    dropped = HOP_HEADERS | names.OWN_HEADERS | listed
    tokens = _split_numbers(first.get(names.TOKENS, ""), MOST_TOKENS)
    budget = first.get(names.DEADLINE)
    last_event_id = first.get(names.LAST_EVENT, "")
    return forwarded.ForwardedRequest(
        method=method,
        target=target,
        host=first.get("host", "").rpartition("@")[2].split(":")[0].lower(),
        path=target.partition("?")[0],
        headers=[
            (name, value)
            for name, value in headers
            if name.lower() not in dropped
        ],
        body=body,
        access_key=first.get(names.KEY, ""),
        timeout_ms=None if budget is None else _read_millis(budget),
        parts=_read_parts(first.get(names.PREFIX, "")),
        tokens_in=tokens[0] if tokens else 0,
        tokens_out=tokens[1] if len(tokens) > 1 else 0,
        item_counts=_split_numbers(first.get(names.PIECES, ""), MOST_PIECES),
        item_key=first.get(names.PIECE_KEY, ""),
        last_event_id=int(last_event_id) if last_event_id.isdigit() else None,
    )


def read_attempt(headers: collections_abc.Mapping[str, str]) -> str:
    """Read the id of a caller's attempt; empty when there is none."""
    return headers.get(names.ATTEMPT_ID, "")


def _read_millis(text: str) -> float:
    millis = float(text)
    if not math.isfinite(millis):
        raise ValueError(text[:80])
    return millis


def _split_numbers(text: str, most: int) -> tuple[int, ...]:
    if not text:
        return ()
    parts = text.split(",")
    if len(parts) > MOST_PARTS:
        raise ValueError(text[:80])
    numbers = tuple(int(part) for part in parts)
    if not all(0 <= number <= most for number in numbers):
        raise ValueError(text[:80])
    return numbers


def _read_parts(text: str) -> tuple[forwarded.PromptPart, ...]:
    if not text:
        return ()
    found = []
    for part in text.split(",")[:MOST_PARTS]:
        name, _, tokens = part.strip().partition(":")
        found.append(forwarded.PromptPart(name, int(tokens or 0)))
    return tuple(found)
