"""One call at the caller's daemon, from a complete request to the end of its response."""

import asyncio
import math
from typing import TYPE_CHECKING

from godwitpass.events import FieldValue
from godwitpass.ids import CustomerName, InstanceId, ServiceName
from godwitpass.internal.customers.directory import Caller
from godwitpass.internal.quotas.interface import Permit
from godwitpass.internal.relay.admission import NESTED_CALL_PRIORITY
from godwitpass.internal.relay.frames import (
    BodyChunk,
    Failed,
    Failure,
    OpenStream,
    Refusal,
    Refused,
    Response,
)
from godwitpass.internal.relay.routes import RelayRoute
from godwitpass.internal.retrying.extra_requests import CallFacts, Verdict
from godwitpass.mesh import Upstream
from godwitpass_daemon.edge.guards import RequestDescriptor
from godwitpass_daemon.relay.call_admission import ANONYMOUS_CALLER, NO_PERMIT, UNBOUNDED_MS
from godwitpass_daemon.relay.crash_guard import describe_request
from godwitpass_daemon.relay.forwarded_attempts import Attempt
from godwitpass_daemon.relay.headers import RequestHead, encode_local_response, encode_response_head
from godwitpass_daemon.relay.limits import (
    DEADLINE_MARGIN_S,
    MAX_FORWARDS,
    MAX_NESTED_FORWARDS,
    RESPONSE_GRANT_BYTES,
)

if TYPE_CHECKING:
    from godwitpass_daemon.relay.core import RelayCore
    from godwitpass_daemon.relay.pipelining import PipelinedRequest

DEFAULT_RETRY_AFTER_S = 0.2
"""Retry-after time if no daemon has reported one."""

MAX_RETRY_AFTER_SHARE = 1 / 3
"""Upper bound of the retry-after time, as a share of the time until the deadline."""

MIN_FORWARD_TIME_S = 0.005
"""A call with less time left than this is not forwarded."""


ANSWERED, CRASH_SUSPECT = "answered", "crash suspect"
"""Outcomes that other modules distinguish."""


