"""Caller connections: pipelined requests run concurrently; their responses keep the order."""

import asyncio
import math
import time
from collections import deque
from typing import TYPE_CHECKING, cast

import httptools

from godwitpass.internal.relay.configuration_wait import compute_configuration_wait_s
from godwitpass_daemon.edge.heads import Header
from godwitpass_daemon.relay.call_start import find_route, passes_check, reject, start_call
from godwitpass_daemon.relay.headers import RequestRejected
from godwitpass_daemon.relay.limits import (
    HEADER_MEMORY_BYTES,
    LINGERING_CLOSE_S,
    LONG_PARSE_S,
    MANY_HEADERS,
    MAX_PIPELINED_REQUESTS,
    RAW_HEAD_RATIO,
    READ_BYTES,
    REQUEST_MEMORY_BYTES,
    WRITE_BUFFER_BYTES,
)
from godwitpass_daemon.relay.pipelining import PipelinedRequest
from godwitpass_daemon.relay.request_heads import process_head

if TYPE_CHECKING:
    from godwitpass_daemon.relay.core import RelayCore

CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class CallerConnection(asyncio.BufferedProtocol):
    """A caller's connection; reads requests and writes the responses in the same order.

    `_stalled_bytes` counts the input since the last byte of a body or the last complete head, and
    `_progress_at` is when the body of the request that is being read has last grown. The parser is
    dropped when nothing more is to be read. Reading is deferred while the connection waits for a
    turn.
    """

    def __init__(self, core: "RelayCore") -> None:
        self._core = core
        self._intake = core.intake
        self._transport: asyncio.Transport | None = None
        self._body = bytearray()
        self.on_body = self._body.extend
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._requests: deque[PipelinedRequest] = deque()
        self._current_request: PipelinedRequest | None = None
        self._target = b""
        self._headers: list[Header] = []
        self._is_reading_head = False
        self._head_bytes = 0
        self._measured_headers = 0
        self._stalled_bytes = 0
        self._progress_at = 0.0
        self._discarded_bytes = 0
        self._is_partial = False
        self._is_paused = False
        self._is_deferred = False
        self._is_writing_paused = False
        self._unread_bytes = 0.0
        self._unread_since = 0.0
        self._untaken_bytes = 0
        self.is_stopped = False
        self._has_begun_request = False
        self._expires_at = math.inf

    @property
    def is_new(self) -> bool:
        """Return whether the first request has yet to arrive, as it does just after opening."""
        return not self._has_begun_request and not self.is_stopped

    @property
    def is_idle(self) -> bool:
        """Return whether no request is in progress."""
        return not self._requests and not self._is_reading_head

    def is_first(self, request: PipelinedRequest) -> bool:
        """Tell whether the responses to all requests before `request` are written."""
        return bool(self._requests) and self._requests[0] is request

    def closes_after(self, request: PipelinedRequest) -> bool:
        """Tell whether the connection closes after the response to `request`."""
        if not request.keep_alive or not request.is_request_complete:
            return True
        is_last = not self._requests or self._requests[-1] is request
        return self._core.is_stopping and is_last and not self._is_reading_head

    def flush_responses(self) -> None:
        """Write the responses that are next in order, unless the caller reads too slowly."""
        transport = self._transport
        while self._requests and transport is not None:
            if self._is_writing_paused:
                self._update_reading()
                return
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
            request.release()
            if request.closes_connection:
                self._start_lingering_close()
                return
            self._start_next()
        if not self._is_reading_head:
            self._become_idle()
        if self._is_paused:
            self._update_reading()

    def abort(self) -> None:
        """Close the connection at once."""
        self.is_stopped = True
        if self._transport is not None:
            self._transport.abort()

    @property
    def has_unsent_output(self) -> bool:
        """Return whether the caller has yet to take parts of responses."""
        if self._transport is None:
            return False
        has_pending = bool(self._requests) and self._requests[0].has_pending_output
        return has_pending or self._transport.get_write_buffer_size() > 0

    @property
    def receives_request_in_time(self) -> bool:
        """Return whether the rest of a request arrives that can end before this daemon does."""
        request = self._current_request
        if request is None or request.route is None or request.rejection is not None:
            return False
        assert request.head is not None, "the route is found by the head"
        return self._core.can_finish(request.route, request.head, request.arrived_at)

    def evict(self) -> None:
        """Close the idle connection at once, which gives its descriptor to another one."""
        if self._transport is not None:
            self._transport.close()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is in progress.

        Input is discarded until the caller closes, because unread input would reset the connection.
        """
        if self.is_idle and not self.is_stopped:
            self._start_lingering_close()

    def end_calls(self) -> None:
        """Answer the calls in progress, whose responses would come too late."""
        for request in list(self._requests):
            if request.call is not None and not request.is_response_complete:
                request.call.end("this daemon stops")

    def refuse_incomplete_request(self) -> None:
        """Refuse a request whose body has not arrived, as this daemon can't run it any more."""
        request = self._current_request
        if request is not None and request.head is not None and not self.is_stopped:
            self._reject_current(503, "this daemon stops")

    def check_timeouts(self, now: float) -> None:
        """Enforce the timeouts of the head, the body, the idle connection and the responses."""
        transport = self._transport
        if transport is None:
            return
        # While reading is paused, the rest of a head can't arrive.
        if now >= self._expires_at and not (self._is_paused and self._is_reading_head):
            self._expires_at = math.inf
            if self.is_stopped or not self._is_reading_head:
                transport.abort()
            else:
                self._reject_current(408, "the head took too long")
            return
        if self._is_writing_paused:
            self._check_unread_output(transport.get_write_buffer_size(), now)
            return
        request = self._current_request
        if request is not None and request.head is not None and not request.is_request_complete:
            timeout_ms = request.head.timeout_ms
            progress_at = max(request.arrived_at, self._progress_at)
            if timeout_ms is not None and now > request.arrived_at + timeout_ms / 1000:
                self._reject_current(408, "the body took too long")
            elif now > progress_at + self._core.idle_timeout_s and not self._is_paused:
                self._record_limit("idle body")
                self._reject_current(408, "the body does not arrive")

    def make_room(self) -> None:
        """Refuse the request that is being read, or close if the responses are not read."""
        self._is_partial = False
        if self._current_request is not None:
            self._record_limit("memory")
            self._reject_current(503, "too many requests are held")
        elif self._is_writing_paused:
            self._record_limit("memory")
            self.abort()

    def check_output(self) -> None:
        """Make room for responses that can't be written yet."""
        budget = self._intake.budget
        budget.record_progress(self)
        self._is_partial = True
        budget.has_room(0)

    def take_turn(self) -> bool:
        """Read the next part of the input; return False if there is nothing to read."""
        self._is_deferred = False
        self._update_reading()
        return not self._is_paused and self in self._core.caller_connections

    # Called by asyncio.

    def pause_writing(self) -> None:
        """Stop reading requests and writing responses; the caller reads too slowly."""
        self._is_writing_paused = True
        self._unread_bytes = math.inf

    def resume_writing(self) -> None:
        """Go on with the responses."""
        self._is_writing_paused = False
        self._forget_partial()
        for request in list(self._requests):
            if request.is_request_complete and request.route is not None and not self.is_stopped:
                start_call(self._core, request)
        self.flush_responses()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and start the idle timeout; close if too many are open."""
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        connections = self._core.caller_connections
        if len(connections) >= self._intake.max_connections:
            self._record_limit("connections")
            if not self._intake.close_longest_idle():
                self.abort()
                return
        connections.add(self)
        self._become_idle()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer of all connections, which is parsed before the next read."""
        return self._intake.read_buffer if self._current_request else self._intake.head_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse what has been read."""
        self.receive(self._intake.read_buffer[:nbytes])

    def receive(self, data: bytes | memoryview) -> None:
        """Parse a part of the input, at most `READ_BYTES`, and check incomplete requests."""
        parser = self._parser
        if parser is None:
            # Input is discarded in turns too, since a client may send without end.
            self._defer(0.0)
            return
        started_at = time.perf_counter()
        previous, body_bytes = self._current_request, len(self._body)
        self._stalled_bytes += len(data)
        try:
            parser.feed_data(data)
        except httptools.HttpParserCallbackError:
            # An error of this program: asyncio logs it and closes the connection.
            raise
        except (httptools.HttpParserUpgrade, httptools.HttpParserError):
            if self._parser is not None:
                self._reject_current(400, "not a request in HTTP/1.1")
        request = self._current_request
        if self._parser is None:
            self._drop_input()
        elif request is not None or self._stalled_bytes > READ_BYTES:
            self._check_incomplete(request)
        if len(self._requests) >= MAX_PIPELINED_REQUESTS:
            self._update_reading()
        spent_s = time.perf_counter() - started_at
        if spent_s > LONG_PARSE_S or (
            self._current_request is not None
            and (
                len(self._headers) > MANY_HEADERS
                if self._is_reading_head
                else request is previous and 2 * (len(self._body) - body_bytes) < len(data)
            )
        ):
            self._defer(spent_s)

    def eof_received(self) -> bool:
        """Close the connection; a caller that half-closes it counts as disconnected."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the calls in progress."""
        self.is_stopped = True
        self._core.caller_connections.discard(self)
        self._intake.idle.pop(self, None)
        self._stop_reading()
        self._drop_requests()

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Start a request; its head timeout starts if this part of the input doesn't end it."""
        if self._parser is None:
            return
        self._current_request = PipelinedRequest(self, self._intake.budget, self._core.now())
        self._intake.idle.pop(self, None)
        self._is_reading_head = True
        self._has_begun_request = True
        self._stalled_bytes = self._head_bytes = self._measured_headers = 0
        self._expires_at = math.inf

    def on_url(self, url: bytes) -> None:
        """Append to the request target."""
        if self._is_reading_head:
            self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header; trailers are dropped."""
        if self._is_reading_head:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Validate the head and find the route."""
        request, parser = self._current_request, self._parser
        if request is None or parser is None or self.is_stopped:
            return
        self._is_reading_head = False
        self._expires_at = math.inf
        self._requests.append(request)
        request.keep_alive = bool(parser.should_keep_alive())
        target, self._target = self._target, b""
        headers, self._headers = self._headers, []
        try:
            process_head(self._core, request, parser, target, headers, self._stalled_bytes)
        except RequestRejected as rejection:
            if rejection.status in (401, 404, 503):
                # Reject after the body has been read, so that the connection stays usable.
                request.rejection = rejection
            else:
                self._reject_current(rejection.status, rejection.reason)
            return
        finally:
            self._stalled_bytes = self._discarded_bytes = 0
            if not request.is_response_complete:
                head_bytes = len(request.head.encoded) if request.head is not None else 0
                request.hold(REQUEST_MEMORY_BYTES + head_bytes - request.held_bytes)
        assert request.head is not None
        if (
            request.head.expects_continue
            and self._requests[0] is request
            and self._transport is not None
        ):
            self._transport.write(CONTINUE_RESPONSE)

    def on_message_complete(self) -> None:
        """Start the call, or wait for a configuration."""
        request = self._current_request
        if request is None or self._parser is None or self.is_stopped:
            return
        core, budget = self._core, self._intake.budget
        body_bytes = len(self._body)
        if body_bytes and request.rejection is None and body_bytes > core.limits.body_bytes:
            self._reject_current(413, "the body is too large")
            return
        self._current_request = None
        self._stalled_bytes = 0
        if self._is_partial:
            self._forget_partial()
        request.is_request_complete = True
        if not request.keep_alive:
            # Reading goes on, because it is the only way to notice that the caller disconnects.
            self._parser = None
        if request.rejection is not None:
            self._body.clear()
            reject(
                core,
                request,
                core.admission.confirm_rejection(request.rejection, core.table, request.version),
            )
            return
        if body_bytes:
            request.body = bytes(self._body)
            request.hold_body(body_bytes)
            self._body.clear()
        if budget.held_bytes > budget.large_limit_bytes and not budget.has_room(
            request.held_bytes, request
        ):
            self._record_limit("memory")
            reject(core, request, RequestRejected(503, "too many requests are held"))
        elif request.route is None:
            self._await_configuration(request)
        elif passes_check(core, request) and not self._is_writing_paused:
            start_call(core, request)

    def resume_request(self, request: PipelinedRequest) -> None:
        """Route and start a request that waited for a configuration."""
        self._stop_waiting(request)
        if find_route(self._core, request) and passes_check(self._core, request):
            start_call(self._core, request)

    def give_up_waiting(self, request: PipelinedRequest) -> None:
        """Refuse a request that waited for a configuration."""
        self._stop_waiting(request)
        reject(self._core, request, RequestRejected(503, "no configuration yet"))

    def _check_incomplete(self, request: PipelinedRequest | None) -> None:
        """Reject input that exceeds a limit or brings no request forward."""
        limits, budget = self._core.limits, self._intake.budget
        if self._is_reading_head and request is not None:
            self._expires_at = request.arrived_at + limits.head_timeout_ms / 1000
            new_headers = self._headers[self._measured_headers :]
            self._measured_headers += len(new_headers)
            self._head_bytes += sum(len(name) + len(value) for name, value in new_headers)
            raw_limit_bytes = RAW_HEAD_RATIO * limits.head_bytes + READ_BYTES
            if (
                self._head_bytes + len(self._target) > limits.head_bytes
                or self._stalled_bytes > raw_limit_bytes
            ):
                self._reject_current(431, "the head is too large")
                return
            held_bytes = self._stalled_bytes + HEADER_MEMORY_BYTES * len(self._headers)
            request.hold(REQUEST_MEMORY_BYTES + held_bytes - request.held_bytes)
        elif not self._check_body(request):
            return
        if request is not None:
            budget.record_progress(self)
            self._is_partial = True
            if budget.held_bytes > budget.large_limit_bytes:
                budget.has_room(request.held_bytes, request)

    def _check_body(self, request: PipelinedRequest | None) -> bool:
        """Hold the part of the body that has arrived; return False if the input is rejected."""
        limits = self._core.limits
        if request is not None:
            body_bytes = len(self._body)
            if request.rejection is not None:
                self._discarded_bytes += body_bytes
                self._body.clear()
                has_grown, body_bytes = body_bytes > 0, self._discarded_bytes
            else:
                has_grown = body_bytes > request.body_bytes
                request.hold_body(body_bytes)
            if has_grown:
                self._stalled_bytes = 0
                self._progress_at = self._core.now()
            if body_bytes > limits.body_bytes:
                self._reject_current(413, "the body is too large")
                return False
        if self._stalled_bytes > limits.head_bytes + READ_BYTES:
            self._record_limit("no progress")
            self._reject_current(400, "the input brings no request forward")
            return False
        return True

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

    def _start_next(self) -> None:
        if (
            self._requests
            and not self._is_writing_paused
            and self._requests[0].is_request_complete
            and self._requests[0].route is not None
        ):
            start_call(self._core, self._requests[0])

    def _reject_current(self, status: int, reason: str) -> None:
        """Reject the request that is being read, in the order of the requests, and stop parsing."""
        request = self._current_request or PipelinedRequest(
            self, self._intake.budget, self._core.now()
        )
        if self._is_reading_head:
            request.release()
        self._stop_reading(keeps_request=True)
        if request.is_response_complete:
            return
        request.keep_alive = False
        if request not in self._requests:
            self._requests.append(request)
        reject(self._core, request, RequestRejected(status, reason))

    def _stop_reading(self, keeps_request: bool = False) -> None:
        """Parse nothing more, and drop what has been read of an incomplete request."""
        request, self._current_request = self._current_request, None
        if request is not None and not keeps_request:
            request.release()
        self._is_reading_head = False
        self._parser = None
        self._forget_partial()
        self._drop_input()

    def _drop_input(self) -> None:
        self._target = b""
        self._headers.clear()
        self._body.clear()

    def _forget_partial(self) -> None:
        if self._is_partial:
            self._is_partial = False
            self._intake.budget.forget(self)

    def _drop_requests(self) -> None:
        requests, self._requests = list(self._requests), deque()
        for request in requests:
            self._stop_waiting(request)
            if request.call is not None and not request.is_response_complete:
                request.call.cancel()
            request.release()

    def _become_idle(self) -> None:
        self._expires_at = self._core.now() + self._core.idle_timeout_s
        self._intake.idle[self] = None

    def _defer(self, spent_s: float) -> None:
        """Read on when it is the turn of this connection."""
        if not self._is_deferred and self._transport is not None:
            self._is_deferred = True
            self._update_reading()
            self._intake.turns.defer(self, spent_s)

    def _update_reading(self) -> None:
        """Pause or resume reading."""
        transport = self._transport
        must_pause = self._is_deferred or (
            not self.is_stopped
            and (self._is_writing_paused or len(self._requests) >= MAX_PIPELINED_REQUESTS)
        )
        if must_pause is self._is_paused or transport is None or transport.is_closing():
            return
        self._is_paused = must_pause
        if must_pause:
            transport.pause_reading()
        else:
            transport.resume_reading()

    def _check_unread_output(self, size_bytes: int, now: float) -> None:
        """Close the connection of a caller that has not read for too long."""
        if size_bytes < self._unread_bytes:
            self._unread_bytes, self._unread_since = size_bytes, now
        elif now > self._unread_since + self._core.idle_timeout_s:
            self._record_limit("unread responses")
            self.abort()

    def _record_limit(self, reason: str) -> None:
        address = self._transport.get_extra_info("peername") if self._transport else None
        self._intake.limit_log.record(reason, str(address[0]) if address else "")

    def _report_output_taken(self, request: PipelinedRequest) -> None:
        """Report the response's bytes written so far, unless the caller reads too slowly."""
        if not self._is_writing_paused and self._untaken_bytes:
            size_bytes, self._untaken_bytes = self._untaken_bytes, 0
            request.record_output_taken(size_bytes)

    def _start_lingering_close(self) -> None:
        """Close the sending side and discard input, so that the caller can read the response."""
        self.is_stopped = True
        self._stop_reading()
        self._drop_requests()
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if not transport.can_write_eof():
            transport.close()
            return
        transport.write_eof()
        self._update_reading()
        self._expires_at = self._core.now() + LINGERING_CLOSE_S
