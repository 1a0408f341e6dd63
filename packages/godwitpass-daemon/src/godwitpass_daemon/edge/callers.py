"""Connections of callers: parses requests and serves them in order."""

import asyncio
import fcntl
import math
import sys
import termios
from collections import deque
from typing import TYPE_CHECKING, cast

import httptools

from godwitpass.internal.calls.messages import CallerKey
from godwitpass.internal.calls.outcomes import Outcome, Reason
from godwitpass.internal.routing.table import Listener
from godwitpass_daemon.edge.bodies import RequestBody
from godwitpass_daemon.edge.buffer_budget import SMALL_REQUEST_BYTES, round_held_bytes
from godwitpass_daemon.edge.heads import (
    Header,
    RefusedRequest,
    RequestHead,
    parse_request_head,
)
from godwitpass_daemon.edge.limits import (
    BODY_PART_COST,
    HEAD_TIMEOUT_S,
    HEADERS_KEPT_AS_OBJECTS,
    KEEP_ALIVE_TIMEOUT_S,
    LINGERING_BYTES,
    LINGERING_CLOSE_S,
    MAX_HEAD_BYTES,
    MAX_PIPELINED_REQUESTS,
    MAX_SLICE_COST,
    PARSED_SLICE_BYTES,
    REQUEST_COST,
    REQUEST_OBJECTS_BYTES,
    RESPONSE_BUFFER_BYTES,
    UNREAD_RESPONSES_TIMEOUT_S,
)
from godwitpass_daemon.edge.refusals import encode_refusal
from godwitpass_daemon.edge.stopped_clients import StopReason

if TYPE_CHECKING:
    from godwitpass_daemon.edge.calls import Call
    from godwitpass_daemon.edge.core import EdgeCore

SOCKET_QUEUE_SIZE_BYTES = 4
"""Width of the integer in which the operating system returns the size of a socket's queue."""


class _PendingRequest:
    """A received request; `head` is set once it is parsed, or else `refusal_reason` is set."""

    __slots__ = ("body", "head", "head_bytes", "keep_alive", "refusal_reason")

    def __init__(self) -> None:
        self.head_bytes = 0
        self.head: RequestHead | None = None
        self.body = RequestBody()
        self.refusal_reason: Reason | None = None
        self.keep_alive = True


