"""Runs the calls that daemons forward to the local upstream, within its slots."""

import asyncio
from collections import Counter
from collections.abc import Callable

from godwitpass.ids import ServiceName
from godwitpass.internal.relay.admission import ScheduledCall, SchedulingDecision, SlotScheduler
from godwitpass.internal.relay.ended_calls import EndedCalls
from godwitpass.internal.relay.flow_control import Grant, InboundFlowControl
from godwitpass.internal.relay.frames import BODY_CHUNK_BYTES, Load, OpenStream, Refusal
from godwitpass.internal.relay.moving_averages import RouteAverages
from godwitpass.internal.relay.nested_calls import NestedCallTracker
from godwitpass.internal.relay.outbound_flow_control import OutboundFlowControl
from godwitpass.internal.relay.registration import (
    Heartbeat,
    Registration,
    may_be_same_incarnation,
)
from godwitpass_daemon.relay.call_log import Emit, UpstreamCallLog
from godwitpass_daemon.relay.crash_detector import CrashDetector
from godwitpass_daemon.relay.crash_guard import CrashGuard, split_request_line
from godwitpass_daemon.relay.headers import HeaderNames, ResponseHead
from godwitpass_daemon.relay.limits import (
    CANCELLATION_GRACE_S,
    HEARTBEAT_TIMEOUT_S,
    MEMORY_RETRY_AFTER_S,
    REQUEST_MEMORY_BYTES,
)
from godwitpass_daemon.relay.request_budget import RequestBudget
from godwitpass_daemon.relay.response_sender import ResponseSender
from godwitpass_daemon.relay.upstream_calls import ReplyChannel, UpstreamCall
from godwitpass_daemon.relay.upstream_connections import UpstreamConnectionPool
from godwitpass_daemon.relay.version_gate import VersionGate
from godwitpass_daemon.resources import DEFAULT_RESOURCES, Resources

RESPONSE_BYTES_WEIGHT = 0.05
"""Weight of the newest response in the moving average of its route's size."""

FORWARDED_BUFFER_SHARE = 0.5
"""Share of the memory for clients that calls of other daemons may take."""

MIN_STALL_S = 1.0
"""A body that has been granted bytes and brings none for this long makes room for other calls."""

MISDIRECTED_STATUS = 421
"""Status with which an upstream refuses a request that is meant for another one."""


