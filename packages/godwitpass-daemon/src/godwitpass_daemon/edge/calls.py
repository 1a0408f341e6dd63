"""One call: from a parsed request head to a complete response or a refusal."""

import asyncio
import math
from typing import TYPE_CHECKING

from godwitpass.document import Execution
from godwitpass.internal.calls import events
from godwitpass.internal.calls.dispatcher import Dispatcher
from godwitpass.internal.calls.messages import AttemptAbandoned, AttemptArrived, CallerKey, Event
from godwitpass.internal.calls.outcomes import REFUSED_STATUSES, Outcome, Reason
from godwitpass.internal.retrying.decision import (
    ExecutionCertainty,
    FailedAttempt,
    may_retry,
)
from godwitpass.internal.retrying.extra_requests import CallFacts, Verdict, check_call
from godwitpass.internal.routing.table import CompiledRoute
from godwitpass_daemon.edge.attempts import Attempt
from godwitpass_daemon.edge.bodies import RequestBody
from godwitpass_daemon.edge.call_guards import CallGuards
from godwitpass_daemon.edge.guards import ClaimVerdict
from godwitpass_daemon.edge.heads import (
    Framing,
    RequestHead,
    ResponseHead,
    encode_response_head,
)
from godwitpass_daemon.edge.limits import UPLOAD_STALL_S
from godwitpass_daemon.edge.refusals import encode_refusal
from godwitpass_daemon.edge.timers import CallTimers

if TYPE_CHECKING:
    from godwitpass_daemon.edge.callers import CallerConnection
    from godwitpass_daemon.edge.core import EdgeCore

CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
FAILURE_REASONS = {
    ExecutionCertainty.UNSENT: Reason.CONNECT_FAILED,
    ExecutionCertainty.REFUSED: Reason.UPSTREAM_REFUSED,
    ExecutionCertainty.UNCERTAIN: Reason.UPSTREAM_BROKEN,
}


