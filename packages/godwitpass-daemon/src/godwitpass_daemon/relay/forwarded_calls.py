"""One call at the caller's daemon, from a complete request to the end of its response."""

import asyncio
import math
from typing import TYPE_CHECKING

import msgspec

from godwitpass.ids import InstanceId, ServiceName
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
from godwitpass.mesh import Upstream
from godwitpass_daemon.edge.guards import RequestDescriptor
from godwitpass_daemon.relay.crash_guard import describe_request
from godwitpass_daemon.relay.headers import RequestHead, encode_local_response, encode_response_head
from godwitpass_daemon.relay.limits import (
    DEADLINE_MARGIN_S,
    MAX_BUFFERED_RESPONSE_BYTES,
    MAX_FORWARDS,
    MAX_NESTED_FORWARDS,
    RESPONSE_GRANT_BYTES,
)
from godwitpass_daemon.relay.links import Link

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
    that were retried although they may have run the call. `_collected` is the first part of a
    response that is collected in `_parts` before it is passed on, so that the call can still be
    retried. `_streamed` is the first part of one that is too large for that, and
    `_ungranted_bytes` counts what its caller has taken since the window was last extended.
    """

    __slots__ = (
        "_body",
        "_collected",
        "_core",
        "_deadline",
        "_deadline_timer",
        "_excluded",
        "_forward_count",
        "_has_ended",
        "_link",
        "_objective_at",
        "_parts",
        "_priority",
        "_refusal_reason",
        "_request",
        "_response_bytes",
        "_retry_after_s",
        "_stream_id",
        "_streamed",
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
        self, core: "RelayCore", request: "PipelinedRequest", head: RequestHead, route: RelayRoute
    ) -> None:
        self._core = core
        self._request = request
        self.head = head
        self.route = route
        self.arrived_at = request.arrived_at
        policy = route.policy
        timeout_s = policy.timeout_ms / 1000
        if head.timeout_ms is not None:
            timeout_s = min(timeout_s, head.timeout_ms / 1000)
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
        self._link: Link | None = None
        self._stream_id = 0
        self._upstream: Upstream | None = None
        self._collected: Response | None = None
        self._parts: list[bytes] = []
        self._streamed: Response | None = None
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
        self._forward()

    def cancel(self) -> None:
        """Cancel the call after its caller has disconnected."""
        if not self._has_ended:
            self._cancel_stream()
            self._finish("cancelled", 0)

    # Called by the link.

    def handle_refused(self, frame: Refused) -> None:
        """Retry the call on another upstream, or refuse it."""
        now = self._core.now()
        upstream = self._detach(now)
        if frame.reached_upstream:
            # A nested call that its upstream refused is tried while its deadline and the retry
            # budget allow, because its loss wastes the work of the outer call.
            self._upstream_attempts += not self.is_nested
            self._core.selector.record_failure(upstream.instance, now)
        if frame.reason is Refusal.CRASH_SUSPECT:
            self._refuse_crash_suspect()
            return
        self._excluded.add(upstream.instance)
        self._refusal_reason = f"refused: {frame.reason.name.lower()}"
        if frame.retry_after_ms:
            retry_after_s = frame.retry_after_ms / 1000
            self._retry_after_s = (
                retry_after_s
                if self._retry_after_s is None
                else min(self._retry_after_s, retry_after_s)
            )
        is_service_refusing = (
            frame.reason is Refusal.NESTED_REFUSED
            and self._core.nested_refusals.record(self.route.name, upstream.instance, now)
        )
        if not is_service_refusing and self._can_forward(frame.reached_upstream, now):
            self._core.record_retry(self, upstream, frame.reason.name.lower())
            self._forward()
        else:
            self._refuse(self._refusal_reason)

    def handle_failed(self, frame: Failed) -> None:
        """Retry the call on another upstream if it may run more than once, else fail it."""
        core, now = self._core, self._core.now()
        upstream = self._detach(now)
        self._upstream_attempts += 1
        core.selector.record_failure(upstream.instance, now)
        self._excluded.add(upstream.instance)
        if frame.reason is Failure.RESET and self._is_crash_suspect():
            self._respond_locally(502, CRASH_SUSPECT, None)
            return
        self._retry_or_fail(upstream, frame.reason.name.lower(), now, frame.reason)

    def handle_link_lost(self, was_sent: bool) -> None:
        """Retry the call on another upstream if it wasn't sent or may run more than once."""
        now = self._core.now()
        upstream = self._detach(now)
        self._excluded.add(upstream.instance)
        if was_sent:
            if self._streamed is not None:
                self._core.selector.record_failure(upstream.instance, now)
                self._abort_response("link lost")
                return
            self._upstream_attempts += 1
            self._retry_or_fail(upstream, "link lost", now, Failure.RESET)
        elif self._can_forward(is_retry=False, now=now):
            self._core.record_retry(self, upstream, "not connected")
            self._forward()
        else:
            self._refuse("not connected")

    def handle_response(self, frame: Response) -> None:
        """Pass the response on, or its first part, or collect it."""
        if not frame.is_last and 0 <= frame.body_bytes <= MAX_BUFFERED_RESPONSE_BYTES:
            self._collected, self._parts = frame, [frame.body]
            return
        self._response_bytes = len(frame.body)
        has_no_body = self.head.method == b"HEAD" or frame.status in (204, 304)
        closes_connection = self._request.decide_close()
        head = encode_response_head(
            frame.status, frame.head, frame.body_bytes, closes_connection, has_no_body
        )
        if frame.is_last:
            self._finish_answered(frame)
            self._request.write_response(head + frame.body, is_last=True)
            return
        self._streamed = frame
        self._request.is_chunked = frame.body_bytes < 0
        chunk = self._encode_chunk(frame.body, frame.body_bytes)
        self._request.write_response(head + chunk, is_last=False)

    def handle_body(self, frame: BodyChunk) -> None:
        """Pass a further part of the response on, or collect it."""
        if self._collected is not None:
            self._parts.append(frame.data)
            if frame.is_last:
                body = b"".join(self._parts)
                whole = msgspec.structs.replace(self._collected, body=body, is_last=True)
                self._collected, self._parts = None, []
                self.handle_response(whole)
            return
        assert self._streamed is not None, "the first part arrives before the others"
        self._response_bytes += len(frame.data)
        is_chunked = self._request.is_chunked
        data = self._encode_chunk(frame.data, -1 if is_chunked else 0)
        if not frame.is_last:
            self._request.write_response(data, is_last=False)
            return
        self._finish_answered(self._streamed)
        self._request.write_response(data + (b"0\r\n\r\n" if is_chunked else b""), is_last=True)

    def handle_aborted(self) -> None:
        """Retry the call, or abort the response so that its caller doesn't take it for complete."""
        now = self._core.now()
        upstream = self._detach(now)
        self._core.selector.record_failure(upstream.instance, now)
        if self._streamed is None:
            self._upstream_attempts += 1
            self._excluded.add(upstream.instance)
            self._retry_or_fail(upstream, "answer cut", now, Failure.RESET)
            return
        self._abort_response("answer cut")

    # Called by the caller's connection.

    def handle_output_taken(self, size_bytes: int) -> None:
        """Extend the window of a streamed response after the caller has taken a part of it."""
        if self._streamed is None or self._link is None:
            return
        self._ungranted_bytes += size_bytes
        if self._ungranted_bytes >= RESPONSE_GRANT_BYTES:
            self._link.extend_window(self._stream_id, self._ungranted_bytes)
            self._ungranted_bytes = 0

    def _forward(self) -> None:
        core, now = self._core, self._core.now()
        remaining_s = self._deadline - now
        if remaining_s < MIN_FORWARD_TIME_S:
            self._refuse("no time left")
            return
        if self._is_refused_as_crash_suspect():
            self._refuse_crash_suspect()
            return
        # A nested call holds a slot of its caller, so any delay matters.
        upstream = core.selector.select(
            self.service,
            self.route.name,
            now,
            len(self._body),
            self._excluded,
            0.0 if self.is_nested else self._objective_at - now,
        )
        if upstream is None:
            self._refuse(self._refusal_reason or "no upstream")
            return
        self._upstream = upstream
        self._forward_count += 1
        response_bytes = core.selector.estimate_response_bytes(self.route.name)
        core.selector.record_sent(upstream.instance, len(self._body), response_bytes)
        stream_request = OpenStream(
            0,
            self.service,
            self.route.name,
            self.head.encoded,
            int(remaining_s * 1000),
            int((self._objective_at - now) * 1000),
            self._priority,
            self.route.is_idempotent,
            len(self._body),
            b"",
            self.head.request_id,
        )
        link = core.get_link(upstream, max(len(self._body), response_bytes))
        self._link = link
        self._stream_id = link.open(self, stream_request, self._body)

    def _can_forward(self, is_retry: bool, now: float) -> bool:
        """Tell whether the call may go to another upstream; a retry uses the retry budget."""
        max_forwards = MAX_NESTED_FORWARDS if self.is_nested else MAX_FORWARDS
        if self._core.is_refusing or self._forward_count >= max_forwards:
            return False
        if self._deadline - now < MIN_FORWARD_TIME_S:
            return False
        if self._upstream_attempts >= self.route.policy.attempts:
            return False
        return not is_retry or self._core.try_retry(self.service, self._find_budget_part())

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
        return guard is not None and guard.has_suspects and guard.would_refuse(self._describe())

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
        remaining_s = max(0.0, self._deadline - self._core.now())
        retry_after_s = (
            DEFAULT_RETRY_AFTER_S if self._retry_after_s is None else self._retry_after_s
        )
        self._respond_locally(503, reason, min(retry_after_s, remaining_s * MAX_RETRY_AFTER_SHARE))

    def _expire(self) -> None:
        """End a call at its deadline."""
        if self._has_ended:
            return
        if self._streamed is not None:
            self._cancel_stream()
            self._abort_response("deadline")
            return
        was_forwarded = self._link is not None
        self._cancel_stream()
        if was_forwarded or self._uncertain_attempts:
            self._respond_locally(504, "deadline", None)
        else:
            self._refuse("deadline")

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

    def _finish_answered(self, response: Response) -> None:
        """End the call after the last part of `response`."""
        now = self._core.now()
        upstream = self._detach(now)
        self._core.selector.record_response(
            upstream.instance,
            self.route.name,
            response.service_ms / 1000,
            self._response_bytes,
            response.status >= 500,
            now,
        )
        self._finish(ANSWERED, response.status, response)

    def _abort_response(self, reason: str) -> None:
        self._finish(reason, 0)
        self._request.abort()

    def _detach(self, now: float) -> Upstream:
        """Detach the call from its upstream and return that upstream."""
        upstream = self._upstream
        assert upstream is not None
        self._link = None
        self._collected, self._parts = None, []
        self._core.selector.record_done(upstream.instance)
        return upstream

    def _cancel_stream(self) -> None:
        if self._link is not None and self._upstream is not None:
            link, self._link = self._link, None
            self._core.selector.record_done(self._upstream.instance)
            link.cancel(self._stream_id)

    def _finish(self, outcome: str, status: int, frame: Response | None = None) -> None:
        assert not self._has_ended, "a call ends once"
        self._has_ended = True
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()
        upstream = self._upstream
        self._core.record_end(
            self,
            {
                "outcome": outcome,
                "status": status,
                "upstream": upstream.instance if upstream else "",
                "handovers": self._forward_count,
                "wait_ms": frame.wait_ms if frame else -1,
                "service_ms": frame.service_ms if frame else -1,
            },
        )

    def _encode_chunk(self, data: bytes, body_bytes: int) -> bytes:
        if body_bytes >= 0 or not data:
            return data
        return b"%x\r\n%b\r\n" % (len(data), data)
