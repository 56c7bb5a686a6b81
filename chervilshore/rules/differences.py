"""Differences between two rules files, and the merge of two edits."""

from collections import abc
import enum

import msgspec

from chervilshore.rules import lines


class DifferenceKind(enum.Enum):
    """What has happened to a rule between two files."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"
    MOVED = "moved"


class Difference(msgspec.Struct, frozen=True):
    """A rule that differs between two files.

    Parameters
    ----------
    key : tuple of str
        Section and name of the rule.
    before, after : Line or None
        Its line in each file; None where the file has none.
    """

    kind: DifferenceKind
    key: tuple[str, str]
    before: lines.Line | None
    after: lines.Line | None

    def describe(self) -> list[str]:
        """Return the difference as lines that begin with -, + or ~."""
        if self.kind is DifferenceKind.MOVED:
            return [f"~ {self.after.format()}  (moved among the routes)"]
        found = []
        if self.before is not None:
            found.append(f"- {self.before.format()}")
        if self.after is not None:
            found.append(f"+ {self.after.format()}")
        return found

    def format_after(self) -> str:
        """Return the new line of the rule, or that it was removed."""
        if self.after is None:
            return f"removed: {self.before.format()}"
        return self.after.format()


class Conflict(msgspec.Struct, frozen=True):
    """A rule that two edits of the same generation changed differently.

    Parameters
    ----------
    file : str
        The file of the rejected edit.
    mine, theirs : Difference
        The change of the rejected edit and that of the accepted one.
    author, other : str
        The authors of the two, in the same order.
    """

    file: str
    mine: Difference
    theirs: Difference
    author: str = ""
    other: str = ""

    def __str__(self) -> str:
        """Return the conflict with both lines and both authors."""
        line = self.mine.after or self.mine.before
        other = self.theirs.after or self.theirs.before
        return (
            f"{self.file}:{line.number}: {' '.join(self.mine.key)}\n"
            f"  {self.author or 'you'}: {self.mine.format_after()}\n"
            f"  {self.other or 'others'}, line {other.number}: "
            f"{self.theirs.format_after()}"
        )


def compare(
    before: lines.Document, after: lines.Document
) -> tuple[Difference, ...]:
    """Return the rules that differ, in the order of the second file.

    Removed rules come last. A route that changes its place among the others
    differs too, as the first route that matches a request applies.
    """
    old = {line.key: line for line in before.lines}
    new = {line.key: line for line in after.lines}
    moved = _find_moved(before, after)
    found = []
    for key, line in new.items():
        earlier = old.get(key)
        if earlier is None:
            found.append(Difference(DifferenceKind.ADDED, key, None, line))
        elif _content(earlier) != _content(line):
            found.append(
                Difference(DifferenceKind.CHANGED, key, earlier, line)
            )
        elif key in moved:
            found.append(Difference(DifferenceKind.MOVED, key, earlier, line))
    for key, line in old.items():
        if key not in new:
            found.append(Difference(DifferenceKind.REMOVED, key, line, None))
    return tuple(found)


def find_conflicts(
    mine: abc.Iterable[Difference], theirs: abc.Iterable[Difference]
) -> tuple[tuple[Difference, Difference], ...]:
    """Return the pairs of differences that cannot both be applied."""
    others = {difference.key: difference for difference in theirs}
    found = []
    for difference in mine:
        other = others.get(difference.key)
        if other is None and _affects_route_order(difference):
            other = next(filter(_affects_route_order, others.values()), None)
        if other is not None and not _have_same_result(difference, other):
            found.append((difference, other))
    return tuple(found)


def join(
    mine: lines.Document,
    theirs: lines.Document,
    changed: abc.Iterable[Difference],
) -> str:
    """Merge the changes of one edit into another file.

    An added rule is placed after the rule that precedes it in the edited
    file, or at the end if there is none.

    Parameters
    ----------
    mine : Document
        The edited file.
    theirs : Document
        The file that the changes are applied to.
    changed : iterable of Difference
        The changes of the edit; none may conflict with `theirs`.

    Returns
    -------
    str
        The text of the merged file.
    """
    changes = {difference.key: difference for difference in changed}
    entries = [
        _replace(entry, changes)
        for entry in theirs.entries
        if not _is_removed(entry, changes)
    ]
    present = {line.key for line in theirs.lines}
    previous = None
    for line in mine.lines:
        added = line.key in changes and line.key not in present
        if added:
            entries.insert(_find_insertion_index(entries, previous), line)
        previous = line.key
    return write(entries)


def write(entries: abc.Iterable[lines.Line | str]) -> str:
    """Return the entries of a document as text."""
    rows = []
    for entry in entries:
        if isinstance(entry, lines.Line):
            rows.extend((*entry.comments_above, entry.format()))
        else:
            rows.append(entry)
    return "".join(row + "\n" for row in rows)


def _content(line: lines.Line) -> tuple:
    return line.tokens, line.comment, line.comments_above


def _find_moved(
    before: lines.Document, after: lines.Document
) -> set[tuple[str, str]]:
    old = [line.key for line in before.lines if line.kind == "route"]
    new = [line.key for line in after.lines if line.kind == "route"]
    common = set(old) & set(new)
    old = [key for key in old if key in common]
    new = [key for key in new if key in common]
    return {one for one, other in zip(old, new) if one != other}


def _affects_route_order(difference: Difference) -> bool:
    kinds = (DifferenceKind.ADDED, DifferenceKind.MOVED)
    return difference.key[0] == "route" and difference.kind in kinds


def _have_same_result(one: Difference, other: Difference) -> bool:
    if DifferenceKind.MOVED in (one.kind, other.kind) or one.key != other.key:
        return False
    if one.after is None or other.after is None:
        return one.after is other.after
    return _content(one.after) == _content(other.after)


def _is_removed(entry: lines.Line | str, changes: dict) -> bool:
    if isinstance(entry, str) or entry.key not in changes:
        return False
    return changes[entry.key].kind is DifferenceKind.REMOVED


def _replace(entry: lines.Line | str, changes: dict) -> lines.Line | str:
    if isinstance(entry, str) or entry.key not in changes:
        return entry
    return changes[entry.key].after


def _find_insertion_index(
    entries: list[lines.Line | str], previous: tuple[str, str] | None
) -> int:
    for index, entry in enumerate(entries):
        if isinstance(entry, lines.Line) and entry.key == previous:
            return index + 1
    return len(entries)
