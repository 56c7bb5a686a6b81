"""Decodes callers' requests that are forwarded to endpoints."""

from collections import abc as collections_abc
import math
import re

from chervilshore import forwarded
from chervilshore import ids
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
"""Hop-by-hop headers, which are not forwarded."""

MAX_PARTS = 64
"""Prompt parts that are read, and batch stages that a request may have."""

MAX_ITEMS_PER_STAGE = 10_000
"""Largest number of items of a batch stage; far more than any pool can run
before a deadline."""

MAX_TOKENS = 100_000_000
"""Largest number of tokens that a request may state."""

_EVENT_ID = re.compile(r"[0-9]{1,15}")


def decode_request(
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
        Names and values as received.
    body : bytes
        The complete body.

    Raises
    ------
    ValueError
        A header has an invalid value.
    """
    first: dict[str, str] = {}
    for name, value in headers:
        first.setdefault(name.lower(), value)
    connection_headers = {
        part.strip().lower()
        for part in first.get("connection", "").split(",")
        if part.strip()
    }
    dropped = HOP_HEADERS | names.OWN_HEADERS | connection_headers
    tokens = _parse_numbers(first.get(names.TOKENS, ""), MAX_TOKENS)
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
        timeout_ms=None if budget is None else _parse_millis(budget),
        parts=_parse_prompt_parts(first.get(names.PREFIX, "")),
        tokens_in=tokens[0] if tokens else 0,
        tokens_out=tokens[1] if len(tokens) > 1 else 0,
        item_counts=_parse_numbers(
            first.get(names.PIECES, ""), MAX_ITEMS_PER_STAGE
        ),
        item_key=first.get(names.PIECE_KEY, ""),
        last_event_id=int(last_event_id)
        if _EVENT_ID.fullmatch(last_event_id)
        else None,
        resumes=ids.RequestId(first.get(names.RESUMES, "").strip()),
    )


def read_attempt_id(headers: collections_abc.Mapping[str, str]) -> str:
    """Return the id of the caller's attempt; empty if there is none."""
    return headers.get(names.ATTEMPT_ID, "")


def _parse_millis(text: str) -> float:
    millis = float(text)
    if not math.isfinite(millis):
        raise ValueError(text[:80])
    return millis


def _parse_numbers(text: str, max_number: int) -> tuple[int, ...]:
    if not text:
        return ()
    parts = text.split(",")
    if len(parts) > MAX_PARTS:
        raise ValueError(text[:80])
    numbers = tuple(int(part) for part in parts)
    if not all(0 <= number <= max_number for number in numbers):
        raise ValueError(text[:80])
    return numbers


def _parse_prompt_parts(text: str) -> tuple[forwarded.PromptPart, ...]:
    if not text:
        return ()
    prompt_parts = []
    for part in text.split(",")[:MAX_PARTS]:
        name, _, tokens = part.strip().partition(":")
        prompt_parts.append(forwarded.PromptPart(name, _parse_tokens(tokens)))
    return tuple(prompt_parts)


def _parse_tokens(text: str) -> int:
    """Return the tokens of a part, which only choose its endpoint."""
    return max(0, min(int(text or 0), MAX_TOKENS))
