"""The records of a log of claims, folded from its batches."""

from collections import abc

import msgspec

from chervilshore.decisions import claims
from chervilshore import ids


class Ledger:
    """The records of one log, up to a position.

    Attributes
    ----------
    position : Sequence
        The last batch that is folded in.
    records : dict
        The records by key.
    touched : set
        Keys whose record changed since the last snapshot.
    stamps : dict
        For the other keys, the shard's time at which their chunk was
        written, in milliseconds.
    """

    def __init__(self) -> None:
        self.position = ids.Sequence(0)
        self.records: dict[ids.KeyDigest, claims.Record] = {}
        self.touched: set[ids.KeyDigest] = set()
        self.stamps: dict[ids.KeyDigest, float] = {}

    def load_chunk(
        self,
        records: abc.Mapping[ids.KeyDigest, claims.Record],
        written_ms: float,
    ) -> None:
        """Take in a chunk of a snapshot, which goes over earlier ones."""
        self.records.update(records)
        self.stamps.update(dict.fromkeys(records, written_ms))

    def copy_changed(self) -> dict[ids.KeyDigest, claims.Record]:
        """Copy the records that changed since the last snapshot."""
        return {key: self.records[key] for key in self.touched}

    def record_snapshot(
        self,
        sealed: abc.Mapping[ids.KeyDigest, claims.Record],
        written_ms: float,
        oldest_ms: float,
    ) -> None:
        """Note that records stand in a snapshot, and forget old ones.

        Parameters
        ----------
        sealed : mapping
            What was written.
        written_ms : float
            The shard's time at which it was written, in milliseconds.
        oldest_ms : float
            The shard's time of the oldest chunk that is kept.
        """
        for key, record in sealed.items():
            self.stamps[key] = written_ms
            if self.records[key] is record:
                self.touched.discard(key)
        old = [
            key
            for key, at in self.stamps.items()
            if at < oldest_ms and key not in self.touched
        ]
        for key in old:
            del self.stamps[key]
            del self.records[key]

    def apply(self, batch: claims.Batch) -> None:
        """Fold in the batch that follows the position."""
        for entry in batch.entries:
            record = self._fold(entry)
            if record is not None:
                self.records[entry.key] = record
                self.touched.add(entry.key)
        self.position = ids.Sequence(self.position + 1)

    def _fold(self, entry: claims.Entry) -> claims.Record | None:
        record = self.records.get(entry.key)
        if isinstance(entry, claims.Claim):
            return self._fold_claim(entry, record)
        if isinstance(entry, claims.Release):
            return self._fold_release(entry, record)
        if record is None or record.claim != entry.claim:
            return None
        if record.state is not claims.ClaimState.OPEN:
            return None
        return msgspec.structs.replace(
            record, state=claims.ClaimState.DONE, recorded=entry.recorded
        )

    def _fold_claim(
        self, entry: claims.Claim, record: claims.Record | None
    ) -> claims.Record | None:
        if record is not None:
            if record.state is not claims.ClaimState.RELEASED:
                return None
            if record.claim == entry.claim or entry.resend < record.resend:
                return None
        return claims.Record(
            entry.claim,
            entry.body,
            claims.ClaimState.OPEN,
            entry.resend,
            entry.budget_ms,
        )

    def _fold_release(
        self, entry: claims.Release, record: claims.Record | None
    ) -> claims.Record | None:
        # A release may overtake its claim; it then bars the claim.
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
        """Tell what the log, as far as it was read, says of a claim."""
        record = self.records.get(entry.key)
        if record is None:
            return claims.PENDING
        if record.claim == entry.claim:
            return self._judge_own(record)
        if record.state is claims.ClaimState.RELEASED:
            if entry.resend < record.resend:
                return claims.Verdict(
                    claims.VerdictState.SUPERSEDED, resend=record.resend
                )
            return claims.PENDING
        if record.body != entry.body:
            return claims.Verdict(claims.VerdictState.REUSED)
        if record.state is claims.ClaimState.DONE:
            return claims.Verdict(
                claims.VerdictState.REPLAY, recorded=record.recorded
            )
        return claims.Verdict(
            claims.VerdictState.OPEN, budget_ms=record.budget_ms
        )

    def _judge_own(self, record: claims.Record) -> claims.Verdict:
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
        """Tell whether the log needs no writing for an entry.

        An outcome or a release that names another claim than the record
        may be ahead of what was read, so it is written.
        """
        if isinstance(entry, claims.Claim):
            return (
                self.evaluate(entry).state is not claims.VerdictState.PENDING
            )
        record = self.records.get(entry.key)
        if record is None or record.claim != entry.claim:
            return False
        return record.state is not claims.ClaimState.OPEN
