"""Sends a health check to the upstream beside a daemon."""

import asyncio

import msgspec

from godwitpass_daemon.relay.headers import ResponseHead
from godwitpass_daemon.relay.upstream_connections import UpstreamConnection, UpstreamConnectionPool

PROBE_TIMEOUT_S = 0.5


class _ProbeHandler:
    """Receives the response to the health check."""

    def __init__(self) -> None:
        self.head: ResponseHead | None = None
        self.ended = asyncio.Event()

    def handle_head(self, head: ResponseHead) -> None:
        """Store the head."""
        self.head = head

    def handle_body(self, data: bytes) -> None:
        """Ignore the body; all information is in the headers."""

    def handle_end(self) -> None:
        """Finish the wait."""
        self.ended.set()

    def handle_loss(self, has_received: bool, is_invalid: bool) -> None:
        """Finish the wait without a response."""
        self.head = None
        self.ended.set()


class Health(msgspec.Struct, frozen=True):
    """Result of a health check; `upstream` is empty if the response named no instance."""

    is_healthy: bool
    upstream: str
    head: ResponseHead


async def probe_health(pool: UpstreamConnectionPool, path: str, host: str) -> Health | None:
    """Send a health check to the upstream; return None if it doesn't respond."""
    handler = _ProbeHandler()
    connection: UpstreamConnection | None = None
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            connection = await pool.connect()
            request = b"GET %b HTTP/1.1\r\nhost: %b\r\n\r\n" % (path.encode(), host.encode())
            connection.send(handler, b"GET", b"", request)
            await handler.ended.wait()
    except (OSError, TimeoutError):
        if connection is not None:
            connection.close()
        return None
    head = handler.head
    if head is None:
        return None
    return Health(head.status == 200, head.instance.decode("latin-1"), head)
