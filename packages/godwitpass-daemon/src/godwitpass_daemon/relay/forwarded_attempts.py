"""One attempt of a forwarded call: its link, its stream and the part of a response it collects."""

from typing import TYPE_CHECKING

import msgspec

from godwitpass.internal.relay.frames import BodyChunk, Failed, OpenStream, Refused, Response
from godwitpass.internal.relay.stream_records import MAX_SETTLED_AGE_S
from godwitpass.mesh import Upstream
from godwitpass_daemon.relay.limits import MAX_BUFFERED_RESPONSE_BYTES
from godwitpass_daemon.relay.links import Link

if TYPE_CHECKING:
    from godwitpass_daemon.relay.forwarded_calls import ForwardedCall


class Attempt:
    """Receives the frames of one stream and passes what they mean to its call.

    `response` is the first part of a response, whose collected parts are in `_parts`. After it has
    ended, an attempt passes nothing on, whatever frames still arrive.
    """

    __slots__ = (
        "_call",
        "_link",
        "_parts",
        "_stream_id",
        "has_ended",
        "is_streaming",
        "response",
        "started_at",
        "upstream",
    )

    def __init__(self, call: "ForwardedCall", upstream: Upstream, started_at: float) -> None:
        self._call = call
        self._link: Link | None = None
        self._stream_id = 0
        self._parts: list[bytes] = []
        self.upstream = upstream
        self.started_at = started_at
        self.response: Response | None = None
        self.is_streaming = False
        self.has_ended = False

    def open(self, link: Link, request: OpenStream, body: bytes) -> None:
        """Send the call on `link`."""
        self._link = link
        self._stream_id = link.open(self, request, body)

    def cancel(self) -> None:
        """Cancel the stream; the attempt receives no further frames."""
        if not self.has_ended:
            self.has_ended = True
            self._parts = []
            if self._link is not None:
                self._link.cancel(self._stream_id)

    def withdraw(self) -> None:
        """Take the call back if it waits at the other daemon, which then refuses it."""
        if not self.has_ended and self._link is not None:
            self._link.withdraw(self._stream_id)

    def extend_window(self, size_bytes: int) -> None:
        """Let the other daemon send `size_bytes` more of a streamed response."""
        if not self.has_ended and self._link is not None:
            self._link.extend_window(self._stream_id, size_bytes)

    # Called by the link.

    @property
    def may_run_twice(self) -> bool:
        """Return whether the call may be sent again although it may have run."""
        return self._call.route.is_idempotent

    def can_be_settled(self) -> bool:
        """Tell whether the other daemon still knows if the call has run, which has no response."""
        return self.response is None and self._call.get_age_s(self) < MAX_SETTLED_AGE_S

    def handle_refused(self, frame: Refused) -> None:
        """End the attempt, which has not run unless it has begun to respond."""
        if not self._end():
            return
        if self.response is None:
            self._call.handle_refused(self, frame)
        else:
            self._call.handle_aborted(self)

    def handle_failed(self, frame: Failed) -> None:
        """End the attempt, which may have run."""
        if not self._end():
            return
        if self.response is None:
            self._call.handle_failed(self, frame)
        else:
            self._call.handle_aborted(self)

    def handle_link_lost(self, was_sent: bool) -> None:
        """End the attempt, which may have run if it was sent."""
        if self._end():
            self._call.handle_link_lost(self, was_sent or self.response is not None)

    def handle_aborted(self) -> None:
        """End the attempt, whose response is incomplete."""
        if self._end():
            self._call.handle_aborted(self)

    def handle_response(self, frame: Response) -> None:
        """Pass on a complete response or the first part of a large one; collect a smaller one."""
        if self.has_ended:
            return
        if self.response is not None:
            # A second head must not be written into the response that was begun.
            self._abort_invalid()
            return
        self.response = frame
        if frame.is_last:
            self._end()
            self._call.handle_response(self, frame)
        elif 0 <= frame.body_bytes <= MAX_BUFFERED_RESPONSE_BYTES:
            self._parts.append(frame.body)
        else:
            self.is_streaming = True
            self._call.handle_streamed(self, frame)

    def handle_body(self, frame: BodyChunk) -> None:
        """Pass on a part of a streamed response, or collect one."""
        if self.has_ended:
            return
        if self.response is None:
            self._abort_invalid()
            return
        if frame.is_last:
            self.has_ended = True
        if self.is_streaming:
            self._call.handle_streamed_body(self, frame)
            return
        self._parts.append(frame.data)
        if frame.is_last:
            body, self._parts = b"".join(self._parts), []
            whole = msgspec.structs.replace(self.response, body=body, is_last=True)
            self._call.handle_response(self, whole)

    def _abort_invalid(self) -> None:
        """Cancel a stream whose frames come in an order that no daemon sends."""
        self.cancel()
        self._call.handle_aborted(self)

    def _end(self) -> bool:
        """End the attempt; return False if it had ended before."""
        had_ended, self.has_ended = self.has_ended, True
        self._parts = []
        return not had_ended
