"""The slots of one upstream: which calls run, wait or are refused.

The daemon beside an upstream sees all its calls, so it knows the slots in use exactly and lets no
more run than there are. A call waits only if it can still be answered in time by what is known of
the work before it; otherwise it is refused at once.
"""

import math
from collections.abc import Iterable

import msgspec

from godwitpass.ids import RouteName
from godwitpass.internal.relay.moving_averages import RouteAverages

DEFAULT_SERVICE_TIME_S = 0.1
"""Time that a call is expected to take on a route of which none was seen."""

SERVICE_TIME_WEIGHT = 0.1
"""Weight of the newest call in the mean time of its route."""

NESTED_CALL_PRIORITY = -1
"""Rank of calls that a running upstream makes: turning one away wastes the work of its caller."""

MAX_WAIT_SHARE = 0.15
"""Share of its time that a call may wait, where its objective leaves less than that.

Longer queues serve no more calls under lasting overload, and all of them late.
"""

MIN_RETRY_AFTER_S = 0.05
"""Shortest time after which a refused caller is told to come back."""


class ScheduledCall(msgspec.Struct):
    """One call at the upstream; times are those of the daemon's steady clock in seconds.

    Calls of a lower `rank` go first. `objective_at` is when the answer loses most of its worth and
    `deadline` when it loses all of it.
    """

    call_id: int
    route: RouteName
    priority: int
    objective_at: float
    deadline: float
    arrived_at: float
    started_at: float = 0.0


class SchedulingDecision(msgspec.Struct, frozen=True):
    """Tickets that may start now, and those refused with the time after which to come back."""

    started: tuple[ScheduledCall, ...] = ()
    refused: tuple[tuple[ScheduledCall, float], ...] = ()


class SlotScheduler:
    """Decides who runs; `limit` is the number of calls that the upstream runs at a time."""

    def __init__(self, limit: int = 1) -> None:
        self.limit = limit
        self.running: dict[int, ScheduledCall] = {}
        self.waiting: dict[int, ScheduledCall] = {}
        self._service_time_s = RouteAverages(SERVICE_TIME_WEIGHT)

    def estimate_service_time(self, route: RouteName) -> float:
        """Return the time that a call on `route` is expected to take once it runs."""
        return self._service_time_s.get(route, DEFAULT_SERVICE_TIME_S)

    def estimate_wait(self, priority: int, now: float) -> float:
        """Return the time that a new call of `rank` would wait."""
        ahead = [call for call in self.waiting.values() if call.priority <= priority]
        return self._estimate_start_delay(ahead, now)

    def submit(self, call: ScheduledCall, now: float) -> SchedulingDecision:
        """Take in a new call."""
        if len(self.running) < self.limit and not self.waiting:
            return SchedulingDecision(started=(self._start(call, now),))
        self.waiting[call.call_id] = call
        return self.reschedule(now)

    def is_too_late(self, call: ScheduledCall, start_at: float) -> bool:
        """Tell whether a call that starts at `start_at` is refused rather than kept waiting."""
        return start_at > self._find_latest_start(call)

    def remove_waiting(self, call_id: int) -> bool:
        """Drop a call that waits; False if it doesn't."""
        return self.waiting.pop(call_id, None) is not None

    def release(self, call_id: int, now: float, is_completed: bool) -> SchedulingDecision:
        """Free the slot of a call; the time of a `completed` one is learned from."""
        call = self.running.pop(call_id, None)
        if call is not None and is_completed:
            self._service_time_s.update(call.route, now - call.started_at)
        return self.reschedule(now)

    def reschedule(self, now: float) -> SchedulingDecision:
        """Start what there is room for and refuse what can't be answered in time."""
        started: list[ScheduledCall] = []
        refused: list[tuple[ScheduledCall, float]] = []
        queue = self._sort(self.waiting.values(), now)
        ahead: list[ScheduledCall] = []
        for call in queue:
            if len(self.running) < self.limit:
                if now > self._find_latest_start(call):
                    refused.append(self._refuse(call, now))
                    continue
                del self.waiting[call.call_id]
                started.append(self._start(call, now))
                continue
            if now + self._estimate_start_delay(ahead, now) > self._find_latest_start(call):
                refused.append(self._refuse(call, now))
            else:
                ahead.append(call)
        return SchedulingDecision(tuple(started), tuple(refused))

    def find_next_expiry(self) -> float:
        """Return when the next waiting call becomes hopeless."""
        return min(
            (self._find_latest_start(call) for call in self.waiting.values()), default=math.inf
        )

    def clear_waiting(self) -> list[ScheduledCall]:
        """Drop and return all calls that wait."""
        dropped = list(self.waiting.values())
        self.waiting.clear()
        return dropped

    def _sort(self, calls: Iterable[ScheduledCall], now: float) -> list[ScheduledCall]:
        """Order by rank; those that can still meet their objective first, the earliest ahead."""

        def sort_key(call: ScheduledCall) -> tuple[int, bool, float]:
            if call.priority == NESTED_CALL_PRIORITY:
                return call.priority, False, call.deadline
            is_late = now + self.estimate_service_time(call.route) > call.objective_at
            return call.priority, is_late, call.objective_at

        return sorted(calls, key=sort_key)

    def _find_latest_start(self, call: ScheduledCall) -> float:
        service_time_s = self.estimate_service_time(call.route)
        latest_start = call.deadline - service_time_s
        if call.priority == NESTED_CALL_PRIORITY:
            return latest_start
        max_wait_s = MAX_WAIT_SHARE * (call.deadline - call.arrived_at)
        return min(
            latest_start, max(call.objective_at - service_time_s, call.arrived_at + max_wait_s)
        )

    def _estimate_start_delay(self, ahead: list[ScheduledCall], now: float) -> float:
        """Return the time until a slot is free for whoever comes after `ahead`."""
        free_slots = self.limit - len(self.running) - len(ahead)
        if free_slots > 0:
            return 0.0
        remaining_s = sum(self.estimate_service_time(call.route) for call in ahead)
        for call in self.running.values():
            expected_s = self.estimate_service_time(call.route)
            elapsed_s = now - call.started_at
            # The longer a call has run, the less is known of its end.
            remaining_s += max(expected_s - elapsed_s, 0.25 * expected_s)
        return remaining_s / max(1, self.limit)

    def _refuse(self, call: ScheduledCall, now: float) -> tuple[ScheduledCall, float]:
        del self.waiting[call.call_id]
        wait_s = self.estimate_wait(call.priority, now)
        return call, max(MIN_RETRY_AFTER_S, wait_s)

    def _start(self, call: ScheduledCall, now: float) -> ScheduledCall:
        call.started_at = now
        self.running[call.call_id] = call
        return call
