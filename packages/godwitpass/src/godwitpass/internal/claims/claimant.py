"""The asking side: one claim for each sending of a caller, answered once."""

import msgspec

from godwitpass.ids import Address
from godwitpass.internal.actions import Send, SetTimer
from godwitpass.internal.claims.decisions import is_acceptable
from godwitpass.internal.claims.generations import Generations
from godwitpass.internal.claims.keys import ClaimKey, Digest
from godwitpass.internal.claims.messages import (
    ANSWERED,
    LAST_HTTP_STATUS,
    RELEASED,
    ClaimMessage,
    ClaimOutcome,
    ClaimReply,
    ClaimRequest,
    Mark,
    MarkReply,
)
from godwitpass.internal.claims.placement import Placement

ASK_AGAIN_S = 0.4
"""Time without an answer after which a claim is sent again; a busy shard writes each 0.16 s."""

ASKS_PER_HOLDER = 2
MARK_AGAIN_S = 3.0
MARK_ATTEMPTS = 5
MAX_MARKS = 4096
MAX_REMEMBERED = 4096
NOT_RUN = (ClaimOutcome.UNAVAILABLE, ClaimOutcome.UNSETTLED)


class Resolve(msgspec.Struct, frozen=True):
    """Answers the asker; `GRANTED` is given at most once for a token."""

    token: int
    outcome: ClaimOutcome
    status: int = 0


class _Question(msgspec.Struct):
    key: ClaimKey
    deadline: float
    ask_at: float
    asks: int = 0


class _OpenMark(msgspec.Struct):
    mark: Mark
    send_at: float
    attempts: int = 0


ClaimantAction = Send[ClaimMessage] | SetTimer | Resolve
Actions = list[ClaimantAction]


class Claimant:
    """Asks the holders of shards; a call may be sent only after `GRANTED`."""

    def __init__(self, own: Address, placement: Placement, generations: Generations) -> None:
        self._own = own
        self._placement = placement
        self._generations = generations
        self._questions: dict[int, _Question] = {}
        self._granted: dict[int, ClaimKey] = {}
        self._sent: dict[Digest, None] = {}
        self._marks: dict[int, _OpenMark] = {}

    def ask(self, token: int, key: ClaimKey, now: float, wall: float, deadline: float) -> Actions:
        """Claim `key` before `deadline`; `token` is never used for another sending."""
        assert token not in self._questions, "a token stands for one sending"
        if not is_acceptable(key, wall):
            return [Resolve(token, ClaimOutcome.EXPIRED)]
        self._questions[token] = _Question(key, deadline, now)
        return [SetTimer(deadline), *self._send_question(token, now)]

    def cancel(self, token: int, now: float) -> Actions:
        """Give up a sending that was not granted yet, or whose call was not sent."""
        question = self._questions.pop(token, None)
        if question is not None:
            return self._open_mark(token, question.key, RELEASED, now)
        key = self._granted.pop(token, None)
        if key is None:
            return []
        self._sent.pop(key.digest, None)
        return self._open_mark(token, key, RELEASED, now)

    def complete(self, token: int, status: int, now: float) -> Actions:
        """Record that the granted call was answered, with an HTTP status or `ANSWERED`."""
        assert ANSWERED <= status <= LAST_HTTP_STATUS
        key = self._granted.pop(token, None)
        return self._open_mark(token, key, status, now) if key is not None else []

    def abandon(self, token: int) -> None:
        """Leave a granted claim as it is: whether its call ran is not known."""
        self._granted.pop(token, None)

    def receive(self, message: ClaimReply | MarkReply, now: float) -> Actions:
        """Take a holder's answer; one that nobody waits for is ignored."""
        if isinstance(message, MarkReply):
            self._marks.pop(message.token, None)
            return []
        question = self._questions.pop(message.token, None)
        if question is None:
            return []
        self._generations.record(question.key.shard, message.generation)
        if message.outcome is ClaimOutcome.GRANTED:
            self._granted[message.token] = question.key
            self._remember(question.key)
            return [Resolve(message.token, message.outcome)]
        actions: Actions = [self._refuse(message.token, question.key, message)]
        # Another holder that was asked may still record this claim.
        if message.outcome is ClaimOutcome.UNSETTLED or question.asks > 1:
            actions += self._open_mark(message.token, question.key, RELEASED, now)
        return actions

    def tick(self, now: float) -> Actions:
        """Repeat what was not answered, and answer what is past its deadline."""
        actions: Actions = []
        for token, question in tuple(self._questions.items()):
            if question.deadline <= now:
                del self._questions[token]
                late = ClaimReply(token, ClaimOutcome.UNSETTLED, 0, 0)
                actions.append(self._refuse(token, question.key, late))
                actions += self._open_mark(token, question.key, RELEASED, now)
            elif question.ask_at <= now:
                actions += self._send_question(token, now)
        for token, opened in tuple(self._marks.items()):
            if opened.send_at <= now:
                actions += self._send_mark(token, opened, now)
        return actions

    def _remember(self, key: ClaimKey) -> None:
        if len(self._sent) >= MAX_REMEMBERED:
            del self._sent[next(iter(self._sent))]
        self._sent[key.digest] = None

    def _refuse(self, token: int, key: ClaimKey, reply: ClaimReply) -> Resolve:
        """Answer what the holder did, except that a call sent from here is never "not run"."""
        if reply.outcome in NOT_RUN and key.digest in self._sent:
            return Resolve(token, ClaimOutcome.UNKNOWN)
        return Resolve(token, reply.outcome, reply.status)

    def _send_question(self, token: int, now: float) -> Actions:
        question = self._questions[token]
        rank = question.asks // ASKS_PER_HOLDER
        question.asks += 1
        question.ask_at = now + ASK_AGAIN_S
        generation = self._generations.highest(question.key.shard)
        holder = self._placement.holder(question.key.shard, rank)
        request = ClaimRequest(token, question.key, generation, self._own, rank, holder.is_contact)
        return [Send(holder.address, request), SetTimer(question.ask_at)]

    def _open_mark(self, token: int, key: ClaimKey, status: int, now: float) -> Actions:
        if len(self._marks) >= MAX_MARKS:
            return []
        opened = _OpenMark(Mark(token, key, status, self._own), now)
        self._marks[token] = opened
        return self._send_mark(token, opened, now)

    def _send_mark(self, token: int, opened: _OpenMark, now: float) -> Actions:
        if opened.attempts >= MARK_ATTEMPTS:
            del self._marks[token]
            return []
        holder = self._placement.holder(opened.mark.key.shard, 0)
        opened.send_at = now + MARK_AGAIN_S * 2.0**opened.attempts
        opened.attempts += 1
        mark = msgspec.structs.replace(opened.mark, pass_on=holder.is_contact)
        return [Send(holder.address, mark), SetTimer(opened.send_at)]
