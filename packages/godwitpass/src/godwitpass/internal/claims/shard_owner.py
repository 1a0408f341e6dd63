"""Serve one shard: write batches of claims with a compare-and-swap of the shard's head.

The compare-and-swap also fences stale owners: if another daemon wrote the head in the meantime, for
example during a pause of this one, the write fails on its revision; the owner then reads the shard
again and decides its claims anew.
"""

import random
from enum import Enum

import msgspec

from godwitpass.ids import Revision
from godwitpass.internal.actions import RecordEvent, Send, SetTimer
from godwitpass.internal.claims import events
from godwitpass.internal.claims.generations import GenerationTracker
from godwitpass.internal.claims.keys import MAX_CLOCK_SKEW_S, ShardId
from godwitpass.internal.claims.messages import ClaimMessage, ClaimRequest, StatusUpdate
from godwitpass.internal.claims.pacing import Backoff, WriteLimiter
from godwitpass.internal.claims.request_queue import (
    DECISION_TIMEOUT_S,
    STATUS_UPDATE_DELAY_S,
    RequestQueue,
)
from godwitpass.internal.claims.segment import Segment
from godwitpass.internal.claims.store_calls import (
    StoreAnswered,
    StoreDelete,
    StoreFailure,
    StoreGet,
    StoreList,
    StorePut,
)
from godwitpass.internal.claims.table import Head, ShardTable, decode_head
from godwitpass.store import Entry, EntryList, WriteResult

TABLE_IDLE_TIMEOUT_S = 600.0
"""Time without requests after which a shard's table is removed from memory."""

NO_REVISION = Revision(0)

OwnerAction = (
    Send[ClaimMessage] | SetTimer | RecordEvent | StoreGet | StoreList | StorePut | StoreDelete
)
Actions = list[OwnerAction]


class Phase(Enum):
    """Whether the shard's table is loaded, and which store call the owner waits for."""

    EMPTY = 0
    LOADING_HEAD = 1
    LOADING_SEGMENTS = 2
    READY = 3
    WRITING = 4
    SEALING = 5


