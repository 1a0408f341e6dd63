"""Responses of upstreams that break off or never end, at the edge."""

import asyncio
import tracemalloc
from unittest.mock import MagicMock

import pytest

from godwitpass.ids import Address
from godwitpass_daemon.edge.upstreams import (
    MAX_BYTES_WITHOUT_BODY,
    ConnectionPool,
    UpstreamConnection,
)

READ_BYTES = 256 * 1024
MAX_HEAD_MEMORY_BYTES = 1024 * 1024
STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
CHUNKED_HEAD = STATUS_LINE + b"transfer-encoding: chunked\r\n\r\n"


def receive(*reads: bytes) -> MagicMock:
    """Return the handler of an attempt whose connection receives `reads`."""
    loop = asyncio.new_event_loop()
    connection = UpstreamConnection(ConnectionPool(loop), Address("127.0.0.1:1"))
    connection.connection_made(MagicMock(spec=asyncio.Transport))
    handler = MagicMock(method="GET")
    connection.attach(handler)
    for data in reads:
        if not handler.handle_connection_loss.called:
            connection.data_received(data)
    loop.close()
    return handler


class TestResponsesWithoutEnd:
    @pytest.mark.parametrize(
        ("start", "repeated"),
        [
            (CHUNKED_HEAD, b"0" * 8_192),
            (CHUNKED_HEAD + b"5;x=", b"y" * 8_192),
            (CHUNKED_HEAD + b"5\r\nhello\r\n0\r\n", b"x-trailer: b\r\n" * 600),
        ],
    )
    def test_what_is_no_body_ends_the_attempt(self, start: bytes, repeated: bytes) -> None:
        count = MAX_BYTES_WITHOUT_BODY // len(repeated) + 1
        handler = receive(start, *[repeated] * count)
        handler.handle_connection_loss.assert_called_once_with(is_invalid=True)
        handler.finish_response.assert_not_called()

    def test_a_large_chunked_body_arrives_whole(self) -> None:
        chunk = b"2000\r\n" + b"b" * 0x2000 + b"\r\n"
        handler = receive(CHUNKED_HEAD + chunk * 40, chunk * 40, b"0\r\n\r\n")
        received = b"".join(call.args[0] for call in handler.receive_body.call_args_list)
        assert received == b"b" * 0x2000 * 80
        handler.finish_response.assert_called_once_with()

    def test_a_head_of_short_lines_takes_little_memory(self) -> None:
        data = STATUS_LINE + b"a-line: bc\r\n" * (READ_BYTES // 12)
        tracemalloc.start()
        try:
            handler = receive(data, data)
            _, peak_bytes = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        handler.handle_connection_loss.assert_called_once_with(is_invalid=True)
        assert peak_bytes < MAX_HEAD_MEMORY_BYTES


class TestTruncatedHeads:
    @pytest.mark.parametrize("framing", ["content-length: 5", "transfer-encoding: chunked", ""])
    def test_a_head_that_breaks_off_is_no_response(self, framing: str) -> None:
        lines = ["HTTP/1.1 200 OK", framing, "x-end: 1"]
        head = "\r\n".join(line for line in lines if line).encode() + b"\r\n\r\n"
        for size in range(len(head)):
            loop = asyncio.new_event_loop()
            connection = UpstreamConnection(ConnectionPool(loop), Address("127.0.0.1:1"))
            connection.connection_made(MagicMock(spec=asyncio.Transport))
            handler = MagicMock(method="GET")
            connection.attach(handler)
            if size:
                connection.data_received(head[:size])
            connection.connection_lost(None)
            loop.close()
            handler.receive_head.assert_not_called()
            handler.finish_response.assert_not_called()
            handler.handle_connection_loss.assert_called_once_with(is_invalid=False)
