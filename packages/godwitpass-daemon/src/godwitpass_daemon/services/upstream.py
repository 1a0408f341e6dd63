"""Announces the upstream beside this daemon; the decisions are `monitoring.monitor`'s."""

import anyio
from anyio.abc import TaskGroup

from godwitpass.ids import Address
from godwitpass.internal.actions import RecordEvent, SetTimer, TimerFired
from godwitpass.internal.monitoring.monitor import (
    AnnounceState,
    DrainWanted,
    Event,
    Probe,
    Probed,
    Start,
    UpstreamMonitor,
)
from godwitpass_daemon.eventlog.service import EventLog
from godwitpass_daemon.listeners import split_address
from godwitpass_daemon.services.wake_timer import WakeTimer
from godwitpass_daemon.services.membership import MembershipService

PROBE_TIMEOUT_S = 0.5


class UpstreamService:
    """Probes the upstream at `address`; without an address it does nothing.

    Its stop drains the upstream. It is registered after the edge, so that the other daemons know
    before the edge waits for its calls in progress.
    """

    def __init__(
        self, address: Address | None, membership: MembershipService, events: EventLog
    ) -> None:
        self._address = address
        self._membership = membership
        self._events = events
        self._monitor = UpstreamMonitor()
        self._tasks: TaskGroup | None = None
        self._wake_timer = WakeTimer(anyio.current_time, lambda due: self._handle(TimerFired(), due))

    async def start(self, tasks: TaskGroup) -> None:
        """Begin to probe in the background."""
        if self._address is not None:
            self._tasks = tasks
            self._handle(Start())
            tasks.start_soon(self._wake_timer.run)

    async def stop(self) -> None:
        """Tell the other daemons that the upstream is leaving."""
        self.drain()
        self._tasks = None

    def drain(self) -> None:
        """Let the upstream get no new calls from now on."""
        self._handle(DrainWanted())

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
        accepted = False
        with anyio.move_on_after(PROBE_TIMEOUT_S):
            try:
                async with await anyio.connect_tcp(host, port):
                    accepted = True
            except OSError:
                accepted = False
        self._handle(Probed(accepted))