class ForwardedCall:
    """Forwards one call to an upstream, retries it and passes the response on.

    `_upstream_attempts` counts the attempts that reached an upstream, `_uncertain_attempts` those
    that were followed by another one although they may have run the call. `_in_flight` holds the
    attempts that have not ended: one, or two while an extra request is made. `_server_error` is
    the response that one of the two got while the other goes on. `_streaming` is the attempt whose
    response is passed on before it is complete, and `_ungranted_bytes` counts what the caller has
    taken since the window was last extended.
    """

    __slots__ = (
        "_body",
        "_caller",
        "_core",
        "_deadline",
        "_deadline_timer",
        "_excluded",
        "_extra_attempt",
        "_extra_share",
        "_extra_timer",
        "_forward_count",
        "_has_ended",
        "_in_flight",
        "_is_crash_suspected",
        "_objective_at",
        "_permit",
        "_priority",
        "_refusal_reason",
        "_request",
        "_response_bytes",
        "_retry_after_s",
        "_server_error",
        "_streaming",
        "_uncertain_attempts",
        "_ungranted_bytes",
        "_upstream",
        "_upstream_attempts",
        "arrived_at",
        "head",
        "route",
        "service",
    )

    def __init__(
        self,
        core: "RelayCore",
        request: "PipelinedRequest",
        head: RequestHead,
        route: RelayRoute,
        caller: Caller = ANONYMOUS_CALLER,
        permit: Permit = NO_PERMIT,
    ) -> None:
        self._core = core
        self._request = request
        self._caller = caller
        self._permit = permit
        self.head = head
        self.route = route
        self.arrived_at = request.arrived_at
        policy = route.policy
        timeout_s = route.compute_timeout_s(head.timeout_ms)
        self._deadline = self.arrived_at + timeout_s - DEADLINE_MARGIN_S
        self._objective_at = self.arrived_at + policy.objective_ms / 1000
        self._priority = core.choose_priority(route, head.request_id)
        self.service = ServiceName("")
        self._body = b""
        self._excluded: set[InstanceId] = set()
        self._forward_count = 0
        self._upstream_attempts = 0
        self._uncertain_attempts = 0
        self._retry_after_s: float | None = None
        self._refusal_reason = ""
        self._in_flight: list[Attempt] = []
        self._upstream: Upstream | None = None
        self._streaming: Attempt | None = None
        self._server_error: tuple[Attempt, Response] | None = None
        self._extra_share = core.get_extra_request_share(route) if route.is_idempotent else 0.0
        self._extra_attempt: Attempt | None = None
        self._extra_timer: asyncio.TimerHandle | None = None
        self._is_crash_suspected = False
        self._response_bytes = 0
        self._ungranted_bytes = 0
        self._has_ended = False
        self._deadline_timer: asyncio.TimerHandle | None = None

    @property
    def is_nested(self) -> bool:
        """Return whether the upstream beside this daemon makes the call while it runs another."""
        return self._priority == NESTED_CALL_PRIORITY

    def start(self, body: bytes) -> None:
        """Forward the call, whose request body is complete."""
        core = self._core
        self._body = body
        self.service = core.traffic_splitter.choose_service(self.route)
        self._deadline_timer = core.loop.call_at(self._deadline, self._expire)
        core.count_call(self.service)
        if self._extra_share:
            core.extra_requests.count_call(self.service, self._extra_share)
        self._forward()

    def cancel(self) -> None:
        """Cancel the call after its caller has disconnected."""
        if not self._has_ended:
            self._cancel_attempts()
            self._finish("cancelled", 0)

    def end(self, reason: str) -> None:
        """Answer the call now, without a response of an upstream if there is none."""
        if self._has_ended:
            return
        if self._streaming is not None:
            self._cancel_attempts()
            self._abort_response(reason)
            return
        was_forwarded = bool(self._in_flight)
        self._cancel_attempts()
        if self._respond_with_server_error():
            return
        if was_forwarded or self._uncertain_attempts:
            self._respond_locally(504, reason, None)
        else:
            self._refuse(reason)

    # Called by the attempts.

    def get_age_s(self, attempt: Attempt) -> float:
        """Return how long ago `attempt` was sent."""
        return self._core.now() - attempt.started_at

    def handle_refused(self, attempt: Attempt, frame: Refused) -> None:
        """Retry the call on another upstream, or refuse it."""
        now = self._core.now()
        upstream = self._detach(attempt)
        if frame.reached_upstream:
            # A nested call that its upstream refused is tried while its deadline and the retry
            # budget allow, because its loss wastes the work of the outer call.
            self._upstream_attempts += not self.is_nested
            self._core.selector.record_failure(upstream.instance, now)
        if frame.reason is Refusal.CRASH_SUSPECT:
            self._is_crash_suspected = True
            if not self._leave_to_other(upstream, CRASH_SUSPECT):
                self._refuse_crash_suspect()
            return
        if frame.reason is not Refusal.NOT_PERMITTED:
            self._excluded.add(upstream.instance)
        self._refusal_reason = f"refused: {frame.reason.name.lower()}"
        if frame.retry_after_ms:
            retry_after_s = frame.retry_after_ms / 1000
            self._retry_after_s = (
                retry_after_s
                if self._retry_after_s is None
                else min(self._retry_after_s, retry_after_s)
            )
        if self._leave_to_other(upstream, frame.reason.name.lower()):
            return
        is_service_refusing = (
            frame.reason is Refusal.NESTED_REFUSED
            and self._core.nested_refusals.record(self.route.name, upstream.instance, now)
        )
        if not is_service_refusing and self._can_forward(frame.reached_upstream, now):
            self._core.record_retry(self, upstream, frame.reason.name.lower())
            self._forward()
        else:
            self._refuse(self._refusal_reason)

    def handle_failed(self, attempt: Attempt, frame: Failed) -> None:
        """Retry the call on another upstream if it may run more than once, else fail it."""
        core, now = self._core, self._core.now()
        upstream = self._detach(attempt)
        self._upstream_attempts += 1
        core.selector.record_failure(upstream.instance, now)
        self._excluded.add(upstream.instance)
        if self._leave_to_other(upstream, frame.reason.name.lower(), may_have_run=True):
            return
        if self._is_crash_suspected or (frame.reason is Failure.RESET and self._is_crash_suspect()):
            self._respond_locally(502, CRASH_SUSPECT, None)
            return
        self._retry_or_fail(upstream, frame.reason.name.lower(), now, frame.reason)

    def handle_link_lost(self, attempt: Attempt, was_sent: bool) -> None:
        """Retry the call on another upstream if it wasn't sent or may run more than once."""
        now = self._core.now()
        upstream = self._detach(attempt)
        self._excluded.add(upstream.instance)
        if was_sent:
            if attempt is self._streaming:
                self._core.selector.record_failure(upstream.instance, now)
                self._abort_response("link lost")
                return
            self._upstream_attempts += 1
            if not self._leave_to_other(upstream, "link lost", may_have_run=True):
                self._retry_or_fail(upstream, "link lost", now, Failure.RESET)
        elif self._leave_to_other(upstream, "not connected"):
            return
        elif self._can_forward(is_retry=False, now=now):
            self._core.record_retry(self, upstream, "not connected")
            self._forward()
        else:
            self._refuse("not connected")

    def handle_response(self, attempt: Attempt, frame: Response) -> None:
        """Pass a complete response on, or keep a server error while another attempt goes on."""
        if frame.status >= 500 and len(self._in_flight) > 1:
            self._record_response(attempt, frame, len(frame.body))
            self._detach(attempt)
            self._upstream_attempts += 1
            self._excluded.add(attempt.upstream.instance)
            self._server_error = attempt, frame
            self._core.record_attempt_ended(self, attempt.upstream, "server error")
            return
        self._response_bytes = len(frame.body)
        head = self._encode_head(frame)
        self._finish_answered(attempt, frame)
        self._request.write_response(head + frame.body, is_last=True)

    def handle_streamed(self, attempt: Attempt, frame: Response) -> None:
        """Pass on the first part of a response that is too large to be collected."""
        if frame.status >= 500 and len(self._in_flight) > 1:
            attempt.cancel()
            self.handle_aborted(attempt)
            return
        self._cancel_losers(attempt)
        self._response_bytes = len(frame.body)
        head = self._encode_head(frame)
        self._streaming = attempt
        self._body = b""
        self._request.is_chunked = frame.body_bytes < 0
        chunk = self._encode_chunk(frame.body, frame.body_bytes)
        self._request.write_response(head + chunk, is_last=False)

    def handle_streamed_body(self, attempt: Attempt, frame: BodyChunk) -> None:
        """Pass a further part of a streamed response on."""
        assert attempt.response is not None, "the first part arrives before the others"
        self._response_bytes += len(frame.data)
        is_chunked = self._request.is_chunked
        data = self._encode_chunk(frame.data, -1 if is_chunked else 0)
        if not frame.is_last:
            self._request.write_response(data, is_last=False)
            return
        self._finish_answered(attempt, attempt.response)
        self._request.write_response(data + (b"0\r\n\r\n" if is_chunked else b""), is_last=True)

    def handle_aborted(self, attempt: Attempt) -> None:
        """Retry the call, or abort the response so that its caller doesn't take it for complete."""
        now = self._core.now()
        upstream = self._detach(attempt)
        self._core.selector.record_failure(upstream.instance, now)
        if attempt is not self._streaming:
            self._upstream_attempts += 1
            self._excluded.add(upstream.instance)
            if not self._leave_to_other(upstream, "answer cut", may_have_run=True):
                self._retry_or_fail(upstream, "answer cut", now, Failure.RESET)
            return
        self._abort_response("answer cut")

    # Called by the caller's connection.

    def handle_output_taken(self, size_bytes: int) -> None:
        """Extend the window of a streamed response after the caller has taken a part of it."""
        if self._streaming is None:
            return
        self._ungranted_bytes += size_bytes
        if self._ungranted_bytes >= RESPONSE_GRANT_BYTES:
            self._streaming.extend_window(self._ungranted_bytes)
            self._ungranted_bytes = 0

    def _forward(self) -> None:
        now = self._core.now()
        remaining_s = self._deadline - now
        if remaining_s < MIN_FORWARD_TIME_S:
            self._refuse("no time left")
            return
        if self._is_refused_as_crash_suspect():
            self._refuse_crash_suspect()
            return
        if not self._is_permitted():
            self._refuse("the version held may not be the newest")
            return
        upstream = self._select_upstream(self._excluded, now)
        if upstream is None:
            self._refuse(self._refusal_reason or "no upstream")
            return
        attempt = self._send(upstream, now)
        if self._extra_share and self._extra_attempt is None:
            self._schedule_extra_request(attempt)

    def _select_upstream(self, excluded: set[InstanceId], now: float) -> Upstream | None:
        # A nested call holds a slot of its caller, so any delay matters.
        return self._core.selector.select(
            self.service,
            self.route.name,
            now,
            len(self._body),
            excluded,
            0.0 if self.is_nested else self._objective_at - now,
            self._forward_count > 0,
        )

    def _send(self, upstream: Upstream, now: float) -> Attempt:
        """Start an attempt at `upstream`."""
        core = self._core
        self._upstream = upstream
        self._forward_count += 1
        response_bytes = core.selector.estimate_response_bytes(self.route.name)
        core.selector.record_sent(upstream.instance, len(self._body), response_bytes)
        customer = self._caller.customer
        stream_request = OpenStream(
            0,
            self.service,
            self.route.name,
            self.head.encoded,
            int((self._deadline - now) * 1000),
            int((self._objective_at - now) * 1000),
            self._priority,
            self.route.is_idempotent,
            len(self._body),
            b"",
            self.head.request_id,
            customer.name if customer is not None else CustomerName(""),
            self._caller.priority,
            self._compute_permitted_ms(),
        )
        link = core.get_link(upstream, max(len(self._body), response_bytes))
        attempt = Attempt(self, upstream, now)
        self._in_flight.append(attempt)
        attempt.open(link, stream_request, self._body)
        return attempt

    def _schedule_extra_request(self, attempt: Attempt) -> None:
        core = self._core
        delay_s = core.extra_requests.compute_delay_s(
            self._describe_facts(attempt.started_at),
            self.route.name,
            core.selector.estimate_slowness(attempt.upstream.instance, core.now()),
        )
        self._cancel_extra_timer()
        if delay_s is not None:
            self._extra_timer = core.loop.call_at(
                attempt.started_at + delay_s, self._send_extra_request
            )

    def _send_extra_request(self) -> None:
        """Send the call to a second upstream if its attempt has no response yet.

        A call that still waits at the first upstream's daemon is withdrawn there. The message goes
        out before the second request and is not awaited: an answer would take a round trip, and
        none comes if the link is what delays the call.
        """
        self._extra_timer = None
        core, now = self._core, self._core.now()
        if self._has_ended or len(self._in_flight) != 1 or self._in_flight[0].response is not None:
            return
        if core.is_refusing or self._is_crash_suspect() or not self._is_permitted():
            return
        slow = self._in_flight[0]
        target = self._select_upstream(self._excluded | {slow.upstream.instance}, now)
        if target is None:
            return
        facts = self._describe_facts(now)
        verdict = core.decide_extra_request(self, facts, slow.upstream.instance, target.instance)
        if verdict is Verdict.SEND:
            slow.withdraw()
            self._extra_attempt = self._send(target, now)

    def _describe_facts(self, now: float) -> CallFacts:
        attempts_made = self._upstream_attempts + len(self._in_flight)
        return CallFacts(
            self._extra_share,
            self.route.is_idempotent,
            min(self.route.policy.attempts - attempts_made, MAX_FORWARDS - self._forward_count),
            self._deadline - now - MIN_FORWARD_TIME_S,
            len(self._body),
        )

    def _leave_to_other(self, upstream: Upstream, reason: str, may_have_run: bool = False) -> bool:
        """Tell whether another attempt decides about the call after that at `upstream` has ended.

        That is one still in flight, or one that got a server error, which is passed on now.
        """
        if self._in_flight:
            self._uncertain_attempts += may_have_run
            self._core.record_attempt_ended(self, upstream, reason)
            return True
        return self._respond_with_server_error()

    def _respond_with_server_error(self) -> bool:
        """Pass on the server error that one of two attempts got; return False without any."""
        if self._server_error is None:
            return False
        attempt, frame = self._server_error
        self._upstream = attempt.upstream
        head = self._encode_head(frame)
        self._finish(ANSWERED, frame.status, frame)
        self._request.write_response(head + frame.body, is_last=True)
        return True

    def _is_permitted(self) -> bool:
        return self._compute_permitted_ms() != 0

    def _compute_permitted_ms(self) -> int:
        """Return how long the call may wait to start under the version held now."""
        if self._caller.customer is None:
            return UNBOUNDED_MS
        table = self._core.table
        assert table is not None, "a caller is identified by the customers of a version"
        return self._core.admission.compute_permitted_ms(self._caller, self.head, table)

    def _can_forward(self, is_retry: bool, now: float) -> bool:
        """Tell whether the call may go to another upstream; a retry uses the retry budget."""
        max_forwards = MAX_NESTED_FORWARDS if self.is_nested else MAX_FORWARDS
        if self._core.is_refusing or self._forward_count >= max_forwards:
            return False
        if self._is_crash_suspected:
            return False
        if self._deadline - now < MIN_FORWARD_TIME_S:
            return False
        if self._upstream_attempts >= self.route.policy.attempts:
            return False
        return not is_retry or self._core.try_retry(self.service, part=self._find_budget_part())

    def _find_budget_part(self) -> float:
        """Return the part of the retry budget that is open to this call."""
        if not self.is_nested:
            return 1.0
        outer_id = self.head.request_id.rpartition(".")[0]
        return self._core.runner.nested_calls.find_budget_part(outer_id)

    def _retry_or_fail(self, upstream: Upstream, reason: str, now: float, failure: Failure) -> None:
        is_idempotent = self.route.is_idempotent
        if is_idempotent and failure is not Failure.TIMEOUT and self._can_forward(True, now):
            self._uncertain_attempts += 1
            self._core.record_retry(self, upstream, reason)
            self._forward()
            return
        self._respond_locally(504 if failure is Failure.TIMEOUT else 502, reason, None)

    def _is_refused_as_crash_suspect(self) -> bool:
        guard = self._core.runner.crash_guard
        return (
            guard is not None
            and guard.has_suspects
            and guard.would_refuse(self._describe(), is_forwarding=True)
        )

    def _is_crash_suspect(self) -> bool:
        guard = self._core.runner.crash_guard
        return guard is not None and guard.has_suspects and guard.is_suspected(self._describe())

    def _describe(self) -> RequestDescriptor:
        body_chunks = (self._body,)
        return describe_request(self.service, self.route.name, self.head.encoded, body_chunks)

    def _refuse_crash_suspect(self) -> None:
        """Refuse a request that crashes upstreams, to return as late as its caller allows."""
        self._retry_after_s = math.inf
        self._refuse(CRASH_SUSPECT)

    def _refuse(self, reason: str) -> None:
        """Respond that the call has not run, or with 502 if an earlier attempt may have run it."""
        if self._uncertain_attempts:
            self._respond_locally(502, reason, None)
            return
        if not self._upstream_attempts:
            self._core.admission.release(self._caller, self._permit)
            self._permit = NO_PERMIT
        remaining_s = max(0.0, self._deadline - self._core.now())
        retry_after_s = (
            DEFAULT_RETRY_AFTER_S if self._retry_after_s is None else self._retry_after_s
        )
        self._respond_locally(503, reason, min(retry_after_s, remaining_s * MAX_RETRY_AFTER_SHARE))

    def _expire(self) -> None:
        """End a call at its deadline."""
        self.end("deadline")

    def _respond_locally(self, status: int, reason: str, retry_after_s: float | None) -> None:
        request_id = self.head.request_id.encode("latin-1")
        closes_connection = self._request.decide_close()
        header_names = self._core.header_names
        self._finish(reason, status)
        self._request.write_response(
            encode_local_response(
                status,
                reason,
                request_id,
                header_names.request_id,
                retry_after_s,
                closes_connection,
            ),
            is_last=True,
        )

    def _encode_head(self, frame: Response) -> bytes:
        has_no_body = self.head.method == b"HEAD" or frame.status in (204, 304)
        closes_connection = self._request.decide_close()
        return encode_response_head(
            frame.status, frame.head, frame.body_bytes, closes_connection, has_no_body
        )

    def _finish_answered(self, attempt: Attempt, response: Response) -> None:
        """End the call after the last part of `response`."""
        self._upstream = self._detach(attempt)
        self._record_response(attempt, response, self._response_bytes)
        self._cancel_losers(attempt)
        self._finish(ANSWERED, response.status, response)

    def _record_response(self, attempt: Attempt, response: Response, size_bytes: int) -> None:
        core, now, instance = self._core, self._core.now(), attempt.upstream.instance
        has_failed = response.status >= 500
        if self._extra_share and not has_failed and attempt is not self._extra_attempt:
            self._record_latency(attempt, now)
        core.selector.record_response(
            instance, self.route.name, response.service_ms / 1000, size_bytes, has_failed, now
        )

    def _record_latency(self, attempt: Attempt, now: float) -> None:
        core = self._core
        core.extra_requests.record_latency(
            self.route.name,
            now - attempt.started_at,
            core.selector.estimate_slowness(attempt.upstream.instance, now),
        )

    def _cancel_losers(self, winner: Attempt) -> None:
        """Cancel the attempts whose response is not needed any more, and record how slow they are.

        Nothing is known of how long an extra request that was sent later would have taken.
        """
        self._cancel_extra_timer()
        now = self._core.now()
        for attempt in [attempt for attempt in self._in_flight if attempt is not winner]:
            if attempt is not self._extra_attempt:
                self._record_latency(attempt, now)
                self._core.selector.record_slow(
                    attempt.upstream.instance, self.route.name, now - attempt.started_at, now
                )
            self._detach(attempt)
            attempt.cancel()

    def _abort_response(self, reason: str) -> None:
        self._finish(reason, 0)
        self._request.abort()

    def _detach(self, attempt: Attempt) -> Upstream:
        """Remove an attempt that has ended and return its upstream."""
        self._in_flight.remove(attempt)
        self._core.selector.record_done(attempt.upstream.instance)
        return attempt.upstream

    def _cancel_attempts(self) -> None:
        for attempt in list(self._in_flight):
            self._detach(attempt)
            attempt.cancel()

    def _finish(self, outcome: str, status: int, frame: Response | None = None) -> None:
        assert not self._has_ended, "a call ends once"
        self._has_ended = True
        self._body = b""
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()
        self._cancel_extra_timer()
        upstream, extra = self._upstream, self._extra_attempt
        extra_fields: dict[str, FieldValue] = {}
        if extra is not None:
            has_won = outcome == ANSWERED and upstream is extra.upstream
            extra_fields["extra"] = "won" if has_won else "lost"
            self._core.counts["extra-won" if has_won else "extra-lost"] += 1
        self._core.record_end(
            self,
            {
                "outcome": outcome,
                "status": status,
                "upstream": upstream.instance if upstream else "",
                "handovers": self._forward_count,
                "wait_ms": frame.wait_ms if frame else -1,
                "service_ms": frame.service_ms if frame else -1,
                **self._describe_customer(),
                **extra_fields,
            },
        )

    def _describe_customer(self) -> dict[str, FieldValue]:
        customer = self._caller.customer
        return {} if customer is None else {"customer": customer.name}

    def _cancel_extra_timer(self) -> None:
        if self._extra_timer is not None:
            self._extra_timer.cancel()
            self._extra_timer = None

    def _encode_chunk(self, data: bytes, body_bytes: int) -> bytes:
        if body_bytes >= 0 or not data:
            return data
        return b"%x\r\n%b\r\n" % (len(data), data)
