"""Requester side of claims: obtain one claim, answered once, for each attempt of a caller."""

import msgspec

from godwitpass.ids import Address
from godwitpass.internal.actions import Send, SetTimer
from godwitpass.internal.claims.decisions import is_acceptable
from godwitpass.internal.claims.generations import GenerationTracker
from godwitpass.internal.claims.keys import ClaimKey, Digest
from godwitpass.internal.claims.messages import (
    MAX_HTTP_STATUS,
    STATUS_ANSWERED,
    STATUS_RELEASED,
    ClaimMessage,
    ClaimOutcome,
    ClaimReply,
    ClaimRequest,
    StatusUpdate,
    StatusUpdateReply,
)
from godwitpass.internal.claims.placement import Placement

CLAIM_RESEND_S = 0.4
"""Time without an answer after which a claim is resent; a busy shard writes every 0.16 s."""

REQUESTS_PER_CANDIDATE = 2
"""Requests sent to a candidate before the one of the next rank is tried."""

INITIAL_UPDATE_RESEND_S = 3.0
MAX_UPDATE_SENDS = 5
MAX_PENDING_UPDATES = 4096
MAX_REMEMBERED_KEYS = 4096
NOT_RUN_OUTCOMES = (ClaimOutcome.UNAVAILABLE, ClaimOutcome.UNSETTLED)


class Resolve(msgspec.Struct, frozen=True):
    """Answer to a `StartClaim`; at most one for a token is `GRANTED`."""

    token: int
    outcome: ClaimOutcome
    status: int = 0


class _PendingClaim(msgspec.Struct):
    key: ClaimKey
    deadline: float
    resend_at: float
    sent_count: int = 0


class _PendingUpdate(msgspec.Struct):
    update: StatusUpdate
    send_at: float
    sent_count: int = 0


RequesterAction = Send[ClaimMessage] | SetTimer | Resolve
Actions = list[RequesterAction]