class ShardOwner:
    """Owner of one shard, which decides the shard's claims.

    `now` is in seconds on a monotonic clock, `wall_time` in seconds since the epoch.
    """

    def __init__(
        self,
        shard: ShardId,
        generations: GenerationTracker,
        rng: random.Random,
        write_limiter: WriteLimiter,
    ) -> None:
        self.shard = shard
        self._generations = generations
        self._random = rng
        self._write_limiter = write_limiter
        self._backoff = Backoff(rng)
        self._phase = Phase.EMPTY
        self._request_id = 0
        self._table: ShardTable | None = None
        self._stale_table: ShardTable | None = None
        self._loaded_head: tuple[Head, Revision] | None = None
        self._segments: dict[str, Segment] = {}
        self._planned_segment: tuple[str, Segment] | None = None
        self._queue = RequestQueue(shard, generations)
        self._obsolete_segments: set[str] = set()
        self._last_used_at = 0.0
        self._idle_check_at = 0.0

    @property
    def is_loaded(self) -> bool:
        """Whether the shard's table is in memory."""
        return self._table is not None

    def add_claim(self, request: ClaimRequest, now: float, wall_time: float) -> Actions:
        """Queue a claim; a grant is sent only once the claim is stored."""
        self._last_used_at = now
        highest_generation = self._generations.record(self.shard, request.generation)
        if now < self._backoff.until:
            return [*self._queue.refuse(request, self._stale_table, wall_time)]
        if (
            self._phase is Phase.READY
            and self._table
            and self._table.generation < highest_generation
        ):
            self._phase = Phase.EMPTY
        refusals = self._queue.add_claim(request, now)
        return [*refusals, SetTimer(now + DECISION_TIMEOUT_S), *self._advance(now, wall_time)]

    def add_status_update(self, update: StatusUpdate, now: float, wall_time: float) -> Actions:
        """Queue a status update, to be written with the next claims or after a delay."""
        self._last_used_at = now
        if now < self._backoff.until:
            return []
        self._queue.add_status_update(update, now)
        return [SetTimer(now + STATUS_UPDATE_DELAY_S), *self._advance(now, wall_time)]

    def tick(self, now: float, wall_time: float) -> Actions:
        """Answer claims past their timeout, unload an idle table and write what is due."""
        actions: Actions = [*self._queue.expire(now, self._phase is Phase.WRITING)]
        if self._phase is Phase.READY and now >= self._idle_check_at:
            actions += self._check_idle(now)
        return actions + self._advance(now, wall_time)

    def handle_store_answer(self, event: StoreAnswered, now: float, wall_time: float) -> Actions:
        """Handle the answer to the store call in progress; any other answer is ignored."""
        if event.request_id != self._request_id:
            return []
        self._request_id += 1
        answer = event.answer
        if self._phase is Phase.SEALING:
            return self._finish_seal(answer, now, wall_time)
        if isinstance(answer, StoreFailure):
            return self._handle_failure(answer, now, wall_time)
        self._backoff.record_success()
        if isinstance(answer, Entry):
            return self._handle_head(answer, now, wall_time)
        if isinstance(answer, EntryList):
            return self._handle_segments(answer, now, wall_time)
        return self._finish_write(answer, now, wall_time)

    def _advance(self, now: float, wall_time: float) -> Actions:
        """Start the next store call if one is needed and none is in progress."""
        if now < self._backoff.until or self._queue.is_empty:
            return []
        if self._phase is Phase.EMPTY:
            self._phase = Phase.LOADING_HEAD
            return [StoreGet(self.shard, self._request_id, self._head_key)]
        if self._phase is not Phase.READY or not self._queue.has_due_request(now):
            return []
        next_write_at = self._write_limiter.compute_next_write_at(now)
        if next_write_at > now:
            return [SetTimer(next_write_at)]
        return self._write(now, wall_time)

    def _write(self, now: float, wall_time: float) -> Actions:
        table = self._table
        assert table is not None, "an owner is ready only with a loaded table"
        table.advance_low_watermark(wall_time)
        if not self._queue.apply_to(table, wall_time) and not table.is_write_required:
            return self._reply_to_batch(now, wall_time)
        self._phase = Phase.WRITING
        self._write_limiter.record_write(now)
        value = table.encode_next_head()
        return [StorePut(self.shard, self._request_id, self._head_key, value, table.revision)]

    def _finish_write(self, result: WriteResult, now: float, wall_time: float) -> Actions:
        if not result.written:
            self._phase = Phase.EMPTY
            self._table = None
            report = RecordEvent(events.SHARD_CONFLICT, {"shard": self.shard})
            return [report, *self._advance(now, wall_time)]
        table = self._table
        assert table is not None
        table.confirm_write(result.entry.revision)
        self._generations.record(self.shard, table.generation)
        # A segment that the head just written doesn't refer to can't get into another head: an
        # owner that is about to refer to it fails its compare-and-swap.
        obsolete = (self._obsolete_segments | set(self._segments)) - table.segment_names
        self._segments, self._obsolete_segments = table.segments, set()
        # Deletions count as writes.
        for _ in obsolete:
            self._write_limiter.record_write(now)
        deletions: Actions = [
            StoreDelete(f"{self._segment_prefix}{name}") for name in sorted(obsolete)
        ]
        return deletions + self._reply_to_batch(now, wall_time)

    def _reply_to_batch(self, now: float, wall_time: float) -> Actions:
        """Answer the requests whose decisions are stored."""
        self._phase = Phase.READY
        replies = self._queue.reply_to_applied()
        return [*replies, *(self._start_seal(now) or self._advance(now, wall_time))]

    def _start_seal(self, now: float) -> Actions:
        assert self._table is not None
        segment = self._table.plan_seal()
        if segment is None:
            return []
        self._write_limiter.record_write(now)
        # Names are random and never reused, so no head refers to the segment of a stale owner.
        self._planned_segment = (f"{self._random.getrandbits(63):016x}", segment)
        self._phase = Phase.SEALING
        key = f"{self._segment_prefix}{self._planned_segment[0]}"
        return [StorePut(self.shard, self._request_id, key, segment.packed, NO_REVISION)]

    def _finish_seal(
        self, answer: Entry | EntryList | WriteResult | StoreFailure, now: float, wall_time: float
    ) -> Actions:
        assert self._table is not None
        assert self._planned_segment is not None
        name, segment = self._planned_segment
        self._planned_segment = None
        self._phase = Phase.READY
        if isinstance(answer, WriteResult) and answer.written:
            replaced = self._table.seal(name, segment)
            self._segments[name] = segment
            if replaced is not None:
                self._obsolete_segments.add(replaced)
        else:
            self._obsolete_segments.add(name)
        return self._advance(now, wall_time)

    def _handle_head(self, entry: Entry, now: float, wall_time: float) -> Actions:
        try:
            head = decode_head(entry.value)
        except msgspec.DecodeError as error:
            return self._refuse_corrupt(str(error), now, wall_time)
        self._loaded_head = (head, entry.revision)
        if head.segments and not all(
            reference.name in self._segments for reference in head.segments
        ):
            self._phase = Phase.LOADING_SEGMENTS
            return [StoreList(self.shard, self._request_id, self._segment_prefix)]
        return self._build_table(now, wall_time)

    def _handle_segments(self, listing: EntryList, now: float, wall_time: float) -> Actions:
        assert self._loaded_head is not None
        head, _ = self._loaded_head
        referenced = {reference.name for reference in head.segments}
        self._segments = {}
        for entry in listing.entries:
            name = entry.key.removeprefix(self._segment_prefix)
            if name not in referenced:
                self._obsolete_segments.add(name)
                continue
            try:
                self._segments[name] = Segment(entry.value or b"")
            except ValueError as error:
                return self._refuse_corrupt(str(error), now, wall_time)
        return self._build_table(now, wall_time)

    def _build_table(self, now: float, wall_time: float) -> Actions:
        assert self._loaded_head is not None
        head, revision = self._loaded_head
        table = ShardTable(head, revision, self._segments)
        highest_generation = self._generations.get_highest(self.shard)
        loaded = RecordEvent(events.SHARD_LOADED, {"shard": self.shard, "claims": len(table)})
        actions: Actions = [loaded, *self._check_idle(now)]
        if table.has_missing_segments:
            actions.append(RecordEvent(events.SEGMENT_MISSING, {"shard": self.shard}))
        if table.generation < highest_generation:
            fields = {"shard": self.shard, "seen": highest_generation, "stored": table.generation}
            actions.append(RecordEvent(events.SHARD_ROLLED_BACK, dict(fields)))
            table.recover_from_rollback(int(wall_time) + MAX_CLOCK_SKEW_S, highest_generation)
        self._table = table
        self._stale_table = None
        self._phase = Phase.READY
        return actions + self._advance(now, wall_time)

    def _refuse_corrupt(self, reason: str, now: float, wall_time: float) -> Actions:
        report = RecordEvent(events.SHARD_CORRUPT, {"shard": self.shard, "reason": reason})
        return [report, *self._refuse_all(now, wall_time)]

    def _handle_failure(self, failure: StoreFailure, now: float, wall_time: float) -> Actions:
        """Handle a failed read, or a write that failed or whose effect is unknown."""
        was_writing = self._phase is Phase.WRITING
        if self._table is not None:
            self._stale_table = self._table
        self._phase = Phase.EMPTY
        self._table = None
        if was_writing and failure is StoreFailure.UNKNOWN:
            self._queue.mark_unsettled()
            report = RecordEvent(events.SHARD_UNSETTLED, {"shard": self.shard})
            return [report, *self._advance(now, wall_time)]
        if was_writing and self._stale_table is not None:
            self._queue.discard_applied(self._stale_table)
        report = RecordEvent(events.STORE_UNAVAILABLE, {"shard": self.shard})
        return [report, *self._refuse_all(now, wall_time)]

    def _refuse_all(self, now: float, wall_time: float) -> Actions:
        self._phase = Phase.EMPTY
        self._table = None
        self._backoff.record_failure(now)
        return [*self._queue.refuse_all(self._stale_table, wall_time)]

    def _check_idle(self, now: float) -> Actions:
        if now - self._last_used_at >= TABLE_IDLE_TIMEOUT_S:
            self._unload()
            return []
        self._idle_check_at = self._last_used_at + TABLE_IDLE_TIMEOUT_S
        return [SetTimer(self._idle_check_at)]

    def _unload(self) -> None:
        self._phase = Phase.EMPTY
        self._table = None
        self._segments = {}
        self._loaded_head = None

    @property
    def _head_key(self) -> str:
        return f"claims/{self.shard:02d}"

    @property
    def _segment_prefix(self) -> str:
        return f"{self._head_key}/"
