"""What the connections of callers share: memory, turns, room for connections, and counts."""

import asyncio
import time
from collections import Counter
from collections.abc import Callable
from typing import Protocol

from godwitpass.internal.relay import events as kinds
from godwitpass_daemon.relay.call_log import Emit
from godwitpass_daemon.relay.input_turns import InputTurns
from godwitpass_daemon.relay.limits import HEAD_READ_BYTES, READ_BYTES
from godwitpass_daemon.relay.request_budget import RequestBudget
from godwitpass_daemon.resources import Resources

CALLER_BUFFER_SHARE = 0.6
"""Share of the memory for clients that the requests of callers may take."""

LOG_INTERVAL_S = 60.0
"""A client that meets limits is logged at most once in this time."""

MAX_LOGGED_CLIENTS = 256
"""Clients that are logged in one interval."""


class IdleConnection(Protocol):
    """A connection without a request in progress."""

    def evict(self) -> None:
        """Close the connection at once."""
        ...


class LimitLog:
    """Counts by reason what the limits for clients have refused or closed, and logs it sparsely."""

    def __init__(self, now: Callable[[], float], emit: Emit) -> None:
        self.counts: Counter[str] = Counter()
        self._now = now
        self._emit = emit
        self._interval_ends_at = 0.0
        self._clients: set[str] = set()

    def record(self, reason: str, client: str) -> None:
        """Count that `client` met the limit named by `reason`."""
        self.counts[reason] += 1
        now = self._now()
        if now >= self._interval_ends_at:
            self._interval_ends_at = now + LOG_INTERVAL_S
            self._clients.clear()
        if client not in self._clients and len(self._clients) < MAX_LOGGED_CLIENTS:
            self._clients.add(client)
            self._emit(kinds.CLIENT_LIMITED, {"client": client, "reason": reason})


class Intake:
    """Admits the connections of callers; `idle` holds the idle ones, the longest idle first.

    All connections read into `read_buffer`, or its start `head_buffer`. What they have read is
    parsed before the next read.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, resources: Resources, limit_log: LimitLog
    ) -> None:
        self.budget = RequestBudget(
            int(resources.buffer_bytes * CALLER_BUFFER_SHARE), resources.single_request_bytes
        )
        self.turns = InputTurns(loop, time.perf_counter)
        self.limit_log = limit_log
        self.max_connections = resources.caller_connections
        self.idle: dict[IdleConnection, None] = {}
        self.read_buffer = memoryview(bytearray(READ_BYTES))
        self.head_buffer = self.read_buffer[:HEAD_READ_BYTES]

    def close_longest_idle(self) -> bool:
        """Close the connection that has been idle longest; return False if none is idle."""
        if not self.idle:
            return False
        connection = next(iter(self.idle))
        del self.idle[connection]
        connection.evict()
        return True
