"""Asks the upstream beside a daemon that has just started who it is.

Its next heartbeat may be more than a second away; until then the daemon could hand it no call.
"""

import asyncio

import msgspec

from godwitpass_daemon.relay.headers import ResponseHead
from godwitpass_daemon.relay.upstream_connections import UpstreamConnectionPool

PROBE_TIMEOUT_S = 0.5


class _ProbeHandler:
    """Collects the answer to the probe."""

    def __init__(self) -> None:
        self.head: ResponseHead | None = None
        self.has_ended = asyncio.Event()

    def handle_head(self, head: ResponseHead) -> None:
        """Keep the head."""
        self.head = head

    def handle_body(self, data: bytes) -> None:
        """Drop the body, which says nothing."""

    def handle_end(self) -> None:
        """End the wait."""
        self.has_ended.set()

    def handle_loss(self, has_received: bool, is_invalid: bool) -> None:
        """End the wait without an answer."""
        self.head = None
        self.has_ended.set()


class Health(msgspec.Struct, frozen=True):
    """What an upstream said of itself; `upstream` is empty where it gave no id."""

    is_healthy: bool
    upstream: str


async def probe_health(pool: UpstreamConnectionPool, path: str, host: str) -> Health | None:
    """Return what the upstream says, None if it gives no answer."""
    handler = _ProbeHandler()
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            connection = await pool.connect()
            request = b"GET %b HTTP/1.1\r\nhost: %b\r\n\r\n" % (path.encode(), host.encode())
            connection.send(handler, b"GET", b"", request)
            await handler.has_ended.wait()
    except (OSError, TimeoutError):
        return None
    head = handler.head
    if head is None:
        return None
    return Health(head.status == 200, head.instance.decode("latin-1"))
