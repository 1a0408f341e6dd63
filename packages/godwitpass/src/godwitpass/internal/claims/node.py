"""Claims of one daemon: the asking side and the shards that it serves."""

import random
from collections.abc import Iterable, Sequence

import msgspec

from godwitpass.internal.actions import RecordEvent, Send, SetTimer
from godwitpass.internal.claims.claimant import Claimant, Resolve
from godwitpass.internal.claims.generations import Generations
from godwitpass.internal.claims.shard_owner import ShardHolder
from godwitpass.internal.claims.keys import SHARDS, ClaimKey, ShardId
from godwitpass.internal.claims.messages import (
    ClaimMessage,
    ClaimReply,
    ClaimRequest,
    GenerationSeen,
    Mark,
    MarkReply,
)
from godwitpass.internal.claims.pacing import SHARD_WRITES_PER_S, Pacing
from godwitpass.internal.claims.placement import Peer, Placement
from godwitpass.internal.claims.store_calls import (
    StoreAnswered,
    StoreDelete,
    StoreGet,
    StoreList,
    StorePut,
)
from godwitpass.internal.claims.timers import Timers


class StartClaim(msgspec.Struct, frozen=True):
    """A caller's sending wants to run; answered by `Resolve` before `deadline`."""

    token: int
    key: ClaimKey
    deadline: float


class Cancel(msgspec.Struct, frozen=True):
    """The call of a claim was not sent, and won't be."""

    token: int


class Complete(msgspec.Struct, frozen=True):
    """The call of a granted claim was answered with an HTTP status."""

    token: int
    status: int


class Abandon(msgspec.Struct, frozen=True):
    """The call of a granted claim was sent; whether it ran is not known."""

    token: int


class Receive(msgspec.Struct, frozen=True):
    """A message of another daemon, or of this one to itself."""

    message: ClaimMessage


class Tick(msgspec.Struct, frozen=True):
    """A time that a `SetTimer` asked for has come."""


class MembersChanged(msgspec.Struct, frozen=True):
    """Daemons that came alive or died."""

    joined: tuple[Peer, ...] = ()
    left: tuple[Peer, ...] = ()


class ClockChanged(msgspec.Struct, frozen=True):
    """`wall_offset` plus `now` is the time in seconds since the epoch."""

    wall_offset: float


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
    Send[ClaimMessage] | SetTimer | RecordEvent | Resolve | StoreGet | StoreList | StorePut | StoreDelete
)


class ClaimsNode:
    """Decides all of one daemon's claims; `now` is in seconds on a clock that never goes back."""

    def __init__(
        self,
        own: Peer,
        rng: random.Random,
        wall_offset: float = 0.0,
        writes_per_s: float = SHARD_WRITES_PER_S,
    ) -> None:
        self._wall_offset = wall_offset
        self._timers = Timers()
        self._placement = Placement(own)
        self._generations = generations = Generations()
        self._claimant = Claimant(own.address, self._placement, generations)
        self._holders = tuple(
            ShardHolder(ShardId(shard), generations, rng, Pacing(writes_per_s))
            for shard in range(SHARDS)
        )

    @property
    def loaded_shards(self) -> Sequence[ShardId]:
        """Shards that this daemon holds in memory."""
        return [holder.shard for holder in self._holders if holder.is_loaded]

    def handle(self, event: ClaimsEvent, now: float) -> list[ClaimsAction]:
        """Decide on one event."""
        actions: list[ClaimsAction] = []
        for action in self._dispatch(event, now):
            if isinstance(action, SetTimer):
                self._timers.add(action.at)
            else:
                actions.append(action)
        wake_at = self._timers.next_request(now)
        return actions if wake_at is None else [*actions, SetTimer(wake_at)]

    def _dispatch(self, event: ClaimsEvent, now: float) -> Iterable[ClaimsAction]:
        wall = now + self._wall_offset
        match event:
            case StartClaim(token, key, deadline):
                return self._claimant.ask(token, key, now, wall, deadline)
            case Receive(message):
                return self._receive(message, now, wall)
            case StoreAnswered(shard):
                actions = self._holders[shard].receive(event, now, wall)
                return [*actions, *self._spread_generation(shard, now)]
            case Cancel(token):
                return self._claimant.cancel(token, now)
            case Complete(token, status):
                return self._claimant.complete(token, status, now)
            case Abandon(token):
                self._claimant.abandon(token)
            case Tick():
                return self._tick(now, wall)
            case MembersChanged(joined, left):
                self._placement.update(joined, left)
            case ClockChanged(wall_offset):
                self._wall_offset = wall_offset
        return []

    def _receive(self, message: ClaimMessage, now: float, wall: float) -> Iterable[ClaimsAction]:
        match message:
            case ClaimRequest():
                if message.pass_on:
                    return self._pass_on(message, message.rank)
                return self._holders[message.key.shard].ask(message, now, wall)
            case Mark():
                if message.pass_on:
                    return self._pass_on(message, 0)
                return self._holders[message.key.shard].mark(message, now, wall)
            case ClaimReply() | MarkReply():
                return self._claimant.receive(message, now)
            case GenerationSeen(shard, generation):
                self._generations.record(shard, generation)
                return ()

    def _pass_on(self, message: ClaimRequest | Mark, rank: int) -> Iterable[ClaimsAction]:
        """Send on what came from another region; no further, whatever this daemon believes."""
        holder = self._placement.holder(message.key.shard, rank)
        yield Send(holder.address, msgspec.structs.replace(message, pass_on=False))

    def _spread_generation(self, shard: ShardId, now: float) -> Iterable[ClaimsAction]:
        generation = self._generations.take_spread(shard, now)
        if generation is not None:
            for successor in self._placement.successors(shard):
                yield Send(successor, GenerationSeen(shard, generation))

    def _tick(self, now: float, wall: float) -> Iterable[ClaimsAction]:
        yield from self._claimant.tick(now)
        for holder in self._holders:
            yield from holder.tick(now, wall)
