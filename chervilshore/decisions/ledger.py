"""The records of a log of claims, built by replaying its batches."""

from collections import abc

import msgspec

from chervilshore.decisions import claims
from chervilshore import ids


class Ledger:
    """The records of one log up to a position.

    Attributes
    ----------
    position : Sequence
        The last batch that was applied.
    records : dict
        The records by key.
    changed : set
        Keys whose record changed since the last snapshot.
    written_at : dict
        Time at which the latest chunk with the key was written, in
        milliseconds of the shard's time; without meaning for changed keys.
    """

    def __init__(self) -> None:
        self.position = ids.Sequence(0)
        self.records: dict[ids.KeyDigest, claims.Record] = {}
        self.changed: set[ids.KeyDigest] = set()
        self.written_at: dict[ids.KeyDigest, float] = {}

    def load_chunk(
        self,
        records: abc.Mapping[ids.KeyDigest, claims.Record],
        written_ms: float,
    ) -> None:
        """Load a chunk of a snapshot; it replaces records of earlier ones.

        Parameters
        ----------
        records : mapping
            The records of the chunk by key.
        written_ms : float
            Time at which it was written, in milliseconds of the shard's time.
        """
        self.records.update(records)
        self.written_at.update(dict.fromkeys(records, written_ms))

    def copy_changed(self) -> dict[ids.KeyDigest, claims.Record]:
        """Return the records that changed since the last snapshot."""
        return {key: self.records[key] for key in self.changed}

    def record_snapshot(
        self,
        written: abc.Mapping[ids.KeyDigest, claims.Record],
        written_ms: float,
        oldest_ms: float,
    ) -> None:
        """Record that a snapshot was written, and remove expired records.

        Parameters
        ----------
        written : mapping
            The records in its new chunks by key.
        written_ms : float
            Time at which they were written, in milliseconds of the shard's
            time.
        oldest_ms : float
            Time of the oldest chunk that is kept, in the same unit.
        """
        for key, record in written.items():
            self.written_at[key] = written_ms
            if self.records[key] is record:
                self.changed.discard(key)
        expired = [
            key
            for key, time_ms in self.written_at.items()
            if time_ms < oldest_ms and key not in self.changed
        ]
        for key in expired:
            del self.written_at[key]
            del self.records[key]

    def apply(self, batch: claims.Batch) -> None:
        """Apply the batch that follows the position."""
        for entry in batch.entries:
            record = self._apply_entry(entry)
            if record is not None:
                self.records[entry.key] = record
                self.changed.add(entry.key)
        self.position = ids.Sequence(self.position + 1)

    def _apply_entry(self, entry: claims.Entry) -> claims.Record | None:
        record = self.records.get(entry.key)
        if isinstance(entry, claims.Claim):
            return self._apply_claim(entry, record)
        if isinstance(entry, claims.Release):
            return self._apply_release(entry, record)
        if record is None or record.claim != entry.claim:
            return None
        if record.state is not claims.ClaimState.OPEN:
            return None
        return msgspec.structs.replace(
            record, state=claims.ClaimState.DONE, recorded=entry.recorded
        )

    def _apply_claim(
        self, entry: claims.Claim, record: claims.Record | None
    ) -> claims.Record | None:
        if record is not None:
            if record.state is not claims.ClaimState.RELEASED:
                return None
            if record.claim == entry.claim or entry.resend < record.resend:
                return None
        return claims.Record(
            entry.claim,
            entry.body_digest,
            claims.ClaimState.OPEN,
            entry.resend,
            entry.budget_ms,
        )

    def _apply_release(
        self, entry: claims.Release, record: claims.Record | None
    ) -> claims.Record | None:
        # A release may precede its claim in the log; it then blocks the claim.
        if record is None:
            return claims.Record(
                entry.claim, "", claims.ClaimState.RELEASED, entry.resend
            )
        if record.claim == entry.claim:
            if record.state is not claims.ClaimState.OPEN:
                return None
            return msgspec.structs.replace(
                record, state=claims.ClaimState.RELEASED
            )
        if record.state is not claims.ClaimState.RELEASED:
            return None
        resend = max(record.resend, entry.resend)
        return claims.Record(
            entry.claim, "", claims.ClaimState.RELEASED, resend
        )

    def evaluate(self, entry: claims.Claim) -> claims.Verdict:
        """Return the verdict on a claim from the log read so far."""
        record = self.records.get(entry.key)
        if record is None:
            return claims.PENDING
        if record.claim == entry.claim:
            return self._evaluate_own(record)
        if record.state is claims.ClaimState.RELEASED:
            if entry.resend < record.resend:
                return claims.Verdict(
                    claims.VerdictState.SUPERSEDED, resend=record.resend
                )
            return claims.PENDING
        if record.body_digest != entry.body_digest:
            return claims.Verdict(claims.VerdictState.REUSED)
        if record.state is claims.ClaimState.DONE:
            return claims.Verdict(
                claims.VerdictState.REPLAY, recorded=record.recorded
            )
        return claims.Verdict(
            claims.VerdictState.OPEN, budget_ms=record.budget_ms
        )

    def _evaluate_own(self, record: claims.Record) -> claims.Verdict:
        if record.state is claims.ClaimState.OPEN:
            return claims.Verdict(claims.VerdictState.GRANTED)
        if record.state is claims.ClaimState.DONE:
            return claims.Verdict(
                claims.VerdictState.REPLAY, recorded=record.recorded
            )
        return claims.Verdict(
            claims.VerdictState.SUPERSEDED, resend=record.resend + 1
        )

    def is_recorded(self, entry: claims.Entry) -> bool:
        """Return whether an entry need not be written to the log.

        An outcome or a release of another claim than that of the record must
        be written, as its claim may be in a part of the log not yet read.
        """
        if isinstance(entry, claims.Claim):
            return (
                self.evaluate(entry).state is not claims.VerdictState.PENDING
            )
        record = self.records.get(entry.key)
        if record is None or record.claim != entry.claim:
            return False
        return record.state is not claims.ClaimState.OPEN
