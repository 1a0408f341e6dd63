"""One call that another daemon forwarded, from its frames to the upstream and back."""

import asyncio
import math
from typing import TYPE_CHECKING, Protocol

import msgspec

from godwitpass.internal.relay.admission import ScheduledCall, combine_priorities
from godwitpass.internal.relay.frames import (
    BODY_CHUNK_BYTES,
    BodyChunk,
    Failed,
    Failure,
    Frame,
    Load,
    OpenStream,
    Refusal,
    Refused,
    Response,
    ResponseAborted,
    WindowUpdate,
)
from godwitpass.internal.relay.registration import Heartbeat
from godwitpass_daemon.boot_clock import read_boot_clock
from godwitpass_daemon.edge.guards import RequestDescriptor
from godwitpass_daemon.relay.crash_guard import describe_request
from godwitpass_daemon.relay.headers import ResponseHead, encode_request_head
from godwitpass_daemon.relay.limits import (
    MAX_BUFFERED_RESPONSE_BYTES,
    MEMORY_RETRY_AFTER_S,
    RESPONSE_WINDOW_BYTES,
)
from godwitpass_daemon.relay.upstream_connections import UpstreamConnection

if TYPE_CHECKING:
    from godwitpass_daemon.relay.upstream_runner import UpstreamRunner


CANCEL_TOLERANCE_S = 0.1
"""A call cancelled this shortly before its deadline counts as not answered in time."""


class ReplyChannel(Protocol):
    """Sends frames to the daemon that forwarded a call.

    `is_flow_controlled` tells whether large responses have to wait for the link to that daemon.
    """

    @property
    def is_flow_controlled(self) -> bool:
        """Return whether large responses wait for the link."""
        ...

    def send(self, frame: Frame) -> None:
        """Send a frame."""
        ...

    def remove_stream(self, stream_id: int) -> None:
        """Remove a stream that has ended."""
        ...


