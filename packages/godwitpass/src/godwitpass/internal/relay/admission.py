"""Scheduling of the calls to one upstream: they run, wait for a slot or are refused.

The daemon beside an upstream sees all calls to it, so it knows exactly how many slots are in use
and never runs more calls than there are slots. A call is queued only if the estimated time of the
calls ahead of it lets it finish in time; otherwise it is refused at once.
"""

from collections.abc import Iterable

import msgspec

from godwitpass.document import MAX_PRIORITY
from godwitpass.ids import CustomerName, RouteName
from godwitpass.internal.relay.moving_averages import RouteAverages
from godwitpass.internal.relay.rate_limiter import RateLimiter
from godwitpass.policy import DEFAULT_PRIORITY

DEFAULT_SERVICE_TIME_S = 0.1
"""Estimated service time for a route of which no call has finished yet."""

SERVICE_TIME_WEIGHT = 0.1
"""Weight of the newest call in the moving average of its route's service time."""

NESTED_CALL_PRIORITY = -1
"""Priority of calls that the upstream makes while it runs another call.

Refusing a nested call wastes the work already done for the outer one.
"""

PRIORITY_LEVELS = MAX_PRIORITY + 1
"""Number of priorities that a route can have within one priority of a customer."""

MAX_WAIT_SHARE = 0.15
"""Share of a call's timeout that it may wait when its latency objective allows less.

Under lasting overload a longer queue serves no more calls and makes all of them late.
"""

LONG_SERVICE_DEVIATIONS = 2
"""Mean deviations by which few calls of a route exceed its mean service time."""

DELIVERY_MARGIN_SHARE = 0.3
"""Share of the time until the objective that is kept for errors of an estimated delivery."""

MIN_RETRY_AFTER_S = 0.05
"""Lower bound of the retry-after time that a refused caller is given."""

RETRY_AFTER_FACTOR = 2.0
"""Retry-after time as a multiple of the estimated wait, which leaves out other refused callers."""

MIN_SPREAD, MAX_SPREAD = 0.5, 1.5
"""Bounds of the factor that spreads retry-after times, so that callers don't return together."""

GOLDEN_RATIO_PART = 0.618034
"""Its multiples are spread evenly between whole numbers."""

MIN_REMAINING_SHARE = 0.25
"""Lower bound of a running call's estimated remaining time, as a share of the service time.

The longer a call has run, the less the average of its route says about its end.
"""


def combine_priorities(priority: int, customer: CustomerName, customer_priority: int) -> int:
    """Return the priority of a call: that of its customer goes before that of its route.

    Calls of no customer have the default priority among customers. Nested calls stay first.

    >>> north, nobody = CustomerName("north"), CustomerName("")
    >>> combine_priorities(1000, north, 0) < combine_priorities(0, nobody, 0)
    True
    >>> combine_priorities(0, nobody, 0) < combine_priorities(1, north, 1)
    True
    >>> combine_priorities(NESTED_CALL_PRIORITY, north, 5)
    -1
    """
    if priority == NESTED_CALL_PRIORITY:
        return priority
    level = customer_priority if customer else DEFAULT_PRIORITY
    return level * PRIORITY_LEVELS + priority


class ScheduledCall(msgspec.Struct):
    """A call to the upstream, with times in seconds of the daemon's monotonic clock.

    Calls with a lower `priority` value run first. A response after `objective_at` has lost most of
    its value to the caller, and one after `deadline` has lost all of it.
    """

    call_id: int
    route: RouteName
    priority: int
    objective_at: float
    deadline: float
    arrived_at: float
    started_at: float = 0.0


class SchedulingDecision(msgspec.Struct, frozen=True):
    """Calls to start now, and calls to refuse, each with its retry-after time in seconds."""

    started: tuple[ScheduledCall, ...] = ()
    refused: tuple[tuple[ScheduledCall, float], ...] = ()


