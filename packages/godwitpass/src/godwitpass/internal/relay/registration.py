"""State of the upstream beside a daemon, derived from the upstream's heartbeats."""

import math
from enum import Enum

import msgspec

from godwitpass.ids import Address, InstanceId, ServiceName, SoftwareVersion
from godwitpass.mesh import UpstreamState

MAX_SLOTS = 100_000
MAX_STARTED_MS = 1 << 52
MAX_SEQUENCE = 1 << 52
"""Upper bounds of what an upstream may report about itself."""

MAX_AHEAD_MS = 24 * 60 * 60 * 1000
"""How far the start of an upstream may lie ahead of this machine's clock."""

MAX_DEREGISTERED = 64
"""Deregistered upstreams that are remembered, so that their late heartbeats are rejected."""


class Heartbeat(msgspec.Struct, frozen=True):
    """What an upstream reports about itself.

    `started_ms` is the start time of this incarnation in milliseconds since the epoch, and
    `sequence` increases with each heartbeat of an incarnation.
    """

    upstream: InstanceId
    service: ServiceName
    address: Address
    slots: int
    is_draining: bool
    sequence: int
    started_ms: int
    software_version: SoftwareVersion = SoftwareVersion("")


class Deregistration(msgspec.Struct, frozen=True):
    """Reports that an upstream has ended or is about to end.

    `started_ms` identifies the incarnation; 0 stands for all incarnations that started before
    `received_ms`. Both are in milliseconds since the epoch, the latter by the clock of this
    daemon.
    """

    upstream: InstanceId
    received_ms: int
    started_ms: int = 0


class UpdateOutcome(Enum):
    """How a heartbeat or a deregistration was handled."""

    ACCEPTED = "taken"
    OUTDATED = "outdated"
    UNCONFIRMED = "doubtful"
    FOREIGN = "foreign"


class Registration:
    """Holds the newest incarnation of the upstream; draining and deregistration are never undone.

    A first heartbeat that is draining counts as acknowledged long ago, because the daemon may have
    acknowledged it before a restart. Whether a first heartbeat may be applied is decided by
    `Identification`.
    """

    def __init__(self) -> None:
        self.current: Heartbeat | None = None
        self.last_heartbeat_at = 0.0
        self.draining_since: float | None = None
        # Incarnations that started at this time or earlier, in milliseconds, are deregistered.
        self._deregistered: dict[InstanceId, int] = {}

    @property
    def state(self) -> UpstreamState:
        """Return the state that is announced to the other daemons."""
        if self.current is None:
            return UpstreamState.STARTING
        return UpstreamState.DRAINING if self.draining_since is not None else UpstreamState.READY

    def apply(self, heartbeat: Heartbeat, now: float) -> UpdateOutcome:
        """Apply a heartbeat unless it is older than the known state or than a deregistration."""
        if heartbeat.started_ms <= self._deregistered.get(heartbeat.upstream, -1):
            return UpdateOutcome.OUTDATED
        current = self.current
        if current is not None and not is_newer_heartbeat(heartbeat, current):
            return UpdateOutcome.OUTDATED
        is_same = current is not None and _is_same_incarnation(heartbeat, current)
        if not is_same:
            self.draining_since = None
        if heartbeat.is_draining and self.draining_since is None:
            self.draining_since = -math.inf if current is None else now
        self.current = heartbeat
        self.last_heartbeat_at = now
        return UpdateOutcome.ACCEPTED

    def mark_leaving(self, heartbeat: Heartbeat, now: float) -> bool:
        """Mark the incarnation of `heartbeat` as leaving; return whether that is new."""
        current = self.current
        if current is None or not may_be_same_incarnation(current, heartbeat):
            return False
        if self.draining_since is not None:
            return False
        self.draining_since = now
        return True

    def deregister(self, deregistration: Deregistration, now: float) -> UpdateOutcome:
        """Mark an upstream as leaving; it may still run calls until the drain time is over."""
        current = self.current
        started_ms = deregistration.started_ms
        if current is not None and current.upstream == deregistration.upstream:
            if started_ms and started_ms < current.started_ms:
                return UpdateOutcome.OUTDATED
            started_ms = max(started_ms, current.started_ms)
            if self.draining_since is None:
                self.draining_since = now
        # A late heartbeat looks newer than an upstream without a start time, so the time of the
        # deregistration stands for it.
        self._deregistered[deregistration.upstream] = max(
            started_ms or deregistration.received_ms,
            self._deregistered.get(deregistration.upstream, 0),
        )
        while len(self._deregistered) > MAX_DEREGISTERED:
            del self._deregistered[next(iter(self._deregistered))]
        return UpdateOutcome.ACCEPTED


def may_be_same_incarnation(first: Heartbeat, second: Heartbeat) -> bool:
    """Tell whether both describe one start; a heartbeat may lack the start time."""
    is_start_known = first.started_ms and second.started_ms
    return first.upstream == second.upstream and (
        not is_start_known or first.started_ms == second.started_ms
    )


def _is_same_incarnation(first: Heartbeat, second: Heartbeat) -> bool:
    return (first.upstream, first.started_ms) == (second.upstream, second.started_ms)


def is_newer_heartbeat(heartbeat: Heartbeat, previous: Heartbeat) -> bool:
    """Tell whether a heartbeat describes a later state, or a later start, than `previous`."""
    if heartbeat.started_ms != previous.started_ms:
        return heartbeat.started_ms > previous.started_ms
    return heartbeat.upstream != previous.upstream or heartbeat.sequence > previous.sequence
