"""Connections of callers: parses requests and answers them in their order."""

import asyncio
import math
from collections import deque
from typing import TYPE_CHECKING, cast

import httptools

from godwitpass.internal.calls.messages import CallerKey
from godwitpass.internal.calls.outcomes import Outcome, Reason
from godwitpass.internal.routing.table import Listener
from godwitpass_daemon.edge.refusals import encode_refusal
from godwitpass_daemon.edge.bodies import RequestBody
from godwitpass_daemon.edge.heads import (
    Header,
    RefusedRequest,
    RequestHead,
    read_request_head,
)
from godwitpass_daemon.edge.limits import (
    HEAD_TIMEOUT_S,
    KEEP_ALIVE_S,
    LINGER_S,
    MAX_HEAD_BYTES,
    MAX_HEADERS,
    MAX_PIPELINED,
    RESPONSE_BUFFER_BYTES,
)

if TYPE_CHECKING:
    from godwitpass_daemon.edge.calls import Call
    from godwitpass_daemon.edge.core import EdgeCore


class _Incoming:
    """A request whose turn has not come, with its head once that was read."""

    __slots__ = ("body", "fault", "head", "keep_alive")

    def __init__(self) -> None:
        self.head: RequestHead | None = None
        self.body = RequestBody()
        self.fault: Reason | None = None
        self.keep_alive = True


