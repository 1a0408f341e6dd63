"""Queue of claims and status updates at a shard owner, with the decisions made for them."""

import msgspec

from godwitpass.internal.actions import Send
from godwitpass.internal.claims.decisions import (
    Decision,
    apply_claim,
    apply_status_update,
    find_earlier_attempt,
)
from godwitpass.internal.claims.generations import GenerationTracker
from godwitpass.internal.claims.keys import ShardId
from godwitpass.internal.claims.messages import (
    ClaimMessage,
    ClaimOutcome,
    ClaimReply,
    ClaimRequest,
    StatusUpdate,
    StatusUpdateReply,
)
from godwitpass.internal.claims.table import ShardTable

MAX_PENDING = 4096
DECISION_TIMEOUT_S = 1.0
"""Time after which a claim that can't be decided is answered as unavailable or unsettled."""

STATUS_UPDATE_DELAY_S = 2.0
"""How long a status update waits to share a write with a claim."""

Replies = list[Send[ClaimMessage]]


class _PendingClaim(msgspec.Struct):
    request: ClaimRequest
    expires_at: float
    is_unsettled: bool = False


class _PendingUpdate(msgspec.Struct):
    update: StatusUpdate
    due_at: float


class RequestQueue:
    """Queue of up to `MAX_PENDING` claims and as many status updates, without duplicate tokens."""

    def __init__(self, shard: ShardId, generations: GenerationTracker) -> None:
        self._shard = shard
        self._generations = generations
        self._claims: dict[int, _PendingClaim] = {}
        self._updates: dict[int, _PendingUpdate] = {}
        self._decisions: dict[int, Decision] = {}
        self._applied_updates: tuple[int, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Whether no claim and no status update is queued."""
        return not (self._claims or self._updates)

    def add_claim(self, request: ClaimRequest, now: float) -> Replies:
        """Queue a claim, or refuse it if the queue is full."""
        if request.token in self._claims:
            return []
        if len(self._claims) >= MAX_PENDING:
            return self.refuse(request, None, 0.0)
        self._claims[request.token] = _PendingClaim(request, now + DECISION_TIMEOUT_S)
        return []

    def add_status_update(self, update: StatusUpdate, now: float) -> None:
        """Queue a status update; if the queue is full it is dropped, and its sender resends it."""
        if len(self._updates) < MAX_PENDING:
            self._updates.setdefault(
                update.token, _PendingUpdate(update, now + STATUS_UPDATE_DELAY_S)
            )

    def has_due_request(self, now: float) -> bool:
        """Tell whether a claim is queued, or a status update has waited for its full delay."""
        return bool(self._claims) or any(update.due_at <= now for update in self._updates.values())

    def apply_to(self, table: ShardTable, wall_time: float) -> bool:
        """Apply all queued requests to `table`; False if they can be answered without a write."""
        changes = [
            apply_status_update(table, pending.update, wall_time)
            for pending in self._updates.values()
        ]
        self._applied_updates = tuple(self._updates)
        self._decisions = {
            token: apply_claim(table, pending.request, wall_time)
            for token, pending in self._claims.items()
        }
        return any(changes) or any(
            decision.has_changed_table for decision in self._decisions.values()
        )

    def reply_to_applied(self) -> Replies:
        """Answer and remove all applied requests, once the table is stored."""
        replies: Replies = []
        for token, decision in self._decisions.items():
            request = self._claims.pop(token).request
            replies.append(self._build_reply(request, decision.outcome, decision.status))
        for token in self._applied_updates:
            replies.append(
                Send(self._updates.pop(token).update.requester, StatusUpdateReply(token))
            )
        self._decisions, self._applied_updates = {}, ()
        return replies

    def discard_applied(self, table: ShardTable) -> None:
        """Remove from `table` the applied claims of a write that did not take effect."""
        for token, decision in self._decisions.items():
            if decision.has_changed_table:
                table.discard(self._claims[token].request.key.digest)

    def mark_unsettled(self) -> None:
        """Record that a write of the queued claims may have taken effect."""
        for pending in self._claims.values():
            pending.is_unsettled = True

    def expire(self, now: float, is_write_in_progress: bool) -> Replies:
        """Answer claims past their timeout; a write in progress may still record them."""
        replies: Replies = []
        for token, pending in tuple(self._claims.items()):
            if pending.expires_at > now:
                continue
            pending.is_unsettled |= is_write_in_progress
            replies += self.refuse(pending.request, None, 0.0, pending.is_unsettled)
            del self._claims[token]
            self._decisions.pop(token, None)
        return replies

    def refuse_all(self, stale_table: ShardTable | None, wall_time: float) -> Replies:
        """Answer all claims and drop all status updates, which their senders resend."""
        replies = [
            reply
            for pending in self._claims.values()
            for reply in self.refuse(pending.request, stale_table, wall_time, pending.is_unsettled)
        ]
        self._claims.clear()
        self._updates.clear()
        self._decisions, self._applied_updates = {}, ()
        return replies

    def refuse(
        self,
        request: ClaimRequest,
        stale_table: ShardTable | None,
        wall_time: float,
        is_unsettled: bool = False,
    ) -> Replies:
        """Answer a claim that can't be decided now, if possible from the last known table."""
        decision = (
            find_earlier_attempt(stale_table, request, wall_time)
            if stale_table is not None
            else None
        )
        if decision is not None:
            return [self._build_reply(request, decision.outcome, decision.status)]
        outcome = ClaimOutcome.UNSETTLED if is_unsettled else ClaimOutcome.UNAVAILABLE
        return [self._build_reply(request, outcome)]

    def _build_reply(
        self, request: ClaimRequest, outcome: ClaimOutcome, status: int = 0
    ) -> Send[ClaimMessage]:
        generation = self._generations.get_highest(self._shard)
        return Send(request.requester, ClaimReply(request.token, outcome, status, generation))
