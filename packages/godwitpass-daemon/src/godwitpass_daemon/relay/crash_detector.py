"""Detection of upstreams that ended while they ran calls."""

import asyncio
from collections.abc import Callable, Sequence

import msgspec

from godwitpass.internal.relay.registration import (
    Heartbeat,
    Registration,
    may_be_same_incarnation,
)
from godwitpass_daemon.edge.guards import RequestDescriptor
from godwitpass_daemon.relay.crash_guard import CrashGuard
from godwitpass_daemon.relay.limits import HEARTBEAT_TIMEOUT_S
from godwitpass_daemon.relay.upstream_connections import UpstreamConnectionPool

CRASH_CHECK_DELAY_S = 0.05
"""Time that an upstream that ends may need to close its listener after its connections."""

MAX_UNRESOLVED_CALLS = 256
"""Broken calls that wait for the upstream's next heartbeat; the oldest ones are dropped first."""

RecordCheck = Callable[[int, bool, str], None]
"""Records the result of a check: the number of broken calls, whether the upstream ended, why."""


class BrokenCall(msgspec.Struct, frozen=True):
    """A call whose connection broke at `broke_at`; `target` is the incarnation it was sent to.

    `was_leaving` is set if the upstream had announced that it would leave.
    """

    request: RequestDescriptor
    target: Heartbeat | None
    broke_at: float
    was_leaving: bool


class CrashDetector:
    """Tells an upstream that has ended from one that reset a connection.

    A reset alone shows no crash: an upstream may reset connections because it is full. An upstream
    has ended, with all calls whose connections broke, if it accepts no new connection or if its
    next heartbeat is that of another incarnation. A response on a connection that is older than
    the reset shows that it has not ended.
    """

    def __init__(
        self,
        guard: CrashGuard,
        pool: UpstreamConnectionPool,
        registration: Registration,
        now: Callable[[], float],
        record_check: RecordCheck,
    ) -> None:
        self._guard = guard
        self._pool = pool
        self._registration = registration
        self._now = now
        self._record_check = record_check
        self._broken_calls: list[BrokenCall] = []
        self._unresolved_calls: list[BrokenCall] = []
        self._check_task: asyncio.Task[None] | None = None

    def record_reset(self, request: RequestDescriptor, target: Heartbeat | None) -> None:
        """Check soon whether the upstream has ended while it ran `request`."""
        was_leaving = self._registration.draining_since is not None
        self._broken_calls.append(BrokenCall(request, target, self._now(), was_leaving))
        if self._check_task is None:
            self._check_task = asyncio.get_running_loop().create_task(self._check_upstream())

    def record_response(self, connected_at: float) -> None:
        """Record a response on a connection that was opened at `connected_at`."""
        if self._unresolved_calls:
            self._unresolved_calls = [
                call for call in self._unresolved_calls if call.broke_at < connected_at
            ]

    def handle_registration(self) -> None:
        """Report the calls that broke at an earlier incarnation than the registered one."""
        if not self._unresolved_calls:
            return
        earliest = self._now() - HEARTBEAT_TIMEOUT_S
        calls = [call for call in self._unresolved_calls if call.broke_at >= earliest]
        ended_calls = [call for call in calls if self._has_restarted(call)]
        self._unresolved_calls = [call for call in calls if not self._has_restarted(call)]
        if ended_calls:
            self._report_end(ended_calls, "restarted")

    async def _check_upstream(self) -> None:
        await asyncio.sleep(CRASH_CHECK_DELAY_S)
        calls, self._broken_calls = self._broken_calls, []
        self._check_task = None
        try:
            connection = await self._pool.connect()
        except (OSError, TimeoutError) as error:
            self._report_end(calls, repr(error))
            return
        self._pool.release(connection)
        self._record_check(len(calls), False, "accepts connections")
        # An upstream that leaves is replaced, whatever call it ran last.
        unresolved = [call for call in calls if not call.was_leaving]
        self._unresolved_calls = [*self._unresolved_calls, *unresolved][-MAX_UNRESOLVED_CALLS:]
        self.handle_registration()

    def _has_restarted(self, call: BrokenCall) -> bool:
        current = self._registration.current
        return (
            current is not None
            and call.target is not None
            and not may_be_same_incarnation(call.target, current)
        )

    def _report_end(self, calls: Sequence[BrokenCall], reason: str) -> None:
        self._record_check(len(calls), True, reason)
        now = self._now()
        for call in calls:
            self._guard.report_crash(call.request, now - call.broke_at)
