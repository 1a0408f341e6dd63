"""What a daemon knows of the upstream beside it, from the upstream's own heartbeats."""

import math
from enum import Enum

import msgspec

from godwitpass.ids import Address, InstanceId, ServiceName
from godwitpass.mesh import UpstreamState

MAX_DEREGISTERED = 64
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
    is_draining: bool
    sequence: int
    started_ms: int
    warm_up_s: float = 0.0


class Deregistration(msgspec.Struct, frozen=True):
    """An upstream has ended or is about to.

    `started_ms` is 0 where it isn't told which start is meant; then those before `heard_ms`, the
    time of this daemon's clock since the epoch, are.
    """

    upstream: InstanceId
    received_ms: int
    started_ms: int = 0


class UpdateOutcome(Enum):
    """What became of a heartbeat."""

    ACCEPTED = "taken"
    OUTDATED = "outdated"
    UNCONFIRMED = "doubtful"


class Registration:
    """Holds the newest incarnation of the upstream; a drain or departure is never undone.

    A daemon that has just started may have acknowledged a drain in its earlier life. A first
    heartbeat that is draining therefore counts as acknowledged long ago. `doubted` is set while the
    upstream itself says that it isn't well or leaves: then one heartbeat that is ready may be a
    late one, and only a second one is taken.
    """

    def __init__(self) -> None:
        self.current: Heartbeat | None = None
        self.last_heartbeat_at = 0.0
        self.draining_since: float | None = None
        self.needs_confirmation = False
        self._unconfirmed: Heartbeat | None = None
        self._deregistered: dict[InstanceId, int] = {}

    @property
    def state(self) -> UpstreamState:
        """Return what the other daemons are told."""
        if self.current is None:
            return UpstreamState.STARTING
        return UpstreamState.DRAINING if self.draining_since is not None else UpstreamState.READY

    def apply(self, heartbeat: Heartbeat, now: float) -> UpdateOutcome:
        """Take in a heartbeat, unless a newer one or the upstream's end is known."""
        if heartbeat.started_ms <= self._deregistered.get(heartbeat.upstream, -1):
            return UpdateOutcome.OUTDATED
        current = self.current
        if current is not None and not _is_newer(heartbeat, current):
            return UpdateOutcome.OUTDATED
        if current is None and self._is_unconfirmed(heartbeat):
            return UpdateOutcome.UNCONFIRMED
        is_same = current is not None and _is_same_incarnation(heartbeat, current)
        if not is_same:
            self.draining_since = None
        if heartbeat.is_draining and self.draining_since is None:
            self.draining_since = -math.inf if current is None else now
        self.current = heartbeat
        self.last_heartbeat_at = now
        return UpdateOutcome.ACCEPTED

    def _is_unconfirmed(self, heartbeat: Heartbeat) -> bool:
        if not self.needs_confirmation or heartbeat.is_draining:
            return False
        previous, self._unconfirmed = self._unconfirmed, heartbeat
        return previous is None or not _is_newer(heartbeat, previous)

    def deregister(self, deregistration: Deregistration, now: float) -> UpdateOutcome:
        """Take in that an upstream leaves; it may still run calls for a while."""
        current = self.current
        started_ms = deregistration.started_ms
        if current is not None and current.upstream == deregistration.upstream:
            if started_ms and started_ms < current.started_ms:
                return UpdateOutcome.OUTDATED
            started_ms = max(started_ms, current.started_ms)
            if self.draining_since is None:
                self.draining_since = now
        # Asked for its id, an upstream doesn't tell its start: a late heartbeat would look newer.
        self._deregistered[deregistration.upstream] = max(
            started_ms or deregistration.received_ms,
            self._deregistered.get(deregistration.upstream, 0),
        )
        while len(self._deregistered) > MAX_DEREGISTERED:
            del self._deregistered[next(iter(self._deregistered))]
        return UpdateOutcome.ACCEPTED


def _is_same_incarnation(first: Heartbeat, second: Heartbeat) -> bool:
    return (first.upstream, first.started_ms) == (second.upstream, second.started_ms)


def _is_newer(heartbeat: Heartbeat, previous: Heartbeat) -> bool:
    if heartbeat.started_ms != previous.started_ms:
        return heartbeat.started_ms > previous.started_ms
    return heartbeat.upstream != previous.upstream or heartbeat.sequence > previous.sequence
