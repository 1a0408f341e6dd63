"""Claims and marks that wait at a shard's holder, and the answers decided for them."""

import msgspec

from godwitpass.internal.actions import Send
from godwitpass.internal.claims.decisions import Decision, apply_claim, apply_mark, recall
from godwitpass.internal.claims.generations import Generations
from godwitpass.internal.claims.keys import ShardId
from godwitpass.internal.claims.messages import (
    ClaimMessage,
    ClaimOutcome,
    ClaimReply,
    ClaimRequest,
    Mark,
    MarkReply,
)
from godwitpass.internal.claims.table import ShardTable

MAX_PENDING = 4096
PATIENCE_S = 1.0
"""Time after which a claim that could not be settled is answered."""

MARK_DELAY_S = 2.0
"""Time that marks wait for a claim to be written along with."""

Replies = list[Send[ClaimMessage]]


class _PendingClaim(msgspec.Struct):
    request: ClaimRequest
    expires_at: float
    is_unsettled: bool = False


class _PendingMark(msgspec.Struct):
    mark: Mark
    due_at: float


class Inbox:
    """Holds at most `MAX_PENDING` claims and as many marks, each once by its token."""

    def __init__(self, shard: ShardId, generations: Generations) -> None:
        self._shard = shard
        self._generations = generations
        self._claims: dict[int, _PendingClaim] = {}
        self._marks: dict[int, _PendingMark] = {}
        self._decisions: dict[int, Decision] = {}
        self._applied_marks: tuple[int, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Whether nothing waits."""
        return not (self._claims or self._marks)

    def add_claim(self, request: ClaimRequest, now: float) -> Replies:
        """Keep a claim; refused when there are too many."""
        if request.token in self._claims:
            return []
        if len(self._claims) >= MAX_PENDING:
            return self.refuse(request, None, 0.0)
        self._claims[request.token] = _PendingClaim(request, now + PATIENCE_S)
        return []

    def add_mark(self, mark: Mark, now: float) -> None:
        """Keep a mark; one too many is dropped, and its sender repeats it."""
        if len(self._marks) < MAX_PENDING:
            self._marks.setdefault(mark.token, _PendingMark(mark, now + MARK_DELAY_S))

    def is_due(self, now: float) -> bool:
        """Tell whether a claim waits, or a mark has waited long enough."""
        return bool(self._claims) or any(mark.due_at <= now for mark in self._marks.values())

    def decide(self, table: ShardTable, wall: float) -> bool:
        """Apply all that waits to `table`; False when no write is needed to answer."""
        changed = [apply_mark(table, pending.mark, wall) for pending in self._marks.values()]
        self._applied_marks = tuple(self._marks)
        self._decisions = {
            token: apply_claim(table, pending.request, wall)
            for token, pending in self._claims.items()
        }
        return any(changed) or any(decision.changed for decision in self._decisions.values())

    def answer_decided(self) -> Replies:
        """Answer what was decided, now that the table is stored."""
        replies: Replies = []
        for token, decision in self._decisions.items():
            request = self._claims.pop(token).request
            replies.append(self._reply(request, decision.outcome, decision.status))
        for token in self._applied_marks:
            replies.append(Send(self._marks.pop(token).mark.asker, MarkReply(token)))
        self._decisions, self._applied_marks = {}, ()
        return replies

    def withdraw_decided(self, table: ShardTable) -> None:
        """Take out of `table` what was decided and, as is known, not stored."""
        for token, decision in self._decisions.items():
            if decision.changed:
                table.withdraw(self._claims[token].request.key.digest)

    def note_unsettled(self) -> None:
        """Remember that a write of the waiting claims may have taken effect."""
        for pending in self._claims.values():
            pending.is_unsettled = True

    def expire(self, now: float, is_writing: bool) -> Replies:
        """Answer claims that ran out of patience; a write under way may still record them."""
        replies: Replies = []
        for token, pending in tuple(self._claims.items()):
            if pending.expires_at > now:
                continue
            pending.is_unsettled |= is_writing
            replies += self.refuse(pending.request, None, 0.0, pending.is_unsettled)
            del self._claims[token]
            self._decisions.pop(token, None)
        return replies

    def refuse_all(self, known: ShardTable | None, wall: float) -> Replies:
        """Answer all claims and drop the marks, whose senders repeat them."""
        replies = [
            reply
            for pending in self._claims.values()
            for reply in self.refuse(pending.request, known, wall, pending.is_unsettled)
        ]
        self._claims.clear()
        self._marks.clear()
        self._decisions, self._applied_marks = {}, ()
        return replies

    def refuse(
        self,
        request: ClaimRequest,
        known: ShardTable | None,
        wall: float,
        is_unsettled: bool = False,
    ) -> Replies:
        """Answer a claim that can't be decided now, from the table last known if it tells."""
        decision = recall(known, request, wall) if known is not None else None
        if decision is not None:
            return [self._reply(request, decision.outcome, decision.status)]
        outcome = ClaimOutcome.UNSETTLED if is_unsettled else ClaimOutcome.UNAVAILABLE
        return [self._reply(request, outcome)]

    def _reply(
        self, request: ClaimRequest, outcome: ClaimOutcome, status: int = 0
    ) -> Send[ClaimMessage]:
        generation = self._generations.highest(self._shard)
        return Send(request.asker, ClaimReply(request.token, outcome, status, generation))
