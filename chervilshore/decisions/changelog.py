"""The latest changes of one kind of objects, for hosts that follow them."""

import collections

from chervilshore import objects

MAX_BATCHES = 256
"""Batches of changes that are kept; hosts that are further behind read the
store themselves."""


class ChangeLog:
    """Changes in the order in which the store made them.

    Attributes
    ----------
    position : int
        The position in the store up to which the log is complete.
    """

    def __init__(self) -> None:
        self.position = 0
        self._start = 0
        self._batches: collections.deque[objects.Changes] = collections.deque()
        # All objects at the position; None while they are not known.
        self._objects: dict[str, objects.StoredObject] | None = None

    def reset(self, position: int) -> None:
        """Start anew at a position at which the objects are not known."""
        self._batches.clear()
        self._start = self.position = position
        self._objects = None

    def replace(self, listing: objects.Listing) -> None:
        """Append what a listing shows to have changed.

        The history of the store may not reach back to this log any more.
        """
        listed = {stored.name: stored for stored in listing.objects}
        known = self._objects
        restored = objects.read_era(listing.revision) != objects.read_era(
            self.position
        )
        if known is None or restored:
            self.reset(listing.revision)
        elif listing.revision > self.position:
            changes = [
                objects.Change(stored, removed=True)
                for name, stored in known.items()
                if name not in listed
            ]
            changes += [
                objects.Change(stored)
                for name, stored in listed.items()
                if name not in known or known[name].revision != stored.revision
            ]
            self._append(objects.Changes(tuple(changes), listing.revision))
        if listing.revision >= self.position:
            self._objects = listed

    def extend(self, since: int, changes: objects.Changes) -> None:
        """Append the changes from one position to another.

        Changes that the log has already, such as those of a copy of the store
        that is behind, are left out.
        """
        if since > self.position:
            self.reset(since)
        if changes.revision <= self.position:
            return
        if self._objects is not None:
            for change in changes.changes:
                if change.removed:
                    self._objects.pop(change.object.name, None)
                else:
                    self._objects[change.object.name] = change.object
        self._append(changes)

    def _append(self, changes: objects.Changes) -> None:
        self.position = changes.revision
        if not changes.changes:
            return
        self._batches.append(changes)
        if len(self._batches) > MAX_BATCHES:
            self._start = self._batches.popleft().revision

    def read(self, since: int) -> objects.Changes | None:
        """Return what has changed since a position.

        Returns
        -------
        Changes or None
            None if the log does not reach back to that position.
        """
        if since < self._start:
            return None
        changes = tuple(
            change
            for batch in self._batches
            if batch.revision > since
            for change in batch.changes
        )
        return objects.Changes(changes, max(since, self.position))
