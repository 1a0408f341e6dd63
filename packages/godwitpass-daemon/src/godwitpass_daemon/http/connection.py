"""Connection of a client: parses requests in bounded slices and answers them in order."""

import asyncio
import math
from collections import deque
from enum import Enum
from typing import cast

import httptools

from godwitpass_daemon.http.connections import Connections
from godwitpass_daemon.http.exchange import (
    Exchange,
    Header,
    InvalidResponse,
    build_scope,
    encode_refusal,
)
from godwitpass_daemon.http.limits import (
    BODY_BUFFER_BYTES,
    BODY_SLICE_BYTES,
    FRAMING_SHARE,
    LINGERING_CLOSE_S,
    MAX_DISCARDED_BYTES,
    MAX_HEAD_BYTES,
    MAX_HEADERS,
    MAX_PIPELINED_COST_S,
    MAX_PIPELINED_REQUESTS,
    RESPONSE_BUFFER_BYTES,
    SLICE_BYTES,
)
from godwitpass_daemon.http.parse_share import ParseCost
from godwitpass_daemon.http.reasons import STATUS_BY_REFUSAL, Close, Refusal

INTERNAL_ERROR_STATUS = 500
LIMIT_CLOSES = frozenset({Close.LIMIT, Close.DISPLACED, Close.RESPONSE_NOT_TAKEN})
"""Reasons that are logged as a limit; a refusal is logged with its own reason."""


class Phase(Enum):
    """What a connection waits for."""

    IDLE = "idle"
    """For the next request."""

    HEAD = "head"
    BODY = "body"
    RESPONSE = "response"
    """For the application, or for the client to take what is written."""

    CLOSE = "close"
    """For the client to close, after the last response."""


