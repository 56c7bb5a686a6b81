"""What hosts together know of endpoints that ended under requests.

Each fact is that an endpoint ended while a request with some fingerprint ran
there, and whether the fingerprint has been cleared of it. Facts are only added
and only change from open to cleared, so hosts that exchange them in any order
agree. They carry ages, as the clocks of hosts differ.
"""

import collections
from collections import abc
import itertools

import msgspec
import xxhash

from chervilshore.decisions import crashverdicts
from chervilshore.decisions import gossip
from chervilshore import fingerprints
from chervilshore import ids

RETENTION_MS = 14_400_000.0
"""Milliseconds for which a fact is kept; some times the longest hold."""

CLEAN_MS = 15_000.0
"""Milliseconds for which an answer clears what its request held of later ends:
longer than a pool takes to start again after all its endpoints ended."""

SAME_END_MS = 1000.0
"""Milliseconds within which all hosts notice that an endpoint has ended; it
takes longer to come back, perhaps under its name."""

MAX_FACTS = 4096
"""Facts that are kept; the oldest ends go first, but for those of a hold."""

MAX_ANSWERED = 4096
"""Fingerprints whose last answer is kept; the least recent ones go first."""

_HASH_MASK = (1 << 63) - 1


class Finding(msgspec.Struct, frozen=True, array_like=True):
    """A fact, as hosts send it to each other.

    Parameters
    ----------
    crash : CrashId
        The endpoint that ended.
    fingerprint : Fingerprint
        What a request held that ran there.
    age_ms : int
        Milliseconds since the endpoint ended.
    cleared : bool
        Whether an answer shows that it is not the cause.
    """

    crash: ids.CrashId
    fingerprint: ids.Fingerprint
    age_ms: int
    cleared: bool = False


class _Crash(msgspec.Struct):
    """An endpoint that ended, and which suspects are cleared of it."""

    at: float
    cleared: dict[ids.Fingerprint, bool]


