"""Decides which upstream state to announce, from probes and requests to drain.

A probe only opens a connection: whether the upstream accepts connections is certain, whereas its
health and load endpoints may lag or mislead.
"""

from collections.abc import Sequence

import msgspec

from godwitpass.internal.actions import RecordEvent, SetTimer, TimerFired
from godwitpass.internal.monitoring.events import (
    UPSTREAM_DRAINING,
    UPSTREAM_READY,
    UPSTREAM_WITHDRAWN,
)
from godwitpass.mesh import UpstreamState

PROBE_INTERVAL_S = 1.0
RETRY_INTERVAL_S = 0.2
"""Time to the next probe while the upstream isn't ready or the last probe failed."""

FAILURES_TO_WITHDRAW = 2
"""Failed probes in a row after which an upstream is withdrawn."""

SUCCESSES_TO_RESTORE = 2
"""Successful probes in a row after which a withdrawn upstream is announced again.

The first announcement needs only one.
"""


class Start(msgspec.Struct, frozen=True):
    """Event: the daemon has started."""


class ProbeCompleted(msgspec.Struct, frozen=True):
    """Event: a requested probe ended; `is_accepted` if the upstream accepted the connection."""

    is_accepted: bool


class DrainRequested(msgspec.Struct, frozen=True):
    """Event: the upstream is to get no new calls, as an operator requests or the daemon stops."""


class Probe(msgspec.Struct, frozen=True):
    """Action: open a connection to the upstream, close it and report with `ProbeCompleted`."""


class AnnounceState(msgspec.Struct, frozen=True):
    """Action: announce `state` to the other daemons."""

    state: UpstreamState


Event = Start | ProbeCompleted | DrainRequested | TimerFired
Action = Probe | AnnounceState | SetTimer | RecordEvent


class UpstreamMonitor:
    """Announces an upstream that accepts connections, and withdraws it once it no longer does."""

    def __init__(self) -> None:
        self.state = UpstreamState.STARTING
        self._was_withdrawn = False
        self._consecutive_failures = 0
        self._consecutive_successes = 0
        self._next_probe_at = 0.0
        self._is_probing = False

    def handle(self, event: Event, now: float) -> list[Action]:
        """Handle `event` at time `now` and return the actions that follow from it."""
        if isinstance(event, DrainRequested):
            return self._drain()
        if isinstance(event, ProbeCompleted):
            return self._handle_result(event.is_accepted, now)
        if self._is_probing or self.state is UpstreamState.DRAINING:
            return []
        if now < self._next_probe_at:
            # A timer may fire slightly early. Without a new one, no further probe would be made.
            return [SetTimer(self._next_probe_at)]
        self._is_probing = True
        return [Probe()]

    def _drain(self) -> list[Action]:
        if self.state is UpstreamState.DRAINING:
            return []
        self.state = UpstreamState.DRAINING
        return [AnnounceState(self.state), RecordEvent(UPSTREAM_DRAINING)]

    def _handle_result(self, is_accepted: bool, now: float) -> list[Action]:
        assert self._is_probing, "a probe was completed that was not requested"
        self._is_probing = False
        if self.state is UpstreamState.DRAINING:
            return []
        self._consecutive_successes = self._consecutive_successes + 1 if is_accepted else 0
        self._consecutive_failures = 0 if is_accepted else self._consecutive_failures + 1
        changes = self._update_state()
        is_stable = self.state is UpstreamState.READY and is_accepted
        self._next_probe_at = now + (PROBE_INTERVAL_S if is_stable else RETRY_INTERVAL_S)
        return [*changes, SetTimer(self._next_probe_at)]

    def _update_state(self) -> Sequence[Action]:
        required_successes = SUCCESSES_TO_RESTORE if self._was_withdrawn else 1
        if (
            self.state is UpstreamState.STARTING
            and self._consecutive_successes >= required_successes
        ):
            self.state = UpstreamState.READY
            return [AnnounceState(self.state), RecordEvent(UPSTREAM_READY)]
        if self.state is UpstreamState.READY and self._consecutive_failures >= FAILURES_TO_WITHDRAW:
            self.state = UpstreamState.STARTING
            self._was_withdrawn = True
            return [AnnounceState(self.state), RecordEvent(UPSTREAM_WITHDRAWN)]
        return []
