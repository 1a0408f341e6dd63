import asyncio
from typing import Any

import pytest

from godwitpass_daemon.relay.headers import HeaderNames, ResponseHead
from godwitpass_daemon.relay.upstream_connections import (
    MAX_RESPONSE_HEAD_BYTES,
    UpstreamConnection,
    UpstreamConnectionPool,
)

HEADER_NAMES = HeaderNames(
    request_id=b"x-id",
    timeout_ms=b"x-timeout",
    target=b"x-target",
    caller_service=b"x-service",
    not_run=b"x-not-run",
    seal=b"x-seal",
    instance=b"x-instance",
)
BODY_SIZES = [0, 1, MAX_RESPONSE_HEAD_BYTES, 90_000, 256 * 1024, 540_000]
READ_SIZES = [1_000, 16 * 1024, 64 * 1024, 256 * 1024, 1_000_000]


class RecordingTransport(asyncio.Transport):
    """Discards what is written."""

    def __init__(self) -> None:
        super().__init__()
        self.is_aborted = False

    def write(self, data: Any) -> None:
        pass

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        pass

    def is_closing(self) -> bool:
        return self.is_aborted

    def abort(self) -> None:
        self.is_aborted = True


class RecordingHandler:
    """Collects a response."""

    def __init__(self) -> None:
        self.head: ResponseHead | None = None
        self.body = b""
        self.outcome = ""

    def handle_head(self, head: ResponseHead) -> None:
        self.head = head

    def handle_body(self, data: bytes) -> None:
        self.body += data

    def handle_end(self) -> None:
        self.outcome = "complete"

    def handle_loss(self, has_received: bool, is_invalid: bool) -> None:
        self.outcome = "invalid" if is_invalid else "lost"


def encode_response(body: bytes, *header_lines: str, request_id: str = "r") -> bytes:
    lines = ["HTTP/1.1 200 OK", f"x-id: {request_id}", f"content-length: {len(body)}"]
    return "\r\n".join([*lines, *header_lines, "", ""]).encode() + body


def open_connection() -> tuple[UpstreamConnection, RecordingTransport]:
    connection = UpstreamConnection(UpstreamConnectionPool(HEADER_NAMES, lambda: 0.0))
    transport = RecordingTransport()
    connection.connection_made(transport)
    return connection, transport


def receive(response: bytes, read_bytes: int, request_id: bytes = b"r") -> RecordingHandler:
    """Return what a handler receives if `response` arrives in reads of `read_bytes`."""
    connection, _ = open_connection()
    handler = RecordingHandler()
    connection.send(handler, b"GET", request_id, b"")
    for start in range(0, len(response), read_bytes):
        connection.data_received(response[start : start + read_bytes])
    return handler


class TestResponseSizes:
    @pytest.mark.parametrize("read_bytes", READ_SIZES)
    @pytest.mark.parametrize("body_bytes", BODY_SIZES)
    def test_a_response_of_any_size_arrives_whole(self, body_bytes: int, read_bytes: int) -> None:
        body = bytes(range(256)) * (body_bytes // 256) + b"x" * (body_bytes % 256)
        handler = receive(encode_response(body), read_bytes)
        assert handler.outcome == "complete"
        assert handler.body == body

    @pytest.mark.parametrize("read_bytes", READ_SIZES)
    def test_a_large_response_to_an_earlier_request_is_skipped(self, read_bytes: int) -> None:
        earlier = encode_response(b"e" * 540_000, request_id="earlier")
        handler = receive(earlier + encode_response(b"own"), read_bytes)
        assert handler.outcome == "complete"
        assert handler.body == b"own"

    @pytest.mark.parametrize("read_bytes", READ_SIZES)
    def test_a_head_up_to_the_limit_is_accepted(self, read_bytes: int) -> None:
        value = "v" * (MAX_RESPONSE_HEAD_BYTES - 100)
        handler = receive(encode_response(b"body", f"x-long: {value}"), read_bytes)
        assert handler.outcome == "complete"

    @pytest.mark.parametrize("read_bytes", READ_SIZES)
    def test_a_head_over_the_limit_is_invalid(self, read_bytes: int) -> None:
        value = "v" * (MAX_RESPONSE_HEAD_BYTES + 1)
        handler = receive(encode_response(b"body", f"x-long: {value}"), read_bytes)
        assert handler.outcome == "invalid"

    def test_a_head_that_never_ends_is_invalid(self) -> None:
        start = b"HTTP/1.1 200 OK\r\nx-long: "
        handler = receive(start + b"v" * 2 * MAX_RESPONSE_HEAD_BYTES, 1_000)
        assert handler.outcome == "invalid"
        assert handler.head is None