class SlotScheduler:
    """Assigns the upstream's slots to calls; at most `limit` calls run at a time."""

    def __init__(self, limit: int = 1) -> None:
        self.limit = limit
        self.running: dict[int, ScheduledCall] = {}
        self.waiting: dict[int, ScheduledCall] = {}
        self.rate_limiter = RateLimiter()
        self._refusal_count = 0
        self._service_time_s = RouteAverages(SERVICE_TIME_WEIGHT)

    def estimate_service_time_s(self, route: RouteName) -> float:
        """Estimate the seconds that a call on `route` takes once it runs."""
        return self._service_time_s.get(route, DEFAULT_SERVICE_TIME_S)

    def estimate_long_service_time_s(self, route: RouteName) -> float:
        """Estimate the seconds that most calls on `route` don't exceed once they run."""
        deviation_s = self._service_time_s.get_deviation(route)
        return self.estimate_service_time_s(route) + LONG_SERVICE_DEVIATIONS * deviation_s

    def submit(self, call: ScheduledCall, now: float) -> SchedulingDecision:
        """Start, queue or refuse a new call."""
        if self._has_room(now) and not self.waiting:
            return SchedulingDecision(started=(self._start(call, now),))
        self.waiting[call.call_id] = call
        return self.reschedule(now)

    def is_too_late(self, call: ScheduledCall, start_at: float) -> bool:
        """Tell whether a call that can't start before `start_at` is to be refused."""
        return start_at > self._find_latest_start(call)

    def find_next_start(self, now: float) -> float | None:
        """Return when the rate limit next lets a waiting call start that has a free slot."""
        if not self.waiting or len(self.running) >= self.limit:
            return None
        return now + self.rate_limiter.estimate_delay_s(0, now)

    def accepts_delivery(
        self, call: ScheduledCall, now: float, delay_s: float, transfer_s: float
    ) -> bool:
        """Tell whether a call may run whose response the link delays by `delay_s`.

        `transfer_s` is the part of it that an idle link would need. The link delivers responses one
        after the other, so a call that would meet its objective by an idle link and misses it by
        this one makes all later ones late too.
        """
        ready_at = now + self.estimate_service_time_s(call.route)
        deliver_by = call.objective_at - DELIVERY_MARGIN_SHARE * (call.objective_at - now)
        if call.priority != NESTED_CALL_PRIORITY and ready_at + transfer_s <= deliver_by:
            return ready_at + delay_s <= deliver_by
        return not self.is_too_late(call, now + delay_s)

    def remove_waiting(self, call_id: int) -> bool:
        """Remove a call from the queue; return False if it isn't queued."""
        return self.waiting.pop(call_id, None) is not None

    def release(self, call_id: int, now: float, is_completed: bool) -> SchedulingDecision:
        """Free the slot of a call; only a completed call updates the service time of its route."""
        call = self.running.pop(call_id, None)
        if call is not None and is_completed:
            self._service_time_s.update(call.route, now - call.started_at)
        return self.reschedule(now)

    def reschedule(self, now: float) -> SchedulingDecision:
        """Start queued calls while slots are free, and refuse those that would finish too late."""
        started: list[ScheduledCall] = []
        refused: list[tuple[ScheduledCall, float]] = []
        queue = _Queue(self, now)
        ahead_count, ahead_s = 0, 0.0
        for call in self._sort(self.waiting.values(), now):
            latest_start = self._find_latest_start(call)
            if self._has_room(now) and now <= latest_start:
                queue.remove(call)
                started.append(self._start(call, now))
                queue.running_s = self._estimate_remaining_s(now)
            elif now + queue.estimate_start_delay_s(ahead_count, ahead_s) > latest_start:
                queue.remove(call)
                retry_after_s = self._spread_retry_after_s(queue.estimate_wait_s(call.priority))
                refused.append((call, retry_after_s))
            else:
                ahead_count += 1
                ahead_s += self.estimate_service_time_s(call.route)
        return SchedulingDecision(tuple(started), tuple(refused))

    def clear_waiting(self) -> list[ScheduledCall]:
        """Remove and return all waiting calls."""
        dropped = list(self.waiting.values())
        self.waiting.clear()
        return dropped

    def _sort(self, calls: Iterable[ScheduledCall], now: float) -> list[ScheduledCall]:
        """Sort by priority, then likely to meet the objective before unlikely, then by objective.

        Starting a call at the last moment that its mean service time allows would make every other
        call late under lasting overload.
        """

        def sort_key(call: ScheduledCall) -> tuple[int, bool, float]:
            if call.priority == NESTED_CALL_PRIORITY:
                return call.priority, False, call.deadline
            service_time_s = self.estimate_long_service_time_s(call.route)
            return call.priority, now + service_time_s > call.objective_at, call.objective_at

        return sorted(calls, key=sort_key)

    def _find_latest_start(self, call: ScheduledCall) -> float:
        """Return the time after which a call that hasn't started is refused.

        A call must be able to end by its deadline. Unless it is nested, it must also be able to
        meet its objective, or have waited for at most `MAX_WAIT_SHARE` of its timeout.
        """
        service_time_s = self.estimate_service_time_s(call.route)
        latest_start = call.deadline - service_time_s
        if call.priority == NESTED_CALL_PRIORITY:
            return latest_start
        max_wait_s = MAX_WAIT_SHARE * (call.deadline - call.arrived_at)
        return min(
            latest_start, max(call.objective_at - service_time_s, call.arrived_at + max_wait_s)
        )

    def _spread_retry_after_s(self, wait_s: float) -> float:
        """Return the retry-after time of a call that would wait for `wait_s` now."""
        self._refusal_count += 1
        position = self._refusal_count * GOLDEN_RATIO_PART % 1.0
        spread = MIN_SPREAD + (MAX_SPREAD - MIN_SPREAD) * position
        return max(MIN_RETRY_AFTER_S, RETRY_AFTER_FACTOR * spread * wait_s)

    def _estimate_remaining_s(self, now: float) -> float:
        """Estimate the seconds that all running calls together still take."""
        remaining_s = 0.0
        for call in self.running.values():
            expected_s = self.estimate_service_time_s(call.route)
            elapsed_s = now - call.started_at
            remaining_s += max(expected_s - elapsed_s, MIN_REMAINING_SHARE * expected_s)
        return remaining_s

    def _has_room(self, now: float) -> bool:
        return len(self.running) < self.limit and self.rate_limiter.allows(now)

    def _start(self, call: ScheduledCall, now: float) -> ScheduledCall:
        call.started_at = now
        self.rate_limiter.record_sent(now)
        self.running[call.call_id] = call
        return call


