"""One request and its response, with the interface of an ASGI application."""

import asyncio
from http import HTTPStatus
from typing import Any, Protocol
from urllib.parse import unquote

import httptools

from godwitpass_daemon.http.applications import Scope

Header = tuple[bytes, bytes]

CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
BODILESS_STATUSES = frozenset({204, 304})


class InvalidResponse(Exception):
    """The application sent a message that doesn't fit its response."""


class ResponseWriter(Protocol):
    """The part of a connection that an exchange uses."""

    @property
    def is_stopping(self) -> bool:
        """Whether the connection ends with the current response."""
        ...

    def write(self, data: bytes) -> None:
        """Send bytes of a response."""
        ...

    async def wait_until_writable(self) -> None:
        """Wait until the client has taken most of what was written."""
        ...

    def resume_body(self) -> None:
        """Read more of the body."""
        ...


class Exchange:
    """A request whose body arrives while the application runs, and its response."""

    def __init__(self, writer: ResponseWriter, scope: Scope, keeps_alive: bool) -> None:
        self.scope = scope
        self.keeps_alive = keeps_alive
        self.body = bytearray()
        self.body_bytes = 0
        self.is_received = False
        self.is_disconnected = False
        self.has_started_response = False
        self.has_ended_response = False
        self._writer = writer
        self._expects_continue = any(
            name == b"expect" and value.lower() == b"100-continue"
            for name, value in scope["headers"]
        )
        self._declared_bytes = next(
            (int(value) for name, value in scope["headers"] if name == b"content-length"), 0
        )
        self._changed = asyncio.Event()
        self._has_delivered_end = False
        self._has_body = scope["method"] != "HEAD"
        self._is_chunked = False
        self._ends_with_connection = False
        self._remaining_bytes = 0

    @property
    def missing_bytes(self) -> int:
        """How much of the declared body has not arrived; 0 if its length is not declared."""
        return self._declared_bytes - self.body_bytes

    def notify(self) -> None:
        """Wake the application, because the body or the connection changed."""
        self._changed.set()

    def disconnect(self) -> None:
        """Tell the application that the client is gone, and drop what it still sends."""
        self.is_disconnected = True
        self.body.clear()
        self._changed.set()

    async def receive(self) -> dict[str, Any]:
        """Return the next part of the body, or `http.disconnect`; for the application."""
        if self._expects_continue and not self.is_received and not self.has_started_response:
            self._expects_continue = False
            self._writer.write(CONTINUE_RESPONSE)
        while not self._has_news():
            self._changed.clear()
            self._writer.resume_body()
            await self._changed.wait()
        if self.is_disconnected or self.has_ended_response:
            return {"type": "http.disconnect"}
        body = bytes(self.body)
        self.body.clear()
        self._has_delivered_end = self.is_received
        return {"type": "http.request", "body": body, "more_body": not self.is_received}

    def _has_news(self) -> bool:
        if self.is_disconnected or self.has_ended_response:
            return True
        return bool(self.body) or (self.is_received and not self._has_delivered_end)

    async def send(self, message: dict[str, Any]) -> None:
        """Send a part of the response; for the application."""
        await self._writer.wait_until_writable()
        if self.is_disconnected:
            return
        if not self.has_started_response and message["type"] == "http.response.start":
            self.has_started_response = True
            self._writer.write(self._encode_head(message["status"], message.get("headers", ())))
        elif self._takes_body(message):
            is_last = not message.get("more_body", False)
            data = self._encode_body(message.get("body", b""), is_last)
            if data:
                self._writer.write(data)
            if is_last:
                self.has_ended_response = True
                self._changed.set()
        else:
            raise InvalidResponse(f"{message['type']} is not allowed at this point of a response")

    def _takes_body(self, message: dict[str, Any]) -> bool:
        is_open = self.has_started_response and not self.has_ended_response
        return is_open and message["type"] == "http.response.body"

    def _encode_head(self, status: int, headers: list[Header]) -> bytes:
        lines = [encode_status_line(status)]
        has_length = False
        for name, value in headers:
            lower_name = name.lower()
            if lower_name == b"content-length":
                has_length = True
                self._remaining_bytes = int(value)
            elif lower_name == b"connection":
                self.keeps_alive = self.keeps_alive and value.lower() != b"close"
                continue
            elif lower_name == b"transfer-encoding":
                continue
            lines.append(b"%s: %s\r\n" % (name, value))
        if status in BODILESS_STATUSES:
            self._has_body = False
        if not has_length and self._has_body:
            # A client of HTTP/1.0 knows no chunks; the end of the connection ends its response.
            self._is_chunked = self.scope["http_version"] != "1.0"
            if self._is_chunked:
                lines.append(b"transfer-encoding: chunked\r\n")
            else:
                self.keeps_alive = False
        self._ends_with_connection = not has_length and not self._is_chunked
        if not self.is_received or self._writer.is_stopping:
            self.keeps_alive = False
        if not self.keeps_alive:
            lines.append(b"connection: close\r\n")
        elif self.scope["http_version"] == "1.0":
            lines.append(b"connection: keep-alive\r\n")
        lines.append(b"\r\n")
        return b"".join(lines)

    def _encode_body(self, body: bytes, is_last: bool) -> bytes:
        if not self._has_body:
            return b""
        if self._is_chunked:
            chunk = b"%x\r\n%s\r\n" % (len(body), body) if body else b""
            return chunk + LAST_CHUNK if is_last else chunk
        if self._ends_with_connection:
            return body
        self._remaining_bytes -= len(body)
        if self._remaining_bytes < 0 or (is_last and self._remaining_bytes):
            raise InvalidResponse("send a body that is as long as its content-length")
        return body


def build_scope(
    parser: httptools.HttpRequestParser,
    target: bytes,
    headers: list[Header],
    client: tuple[str, int] | None,
) -> Scope:
    """Return the ASGI scope of a request; raises `HttpParserError` or `ValueError`."""
    url = httptools.parse_url(target)
    raw_path = url.path or b"/"
    return {
        "type": "http",
        "asgi": {"version": "3.0", "spec_version": "2.3"},
        "http_version": parser.get_http_version(),
        "method": parser.get_method().decode("ascii"),
        "scheme": "http",
        "path": unquote(raw_path.decode("ascii")),
        "raw_path": raw_path,
        "root_path": "",
        "query_string": url.query or b"",
        "headers": headers,
        "client": client,
    }


def encode_status_line(status: int) -> bytes:
    r"""Return the first line of a response.

    >>> encode_status_line(404)
    b'HTTP/1.1 404 Not Found\r\n'
    """
    try:
        phrase = HTTPStatus(status).phrase
    except ValueError:
        phrase = ""
    return f"HTTP/1.1 {status} {phrase}\r\n".encode()


def encode_refusal(status: int) -> bytes:
    """Return a whole response without a body, after which the connection is closed."""
    return encode_status_line(status) + b"content-length: 0\r\nconnection: close\r\n\r\n"
