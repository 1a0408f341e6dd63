"""Serves one shard: batches claims into one compare-and-swap of the shard's head.

The swap is also the fence: a holder that was paused, or that another daemon overtook, fails by
revision, reads the shard again and decides its claims anew.
"""

import random
from enum import Enum

import msgspec

from godwitpass.ids import Revision
from godwitpass.internal.actions import RecordEvent, Send, SetTimer
from godwitpass.internal.claims import events
from godwitpass.internal.claims.generations import Generations
from godwitpass.internal.claims.request_queue import MARK_DELAY_S, PATIENCE_S, Inbox
from godwitpass.internal.claims.keys import MAX_SKEW_S, ShardId
from godwitpass.internal.claims.messages import ClaimMessage, ClaimRequest, Mark
from godwitpass.internal.claims.pacing import Backoff, Pacing
from godwitpass.internal.claims.segment import Segment
from godwitpass.internal.claims.store_calls import (
    StoreFailure,
    StoreAnswered,
    StoreDelete,
    StoreGet,
    StoreList,
    StorePut,
)
from godwitpass.internal.claims.table import Head, ShardTable, decode_head
from godwitpass.store import Entry, WriteResult, EntryList

TABLE_IDLE_S = 600.0
NO_REVISION = Revision(0)

HolderAction = Send[ClaimMessage] | SetTimer | RecordEvent | StoreGet | StoreList | StorePut | StoreDelete
Actions = list[HolderAction]


class Phase(Enum):
    """What a holder waits for."""

    EMPTY = 0
    LOADING_HEAD = 1
    LOADING_SEGMENTS = 2
    READY = 3
    WRITING = 4
    SEALING = 5