class HttpConnection(asyncio.BufferedProtocol):
    """A client's connection; answers one request at a time, and queues those of one slice."""

    def __init__(self, connections: Connections) -> None:
        self.waiting_since = connections.now()
        self._connections = connections
        self._limits = connections.limits
        self._transport: asyncio.Transport | None = None
        self._client: tuple[str, int] | None = None
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._target = b""
        self._headers: list[Header] = []
        self._header_count = 0
        self._incoming: Exchange | None = None
        self._current: Exchange | None = None
        self._queue: deque[Exchange] = deque()
        self._refusal: Refusal | None = None
        self._is_input_closed = False
        self._has_head_begun = False
        self._has_read_ahead = False
        self._has_progressed = False
        self._slice_body_bytes = 0
        self._unproductive_bytes = 0.0
        self._parse_cost = ParseCost(self.waiting_since)
        self._delay: asyncio.TimerHandle | None = None
        self._is_answering_delayed = False
        self._started_at = 0.0
        self._is_read_paused = False
        self._writable: asyncio.Event | None = None
        self._discarded_bytes = 0
        self._close_reason: Close | None = None
        self._is_closed = False
        self._is_busy = False
        self._phase = Phase.IDLE
        self._phase_timeouts_s = {
            Phase.IDLE: self._limits.idle_timeout_s,
            Phase.HEAD: self._limits.head_timeout_s,
            Phase.BODY: self._limits.body_timeout_s,
            Phase.RESPONSE: math.inf,
            Phase.CLOSE: LINGERING_CLOSE_S,
        }
        self._expires_at = self.waiting_since + self._limits.idle_timeout_s
        self._response_expires_at = math.inf

    @property
    def is_stopping(self) -> bool:
        """Whether the connection ends with the current response."""
        if self._connections.is_stopping:
            return True
        return self._is_input_closed and not self._queue and self._refusal is None

    def write(self, data: bytes) -> None:
        """Send bytes of a response."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    async def wait_until_writable(self) -> None:
        """Wait until the client has taken most of what was written."""
        while self._writable is not None:
            await self._writable.wait()

    def resume_body(self) -> None:
        """Read more of the body."""
        self._update()

    def abort(self, reason: Close) -> None:
        """Close at once, without sending what is still in the buffer."""
        self._forget(reason)
        if self._transport is not None:
            self._transport.abort()

    def close_if_idle(self) -> None:
        """Close unless a request is in progress."""
        if self._phase in (Phase.IDLE, Phase.HEAD):
            self._end(Close.STOPPING, is_client_done=True)

    def check_timeouts(self, now: float) -> None:
        """Refuse or close what takes too long."""
        if now >= self._response_expires_at:
            self.abort(Close.RESPONSE_NOT_TAKEN)
        elif now >= self._expires_at:
            match self._phase:
                case Phase.HEAD:
                    self._refuse(Refusal.HEAD_TIMEOUT)
                case Phase.BODY:
                    self._refuse(Refusal.BODY_TIMEOUT)
                case _:
                    self.abort(Close.IDLE)

    # Called by the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection, or close it unread if there are too many."""
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=RESPONSE_BUFFER_BYTES)
        peer = transport.get_extra_info("peername")
        self._client = (str(peer[0]), int(peer[1])) if peer else None
        if not self._connections.add(self):
            self.abort(Close.LIMIT)
            return
        self._connections.mark_waiting(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next slice, larger if nothing but a body can come."""
        size = SLICE_BYTES
        if self._current is not None:
            size = max(size, min(BODY_SLICE_BYTES, self._current.missing_bytes))
        return memoryview(self._connections.read_buffer)[:size]

    def buffer_updated(self, nbytes: int) -> None:
        """Parse a slice, or discard it after the last request."""
        if self._phase is Phase.CLOSE:
            self._discarded_bytes += nbytes
            if self._discarded_bytes > MAX_DISCARDED_BYTES:
                self.abort(Close.ANSWERED)
            return
        self._has_read_ahead = self._has_read_ahead or self._phase is Phase.RESPONSE
        if not self._is_input_closed and self._parser is not None:
            self._feed(self._parser, memoryview(self._connections.read_buffer)[:nbytes])
        self._proceed()

    def eof_received(self) -> bool:
        """Treat a half-closed connection as closed."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the application that its client is gone."""
        self._forget(Close.CLIENT)
        self._transport = None
        # The parser refers to this connection; the garbage collector would free both only later.
        self._parser = None

    def pause_writing(self) -> None:
        """Stop sending until the client has taken more of the response."""
        if self._writable is None:
            self._writable = asyncio.Event()
            self._response_expires_at = self._connections.now() + self._limits.response_timeout_s
            self._update()

    def resume_writing(self) -> None:
        """Resume sending."""
        if self._writable is not None:
            self._writable.set()
            self._writable = None
            self._response_expires_at = math.inf
            self._proceed()

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Start to collect a request head."""
        self._has_progressed = True
        self._has_head_begun = True
        self._target = b""
        self._headers = []
        self._header_count = 0

    def on_url(self, url: bytes) -> None:
        """Collect a part of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; trailers are counted with them and dropped."""
        self._header_count += 1
        if self._header_count > MAX_HEADERS:
            self._refusal = self._refusal or Refusal.HEAD_TOO_LARGE
        elif self._incoming is None:
            self._headers.append((name.lower(), value.rstrip(b" \t")))

    def on_headers_complete(self) -> None:
        """Queue the request, whose body may still arrive."""
        self._has_progressed = True
        self._has_head_begun = False
        if self._refusal is not None:
            return
        if len(self._queue) >= MAX_PIPELINED_REQUESTS:
            self._refusal = Refusal.TOO_MANY_PIPELINED
            return
        assert self._parser is not None
        try:
            scope = build_scope(self._parser, self._target, self._headers, self._client)
        except (httptools.HttpParserError, ValueError):
            self._refusal = Refusal.MALFORMED
            return
        self._incoming = Exchange(self, scope, self._parser.should_keep_alive())
        self._queue.append(self._incoming)

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        self._slice_body_bytes += len(body)
        incoming = self._incoming
        if incoming is not None and self._refusal is None:
            incoming.body_bytes += len(body)
            incoming.body += body

    def on_message_complete(self) -> None:
        """Mark the request as received."""
        self._has_progressed = True
        if self._incoming is not None:
            self._incoming.is_received = True
            self._is_input_closed = not self._incoming.keeps_alive
            self._incoming = None

    def _feed(self, parser: httptools.HttpRequestParser, data: memoryview) -> None:
        """Parse a slice, and refuse what exceeds a limit."""
        if self._current is None and self._incoming is None:
            # Empty lines before a request are part of its head.
            self._has_head_begun = True
        self._has_progressed = False
        self._slice_body_bytes = 0
        started_at = self._connections.parse_clock()
        try:
            parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The request is answered as if it had not asked for another protocol.
            self._is_input_closed = True
        except httptools.HttpParserError:
            if not self._is_input_closed:
                self._refusal = self._refusal or Refusal.MALFORMED
        cost_s = self._connections.parse_clock() - started_at
        now = self._connections.now()
        if self._parse_cost.add(cost_s, now):
            self._delay_reading(self._connections.parse_share.reserve(cost_s, now))
        self._count_unproductive(len(data))

    def _count_unproductive(self, slice_bytes: int) -> None:
        incoming = self._incoming
        framing_bytes = slice_bytes - self._slice_body_bytes
        if self._has_progressed:
            self._unproductive_bytes = 0.0
        else:
            change = framing_bytes - self._slice_body_bytes * FRAMING_SHARE
            self._unproductive_bytes = max(0.0, self._unproductive_bytes + change)
        if self._refusal is not None:
            return
        if self._unproductive_bytes > MAX_HEAD_BYTES:
            is_head = incoming is None
            self._refusal = Refusal.HEAD_TOO_LARGE if is_head else Refusal.FRAMING_TOO_LARGE
        for exchange in (*self._queue, self._current):
            if exchange is not None and exchange.body_bytes > self._limits.max_body_bytes:
                self._refusal = Refusal.BODY_TOO_LARGE

    def _delay_reading(self, delay_s: float) -> None:
        if delay_s and self._delay is None:
            self._delay = self._connections.loop.call_later(delay_s, self._end_delay)
            self._update()

    def _delay_pipelined(self) -> None:
        """Let pipelined requests share the time of costly input, so that they aren't cheaper."""
        cost_s = min(self._connections.parse_clock() - self._started_at, MAX_PIPELINED_COST_S)
        delay_s = self._connections.parse_share.reserve(cost_s, self._connections.now())
        self._is_answering_delayed = delay_s > 0
        self._delay_reading(delay_s)

    def _end_delay(self) -> None:
        self._delay = None
        self._is_answering_delayed = False
        self._proceed()

    def _proceed(self) -> None:
        """Answer the next request, or wait for more of one."""
        if self._is_closed or self._phase is Phase.CLOSE:
            return
        current, refusal = self._current, self._refusal
        if refusal is not None:
            self._is_input_closed = True
        if current is not None:
            if refusal is not None and not current.is_received:
                self._refuse(refusal)
                return
            current.notify()
        elif self._writable is None and not self._is_answering_delayed:
            if self._queue and (refusal is None or self._queue[0].is_received):
                self._start(self._queue.popleft())
            elif refusal is not None:
                self._refuse(refusal)
                return
        self._update()

    def _update(self) -> None:
        """Pause or resume reading, and set the deadline of a new phase."""
        transport = self._transport
        if self._is_closed or transport is None or transport.is_closing():
            return
        phase = self._find_phase()
        if phase is not self._phase:
            self._phase = phase
            self._expires_at = self._connections.now() + self._phase_timeouts_s[phase]
        is_busy = phase is Phase.RESPONSE and self._writable is None
        if is_busy and not self._is_busy:
            self._connections.mark_busy(self)
        elif self._is_busy and not is_busy:
            self.waiting_since = self._connections.now()
            self._connections.mark_waiting(self)
        self._is_busy = is_busy
        may_read = self._may_read()
        if may_read and self._is_read_paused:
            transport.resume_reading()
        elif not may_read and not self._is_read_paused:
            transport.pause_reading()
        self._is_read_paused = not may_read

    def _find_phase(self) -> Phase:
        if self._close_reason is not None:
            return Phase.CLOSE
        if self._current is not None:
            return Phase.RESPONSE if self._current.is_received else Phase.BODY
        if self._writable is not None:
            return Phase.RESPONSE
        return Phase.HEAD if self._has_head_begun else Phase.IDLE

    def _may_read(self) -> bool:
        match self._phase:
            case Phase.CLOSE:
                return True
            case _ if self._delay is not None or self._queue:
                return False
            case Phase.RESPONSE:
                # One slice, so that the end of the connection is noticed.
                return not self._has_read_ahead
            case Phase.BODY:
                return self._current is None or len(self._current.body) < BODY_BUFFER_BYTES
            case _:
                return True

    def _start(self, exchange: Exchange) -> None:
        self._current = exchange
        self._started_at = self._connections.parse_clock()
        self._connections.counts.requests += 1
        task = self._connections.loop.create_task(self._run(exchange))
        self._connections.tasks.add(task)
        task.add_done_callback(self._connections.tasks.discard)

    async def _run(self, exchange: Exchange) -> None:
        try:
            await self._connections.application(exchange.scope, exchange.receive, exchange.send)
            if not exchange.has_ended_response and not exchange.is_disconnected:
                raise InvalidResponse("end the response before returning")
        except Exception as error:
            self._connections.report_failure(error)
            self._fail(exchange)
        else:
            self._finish(exchange)

    def _fail(self, exchange: Exchange) -> None:
        """Respond with an internal error, or break off a response that has begun."""
        if self._current is not exchange:
            return
        if exchange.has_started_response:
            self.abort(Close.FAILED)
            return
        self.write(encode_refusal(INTERNAL_ERROR_STATUS))
        self._end(Close.FAILED)

    def _finish(self, exchange: Exchange) -> None:
        if self._current is not exchange:
            return
        self._current = None
        if not exchange.keeps_alive or not exchange.is_received or self._connections.is_stopping:
            is_client_done = exchange.is_received and not self._has_read_ahead and not self._queue
            self._end(Close.ANSWERED, is_client_done)
            return
        self._has_read_ahead = False
        if self._queue:
            self._delay_pipelined()
        self._proceed()

    def _refuse(self, refusal: Refusal) -> None:
        """Refuse what the application can't answer, then close."""
        self._connections.counts.refused[refusal] += 1
        self._connections.report_limit(self._client_host, refusal)
        if self._current is not None and self._current.has_started_response:
            self.abort(Close.REFUSED)
            return
        self.write(encode_refusal(STATUS_BY_REFUSAL[refusal]))
        self._end(Close.REFUSED)

    def _end(self, reason: Close, is_client_done: bool = False) -> None:
        """Close once what is written is sent.

        If the client may still be sending, only the sending side is closed and the rest is
        discarded: an immediate close could reset the connection before the client has read the
        response.
        """
        self._end_requests()
        self._is_input_closed = True
        transport = self._transport
        if self._is_closed or transport is None or transport.is_closing():
            return
        self._close_reason = reason
        self._update()
        if transport.get_write_buffer_size():
            self._expires_at = self._connections.now() + self._limits.response_timeout_s
        if is_client_done or not transport.can_write_eof():
            transport.close()
        else:
            transport.write_eof()

    def _end_requests(self) -> None:
        for exchange in (self._current, *self._queue):
            if exchange is not None:
                exchange.disconnect()
        self._current = self._incoming = None
        self._queue.clear()

    def _forget(self, reason: Close) -> None:
        """Count the connection as closed; the first reason counts."""
        if self._is_closed:
            return
        self._is_closed = True
        self._end_requests()
        if self._delay is not None:
            self._delay.cancel()
        if self._writable is not None:
            self._writable.set()
            self._writable = None
        self._connections.remove(self)
        final_reason = self._close_reason or reason
        self._connections.counts.closed[final_reason] += 1
        if final_reason in LIMIT_CLOSES:
            self._connections.report_limit(self._client_host, final_reason)

    @property
    def _client_host(self) -> str:
        return self._client[0] if self._client else ""
