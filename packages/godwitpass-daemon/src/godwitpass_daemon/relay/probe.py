"""Asks the upstream beside a daemon that has just started who it is.

Its next heartbeat may be more than a second away; until then the daemon could hand it no call.
"""

import asyncio

import msgspec

from godwitpass_daemon.relay.upstream_connections import UpstreamPool
from godwitpass_daemon.relay.headers import AnswerHead

PROBE_TIMEOUT_S = 0.5


class _Answer:
    """Collects the answer to the probe."""

    def __init__(self) -> None:
        self.head: AnswerHead | None = None
        self.ended = asyncio.Event()

    def take_head(self, head: AnswerHead) -> None:
        """Keep the head."""
        self.head = head

    def take_body(self, data: bytes) -> None:
        """Drop the body, which says nothing."""

    def take_end(self) -> None:
        """End the wait."""
        self.ended.set()

    def take_loss(self, received: bool, invalid: bool) -> None:
        """End the wait without an answer."""
        self.head = None
        self.ended.set()


class Health(msgspec.Struct, frozen=True):
    """What an upstream said of itself; `upstream` is empty where it gave no id."""

    well: bool
    upstream: str


async def probe_upstream(pool: UpstreamPool, path: str, host: str) -> Health | None:
    """Return what the upstream says, None if it gives no answer."""
    answer = _Answer()
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            connection = await pool.connect()
            request = b"GET %b HTTP/1.1\r\nhost: %b\r\n\r\n" % (path.encode(), host.encode())
            connection.send(answer, b"GET", b"", request)
            await answer.ended.wait()
    except (OSError, TimeoutError):
        return None
    head = answer.head
    if head is None:
        return None
    return Health(head.status == 200, head.instance.decode("latin-1"))
