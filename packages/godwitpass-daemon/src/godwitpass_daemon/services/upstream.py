"""Probes the upstream beside this daemon and announces its state.

The decisions are made by `godwitpass.internal.monitoring.monitor`.
"""

import anyio
from anyio.abc import TaskGroup

from godwitpass.ids import Address
from godwitpass.internal.actions import RecordEvent, SetTimer, TimerFired
from godwitpass.internal.monitoring.monitor import (
    AnnounceState,
    DrainRequested,
    Event,
    Probe,
    ProbeCompleted,
    Start,
    UpstreamMonitor,
)
from godwitpass_daemon.eventlog.service import EventLog
from godwitpass_daemon.listeners import split_address
from godwitpass_daemon.services.membership import MembershipService
from godwitpass_daemon.services.wake_timer import WakeTimer

PROBE_TIMEOUT_S = 0.5


class UpstreamService:
    """Probes the upstream at `address`; without an address it does nothing.

    Stopping the service drains the upstream. It must be registered after the edge and so stops
    before it: the other daemons know of the drain before the edge waits for calls in progress.
    """

    def __init__(
        self, address: Address | None, membership: MembershipService, events: EventLog
    ) -> None:
        self._address = address
        self._membership = membership
        self._events = events
        self._monitor = UpstreamMonitor()
        self._tasks: TaskGroup | None = None
        self._wake_timer = WakeTimer(
            anyio.current_time, lambda due_at: self._handle(TimerFired(), due_at)
        )

    async def start(self, tasks: TaskGroup) -> None:
        """Start to probe in the background."""
        if self._address is not None:
            self._tasks = tasks
            self._handle(Start())
            tasks.start_soon(self._wake_timer.run)

    async def stop(self) -> None:
        """Announce to the other daemons that the upstream is draining."""
        self.drain()
        self._tasks = None

    def drain(self) -> None:
        """Announce the upstream as draining, so that it gets no new calls."""
        self._handle(DrainRequested())

    def _handle(self, event: Event, not_before: float = 0.0) -> None:
        if self._tasks is None:
            return
        now = max(anyio.current_time(), not_before)
        for action in self._monitor.handle(event, now):
            match action:
                case Probe():
                    self._tasks.start_soon(self._probe)
                case AnnounceState():
                    self._membership.announce(action.state)
                case RecordEvent():
                    self._events.emit(action.kind, **action.fields)
                case SetTimer():
                    self._wake_timer.set(action.at)

    async def _probe(self) -> None:
        assert self._address is not None
        host, port = split_address(self._address)
        is_accepted = False
        with anyio.move_on_after(PROBE_TIMEOUT_S):
            try:
                async with await anyio.connect_tcp(host, port):
                    is_accepted = True
            except OSError:
                is_accepted = False
        self._handle(ProbeCompleted(is_accepted))
