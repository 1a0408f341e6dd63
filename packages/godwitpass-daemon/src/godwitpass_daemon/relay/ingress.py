"""Connections of callers: requests run side by side and are answered in their order."""

import asyncio
import math
from collections import deque
from typing import TYPE_CHECKING, cast

import httptools

from godwitpass.internal.relay.routes import RelayTable
from godwitpass.internal.relay.configuration_wait import decide_wait
from godwitpass_daemon.edge.heads import Header
from godwitpass_daemon.relay.forwarded_calls import Exchange
from godwitpass_daemon.relay.headers import (
    RequestFault,
    encode_own,
    read_request,
)
from godwitpass_daemon.relay.limits import (
    LINGER_S,
    MAX_HELD_BODY_BYTES,
    MAX_PIPELINED,
    WRITE_BUFFER_BYTES,
)
from godwitpass_daemon.relay.pipelining import Turn

if TYPE_CHECKING:
    from godwitpass_daemon.relay.core import RelayCore

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
NO_CONFIGURATION_RETRY_S = 0.3
"""A daemon that has just started holds a configuration within about this time."""


class CallerConnection(asyncio.Protocol):
    """One connection of a caller."""

    def __init__(self, core: "RelayCore") -> None:
        self._core = core
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._turns: deque[Turn] = deque()
        self._reading: Turn | None = None
        self._target = b""
        self._headers: list[Header] = []
        self._in_head = False
        self._head_bytes = 0
        self._paused = False
        self._read_last = False
        self._stopped = False
        self._expires_at = math.inf

    @property
    def is_idle(self) -> bool:
        """Whether no request is in progress."""
        return not self._turns and not self._in_head

    def closes_after(self, turn: Turn) -> bool:
        """Tell whether the connection ends with the answer to `turn`."""
        if not turn.keep_alive or not turn.complete:
            return True
        return self._core.stopping and self._turns[-1] is turn and not self._in_head

    def flush(self) -> None:
        """Write the answers whose turn has come."""
        transport = self._transport
        while self._turns and transport is not None:
            turn = self._turns[0]
            data = turn.take_output()
            if data and not transport.is_closing():
                transport.write(data)
            if not turn.finished:
                return
            self._turns.popleft()
            if turn.closing:
                self._linger()
                return
            self._start_next()
        if not self._in_head:
            self._expires_at = self._core.now() + self._core.idle_timeout_s
        self._resume()

    def abort(self) -> None:
        """Close at once."""
        self._stopped = True
        if self._transport is not None:
            self._transport.abort()

    def close_if_idle(self) -> None:
        """Close unless a request is in progress."""
        if self.is_idle and self._transport is not None:
            self._transport.close()

    def sweep(self, now: float) -> None:
        """Close when a head, a body or the next request takes too long."""
        transport = self._transport
        if transport is None:
            return
        if now >= self._expires_at:
            self._expires_at = math.inf
            if self._stopped or not self._in_head:
                transport.abort()
            else:
                self._refuse_reading(408, "the head took too long")
            return
        turn = self._reading
        if turn is not None and turn.head is not None and not turn.complete:
            timeout_ms = turn.head.timeout_ms
            if timeout_ms is not None and now > turn.arrived_at + timeout_ms / 1000:
                self._refuse_reading(408, "the body took too long")

    # Called by asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self._core.callers.add(self)
        self._expires_at = self._core.now() + self._core.idle_timeout_s

    def data_received(self, data: bytes) -> None:
        """Parse a part of a request."""
        if self._stopped or self._read_last:
            return
        if self._in_head:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserUpgrade, httptools.HttpParserError):
            self._refuse_reading(400, "not a request in HTTP/1.1")
        if self._in_head and self._head_bytes > self._core.limits.head_bytes:
            self._refuse_reading(431, "the head is too large")
        if len(self._turns) >= MAX_PIPELINED:
            self._pause()

    def eof_received(self) -> bool:
        """Treat a caller that ends its side as one that left."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the calls in progress."""
        self._stopped = True
        self._core.callers.discard(self)
        self._drop_turns()

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Begin a head."""
        now = self._core.now()
        self._reading = Turn(self, now)
        self._target = b""
        self._headers = []
        self._in_head = True
        self._head_bytes = 0
        self._expires_at = now + self._core.limits.head_timeout_ms / 1000

    def on_url(self, url: bytes) -> None:
        """Gather the target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Gather a header; trailers are dropped."""
        if self._in_head:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Check the head and find the route."""
        turn = self._reading
        if turn is None or self._stopped:
            return
        self._in_head = False
        self._expires_at = math.inf
        self._turns.append(turn)
        turn.keep_alive = bool(self._parser.should_keep_alive())
        try:
            self._read_head(turn)
        except RequestFault as fault:
            if fault.status in (404, 503):
                # Answered once the body is in, so that the connection can be kept.
                turn.fault = fault
            else:
                self._refuse_reading(fault.status, fault.reason)
            return
        assert turn.head is not None
        if turn.head.expects_continue and self._turns[0] is turn and self._transport is not None:
            self._transport.write(CONTINUE)

    def on_body(self, chunk: bytes) -> None:
        """Gather the body."""
        turn = self._reading
        if turn is None or self._stopped or turn.fault is not None:
            return
        turn.body.append(chunk)
        turn.body_bytes += len(chunk)
        self._core.held_body_bytes += len(chunk)
        if turn.body_bytes > self._core.limits.body_bytes:
            self._refuse_reading(413, "the body is too large")
        elif self._core.held_body_bytes > MAX_HELD_BODY_BYTES:
            self._refuse_reading(503, "too many bodies are held")

    def on_message_complete(self) -> None:
        """Let the call begin."""
        turn, self._reading = self._reading, None
        if turn is None or self._stopped:
            return
        turn.complete = True
        if not turn.keep_alive:
            # Go on reading, since only that shows when the caller leaves.
            self._read_last = True
        if turn.fault is not None:
            self._fault(turn, turn.fault)
        elif turn.route is not None:
            self._start(turn)
        else:
            self._await_table(turn)

    def follow_table(self, turn: Turn) -> None:
        """Go on with a request that waited for a configuration."""
        self._stop_waiting(turn)
        table, head = self._core.table, turn.head
        assert table is not None and head is not None
        turn.route = table.find(head.host, head.path)
        if turn.route is None:
            self._fault(turn, RequestFault(404, "no route"))
        else:
            self._start(turn)

    def _await_table(self, turn: Turn) -> None:
        """Wait for a configuration, which a daemon that has just started will soon hold."""
        core = self._core
        if core.table is not None:
            self.follow_table(turn)
            return
        assert turn.head is not None
        wait_s = decide_wait(turn.head.timeout_ms)
        turn.waiting = core.loop.call_later(wait_s, self._give_up_waiting, turn)
        core.waiting[turn] = self

    def _give_up_waiting(self, turn: Turn) -> None:
        self._stop_waiting(turn)
        self._fault(turn, RequestFault(503, "no configuration yet"))

    def _stop_waiting(self, turn: Turn) -> None:
        if turn.waiting is not None:
            turn.waiting.cancel()
            turn.waiting = None
            self._core.waiting.pop(turn, None)

    def _read_head(self, turn: Turn) -> None:
        if self._parser.should_upgrade():
            raise RequestFault(400, "upgrades are not supported")
        if self._parser.get_http_version() != "1.1":
            raise RequestFault(505, "only HTTP/1.1 is supported")
        core = self._core
        head_bytes = len(self._target) + sum(
            len(name) + len(value) for name, value in self._headers
        )
        if head_bytes > core.limits.head_bytes:
            raise RequestFault(431, "the head is too large")
        head = read_request(
            self._parser.get_method(), self._target, self._headers, core.names, core.caller_service
        )
        turn.head = head
        if core.refusing:
            raise RequestFault(503, "this daemon stops")
        table: RelayTable | None = core.table
        if table is None:
            return
        turn.route = table.find(head.host, head.path)
        if turn.route is None:
            raise RequestFault(404, "no route")

    def _fault(self, turn: Turn, fault: RequestFault) -> None:
        """Answer a request that is not routed, in its turn."""
        core = self._core
        turn.route = None
        self._release_body(turn)
        request_id = turn.head.request_id if turn.head else ""
        retry_s = NO_CONFIGURATION_RETRY_S if fault.status == 503 else None
        core.note_fault(request_id, fault.status, fault.reason)
        turn.answer(
            encode_own(
                fault.status,
                fault.reason,
                request_id.encode("latin-1"),
                core.names.request_id,
                retry_s,
                turn.decide_close(),
            ),
            last=True,
        )

    def _start(self, turn: Turn) -> None:
        """Begin a call; one that may not run twice waits until it is the first in line."""
        assert turn.route is not None
        if turn.started or (not turn.route.is_idempotent and self._turns[0] is not turn):
            return
        assert turn.head is not None
        turn.started = True
        body = b"".join(turn.body)
        turn.exchange = Exchange(self._core, turn, turn.head, turn.route)
        turn.exchange.begin(body)
        self._release_body(turn)

    def _start_next(self) -> None:
        if self._turns and self._turns[0].complete and self._turns[0].route is not None:
            self._start(self._turns[0])

    def _release_body(self, turn: Turn) -> None:
        self._core.held_body_bytes -= turn.body_bytes
        turn.body_bytes = 0
        turn.body.clear()

    def _refuse_reading(self, status: int, reason: str) -> None:
        """Refuse the request that is being read, in its turn; nothing after it is read."""
        turn = self._reading or Turn(self, self._core.now())
        self._reading = None
        self._in_head = False
        self._read_last = True
        if turn.finished:
            return
        turn.keep_alive = False
        if turn not in self._turns:
            self._turns.append(turn)
        self._fault(turn, RequestFault(status, reason))

    def _drop_turns(self) -> None:
        turns, self._turns = list(self._turns), deque()
        for turn in turns:
            self._stop_waiting(turn)
            self._release_body(turn)
            if turn.exchange is not None and not turn.finished:
                turn.exchange.cancel()

    def _pause(self) -> None:
        if not self._paused and self._transport is not None and not self._transport.is_closing():
            self._paused = True
            self._transport.pause_reading()

    def _resume(self) -> None:
        if self._paused and not self._stopped and self._transport is not None:
            if len(self._turns) >= MAX_PIPELINED or self._transport.is_closing():
                return
            self._paused = False
            self._transport.resume_reading()

    def _linger(self) -> None:
        """Close once the answer was read: end the sending side, discard what still comes."""
        self._stopped = True
        self._drop_turns()
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if not transport.can_write_eof():
            transport.close()
            return
        transport.write_eof()
        if self._paused:
            self._paused = False
            transport.resume_reading()
        self._expires_at = self._core.now() + LINGER_S
