"""Contents of the stand-in store, without I/O: each call gets the current time."""

import random

import msgspec

from godwitpass.errors import StoreOutcomeUnknown, StoreUnavailable
from godwitpass.ids import LeaseId, Revision
from godwitpass.store import MAX_VALUE_BYTES, Entry, EntryList, WriteResult
from godwitpass_testkit.store.faults import Counts, Faults, RateLimiter


class _Record(msgspec.Struct, frozen=True):
    entry: Entry
    written_at_s: float
    lease: LeaseId | None = None


class _Lease(msgspec.Struct, frozen=True):
    ttl_s: float
    expires_at_s: float


class Backup(msgspec.Struct, frozen=True):
    """Snapshot of the contents, for `StoreState.restore`."""

    revision: Revision
    records: dict[str, _Record]


class StoreState:
    """Entries, leases, counters and faults of the store.

    `now` is in seconds and must not decrease. Methods raise `StoreUnavailable` when a call had no
    effect and `StoreOutcomeUnknown` when a write took effect but its answer is lost.
    """

    def __init__(self, seed: int = 0) -> None:
        self.faults = Faults()
        self.counts = Counts()
        self.revision = Revision(0)
        # Contains deleted keys, with an entry without a value, so that watches see the deletions.
        self._records: dict[str, _Record] = {}
        self._leases: dict[LeaseId, _Lease] = {}
        self._random = random.Random(seed)
        self._read_limiter, self._write_limiter = RateLimiter(), RateLimiter()

    def get(self, key: str, now: float) -> Entry:
        """Return the entry at `key`; an absent one has no value and revision 0."""
        self._admit_read(now)
        return self._count_sent(self._get_entry(key))

    def list(self, prefix: str, now: float) -> EntryList:
        """Return all present entries whose key starts with `prefix`, oldest first."""
        self._admit_read(now)
        entries = [entry for entry in self._list_entries(prefix) if entry.value is not None]
        return EntryList(self.revision, tuple(self._count_sent(entry) for entry in entries))

    def put(
        self,
        key: str,
        value: bytes,
        expected: Revision | None,
        lease: LeaseId | None,
        now: float,
    ) -> WriteResult:
        """Write `value` if the entry is at revision `expected`; None writes always."""
        self._admit_write(now)
        if len(value) > MAX_VALUE_BYTES:
            raise StoreUnavailable(f"value of {len(value)} bytes exceeds {MAX_VALUE_BYTES}")
        if lease is not None and lease not in self._leases:
            raise StoreUnavailable(f"lease {lease} has lapsed")
        self.counts.bytes_in += len(value)
        result = self._write(key, value, expected, lease, now)
        self._raise_if_answer_lost()
        return result

    def delete(self, key: str, expected: Revision | None, now: float) -> WriteResult:
        """Delete `key` if it is at revision `expected`; None deletes always."""
        self._admit_write(now)
        result = self._write(key, None, expected, None, now)
        self._raise_if_answer_lost()
        return result

    def start_watch(self, now: float) -> None:
        """Admit and count a watch, which is also one read."""
        self._admit_read(now)
        self.counts.watches += 1

    def list_changes(self, prefix: str, after: Revision, now: float) -> EntryList:
        """Return the changes that a watch may see by `now`, only the newest one of each key.

        The returned revision precedes the first delayed change, so that the next watch returns
        that change, unless the faults say otherwise.
        """
        self.end_expired_leases(now)
        entries = tuple(entry for entry in self._list_entries(prefix) if entry.revision > after)
        delayed = tuple(entry for entry in entries if self._is_delayed(entry, now))
        if delayed and not self.faults.watch_covers_delayed:
            revision = Revision(delayed[0].revision - 1)
        else:
            revision = self.revision
        visible = tuple(
            entry for entry in entries if entry.revision <= revision and entry not in delayed
        )
        if self.faults.watch_reversed:
            visible = visible[::-1]
        if self.faults.watch_repeated:
            visible += visible
        return EntryList(revision, tuple(self._count_sent(entry) for entry in visible))

    def grant_lease(self, ttl_s: float, now: float) -> LeaseId:
        """Create a lease that expires `ttl_s` seconds from now unless renewed."""
        self._admit_write(now)
        lease = LeaseId(self._random.getrandbits(48))
        self._leases[lease] = _Lease(ttl_s, now + ttl_s)
        self._raise_if_answer_lost()
        return lease

    def renew_lease(self, lease: LeaseId, now: float) -> bool:
        """Renew `lease`; return False when it has expired."""
        self._admit_write(now)
        granted = self._leases.get(lease)
        if granted is not None:
            self._leases[lease] = _Lease(granted.ttl_s, now + granted.ttl_s)
        self._raise_if_answer_lost()
        return granted is not None

    def revoke_lease(self, lease: LeaseId, now: float) -> None:
        """Revoke `lease` and delete its keys."""
        self._admit_write(now)
        self._end_lease(lease, now)
        self._raise_if_answer_lost()

    def expire_all_leases(self, now: float) -> None:
        """Expire all leases at once, as if their holders had been paused for too long."""
        for lease in tuple(self._leases):
            self._end_lease(lease, now)

    def end_expired_leases(self, now: float) -> None:
        """End the leases that have expired by `now` and delete their keys."""
        for lease, granted in tuple(self._leases.items()):
            if granted.expires_at_s <= now:
                self._end_lease(lease, now)

    def save(self) -> Backup:
        """Return a copy of the contents."""
        return Backup(self.revision, dict(self._records))

    def restore(self, backup: Backup) -> None:
        """Restore the entries and the revision of `backup`; all leases end."""
        self.revision = backup.revision
        self._records = dict(backup.records)
        self._leases.clear()

    def _list_entries(self, prefix: str) -> tuple[Entry, ...]:
        entries = [record.entry for key, record in self._records.items() if key.startswith(prefix)]
        return tuple(sorted(entries, key=lambda entry: entry.revision))

    def _is_delayed(self, entry: Entry, now: float) -> bool:
        return now < self._records[entry.key].written_at_s + self.faults.watch_delay_s

    def _get_entry(self, key: str) -> Entry:
        record = self._records.get(key)
        if record is None or record.entry.value is None:
            return Entry(key, None, Revision(0))
        return record.entry

    def _write(
        self,
        key: str,
        value: bytes | None,
        expected: Revision | None,
        lease: LeaseId | None,
        now: float,
    ) -> WriteResult:
        current = self._get_entry(key)
        if expected is not None and expected != current.revision:
            return WriteResult(False, current)
        self.revision = Revision(self.revision + 1)
        entry = Entry(key, value, self.revision)
        self._records[key] = _Record(entry, now, lease)
        return WriteResult(True, entry)

    def _end_lease(self, lease: LeaseId, now: float) -> None:
        self._leases.pop(lease, None)
        for key, record in tuple(self._records.items()):
            if record.lease == lease and record.entry.value is not None:
                self._write(key, None, None, None, now)

    def _admit_read(self, now: float) -> None:
        self.end_expired_leases(now)
        self._admit(self._read_limiter.admit(self.faults.read_rate, now))
        self.counts.reads += 1

    def _admit_write(self, now: float) -> None:
        self.end_expired_leases(now)
        self._admit(self._write_limiter.admit(self.faults.write_rate, now))
        self.counts.writes += 1

    def _admit(self, is_within_rate: bool) -> None:
        if self.faults.down or not is_within_rate:
            self.counts.refused += 1
            raise StoreUnavailable("the store is down" if self.faults.down else "rate exceeded")

    def _count_sent(self, entry: Entry) -> Entry:
        self.counts.bytes_out += len(entry.value or b"")
        return entry

    def _raise_if_answer_lost(self) -> None:
        remaining = self.faults.lost_answers
        if remaining:
            self.faults = msgspec.structs.replace(self.faults, lost_answers=remaining - 1)
            raise StoreOutcomeUnknown("the answer was lost")
