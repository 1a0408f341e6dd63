"""Caller connections: pipelined requests run concurrently; their responses keep the order."""

import asyncio
import math
from collections import deque
from functools import partial
from typing import TYPE_CHECKING, cast

import httptools

from godwitpass.internal.customers.directory import Caller
from godwitpass.internal.quotas.interface import QuotaDecision, QuotaRefused
from godwitpass.internal.relay.configuration_wait import compute_configuration_wait_s
from godwitpass.internal.relay.routes import RelayTable
from godwitpass_daemon.edge.heads import Header
from godwitpass_daemon.relay.forwarded_calls import ForwardedCall
from godwitpass_daemon.relay.headers import (
    RequestRejected,
    encode_local_response,
    parse_request_head,
)
from godwitpass_daemon.relay.limits import (
    LINGERING_CLOSE_S,
    MAX_BUFFERED_BODY_BYTES,
    MAX_PIPELINED_REQUESTS,
    WRITE_BUFFER_BYTES,
)
from godwitpass_daemon.relay.pipelining import PipelinedRequest

if TYPE_CHECKING:
    from godwitpass_daemon.relay.core import RelayCore

CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
NO_CONFIGURATION_RETRY_AFTER_S = 0.3
"""About the time until a daemon that has just started holds a configuration and a proof."""