class UpstreamCall:
    """A call that was forwarded to this daemon, and its connection to the upstream."""

    __slots__ = (
        "_body_chunks",
        "_buffered_response_bytes",
        "_connect_task",
        "_connection",
        "_head",
        "_is_streaming",
        "_permitted_until",
        "_response_bytes",
        "_response_chunks",
        "_runner",
        "_sent_at",
        "_suspect",
        "_target",
        "_was_connection_idle",
        "_window_bytes",
        "call_id",
        "deadline",
        "has_ended",
        "held_bytes",
        "remaining_body_bytes",
        "reply_channel",
        "request",
        "scheduled",
    )

    def __init__(
        self,
        runner: "UpstreamRunner",
        reply_channel: ReplyChannel,
        request: OpenStream,
        call_id: int,
    ) -> None:
        now = runner.now()
        self.request = request
        self.call_id = call_id
        self.deadline = now + request.remaining_ms / 1000
        self._permitted_until = (
            math.inf
            if request.permitted_ms < 0
            else read_boot_clock() + request.permitted_ms / 1000
        )
        self.scheduled = ScheduledCall(
            call_id,
            request.route,
            combine_priorities(request.priority, request.customer, request.customer_priority),
            now + request.objective_ms / 1000,
            self.deadline,
            now,
        )
        self.has_ended = False
        self.held_bytes = 0
        self._runner = runner
        self.reply_channel = reply_channel
        self._body_chunks: list[bytes | bytearray] = [request.body] if request.body else []
        self.remaining_body_bytes = request.body_bytes - len(request.body)
        self._connect_task: asyncio.Task[None] | None = None
        self._connection: UpstreamConnection | None = None
        self._was_connection_idle = False
        self._sent_at = 0.0
        self._target: Heartbeat | None = None
        self._suspect: RequestDescriptor | None = None
        self._head: ResponseHead | None = None
        self._response_chunks: list[bytes] = []
        self._buffered_response_bytes = 0
        self._response_bytes = 0
        self._is_streaming = False
        self._window_bytes = RESPONSE_WINDOW_BYTES

    @property
    def is_body_complete(self) -> bool:
        """Return whether the whole request body has arrived."""
        return self.remaining_body_bytes <= 0

    @property
    def was_sent(self) -> bool:
        """Return whether the upstream may have started to run the call."""
        return self._sent_at > 0

    def describe(self) -> RequestDescriptor:
        """Return what identifies the request, whose body is complete."""
        request = self.request
        return describe_request(request.service, request.route, request.head, self._body_chunks)

    def receive_body(self, data: bytes) -> None:
        """Store a part of the request body, and admit the call once the body is complete."""
        if self._body_chunks and isinstance(self._body_chunks[-1], bytearray):
            self._body_chunks[-1] += data
        else:
            self._body_chunks.append(bytearray(data))
        self.remaining_body_bytes -= len(data)
        if not self.is_body_complete:
            self._runner.budget.record_progress(self)
        self._runner.send_window_updates(
            self._runner.flow_control.record_chunk(self.call_id, len(data), self._runner.now())
        )
        if self.is_body_complete and not self.has_ended:
            self._runner.admit(self)

    def grant_window(self, size_bytes: int) -> None:
        """Allow the forwarding daemon to send more of the body."""
        if not self.has_ended:
            self.reply_channel.send(WindowUpdate(self.request.stream_id, size_bytes))

    def extend_window(self, size_bytes: int) -> None:
        """Send `size_bytes` more of a streamed response."""
        was_exhausted = self._window_bytes <= 0
        self._window_bytes += size_bytes
        if was_exhausted and self._window_bytes > 0 and self._connection is not None:
            self._connection.resume_reading()

    def cancel(self) -> None:
        """Cancel the call at its sender's request; a running one that is idempotent is aborted."""
        if self.has_ended:
            return
        if not self.was_sent:
            self.refuse(Refusal.CANCELLED, 0.0)
            return
        self._runner.call_log.record_cancelled(self, self._sent_at)
        # A sender cancels at the deadline what the upstream has not answered.
        self._record_outcome(self._runner.now() >= self.deadline - CANCEL_TOLERANCE_S)
        if not self.request.is_idempotent:
            # A call that must not be repeated is left to finish, because it can't be run again.
            return
        self._drop_connection()
        self._finish()

    def make_room(self) -> None:
        """Refuse the call, whose body is incomplete, for lack of memory."""
        self.refuse(Refusal.NO_ROOM, MEMORY_RETRY_AFTER_S)

    def withdraw(self) -> None:
        """Take the call back at its sender's request, unless the upstream may run it already."""
        if not self.was_sent:
            self.refuse(Refusal.CANCELLED, 0.0)

    def refuse(self, reason: Refusal, retry_after_s: float, reached_upstream: bool = False) -> None:
        """Report that the call has not run."""
        if not self.has_ended:
            self._runner.call_log.record_refused(self, reason, retry_after_s)
            load = self._finish()
            self.reply_channel.send(
                Refused(
                    self.request.stream_id,
                    reason,
                    reached_upstream,
                    int(retry_after_s * 1000),
                    load,
                )
            )

    def fail(self, reason: Failure) -> None:
        """Report that the call may have run without a complete response."""
        if self.has_ended:
            return
        self._runner.call_log.record_failed(self, reason)
        self._record_outcome(True, is_reset=reason is Failure.RESET)
        if reason is Failure.RESET and self._runner.crash_detector is not None:
            # The detector finds out whether the upstream has ended.
            self._suspect = None
            self._runner.crash_detector.record_reset(self.describe(), self._target)
        self._drop_connection()
        if self._is_streaming:
            self._finish()
            if self.reply_channel.is_flow_controlled:
                self._runner.response_sender.abort(self.call_id)
            else:
                self.reply_channel.send(ResponseAborted(self.request.stream_id))
            return
        load = self._finish()
        self.reply_channel.send(Failed(self.request.stream_id, reason, load))

    def start(self) -> None:
        """Send the request on an idle connection or a new one."""
        connection = self._runner.pool.take_idle(must_be_recent=not self.request.is_idempotent)
        if connection is None:
            self._connect()
        else:
            self._send_request(connection)

    def expire(self) -> None:
        """End the call at its deadline."""
        if self.was_sent:
            self.fail(Failure.TIMEOUT)
        else:
            self.refuse(Refusal.TOO_LATE, 0.0)

    # Called by the connection.

    def handle_head(self, head: ResponseHead) -> None:
        """Store the head of the response, and apply what it says about the upstream."""
        self._head = head
        if self._target is not None:
            self._runner.apply_response_head(head, self._target)
        if self._connection is not None and self._runner.crash_detector is not None:
            self._runner.crash_detector.record_response(self._connection.opened_at)

    def handle_body(self, data: bytes) -> None:
        """Buffer a part of the response, or stream it if the response is long."""
        if self.has_ended:
            return
        if self._is_streaming:
            self._stream(data)
            return
        self._response_chunks.append(data)
        self._buffered_response_bytes += len(data)
        head = self._head
        if self._buffered_response_bytes <= MAX_BUFFERED_RESPONSE_BYTES or head is None:
            return
        if self._is_refusal(head) or not self._is_valid_response(head):
            connection, self._connection = self._connection, None
            self._end_without_response(head)
            if connection is not None:
                connection.close()
            return
        self._is_streaming = True
        body = b"".join(self._response_chunks)
        self._response_chunks.clear()
        first = body[:MAX_BUFFERED_RESPONSE_BYTES]
        self._send_response(head, first, is_last=False)
        self._window_bytes -= len(first)
        self._stream(body[MAX_BUFFERED_RESPONSE_BYTES:])

    def handle_end(self) -> None:
        """Send the complete response, or report why there is none."""
        self._connection = None
        head = self._head
        if self.has_ended or head is None:
            return
        if self._is_streaming:
            if head.status < 500:
                self._record_outcome(False)
            self._finish(is_completed=head.status < 500)
            if self.reply_channel.is_flow_controlled:
                self._runner.response_sender.finish(self.call_id)
            else:
                self.reply_channel.send(BodyChunk(self.request.stream_id, b"", is_last=True))
        elif self._is_refusal(head) or not self._is_valid_response(head):
            self._end_without_response(head)
        else:
            self._send_response(head, b"".join(self._response_chunks), is_last=True)

    def handle_loss(self, has_received: bool, is_invalid: bool) -> None:
        """Report that there is no complete response, or resend the request where that is safe."""
        self._connection = None
        if self.has_ended:
            return
        if self._was_connection_idle and not has_received and self.request.is_idempotent:
            # The upstream closed the idle connection while the request was being sent.
            self._was_connection_idle = False
            self._connect()
            return
        self.fail(Failure.INVALID if is_invalid else Failure.RESET)

    def _is_refusal(self, head: ResponseHead) -> bool:
        """Tell whether the upstream states that it has not run the call."""
        return head.is_not_run or head.status == 421

    def _end_without_response(self, head: ResponseHead) -> None:
        """End a call whose response is a refusal or invalid."""
        if self._is_refusal(head):
            self._runner.call_log.record_upstream_refusal(head.status)
            self.refuse(Refusal.UPSTREAM_REFUSED, 0.0, reached_upstream=True)
        else:
            self.fail(Failure.INVALID)

    def _stream(self, data: bytes) -> None:
        """Send a part of the response, and pause the upstream once the window is used up."""
        if data and self.reply_channel.is_flow_controlled:
            self._runner.response_sender.append(self.call_id, data)
        elif data:
            self.reply_channel.send(BodyChunk(self.request.stream_id, data))
        self._response_bytes += len(data)
        self._window_bytes -= len(data)
        if self._window_bytes <= 0 and self._connection is not None:
            self._connection.pause_reading()

    def _is_valid_response(self, head: ResponseHead) -> bool:
        """Tell whether the upstream itself produced the response; a success must carry its seal."""
        if head.has_content_encoding:
            return False
        return head.has_seal or not 200 <= head.status < 300

    def _send_response(self, head: ResponseHead, body: bytes, is_last: bool) -> None:
        now = self._runner.now()
        wait_ms = int((self.scheduled.started_at - self.scheduled.arrived_at) * 1000)
        service_ms = int((now - self._sent_at) * 1000)
        self._runner.call_log.record_response_sent(self, head.status, wait_ms, service_ms)
        if is_last or head.status >= 500:
            self._record_outcome(head.status >= 500)
        self._response_bytes = len(body)
        is_flow_controlled = self.reply_channel.is_flow_controlled and (
            not is_last or len(body) > BODY_CHUNK_BYTES
        )
        response = Response(
            self.request.stream_id,
            head.status,
            head.encoded,
            b"",
            len(body) if is_last else head.body_bytes,
            False,
            wait_ms,
            service_ms,
            self._runner.get_load(),
        )
        if is_flow_controlled:
            sender = self._runner.response_sender
            sender.start(self.call_id, self.reply_channel, response, body, self.deadline)
            if is_last:
                sender.finish(self.call_id)
                self._finish(is_completed=head.status < 500)
            return
        load = self._finish(is_completed=head.status < 500) if is_last else response.load
        self.reply_channel.send(
            msgspec.structs.replace(response, body=body, is_last=is_last, load=load)
        )

    def _record_outcome(self, has_failed: bool, is_reset: bool = False) -> None:
        """Count the end of a call that was handed to the upstream, as evidence on its version."""
        gate = self._runner.version_gate
        if gate is not None and self.was_sent:
            duration_s = self._runner.now() - self._sent_at
            gate.record_outcome(self.request.route, duration_s, has_failed, is_reset)

    def _connect(self) -> None:
        self._connect_task = asyncio.get_running_loop().create_task(self._open_connection())

    async def _open_connection(self) -> None:
        try:
            connection = await self._runner.pool.connect()
        except (OSError, TimeoutError) as error:
            self._connect_task = None
            if self.has_ended:
                return
            self._runner.call_log.record_unreachable(error)
            self._end_unsent(Refusal.UNREACHABLE)
            return
        self._connect_task = None
        if self.has_ended:
            self._runner.pool.release(connection)
            return
        self._send_request(connection)

    def _send_request(self, connection: UpstreamConnection) -> None:
        runner = self._runner
        now = runner.now()
        remaining_ms = int((self.deadline - now) * 1000)
        target = runner.registration.current
        if remaining_ms <= 0 or target is None or not runner.accepts_service(self.request.service):
            runner.pool.release(connection)
            self._end_unsent(Refusal.TOO_LATE if remaining_ms <= 0 else Refusal.DRAINING)
            return
        refusal = self._find_late_refusal()
        if refusal is not None:
            runner.pool.release(connection)
            self._end_unsent(refusal)
            return
        guard = runner.crash_guard
        if guard is not None and guard.has_suspects:
            descriptor = self.describe()
            if guard.is_refused(descriptor):
                runner.pool.release(connection)
                self._end_unsent(Refusal.CRASH_SUSPECT)
                return
            if guard.is_suspected(descriptor):
                self._suspect = descriptor
        self._target = target
        self._connection = connection
        self._was_connection_idle = connection.was_idle_for_long
        self._sent_at = now
        request = self.request
        head = encode_request_head(
            request.head,
            runner.header_names,
            remaining_ms,
            target.upstream.encode(),
            request.body_bytes,
        )
        method = request.head.partition(b" ")[0]
        request_id = request.request_id.encode("latin-1")
        connection.send(self, method, request_id, b"".join([head, *self._body_chunks]))

    def _end_unsent(self, reason: Refusal) -> None:
        """End a call that is not sent, or not sent again after its first connection was lost."""
        if self.was_sent:
            self.fail(Failure.RESET)
        else:
            self.refuse(reason, 0.0)

    def _find_late_refusal(self) -> Refusal | None:
        """Return why the call must not be handed to the upstream after its wait, if so."""
        if self._runner.is_version_closed():
            return Refusal.VERSION_CLOSED
        if self._permitted_until < math.inf and read_boot_clock() >= self._permitted_until:
            return Refusal.NOT_PERMITTED
        return None

    def _drop_connection(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _finish(self, is_completed: bool = False) -> Load:
        """Free the slot and return the remaining load."""
        self.has_ended = True
        guard = self._runner.crash_guard
        if guard is not None and self._suspect is not None:
            guard.record_ended(self._suspect, is_completed)
        self._body_chunks.clear()
        self._response_chunks.clear()
        if self._connect_task is not None:
            self._connect_task.cancel()
            self._connect_task = None
        self.reply_channel.remove_stream(self.request.stream_id)
        return self._runner.finish_call(self, is_completed, self._response_bytes)
