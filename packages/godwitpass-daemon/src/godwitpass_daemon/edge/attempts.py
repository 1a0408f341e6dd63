"""One attempt of a call: the request sent to one upstream, and its response."""

import asyncio
from typing import TYPE_CHECKING

from godwitpass.internal.calls.deadlines import MAX_TIMEOUT_MS, compute_forwarded_timeout_ms
from godwitpass.internal.calls.messages import (
    AttemptEnded,
    AttemptId,
    AttemptResult,
    UploadResumed,
    UploadStalled,
)
from godwitpass.internal.retrying.decision import ExecutionCertainty
from godwitpass.mesh import Upstream
from godwitpass_daemon.edge.heads import Framing, ResponseHead, encode_request_head
from godwitpass_daemon.edge.limits import CONNECT_TIMEOUT_S, MIN_STALE_IDLE_S
from godwitpass_daemon.edge.upstreams import UpstreamConnection

if TYPE_CHECKING:
    from godwitpass_daemon.edge.calls import Call

_FAILURE_STATUSES = frozenset({500, 502, 503, 504})
_SHED_STATUSES = frozenset({429, 503})


class Attempt:
    """Sends the request of `call` to the upstream that the dispatcher chose.

    `attempt_id` identifies the attempt within the daemon; upstreams see a globally unique id.
    """

    __slots__ = (
        "_body_position",
        "_connect_task",
        "_connection",
        "_global_id",
        "_has_ended",
        "_head_at",
        "_is_body_sent",
        "_is_paused",
        "_is_retry_or_hedge",
        "_result",
        "_sent_at",
        "attempt_id",
        "call",
        "has_sent_bytes",
        "is_stalled",
        "is_started",
        "last_progress_at",
        "method",
        "upstream",
    )

    def __init__(self, call: "Call", attempt_id: AttemptId, is_retry_or_hedge: bool) -> None:
        self.call = call
        self.attempt_id = attempt_id
        self.method = call.head.method
        self.upstream: Upstream | None = None
        self.is_started = False
        self.is_stalled = False
        self.has_sent_bytes = False
        self.last_progress_at = 0.0
        self._is_retry_or_hedge = is_retry_or_hedge
        self._global_id = call.edge.create_global_attempt_id(attempt_id)
        self._connection: UpstreamConnection | None = None
        self._connect_task: asyncio.Task[None] | None = None
        self._body_position = 0
        self._is_body_sent = False
        self._is_paused = False
        self._has_ended = False
        self._sent_at = 0.0
        self._head_at = 0.0
        self._result = AttemptResult.FAILED

    @property
    def certainty(self) -> ExecutionCertainty:
        """Whether the request may have run, if the attempt fails now."""
        return ExecutionCertainty.UNCERTAIN if self.has_sent_bytes else ExecutionCertainty.UNSENT

    @property
    def is_stale_connection(self) -> bool:
        """Whether the attempt reused a connection that was idle for long and received no data."""
        connection = self._connection
        if connection is None or connection.has_received:
            return False
        return connection.idle_s >= MIN_STALE_IDLE_S

    @property
    def unsent_bytes(self) -> int:
        """Size of what waits to be sent to the upstream."""
        return self._connection.unsent_bytes if self._connection is not None else 0

    def start(self, upstream: Upstream) -> None:
        """Send the request to `upstream`; only a first attempt reuses a pooled connection."""
        self.is_started = True
        self.upstream = upstream
        edge = self.call.edge
        self.last_progress_at = edge.now()
        if not self._is_retry_or_hedge:
            connection = edge.pool.take(upstream.address, self.call.is_idempotent)
            if connection is not None:
                self._send_request(connection)
                return
        self._connect_task = edge.loop.create_task(self._connect(upstream))

    def send_buffered_body(self) -> None:
        """Send the buffered part of the body, unless the upstream applies back-pressure."""
        connection = self._connection
        if connection is None or self._is_paused or self._is_body_sent or self._has_ended:
            return
        body = self.call.body
        chunk, self._body_position = body.take(self._body_position)
        parts = self._encode_body(chunk)
        if body.is_complete:
            self._is_body_sent = True
            self._sent_at = self.call.edge.now()
            if self.call.head.framing is Framing.CHUNKED:
                parts.append(b"0\r\n\r\n")
        if parts:
            self._record_progress()
            connection.write(b"".join(parts))

    def cancel(self) -> None:
        """Cancel the attempt; closing the connection cancels it at the upstream."""
        if not self._has_ended:
            self._end(AttemptResult.CANCELLED)
            self._close_connection()

    def check_stall(self, now: float, stall_s: float) -> None:
        """Report an upload without progress for `stall_s` seconds, which frees its capacity."""
        is_uploading = (
            self._connection is not None and not self._is_body_sent and not self.is_stalled
        )
        if is_uploading and not self._has_ended and now - self.last_progress_at > stall_s:
            self.is_stalled = True
            self.call.dispatch(UploadStalled(self.attempt_id))

    def pause_response(self) -> None:
        """Stop reading the response while the caller is slow."""
        if self._connection is not None:
            self._connection.pause_reading()

    def resume_response(self) -> None:
        """Resume reading the response."""
        if self._connection is not None:
            self._connection.resume_reading()

    # Called by the connection.

    def receive_head(self, head: ResponseHead) -> None:
        """Classify the response and forward its head, unless the upstream refused the request."""
        self._head_at = self.call.edge.now()
        self.last_progress_at = self._head_at
        if head.status in (429, 503) and head.not_run_id == self._global_id:
            self._result = AttemptResult.SHED
            self._end_and_discard_response()
            self.call.fail_attempt(self, ExecutionCertainty.REFUSED)
            return
        self._result = self._classify_status(head.status)
        self.call.receive_head(self, head)

    def receive_body(self, chunk: bytes) -> None:
        """Forward a part of the response body."""
        if not self._has_ended:
            self.last_progress_at = self.call.edge.now()
            self.call.receive_body(self, chunk)

    def finish_response(self) -> None:
        """Complete the response, release the connection, and finish the call."""
        connection = self._connection
        assert connection is not None
        self._connection = None
        had_ended = self._has_ended
        if not had_ended:
            # Write to the caller first: releasing and recording would delay its response.
            self.call.write_response_end(self)
        connection.release(self._is_body_sent)
        if not had_ended:
            self._end(self._result)
            self.call.finish_response(self)

    def handle_connection_loss(self, is_invalid: bool) -> None:
        """Fail the attempt; a lost stale connection isn't counted against the upstream."""
        if self._has_ended:
            return
        is_stale = self.is_stale_connection and not is_invalid
        self._end(AttemptResult.CANCELLED if is_stale else AttemptResult.FAILED)
        self.call.handle_attempt_loss(self, is_stale, is_invalid)

    def flush(self) -> None:
        """Write buffered output to the caller; close the connection if the attempt has ended."""
        if self._has_ended:
            self._close_connection()
        self.call.flush()

    def pause_writing(self) -> None:
        """Stop sending the request body."""
        self._is_paused = True

    def resume_writing(self) -> None:
        """Resume sending the request body."""
        self._is_paused = False
        self.send_buffered_body()
        self.call.resume_caller()

    async def _connect(self, upstream: Upstream) -> None:
        edge = self.call.edge
        try:
            connection = await edge.pool.connect(upstream.address, CONNECT_TIMEOUT_S)
        except (OSError, TimeoutError):
            self._connect_task = None
            if not self._has_ended:
                self._end(AttemptResult.UNREACHABLE)
                self.call.fail_attempt(self, ExecutionCertainty.UNSENT)
            return
        self._connect_task = None
        if self._has_ended:
            connection.close()
            return
        self._send_request(connection)

    def _send_request(self, connection: UpstreamConnection) -> None:
        call = self.call
        self._connection = connection
        remaining_s = call.compute_remaining_s()
        timeout_ms = (
            MAX_TIMEOUT_MS if remaining_s is None else compute_forwarded_timeout_ms(remaining_s)
        )
        if timeout_ms <= 0:
            call.expire()
            return
        connection.attach(self)
        self.has_sent_bytes = True
        is_retry = self._is_retry_or_hedge or call.head.context.is_retry
        head = encode_request_head(call.head, self._global_id, timeout_ms, is_retry)
        body = call.body
        if body.is_complete and body.received_bytes == 0:
            self._send_without_body(connection, head)
            return
        connection.write(head)
        self.send_buffered_body()
        call.resume_caller()

    def _send_without_body(self, connection: UpstreamConnection, head: bytes) -> None:
        if self.call.head.framing is Framing.CHUNKED:
            head += b"0\r\n\r\n"
        self._is_body_sent = True
        self._sent_at = self.call.edge.now()
        connection.write(head)

    def _encode_body(self, chunk: bytes) -> list[bytes]:
        if not chunk:
            return []
        if self.call.head.framing is not Framing.CHUNKED:
            return [chunk]
        return [b"%x\r\n%b\r\n" % (len(chunk), chunk)]

    def _record_progress(self) -> None:
        self.last_progress_at = self.call.edge.now()
        if self.is_stalled:
            self.is_stalled = False
            self.call.dispatch(UploadResumed(self.attempt_id))

    def _classify_status(self, status: int) -> AttemptResult:
        if status in _SHED_STATUSES:
            return AttemptResult.SHED
        return AttemptResult.FAILED if status in _FAILURE_STATUSES else AttemptResult.ANSWERED

    def _end_and_discard_response(self) -> None:
        """End the attempt; the rest of its response is discarded."""
        if not self._has_ended:
            self._end(self._result)

    def _end(self, result: AttemptResult) -> None:
        self._has_ended = True
        if self._connect_task is not None:
            self._connect_task.cancel()
            self._connect_task = None
        if self.is_started:
            latency_start = self._sent_at or self.last_progress_at
            latency_s = max(0.0, (self._head_at or self.call.edge.now()) - latency_start)
            self.call.dispatch(AttemptEnded(self.attempt_id, result, latency_s))

    def _close_connection(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None
