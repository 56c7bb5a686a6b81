"""What is known of the objects of one kind in the store."""

import math

from chervilshore import objects


class ObjectCache:
    """Merges listings and changes; removals after an outage wait.

    Entries lapse while the store is away, though what they stand for lives
    on and writes them anew once the store is back.

    Parameters
    ----------
    lapse_ms : float
        Milliseconds for which an entry counts still that was found gone
        right after an outage; 0 for kinds whose entries do not lapse.

    Attributes
    ----------
    objects : dict of str to StoredObject
        The objects that count.
    revision : int
        The revision of the store up to which they are known.
    unreachable_since : float or None
        The moment since which the store has not answered.
    returned : float
        The moment at which it answered again.
    """

    def __init__(self, lapse_ms: float = 0.0) -> None:
        self.objects: dict[str, objects.StoredObject] = {}
        self.revision = 0
        self.unreachable_since: float | None = None
        self.recovered_at = -math.inf
        self._lapse_ms = lapse_ms
        self._lapsed: dict[str, float] = {}

    def merge(self, changes: objects.Changes, now: float) -> None:
        """Take changes, in order."""
        for change in changes.changes:
            stored = change.object
            known = self.objects.get(stored.name)
            if known is not None and known.revision > stored.revision:
                continue
            if change.removed:
                self._remove(stored.name, now)
            else:
                self._lapsed.pop(stored.name, None)
                self.objects[stored.name] = stored
        self.revision = max(self.revision, changes.revision)

    def replace(self, listing: objects.Listing, now: float) -> None:
        """Take a whole listing, unless a newer one is known."""
        if listing.revision < self.revision:
            return
        found = {stored.name: stored for stored in listing.objects}
        for name in self.objects.keys() - found.keys():
            self._remove(name, now)
        for name, stored in found.items():
            self._lapsed.pop(name, None)
            self.objects[name] = stored
        self.revision = listing.revision

    def expire(self, now: float) -> bool:
        """Remove what has not come back in time; tell whether any was."""
        if not self._lapsed:
            return False
        late = [name for name, end in self._lapsed.items() if now >= end]
        for name in late:
            del self._lapsed[name]
            self.objects.pop(name, None)
        return bool(late)

    def _remove(self, name: str, now: float) -> None:
        if now - self.recovered_at < self._lapse_ms and name in self.objects:
            self._lapsed.setdefault(name, self.recovered_at + self._lapse_ms)
        else:
            self.objects.pop(name, None)
            self._lapsed.pop(name, None)