class _Queue:
    """The waiting calls of one rescheduling, with the sums that its estimates need.

    Summing over the queue for each call anew would take quadratic time.
    """

    def __init__(self, scheduler: SlotScheduler, now: float) -> None:
        self._scheduler = scheduler
        self._now = now
        self.running_s = scheduler._estimate_remaining_s(now)
        self._counts: dict[int, int] = {}
        self._service_times_s: dict[int, float] = {}
        for call in scheduler.waiting.values():
            self._add(call, 1)

    def remove(self, call: ScheduledCall) -> None:
        """Take a call out of the queue."""
        del self._scheduler.waiting[call.call_id]
        self._add(call, -1)

    def estimate_start_delay_s(self, ahead_count: int, ahead_s: float) -> float:
        """Estimate the seconds until a slot is free behind calls that take `ahead_s` in total."""
        scheduler = self._scheduler
        paced_s = scheduler.rate_limiter.estimate_delay_s(ahead_count, self._now)
        if scheduler.limit - len(scheduler.running) - ahead_count > 0:
            return paced_s
        return max(paced_s, (ahead_s + self.running_s) / max(1, scheduler.limit))

    def estimate_wait_s(self, priority: int) -> float:
        """Estimate the seconds that a new call of `priority` would wait for a slot."""
        ranks = [rank for rank in self._counts if rank <= priority]
        return self.estimate_start_delay_s(
            sum(self._counts[rank] for rank in ranks),
            sum(self._service_times_s[rank] for rank in ranks),
        )

    def _add(self, call: ScheduledCall, count: int) -> None:
        rank = call.priority
        service_time_s = self._scheduler.estimate_service_time_s(call.route)
        self._counts[rank] = self._counts.get(rank, 0) + count
        self._service_times_s[rank] = self._service_times_s.get(rank, 0.0) + count * service_time_s
