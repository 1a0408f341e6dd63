"""Decides what state to announce, from probes of the upstream and requests to drain it.

A probe only opens a connection: whether the upstream accepts one is a fact, whereas its health
and load endpoints may lag or mislead.
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
"""Time to the next probe while the state is in doubt."""

FAILURES_TO_WITHDRAW = 2
SUCCESSES_TO_RETURN = 2
"""Probes in a row that end a withdrawal; the first announcement needs just one."""


class Start(msgspec.Struct, frozen=True):
    """Event: the daemon has started."""


class Probed(msgspec.Struct, frozen=True):
    """Event: the probe asked for ended; `accepted` when the upstream took the connection."""

    accepted: bool


class DrainWanted(msgspec.Struct, frozen=True):
    """Event: an operator or the end of the daemon asks to give the upstream no new calls."""


class Probe(msgspec.Struct, frozen=True):
    """Action: open a connection to the upstream, close it, and tell with `Probed`."""


class AnnounceState(msgspec.Struct, frozen=True):
    """Action: announce this state to the other daemons."""

    state: UpstreamState


Event = Start | Probed | DrainWanted | TimerFired
Action = Probe | AnnounceState | SetTimer | RecordEvent


class UpstreamMonitor:
    """Announces an upstream once it accepts connections, and withdraws one that stopped."""

    def __init__(self) -> None:
        self.state = UpstreamState.STARTING
        self._withdrawn = False
        self._failures = 0
        self._successes = 0
        self._probe_at = 0.0
        self._probing = False

    def handle(self, event: Event, now: float) -> list[Action]:
        """Decide on `event`."""
        if isinstance(event, DrainWanted):
            return self._drain()
        if isinstance(event, Probed):
            return self._take_result(event.accepted, now)
        if self._probing or self.state is UpstreamState.DRAINING:
            return []
        if now < self._probe_at:
            # Timers may fire slightly early; without this the probes would end.
            return [SetTimer(self._probe_at)]
        self._probing = True
        return [Probe()]

    def _drain(self) -> list[Action]:
        if self.state is UpstreamState.DRAINING:
            return []
        self.state = UpstreamState.DRAINING
        return [AnnounceState(self.state), RecordEvent(UPSTREAM_DRAINING)]

    def _take_result(self, accepted: bool, now: float) -> list[Action]:
        assert self._probing, "a result without a probe"
        self._probing = False
        if self.state is UpstreamState.DRAINING:
            return []
        self._successes = self._successes + 1 if accepted else 0
        self._failures = 0 if accepted else self._failures + 1
        changes = self._change_state()
        settled = self.state is UpstreamState.READY and accepted
        self._probe_at = now + (PROBE_INTERVAL_S if settled else RETRY_INTERVAL_S)
        return [*changes, SetTimer(self._probe_at)]

    def _change_state(self) -> Sequence[Action]:
        needed = SUCCESSES_TO_RETURN if self._withdrawn else 1
        if self.state is UpstreamState.STARTING and self._successes >= needed:
            self.state = UpstreamState.READY
            return [AnnounceState(self.state), RecordEvent(UPSTREAM_READY)]
        if self.state is UpstreamState.READY and self._failures >= FAILURES_TO_WITHDRAW:
            self.state = UpstreamState.STARTING
            self._withdrawn = True
            return [AnnounceState(self.state), RecordEvent(UPSTREAM_WITHDRAWN)]
        return []
