"""Connections to the upstream beside this daemon: one call at a time, kept open between calls."""

import asyncio
from collections.abc import Callable
from typing import Protocol, cast

import httptools

from godwitpass.ids import Address
from godwitpass_daemon.edge.heads import Framing, Header
from godwitpass_daemon.listeners import split_address
from godwitpass_daemon.relay.headers import AnswerHead, HeaderNames, read_answer
from godwitpass_daemon.relay.limits import (
    DEFAULT_IDLE_S,
    IDLE_MARGIN_S,
    SINGLE_USE_IDLE_S,
    UPSTREAM_CONNECT_S,
    WRITE_BUFFER_BYTES,
)

MAX_ANSWER_HEAD_BYTES = 32 * 1024


class AnswerSink(Protocol):
    """What a connection tells the call that uses it."""

    def take_head(self, head: AnswerHead) -> None:
        """Take in the answer's head."""
        ...

    def take_body(self, data: bytes) -> None:
        """Take in a part of the answer's body."""
        ...

    def take_end(self) -> None:
        """Take in that the answer is whole."""
        ...

    def take_loss(self, received: bool, invalid: bool) -> None:
        """Take in that the connection broke; `received` if anything of an answer came."""
        ...


class UpstreamConnection(asyncio.Protocol):
    """One connection; answers that don't belong to the call in progress are dropped."""

    def __init__(self, pool: "UpstreamPool") -> None:
        self.idle_since = 0.0
        self.idle_s = DEFAULT_IDLE_S
        self.is_reused = False
        self._pool = pool
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._sink: AnswerSink | None = None
        self._method = b"GET"
        self._request_id = b""
        self._headers: list[Header] = []
        self._head: AnswerHead | None = None
        self._head_bytes = 0
        self._skipping = False
        self._received = False
        self._done = False
        self._spoiled = False
        self._spoiled_later = False

    @property
    def is_open(self) -> bool:
        """Whether the connection can carry a call."""
        return self._transport is not None and not self._transport.is_closing()

    def send(self, sink: AnswerSink, method: bytes, request_id: bytes, data: bytes) -> None:
        """Send a whole request; its answer goes to `sink`."""
        assert self._sink is None, "a connection carries one call at a time"
        assert self._transport is not None
        self._sink = sink
        self._method = method
        self._request_id = request_id
        self._head = None
        self._head_bytes = 0
        self._received = False
        self._done = False
        self._transport.write(data)

    def close(self) -> None:
        """Drop the connection at once; the upstream sees its call cancelled."""
        self._sink = None
        if self._transport is not None:
            self._transport.abort()

    # Called by asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)

    def data_received(self, data: bytes) -> None:
        """Parse a part of an answer."""
        if self._sink is None:
            # Nobody waits for an answer, so the connection can't be trusted any more.
            self._pool.discard(self)
            self.close()
            return
        self._received = True
        if self._head is None:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._spoiled = True
        if self._done:
            self._finish()
        elif self._spoiled or self._head_bytes > MAX_ANSWER_HEAD_BYTES:
            self._break_off()

    def eof_received(self) -> bool:
        """End an answer whose end is marked by that of the connection."""
        head = self._head
        if head is not None and head.framing is Framing.UNMARKED and self._sink is not None:
            self._finish()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell whoever still waits for an answer."""
        sink, self._sink = self._sink, None
        self._pool.discard(self)
        if sink is not None:
            sink.take_loss(received=self._received, invalid=False)

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Begin an answer."""
        if self._done:
            self._spoiled = True
        self._headers = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Gather a header; trailers are dropped."""
        if self._head is None:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Check the head; an answer to an earlier request is skipped."""
        sink = self._sink
        if sink is None or self._done:
            return
        status = self._parser.get_status_code()
        if status < 200:
            self._skipping = True
            return
        keeps_open = bool(self._parser.should_keep_alive())
        head = read_answer(status, self._headers, self._method, keeps_open, self._pool.names)
        if head.request_id and self._request_id and head.request_id != self._request_id:
            self._skipping = True
            # Further answers may be out of step too.
            self._spoiled_later = True
            return
        self._head = head
        sink.take_head(head)
        if self._method == b"HEAD":
            self._done = True
            self._spoiled = True

    def on_body(self, data: bytes) -> None:
        """Pass a part of the body on."""
        if not self._skipping and not self._done and self._sink is not None:
            self._sink.take_body(data)

    def on_message_complete(self) -> None:
        """Note that an answer is whole."""
        if self._skipping:
            self._skipping = False
        elif self._head is not None and self._head.framing is not Framing.UNMARKED:
            self._done = True

    def _finish(self) -> None:
        """Give the connection back, or close it, and end the answer."""
        head, sink = self._head, self._sink
        assert head is not None
        self._sink = None
        if head.idle_s is not None:
            self.idle_s = head.idle_s
        spoiled = self._spoiled or self._spoiled_later
        if head.keeps_open and not spoiled and self.is_open:
            self._pool.put(self)
        elif self._transport is not None:
            self._transport.abort()
        if sink is not None:
            sink.take_end()

    def _break_off(self) -> None:
        sink = self._sink
        self.close()
        if sink is not None:
            sink.take_loss(received=True, invalid=True)


class UpstreamPool:
    """Keeps the idle connections to one address, the one used last on top."""

    def __init__(self, names: HeaderNames, now: Callable[[], float]) -> None:
        self.names = names
        self.opened = 0
        self._now = now
        self._address: Address | None = None
        self._idle: list[UpstreamConnection] = []

    def set_address(self, address: Address) -> None:
        """Use `address` from now on; connections elsewhere are closed."""
        if address != self._address:
            self.close_all()
            self._address = address

    def take(self, single_use: bool) -> UpstreamConnection | None:
        """Return an idle connection; one for `single_use` must have been in use lately."""
        now = self._now()
        while self._idle:
            connection = self._idle[-1]
            age = now - connection.idle_since
            if not connection.is_open or age > connection.idle_s - IDLE_MARGIN_S:
                self._idle.pop()
                connection.close()
                continue
            if single_use and age > SINGLE_USE_IDLE_S:
                return None
            connection.is_reused = True
            return self._idle.pop()
        return None

    async def connect(self) -> UpstreamConnection:
        """Open a connection; raises `OSError` or `TimeoutError`."""
        if self._address is None:
            raise ConnectionRefusedError("the upstream's address is not known yet")
        host, port = split_address(self._address)
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(UPSTREAM_CONNECT_S):
            _, connection = await loop.create_connection(
                lambda: UpstreamConnection(self), host, port
            )
        self.opened += 1
        return connection

    def put(self, connection: UpstreamConnection) -> None:
        """Keep an idle connection."""
        connection.idle_since = self._now()
        self._idle.append(connection)

    def discard(self, connection: UpstreamConnection) -> None:
        """Forget a connection that closed."""
        if connection in self._idle:
            self._idle.remove(connection)

    def sweep(self) -> None:
        """Close the connections that have been idle for too long."""
        now = self._now()
        while self._idle and now - self._idle[0].idle_since > self._idle[0].idle_s - IDLE_MARGIN_S:
            self._idle.pop(0).close()

    def close_all(self) -> None:
        """Close all idle connections."""
        idle, self._idle = self._idle, []
        for connection in idle:
            connection.close()
