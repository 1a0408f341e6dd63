"""Pooled connections to upstreams; one that received unexpected data isn't reused."""

import asyncio
import time
from typing import Protocol, cast

import httptools

from godwitpass.ids import Address
from godwitpass_daemon.edge.heads import (
    Framing,
    Header,
    ResponseHead,
    StatusClass,
    classify_status,
    parse_response_head,
)
from godwitpass_daemon.edge.limits import (
    BODY_BUFFER_BYTES,
    MAX_HEAD_BYTES,
    MAX_NON_IDEMPOTENT_IDLE_S,
    MAX_RESPONSE_HEADERS,
)

HEAD_PIECE_BYTES = 4 * 1024
MAX_BYTES_WITHOUT_BODY = 64 * 1024
"""What an upstream may send in a row that is no part of a body.

Chunk sizes, chunk extensions and trailers have no length of their own.
"""


class ResponseHandler(Protocol):
    """Callbacks from a connection to the attempt that uses it."""

    method: str

    def receive_head(self, head: ResponseHead) -> None:
        """Handle the response head."""
        ...

    def receive_body(self, chunk: bytes) -> None:
        """Handle a part of the response body."""
        ...

    def finish_response(self) -> None:
        """Handle the end of a complete response."""
        ...

    def handle_connection_loss(self, is_invalid: bool) -> None:
        """Handle a broken connection; `is_invalid` if the upstream sent an invalid response."""
        ...

    def flush(self) -> None:
        """Forward the output of the preceding callbacks."""
        ...

    def pause_writing(self) -> None:
        """Stop sending the request body until `resume_writing`."""
        ...

    def resume_writing(self) -> None:
        """Resume sending the request body."""
        ...


