"""One request of a caller's connection, from its head to the end of its answer."""

import asyncio
from typing import TYPE_CHECKING

from godwitpass.internal.relay.routes import RelayRoute
from godwitpass_daemon.relay.forwarded_calls import Exchange
from godwitpass_daemon.relay.headers import RequestFault, RequestHead

if TYPE_CHECKING:
    from godwitpass_daemon.relay.ingress import CallerConnection


class Turn:
    """Collects a request and the answer to it, which is sent when its turn has come."""

    __slots__ = (
        "_connection",
        "_out",
        "arrived_at",
        "body",
        "body_bytes",
        "chunked",
        "closing",
        "complete",
        "exchange",
        "fault",
        "finished",
        "head",
        "keep_alive",
        "route",
        "started",
        "waiting",
    )

    def __init__(self, connection: "CallerConnection", arrived_at: float) -> None:
        self._connection = connection
        self._out: list[bytes] = []
        self.arrived_at = arrived_at
        self.body: list[bytes] = []
        self.body_bytes = 0
        self.chunked = False
        self.closing = False
        self.complete = False
        self.fault: RequestFault | None = None
        self.exchange: Exchange | None = None
        self.finished = False
        self.head: RequestHead | None = None
        self.keep_alive = True
        self.route: RelayRoute | None = None
        self.started = False
        self.waiting: asyncio.TimerHandle | None = None

    def decide_close(self) -> bool:
        """Decide whether the answer is the last one on its connection; its head says so."""
        self.closing = self.closing or self._connection.closes_after(self)
        return self.closing

    def answer(self, data: bytes, last: bool) -> None:
        """Send a part of the answer when its turn has come."""
        self._out.append(data)
        self.finished = self.finished or last
        self._connection.flush()

    def break_off(self) -> None:
        """Close the connection, so that the caller sees the answer cut short."""
        self._connection.abort()

    def take_output(self) -> bytes:
        """Return what can be written now."""
        data = b"".join(self._out)
        self._out.clear()
        return data
