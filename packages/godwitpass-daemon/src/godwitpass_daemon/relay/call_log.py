"""Counts and logs what became of the calls run here, with the inputs that decided it."""

from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING

from godwitpass.events import EventKind, FieldValue
from godwitpass.internal.relay import events as kinds
from godwitpass.internal.relay.frames import Failure, Refusal
from godwitpass.internal.relay.sampling import is_sampled
from godwitpass_daemon.relay.upstream_calls import Job

if TYPE_CHECKING:
    from godwitpass_daemon.relay.upstream_runner import Host

Emit = Callable[[EventKind, dict[str, FieldValue]], None]


class RunLog:
    """Writes for one host; `counts` are served as metrics."""

    def __init__(self, host: "Host", emit: Emit) -> None:
        self.counts: Counter[str] = Counter()
        self._host = host
        self._emit = emit

    def note_refused(self, job: Job, reason: Refusal, retry_s: float) -> None:
        """Count and log a call that was not run, with what decided it."""
        self.counts[f"refused-{reason.name.lower()}"] += 1
        host = self._host
        now, slots = host.now(), host.slots
        self._emit(
            kinds.RUN_REFUSED,
            {
                "request": job.opened.request_id,
                "route": job.opened.route,
                "reason": reason.name.lower(),
                "running": len(slots.running),
                "waiting": len(slots.waiting),
                "slots": slots.limit,
                "work_ms": int(slots.expect_work(job.opened.route) * 1000),
                "inbound_ms": int(host.inbound.backlog_s * 1000),
                "left_ms": int((job.deadline - now) * 1000),
                "waited_ms": int((now - job.ticket.arrived_at) * 1000),
                "retry_ms": int(retry_s * 1000),
            },
        )

    def note_failed(self, job: Job, reason: Failure) -> None:
        """Count and log a call that has no whole answer."""
        self.counts[f"failed-{reason.name.lower()}"] += 1
        self._emit(kinds.RUN_FAILED, self._describe(job, reason.name.lower()))

    def note_cancelled(self, job: Job, sent_at: float) -> None:
        """Count and log a call whose sender gave it up while it ran."""
        self.counts["cancelled"] += 1
        fields = self._describe(job, "cancelled")
        fields["ran_ms"] = int((self._host.now() - sent_at) * 1000)
        fields["running"], fields["slots"] = len(self._host.slots.running), self._host.slots.limit
        self._emit(kinds.RUN_CANCELLED, fields)

    def note_answered(self, job: Job, status: int, wait_ms: int, service_ms: int) -> None:
        """Count an answer and log some."""
        self.counts[f"answered-{status}"] += 1
        if status >= 500 or is_sampled(job.opened.request_id):
            fields = self._describe(job, f"status-{status}")
            self._emit(kinds.RUN_ENDED, {**fields, "wait_ms": wait_ms, "service_ms": service_ms})

    def _describe(self, job: Job, outcome: str) -> dict[str, FieldValue]:
        host = self._host
        current, now = host.registration.current, host.now()
        return {
            "request": job.opened.request_id,
            "route": job.opened.route,
            "outcome": outcome,
            "upstream": current.upstream if current else "",
            "heard_ms_ago": int((now - host.registration.heard_at) * 1000),
            "left_ms": int((job.deadline - now) * 1000),
        }

    def note_refusal(self, status: int) -> None:
        """Count a refusal by the upstream itself."""
        self.counts[f"upstream-refused-{status}"] += 1

    def note_unreachable(self, error: Exception) -> None:
        """Report that the upstream accepts no connection."""
        self.counts["upstream-unreachable"] += 1
        self._emit(kinds.UPSTREAM_UNREACHABLE, {"error": repr(error)})
