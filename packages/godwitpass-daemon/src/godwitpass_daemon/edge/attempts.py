"""One attempt of a call: a request sent to one upstream, and its answer."""

import asyncio
from typing import TYPE_CHECKING

from godwitpass.internal.calls.deadlines import MAX_DEADLINE_MS, shrink_timeout
from godwitpass.internal.calls.messages import AttemptId, AttemptEnded, AttemptResult, Resumed, Stalled
from godwitpass.internal.retrying.decision import ExecutionCertainty
from godwitpass.mesh import Upstream
from godwitpass_daemon.edge.heads import AnswerHead, Framing, encode_request_head
from godwitpass_daemon.edge.limits import CONNECT_TIMEOUT_S, STALE_AGE_S
from godwitpass_daemon.edge.upstreams import UpstreamConnection

if TYPE_CHECKING:
    from godwitpass_daemon.edge.calls import Call

_UPSTREAM_TROUBLE = frozenset({500, 502, 503, 504})
_UPSTREAM_SHED = frozenset({429, 503})


class Attempt:
    """Sends the request of `call` to the upstream that the dispatcher chose."""

    __slots__ = (
        "_body_position",
        "_body_sent",
        "_connecting",
        "_connection",
        "_ended",
        "_head_at",
        "_is_repeat",
        "_paused",
        "_result",
        "_sent_at",
        "_token",
        "call",
        "method",
        "number",
        "progress_at",
        "stalled",
        "started",
        "upstream",
        "wrote",
    )

    def __init__(self, call: "Call", number: AttemptId, is_repeat: bool) -> None:
        self.call = call
        self.number = number
        self.method = call.head.method
        self.upstream: Upstream | None = None
        self.started = False
        self.stalled = False
        self.wrote = False
        self.progress_at = 0.0
        self._is_repeat = is_repeat
        self._token = call.edge.create_token(number)
        self._connection: UpstreamConnection | None = None
        self._connecting: asyncio.Task[None] | None = None
        self._body_position = 0
        self._body_sent = False
        self._paused = False
        self._ended = False
        self._sent_at = 0.0
        self._head_at = 0.0
        self._result = AttemptResult.FAILED

    @property
    def certainty(self) -> ExecutionCertainty:
        """What is known if the attempt fails now."""
        return ExecutionCertainty.UNCERTAIN if self.wrote else ExecutionCertainty.UNSENT

    @property
    def is_stale_reuse(self) -> bool:
        """Whether the attempt used a kept connection that brought nothing."""
        connection = self._connection
        if connection is None or connection.received:
            return False
        return connection.idle_age >= STALE_AGE_S

    def start(self, upstream: Upstream) -> None:
        """Send the request to `upstream`, on a kept connection unless one just failed."""
        self.started = True
        self.upstream = upstream
        edge = self.call.edge
        self.progress_at = edge.now()
        if not self._is_repeat:
            connection = edge.pool.take(upstream.address, self.call.is_idempotent)
            if connection is not None:
                self._use(connection)
                return
        self._connecting = edge.loop.create_task(self._connect(upstream))

    def pump_body(self) -> None:
        """Send what came of the body, unless the upstream can't take more."""
        connection = self._connection
        if connection is None or self._paused or self._body_sent or self._ended:
            return
        body = self.call.body
        chunks, self._body_position = body.take(self._body_position)
        parts = self._frame_body(chunks)
        if body.complete:
            self._body_sent = True
            self._sent_at = self.call.edge.now()
            if self.call.head.framing is Framing.CHUNKED:
                parts.append(b"0\r\n\r\n")
        if parts:
            self._note_progress()
            connection.write(b"".join(parts))

    def cancel(self) -> None:
        """Drop the attempt; an upstream that runs it sees the connection close."""
        if not self._ended:
            self._end(AttemptResult.CANCELLED)
            self._drop_connection()

    def notice_stall(self, now: float, after_s: float) -> None:
        """Let an upload without progress no longer count as a call in flight."""
        moving = self._connection is not None and not self._body_sent and not self.stalled
        if moving and not self._ended and now - self.progress_at > after_s:
            self.stalled = True
            self.call.dispatch(Stalled(self.number))

    def pause_answer(self) -> None:
        """Let the upstream wait for a slow caller."""
        if self._connection is not None:
            self._connection.pause_reading()

    def resume_answer(self) -> None:
        """Go on reading the answer."""
        if self._connection is not None:
            self._connection.resume_reading()

    # Called by the connection.

    def receive_head(self, head: AnswerHead) -> None:
        """Judge the answer and pass its head on, unless the upstream refused the request."""
        self._head_at = self.call.edge.now()
        self.progress_at = self._head_at
        if head.status in (429, 503) and head.not_run == self._token:
            self._result = AttemptResult.SHED
            self._detach()
            self.call.fail_attempt(self, ExecutionCertainty.REFUSED)
            return
        self._result = self._judge_status(head.status)
        self.call.receive_head(self, head)

    def receive_body(self, chunk: bytes) -> None:
        """Pass on a part of the answer."""
        if not self._ended:
            self.progress_at = self.call.edge.now()
            self.call.receive_body(self, chunk)

    def finish_answer(self) -> None:
        """Release the connection, then finish the call."""
        connection = self._connection
        assert connection is not None
        self._connection = None
        ended = self._ended
        if not ended:
            # The caller need not wait for what is learned from its answer.
            self.call.complete_answer(self)
        connection.release(self._body_sent)
        if not ended:
            self._end(self._result)
            self.call.finish_answer(self)

    def lose_connection(self, invalid: bool) -> None:
        """Fail the attempt."""
        if self._ended:
            return
        stale = self.is_stale_reuse and not invalid
        self._end(AttemptResult.CANCELLED if stale else AttemptResult.FAILED)
        self.call.lose_attempt(self, stale, invalid)

    def flush(self) -> None:
        """Write the batch to the caller; drop a connection whose answer nobody wants."""
        if self._ended:
            self._drop_connection()
        self.call.flush()

    def pause_writing(self) -> None:
        """Hold the body back."""
        self._paused = True

    def resume_writing(self) -> None:
        """Send the body on."""
        self._paused = False
        self.pump_body()
        self.call.resume_caller()

    async def _connect(self, upstream: Upstream) -> None:
        edge = self.call.edge
        try:
            connection = await edge.pool.connect(upstream.address, CONNECT_TIMEOUT_S)
        except (OSError, TimeoutError):
            self._connecting = None
            if not self._ended:
                self._end(AttemptResult.UNREACHABLE)
                self.call.fail_attempt(self, ExecutionCertainty.UNSENT)
            return
        self._connecting = None
        if self._ended:
            connection.close()
            return
        self._use(connection)

    def _use(self, connection: UpstreamConnection) -> None:
        call = self.call
        self._connection = connection
        remaining = call.measure_remaining()
        timeout_ms = MAX_DEADLINE_MS if remaining is None else shrink_timeout(remaining)
        if timeout_ms <= 0:
            call.expire()
            return
        connection.attach(self)
        self.wrote = True
        is_retry = self._is_repeat or call.head.context.is_retry
        head = encode_request_head(call.head, self._token, timeout_ms, is_retry)
        body = call.body
        if body.complete and body.total == 0:
            self._send_bodyless(connection, head)
            return
        connection.write(head)
        self.pump_body()
        call.resume_caller()

    def _send_bodyless(self, connection: UpstreamConnection, head: bytes) -> None:
        if self.call.head.framing is Framing.CHUNKED:
            head += b"0\r\n\r\n"
        self._body_sent = True
        self._sent_at = self.call.edge.now()
        connection.write(head)

    def _frame_body(self, chunks: list[bytes]) -> list[bytes]:
        if self.call.head.framing is not Framing.CHUNKED:
            return chunks
        return [b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks]

    def _note_progress(self) -> None:
        self.progress_at = self.call.edge.now()
        if self.stalled:
            self.stalled = False
            self.call.dispatch(Resumed(self.number))

    def _judge_status(self, status: int) -> AttemptResult:
        if status in _UPSTREAM_SHED:
            return AttemptResult.SHED
        return AttemptResult.FAILED if status in _UPSTREAM_TROUBLE else AttemptResult.ANSWERED

    def _detach(self) -> None:
        """End the attempt while the rest of its answer is still read and thrown away."""
        if not self._ended:
            self._end(self._result)

    def _end(self, result: AttemptResult) -> None:
        self._ended = True
        if self._connecting is not None:
            self._connecting.cancel()
            self._connecting = None
        if self.started:
            since = self._sent_at or self.progress_at
            latency = max(0.0, (self._head_at or self.call.edge.now()) - since)
            self.call.dispatch(AttemptEnded(self.number, result, latency))

    def _drop_connection(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None