class ShardHolder:
    """Decides the claims of one shard; `wall` is seconds since the epoch, `now` monotonic."""

    def __init__(
        self, shard: ShardId, generations: Generations, rng: random.Random, pacing: Pacing
    ) -> None:
        self.shard = shard
        self._generations = generations
        self._random = rng
        self._pacing = pacing
        self._backoff = Backoff(rng)
        self._phase = Phase.EMPTY
        self._step = 0
        self._table: ShardTable | None = None
        self._known: ShardTable | None = None
        self._head: tuple[Head, Revision] | None = None
        self._segments: dict[str, Segment] = {}
        self._planned: tuple[str, Segment] | None = None
        self._inbox = Inbox(shard, generations)
        self._obsolete: set[str] = set()
        self._used_at = 0.0
        self._idle_check_at = 0.0

    @property
    def is_loaded(self) -> bool:
        """Whether the shard is in memory."""
        return self._table is not None

    def ask(self, request: ClaimRequest, now: float, wall: float) -> Actions:
        """Take a claim; it is answered once it is written."""
        self._used_at = now
        known = self._generations.record(self.shard, request.generation)
        if now < self._backoff.until:
            return [*self._inbox.refuse(request, self._known, wall)]
        if self._phase is Phase.READY and self._table and self._table.generation < known:
            self._phase = Phase.EMPTY
        refusals = self._inbox.add_claim(request, now)
        return [*refusals, SetTimer(now + PATIENCE_S), *self._proceed(now, wall)]

    def mark(self, mark: Mark, now: float, wall: float) -> Actions:
        """Take what became of a claim; it is written along with the next claims."""
        self._used_at = now
        if now < self._backoff.until:
            return []
        self._inbox.add_mark(mark, now)
        return [SetTimer(now + MARK_DELAY_S), *self._proceed(now, wall)]

    def tick(self, now: float, wall: float) -> Actions:
        """Answer claims that ran out of patience, write what is due, forget an unused table."""
        actions: Actions = [*self._inbox.expire(now, self._phase is Phase.WRITING)]
        if self._phase is Phase.READY and now >= self._idle_check_at:
            actions += self._check_idle(now)
        return actions + self._proceed(now, wall)

    def receive(self, event: StoreAnswered, now: float, wall: float) -> Actions:
        """Take the store's answer to the call under way."""
        if event.request_id != self._step:
            return []
        self._step += 1
        answer = event.answer
        if self._phase is Phase.SEALING:
            return self._finish_seal(answer, now, wall)
        if isinstance(answer, StoreFailure):
            return self._fail(answer, now, wall)
        self._backoff.record_success()
        if isinstance(answer, Entry):
            return self._read_head(answer, now, wall)
        if isinstance(answer, EntryList):
            return self._read_segments(answer, now, wall)
        return self._finish_write(answer, now, wall)

    def _proceed(self, now: float, wall: float) -> Actions:
        """Start the next call to the store, if one is needed and none is under way."""
        if now < self._backoff.until or self._inbox.is_empty:
            return []
        if self._phase is Phase.EMPTY:
            self._phase = Phase.LOADING_HEAD
            return [StoreGet(self.shard, self._step, self._head_key)]
        if self._phase is not Phase.READY or not self._inbox.is_due(now):
            return []
        writable_at = self._pacing.next_write(now)
        if writable_at > now:
            return [SetTimer(writable_at)]
        return self._write(now, wall)

    def _write(self, now: float, wall: float) -> Actions:
        table = self._table
        assert table is not None, "a holder is ready once its table is read"
        table.advance_floor(wall)
        if not self._inbox.decide(table, wall) and not table.must_write:
            return self._answer_batch(now, wall)
        self._phase = Phase.WRITING
        self._pacing.take(now)
        value = table.encode_next()
        return [StorePut(self.shard, self._step, self._head_key, value, table.revision)]

    def _finish_write(self, result: WriteResult, now: float, wall: float) -> Actions:
        if not result.written:
            self._phase = Phase.EMPTY
            self._table = None
            report = RecordEvent(events.SHARD_CONFLICT, {"shard": self.shard})
            return [report, *self._proceed(now, wall)]
        table = self._table
        assert table is not None
        table.confirm(result.entry.revision)
        self._generations.record(self.shard, table.generation)
        # Only what the head just written doesn't refer to: no other head can refer to it either.
        obsolete = (self._obsolete | set(self._segments)) - table.segment_names
        self._segments, self._obsolete = table.segments, set()
        for _ in obsolete:
            self._pacing.take(now)
        deletions: Actions = [StoreDelete(f"{self._prefix}{name}") for name in sorted(obsolete)]
        return deletions + self._answer_batch(now, wall)

    def _answer_batch(self, now: float, wall: float) -> Actions:
        """Answer what is decided and stored."""
        self._phase = Phase.READY
        replies = self._inbox.answer_decided()
        return [*replies, *(self._start_seal(now) or self._proceed(now, wall))]

    def _start_seal(self, now: float) -> Actions:
        assert self._table is not None
        segment = self._table.plan_seal()
        if segment is None:
            return []
        # A name is never used twice, so that an overtaken holder's segment is never referred to.
        self._pacing.take(now)
        self._planned = (f"{self._random.getrandbits(63):016x}", segment)
        self._phase = Phase.SEALING
        key = f"{self._prefix}{self._planned[0]}"
        return [StorePut(self.shard, self._step, key, segment.packed, NO_REVISION)]

    def _finish_seal(
        self, answer: Entry | EntryList | WriteResult | StoreFailure, now: float, wall: float
    ) -> Actions:
        assert self._table is not None
        assert self._planned is not None
        name, segment = self._planned
        self._planned = None
        self._phase = Phase.READY
        if isinstance(answer, WriteResult) and answer.written:
            replaced = self._table.seal(name, segment)
            self._segments[name] = segment
            if replaced is not None:
                self._obsolete.add(replaced)
        else:
            self._obsolete.add(name)
        return self._proceed(now, wall)

    def _read_head(self, entry: Entry, now: float, wall: float) -> Actions:
        try:
            head = decode_head(entry.value)
        except msgspec.DecodeError as error:
            return self._refuse_corrupt(str(error), now, wall)
        self._head = (head, entry.revision)
        if head.segments and not all(ref.name in self._segments for ref in head.segments):
            self._phase = Phase.LOADING_SEGMENTS
            return [StoreList(self.shard, self._step, self._prefix)]
        return self._build_table(now, wall)

    def _read_segments(self, listed: EntryList, now: float, wall: float) -> Actions:
        assert self._head is not None
        head, _ = self._head
        wanted = {reference.name for reference in head.segments}
        self._segments = {}
        for entry in listed.entries:
            name = entry.key.removeprefix(self._prefix)
            if name not in wanted:
                self._obsolete.add(name)
                continue
            try:
                self._segments[name] = Segment(entry.value or b"")
            except ValueError as error:
                return self._refuse_corrupt(str(error), now, wall)
        return self._build_table(now, wall)

    def _build_table(self, now: float, wall: float) -> Actions:
        assert self._head is not None
        head, revision = self._head
        table = ShardTable(head, revision, self._segments)
        seen = self._generations.highest(self.shard)
        loaded = RecordEvent(events.SHARD_LOADED, {"shard": self.shard, "claims": len(table)})
        actions: Actions = [loaded, *self._check_idle(now)]
        if table.has_missing_segments:
            actions.append(RecordEvent(events.SEGMENT_MISSING, {"shard": self.shard}))
        if table.generation < seen:
            fields = {"shard": self.shard, "seen": seen, "stored": table.generation}
            actions.append(RecordEvent(events.SHARD_ROLLED_BACK, dict(fields)))
            table.recover(int(wall) + MAX_SKEW_S, seen)
        self._table = table
        self._known = None
        self._phase = Phase.READY
        return actions + self._proceed(now, wall)

    def _refuse_corrupt(self, reason: str, now: float, wall: float) -> Actions:
        report = RecordEvent(events.SHARD_CORRUPT, {"shard": self.shard, "reason": reason})
        return [report, *self._refuse_all(now, wall)]

    def _fail(self, failure: StoreFailure, now: float, wall: float) -> Actions:
        """Handle a read that failed, or a write that failed or may have taken effect."""
        was_writing = self._phase is Phase.WRITING
        if self._table is not None:
            self._known = self._table
        self._phase = Phase.EMPTY
        self._table = None
        if was_writing and failure is StoreFailure.UNKNOWN:
            self._inbox.note_unsettled()
            report = RecordEvent(events.SHARD_UNSETTLED, {"shard": self.shard})
            return [report, *self._proceed(now, wall)]
        if was_writing and self._known is not None:
            self._inbox.withdraw_decided(self._known)
        report = RecordEvent(events.SHARD_UNAVAILABLE, {"shard": self.shard})
        return [report, *self._refuse_all(now, wall)]

    def _refuse_all(self, now: float, wall: float) -> Actions:
        self._phase = Phase.EMPTY
        self._table = None
        self._backoff.record_failure(now)
        return [*self._inbox.refuse_all(self._known, wall)]

    def _check_idle(self, now: float) -> Actions:
        if now - self._used_at >= TABLE_IDLE_S:
            self._forget()
            return []
        self._idle_check_at = self._used_at + TABLE_IDLE_S
        return [SetTimer(self._idle_check_at)]

    def _forget(self) -> None:
        self._phase = Phase.EMPTY
        self._table = None
        self._segments = {}
        self._head = None

    @property
    def _head_key(self) -> str:
        return f"claims/{self.shard:02d}"

    @property
    def _prefix(self) -> str:
        return f"{self._head_key}/"
