"""One call: from a checked request head to a whole answer or a typed refusal."""

import asyncio
from typing import TYPE_CHECKING

from godwitpass.document import Execution
from godwitpass.internal.calls import events as kinds
from godwitpass.internal.calls.dispatcher import Dispatcher
from godwitpass.internal.calls.messages import Abandoned, AttemptArrived, CallerKey, Event
from godwitpass.internal.calls.outcomes import STATUS_OF_REFUSED, Outcome, Reason
from godwitpass.internal.retrying.decision import (
    ExecutionCertainty,
    FailedAttempt,
    may_hedge,
    may_retry,
)
from godwitpass.internal.routing.table import CompiledRoute
from godwitpass_daemon.edge.refusals import encode_refusal
from godwitpass_daemon.edge.attempts import Attempt
from godwitpass_daemon.edge.bodies import RequestBody
from godwitpass_daemon.edge.checks import CallChecks
from godwitpass_daemon.edge.guards import ClaimVerdict
from godwitpass_daemon.edge.heads import (
    AnswerHead,
    Framing,
    RequestHead,
    encode_answer_head,
)
from godwitpass_daemon.edge.limits import STALL_NOTICE_S
from godwitpass_daemon.edge.timers import CallTimers

if TYPE_CHECKING:
    from godwitpass_daemon.edge.callers import CallerConnection
    from godwitpass_daemon.edge.core import EdgeCore

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
FAILURE_REASONS = {
    ExecutionCertainty.UNSENT: Reason.CONNECT_FAILED,
    ExecutionCertainty.REFUSED: Reason.UPSTREAM_REFUSED,
    ExecutionCertainty.UNCERTAIN: Reason.UPSTREAM_BROKEN,
}