class CallerConnection(asyncio.BufferedProtocol):
    """A caller's connection; serves one call at a time, and queues pipelined requests.

    What is received is parsed in slices. While parsing must wait, the rest is kept and nothing more
    is read.
    """

    def __init__(self, edge: "EdgeCore", listener: Listener) -> None:
        self._edge = edge
        self._listener = listener
        self._transport: asyncio.Transport | None = None
        self._caller = CallerKey("")
        self._parser = httptools.HttpRequestParser(self)
        self._raw_target = b""
        self._headers: list[Header] = []
        self._folded_headers = bytearray()
        self._is_reading_head = False
        self._bytes_since_progress = 0
        self._body_bytes_left = 0
        self._unparsed = b""
        self._discarded_bytes = 0
        self._is_parsing = False
        self._is_continuing = False
        self._slice_cost = 0
        self._incoming: _PendingRequest | None = None
        self._queue: deque[_PendingRequest] = deque()
        self._call: Call | None = None
        self._is_paused = False
        self._is_writing_paused = False
        self._is_rejected = False
        self._is_stopped = False
        self._expires_at = math.inf
        self._progress_at = edge.now()
        self.held_bytes = 0

    @property
    def progress_at(self) -> float:
        """When the current call, or else the connection, last made progress."""
        return self._progress_at if self._call is None else self._call.progress_at

    @property
    def is_reclaimable(self) -> bool:
        """Whether what is held waits for the caller, to send or to read."""
        return self._call is None or self._call.waits_for_caller

    @property
    def is_unused(self) -> bool:
        """Whether no call is in progress."""
        return self._call is None

    @property
    def is_idle(self) -> bool:
        """Whether no request is in progress or queued."""
        return not self._queue and not self._is_reading_head

    @property
    def must_close(self) -> bool:
        """Whether the current response is the last one on this connection."""
        current = self._queue[0]
        return not current.keep_alive or self._edge.is_draining

    def write(self, data: bytes) -> None:
        """Send bytes of a response."""
        assert self._transport is not None
        if not self._transport.is_closing():
            self._transport.write(data)

    def count_unconfirmed_bytes(self) -> int:
        """Return the size of what was written and not yet confirmed by the caller's host."""
        assert self._transport is not None
        if self._transport.is_closing():
            return 0
        # A socket takes more data only after the caller has taken a large part of its queue.
        socket = self._transport.get_extra_info("socket")
        queue_size = fcntl.ioctl(socket.fileno(), termios.TIOCOUTQ, bytes(SOCKET_QUEUE_SIZE_BYTES))
        return self._transport.get_write_buffer_size() + int.from_bytes(queue_size, sys.byteorder)

    def reclaim(self) -> None:
        """Refuse the current request to free its memory, and close."""
        self.record_stop(StopReason.MEMORY)
        if self._call is not None:
            self._call.reclaim()
        elif self._is_writing_paused or self._is_stopped:
            self.abort()
        else:
            self._refuse_invalid(Reason.OVERLOADED)
        self._count_held_bytes()

    def resume_reading(self) -> None:
        """Parse and read further, unless there is a reason to wait."""
        if self.held_bytes:
            self._count_held_bytes()
        if not self._is_paused or self._is_parsing or self._is_stopped or self._must_wait():
            return
        if self._unparsed:
            self._continue_later()
        else:
            self._set_paused(False)

    def record_stop(self, reason: StopReason) -> None:
        """Record that the caller is stopped to keep within the daemon's resources."""
        self._edge.stopped_clients.record(self._caller, reason, self._edge.now())

    def finish_call(self) -> None:
        """Remove the call whose response was written, then serve the next request."""
        self._call = None
        self._progress_at = now = self._edge.now()
        current = self._queue.popleft()
        if not current.body.is_complete or not current.keep_alive or self._edge.is_draining:
            self._start_lingering_close()
            return
        if self._is_writing_paused:
            self._expires_at = now + UNREAD_RESPONSES_TIMEOUT_S
        elif self._queue:
            self._serve_queue()
        elif not self._is_reading_head:
            self._expires_at = now + KEEP_ALIVE_TIMEOUT_S
        self.resume_reading()

    def abort(self) -> None:
        """Close at once, so that the caller recognises its response as incomplete."""
        self._call = None
        self._is_stopped = True
        if self._transport is not None:
            self._transport.abort()

    def close_if_idle(self) -> None:
        """Close unless a request is in progress."""
        if self.is_idle and self._transport is not None:
            self._transport.close()

    def check_timeouts(self, now: float) -> None:
        """Close when the rest of a head, the next request or a lingering close takes too long."""
        if now < self._expires_at or self._transport is None:
            return
        if self._unparsed and (self._call is not None or not self._is_writing_paused):
            # The rest of the head has arrived and isn't parsed yet.
            self._expires_at = now + HEAD_TIMEOUT_S
            return
        self._expires_at = math.inf
        if self._is_writing_paused:
            self.record_stop(StopReason.UNREAD)
        if self._is_stopped or self._is_writing_paused or not self._is_reading_head:
            self._transport.abort()
            return
        self._refuse_invalid(Reason.HEAD_TIMEOUT)

    # Called by asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection, or refuse it if there are too many."""
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=RESPONSE_BUFFER_BYTES)
        peer = transport.get_extra_info("peername")
        self._caller = CallerKey(str(peer[0]) if peer else "")
        if not self._edge.add_connection(self, self._listener):
            self._is_stopped = True
            self._transport.write(
                encode_refusal(Outcome.NOT_RUN, Reason.OVERLOADED, None, closes_connection=True)
            )
            self._transport.close()
        self._expires_at = self._edge.now() + HEAD_TIMEOUT_S

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next bytes; all connections share it."""
        return self._edge.receive_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse received bytes."""
        self.receive(self._edge.receive_buffer[:nbytes])

    def receive(self, data: memoryview) -> None:
        """Parse `data` in slices as far as possible now, and keep a copy of the rest."""
        if self._is_stopped:
            self._discard(len(data))
            return
        position = 0
        if self._slice_cost <= MAX_SLICE_COST:
            position = self._parse(data)
        if self._is_stopped:
            self._unparsed = b""
            return
        if position < len(data):
            self._unparsed = bytes(data[position:])
        else:
            self._unparsed = b""
            if self._call is None:
                self._serve_if_next()
        self._finish_reading()

    def _parse(self, data: memoryview) -> int:
        """Parse slices of `data` until one is costly or there is a reason to wait."""
        position = 0
        self._is_parsing = True
        while position < len(data) and not self._must_wait():
            end = position + self._choose_slice_bytes()
            self._parse_slice(data[position:end])
            position = min(end, len(data))
            if self._slice_cost > MAX_SLICE_COST:
                break
        self._is_parsing = False
        return position

    def _finish_reading(self) -> None:
        if not self._is_stopped:
            must_wait = self._must_wait()
            if self._unparsed and not must_wait:
                self._continue_later()
            self._set_paused(bool(self._unparsed) or must_wait)
        if self.held_bytes or self._unparsed or self._is_reading_head or self._holds_requests():
            self._count_held_bytes()

    def eof_received(self) -> bool:
        """Treat a half-closed connection as closed."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the call in progress."""
        self._is_stopped = True
        self._release_memory()
        self._edge.remove_connection(self, self._listener)
        if self._call is not None:
            self._call.cancel()
            self._call = None

    def pause_writing(self) -> None:
        """Propagate the caller's back-pressure to the upstream, and serve no further request."""
        self._is_writing_paused = True
        self._count_held_bytes()
        if self._call is not None:
            self._call.pause_response()
        else:
            self._expires_at = self._edge.now() + UNREAD_RESPONSES_TIMEOUT_S

    def resume_writing(self) -> None:
        """Propagate the end of back-pressure to the upstream, and serve further requests."""
        self._is_writing_paused = False
        if self._call is not None:
            self._call.resume_response()
            self.resume_reading()
            return
        if self._is_stopped:
            return
        self._expires_at = math.inf
        if self._queue:
            self._serve_queue()
        elif self._is_reading_head:
            self._expires_at = self._edge.now() + HEAD_TIMEOUT_S
        else:
            self._expires_at = self._edge.now() + KEEP_ALIVE_TIMEOUT_S
        self.resume_reading()

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Start to collect a request head."""
        if self._must_discard():
            return
        self._incoming = _PendingRequest()
        self._is_reading_head = True
        self._progress_at = self._edge.now()
        self._expires_at = self._progress_at + HEAD_TIMEOUT_S

    def on_url(self, url: bytes) -> None:
        """Collect a part of the request target."""
        if self._is_reading_head:
            self._raw_target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; trailers are dropped."""
        if self._is_reading_head:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Parse the head and queue the request."""
        incoming = self._incoming
        if incoming is None or not self._is_reading_head:
            return
        self._is_reading_head = False
        self._slice_cost += len(self._headers)
        incoming.head_bytes = self._bytes_since_progress + REQUEST_OBJECTS_BYTES
        self._bytes_since_progress = 0
        self._expires_at = math.inf
        incoming.keep_alive = self._parser.should_keep_alive()
        try:
            incoming.head = self._parse_head()
            self._body_bytes_left = incoming.head.content_length
        except RefusedRequest as error:
            incoming.refusal_reason = error.reason
        self._clear_head()
        self._queue.append(incoming)

    def on_body(self, chunk: bytes) -> None:
        """Collect a part of the body."""
        self._bytes_since_progress = 0
        incoming = self._incoming
        if incoming is not None and not self._is_stopped and not self._is_rejected:
            self._slice_cost += BODY_PART_COST
            self._body_bytes_left = max(0, self._body_bytes_left - len(chunk))
            incoming.body.push(chunk)

    def on_message_complete(self) -> None:
        """Complete the request body."""
        self._bytes_since_progress = 0
        incoming = self._incoming
        if incoming is not None and not self._is_stopped and not self._is_rejected:
            self._slice_cost += REQUEST_COST
            incoming.body.finish()
            self._serve_if_next()

    def _must_discard(self) -> bool:
        return self._is_stopped or self._is_rejected

    def _must_wait(self) -> bool:
        if self._is_stopped or self._is_rejected or len(self._queue) >= MAX_PIPELINED_REQUESTS:
            return True
        incoming = self._incoming
        if incoming is None or self._is_reading_head or incoming.body.is_complete:
            return self._is_writing_paused
        # The rest of a body is read even so, as its caller may read only after it has sent all.
        return incoming.body.is_full

    def _choose_slice_bytes(self) -> int:
        """Return the size of the next slice; it may hold the known rest of a body."""
        return max(PARSED_SLICE_BYTES, self._body_bytes_left)

    def _parse_slice(self, data: memoryview) -> None:
        self._bytes_since_progress += len(data)
        self._slice_cost = 0
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse_invalid(Reason.UNSUPPORTED)
        except httptools.HttpParserError:
            self._refuse_invalid(Reason.MALFORMED)
        if self._bytes_since_progress > MAX_HEAD_BYTES and not self._must_discard():
            self.record_stop(StopReason.NO_PROGRESS)
            self._refuse_invalid(Reason.HEAD_TOO_LARGE)
        if self._is_reading_head:
            self._slice_cost += len(self._headers)
            if len(self._headers) >= HEADERS_KEPT_AS_OBJECTS:
                _fold_headers(self._headers, self._folded_headers)
        incoming = self._incoming
        if incoming is not None and incoming.body.received_bytes and not self._is_stopped:
            self._serve_if_next()
            incoming.body.announce()

    def _continue_later(self) -> None:
        """Parse the kept bytes at the turn of this connection."""
        if not self._is_continuing:
            self._is_continuing = True
            self._edge.turns.add(self._continue)

    def _continue(self) -> None:
        self._is_continuing = False
        if not self._is_stopped and not self._must_wait():
            self._slice_cost = 0
            self.receive(memoryview(self._unparsed))

    def _set_paused(self, is_paused: bool) -> None:
        transport = self._transport
        if is_paused == self._is_paused or transport is None or transport.is_closing():
            return
        self._is_paused = is_paused
        if is_paused:
            transport.pause_reading()
        else:
            transport.resume_reading()

    def _discard(self, size_bytes: int) -> None:
        self._discarded_bytes += size_bytes
        if self._discarded_bytes > LINGERING_BYTES:
            self._set_paused(True)

    def _holds_requests(self) -> bool:
        """Return whether the queue is more than one small request without a body."""
        queue = self._queue
        if len(queue) != 1:
            return bool(queue)
        return bool(queue[0].body.received_bytes) or queue[0].head_bytes > SMALL_REQUEST_BYTES

    def _count_held_bytes(self) -> None:
        """Tell the budget of all callers what is held for this one now."""
        held_bytes = len(self._unparsed)
        if self._is_reading_head:
            held_bytes += self._bytes_since_progress
        for request in self._queue:
            held_bytes += request.head_bytes + request.body.buffered_bytes
        if self._call is not None and not self._call.body.is_complete:
            held_bytes += self._call.unsent_bytes
        if self._is_writing_paused and self._transport is not None:
            held_bytes += self._transport.get_write_buffer_size()
        counted_bytes = round_held_bytes(held_bytes)
        if counted_bytes != self.held_bytes:
            difference_bytes = counted_bytes - self.held_bytes
            self.held_bytes = counted_bytes
            self._edge.buffers.change(difference_bytes)

    def _release_memory(self) -> None:
        self._unparsed = b""
        self._queue.clear()
        self._clear_head()
        if self.held_bytes:
            self._edge.buffers.change(-self.held_bytes)
            self.held_bytes = 0

    def _parse_head(self) -> RequestHead:
        if self._parser.should_upgrade():
            raise RefusedRequest(Reason.UNSUPPORTED)
        method = self._parser.get_method().decode("ascii")
        version = self._parser.get_http_version()
        headers = _unfold_headers(self._folded_headers) + self._headers
        return parse_request_head(method, version, self._raw_target, headers, self._listener)

    def _clear_head(self) -> None:
        self._raw_target = b""
        self._headers = []
        self._folded_headers = bytearray()

    def _serve_if_next(self) -> None:
        if self._call is None and self._queue and self._queue[0] is self._incoming:
            self._serve_queue()

    def _serve_queue(self) -> None:
        """Serve queued requests until a call is in progress."""
        while (
            self._queue
            and self._call is None
            and not self._is_stopped
            and not self._is_writing_paused
        ):
            current = self._queue[0]
            if current.head is None:
                assert current.refusal_reason is not None
                self._refuse_request(current, Outcome.REFUSED, current.refusal_reason)
                continue
            route_or_reason = self._edge.admit(self, self._listener, self._caller, current.head)
            if isinstance(route_or_reason, Reason):
                is_refused = route_or_reason in (Reason.NO_ROUTE, Reason.METHOD)
                outcome = Outcome.REFUSED if is_refused else Outcome.NOT_RUN
                self._refuse_request(current, outcome, route_or_reason)
                continue
            self._call = self._edge.create_call(
                self, self._caller, current.head, current.body, route_or_reason
            )
            self._call.start()

    def _refuse_request(self, current: _PendingRequest, outcome: Outcome, reason: Reason) -> None:
        if reason is Reason.OVERLOADED:
            outcome = Outcome.NOT_RUN
        is_malformed = current.head is None
        closes_connection = is_malformed or not current.body.is_complete or self.must_close
        self._edge.count(outcome.value)
        self.write(encode_refusal(outcome, reason, None, closes_connection))
        self._queue.popleft()
        if closes_connection:
            self._start_lingering_close()

    def _refuse_invalid(self, reason: Reason) -> None:
        """Refuse the bytes that could not be parsed, after earlier responses; then close.

        Nothing that follows is parsed or kept.
        """
        if self._must_discard():
            return
        incoming = self._incoming
        is_in_body = not self._is_reading_head and incoming is not None and incoming in self._queue
        self._is_reading_head = False
        self._is_rejected = True
        self._expires_at = math.inf
        self._clear_head()
        if is_in_body and incoming is not None and not incoming.body.is_complete:
            incoming.keep_alive = False
            incoming.body.abort()
            self._serve_queue()
            return
        rejected = _PendingRequest()
        rejected.refusal_reason = reason
        rejected.keep_alive = False
        self._queue.append(rejected)
        self._incoming = None
        if self._call is None:
            self._serve_queue()

    def _start_lingering_close(self) -> None:
        """Close after the last response: end the sending side, then discard what still arrives.

        An immediate close could reset the connection before the caller has read the response.
        """
        has_rest = self._is_rejected or (
            self._incoming is not None and not self._incoming.body.is_complete
        )
        self._is_stopped = True
        self._queue.clear()
        self._incoming = None
        self._unparsed = b""
        self._clear_head()
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if not has_rest or not transport.can_write_eof():
            transport.close()
            return
        transport.write_eof()
        self._is_reading_head = False
        self._set_paused(False)
        self._expires_at = self._edge.now() + LINGERING_CLOSE_S


def _fold_headers(headers: list[Header], folded: bytearray) -> None:
    """Move `headers` to the end of `folded`; the parser lets no line break into them."""
    for name, value in headers:
        folded += b"%b:%b\n" % (name, value)
    headers.clear()


def _unfold_headers(folded: bytearray) -> list[Header]:
    """Return the headers in `folded`; a name holds no colon."""
    headers = []
    for line in bytes(folded).split(b"\n")[:-1]:
        name, _, value = line.partition(b":")
        headers.append((name, value))
    return headers
