"""Local copy of the objects of one kind in the store."""

import math

from chervilshore import objects

MAX_REMOVED = 4096
"""Removed objects that are remembered; more than leave in the few seconds by
which a copy of the store may be old."""


class ObjectCache:
    """Merges listings and changes; delays removals right after an outage.

    Entries with a time to live expire in the store during an outage although
    their writers still run; these write them again once the store is back.

    A store that was restored from a copy has lost its latest changes, whose
    writers write them again. Entries that the copy lacks are kept for a
    while, and entries that it has back although they had been removed are
    left out.

    Parameters
    ----------
    removal_grace_ms : float
        Milliseconds after an outage for which an entry that is missing from
        the store is kept; 0 for kinds whose entries do not expire.
    restore_grace_ms : float
        The same after the store was restored.

    Attributes
    ----------
    objects : dict of str to StoredObject
        The current objects by name, including those whose removal is delayed.
    revision : int
        Revision of the store that the objects reflect.
    unreachable_since : float or None
        Time in milliseconds since which the store has not answered; None
        while it answers.
    recovered_at : float
        Time in milliseconds at which it last answered again.
    confirmed_at : float
        Time in milliseconds at which the store last answered for this kind.
    """

    def __init__(
        self, removal_grace_ms: float = 0.0, restore_grace_ms: float = 0.0
    ) -> None:
        self.objects: dict[str, objects.StoredObject] = {}
        self.revision = 0
        self.unreachable_since: float | None = None
        self.recovered_at = -math.inf
        self.confirmed_at = -math.inf
        self._removal_grace_ms = removal_grace_ms
        self._restore_grace_ms = restore_grace_ms
        self._restore_grace_end = -math.inf
        self._removals_due: dict[str, float] = {}
        # Revision of each removed object, by name.
        self._removed: dict[str, int] = {}

    def merge(self, changes: objects.Changes, now: float) -> list[str]:
        """Apply changes in order; skip those that are known or outdated.

        An answer to a call that was made at an earlier position may come
        late. What it says of objects that have been removed since would hold
        for ever, as the store does not tell of their removal again.

        Returns
        -------
        list of str
            Names of the objects of which an older change was skipped.
        """
        if changes.revision <= self.revision:
            return [change.object.name for change in changes.changes]
        skipped = []
        for change in changes.changes:
            stored = change.object
            known = self.objects.get(stored.name)
            is_known = not change.removed and stored.revision <= self.revision
            is_outdated = (
                known is not None and known.revision > stored.revision
            )
            if is_known or is_outdated:
                skipped.append(stored.name)
                continue
            if change.removed:
                self._remove(stored.name, now, self._outage_grace_end)
            else:
                self._put(stored)
        self.revision = changes.revision
        return skipped

    def replace(self, listing: objects.Listing, now: float) -> None:
        """Replace all objects by a listing, unless it is older."""
        if listing.revision < self.revision:
            return
        restored = objects.read_era(listing.revision) > self.era
        if restored and self.revision:
            self._restore_grace_end = now + self._restore_grace_ms
        found = {
            stored.name: stored
            for stored in listing.objects
            if not self._is_removed(stored)
        }
        for removed in listing.removed:
            if removed.object.name not in found:
                self._put_removed(removed, now)
        kept_until = max(self._outage_grace_end, self._restore_grace_end)
        for name in self.objects.keys() - found.keys():
            self._remove(name, now, kept_until)
        for stored in found.values():
            self._put(stored)
        self.revision = listing.revision

    def make_listing(self, now: float) -> objects.Listing:
        """Return a listing for a host that cannot read the store."""
        due = self._removals_due
        return objects.Listing(
            tuple(
                stored
                for name, stored in self.objects.items()
                if name not in due
            ),
            self.revision,
            tuple(
                objects.RemovedObject(self.objects[name], until - now)
                for name, until in due.items()
                if until > now
            ),
        )

    @property
    def era(self) -> int:
        """The era of the store that the objects reflect."""
        return objects.read_era(self.revision)

    def _is_removed(self, stored: objects.StoredObject) -> bool:
        """Return whether a copy has an object back that was removed.

        An object that is written again after a restore has a new revision.
        """
        revision = objects.read_revision(stored.revision)
        return self._removed.get(stored.name) == revision

    def _put(self, stored: objects.StoredObject) -> None:
        self._removals_due.pop(stored.name, None)
        self._removed.pop(stored.name, None)
        self.objects[stored.name] = stored

    def _put_removed(self, removed: objects.RemovedObject, now: float) -> None:
        """Take over an object that another host keeps for a while longer."""
        stored = removed.object
        longest_ms = max(self._removal_grace_ms, self._restore_grace_ms)
        if longest_ms <= 0.0 or self._is_removed(stored):
            return
        due = now + min(removed.left_ms, longest_ms)
        self.objects[stored.name] = stored
        known_due = self._removals_due.get(stored.name, due)
        self._removals_due[stored.name] = min(known_due, due)

    def expire(self, now: float) -> bool:
        """Carry out delayed removals that are due; return whether any was."""
        if not self._removals_due:
            return False
        overdue = [
            name for name, due in self._removals_due.items() if now >= due
        ]
        for name in overdue:
            self._drop(name)
        return bool(overdue)

    @property
    def _outage_grace_end(self) -> float:
        return self.recovered_at + self._removal_grace_ms

    def _remove(self, name: str, now: float, kept_until: float) -> None:
        kept_until = self._removals_due.get(name, kept_until)
        if now < kept_until and name in self.objects:
            self._removals_due[name] = kept_until
        else:
            self._drop(name)

    def _drop(self, name: str) -> None:
        self._removals_due.pop(name, None)
        removed = self.objects.pop(name, None)
        if removed is None:
            return
        if len(self._removed) >= MAX_REMOVED:
            del self._removed[next(iter(self._removed))]
        self._removed[name] = objects.read_revision(removed.revision)
