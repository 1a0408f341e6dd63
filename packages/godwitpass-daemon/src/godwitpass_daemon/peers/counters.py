"""Traffic counters of the peer transport."""

from collections import Counter
from collections.abc import Callable

import msgspec

from godwitpass.events import EventKind
from godwitpass_daemon.peers.channels import Channel
from godwitpass_daemon.peers.events import Emit

EVENT_INTERVAL_S = 10.0


class Traffic(msgspec.Struct):
    """Messages and frame bytes since the start, without IP headers."""

    messages: int = 0
    bytes: int = 0

    def add(self, size: int) -> None:
        """Count one message of `size` bytes."""
        self.messages += 1
        self.bytes += size


class DropCounter:
    """Counts dropped messages by reason and emits at most one event per reason and interval."""

    def __init__(self, kind: EventKind, emit: Emit, now: Callable[[], float]) -> None:
        self.totals: Counter[str] = Counter()
        self._kind = kind
        self._emit = emit
        self._now = now
        self._unreported: Counter[str] = Counter()
        self._quiet_until: dict[str, float] = {}

    def count(self, reason: str) -> None:
        """Count one message dropped for `reason`."""
        self.totals[reason] += 1
        self._unreported[reason] += 1
        now = self._now()
        if now < self._quiet_until.get(reason, now):
            return
        self._quiet_until[reason] = now + EVENT_INTERVAL_S
        self._emit(self._kind, reason=reason, count=self._unreported.pop(reason))


def build_traffic() -> dict[Channel, Traffic]:
    """Return a zero counter for every channel."""
    return {channel: Traffic() for channel in Channel}