class Call:
    """State of one call in progress: its request, its attempts and its response.

    `_responding_attempt` is the attempt whose response is forwarded; the others are cancelled.
    """

    __slots__ = (
        "_arrived_at",
        "_attempts",
        "_body_progress_at",
        "_claim_task",
        "_ended_attempt_may_have_run",
        "_guards",
        "_has_ended",
        "_is_buffering_body",
        "_last_failure",
        "_output",
        "_responding_attempt",
        "_response_framing",
        "_sent_attempts",
        "_timers",
        "_unconfirmed_bytes",
        "_unsent_attempts",
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
        self._guards = CallGuards(
            edge.claim_guard, edge.crash_guard, head, body, route, self._timers
        )
        self._attempts: list[Attempt] = []
        self._responding_attempt: Attempt | None = None
        self._response_framing = Framing.NONE
        self._output: list[bytes] = []
        self._sent_attempts = 0
        self._unsent_attempts = 0
        self._unconfirmed_bytes = 0
        self._ended_attempt_may_have_run = False
        self._last_failure: Reason | None = None
        self._is_buffering_body = True
        self._has_ended = False
        self._claim_task: asyncio.Task[None] | None = None

    @property
    def progress_at(self) -> float:
        """When the body or the response last made progress."""
        if self._responding_attempt is not None:
            return self._responding_attempt.last_progress_at
        return max(
            [self._body_progress_at, *(attempt.last_progress_at for attempt in self._attempts)]
        )

    @property
    def waits_for_caller(self) -> bool:
        """Whether the rest of the body is missing, or a response waits to be read."""
        return self._responding_attempt is not None or not self.body.is_complete

    @property
    def unsent_bytes(self) -> int:
        """Size of the parts of the body that wait to be sent to upstreams."""
        return sum(attempt.unsent_bytes for attempt in self._attempts)

    def start(self) -> None:
        """Start the deadline, and send the first attempt once enough of the body is buffered."""
        timeout_ms = self.head.context.timeout_ms
        if timeout_ms is not None:
            self._timers.deadline = self._arrived_at + timeout_ms / 1000
            self._timers.start_deadline_timer(self.expire)
        if self.head.expects_continue and not self.body.is_complete:
            self.connection.write(CONTINUE_RESPONSE)
        self.body.on_change = self._handle_body_change
        self._handle_body_change()

    def dispatch(self, event: Event) -> None:
        """Pass an event to the service's dispatcher."""
        self.edge.dispatch(self.dispatcher, event)

    def compute_remaining_s(self) -> float | None:
        """Return the seconds until the deadline, None without one."""
        return self._timers.compute_remaining_s()

    def cancel(self) -> None:
        """End the call because the caller disconnected; its attempts are cancelled."""
        if not self._has_ended:
            self._end(Outcome.UNKNOWN if self._may_have_run() else Outcome.NOT_RUN)
            self.edge.count("cancelled")

    def expire(self) -> None:
        """Refuse the call because its deadline passed, unless a response has started."""
        if not self._has_ended and self._responding_attempt is None:
            self._refuse(Reason.DEADLINE)

    def reclaim(self) -> None:
        """End the call to free its memory."""
        if self._responding_attempt is not None:
            self._abort_response("memory")
        else:
            self._refuse(Reason.OVERLOADED)

    def check_timeouts(self, now: float, late_s: float) -> None:
        """End the call when its upload or its response makes no progress.

        The `late_s` by which this check is late don't count, since this process was paused or busy
        and what arrived meanwhile isn't read yet.
        """
        self._body_progress_at += late_s
        for attempt in self._attempts:
            attempt.last_progress_at += late_s
        stall_s = self.route.policy.stall_timeout_ms / 1000
        responding_attempt = self._responding_attempt
        if responding_attempt is not None:
            # Nothing is read from the upstream while a slow caller takes what is buffered.
            unconfirmed_bytes = self.connection.count_unconfirmed_bytes()
            if unconfirmed_bytes < self._unconfirmed_bytes:
                responding_attempt.last_progress_at = now
            self._unconfirmed_bytes = unconfirmed_bytes
            if now - responding_attempt.last_progress_at > stall_s:
                self._abort_response("stalled")
            return
        if self.body.is_complete or self.body.is_full:
            return
        if now - self._body_progress_at > stall_s:
            self._refuse(Reason.STALLED)
            return
        for attempt in self._attempts:
            attempt.check_stall(now, UPLOAD_STALL_S)

    # Called by the dispatcher.

    def refuse_attempt(self, attempt: Attempt, reason: Reason, retry_after_s: float) -> None:
        """Refuse the call because no upstream is available, unless another attempt is left."""
        self._attempts.remove(attempt)
        if not self._attempts and not self._has_ended:
            self._refuse(self._last_failure or reason, retry_after_s)

    # Called by attempts.

    def fail_attempt(self, attempt: Attempt, certainty: ExecutionCertainty) -> None:
        """Retry the call, or refuse it, after its last attempt failed."""
        self._attempts.remove(attempt)
        if certainty is ExecutionCertainty.UNSENT:
            self._unsent_attempts += 1
        else:
            self._sent_attempts += 1
        if self._attempts or self._has_ended:
            return
        self._last_failure = FAILURE_REASONS[certainty]
        failed = FailedAttempt(
            certainty=certainty,
            sent_attempts=self._sent_attempts,
            unsent_attempts=self._unsent_attempts,
            is_replayable=self.body.is_replayable,
            is_retry=self.head.context.is_retry,
        )
        if (
            may_retry(failed, self.route.policy, self.dispatcher.retry_budget)
            and not self._guards.is_refused()
        ):
            self._start_attempt(avoid=attempt)
            return
        self._refuse(self._last_failure)

    def handle_attempt_loss(self, attempt: Attempt, is_stale: bool, is_invalid: bool) -> None:
        """Handle that an attempt's connection broke before its response was complete.

        An idempotent call whose stale connection broke is sent again at no cost to the budget.
        """
        if attempt is self._responding_attempt:
            self._abort_response("invalid" if is_invalid else "connection lost")
            return
        self._ended_attempt_may_have_run = True
        if is_stale and self.is_idempotent and not self._sent_attempts and len(self._attempts) == 1:
            self._sent_attempts += 1
            self._attempts.remove(attempt)
            self._start_attempt(avoid=attempt)
            return
        if not is_stale and not is_invalid:
            self._guards.report_crash()
        self.fail_attempt(attempt, ExecutionCertainty.UNCERTAIN)

    def receive_head(self, attempt: Attempt, head: ResponseHead) -> None:
        """Forward the head of the first response, and cancel the other attempts."""
        self._responding_attempt = attempt
        self._timers.stop()
        for other in [other for other in self._attempts if other is not attempt]:
            self._drop_attempt(other)
        self._response_framing = head.framing
        closes_connection = self.connection.must_close or not self.body.is_complete
        self._output.append(encode_response_head(head, closes_connection))

    def receive_body(self, attempt: Attempt, chunk: bytes) -> None:
        """Forward a part of the response body."""
        assert attempt is self._responding_attempt
        if self._response_framing is Framing.CHUNKED:
            self._output.append(b"%x\r\n%b\r\n" % (len(chunk), chunk))
        else:
            self._output.append(chunk)

    def write_response_end(self, attempt: Attempt) -> None:
        """Write the end of a complete response."""
        assert attempt is self._responding_attempt
        if self._response_framing is Framing.CHUNKED:
            self._output.append(b"0\r\n\r\n")
        self.flush()

    def finish_response(self, attempt: Attempt) -> None:
        """End the call after a complete response."""
        assert attempt is self._responding_attempt
        self._attempts.clear()
        self._end(None)
        self.edge.record_response(self._arrived_at)
        self.connection.finish_call()

    def flush(self) -> None:
        """Write the buffered output to the caller."""
        if self._output:
            data = b"".join(self._output)
            self._output.clear()
            self.connection.write(data)

    # Called by the caller's connection.

    def pause_response(self) -> None:
        """Stop reading the upstream's response while the caller is slow."""
        if self._responding_attempt is not None:
            self._responding_attempt.pause_response()

    def resume_response(self) -> None:
        """Resume reading the upstream's response."""
        if self._responding_attempt is not None:
            self._responding_attempt.resume_response()

    def resume_caller(self) -> None:
        """Resume reading from the caller if the body buffer has space."""
        if not self.body.is_full:
            self.connection.resume_reading()

    def _handle_body_change(self) -> None:
        if self._has_ended:
            return
        body = self.body
        self._body_progress_at = self.edge.now()
        if body.is_aborted:
            if self._responding_attempt is not None:
                self._abort_response("invalid request")
            else:
                self._refuse(Reason.MALFORMED)
            return
        if body.is_complete and self._responding_attempt is None:
            timeout_s = self.route.policy.timeout_ms / 1000
            self._timers.deadline = min(self._timers.deadline, self._body_progress_at + timeout_s)
        if self._is_buffering_body:
            if body.is_complete or body.is_full:
                self._is_buffering_body = False
                self._check_guards()
        else:
            for attempt in self._attempts:
                attempt.send_buffered_body()
        if body.is_complete and not self._has_ended and self._responding_attempt is None:
            self._timers.start_deadline_timer(self.expire)

    def _check_guards(self) -> None:
        if self._guards.is_refused():
            self._refuse(Reason.CRASH_SUSPECT)
            return
        if self.route.policy.execution is Execution.ONCE:
            self._claim_task = self.edge.loop.create_task(self._claim_and_start())
            return
        self._start_attempt(avoid=None)

    async def _claim_and_start(self) -> None:
        verdict = await self._guards.claim()
        if self._has_ended:
            self._guards.settle(Outcome.NOT_RUN)
            return
        if verdict is ClaimVerdict.FIRST:
            self._start_attempt(avoid=None)
            return
        self._ended_attempt_may_have_run = verdict is ClaimVerdict.REPEATED
        is_invalid = verdict is ClaimVerdict.INVALID
        self._refuse(Reason.INVALID_IDEMPOTENCY_KEY if is_invalid else Reason.CLAIM_REFUSED)

    def _start_attempt(self, avoid: Attempt | None) -> None:
        now = self.edge.now()
        is_first = avoid is None
        if is_first:
            self.dispatcher.retry_budget.deposit()
            share = self.route.policy.extra_request_share
            if share:
                self.dispatcher.extra_requests.count_call(self.dispatcher.service, share)
        attempt = Attempt(self, self.edge.create_attempt_id(), is_retry_or_hedge=not is_first)
        self._attempts.append(attempt)
        self.edge.register_attempt(attempt)
        # Only a first attempt may be queued: a retry or hedge that can't start at once is given
        # up, as the outcome of its call is known or pending already.
        queue_s = self.route.policy.queue_ms / 1000 if is_first else 0.0
        avoided_upstream = avoid.upstream if avoid is not None else None
        self.dispatch(
            AttemptArrived(
                attempt_id=attempt.attempt_id,
                caller=self.caller,
                route=self.route.route.name,
                queue_until=now + queue_s,
                deadline=self._timers.deadline,
                is_upload=not self.body.is_complete,
                avoid=avoided_upstream.instance if avoided_upstream is not None else None,
            )
        )
        if is_first and attempt.is_started:
            self._schedule_hedge()

    def _schedule_hedge(self) -> None:
        if check_call(self._describe_facts()) is not Verdict.SEND:
            return
        delay_s = self.dispatcher.latencies.compute_hedge_delay_s(self.route.route.name)
        if delay_s is not None:
            self._timers.start_hedge_timer(delay_s, self._hedge)

    def _hedge(self) -> None:
        is_waiting = self._responding_attempt is None and len(self._attempts) == 1
        if not is_waiting or self._has_ended:
            return
        dispatcher = self.dispatcher
        verdict = dispatcher.extra_requests.spend(
            self._describe_facts(), dispatcher.service, dispatcher.retry_budget.withdraw
        )
        if verdict is Verdict.SEND:
            self.edge.count("hedged")
            self._start_attempt(avoid=self._attempts[0])

    def _describe_facts(self) -> CallFacts:
        """Describe the call, whose only attempt is in flight, for the decision about a hedge.

        A call that is itself a retry or hedge of an earlier hop isn't hedged again.
        """
        policy = self.route.policy
        is_read = self.head.method in ("GET", "HEAD")
        remaining_s = self._timers.compute_remaining_s()
        return CallFacts(
            policy.extra_request_share,
            is_read and policy.execution is Execution.IDEMPOTENT,
            0 if self.head.context.is_retry else policy.attempts - 1,
            math.inf if remaining_s is None else remaining_s,
        )

    def _may_have_run(self) -> bool:
        return self._ended_attempt_may_have_run or any(
            attempt.has_sent_bytes for attempt in self._attempts
        )

    def _refuse(self, reason: Reason, retry_after_s: float | None = None) -> None:
        """End the call with an error response of the daemon."""
        outcome = Outcome.UNKNOWN if self._may_have_run() else Outcome.NOT_RUN
        if reason in REFUSED_STATUSES and outcome is Outcome.NOT_RUN:
            outcome = Outcome.REFUSED
        self._end(outcome)
        self.edge.count(outcome.value)
        closes_connection = self.connection.must_close or not self.body.is_complete
        self.connection.write(encode_refusal(outcome, reason, retry_after_s, closes_connection))
        self.connection.finish_call()

    def _abort_response(self, detail: str) -> None:
        """Close the caller's connection, so that a truncated response can't look complete."""
        self.edge.emit(events.CALL_BROKEN_OFF, {"route": self.route.route.name, "why": detail})
        self.edge.count("broken-off")
        self._end(Outcome.UNKNOWN)
        self.connection.abort()

    def _end(self, outcome: Outcome | None) -> None:
        assert not self._has_ended, "a call ends once"
        self._has_ended = True
        self._timers.stop()
        self.body.on_change = None
        for attempt in list(self._attempts):
            self._drop_attempt(attempt)
        self._guards.settle(outcome)
        self.edge.remove_call(self)

    def _drop_attempt(self, attempt: Attempt) -> None:
        self._attempts.remove(attempt)
        if attempt.is_started:
            attempt.cancel()
        else:
            self.edge.unregister_attempt(attempt)
            self.dispatch(AttemptAbandoned(attempt.attempt_id))
