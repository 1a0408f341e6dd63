"""Response heads of upstreams that break off, at the edge."""

import asyncio
from unittest.mock import MagicMock

import pytest

from godwitpass.ids import Address
from godwitpass_daemon.edge.upstreams import ConnectionPool, UpstreamConnection


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