class Call:
    """The state of one call in progress."""

    __slots__ = (
        "_arrived_at",
        "_attempts",
        "_body_progress_at",
        "_checks",
        "_claim",
        "_ended",
        "_framing",
        "_last_failure",
        "_maybe_ran",
        "_out",
        "_sent",
        "_timers",
        "_unsent",
        "_waits_for_body",
        "_winner",
        "body",
        "caller",
        "connection",
        "dispatcher",
        "edge",
        "head",
        "is_idempotent",
        "route",
    )

    def __init__(
        self,
        edge: "EdgeCore",
        connection: "CallerConnection",
        caller: CallerKey,
        head: RequestHead,
        body: RequestBody,
        route: CompiledRoute,
        dispatcher: Dispatcher,
    ) -> None:
        now = edge.now()
        self.edge = edge
        self.connection = connection
        self.caller = caller
        self.head = head
        self.body = body
        self.route = route
        self.dispatcher = dispatcher
        self.is_idempotent = route.policy.execution is Execution.IDEMPOTENT
        self._arrived_at = now
        self._body_progress_at = now
        self._timers = CallTimers(edge.loop)
        self._checks = CallChecks(
            edge.claim_guard, edge.crash_guard, head, body, route, self._timers
        )
        self._attempts: list[Attempt] = []
        self._winner: Attempt | None = None
        self._framing = Framing.NONE
        self._out: list[bytes] = []
        self._sent = 0
        self._unsent = 0
        self._maybe_ran = False
        self._last_failure: Reason | None = None
        self._waits_for_body = True
        self._ended = False
        self._claim: asyncio.Task[None] | None = None

    def begin(self) -> None:
        """Start as soon as enough of the body came."""
        timeout_ms = self.head.context.timeout_ms
        if timeout_ms is not None:
            self._timers.deadline = self._arrived_at + timeout_ms / 1000
            self._timers.watch_deadline(self.expire)
        if self.head.expects_continue and not self.body.complete:
            self.connection.write(CONTINUE)
        self.body.on_change = self._change_body
        self._change_body()

    def dispatch(self, event: Event) -> None:
        """Give an event to the service's dispatcher."""
        self.edge.dispatch(self.dispatcher, event)

    def measure_remaining(self) -> float | None:
        """Return the seconds left until the deadline, None without one."""
        return self._timers.measure_remaining()

    def cancel(self) -> None:
        """Stop because the caller left; upstreams see their connections close."""
        if not self._ended:
            self._end(Outcome.UNKNOWN if self._may_have_run() else Outcome.NOT_RUN)
            self.edge.count("cancelled")

    def expire(self) -> None:
        """Answer because the deadline passed."""
        if not self._ended and self._winner is None:
            self._refuse(Reason.DEADLINE)

    def sweep(self, now: float) -> None:
        """Break off transfers without progress."""
        stall_s = self.route.policy.stall_timeout_ms / 1000
        winner = self._winner
        if winner is not None:
            if now - winner.progress_at > stall_s:
                self._break_off("stalled")
            return
        if self.body.complete or self.body.is_full:
            return
        if now - self._body_progress_at > stall_s:
            self._refuse(Reason.STALLED)
            return
        for attempt in self._attempts:
            attempt.notice_stall(now, STALL_NOTICE_S)

    # Called by the dispatcher.

    def refuse_attempt(self, attempt: Attempt, reason: Reason, retry_after_s: float) -> None:
        """Answer that no upstream took the call, unless another attempt still runs."""
        self._attempts.remove(attempt)
        if not self._attempts and not self._ended:
            self._refuse(self._last_failure or reason, retry_after_s)

    # Called by attempts.

    def fail_attempt(self, attempt: Attempt, certainty: ExecutionCertainty) -> None:
        """Send the call once more or answer that it failed."""
        self._attempts.remove(attempt)
        if certainty is ExecutionCertainty.UNSENT:
            self._unsent += 1
        else:
            self._sent += 1
        if self._attempts or self._ended:
            return
        self._last_failure = FAILURE_REASONS[certainty]
        failed = FailedAttempt(
            certainty=certainty,
            sent=self._sent,
            unsent=self._unsent,
            replayable=self.body.is_replayable,
            is_retry=self.head.context.is_retry,
        )
        if may_retry(failed, self.route.policy, self.dispatcher.budget):
            self._try(avoid=attempt)
            return
        self._refuse(self._last_failure)

    def lose_attempt(self, attempt: Attempt, stale: bool, invalid: bool) -> None:
        """Take in that an attempt's connection broke before its answer was whole."""
        if attempt is self._winner:
            self._break_off("invalid" if invalid else "connection lost")
            return
        self._maybe_ran = True
        if stale and self.is_idempotent and not self._sent and len(self._attempts) == 1:
            self._sent += 1
            self._attempts.remove(attempt)
            self._try(avoid=attempt)
            return
        if not stale and not invalid:
            self._checks.report_crash()
        self.fail_attempt(attempt, ExecutionCertainty.UNCERTAIN)

    def receive_head(self, attempt: Attempt, head: AnswerHead) -> None:
        """Pass the first answer's head on and drop the other attempts."""
        self._winner = attempt
        self._timers.stop()
        for other in [found for found in self._attempts if found is not attempt]:
            self._drop(other)
        self._framing = head.framing
        close = self.connection.must_close or not self.body.complete
        self._out.append(encode_answer_head(head, close))

    def receive_body(self, attempt: Attempt, chunk: bytes) -> None:
        """Pass a part of the answer on."""
        assert attempt is self._winner
        if self._framing is Framing.CHUNKED:
            self._out.append(b"%x\r\n%b\r\n" % (len(chunk), chunk))
        else:
            self._out.append(chunk)

    def complete_answer(self, attempt: Attempt) -> None:
        """Write the end of a whole answer."""
        assert attempt is self._winner
        if self._framing is Framing.CHUNKED:
            self._out.append(b"0\r\n\r\n")
        self.flush()

    def finish_answer(self, attempt: Attempt) -> None:
        """Finish after a whole answer."""
        assert attempt is self._winner
        self._attempts.clear()
        self._end(None)
        self.edge.record_answer(self._arrived_at)
        self.connection.finish_call()

    def flush(self) -> None:
        """Write what gathered to the caller."""
        if self._out:
            data = b"".join(self._out)
            self._out.clear()
            self.connection.write(data)

    # Called by the caller's connection.

    def pause_answer(self) -> None:
        """Let the upstream wait for a slow caller."""
        if self._winner is not None:
            self._winner.pause_answer()

    def resume_answer(self) -> None:
        """Go on with the answer."""
        if self._winner is not None:
            self._winner.resume_answer()

    def resume_caller(self) -> None:
        """Let the caller send more, now that there is room."""
        if not self.body.is_full:
            self.connection.resume_body()

    def _change_body(self) -> None:
        if self._ended:
            return
        body = self.body
        self._body_progress_at = self.edge.now()
        if body.broken:
            self._refuse(Reason.MALFORMED)
            return
        if body.complete and self._winner is None:
            timeout_s = self.route.policy.timeout_ms / 1000
            self._timers.deadline = min(self._timers.deadline, self._body_progress_at + timeout_s)
        if self._waits_for_body:
            if body.complete or body.is_full:
                self._waits_for_body = False
                self._check_guards()
        else:
            for attempt in self._attempts:
                attempt.pump_body()
        if body.is_full:
            self.connection.pause_body()
        if body.complete and not self._ended and self._winner is None:
            self._timers.watch_deadline(self.expire)

    def _check_guards(self) -> None:
        if self._checks.is_refused():
            self._refuse(Reason.CRASH_SUSPECT)
            return
        if self.route.policy.execution is Execution.ONCE:
            self._claim = self.edge.loop.create_task(self._claim_then_try())
            return
        self._try(avoid=None)

    async def _claim_then_try(self) -> None:
        verdict = await self._checks.claim()
        if self._ended:
            self._checks.settle(Outcome.NOT_RUN)
            return
        if verdict is ClaimVerdict.FIRST:
            self._try(avoid=None)
            return
        self._maybe_ran = verdict is ClaimVerdict.REPEATED
        is_invalid = verdict is ClaimVerdict.INVALID
        self._refuse(Reason.INVALID_IDEMPOTENCY_KEY if is_invalid else Reason.CLAIM_REFUSED)

    def _try(self, avoid: Attempt | None) -> None:
        now = self.edge.now()
        is_first = avoid is None
        if is_first:
            self.dispatcher.budget.deposit()
        attempt = Attempt(self, self.edge.create_number(), is_repeat=not is_first)
        self._attempts.append(attempt)
        self.edge.register(attempt)
        # Only a first attempt waits: of any other one, the answer is decided already.
        queue_s = self.route.policy.queue_ms / 1000 if is_first else 0.0
        failed = avoid.upstream if avoid is not None else None
        self.dispatch(
            AttemptArrived(
                call=attempt.number,
                caller=self.caller,
                route=self.route.route.name,
                queue_until=now + queue_s,
                deadline=self._timers.deadline,
                upload=not self.body.complete,
                avoid=failed.instance if failed is not None else None,
            )
        )
        if is_first and attempt.started:
            self._arm_hedge()

    def _arm_hedge(self) -> None:
        if not may_hedge(self.route.policy, self.head.method, self.head.context.is_retry):
            return
        delay = self.dispatcher.latencies.choose_hedge_delay(self.route.route.name)
        if delay is not None:
            self._timers.start_hedge(delay, self._hedge)

    def _hedge(self) -> None:
        pending = self._winner is None and len(self._attempts) == 1
        if pending and not self._ended and self.dispatcher.budget.withdraw():
            self.edge.count("hedged")
            self._try(avoid=self._attempts[0])

    def _may_have_run(self) -> bool:
        return self._maybe_ran or any(attempt.wrote for attempt in self._attempts)

    def _refuse(self, reason: Reason, retry_after_s: float | None = None) -> None:
        """Answer without an answer of an upstream."""
        outcome = Outcome.UNKNOWN if self._may_have_run() else Outcome.NOT_RUN
        if reason in STATUS_OF_REFUSED and outcome is Outcome.NOT_RUN:
            outcome = Outcome.REFUSED
        self._end(outcome)
        self.edge.count(outcome.value)
        close = self.connection.must_close or not self.body.complete
        self.connection.write(encode_refusal(outcome, reason, retry_after_s, close))
        self.connection.finish_call()

    def _break_off(self, why: str) -> None:
        """Cut the connection to the caller, so that a truncated answer can't pass for whole."""
        self.edge.report(kinds.CALL_BROKEN_OFF, {"route": self.route.route.name, "why": why})
        self.edge.count("broken-off")
        self._end(Outcome.UNKNOWN)
        self.connection.break_off()

    def _end(self, outcome: Outcome | None) -> None:
        assert not self._ended, "a call ends once"
        self._ended = True
        self._timers.stop()
        self.body.on_change = None
        for attempt in list(self._attempts):
            self._drop(attempt)
        self._checks.settle(outcome)
        self.edge.end_call(self)

    def _drop(self, attempt: Attempt) -> None:
        self._attempts.remove(attempt)
        if attempt.started:
            attempt.cancel()
        else:
            self.edge.forget(attempt)
            self.dispatch(Abandoned(attempt.number))
