"""Connections to upstreams: one answer at a time, reused only when nothing is left unread."""

import asyncio
import time
from typing import Protocol, cast

import httptools

from godwitpass.ids import Address
from godwitpass_daemon.edge.heads import AnswerHead, Framing, Header, read_answer_head
from godwitpass_daemon.edge.limits import (
    BODY_BUFFER_BYTES,
    MAX_HEAD_BYTES,
    MAX_HEADERS,
    UNSAFE_IDLE_S,
)


class AnswerSink(Protocol):
    """What a connection tells the attempt that uses it."""

    method: str

    def receive_head(self, head: AnswerHead) -> None:
        """Take in the answer's head."""
        ...

    def receive_body(self, chunk: bytes) -> None:
        """Take in a part of the answer's body."""
        ...

    def finish_answer(self) -> None:
        """Take in that the answer is whole."""
        ...

    def lose_connection(self, invalid: bool) -> None:
        """Take in that the connection broke, or sent something that isn't HTTP."""
        ...

    def flush(self) -> None:
        """Pass on what came, after a batch of the calls above."""
        ...

    def pause_writing(self) -> None:
        """Stop sending until `resume_writing`."""
        ...

    def resume_writing(self) -> None:
        """Go on sending."""
        ...


class UpstreamConnection(asyncio.Protocol):
    """One connection; serves one attempt at a time."""

    def __init__(self, pool: "ConnectionPool", address: Address) -> None:
        self.address = address
        self.idle_since = 0.0
        self.idle_age = 0.0
        self.received = False
        self._pool = pool
        self._sink: AnswerSink | None = None
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[Header] = []
        self._status = 0
        self._head_bytes = 0
        self._head_done = False
        self._done = False
        self._keep = False
        self._surplus = False
        self._invalid = False

    @property
    def is_open(self) -> bool:
        """Whether the connection can carry another attempt."""
        return self._transport is not None and not self._transport.is_closing()

    def attach(self, sink: AnswerSink) -> None:
        """Let `sink` use the connection for one attempt."""
        assert self._sink is None, "a connection serves one attempt at a time"
        self._sink = sink
        self.received = False
        self._head_done = False
        self._done = False
        self._head_bytes = 0

    def write(self, data: bytes) -> None:
        """Send bytes of the request."""
        assert self._transport is not None
        self._transport.write(data)

    def close(self) -> None:
        """Drop the connection at once; the upstream sees its call cancelled."""
        self._sink = None
        if self._transport is not None:
            self._transport.abort()

    def pause_reading(self) -> None:
        """Let the answer wait until `resume_reading`."""
        if self.is_open:
            assert self._transport is not None
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Go on with the answer."""
        if self.is_open:
            assert self._transport is not None
            self._transport.resume_reading()

    def release(self, request_sent: bool) -> None:
        """Give up the connection after the answer: into the pool, or closed."""
        self._sink = None
        if self._done and self._keep and request_sent and not self._surplus and self.is_open:
            self._pool.put(self)
        else:
            self.close()

    # Called by asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=BODY_BUFFER_BYTES)

    def data_received(self, data: bytes) -> None:
        """Parse a part of the answer."""
        sink = self._sink
        if sink is None:
            self._pool.discard(self)
            self.close()
            return
        self.received = True
        if not self._head_done:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._invalid = not self._done
            self._surplus = True
        if self._head_bytes > MAX_HEAD_BYTES and not self._head_done:
            self._invalid = True
        if self._invalid:
            self.close()
            sink.lose_connection(invalid=True)
        elif self._done:
            sink.finish_answer()
        sink.flush()

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell whoever still waits for an answer."""
        sink = self._sink
        self._sink = None
        self._pool.discard(self)
        if sink is not None:
            sink.lose_connection(invalid=False)

    def pause_writing(self) -> None:
        """Pass back-pressure on."""
        if self._sink is not None:
            self._sink.pause_writing()

    def resume_writing(self) -> None:
        """Pass the end of back-pressure on."""
        if self._sink is not None:
            self._sink.resume_writing()

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Begin an answer; a second one on the same request is never passed on."""
        self._surplus = self._surplus or self._done
        self._headers = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header; trailers are dropped."""
        if not self._head_done:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Check the head and pass it on."""
        self._status = self._parser.get_status_code()
        if self._surplus or self._status < 200:
            return
        sink = self._sink
        if sink is None:
            return
        if len(self._headers) > MAX_HEADERS:
            self._invalid = True
            return
        head = read_answer_head(self._status, self._headers, sink.method)
        if head.framing is Framing.UNMARKED:
            self._invalid = True
            return
        self._head_done = True
        sink.receive_head(head)
        if sink.method == "HEAD":
            self._done = True

    def on_body(self, chunk: bytes) -> None:
        """Pass on a part of the body."""
        if self._head_done and not self._done and self._sink is not None:
            self._sink.receive_body(chunk)

    def on_message_complete(self) -> None:
        """Note the end of the answer; interim answers only precede it."""
        if self._surplus or not self._head_done:
            return
        self._keep = not self._done and self._parser.should_keep_alive()
        self._done = True


class ConnectionPool:
    """Idle connections by address; the most recently used one is taken first."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._idle: dict[Address, list[UpstreamConnection]] = {}
        self._idle_limits: dict[Address, float] = {}

    def set_idle_limit(self, address: Address, seconds: float) -> None:
        """Keep unused connections to `address` for so long."""
        self._idle_limits[address] = seconds

    def take(self, address: Address, safe_to_repeat: bool) -> UpstreamConnection | None:
        """Return an idle connection that the upstream has not closed for idleness."""
        idle = self._idle.get(address)
        if not idle:
            return None
        connection = idle[-1]
        if not connection.is_open:
            idle.pop()
            return self.take(address, safe_to_repeat)
        age = time.monotonic() - connection.idle_since
        allowed = self._idle_limits[address]
        if age > (allowed if safe_to_repeat else min(allowed, UNSAFE_IDLE_S)):
            return None
        idle.pop()
        connection.idle_age = age
        return connection

    def put(self, connection: UpstreamConnection) -> None:
        """Keep an idle connection."""
        connection.idle_since = time.monotonic()
        self._idle.setdefault(connection.address, []).append(connection)

    def discard(self, connection: UpstreamConnection) -> None:
        """Forget a connection that closed."""
        idle = self._idle.get(connection.address)
        if idle is not None and connection in idle:
            idle.remove(connection)

    async def connect(self, address: Address, timeout_s: float) -> UpstreamConnection:
        """Open a connection; raises `OSError` or `TimeoutError`."""
        host, _, port = address.rpartition(":")
        async with asyncio.timeout(timeout_s):
            _, connection = await self._loop.create_connection(
                lambda: UpstreamConnection(self, address), host.strip("[]"), int(port)
            )
        return connection

    def close_idle(self, now: float) -> None:
        """Close connections that were unused for too long."""
        for address, idle in self._idle.items():
            allowed = self._idle_limits[address]
            stale = [found for found in idle if now - found.idle_since > allowed]
            for connection in stale:
                idle.remove(connection)
                connection.close()

    def close_all(self) -> None:
        """Close every idle connection."""
        for idle in self._idle.values():
            for connection in idle:
                connection.close()
        self._idle.clear()
