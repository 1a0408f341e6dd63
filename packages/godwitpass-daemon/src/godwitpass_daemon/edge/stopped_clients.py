"""Record of the callers that were stopped to keep within the daemon's resources."""

from collections import Counter
from collections.abc import Callable
from enum import Enum

from godwitpass.internal.calls.messages import CallerKey

LOG_INTERVAL_S = 60.0
"""Least time between two events about the same caller."""

MAX_LOGGED_CALLERS = 1024
"""Callers whose last event is remembered; beyond them, stops are counted without an event."""


class StopReason(Enum):
    """Why a caller was stopped; the values are metric labels and log fields."""

    NO_PROGRESS = "no-progress"
    """It sent more than a head may have without a complete head or a byte of a body."""

    IDLE = "idle"
    """Its connection had made no progress for longest when a new one exceeded the bound."""

    CONNECTIONS = "connections"
    """All connections within the bound have calls in progress."""

    UNREAD = "unread"
    """It read none of its responses."""

    MEMORY = "memory"
    """Its request made no progress for longest when the memory for requests was used up."""


class StoppedClients:
    """Counts stops by reason, and tells of them at most once per caller and interval."""

    def __init__(self, report: Callable[[CallerKey, StopReason], None]) -> None:
        self.counts: Counter[StopReason] = Counter()
        self._report = report
        self._quiet_until: dict[CallerKey, float] = {}

    def record(self, caller: CallerKey, reason: StopReason, now: float) -> None:
        """Count one stop of `caller`, and report it unless one was reported lately."""
        self.counts[reason] += 1
        if now < self._quiet_until.get(caller, now):
            return
        if len(self._quiet_until) >= MAX_LOGGED_CALLERS:
            self._forget_expired(now)
        if len(self._quiet_until) < MAX_LOGGED_CALLERS:
            self._quiet_until[caller] = now + LOG_INTERVAL_S
            self._report(caller, reason)

    def _forget_expired(self, now: float) -> None:
        expired = [caller for caller, until in self._quiet_until.items() if until <= now]
        for caller in expired:
            del self._quiet_until[caller]