class UpstreamRunner:
    """Runs forwarded calls; holds the upstream's registration, slots and connections."""

    def __init__(
        self,
        header_names: HeaderNames,
        now: Callable[[], float],
        emit: Emit,
        drain_s: float,
        bytes_per_s: float,
        crash_guard: CrashGuard | None = None,
        resources: Resources = DEFAULT_RESOURCES,
    ) -> None:
        self.budget = RequestBudget(
            int(resources.buffer_bytes * FORWARDED_BUFFER_SHARE),
            resources.single_request_bytes,
            now,
            MIN_STALL_S,
        )
        self.header_names = header_names
        self.now = now
        self.registration = Registration()
        self.scheduler = SlotScheduler()
        self.nested_calls = NestedCallTracker()
        self.flow_control = InboundFlowControl(bytes_per_s, BODY_CHUNK_BYTES)
        self.response_sender = ResponseSender(
            OutboundFlowControl(bytes_per_s, BODY_CHUNK_BYTES), now
        )
        self.pool = UpstreamConnectionPool(header_names, now)
        self.crash_guard = crash_guard
        self.call_log = UpstreamCallLog(self, emit)
        self.crash_detector = (
            CrashDetector(
                crash_guard,
                self.pool,
                self.registration,
                now,
                self.call_log.record_upstream_check,
            )
            if crash_guard
            else None
        )
        self.is_stopping = False
        self.drain_s = drain_s
        self.on_upstream_leaving: Callable[[], None] | None = None
        self.version_gate: VersionGate | None = None
        self._limited_upstream: Heartbeat | None = None
        self._rate_timer: asyncio.TimerHandle | None = None
        self._calls: dict[int, UpstreamCall] = {}
        self._active_request_ids: Counter[str] = Counter()
        self.ended_calls = EndedCalls(now())
        self._last_call_id = 0
        self._response_bytes = RouteAverages(RESPONSE_BYTES_WEIGHT)

    @property
    def calls_in_progress(self) -> int:
        """Return the number of calls at this daemon: running, waiting or being answered."""
        return len(self._calls) + len(self.response_sender)

    def is_in_progress(self, request_id: str) -> bool:
        """Tell whether a call with this request id is in progress here."""
        return bool(request_id) and request_id in self._active_request_ids

    def get_load(self) -> Load:
        """Return the load that is reported to other daemons."""
        scheduler = self.scheduler
        outbound = self.response_sender.flow_control
        return Load(
            len(scheduler.running),
            len(scheduler.waiting),
            scheduler.limit,
            int(self.flow_control.backlog_s * 1000),
            max(1, int(self.flow_control.bytes_per_s / 1000)),
            int(outbound.backlog_s * 1000),
            max(1, int(outbound.bytes_per_s / 1000)),
            scheduler.rate_limiter.rate_per_s or 0.0,
            int(scheduler.rate_limiter.estimate_delay_s(len(scheduler.waiting), self.now()) * 1000),
        )

    def apply_response_head(self, head: ResponseHead, sender: Heartbeat) -> None:
        """Apply what a response of `sender` says about the upstream: its limit, and its leaving."""
        registration, limiter = self.registration, self.scheduler.rate_limiter
        current = registration.current
        if current is None or not may_be_same_incarnation(current, sender):
            return
        if head.status == MISDIRECTED_STATUS:
            # Another upstream has got the address.
            return
        previous = limiter.rate_per_s
        limiter.record_response(head.rate_limit_per_s, self.now())
        if limiter.rate_per_s != previous:
            self._cancel_rate_timer()
            self.call_log.record_rate_limit(limiter.rate_per_s, previous)
        if (
            head.is_leaving
            and registration.mark_leaving(sender, self.now())
            and self.on_upstream_leaving is not None
        ):
            self.on_upstream_leaving()

    def apply_limit_of_check(self, head: ResponseHead) -> None:
        """Apply the limit that the response to a health check names before the registration."""
        if self.registration.current is None:
            self.scheduler.rate_limiter.record_response(head.rate_limit_per_s, self.now())

    def accepts_service(self, service: ServiceName) -> bool:
        """Tell whether a call to `service` may be sent to the upstream now."""
        registration = self.registration
        current = registration.current
        if current is None or current.service != service:
            return False
        draining_since = registration.draining_since
        return draining_since is None or self.now() < draining_since + self.drain_s

    def open_call(self, reply_channel: ReplyChannel, request: OpenStream) -> UpstreamCall:
        """Accept a forwarded call."""
        if self.version_gate is not None:
            self.version_gate.record_arrival()
        self._last_call_id += 1
        call = UpstreamCall(self, reply_channel, request, self._last_call_id)
        self._calls[call.call_id] = call
        self._active_request_ids[request.request_id] += 1
        if not self._hold_memory(call):
            call.refuse(Refusal.NO_ROOM, MEMORY_RETRY_AFTER_S)
            return call
        if call.is_body_complete:
            self.admit(call)
            return call
        # Don't spend the link's bandwidth on the body of a call that will be refused.
        reason = self._check_refusal(request)
        transfer_s = self.flow_control.estimate_transfer_time_s(call.remaining_body_bytes)
        if reason is not None:
            call.refuse(reason, 0.0)
        elif self.scheduler.is_too_late(call.scheduled, self.now() + transfer_s):
            call.refuse(Refusal.NO_ROOM, self.flow_control.backlog_s)
        elif self.scheduler.is_too_late(call.scheduled, self.now() + self._estimate_rate_delay_s()):
            call.refuse(Refusal.NO_ROOM, self._estimate_rate_delay_s())
        else:
            self.send_window_updates(
                self.flow_control.open(call.call_id, call.remaining_body_bytes)
            )
        return call

    def is_version_closed(self) -> bool:
        """Tell whether the upstream's software version may run no calls now."""
        return self.version_gate is not None and not self.version_gate.may_run()

    def refuse_waiting(self, reason: Refusal) -> None:
        """Refuse all calls that wait for a slot."""
        for scheduled in self.scheduler.clear_waiting():
            self._refuse(scheduled, reason, 0.0)

    def send_window_updates(self, grants: list[Grant]) -> None:
        """Allow the senders of request bodies to send more."""
        for grant in grants:
            call = self._calls.get(grant.call_id)
            if call is not None:
                self.budget.record_progress(call)
                call.grant_window(grant.size_bytes)

    def admit(self, call: UpstreamCall) -> None:
        """Run, queue or refuse a call whose request body is complete."""
        self.budget.forget(call)
        reason = self._check_refusal(call.request)
        if reason is None and self._is_crash_suspect(call):
            reason = Refusal.CRASH_SUSPECT
        if reason is not None:
            call.refuse(reason, 0.0)
            return
        if self._refuse_by_nested_calls(call):
            return
        if not self._reserve_link(call):
            call.refuse(Refusal.NO_ROOM, self.response_sender.flow_control.backlog_s)
            return
        self._apply_decision(self.scheduler.submit(call.scheduled, self.now()))

    def finish_call(self, call: UpstreamCall, is_completed: bool, response_bytes: int) -> Load:
        """Free the resources of a call, start the next ones, and return the remaining load."""
        self._calls.pop(call.call_id, None)
        self.budget.forget(call)
        self.budget.held_bytes -= call.held_bytes
        call.held_bytes = 0
        self.send_window_updates(self.flow_control.close(call.call_id))
        request_id = call.request.request_id
        self._active_request_ids[request_id] -= 1
        if not self._active_request_ids[request_id]:
            del self._active_request_ids[request_id]
        now = self.now()
        if call.was_sent and not is_completed:
            self.ended_calls.record(request_id, now)
        self.nested_calls.end_outer(request_id, is_completed)
        if is_completed:
            self._response_bytes.update(call.request.route, response_bytes)
            if self.crash_guard is not None:
                method, target = split_request_line(call.request.head)
                self.crash_guard.record_completed(call.request.service, method, target)
        self.response_sender.release(call.call_id)
        if self.scheduler.remove_waiting(call.call_id):
            return self.get_load()
        decision = self.scheduler.release(call.call_id, now, is_completed)
        load = self.get_load()
        self._apply_decision(decision)
        return load

    def check_timeouts(self) -> None:
        """Refuse calls that would start too late, and end those that nobody cancelled in time."""
        now = self.now()
        self.pool.close_expired()
        self.response_sender.check_timeouts()
        self._apply_decision(self.scheduler.reschedule(now))
        latest_deadline = now - CANCELLATION_GRACE_S
        for call in [call for call in self._calls.values() if call.deadline <= latest_deadline]:
            call.expire()
        if not self._can_queue():
            self.refuse_waiting(Refusal.DRAINING)
        elif self.is_version_closed():
            self.refuse_waiting(Refusal.VERSION_CLOSED)

    def apply_registration(self) -> None:
        """Apply the address and the slots of the current registration."""
        current = self.registration.current
        if current is None:
            return
        if self.crash_detector is not None:
            self.crash_detector.handle_registration()
        self.pool.set_address(current.address)
        previous, self._limited_upstream = self._limited_upstream, current
        if previous is not None and not may_be_same_incarnation(previous, current):
            # What another incarnation named does not bind this one.
            self.scheduler.rate_limiter.set_rate(None, self.now())
        self.scheduler.limit = max(1, current.slots)
        self._apply_decision(self.scheduler.reschedule(self.now()))

    def is_upstream_silent(self) -> bool:
        """Tell whether heartbeats have been missing for too long."""
        registration = self.registration
        if registration.current is None:
            return True
        return self.now() - registration.last_heartbeat_at > HEARTBEAT_TIMEOUT_S

    def _hold_memory(self, call: UpstreamCall) -> bool:
        """Take what a call needs of the budget; return False if there is no room.

        A call from the daemon's own caller shares the body that is counted there.
        """
        if not call.reply_channel.is_flow_controlled:
            return True
        request = call.request
        call.held_bytes = REQUEST_MEMORY_BYTES + len(request.head) + max(0, request.body_bytes)
        self.budget.held_bytes += call.held_bytes
        return self.budget.has_room(call.held_bytes, call)

    def _refuse_by_nested_calls(self, call: UpstreamCall) -> bool:
        """Refuse a call whose nested calls can't be served now; return whether it was."""
        request = call.request
        refusal = self.nested_calls.check(request.route, self.now())
        if refusal is None:
            return False
        self.call_log.record_nested_refusal(call, refusal)
        call.refuse(Refusal.NESTED_REFUSED, refusal.retry_after_s)
        return True

    def _reserve_link(self, call: UpstreamCall) -> bool:
        """Reserve the link for a large response; return False if it couldn't arrive in time."""
        if not call.reply_channel.is_flow_controlled:
            return True
        route = call.request.route
        expected_bytes = self._response_bytes.get(route, 0.0)
        if expected_bytes <= BODY_CHUNK_BYTES:
            return True
        flow_control = self.response_sender.flow_control
        delay_s = flow_control.estimate_delay_s(
            expected_bytes, self.scheduler.estimate_service_time_s(route)
        )
        transfer_s = expected_bytes / flow_control.bytes_per_s
        if not self.scheduler.accepts_delivery(call.scheduled, self.now(), delay_s, transfer_s):
            return False
        flow_control.reserve(call.call_id, expected_bytes)
        return True

    def _is_crash_suspect(self, call: UpstreamCall) -> bool:
        guard = self.crash_guard
        return guard is not None and guard.has_suspects and guard.would_refuse(call.describe())

    def _can_queue(self) -> bool:
        current = self.registration.current
        return current is not None and self.accepts_service(current.service)

    def _check_refusal(self, request: OpenStream) -> Refusal | None:
        current = self.registration.current
        if current is None:
            return Refusal.NO_UPSTREAM
        if current.service != request.service:
            return Refusal.WRONG_SERVICE
        if self.is_stopping or not self.accepts_service(request.service):
            return Refusal.DRAINING
        if self.is_version_closed():
            return Refusal.VERSION_CLOSED
        return None

    def _apply_decision(self, decision: SchedulingDecision) -> None:
        for scheduled, retry_after_s in decision.refused:
            self._refuse(scheduled, Refusal.NO_ROOM, retry_after_s)
        for scheduled in decision.started:
            call = self._calls.get(scheduled.call_id)
            if call is None:
                self.scheduler.release(scheduled.call_id, self.now(), is_completed=False)
            else:
                request = call.request
                self.nested_calls.start_outer(
                    request.request_id, request.route, request.is_idempotent
                )
                call.start()
        self._schedule_next_start()

    def _estimate_rate_delay_s(self) -> float:
        scheduler = self.scheduler
        return scheduler.rate_limiter.estimate_delay_s(len(scheduler.waiting), self.now())

    def _schedule_next_start(self) -> None:
        """Reschedule when the rate limit lets the next waiting call start."""
        if self.scheduler.rate_limiter.rate_per_s is None or self._rate_timer is not None:
            return
        next_start_at = self.scheduler.find_next_start(self.now())
        if next_start_at is None:
            return
        delay_s = next_start_at - self.now()
        self._rate_timer = asyncio.get_running_loop().call_later(delay_s, self._start_paced_calls)

    def _cancel_rate_timer(self) -> None:
        """Let the next decision schedule the timer anew, as the rate has changed."""
        if self._rate_timer is not None:
            self._rate_timer.cancel()
            self._rate_timer = None

    def _start_paced_calls(self) -> None:
        self._rate_timer = None
        self._apply_decision(self.scheduler.reschedule(self.now()))

    def _refuse(self, scheduled: ScheduledCall, reason: Refusal, retry_after_s: float) -> None:
        call = self._calls.get(scheduled.call_id)
        if call is not None:
            call.refuse(reason, retry_after_s)