class ClaimRequester:
    """Requests claims from shard owners and reports the status of granted ones.

    A call may be sent only after its token was resolved with `GRANTED`.
    """

    def __init__(
        self, local_address: Address, placement: Placement, generations: GenerationTracker
    ) -> None:
        self._local_address = local_address
        self._placement = placement
        self._generations = generations
        self._pending_claims: dict[int, _PendingClaim] = {}
        self._granted: dict[int, ClaimKey] = {}
        self._sent_digests: dict[Digest, None] = {}
        self._pending_updates: dict[int, _PendingUpdate] = {}

    def start_claim(
        self, token: int, key: ClaimKey, now: float, wall_time: float, deadline: float
    ) -> Actions:
        """Claim `key` before `deadline`; `token` must never be used for another attempt."""
        assert token not in self._pending_claims, "token is in use by another attempt"
        if not is_acceptable(key, wall_time):
            return [Resolve(token, ClaimOutcome.EXPIRED)]
        self._pending_claims[token] = _PendingClaim(key, deadline, now)
        return [SetTimer(deadline), *self._send_claim(token, now)]

    def cancel(self, token: int, now: float) -> Actions:
        """Release a claim that is not granted yet, or whose call was not sent."""
        pending = self._pending_claims.pop(token, None)
        if pending is not None:
            return self._start_update(token, pending.key, STATUS_RELEASED, now)
        key = self._granted.pop(token, None)
        if key is None:
            return []
        self._sent_digests.pop(key.digest, None)
        return self._start_update(token, key, STATUS_RELEASED, now)

    def complete(self, token: int, status: int, now: float) -> Actions:
        """Record that the granted call was answered, with an HTTP status or `STATUS_ANSWERED`."""
        assert STATUS_ANSWERED <= status <= MAX_HTTP_STATUS
        key = self._granted.pop(token, None)
        return self._start_update(token, key, status, now) if key is not None else []

    def abandon(self, token: int) -> None:
        """Leave a granted claim pending, as it is unknown whether its call ran."""
        self._granted.pop(token, None)

    def receive(self, message: ClaimReply | StatusUpdateReply, now: float) -> Actions:
        """Handle a shard owner's answer; one with an unknown token is ignored."""
        if isinstance(message, StatusUpdateReply):
            self._pending_updates.pop(message.token, None)
            return []
        pending = self._pending_claims.pop(message.token, None)
        if pending is None:
            return []
        self._generations.record(pending.key.shard, message.generation)
        if message.outcome is ClaimOutcome.GRANTED:
            self._granted[message.token] = pending.key
            self._remember_sent(pending.key)
            return [Resolve(message.token, message.outcome)]
        actions: Actions = [self._resolve_refused(message.token, pending.key, message)]
        # With more than one request sent, another owner may still record this claim.
        if message.outcome is ClaimOutcome.UNSETTLED or pending.sent_count > 1:
            actions += self._start_update(message.token, pending.key, STATUS_RELEASED, now)
        return actions

    def tick(self, now: float) -> Actions:
        """Resend unanswered messages, and resolve claims that are past their deadline."""
        actions: Actions = []
        for token, pending in tuple(self._pending_claims.items()):
            if pending.deadline <= now:
                del self._pending_claims[token]
                timed_out = ClaimReply(token, ClaimOutcome.UNSETTLED, 0, 0)
                actions.append(self._resolve_refused(token, pending.key, timed_out))
                actions += self._start_update(token, pending.key, STATUS_RELEASED, now)
            elif pending.resend_at <= now:
                actions += self._send_claim(token, now)
        for token, pending_update in tuple(self._pending_updates.items()):
            if pending_update.send_at <= now:
                actions += self._send_update(token, pending_update, now)
        return actions

    def _remember_sent(self, key: ClaimKey) -> None:
        if len(self._sent_digests) >= MAX_REMEMBERED_KEYS:
            del self._sent_digests[next(iter(self._sent_digests))]
        self._sent_digests[key.digest] = None

    def _resolve_refused(self, token: int, key: ClaimKey, reply: ClaimReply) -> Resolve:
        """Resolve with the owner's answer, but with `UNKNOWN` if its "not run" may be wrong.

        It may be wrong if this daemon has sent a call with `key` before.
        """
        if reply.outcome in NOT_RUN_OUTCOMES and key.digest in self._sent_digests:
            return Resolve(token, ClaimOutcome.UNKNOWN)
        return Resolve(token, reply.outcome, reply.status)

    def _send_claim(self, token: int, now: float) -> Actions:
        pending = self._pending_claims[token]
        rank = pending.sent_count // REQUESTS_PER_CANDIDATE
        pending.sent_count += 1
        pending.resend_at = now + CLAIM_RESEND_S
        generation = self._generations.get_highest(pending.key.shard)
        next_hop = self._placement.find_next_hop(pending.key.shard, rank)
        request = ClaimRequest(
            token, pending.key, generation, self._local_address, rank, next_hop.is_remote
        )
        return [Send(next_hop.address, request), SetTimer(pending.resend_at)]

    def _start_update(self, token: int, key: ClaimKey, status: int, now: float) -> Actions:
        if len(self._pending_updates) >= MAX_PENDING_UPDATES:
            return []
        pending_update = _PendingUpdate(StatusUpdate(token, key, status, self._local_address), now)
        self._pending_updates[token] = pending_update
        return self._send_update(token, pending_update, now)

    def _send_update(self, token: int, pending_update: _PendingUpdate, now: float) -> Actions:
        if pending_update.sent_count >= MAX_UPDATE_SENDS:
            del self._pending_updates[token]
            return []
        next_hop = self._placement.find_next_hop(pending_update.update.key.shard, 0)
        pending_update.send_at = now + INITIAL_UPDATE_RESEND_S * 2.0**pending_update.sent_count
        pending_update.sent_count += 1
        update = msgspec.structs.replace(pending_update.update, should_forward=next_hop.is_remote)
        return [Send(next_hop.address, update), SetTimer(pending_update.send_at)]
