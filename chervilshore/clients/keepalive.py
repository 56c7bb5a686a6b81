"""How long a server keeps an idle connection open."""

import re

from chervilshore import clock as clocks

DEFAULT_IDLE_MS = 3000.0
"""Milliseconds for which an idle connection is kept if the server sends no
Keep-Alive timeout; endpoints close idle connections after a few seconds."""

IDLE_FRACTION = 0.5
"""Fraction of the server's Keep-Alive timeout for which an idle connection
is kept."""

_SECONDS = re.compile(r"[0-9]{1,9}")


def read_idle_ms(header: str | None) -> float:
    """Return the time that a Keep-Alive header allows, in milliseconds."""
    for part in (header or "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and _SECONDS.fullmatch(value):
            seconds = float(value)
            return seconds * clocks.MILLIS_PER_SECOND * IDLE_FRACTION
    return DEFAULT_IDLE_MS
