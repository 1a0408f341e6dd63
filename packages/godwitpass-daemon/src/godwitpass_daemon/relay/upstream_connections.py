"""Persistent connections to the local upstream, each with one call at a time."""

import asyncio
from collections.abc import Callable
from typing import Protocol, cast

import httptools

from godwitpass.ids import Address
from godwitpass_daemon.edge.heads import Framing, Header, StatusClass, classify_status
from godwitpass_daemon.listeners import split_address
from godwitpass_daemon.relay.headers import HeaderNames, ResponseHead, parse_response_head
from godwitpass_daemon.relay.limits import (
    DEFAULT_KEEP_ALIVE_S,
    KEEP_ALIVE_MARGIN_S,
    MAX_SAFE_IDLE_S,
    UPSTREAM_CONNECT_TIMEOUT_S,
    WRITE_BUFFER_BYTES,
)

MAX_RESPONSE_HEAD_BYTES = 32 * 1024
HEAD_PIECE_BYTES = 4 * 1024
MAX_BYTES_WITHOUT_BODY = 64 * 1024
"""What an upstream may send in a row that is no part of a body.

Chunk sizes, trailers and informational responses have no length of their own.
"""


class ResponseHandler(Protocol):
    """Receives the response to one request."""

    def handle_head(self, head: ResponseHead) -> None:
        """Handle the head of the response."""
        ...

    def handle_body(self, data: bytes) -> None:
        """Handle a part of the body."""
        ...

    def handle_end(self) -> None:
        """Handle the end of a complete response."""
        ...

    def handle_loss(self, has_received: bool, is_invalid: bool) -> None:
        """Handle a lost connection; `has_received` if any part of a response arrived."""
        ...


