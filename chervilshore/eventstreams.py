"""Splits streams of server-sent events into complete events."""

import re

from chervilshore import exceptions

MAX_EVENT_BYTES = 1_000_000
"""Size from which an event without an end counts as endless; events of
generated text are of some hundred bytes."""

_END_BYTES = 4
"""Length of the longest end of an event."""

_EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_EVENT_ID = re.compile(rb"(?:^|[\r\n])id:[ ]?([0-9]{1,15})[ ]*(?=[\r\n])")


class EventSplitter:
    """Buffers the bytes of an event until it is complete.

    Attributes
    ----------
    event_ids : list of int or None
        The ids of the events that the last bytes completed, None for an
        event without one. Comments are no events.
    events : int
        The complete events and comments so far.
    """

    def __init__(self) -> None:
        self.event_ids: list[int | None] = []
        self.events = 0
        self._buffer = bytearray()
        self._searched = 0

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return the bytes of the events that are complete.

        Raises
        ------
        exceptions.ResponseTooLarge
            An event is too large.
        """
        self._buffer += data
        self.event_ids = []
        end = 0
        # An end that was cut may begin shortly before the new bytes.
        start = max(0, self._searched - _END_BYTES + 1)
        for match in _EVENT_END.finditer(self._buffer, start):
            self._record_event_id(bytes(self._buffer[end : match.end()]))
            end = match.end()
            self.events += 1
        complete = bytes(self._buffer[:end])
        del self._buffer[:end]
        self._searched = len(self._buffer)
        if self._searched > MAX_EVENT_BYTES:
            raise exceptions.ResponseTooLarge(
                f"event of over {MAX_EVENT_BYTES} bytes"
            )
        return complete

    def clear(self) -> None:
        """Drop what is buffered."""
        self._buffer.clear()

    @property
    def buffered_bytes(self) -> int:
        """Bytes of the event that is not complete."""
        return len(self._buffer)

    @property
    def at_event_boundary(self) -> bool:
        """Whether the buffer holds no part of an event."""
        return not self._buffer

    def _record_event_id(self, event: bytes) -> None:
        match = _EVENT_ID.search(event)
        if match:
            self.event_ids.append(int(match.group(1)))
        elif not _is_comment(event):
            self.event_ids.append(None)


def _is_comment(event: bytes) -> bool:
    lines = event.splitlines()
    return all(not line or line.startswith(b":") for line in lines)