class UpstreamConnection(asyncio.Protocol):
    """One connection to an upstream; serves one attempt at a time."""

    def __init__(self, pool: "ConnectionPool", address: Address) -> None:
        self.address = address
        self.idle_since = 0.0
        self.idle_s = 0.0
        self.has_received = False
        self._pool = pool
        self._handler: ResponseHandler | None = None
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[Header] = []
        self._head_bytes = 0
        self._bytes_without_body = 0
        self._is_head_complete = False
        self._is_response_complete = False
        self._is_reusable = False
        self._has_surplus = False
        self._is_invalid = False

    @property
    def is_open(self) -> bool:
        """Whether the connection can carry another attempt."""
        return self._transport is not None and not self._transport.is_closing()

    def attach(self, handler: ResponseHandler) -> None:
        """Use the connection for one attempt, whose callbacks are `handler`."""
        assert self._handler is None, "a connection serves one attempt at a time"
        self._handler = handler
        self.has_received = False
        self._is_head_complete = False
        self._is_response_complete = False
        self._head_bytes = 0
        self._bytes_without_body = 0

    def write(self, data: bytes) -> None:
        """Send bytes of the request."""
        assert self._transport is not None
        self._transport.write(data)

    def close(self) -> None:
        """Abort the connection, which cancels the call in progress at the upstream."""
        self._handler = None
        if self._transport is not None:
            self._transport.abort()

    @property
    def unsent_bytes(self) -> int:
        """Size of what waits to be sent."""
        return self._transport.get_write_buffer_size() if self._transport is not None else 0

    def pause_reading(self) -> None:
        """Stop reading the response until `resume_reading`."""
        if self.is_open:
            assert self._transport is not None
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Resume reading the response."""
        if self.is_open:
            assert self._transport is not None
            self._transport.resume_reading()

    def release(self, is_request_sent: bool) -> None:
        """Return the connection to the pool after a response, or close it if not reusable."""
        self._handler = None
        if (
            self._is_response_complete
            and self._is_reusable
            and is_request_sent
            and not self._has_surplus
            and self.is_open
        ):
            self._pool.put(self)
        else:
            self.close()

    # Called by asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport and limit its write buffer."""
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=BODY_BUFFER_BYTES)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; bytes without a request close the connection."""
        handler = self._handler
        if handler is None:
            self._pool.discard(self)
            self.close()
            return
        self.has_received = True
        self._bytes_without_body += len(data)
        rest = memoryview(data)
        while rest and not self._is_invalid and not self._has_surplus:
            # A head is parsed in pieces, because each of its lines takes much more than its bytes.
            size = len(rest) if self._is_head_complete else HEAD_PIECE_BYTES
            self._parse(rest[:size])
            rest = rest[size:]
        if self._bytes_without_body > MAX_BYTES_WITHOUT_BODY and not self._is_response_complete:
            self._is_invalid = True
        if self._is_invalid:
            self.close()
            handler.handle_connection_loss(is_invalid=True)
        elif self._is_response_complete:
            handler.finish_response()
        handler.flush()

    def _parse(self, data: memoryview) -> None:
        if not self._is_head_complete:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._is_invalid = not self._is_response_complete
            self._has_surplus = True
        if self._head_bytes > MAX_HEAD_BYTES and not self._is_head_complete:
            self._is_invalid = True

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection from the pool, and fail the attempt that uses it."""
        handler = self._handler
        self._handler = None
        # The parser refers to the connection, so that both stay until garbage is collected.
        self._headers = []
        self._pool.discard(self)
        if handler is not None:
            handler.handle_connection_loss(is_invalid=False)

    def pause_writing(self) -> None:
        """Propagate the upstream's back-pressure to the attempt."""
        if self._handler is not None:
            self._handler.pause_writing()

    def resume_writing(self) -> None:
        """Propagate the end of back-pressure to the attempt."""
        if self._handler is not None:
            self._handler.resume_writing()

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Start to collect a response head; a second response to a request is discarded."""
        self._has_surplus = self._has_surplus or self._is_response_complete
        self._headers = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; trailers are dropped."""
        if not self._is_head_complete:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Validate the response head and forward it; interim responses (1xx) are skipped."""
        status = self._parser.get_status_code()
        status_class = classify_status(status)
        handler = self._handler
        if self._has_surplus or handler is None or status_class is StatusClass.INTERIM:
            return
        if status_class is StatusClass.INVALID or len(self._headers) > MAX_RESPONSE_HEADERS:
            self._is_invalid = True
            return
        head = parse_response_head(status, self._headers, handler.method)
        if head.framing is Framing.UNMARKED:
            self._is_invalid = True
            return
        self._is_head_complete = True
        self._bytes_without_body = 0
        handler.receive_head(head)
        if handler.method == "HEAD":
            self._is_response_complete = True

    def on_body(self, chunk: bytes) -> None:
        """Forward a part of the response body."""
        self._bytes_without_body = 0
        if self._is_head_complete and not self._is_response_complete and self._handler is not None:
            self._handler.receive_body(chunk)

    def on_message_complete(self) -> None:
        """Mark the response as complete, unless it was an interim or surplus one."""
        if self._has_surplus or not self._is_head_complete:
            return
        self._is_reusable = not self._is_response_complete and self._parser.should_keep_alive()
        self._is_response_complete = True


class ConnectionPool:
    """Idle connections by upstream address; the most recently used one is reused first."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._idle: dict[Address, list[UpstreamConnection]] = {}
        self._idle_timeouts_s: dict[Address, float] = {}

    def set_idle_timeout(self, address: Address, idle_timeout_s: float) -> None:
        """Set for how many seconds idle connections to `address` are kept."""
        self._idle_timeouts_s[address] = idle_timeout_s

    def take(self, address: Address, is_idempotent: bool) -> UpstreamConnection | None:
        """Return an idle connection that the upstream should still keep open, or None.

        A call that isn't idempotent gets only a connection that was in use more recently.
        """
        idle = self._idle.get(address)
        if not idle:
            return None
        connection = idle[-1]
        if not connection.is_open:
            idle.pop()
            return self.take(address, is_idempotent)
        idle_s = time.monotonic() - connection.idle_since
        idle_timeout_s = self._idle_timeouts_s[address]
        if idle_s > (
            idle_timeout_s if is_idempotent else min(idle_timeout_s, MAX_NON_IDEMPOTENT_IDLE_S)
        ):
            return None
        idle.pop()
        connection.idle_s = idle_s
        return connection

    def put(self, connection: UpstreamConnection) -> None:
        """Add an idle connection."""
        connection.idle_since = time.monotonic()
        self._idle.setdefault(connection.address, []).append(connection)

    def discard(self, connection: UpstreamConnection) -> None:
        """Remove a closed connection."""
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

    def close_expired(self, now: float) -> None:
        """Close connections that exceed their idle timeout."""
        for address, idle in self._idle.items():
            idle_timeout_s = self._idle_timeouts_s[address]
            expired = [
                connection for connection in idle if now - connection.idle_since > idle_timeout_s
            ]
            for connection in expired:
                idle.remove(connection)
                connection.close()

    def close_all(self) -> None:
        """Close every idle connection."""
        for idle in self._idle.values():
            for connection in idle:
                connection.close()
        self._idle.clear()