class CallerConnection(asyncio.Protocol):
    """A caller's connection; reads requests and writes the responses in the same order."""

    def __init__(self, core: "RelayCore") -> None:
        self._core = core
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._requests: deque[PipelinedRequest] = deque()
        self._current_request: PipelinedRequest | None = None
        self._target = b""
        self._headers: list[Header] = []
        self._is_reading_head = False
        self._head_bytes = 0
        self._is_paused = False
        self._is_writing_paused = False
        self._untaken_bytes = 0
        self._has_read_last_request = False
        self._is_stopped = False
        self._has_begun_request = False
        self._expires_at = math.inf

    @property
    def is_new(self) -> bool:
        """Return whether the first request has yet to arrive, as it does just after opening."""
        return not self._has_begun_request and not self._is_stopped

    @property
    def is_idle(self) -> bool:
        """Return whether no request is in progress."""
        return not self._requests and not self._is_reading_head

    def closes_after(self, request: PipelinedRequest) -> bool:
        """Tell whether the connection closes after the response to `request`."""
        if not request.keep_alive or not request.is_request_complete:
            return True
        is_last = not self._requests or self._requests[-1] is request
        return self._core.is_stopping and is_last and not self._is_reading_head

    def flush_responses(self) -> None:
        """Write the responses that are next in order."""
        transport = self._transport
        while self._requests and transport is not None:
            request = self._requests[0]
            data = request.take_pending_output()
            if data and not transport.is_closing():
                transport.write(data)
                self._untaken_bytes += len(data)
            if not request.is_response_complete:
                self._report_output_taken(request)
                return
            self._untaken_bytes = 0
            self._requests.popleft()
            if request.closes_connection:
                self._start_lingering_close()
                return
            self._start_next()
        if not self._is_reading_head:
            self._expires_at = self._core.now() + self._core.idle_timeout_s
        self._resume_reading()

    def abort(self) -> None:
        """Close the connection at once."""
        self._is_stopped = True
        if self._transport is not None:
            self._transport.abort()

    @property
    def has_unsent_output(self) -> bool:
        """Return whether the caller has yet to take parts of responses."""
        return self._transport is not None and self._transport.get_write_buffer_size() > 0

    def close_if_idle(self) -> None:
        """Close the connection unless a request is in progress.

        Input is discarded until the caller closes, because unread input would reset the connection.
        """
        if self.is_idle and not self._is_stopped:
            self._start_lingering_close()

    def end_calls(self) -> None:
        """Answer the calls in progress, whose responses would come too late."""
        for request in list(self._requests):
            if request.call is not None and not request.is_response_complete:
                request.call.end("this daemon stops")

    def check_timeouts(self, now: float) -> None:
        """Enforce the timeouts of the head, the body and the idle connection."""
        transport = self._transport
        if transport is None:
            return
        if now >= self._expires_at:
            self._expires_at = math.inf
            if self._is_stopped or not self._is_reading_head:
                transport.abort()
            else:
                self._reject_current(408, "the head took too long")
            return
        request = self._current_request
        if request is not None and request.head is not None and not request.is_request_complete:
            timeout_ms = request.head.timeout_ms
            if timeout_ms is not None and now > request.arrived_at + timeout_ms / 1000:
                self._reject_current(408, "the body took too long")

    # Called by asyncio.

    def pause_writing(self) -> None:
        """Stop extending the windows of streamed responses; the caller reads too slowly."""
        self._is_writing_paused = True

    def resume_writing(self) -> None:
        """Extend the window of the streamed response again."""
        self._is_writing_paused = False
        if self._requests:
            self._report_output_taken(self._requests[0])

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and start the idle timeout."""
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self._core.caller_connections.add(self)
        self._expires_at = self._core.now() + self._core.idle_timeout_s

    def data_received(self, data: bytes) -> None:
        """Parse received data, and pause reading while too many requests await a response."""
        if self._is_stopped or self._has_read_last_request:
            return
        if self._is_reading_head:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError:
            # An error of this program: asyncio logs it and closes the connection.
            raise
        except (httptools.HttpParserUpgrade, httptools.HttpParserError):
            self._reject_current(400, "not a request in HTTP/1.1")
        if self._is_reading_head and self._head_bytes > self._core.limits.head_bytes:
            self._reject_current(431, "the head is too large")
        if len(self._requests) >= MAX_PIPELINED_REQUESTS:
            self._pause_reading()

    def eof_received(self) -> bool:
        """Close the connection; a caller that half-closes it counts as disconnected."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the calls in progress."""
        self._is_stopped = True
        self._core.caller_connections.discard(self)
        self._drop_requests()

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Start a request and its head timeout."""
        now = self._core.now()
        self._current_request = PipelinedRequest(self, now)
        self._target = b""
        self._headers = []
        self._is_reading_head = True
        self._has_begun_request = True
        self._head_bytes = 0
        self._expires_at = now + self._core.limits.head_timeout_ms / 1000

    def on_url(self, url: bytes) -> None:
        """Append to the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header; trailers are dropped."""
        if self._is_reading_head:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Validate the head and find the route."""
        request = self._current_request
        if request is None or self._is_stopped:
            return
        self._is_reading_head = False
        self._expires_at = math.inf
        self._requests.append(request)
        request.keep_alive = bool(self._parser.should_keep_alive())
        try:
            self._process_head(request)
        except RequestRejected as rejection:
            if rejection.status in (401, 404, 503):
                # Reject after the body has been read, so that the connection stays usable.
                request.rejection = rejection
            else:
                self._reject_current(rejection.status, rejection.reason)
            return
        assert request.head is not None
        if (
            request.head.expects_continue
            and self._requests[0] is request
            and self._transport is not None
        ):
            self._transport.write(CONTINUE_RESPONSE)

    def on_body(self, chunk: bytes) -> None:
        """Buffer a part of the body."""
        request = self._current_request
        if request is None or self._is_stopped or request.rejection is not None:
            return
        request.body_chunks.append(chunk)
        request.body_bytes += len(chunk)
        self._core.buffered_body_bytes += len(chunk)
        if request.body_bytes > self._core.limits.body_bytes:
            self._reject_current(413, "the body is too large")
        elif self._core.buffered_body_bytes > MAX_BUFFERED_BODY_BYTES:
            self._reject_current(503, "too many bodies are held")

    def on_message_complete(self) -> None:
        """Start the call, or wait for a configuration."""
        request, self._current_request = self._current_request, None
        if request is None or self._is_stopped:
            return
        request.is_request_complete = True
        if not request.keep_alive:
            # Reading goes on, because it is the only way to notice that the caller disconnects.
            self._has_read_last_request = True
        if request.rejection is not None:
            core = self._core
            self._reject(
                request,
                core.admission.confirm_rejection(request.rejection, core.table, request.version),
            )
        elif request.route is not None:
            if self._passes_check(request):
                self._start(request)
        else:
            self._await_configuration(request)

    def resume_request(self, request: PipelinedRequest) -> None:
        """Route and start a request that waited for a configuration."""
        self._stop_waiting(request)
        if self._find_route(request) and self._passes_check(request):
            self._start(request)

    def give_up_waiting(self, request: PipelinedRequest) -> None:
        """Refuse a request that waited for a configuration."""
        self._stop_waiting(request)
        self._reject(request, RequestRejected(503, "no configuration yet"))

    def _await_configuration(self, request: PipelinedRequest) -> None:
        """Wait for the configuration, which a daemon that has just started receives soon."""
        core = self._core
        if core.table is not None:
            self.resume_request(request)
            return
        assert request.head is not None
        wait_s = compute_configuration_wait_s(request.head.timeout_ms)
        request.wait_timer = core.loop.call_later(wait_s, self.give_up_waiting, request)
        core.requests_awaiting_configuration[request] = self

    def _stop_waiting(self, request: PipelinedRequest) -> None:
        if request.wait_timer is not None:
            request.wait_timer.cancel()
            request.wait_timer = None
            self._core.requests_awaiting_configuration.pop(request, None)

    def _process_head(self, request: PipelinedRequest) -> None:
        if self._parser.should_upgrade():
            raise RequestRejected(400, "upgrades are not supported")
        if self._parser.get_http_version() != "1.1":
            raise RequestRejected(505, "only HTTP/1.1 is supported")
        core = self._core
        head_bytes = len(self._target) + sum(
            len(name) + len(value) for name, value in self._headers
        )
        if head_bytes > core.limits.head_bytes:
            raise RequestRejected(431, "the head is too large")
        head = parse_request_head(
            self._parser.get_method(),
            self._target,
            self._headers,
            core.header_names,
            core.caller_service,
            core.table is not None and core.table.customers.has_customers,
        )
        request.head = head
        if core.is_refusing:
            raise RequestRejected(503, "this daemon stops")
        table: RelayTable | None = core.table
        if table is None:
            return
        request.route = table.find(head.host, head.path)
        request.version = table.version
        if request.route is None:
            raise RequestRejected(404, "no route")
        core.admission.identify(table, request.route, head)

    def _find_route(self, request: PipelinedRequest) -> bool:
        """Find the route of a complete request; reject it if there is none."""
        table, head = self._core.table, request.head
        assert table is not None and head is not None
        request.route = table.find(head.host, head.path)
        request.version = table.version
        if request.route is None:
            rejection = RequestRejected(404, "no route")
            self._reject(
                request, self._core.admission.confirm_rejection(rejection, table, table.version)
            )
        return request.route is not None

    def _passes_check(self, request: PipelinedRequest) -> bool:
        """Check a complete request, which may have to wait for earlier ones; else reject it."""
        admission, table = self._core.admission, self._core.table
        assert table is not None and request.head is not None
        if (
            request.version != table.version
            and admission.needs_proof(table)
            and not self._find_route(request)
        ):
            return False
        assert request.route is not None
        try:
            if not self._core.can_finish(request.route, request.head, request.arrived_at):
                raise RequestRejected(503, "this daemon stops before the deadline")
            admission.check(table, request.route, request.head)
        except RequestRejected as rejection:
            self._reject(request, rejection)
            return False
        return True

    def _reject(self, request: PipelinedRequest, rejection: RequestRejected) -> None:
        """Send an error response to a request that is not routed, in the order of the requests."""
        core = self._core
        request.route = None
        self._release_body(request)
        request_id = request.head.request_id if request.head else ""
        retry_after_s = rejection.retry_after_s
        if retry_after_s is None and rejection.status == 503:
            retry_after_s = NO_CONFIGURATION_RETRY_AFTER_S
        core.record_rejection(request_id, rejection.status, rejection.reason)
        request.write_response(
            encode_local_response(
                rejection.status,
                rejection.reason,
                request_id.encode("latin-1"),
                core.header_names.request_id,
                retry_after_s,
                request.decide_close(),
            ),
            is_last=True,
        )

    def _start(self, request: PipelinedRequest) -> None:
        """Start a call; one that isn't idempotent waits for the responses to all earlier ones."""
        assert request.route is not None
        if request.is_started or (
            not request.route.is_idempotent and self._requests[0] is not request
        ):
            return
        request.is_started = True
        caller = self._admit(request)
        if caller is None:
            return
        decision = self._core.admission.acquire(
            caller, partial(self._handle_late_quota_decision, request, caller)
        )
        if decision is not None:
            self._handle_quota_decision(request, caller, decision)

    def _admit(self, request: PipelinedRequest) -> Caller | None:
        """Return the sender of a request that may start now, or reject it and return None."""
        core = self._core
        assert request.head is not None and request.route is not None and core.table is not None
        try:
            return core.admission.admit(core.table, request.route, request.head)
        except RequestRejected as rejection:
            self._reject(request, rejection)
            return None

    def _handle_late_quota_decision(
        self, request: PipelinedRequest, caller: Caller, decision: QuotaDecision
    ) -> None:
        """Start or refuse a request after a wait, unless its sender has left or lost its key."""
        if isinstance(decision, QuotaRefused):
            if not self._is_stopped:
                self._handle_quota_decision(request, caller, decision)
            return
        current = None if self._is_stopped else self._admit(request)
        if (
            current is None
            or current.customer is None
            or current.customer.name
            != (caller.customer.name if caller.customer is not None else "")
        ):
            self._core.admission.release(caller, decision.permit)
        else:
            self._handle_quota_decision(request, current, decision)

    def _handle_quota_decision(
        self, request: PipelinedRequest, caller: Caller, decision: QuotaDecision
    ) -> None:
        if isinstance(decision, QuotaRefused):
            rejection = RequestRejected(decision.status, decision.reason, decision.retry_after_s)
            self._reject(request, rejection)
            return
        assert request.head is not None and request.route is not None
        self._core.admission.record_start(caller)
        body = b"".join(request.body_chunks)
        request.call = ForwardedCall(
            self._core, request, request.head, request.route, caller, decision.permit
        )
        request.call.start(body)
        self._release_body(request)

    def _start_next(self) -> None:
        if (
            self._requests
            and self._requests[0].is_request_complete
            and self._requests[0].route is not None
        ):
            self._start(self._requests[0])

    def _release_body(self, request: PipelinedRequest) -> None:
        self._core.buffered_body_bytes -= request.body_bytes
        request.body_bytes = 0
        request.body_chunks.clear()

    def _reject_current(self, status: int, reason: str) -> None:
        """Reject the request that is being read, in the order of the requests, and stop parsing."""
        request = self._current_request or PipelinedRequest(self, self._core.now())
        self._current_request = None
        self._is_reading_head = False
        self._has_read_last_request = True
        if request.is_response_complete:
            return
        request.keep_alive = False
        if request not in self._requests:
            self._requests.append(request)
        self._reject(request, RequestRejected(status, reason))

    def _drop_requests(self) -> None:
        requests, self._requests = list(self._requests), deque()
        for request in requests:
            self._stop_waiting(request)
            self._release_body(request)
            if request.call is not None and not request.is_response_complete:
                request.call.cancel()

    def _pause_reading(self) -> None:
        if not self._is_paused and self._transport is not None and not self._transport.is_closing():
            self._is_paused = True
            self._transport.pause_reading()

    def _resume_reading(self) -> None:
        if self._is_paused and not self._is_stopped and self._transport is not None:
            if len(self._requests) >= MAX_PIPELINED_REQUESTS or self._transport.is_closing():
                return
            self._is_paused = False
            self._transport.resume_reading()

    def _report_output_taken(self, request: PipelinedRequest) -> None:
        """Report the response's bytes written so far, unless the caller reads too slowly."""
        if not self._is_writing_paused and self._untaken_bytes:
            size_bytes, self._untaken_bytes = self._untaken_bytes, 0
            request.record_output_taken(size_bytes)

    def _start_lingering_close(self) -> None:
        """Close the sending side and discard input, so that the caller can read the response."""
        self._is_stopped = True
        self._drop_requests()
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if not transport.can_write_eof():
            transport.close()
            return
        transport.write_eof()
        if self._is_paused:
            self._is_paused = False
            transport.resume_reading()
        self._expires_at = self._core.now() + LINGERING_CLOSE_S
