"""How far a stream of events has come, and which events may follow."""

from collections import abc as collections_abc

import msgspec

EventIds = collections_abc.Sequence[int | None]
"""The ids of events, in order; None for an event without one."""


class EventPosition(msgspec.Struct, frozen=True):
    """The position in a stream after an event.

    Parameters
    ----------
    last_id : int or None
        The id of the last event that had one; None before the first.
    is_named : bool
        Whether the last event had an id, so that it can be resumed after it.
    is_counted : bool or None
        Whether the ids have risen by one; None before the first event.
    """

    last_id: int | None = None
    is_named: bool = True
    is_counted: bool | None = None

    def advance(self, event_ids: EventIds) -> "EventPosition":
        """Return the position after further events."""
        position = self
        for event_id in event_ids:
            position = position._pass(event_id)
        return position

    def _pass(self, event_id: int | None) -> "EventPosition":
        if event_id is None:
            return msgspec.structs.replace(self, is_named=False)
        is_next = event_id == self._next_id
        return EventPosition(
            event_id, is_counted=is_next and self.is_counted is not False
        )

    def find_mismatch(
        self, event_ids: EventIds, is_continuation: bool
    ) -> str | None:
        """Return why events do not follow, or None if they do.

        Parameters
        ----------
        event_ids : sequence of int or None
            The ids of the events.
        is_continuation : bool
            Whether the caller got events of another response before. Then
            each event needs an id, and none may be left out if the ids have
            counted the events so far.
        """
        position = self
        for event_id in event_ids:
            reason = position._find_mismatch(event_id, is_continuation)
            if reason is not None:
                return reason
            position = position._pass(event_id)
        return None

    def _find_mismatch(
        self, event_id: int | None, is_continuation: bool
    ) -> str | None:
        if event_id is None:
            return "event without an id" if is_continuation else None
        if self.last_id is not None and event_id <= self.last_id:
            return f"event {event_id} after {self.last_id}"
        has_gap = self.is_counted and event_id != self._next_id
        if has_gap and is_continuation:
            return f"event {event_id} after {self.last_id}"
        return None

    @property
    def _next_id(self) -> int:
        return (self.last_id or 0) + 1
