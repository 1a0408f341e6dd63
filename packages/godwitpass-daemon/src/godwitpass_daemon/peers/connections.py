"""Outgoing gRPC connections of the peer transport.

An open connection may go silent without a reset, while new ones work. A connection is therefore
used again only for a short time after its last answer, and replaced when it fails to answer.
"""

import asyncio
import time
from collections.abc import Callable

import grpc
import grpc.aio
import msgspec

from godwitpass.ids import Address

MAX_CONNECTIONS = 16
"""Connections that new calls may use."""

MAX_RETIRED = 16
"""Connections that only finish their calls; beyond it the oldest one is closed."""

MAX_IDLE_S = 1.0
"""Time after the last answer for which an unused connection is taken to work."""

CONNECT_TIMEOUT_S = 1.0
"""Time after which another attempt to connect is made: a lost first packet is repeated later."""


class Connection(msgspec.Struct, eq=False):
    """A connection to the daemon at `address`; times are in seconds on the monotonic clock."""

    address: Address
    channel: grpc.aio.Channel
    opened_at: float
    answered_at: float | None = None
    calls_in_flight: int = 0
    is_retired: bool = False

    def is_trusted(self, now: float) -> bool:
        """Return whether a new call may use this connection."""
        last_sign_at = self.opened_at if self.answered_at is None else self.answered_at
        return self.calls_in_flight > 0 or now - last_sign_at <= MAX_IDLE_S

    def is_connecting(self, now: float) -> bool:
        """Return whether an attempt to connect is in progress and may still succeed."""
        is_ready = self.channel.get_state() is grpc.ChannelConnectivity.READY
        return not is_ready and now - self.opened_at < CONNECT_TIMEOUT_S


class ConnectionPool:
    """Keeps at most one connection to each daemon for new calls."""

    def __init__(self, build_channel: Callable[[Address], grpc.aio.Channel]) -> None:
        self._build_channel = build_channel
        self._connections: dict[Address, Connection] = {}
        self._retired: list[Connection] = []
        self._closings: set[asyncio.Task[None]] = set()

    def acquire(self, to: Address) -> Connection | None:
        """Return a connection for one call; None if all are in use."""
        now = time.monotonic()
        connection = self._connections.get(to)
        if connection is not None and not connection.is_trusted(now):
            self.retire(connection)
            connection = None
        if connection is None:
            if len(self._connections) >= MAX_CONNECTIONS and not self._evict_idle():
                return None
            connection = Connection(to, self._build_channel(to), now)
            self._connections[to] = connection
        connection.calls_in_flight += 1
        return connection

    def release(self, connection: Connection) -> None:
        """End one call on `connection`."""
        connection.calls_in_flight -= 1
        if connection.is_retired and connection.calls_in_flight == 0:
            self._close(connection)

    def retire(self, connection: Connection) -> None:
        """Use `connection` for no new call, and close it when its calls have ended."""
        if connection.is_retired:
            return
        connection.is_retired = True
        del self._connections[connection.address]
        self._retired.append(connection)
        if connection.calls_in_flight == 0:
            self._close(connection)
        elif len(self._retired) > MAX_RETIRED:
            self._close(self._retired[0])

    def close_idle(self) -> None:
        """Close the connections that no new call would use."""
        now = time.monotonic()
        for connection in list(self._connections.values()):
            if not connection.is_trusted(now):
                self.retire(connection)

    async def close(self) -> None:
        """Close all connections."""
        for connection in [*self._connections.values(), *self._retired]:
            await connection.channel.close()
        self._connections.clear()
        self._retired.clear()
        await asyncio.gather(*self._closings)

    def _evict_idle(self) -> bool:
        idle = [item for item in self._connections.values() if not item.calls_in_flight]
        if not idle:
            return False
        self.retire(min(idle, key=lambda item: item.answered_at or item.opened_at))
        return True

    def _close(self, connection: Connection) -> None:
        if connection not in self._retired:
            return
        self._retired.remove(connection)
        task = asyncio.get_running_loop().create_task(connection.channel.close())
        self._closings.add(task)
        task.add_done_callback(self._closings.discard)
