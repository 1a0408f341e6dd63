"""Claims logic of one daemon: the requester side and the shards that it serves."""

import random
from collections.abc import Iterable, Sequence

import msgspec

from godwitpass.internal.actions import RecordEvent, Send, SetTimer
from godwitpass.internal.claims.generations import GenerationTracker
from godwitpass.internal.claims.keys import SHARD_COUNT, ClaimKey, ShardId
from godwitpass.internal.claims.messages import (
    ClaimMessage,
    ClaimReply,
    ClaimRequest,
    GenerationAnnouncement,
    StatusUpdate,
    StatusUpdateReply,
)
from godwitpass.internal.claims.pacing import SHARD_WRITES_PER_S, WriteLimiter
from godwitpass.internal.claims.placement import Peer, Placement
from godwitpass.internal.claims.requester import ClaimRequester, Resolve
from godwitpass.internal.claims.shard_owner import ShardOwner
from godwitpass.internal.claims.store_calls import (
    StoreAnswered,
    StoreDelete,
    StoreGet,
    StoreList,
    StorePut,
)
from godwitpass.internal.claims.timers import TimerQueue


class StartClaim(msgspec.Struct, frozen=True):
    """Event: a caller's attempt needs a claim; answered by `Resolve` by `deadline`."""

    token: int
    key: ClaimKey
    deadline: float


class Cancel(msgspec.Struct, frozen=True):
    """Event: the call of a claim was not sent and won't be."""

    token: int


class Complete(msgspec.Struct, frozen=True):
    """Event: the call of a granted claim was answered, with an HTTP status or `STATUS_ANSWERED`."""

    token: int
    status: int


class Abandon(msgspec.Struct, frozen=True):
    """Event: the call of a granted claim was sent, but it is unknown whether it ran."""

    token: int


class Receive(msgspec.Struct, frozen=True):
    """Event: a message arrived from another daemon, or from this one itself."""

    message: ClaimMessage


class Tick(msgspec.Struct, frozen=True):
    """Event: the time of an earlier `SetTimer` has come."""


class MembersChanged(msgspec.Struct, frozen=True):
    """Event: daemons joined or left the known members."""

    joined: tuple[Peer, ...] = ()
    left: tuple[Peer, ...] = ()


class ClockChanged(msgspec.Struct, frozen=True):
    """Event: `now` plus `wall_offset_s` is the current time in seconds since the epoch."""

    wall_offset_s: float


ClaimsEvent = (
    StartClaim
    | Cancel
    | Complete
    | Abandon
    | Receive
    | Tick
    | StoreAnswered
    | MembersChanged
    | ClockChanged
)
ClaimsAction = (
    Send[ClaimMessage]
    | SetTimer
    | RecordEvent
    | Resolve
    | StoreGet
    | StoreList
    | StorePut
    | StoreDelete
)


class ClaimsNode:
    """Decision object for all claims of a daemon; `now` is in seconds on a monotonic clock."""

    def __init__(
        self,
        local_peer: Peer,
        rng: random.Random,
        wall_offset_s: float = 0.0,
        shard_writes_per_s: float = SHARD_WRITES_PER_S,
    ) -> None:
        self._wall_offset_s = wall_offset_s
        self._timer_queue = TimerQueue()
        self._placement = Placement(local_peer)
        self._generations = generations = GenerationTracker()
        self._requester = ClaimRequester(local_peer.address, self._placement, generations)
        self._owners = tuple(
            ShardOwner(ShardId(shard), generations, rng, WriteLimiter(shard_writes_per_s))
            for shard in range(SHARD_COUNT)
        )

    @property
    def loaded_shards(self) -> Sequence[ShardId]:
        """Shards whose tables are in memory."""
        return [owner.shard for owner in self._owners if owner.is_loaded]

    def handle(self, event: ClaimsEvent, now: float) -> list[ClaimsAction]:
        """Handle one event and return the actions to perform."""
        actions: list[ClaimsAction] = []
        for action in self._dispatch(event, now):
            if isinstance(action, SetTimer):
                self._timer_queue.add(action.at)
            else:
                actions.append(action)
        wake_at = self._timer_queue.arm_next(now)
        return actions if wake_at is None else [*actions, SetTimer(wake_at)]

    def _dispatch(self, event: ClaimsEvent, now: float) -> Iterable[ClaimsAction]:
        wall_time = now + self._wall_offset_s
        match event:
            case StartClaim(token, key, deadline):
                return self._requester.start_claim(token, key, now, wall_time, deadline)
            case Receive(message):
                return self._receive(message, now, wall_time)
            case StoreAnswered(shard):
                actions = self._owners[shard].handle_store_answer(event, now, wall_time)
                return [*actions, *self._announce_generation(shard, now)]
            case Cancel(token):
                return self._requester.cancel(token, now)
            case Complete(token, status):
                return self._requester.complete(token, status, now)
            case Abandon(token):
                self._requester.abandon(token)
            case Tick():
                return self._tick(now, wall_time)
            case MembersChanged(joined, left):
                self._placement.update(joined, left)
            case ClockChanged(wall_offset_s):
                self._wall_offset_s = wall_offset_s
        return []

    def _receive(
        self, message: ClaimMessage, now: float, wall_time: float
    ) -> Iterable[ClaimsAction]:
        match message:
            case ClaimRequest():
                if message.should_forward:
                    return self._forward(message, message.rank)
                return self._owners[message.key.shard].add_claim(message, now, wall_time)
            case StatusUpdate():
                if message.should_forward:
                    return self._forward(message, 0)
                return self._owners[message.key.shard].add_status_update(message, now, wall_time)
            case ClaimReply() | StatusUpdateReply():
                return self._requester.receive(message, now)
            case GenerationAnnouncement(shard, generation):
                self._generations.record(shard, generation)
                return ()

    def _forward(self, message: ClaimRequest | StatusUpdate, rank: int) -> Iterable[ClaimsAction]:
        """Forward a message from another region, only once so that differing views form no loop."""
        next_hop = self._placement.find_next_hop(message.key.shard, rank)
        yield Send(next_hop.address, msgspec.structs.replace(message, should_forward=False))

    def _announce_generation(self, shard: ShardId, now: float) -> Iterable[ClaimsAction]:
        generation = self._generations.take_announcement(shard, now)
        if generation is not None:
            for candidate in self._placement.find_other_candidates(shard):
                yield Send(candidate, GenerationAnnouncement(shard, generation))

    def _tick(self, now: float, wall_time: float) -> Iterable[ClaimsAction]:
        yield from self._requester.tick(now)
        for owner in self._owners:
            yield from owner.tick(now, wall_time)
