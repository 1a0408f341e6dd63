"""Counters of sent, received and dropped messages of the peer transport."""

from collections import Counter
from collections.abc import Callable

import msgspec

from godwitpass.events import EventKind
from godwitpass_daemon.peers.channels import Channel
from godwitpass_daemon.peers.events import Emit

MIN_EVENT_INTERVAL_S = 10.0
"""Least time between two events about dropped messages with the same reason."""


class TrafficCounter(msgspec.Struct):
    """Messages and bytes of their frames since the start of the daemon, without IP headers."""

    messages: int = 0
    bytes: int = 0

    def add(self, size_bytes: int) -> None:
        """Count one message whose frame has `size_bytes`."""
        self.messages += 1
        self.bytes += size_bytes


class DropCounter:
    """Counts dropped messages by reason, and emits at most one event per reason and interval.

    An event counts all messages dropped for its reason since the previous one.
    """

    def __init__(self, kind: EventKind, emit: Emit, now: Callable[[], float]) -> None:
        self.totals: Counter[str] = Counter()
        self._kind = kind
        self._emit = emit
        self._now = now
        self._unreported: Counter[str] = Counter()
        self._suppressed_until: dict[str, float] = {}

    def count(self, reason: str) -> None:
        """Count one message dropped for `reason`."""
        self.totals[reason] += 1
        self._unreported[reason] += 1
        now = self._now()
        if now < self._suppressed_until.get(reason, now):
            return
        self._suppressed_until[reason] = now + MIN_EVENT_INTERVAL_S
        self._emit(self._kind, reason=reason, count=self._unreported.pop(reason))


def build_traffic_counters() -> dict[Channel, TrafficCounter]:
    """Return a counter at zero for every channel."""
    return {channel: TrafficCounter() for channel in Channel}
