"""What a daemon knows of the upstream beside it, from the upstream's own heartbeats."""

import math
from enum import Enum

import msgspec

from godwitpass.ids import Address, InstanceId, ServiceName
from godwitpass.mesh import UpstreamState

MAX_DEPARTED = 64
"""Ids of ended upstreams that are remembered, so that a late heartbeat revives none of them."""


class Heartbeat(msgspec.Struct, frozen=True):
    """What an upstream says of itself.

    `started_ms` is the time of its start since the epoch and `sequence` grows with each heartbeat
    of one start; `cold_s` is how much longer it stays slow.
    """

    upstream: InstanceId
    service: ServiceName
    address: Address
    slots: int
    draining: bool
    sequence: int
    started_ms: int
    cold_s: float = 0.0


class Deregistration(msgspec.Struct, frozen=True):
    """An upstream has ended or is about to.

    `started_ms` is 0 where it isn't told which start is meant; then those before `heard_ms`, the
    time of this daemon's clock since the epoch, are.
    """

    upstream: InstanceId
    heard_ms: int
    started_ms: int = 0


class Verdict(Enum):
    """What became of a heartbeat."""

    TAKEN = "taken"
    OUTDATED = "outdated"
    DOUBTFUL = "doubtful"


class Registration:
    """Holds the newest incarnation of the upstream; a drain or departure is never undone.

    A daemon that has just started may have acknowledged a drain in its earlier life. A first
    heartbeat that is draining therefore counts as acknowledged long ago. `doubted` is set while the
    upstream itself says that it isn't well or leaves: then one heartbeat that is ready may be a
    late one, and only a second one is taken.
    """

    def __init__(self) -> None:
        self.current: Heartbeat | None = None
        self.heard_at = 0.0
        self.drained_at: float | None = None
        self.doubted = False
        self._doubtful: Heartbeat | None = None
        self._departed: dict[InstanceId, int] = {}

    @property
    def state(self) -> UpstreamState:
        """Return what the other daemons are told."""
        if self.current is None:
            return UpstreamState.STARTING
        return UpstreamState.DRAINING if self.drained_at is not None else UpstreamState.READY

    def take(self, heartbeat: Heartbeat, now: float) -> Verdict:
        """Take in a heartbeat, unless a newer one or the upstream's end is known."""
        if heartbeat.started_ms <= self._departed.get(heartbeat.upstream, -1):
            return Verdict.OUTDATED
        current = self.current
        if current is not None and not _is_newer(heartbeat, current):
            return Verdict.OUTDATED
        if current is None and self._is_doubtful(heartbeat):
            return Verdict.DOUBTFUL
        same = current is not None and _is_same_start(heartbeat, current)
        if not same:
            self.drained_at = None
        if heartbeat.draining and self.drained_at is None:
            self.drained_at = -math.inf if current is None else now
        self.current = heartbeat
        self.heard_at = now
        return Verdict.TAKEN

    def _is_doubtful(self, heartbeat: Heartbeat) -> bool:
        if not self.doubted or heartbeat.draining:
            return False
        held, self._doubtful = self._doubtful, heartbeat
        return held is None or not _is_newer(heartbeat, held)

    def depart(self, departure: Deregistration, now: float) -> Verdict:
        """Take in that an upstream leaves; it may still run calls for a while."""
        current = self.current
        started_ms = departure.started_ms
        if current is not None and current.upstream == departure.upstream:
            if started_ms and started_ms < current.started_ms:
                return Verdict.OUTDATED
            started_ms = max(started_ms, current.started_ms)
            if self.drained_at is None:
                self.drained_at = now
        # Asked for its id, an upstream doesn't tell its start: a late heartbeat would look newer.
        self._departed[departure.upstream] = max(
            started_ms or departure.heard_ms, self._departed.get(departure.upstream, 0)
        )
        while len(self._departed) > MAX_DEPARTED:
            del self._departed[next(iter(self._departed))]
        return Verdict.TAKEN


def _is_same_start(first: Heartbeat, second: Heartbeat) -> bool:
    return (first.upstream, first.started_ms) == (second.upstream, second.started_ms)


def _is_newer(heartbeat: Heartbeat, held: Heartbeat) -> bool:
    if heartbeat.started_ms != held.started_ms:
        return heartbeat.started_ms > held.started_ms
    return heartbeat.upstream != held.upstream or heartbeat.sequence > held.sequence