class CrashEvidence:
    """The facts that one host knows, and the verdicts that follow."""

    def __init__(self) -> None:
        self._crashes: dict[ids.CrashId, _Crash] = {}
        self._answered: collections.OrderedDict[ids.Fingerprint, float] = (
            collections.OrderedDict()
        )
        self._queue = gossip.UpdateQueue()
        self._facts = 0
        self._dropped = 0
        self._digest = 0
        self._open: crashverdicts.Suspects = {}
        self._verdicts: dict[ids.Fingerprint, crashverdicts.Verdict] = {}

    @property
    def digest(self) -> int:
        """Hash of all facts; hosts that know the same have the same one."""
        return self._digest

    @property
    def verdicts(self) -> dict[ids.Fingerprint, crashverdicts.Verdict]:
        """What is held back."""
        return self._verdicts

    def has_news(self) -> bool:
        """Return whether there are facts to send to other hosts."""
        return bool(len(self._queue))

    def is_suspect(self, fingerprints: abc.Iterable[ids.Fingerprint]) -> bool:
        """Return whether endpoints ended under one at two moments or more."""
        for fingerprint in fingerprints:
            times = self._open.get(fingerprint, {}).values()
            if times and max(times) - min(times) >= crashverdicts.MOMENT_MS:
                return True
        return False

    def record_crash(
        self,
        crash: ids.CrashId,
        fingerprints: abc.Iterable[ids.Fingerprint],
        at: float,
        now: float,
    ) -> None:
        """Record that an endpoint ended at a time under a request of here."""
        crash = self._name_end(crash, at)
        for fingerprint in fingerprints:
            if not self._is_clean(fingerprint, at):
                self._add(crash, fingerprint, at, False, now)
        self._conclude(now)

    def _name_end(self, process: ids.CrashId, at: float) -> ids.CrashId:
        """Return the name of an end of an endpoint.

        An endpoint may come back as a process that cannot be told from the
        one before; its ends at other times get numbers.
        """
        name = process
        for number in itertools.count(1):
            known = self._crashes.get(name)
            if known is None or abs(at - known.at) <= SAME_END_MS:
                return name
            name = ids.CrashId(f"{process}#{number}")

    def record_answer(
        self, fingerprints: abc.Iterable[ids.Fingerprint], now: float
    ) -> dict[ids.Fingerprint, int]:
        """Record that an endpoint answered a request and still runs.

        Returns
        -------
        dict
            What is cleared by it, with the endpoints that ended under it.
        """
        cleared = {}
        for fingerprint in fingerprints:
            self._answered[fingerprint] = now
            self._answered.move_to_end(fingerprint)
            ends = tuple(self._open.get(fingerprint, ()))
            for crash in ends:
                self._clear(crash, fingerprint)
            if ends:
                cleared[fingerprint] = len(ends)
        while len(self._answered) > MAX_ANSWERED:
            self._answered.popitem(last=False)
        if cleared:
            self._conclude(now)
        return cleared

    def take_dropped(self) -> int:
        """Return how many facts did not fit since the last call."""
        dropped, self._dropped = self._dropped, 0
        return dropped

    def merge(self, findings: abc.Iterable[Finding], now: float) -> None:
        """Add the facts of another host."""
        digest = self._digest
        for one in findings:
            if fingerprints.read_kind(one.fingerprint) is None:
                continue
            at = now - max(0, one.age_ms)
            self._add(one.crash, one.fingerprint, at, one.cleared, now)
        if self._digest != digest:
            self._conclude(now)

    def select_news(
        self, max_findings: int, max_sends: int, now: float
    ) -> tuple[Finding, ...]:
        """Choose facts to send to other hosts.

        Parameters
        ----------
        max_findings : int
            Maximum number of facts.
        max_sends : int
            Times that a fact is sent.
        now : float
            The time in milliseconds.
        """
        chosen = self._queue.select(max_findings, max_sends)
        return tuple(
            self._make_finding(crash, fingerprint, now)
            for crash, fingerprint in chosen
            if crash in self._crashes
        )

    def list_all(self, now: float) -> tuple[Finding, ...]:
        """List all facts, those of the last ends first."""
        self._expire(now)
        return tuple(
            self._make_finding(crash, fingerprint, now)
            for crash in reversed(self._sort_crashes())
            for fingerprint in self._crashes[crash].cleared
        )

    def list_held(self) -> crashverdicts.Suspects:
        """List what is held back, with the endpoints that ended under it."""
        return {
            fingerprint: dict(self._open[fingerprint])
            for fingerprint in self._verdicts
        }

    def list_crashes(
        self, fingerprint: ids.Fingerprint
    ) -> tuple[ids.CrashId, ...]:
        """List the endpoints that ended under a suspect."""
        return tuple(self._open.get(fingerprint, ()))

    def _sort_crashes(self) -> list[ids.CrashId]:
        return sorted(self._crashes, key=lambda crash: self._crashes[crash].at)

    def _make_finding(
        self, crash: ids.CrashId, fingerprint: ids.Fingerprint, now: float
    ) -> Finding:
        known = self._crashes[crash]
        return Finding(
            crash, fingerprint, int(now - known.at), known.cleared[fingerprint]
        )

    def _add(
        self,
        crash: ids.CrashId,
        fingerprint: ids.Fingerprint,
        at: float,
        cleared: bool,
        now: float,
    ) -> None:
        if now - at > RETENTION_MS:
            return
        known = self._crashes.setdefault(crash, _Crash(at, {}))
        known.at = min(known.at, at)
        if fingerprint not in known.cleared:
            known.cleared[fingerprint] = False
            self._facts += 1
            self._toggle(crash, fingerprint)
            self._queue.add((crash, fingerprint))
        if cleared or self._is_clean(fingerprint, known.at):
            self._clear(crash, fingerprint)

    def _is_clean(self, fingerprint: ids.Fingerprint, at: float) -> bool:
        """Return whether an answer clears a fingerprint of an end."""
        answered = self._answered.get(fingerprint)
        return answered is not None and answered >= at - CLEAN_MS

    def _clear(self, crash: ids.CrashId, fingerprint: ids.Fingerprint) -> None:
        known = self._crashes.get(crash)
        if known is None or known.cleared.get(fingerprint, True):
            # It has expired since the verdicts were worked out, or is clear.
            return
        self._toggle(crash, fingerprint)
        known.cleared[fingerprint] = True
        self._toggle(crash, fingerprint)
        self._queue.add((crash, fingerprint))

    def _toggle(
        self, crash: ids.CrashId, fingerprint: ids.Fingerprint
    ) -> None:
        """Add a fact to the digest, or remove it."""
        cleared = self._crashes[crash].cleared[fingerprint]
        text = f"{crash}\x00{fingerprint}\x00{cleared}"
        self._digest ^= xxhash.xxh3_64_intdigest(text.encode()) & _HASH_MASK

    def _expire(self, now: float) -> None:
        for crash in self._sort_crashes():
            known = self._crashes[crash]
            is_old = now - known.at > RETENTION_MS
            if not is_old and self._facts <= MAX_FACTS:
                break
            # What is held back must not be forgotten for want of room.
            kept = {} if is_old else self._select_held(known)
            dropped = known.cleared.keys() - kept.keys()
            for fingerprint in dropped:
                self._toggle(crash, fingerprint)
                self._queue.discard((crash, fingerprint))
            self._facts -= len(dropped)
            if not is_old:
                self._dropped += len(dropped)
            known.cleared = kept
            if not kept:
                del self._crashes[crash]

    def _select_held(self, known: _Crash) -> dict[ids.Fingerprint, bool]:
        """Return the facts of an end that belong to what is held back."""
        return {
            fingerprint: cleared
            for fingerprint, cleared in known.cleared.items()
            if fingerprint in self._verdicts and not cleared
        }

    def _conclude(self, now: float) -> None:
        """Work out the verdicts anew."""
        self._expire(now)
        self._open = {}
        for crash, known in self._crashes.items():
            for fingerprint, cleared in known.cleared.items():
                if not cleared:
                    ends = self._open.setdefault(fingerprint, {})
                    ends[crash] = known.at
        self._verdicts = crashverdicts.reach(self._open)