class CallerConnection(asyncio.Protocol):
    """One connection; serves one call at a time, pipelined requests wait."""

    def __init__(self, edge: "EdgeCore", listener: Listener) -> None:
        self._edge = edge
        self._listener = listener
        self._transport: asyncio.Transport | None = None
        self._caller = CallerKey("")
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""
        self._headers: list[Header] = []
        self._in_head = False
        self._head_bytes = 0
        self._begun = 0
        self._incoming: _Incoming | None = None
        self._queue: deque[_Incoming] = deque()
        self._call: Call | None = None
        self._paused = False
        self._stopped = False
        self._expires_at = math.inf

    @property
    def is_idle(self) -> bool:
        """Whether no request is in progress or waiting."""
        return not self._queue and not self._in_head

    @property
    def must_close(self) -> bool:
        """Whether the answer in progress is the last on this connection."""
        current = self._queue[0]
        return not current.keep_alive or self._edge.draining

    def write(self, data: bytes) -> None:
        """Send bytes of an answer."""
        assert self._transport is not None
        if not self._transport.is_closing():
            self._transport.write(data)

    def pause_body(self) -> None:
        """Let the caller wait before it sends more."""
        if not self._paused and self._transport is not None:
            self._paused = True
            self._transport.pause_reading()

    def resume_body(self) -> None:
        """Let the caller send more, unless too many requests wait."""
        if self._paused and len(self._queue) < MAX_PIPELINED and self._transport is not None:
            self._paused = False
            self._transport.resume_reading()

    def finish_call(self) -> None:
        """End the call whose answer was written, then serve the next request."""
        self._call = None
        current = self._queue.popleft()
        if not current.body.complete or not current.keep_alive or self._edge.draining:
            self._linger()
            return
        if self._queue:
            self._serve()
        elif not self._in_head:
            self._expires_at = self._edge.now() + KEEP_ALIVE_S
        self.resume_body()

    def break_off(self) -> None:
        """Close at once, so that the caller sees its answer cut short."""
        self._call = None
        self._stopped = True
        if self._transport is not None:
            self._transport.abort()

    def close_if_idle(self) -> None:
        """Close unless a request is in progress."""
        if self.is_idle and self._transport is not None:
            self._transport.close()

    def sweep(self, now: float) -> None:
        """Close when a head or the next request takes too long."""
        if now < self._expires_at or self._transport is None:
            return
        self._expires_at = math.inf
        if self._stopped or not self._in_head:
            self._transport.abort()
            return
        self._refuse_head(Reason.HEAD_TIMEOUT)

    # Called by asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport, unless there are too many connections."""
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=RESPONSE_BUFFER_BYTES)
        peer = transport.get_extra_info("peername")
        self._caller = CallerKey(str(peer[0]) if peer else "")
        if not self._edge.add_connection(self, self._listener):
            self._stopped = True
            self._transport.write(
                encode_refusal(Outcome.NOT_RUN, Reason.OVERLOADED, None, close=True)
            )
            self._transport.close()
        self._expires_at = self._edge.now() + HEAD_TIMEOUT_S

    def data_received(self, data: bytes) -> None:
        """Parse a part of a request."""
        if self._stopped:
            return
        starts_with_head = self._in_head or self._incoming is None or self._incoming.body.complete
        self._begun = 0
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse_head(Reason.UNSUPPORTED)
        except httptools.HttpParserError:
            self._refuse_head(Reason.MALFORMED)
        if self._in_head and starts_with_head and self._begun <= 1:
            self._head_bytes += len(data)
        if self._in_head and self._head_bytes > MAX_HEAD_BYTES and not self._stopped:
            self._refuse_head(Reason.HEAD_TOO_LARGE)
        if len(self._queue) >= MAX_PIPELINED:
            self.pause_body()

    def eof_received(self) -> bool:
        """Treat a caller that closes its side as one that left."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the call in progress."""
        self._stopped = True
        self._edge.remove_connection(self, self._listener)
        if self._call is not None:
            self._call.cancel()
            self._call = None

    def pause_writing(self) -> None:
        """Pass back-pressure on."""
        if self._call is not None:
            self._call.pause_answer()

    def resume_writing(self) -> None:
        """Pass the end of back-pressure on."""
        if self._call is not None:
            self._call.resume_answer()

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Begin a head."""
        self._incoming = _Incoming()
        self._url = b""
        self._headers = []
        self._in_head = True
        self._begun += 1
        self._head_bytes = 0
        self._expires_at = self._edge.now() + HEAD_TIMEOUT_S

    def on_url(self, url: bytes) -> None:
        """Gather the target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Gather a header; trailers are dropped."""
        if self._in_head:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Check the head; the request takes its turn when it may start."""
        incoming = self._incoming
        assert incoming is not None
        self._in_head = False
        self._expires_at = math.inf
        incoming.keep_alive = self._parser.should_keep_alive()
        try:
            incoming.head = self._read_head()
        except RefusedRequest as error:
            incoming.fault = error.reason
        self._queue.append(incoming)

    def on_body(self, chunk: bytes) -> None:
        """Gather the body."""
        if self._incoming is not None and not self._stopped:
            self._start_if_waiting()
            self._incoming.body.push(chunk)

    def on_message_complete(self) -> None:
        """Finish the request."""
        if self._incoming is not None and not self._stopped:
            self._incoming.body.finish()
            self._start_if_waiting()

    def _read_head(self) -> RequestHead:
        if self._parser.should_upgrade():
            raise RefusedRequest(Reason.UNSUPPORTED)
        if len(self._headers) > MAX_HEADERS:
            raise RefusedRequest(Reason.HEAD_TOO_LARGE)
        method = self._parser.get_method().decode("ascii")
        version = self._parser.get_http_version()
        return read_request_head(method, version, self._url, self._headers, self._listener)

    def _start_if_waiting(self) -> None:
        if self._call is None and self._queue and self._queue[0] is self._incoming:
            self._serve()

    def _serve(self) -> None:
        """Serve the request whose turn it is."""
        while self._queue and self._call is None and not self._stopped:
            current = self._queue[0]
            if current.head is None:
                assert current.fault is not None
                self._answer_fault(current, Outcome.REFUSED, current.fault)
                continue
            admitted = self._edge.admit(self, self._listener, self._caller, current.head)
            if isinstance(admitted, Reason):
                refused = admitted in (Reason.NO_ROUTE, Reason.METHOD)
                outcome = Outcome.REFUSED if refused else Outcome.NOT_RUN
                self._answer_fault(current, outcome, admitted)
                continue
            self._call = self._edge.create_call(
                self, self._caller, current.head, current.body, admitted
            )
            self._call.begin()

    def _answer_fault(self, current: _Incoming, outcome: Outcome, reason: Reason) -> None:
        malformed = current.head is None
        close = malformed or not current.body.complete or self.must_close
        self._edge.count(outcome.value)
        self.write(encode_refusal(outcome, reason, None, close))
        self._queue.popleft()
        if close:
            self._linger()

    def _refuse_head(self, reason: Reason) -> None:
        """Answer broken framing in its turn, then close."""
        incoming = self._incoming
        in_body = not self._in_head and incoming is not None and incoming in self._queue
        self._in_head = False
        self._expires_at = math.inf
        if in_body and incoming is not None and not incoming.body.complete:
            incoming.keep_alive = False
            incoming.body.break_off()
            self._serve()
            return
        if self._stopped:
            return
        fault = _Incoming()
        fault.fault = reason
        fault.keep_alive = False
        self._queue.append(fault)
        self._incoming = None
        if self._call is None:
            self._serve()

    def _linger(self) -> None:
        """Close after the answer was read: end the sending side, discard what still comes."""
        self._stopped = True
        self._queue.clear()
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if self._incoming is None or self._incoming.body.complete or not transport.can_write_eof():
            transport.close()
            return
        transport.write_eof()
        self._paused = False
        transport.resume_reading()
        self._expires_at = self._edge.now() + LINGER_S