class UpstreamConnection(asyncio.Protocol):
    """A connection to the upstream; responses to earlier requests are dropped.

    A response without an id can be attributed to the first request of a connection only, which is
    closed after it. Behind an earlier request it is invalid, and the request may have run.
    """

    def __init__(self, pool: "UpstreamConnectionPool") -> None:
        self.opened_at = pool.now()
        self.idle_since = 0.0
        self.keep_alive_s = DEFAULT_KEEP_ALIVE_S
        self.was_idle_for_long = False
        self._pool = pool
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._handler: ResponseHandler | None = None
        self._method = b"GET"
        self._request_id = b""
        self._request_count = 0
        self._headers: list[Header] = []
        self._head: ResponseHead | None = None
        self._is_reading_head = False
        self._unfinished_head_bytes = 0
        self._bytes_without_body = 0
        self._is_skipping = False
        self._has_received = False
        self._is_response_complete = False
        self._is_broken = False
        self._is_out_of_sync = False

    @property
    def is_open(self) -> bool:
        """Return whether the connection can carry a request."""
        return self._transport is not None and not self._transport.is_closing()

    def send(self, handler: ResponseHandler, method: bytes, request_id: bytes, data: bytes) -> None:
        """Send a complete request, whose response goes to `handler`."""
        assert self._handler is None, "a connection carries one call at a time"
        assert self._transport is not None
        self._handler = handler
        self._method = method
        self._request_id = request_id
        self._request_count += 1
        self._head = None
        self._has_received = False
        self._is_response_complete = False
        self._bytes_without_body = 0
        self._transport.write(data)

    def pause_reading(self) -> None:
        """Leave the rest of the response to the upstream until `resume_reading` is called."""
        if self._transport is not None and self.is_open:
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Resume reading the response."""
        if self._transport is not None and self.is_open:
            self._transport.resume_reading()

    def close(self) -> None:
        """Abort the connection, by which the upstream notices the cancellation."""
        self._handler = None
        if self._transport is not None:
            self._transport.abort()

    # Called by asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)

    def data_received(self, data: bytes) -> None:
        """Parse received data."""
        if self._handler is None:
            # Data without a pending request makes the connection unusable.
            self._pool.discard(self)
            self.close()
            return
        self._has_received = True
        self._bytes_without_body += len(data)
        rest = memoryview(data)
        while rest and not self._is_broken and not self._is_head_too_large():
            # A head is parsed in pieces, because each of its lines takes much more than its bytes.
            size = HEAD_PIECE_BYTES if self._head is None else len(rest)
            self._parse(rest[:size])
            rest = rest[size:]
        if self._is_response_complete:
            self._finish_response()
        elif (
            self._is_broken
            or self._is_head_too_large()
            or self._bytes_without_body > MAX_BYTES_WITHOUT_BODY
        ):
            self._fail_response()

    def eof_received(self) -> bool:
        """Finish a response whose end is marked by the end of the connection."""
        head = self._head
        if head is not None and head.framing is Framing.UNMARKED and self._handler is not None:
            self._finish_response()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the loss to the pending request."""
        # The parser refers to the connection, so that both stay until garbage is collected.
        self._headers = []
        handler, self._handler = self._handler, None
        self._pool.discard(self)
        if handler is not None:
            handler.handle_loss(has_received=self._has_received, is_invalid=False)

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Start a response; a second one to the same request is invalid."""
        if self._is_response_complete:
            self._is_broken = True
        self._headers = []
        self._is_reading_head = True
        self._unfinished_head_bytes = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailers are dropped."""
        if self._head is None:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Parse the head; informational responses and responses to earlier requests are skipped."""
        self._is_reading_head = False
        handler = self._handler
        if handler is None or self._is_response_complete:
            return
        if sum(len(name) + len(value) for name, value in self._headers) > MAX_RESPONSE_HEAD_BYTES:
            self._is_broken = True
            return
        status = self._parser.get_status_code()
        match classify_status(status):
            case StatusClass.INTERIM:
                self._is_skipping = True
                return
            case StatusClass.INVALID:
                self._is_broken = True
                return
        is_persistent = bool(self._parser.should_keep_alive())
        head = parse_response_head(
            status, self._headers, self._method, is_persistent, self._pool.header_names
        )
        if head.request_id and self._request_id and head.request_id != self._request_id:
            self._is_skipping = True
            # Later responses may belong to earlier requests too.
            self._is_out_of_sync = True
            return
        if self._request_id and not head.request_id:
            self._is_out_of_sync = True
            if self._request_count > 1:
                self._is_broken = True
                return
        self._head = head
        self._bytes_without_body = 0
        handler.handle_head(head)
        if self._method == b"HEAD":
            self._is_response_complete = True
            self._is_broken = True

    def on_body(self, data: bytes) -> None:
        """Pass a part of the body on."""
        self._bytes_without_body = 0
        if not self._is_skipping and not self._is_response_complete and self._handler is not None:
            self._handler.handle_body(data)

    def on_message_complete(self) -> None:
        """Mark the response as complete."""
        if self._is_skipping:
            self._is_skipping = False
        elif self._head is not None and self._head.framing is not Framing.UNMARKED:
            self._is_response_complete = True

    def _is_head_too_large(self) -> bool:
        return self._unfinished_head_bytes > MAX_RESPONSE_HEAD_BYTES

    def _parse(self, data: memoryview) -> None:
        was_reading_head = self._is_reading_head
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError:
            # An error of this program: asyncio logs it.
            self._fail_response()
            raise
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._is_broken = True
        if was_reading_head and self._is_reading_head:
            # The parser reports a header only once it is complete.
            self._unfinished_head_bytes += len(data)

    def _finish_response(self) -> None:
        """Release or close the connection, and report the end of the response."""
        head, handler = self._head, self._handler
        assert head is not None
        self._handler = None
        if head.keep_alive_s is not None:
            self.keep_alive_s = head.keep_alive_s
        is_unusable = self._is_broken or self._is_out_of_sync
        if head.is_persistent and not is_unusable and self.is_open:
            self.resume_reading()
            self._pool.release(self)
        elif self._transport is not None:
            self._transport.abort()
        if handler is not None:
            handler.handle_end()

    def _fail_response(self) -> None:
        handler = self._handler
        self.close()
        if handler is not None:
            handler.handle_loss(has_received=True, is_invalid=True)


class UpstreamConnectionPool:
    """Pools idle connections to one address, the most recently used one first."""

    def __init__(self, header_names: HeaderNames, now: Callable[[], float]) -> None:
        self.header_names = header_names
        self.opened_count = 0
        self.now = now
        self._address: Address | None = None
        self._idle: list[UpstreamConnection] = []

    def set_address(self, address: Address) -> None:
        """Use `address` from now on, and close connections to another one."""
        if address != self._address:
            self.close_all()
            self._address = address

    def take_idle(self, must_be_recent: bool) -> UpstreamConnection | None:
        """Return an idle connection or None.

        With `must_be_recent`, a connection is returned only if it was used in the last
        `MAX_SAFE_IDLE_S` seconds.
        """
        now = self.now()
        while self._idle:
            connection = self._idle[-1]
            idle_time_s = now - connection.idle_since
            if (
                not connection.is_open
                or idle_time_s > connection.keep_alive_s - KEEP_ALIVE_MARGIN_S
            ):
                self._idle.pop()
                connection.close()
                continue
            was_idle_for_long = idle_time_s > MAX_SAFE_IDLE_S
            if must_be_recent and was_idle_for_long:
                return None
            connection.was_idle_for_long = was_idle_for_long
            return self._idle.pop()
        return None

    async def connect(self) -> UpstreamConnection:
        """Open a connection; raise `OSError` or `TimeoutError` on failure."""
        if self._address is None:
            raise ConnectionRefusedError("the upstream's address is not known yet")
        host, port = split_address(self._address)
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(UPSTREAM_CONNECT_TIMEOUT_S):
            _, connection = await loop.create_connection(
                lambda: UpstreamConnection(self), host, port
            )
        self.opened_count += 1
        return connection

    def release(self, connection: UpstreamConnection) -> None:
        """Return an idle connection to the pool."""
        connection.idle_since = self.now()
        self._idle.append(connection)

    def discard(self, connection: UpstreamConnection) -> None:
        """Remove a closed connection from the pool."""
        if connection in self._idle:
            self._idle.remove(connection)

    def close_expired(self) -> None:
        """Close the connections whose keep-alive time is nearly over."""
        now = self.now()
        idle, self._idle = self._idle, []
        for connection in idle:
            if now - connection.idle_since > connection.keep_alive_s - KEEP_ALIVE_MARGIN_S:
                connection.close()
            else:
                self._idle.append(connection)

    def close_all(self) -> None:
        """Close all idle connections."""
        idle, self._idle = self._idle, []
        for connection in idle:
            connection.close()
