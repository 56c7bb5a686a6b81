"""Streams of server-sent events, cut into whole events."""

import re

_EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_EVENT_ID = re.compile(rb"(?:^|[\r\n])id:[ ]?([0-9]{1,15})[ ]*(?=[\r\n])")


class EventSplitter:
    """Holds back the bytes of an event until it is whole.

    Attributes
    ----------
    last_event : int or None
        The number of the last whole event.
    """

    def __init__(self) -> None:
        self.last_event: int | None = None
        self._held = bytearray()

    def feed(self, data: bytes) -> bytes:
        """Add bytes and take those of whole events."""
        self._held += data
        end = 0
        for match in _EVENT_END.finditer(self._held):
            self._note(bytes(self._held[end : match.end()]))
            end = match.end()
        whole = bytes(self._held[:end])
        del self._held[:end]
        return whole

    @property
    def is_clean(self) -> bool:
        """Whether no part of an event is held."""
        return not self._held

    def _note(self, event: bytes) -> None:
        found = _EVENT_ID.search(event)
        if found:
            self.last_event = int(found.group(1))
