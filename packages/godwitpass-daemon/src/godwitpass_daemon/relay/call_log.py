"""Counts and logs the outcomes of calls run here, with the state that explains them."""

from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING

from godwitpass.events import EventKind, FieldValue
from godwitpass.internal.relay import events as kinds
from godwitpass.internal.relay.frames import Failure, Refusal
from godwitpass.internal.relay.nested_calls import NestedRefusal
from godwitpass.internal.relay.sampling import is_sampled
from godwitpass_daemon.relay.upstream_calls import UpstreamCall

if TYPE_CHECKING:
    from godwitpass_daemon.relay.upstream_runner import UpstreamRunner

LOGGED_RATE_CHANGE = 0.1
"""Relative change of a limit from which it is logged."""

Emit = Callable[[EventKind, dict[str, FieldValue]], None]


class UpstreamCallLog:
    """Logs for one `UpstreamRunner`; `counts` are exported as metrics."""

    def __init__(self, runner: "UpstreamRunner", emit: Emit) -> None:
        self.counts: Counter[str] = Counter()
        self._runner = runner
        self._emit = emit

    def record_refused(self, call: UpstreamCall, reason: Refusal, retry_after_s: float) -> None:
        """Count and log a call that is refused, with the state that caused it."""
        self.counts[f"refused-{reason.name.lower()}"] += 1
        runner = self._runner
        now, scheduler = runner.now(), runner.scheduler
        self._emit(
            kinds.RUN_REFUSED,
            {
                "request": call.request.request_id,
                "route": call.request.route,
                "reason": reason.name.lower(),
                "running": len(scheduler.running),
                "waiting": len(scheduler.waiting),
                "slots": scheduler.limit,
                "rate_per_s": scheduler.rate_limiter.rate_per_s or 0.0,
                "work_ms": int(scheduler.estimate_service_time_s(call.request.route) * 1000),
                "inbound_ms": int(runner.flow_control.backlog_s * 1000),
                "outbound_ms": int(runner.response_sender.flow_control.backlog_s * 1000),
                "left_ms": int((call.deadline - now) * 1000),
                "waited_ms": int((now - call.scheduled.arrived_at) * 1000),
                "retry_ms": int(retry_after_s * 1000),
            },
        )

    def record_nested_refusal(self, call: UpstreamCall, refusal: NestedRefusal) -> None:
        """Log why the nested calls of a refused call can't be served."""
        self._emit(
            kinds.NESTED_CALLS_REFUSED,
            {
                "request": call.request.request_id,
                "route": call.request.route,
                "loss": round(refusal.loss, 2),
                "retry_ms": int(refusal.retry_after_s * 1000),
            },
        )

    def record_rate_limit(self, rate_per_s: float | None, previous: float | None) -> None:
        """Log that the upstream named a limit, changed it much or lifted it."""
        if rate_per_s is not None and previous is not None:
            self.counts["limit-changed"] += 1
            if abs(rate_per_s - previous) < LOGGED_RATE_CHANGE * previous:
                return
        current = self._runner.registration.current
        self._emit(
            kinds.UPSTREAM_LIMITED,
            {
                "upstream": current.upstream if current else "",
                "per_s": -1.0 if rate_per_s is None else rate_per_s,
                "previous_per_s": -1.0 if previous is None else previous,
                "waiting": len(self._runner.scheduler.waiting),
            },
        )

    def record_failed(self, call: UpstreamCall, reason: Failure) -> None:
        """Count and log a call without a complete response."""
        self.counts[f"failed-{reason.name.lower()}"] += 1
        self._emit(kinds.RUN_FAILED, self._describe(call, reason.name.lower()))

    def record_cancelled(self, call: UpstreamCall, sent_at: float) -> None:
        """Count and log a call that its sender cancelled while it ran."""
        self.counts["cancelled"] += 1
        fields = self._describe(call, "cancelled")
        fields["ran_ms"] = int((self._runner.now() - sent_at) * 1000)
        fields["running"], fields["slots"] = (
            len(self._runner.scheduler.running),
            self._runner.scheduler.limit,
        )
        self._emit(kinds.RUN_CANCELLED, fields)

    def record_response_sent(
        self, call: UpstreamCall, status: int, wait_ms: int, service_ms: int
    ) -> None:
        """Count a response, and log server errors and sampled calls."""
        self.counts[f"answered-{status}"] += 1
        if status >= 500 or is_sampled(call.request.request_id):
            fields = self._describe(call, f"status-{status}")
            self._emit(kinds.RUN_ENDED, {**fields, "wait_ms": wait_ms, "service_ms": service_ms})

    def _describe(self, call: UpstreamCall, outcome: str) -> dict[str, FieldValue]:
        runner = self._runner
        current, now = runner.registration.current, runner.now()
        return {
            "request": call.request.request_id,
            "route": call.request.route,
            "outcome": outcome,
            "upstream": current.upstream if current else "",
            "heard_ms_ago": int((now - runner.registration.last_heartbeat_at) * 1000),
            "left_ms": int((call.deadline - now) * 1000),
        }

    def record_upstream_refusal(self, status: int) -> None:
        """Count a refusal by the upstream itself."""
        self.counts[f"upstream-refused-{status}"] += 1

    def record_upstream_check(self, broken_calls: int, has_ended: bool, reason: str) -> None:
        """Count and log whether the upstream has ended whose connections broke during calls."""
        self.counts["checked-ended" if has_ended else "checked-alive"] += 1
        current = self._runner.registration.current
        self._emit(
            kinds.UPSTREAM_CHECKED,
            {
                "upstream": current.upstream if current else "",
                "started_ms": current.started_ms if current else 0,
                "broken_calls": broken_calls,
                "ended": has_ended,
                "reason": reason,
            },
        )

    def record_unreachable(self, error: Exception) -> None:
        """Count and log that the upstream accepts no connection."""
        self.counts["upstream-unreachable"] += 1
        self._emit(kinds.UPSTREAM_UNREACHABLE, {"error": repr(error)})
